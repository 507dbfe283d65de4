//! Odd documents where the operators' configuration is kept, at entries as processes.

mod common;

use std::time::Duration;

use coltsfootshunt_core::config::{Document, Revision};
use coltsfootshunt_entry::platform::{CONFIGURATION_KEY, Http, Platform, Swap, fetch};
use coltsfootshunt_testkit::{Cluster, cases, until};
use common::{plan, put_in_force};
use serde_json::json;
use uuid::Uuid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Most calls of one entry in two seconds: a look at hosts each second, and attempts each half.
const CALLS: u64 = 20;

/// An odd document keeps the one in force and is not asked for again and again; the next one is taken.
#[tokio::main(flavor = "current_thread")]
async fn keeps(odd: &str) {
    let cluster = Cluster::start(PROGRAM, FOLDER, 1).await;
    put_in_force(&cluster, &["zone"]).await;
    let entry = cluster.entry("entry-0", "zone", &json!({}));
    cluster.ready(&[&entry]).await;
    let platform = Http::new(cluster.platform.address);
    let (version, good) = fetch(&platform).await.expect("it is up").expect("a document");
    let swapped = platform.compare_and_swap(CONFIGURATION_KEY, version, odd, None).await;
    assert_eq!(swapped, Ok(Swap::Written));
    let before = cluster.platform.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = cluster.platform.calls() - before;
    assert!(calls <= CALLS, "{calls} calls");
    let revision = || async {
        let (_, dump) = cluster.ask(entry.operators, "/dump").await?;
        dump["config"]["revision"].as_u64()
    };
    assert_eq!(revision().await, Some(good.version.revision.0));
    let next = Document::after(Some(&good), Uuid::new_v4(), plan(&cluster, &["zone"]));
    let text = serde_json::to_string(&next).expect("a checked plan serializes");
    let swapped = platform.compare_and_swap(CONFIGURATION_KEY, version + 1, &text, None).await;
    assert_eq!(swapped, Ok(Swap::Written));
    until("the next one is in force", || async {
        (revision().await.map(Revision) == Some(next.version.revision)).then_some(())
    })
    .await;
}

/// A list in a list, so many levels deep.
fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

cases! { keeps:
    behind_no_document("no document");
    behind_nothing("");
    behind_a_deep_one(&nested(100_000));
    behind_a_deep_field(&format!("{{\"mark\":{}}}", nested(1_000)));
    behind_a_number_out_of_range("{\"mark\":{\"revision\":1e400}}");
}
