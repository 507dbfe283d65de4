//! Malformed documents in place of the operators' configuration, with an entry as a process.

mod common;

use std::time::Duration;

use coltsfootshunt_core::config::{Document, Revision};
use coltsfootshunt_entry::platform::{CONFIGURATION_KEY, Http, Platform, Swap, fetch};
use coltsfootshunt_testkit::{Cluster, cases, wait_until};
use common::{config, put_in_force};
use serde_json::json;
use uuid::Uuid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Maximum number of platform requests of one entry in two seconds. It reads the hosts every second
/// and retries every half second.
const MAX_REQUESTS: u64 = 20;

/// Checks that an entry keeps its configuration when the stored one becomes malformed, does not
/// read it in a tight loop, and puts the next valid one in force.
#[tokio::main(flavor = "current_thread")]
async fn keeps_the_last_one(malformed: &str) {
    let cluster = Cluster::start(PROGRAM, FOLDER, 1).await;
    put_in_force(&cluster, &["zone"]).await;
    let entry = cluster.start_entry("entry-0", "zone", &json!({}));
    cluster.wait_until_ready(&[&entry]).await;
    let platform = Http::new(cluster.platform.address);
    let (version, valid) =
        fetch(&platform).await.expect("the platform is up").expect("a configuration is in force");
    let swapped = platform.compare_and_swap(CONFIGURATION_KEY, version, malformed, None).await;
    assert_eq!(swapped, Ok(Swap::Written));
    let before = cluster.platform.request_count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let requests = cluster.platform.request_count() - before;
    assert!(requests <= MAX_REQUESTS, "{requests} requests");
    let revision = || async {
        let (_, dump) = cluster.get(entry.operators, "/dump").await?;
        dump["config"]["revision"].as_u64()
    };
    assert_eq!(revision().await, Some(valid.version.revision.0));
    let next = Document::after(Some(&valid), Uuid::new_v4(), config(&cluster, &["zone"]));
    let text = serde_json::to_string(&next).expect("a valid configuration serializes");
    let swapped = platform.compare_and_swap(CONFIGURATION_KEY, version + 1, &text, None).await;
    assert_eq!(swapped, Ok(Swap::Written));
    wait_until("the next configuration is in force", || async {
        (revision().await.map(Revision) == Some(next.version.revision)).then_some(())
    })
    .await;
}

/// Returns nested JSON lists of this depth.
fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

cases! { keeps_the_last_one:
    text_that_is_not_json("no document");
    empty("");
    deeply_nested(&nested(100_000));
    deeply_nested_field(&format!("{{\"mark\":{}}}", nested(1_000)));
    number_out_of_range("{\"mark\":{\"revision\":1e400}}");
}
