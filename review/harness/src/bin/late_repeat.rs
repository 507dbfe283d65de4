//! A request arrives once more seconds after its job was cancelled.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use review_harness::client::{Client, Job, new_id};
use review_harness::fleet::{Fleet, ZONES};
use review_harness::record::Record;
use review_harness::worker::{Findings, Kind, Worker};
use review_harness::{Verdict, has_trouble, run};

/// `cancel_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);
/// Time from the answer to the cancelling until the request arrives again.
const LATE: Duration = Duration::from_millis(3_500);

fn main() -> ExitCode {
    run(case)
}

async fn case(folder: PathBuf) -> Verdict {
    let record = Record::create(&folder);
    let findings = Findings::default();
    let fleet = Fleet::start(&record, 2).await;
    let mut workers = Vec::new();
    for zone in ZONES {
        for number in 0..2 {
            let kind = Kind { cpu_millis: 16_000, labels: vec!["a".into(), "r1-1".into()] };
            let id = format!("i-{zone}-{number}");
            workers.push(Worker::start(&id, zone, kind, &fleet.store, &findings, &record));
        }
    }
    if !fleet.wait_until_ready().await {
        record.say("the hosts are not ready");
        return Verdict::NotRun;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    // Cancelled while it runs; the request arrives again at the same host.
    let running = Job { tasks: 4, cpu_millis: 6_800, run_ms: 760, deadline_ms: 1_500 };
    let same = [fleet.hosts[0].front, fleet.hosts[0].front];
    // Cancelled when it has just been answered 200; the request arrives again at another host.
    let ended = Job { tasks: 2, cpu_millis: 6_800, run_ms: 170, deadline_ms: 1_500 };
    let other = [fleet.hosts[0].front, fleet.hosts[2].front];
    let mut verdict = Verdict::Held;
    for (name, job, hosts, cancel_after) in [
        ("cancelled while it runs, repeated at its host", running, same, 300),
        ("cancelled after its answer, repeated at another host", ended, other, 600),
    ] {
        match play(name, job, hosts, cancel_after, &findings, &record).await {
            Verdict::Held => {}
            Verdict::Broken => verdict = Verdict::Broken,
            Verdict::NotRun => return Verdict::NotRun,
        }
    }
    verdict
}

async fn play(
    name: &str,
    job: Job,
    [first, second]: [std::net::SocketAddr; 2],
    cancel_after_ms: u64,
    findings: &Findings,
    record: &Record,
) -> Verdict {
    let id = new_id();
    let submission = {
        let (record, id) = (record.clone(), id.clone());
        tokio::spawn(async move { Client::new(&record).submit(first, &id, job).await })
    };
    tokio::time::sleep(Duration::from_millis(cancel_after_ms)).await;
    let client = Client::new(record);
    let status = client.cancel(first, &id).await;
    let cancelled = Instant::now();
    let answer = submission.await.ok().flatten();
    record.say(&format!("job {name}: POST {answer:?}, DELETE {status:?}"));
    if !matches!(status, Some(200..300)) {
        return Verdict::NotRun;
    }
    tokio::time::sleep_until((cancelled + LATE).into()).await;
    if has_trouble() {
        let again = client.submit(second, &id, job).await;
        record.say(&format!("  the request that arrives again is answered with {again:?}"));
    } else {
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }
    let is_late = |start: &(Instant, String, String)| {
        start.1.starts_with(&id) && start.0 > cancelled + CANCEL
    };
    let late: Vec<_> = findings.starts().into_iter().filter(is_late).collect();
    for (at, task, worker) in &late {
        let after = at.duration_since(cancelled).as_millis();
        record.say(&format!("  {task} starts on {worker} {after} ms after its cancelling"));
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
