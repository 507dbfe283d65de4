//! A client cancels a job. The connection of its DELETE is reset before the host that has the job reads it, and the
//! retry reaches another host.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use coltsfootshunt_platform_standin::settings;
use coltsfootshunt_platform_standin::store::CONFIGURATION;
use coltsfootshunt_standin::relay::{Fault, Relay};
use review_harness::client::{Client, new_id};
use review_harness::fleet::{Fleet, SERVICE, ZONES};
use review_harness::record::Record;
use review_harness::worker::{Findings, Kind, Worker};
use review_harness::{Verdict, has_trouble, run};
use serde_json::json;

/// `cancel_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `stopTimeoutMs` of the settings, and 100 ms for the case's own look at the workers.
const STOP: Duration = Duration::from_millis(50 + 100);
/// Time for which the client waits, and the route's timeout.
const DEADLINE_MS: u64 = 12_000;
/// Run time of each task.
const RUN_MS: u64 = 4_500;

fn main() -> ExitCode {
    run(case)
}

async fn case(folder: PathBuf) -> Verdict {
    let record = Record::create(&folder);
    let findings = Findings::default();
    let fleet = Fleet::start(&record, 2).await;
    let mut configuration = settings::configuration(2, SERVICE, &[("cut", "/cut/")]);
    configuration["routes"][0]["timeoutMs"] = DEADLINE_MS.into();
    fleet.store.put(CONFIGURATION, &configuration);
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
    let id = new_id();
    let front = fleet.hosts[0].front;
    // Another host of the client's zone, which retries reach.
    let other = fleet.hosts[2].front;
    // The platform forwards the connection of the DELETE, like that of the POST, to the client's host.
    let mut forwarder = match Relay::start().await {
        Ok(forwarder) => forwarder,
        Err(error) => {
            record.say(&format!("no port for the forwarder: {error}"));
            return Verdict::NotRun;
        }
    };
    forwarder.forward_to(front);
    let step = json!({ "count": 2, "cpu": 2_000, "memMb": 64, "estimatedMs": RUN_MS });
    let mut second = step.clone();
    second["after"] = json!([0]);
    let spec = format!("cpu=2000 ms={RUN_MS}");
    let body = json!({ "spec": spec, "bestEffort": true, "steps": [step, second] });
    let submission = {
        let (record, id) = (record.clone(), id.clone());
        tokio::spawn(async move {
            Client::new(&record).submit_body(front, &id, &body, DEADLINE_MS).await
        })
    };
    tokio::time::sleep(Duration::from_millis(700)).await;
    if findings.running(&id).is_empty() {
        record.say("the job does not run");
        return Verdict::NotRun;
    }
    if has_trouble() {
        forwarder.set_fault(Fault::Reset);
    }
    let client = Client::new(&record);
    let mut status = client.cancel(forwarder.address, &id).await;
    if status.is_none() {
        record
            .say("the connection of the DELETE is reset; the client tries again, at another host");
        status = client.cancel(other, &id).await;
    }
    let cancelled = Instant::now();
    record.say(&format!("the cancelling is answered with {status:?}"));
    if !matches!(status, Some(200..300 | 410)) {
        return Verdict::NotRun;
    }
    tokio::time::sleep(CANCEL + STOP).await;
    let running = findings.running(&id);
    let after = cancelled.elapsed().as_millis();
    record.say(&format!("{after} ms after that answer {running:?} run"));
    let answer = submission.await.ok().flatten();
    record.say(&format!("the job itself is answered with {answer:?}"));
    let is_late = |start: &(Instant, String, String)| start.0 > cancelled + CANCEL;
    let late: Vec<_> = findings.starts().into_iter().filter(is_late).collect();
    for (at, task, worker) in &late {
        let after = at.duration_since(cancelled).as_millis();
        record.say(&format!("{task} starts on {worker} {after} ms after that answer"));
    }
    if running.is_empty() && late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
