//! A worker crashes and starts again under its identifier, as a machine of a smaller kind. With `SAME_KIND` in the
//! environment it is of the same kind, which shows that the crash alone does no harm.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use review_harness::client::{Client, Job, new_id};
use review_harness::fleet::{Fleet, ZONES};
use review_harness::record::Record;
use review_harness::worker::{Findings, Kind, Worker};
use review_harness::{Verdict, has_trouble, run};

/// Workers of each zone. One of eight is within the share of workers that crash at once.
const WORKERS: usize = 4;
const CRASHES: usize = 4;
/// Time for which a worker is down.
const DOWN: Duration = Duration::from_millis(3_000);
/// Clients, each with one job at a time.
const CLIENTS: usize = 22;
const JOB: Job = Job { tasks: 1, cpu_millis: 6_800, run_ms: 170, deadline_ms: 1_500 };

fn kind(cpu_millis: u64, name: &str) -> Kind {
    Kind { cpu_millis, labels: vec![name.to_owned(), "r1-1".to_owned()] }
}

fn main() -> ExitCode {
    run(case)
}

async fn case(folder: PathBuf) -> Verdict {
    let record = Record::create(&folder);
    let findings = Findings::default();
    let fleet = Fleet::start(&record, 1).await;
    let mut workers = Vec::new();
    for zone in ZONES {
        for number in 0..WORKERS {
            let id = format!("i-{zone}-{number}");
            let large = kind(24_000, "b");
            workers.push(Worker::start(&id, zone, large, &fleet.store, &findings, &record));
        }
    }
    if !fleet.wait_until_ready().await {
        record.say("the hosts are not ready");
        return Verdict::NotRun;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let host = fleet.hosts[number % fleet.hosts.len()].front;
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        clients.push(tokio::spawn(async move {
            let client = Client::new(&record);
            let mut served = 0;
            while !is_over.load(Ordering::Relaxed) {
                if client.submit(host, &new_id(), JOB).await == Some(200) {
                    served += 1;
                } else {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
            served
        }));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    for number in 0..CRASHES {
        let worker = &mut workers[number];
        if has_trouble() {
            worker.crash();
            tokio::time::sleep(DOWN).await;
            let is_same = std::env::var_os("SAME_KIND").is_some();
            worker.restart(if is_same { kind(24_000, "b") } else { kind(16_000, "a") });
        } else {
            tokio::time::sleep(DOWN).await;
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
    is_over.store(true, Ordering::Relaxed);
    let mut served = 0;
    for client in clients {
        served += client.await.unwrap_or_default();
    }
    let found = findings.all();
    record.say(&format!(
        "{served} jobs served, {} starts, {} findings",
        findings.starts().len(),
        found.len()
    ));
    found.iter().for_each(|one| println!("{} {}", one.rule, one.text));
    if served == 0 {
        return Verdict::NotRun;
    }
    if found.iter().any(|one| one.rule == "LIMIT") { Verdict::Broken } else { Verdict::Held }
}
