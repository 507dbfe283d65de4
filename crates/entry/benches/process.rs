//! Processor time of one entry process for each task, with targets that answer at once, and the
//! cost of an idle one. Prints one table.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::Outcome;
use coltsfootshunt_core::config::Draft;
use coltsfootshunt_entry::platform::{Http, accept};
use coltsfootshunt_testkit::{Cluster, Entry, job};
use serde_json::json;
use uuid::Uuid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Targets; each has 8 slots.
const TARGETS: usize = 12;
/// Tasks sent for each width of job.
const TASKS: usize = 60_000;
/// Jobs under way at once.
const AT_ONCE: usize = 16;
/// Time over which an idle process is watched.
const IDLE: Duration = Duration::from_secs(10);

#[tokio::main(worker_threads = 4)]
async fn main() {
    println!("| what | figure |");
    println!("|---|---:|");
    for width in [1, 10, 100] {
        busy(width).await;
    }
    for entries in [2, 8, 16, 32] {
        idle(entries).await;
    }
}

async fn cluster(entries: usize, zones: usize) -> (Cluster, Vec<Entry>) {
    let cluster = Cluster::start(PROGRAM, FOLDER, TARGETS).await;
    let names: Vec<_> = (0..zones).map(|number| format!("zone-{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let draft: Draft =
        serde_json::from_value(cluster.configuration(&names)).expect("the form is right");
    let plan = draft.try_into().expect("the configuration is right");
    let platform = Http::new(cluster.platform.address);
    accept(&platform, plan, None, Uuid::new_v4()).await.expect("the platform is up");
    let start = |number: usize| {
        cluster.entry(&format!("entry-{number}"), names[number % zones], &json!({ "log": "warn" }))
    };
    let entries: Vec<_> = (0..entries).map(start).collect();
    cluster.ready(&entries.iter().collect::<Vec<_>>()).await;
    (cluster, entries)
}

async fn busy(width: usize) {
    let (cluster, entries) = cluster(1, 1).await;
    let caller = Arc::new(cluster.caller(&[&entries[0]]));
    let before = entries[0].processor_time();
    let began = Instant::now();
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..AT_ONCE {
        let caller = Arc::clone(&caller);
        workers.spawn(async move {
            for _ in 0..TASKS / AT_ONCE / width {
                let answer = caller.submit(&job("plain", width, 0, 60_000)).await;
                assert_eq!(answer.expect("an answer").1.outcome(), Outcome::Complete);
            }
        });
    }
    workers.join_all().await;
    let took = began.elapsed().as_secs_f64();
    let spent = (entries[0].processor_time() - before).as_secs_f64();
    let tasks = (TASKS / AT_ONCE / width * width * AT_ONCE) as f64;
    println!("| us of processor a task, jobs of {width} | {:.1} |", spent * 1e6 / tasks);
    println!("| tasks a second and core, jobs of {width} | {:.0} |", tasks / spent);
    println!("| tasks a second seen, jobs of {width} | {:.0} |", tasks / took);
}

async fn idle(count: usize) {
    let (cluster, entries) = cluster(count, 4).await;
    let calls = cluster.platform.calls();
    let before: Vec<_> = entries.iter().map(Entry::processor_time).collect();
    tokio::time::sleep(IDLE).await;
    let spent = entries.iter().zip(before).map(|(entry, before)| entry.processor_time() - before);
    let share = spent.sum::<Duration>().as_secs_f64() / count as f64 / IDLE.as_secs_f64();
    let memory = entries.iter().map(Entry::resident_bytes).max().unwrap_or_default();
    let calls = (cluster.platform.calls() - calls) as f64 / IDLE.as_secs_f64();
    println!(
        "| part of a core of an idle entry, {count} entries in 4 zones | {:.3}% |",
        share * 1e2
    );
    println!(
        "| largest resident MB of an idle entry, {count} entries | {:.1} |",
        memory as f64 / 1e6
    );
    println!("| platform calls a second, {count} entries in 4 zones | {calls:.1} |");
}
