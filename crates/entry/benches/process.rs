//! CPU time of an entry process per task, with targets that respond at once, and the cost of an
//! idle entry. Prints one table.

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
/// Number of targets; each has 8 slots.
const TARGETS: usize = 12;
/// Number of tasks submitted for each width of job.
const TASKS: usize = 60_000;
/// Number of concurrent jobs.
const CONCURRENT_JOBS: usize = 16;
/// Time over which an idle process is observed.
const IDLE_DURATION: Duration = Duration::from_secs(10);

#[tokio::main(worker_threads = 4)]
async fn main() {
    println!("| quantity | value |");
    println!("|---|---:|");
    for width in [1, 10, 100] {
        busy(width).await;
    }
    for entries in [2, 8, 16, 32] {
        idle(entries).await;
    }
}

/// Starts a cluster whose entries are spread over `zones` zones.
async fn cluster(entries: usize, zones: usize) -> (Cluster, Vec<Entry>) {
    let cluster = Cluster::start(PROGRAM, FOLDER, TARGETS).await;
    let names: Vec<_> = (0..zones).map(|number| format!("zone-{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let draft: Draft = serde_json::from_value(cluster.configuration(&names))
        .expect("the configuration has the expected form");
    let config = draft.try_into().expect("the configuration is valid");
    let platform = Http::new(cluster.platform.address);
    accept(&platform, config, None, Uuid::new_v4()).await.expect("the platform is up");
    let start = |number: usize| {
        cluster.start_entry(
            &format!("entry-{number}"),
            names[number % zones],
            &json!({ "log": "warn" }),
        )
    };
    let entries: Vec<_> = (0..entries).map(start).collect();
    cluster.wait_until_ready(&entries.iter().collect::<Vec<_>>()).await;
    (cluster, entries)
}

/// Measures an entry under load by jobs of `width` tasks.
async fn busy(width: usize) {
    let (cluster, entries) = cluster(1, 1).await;
    let caller = Arc::new(cluster.caller(&[&entries[0]]));
    let before = entries[0].cpu_time();
    let started = Instant::now();
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..CONCURRENT_JOBS {
        let caller = Arc::clone(&caller);
        workers.spawn(async move {
            for _ in 0..TASKS / CONCURRENT_JOBS / width {
                let answer = caller.submit(&job("plain", width, 0, 60_000)).await;
                assert_eq!(answer.expect("the entry answers").1.outcome(), Outcome::Complete);
            }
        });
    }
    workers.join_all().await;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_time = (entries[0].cpu_time() - before).as_secs_f64();
    let tasks = (TASKS / CONCURRENT_JOBS / width * width * CONCURRENT_JOBS) as f64;
    println!("| CPU time per task in us, jobs of {width} | {:.1} |", cpu_time * 1e6 / tasks);
    println!("| tasks per second and core, jobs of {width} | {:.0} |", tasks / cpu_time);
    println!("| tasks per second, jobs of {width} | {:.0} |", tasks / elapsed);
}

/// Measures `count` idle entries in 4 zones.
async fn idle(count: usize) {
    let (cluster, entries) = cluster(count, 4).await;
    let requests = cluster.platform.request_count();
    let before: Vec<_> = entries.iter().map(Entry::cpu_time).collect();
    tokio::time::sleep(IDLE_DURATION).await;
    let cpu_times = entries.iter().zip(before).map(|(entry, before)| entry.cpu_time() - before);
    let share =
        cpu_times.sum::<Duration>().as_secs_f64() / count as f64 / IDLE_DURATION.as_secs_f64();
    let memory = entries.iter().map(Entry::resident_bytes).max().unwrap_or_default();
    let requests =
        (cluster.platform.request_count() - requests) as f64 / IDLE_DURATION.as_secs_f64();
    println!("| CPU share of an idle entry, {count} entries in 4 zones | {:.3}% |", share * 1e2);
    println!(
        "| maximum resident MB of an idle entry, {count} entries | {:.1} |",
        memory as f64 / 1e6
    );
    println!("| platform requests per second, {count} entries in 4 zones | {requests:.1} |");
}
