//! A job is cancelled through the host that has it. Its submitter, whose request is answered 504 by that, sends it
//! again as the pages say.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_testkit::Signal;
use tokio::task::JoinHandle;

use crate::Verdict;
use crate::client::call;
use crate::fleet::{Fleet, HOSTS};
use crate::record::{Record, Run};

/// `cancel_ms` of the site.
const CANCEL_LIMIT: Duration = Duration::from_millis(3_000);
/// `resendMs` of the site.
const RESEND_AFTER: Duration = Duration::from_millis(1_300);
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Deadline of the site's requests, in milliseconds.
const DEADLINE_MS: u64 = 1_500;
/// Time after which the platform starts a killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Time from the acknowledgement until all hosts are killed, so that all of them have heard of it.
const KILL_ALL_AFTER: Duration = Duration::from_secs(1);
/// Time for which a case goes on after the acknowledgement.
const OBSERVED: Duration = Duration::from_secs(12);
/// The job: two tasks that are declared to take 0.76 s and take seven times as long, as the site says of 3 in 100.
const JOB: &str = "5c0e7a21d94b36f8";
const DECLARED_MS: u64 = 760;
const RUN_MS: u64 = 5_300;
/// Interval between the other jobs, of which one in ten is cancelled while it runs.
const OTHERS_INTERVAL: Duration = Duration::from_millis(50);
const OTHERS_CANCELLED: u64 = 10;

pub async fn run(temporary: &str, record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(temporary, record).await;
    let addresses: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.caller_address).collect();
    let others = spawn_others(addresses.clone(), record.clone());
    tokio::time::sleep(CONTACT).await;
    // The host of zone a that gives no orders to workers.
    let owner = match (fleet.is_steward(0).await, fleet.is_steward(1).await) {
        (Some(true), Some(false)) => 1,
        (Some(false), Some(true)) => 0,
        other => return Verdict::CouldNotRun(format!("stewards of zone a: {other:?}")),
    };
    record.note(&format!("the job goes to {}", HOSTS[owner].0));
    let submitter = tokio::spawn(submit(addresses.clone(), owner, record.clone()));
    tokio::time::sleep(Duration::from_millis(500)).await;
    if !record.runs().iter().any(|run| run.job() == JOB) {
        return Verdict::CouldNotRun("the job has not started".to_owned());
    }
    let request = ("DELETE", &*path(), "");
    let patience = Duration::from_millis(DEADLINE_MS);
    let answer = call(addresses[owner], request, DEADLINE_MS, patience).await;
    let acknowledged = record.note(&format!("DELETE {JOB} to {}: {answer:?}", HOSTS[owner].0));
    if !matches!(answer, Some((200, _))) {
        return Verdict::CouldNotRun("the cancelling was not acknowledged".to_owned());
    }
    // Since when all hosts are in touch.
    let mut calm_since = Duration::ZERO;
    if has_trouble {
        tokio::time::sleep(KILL_ALL_AFTER).await;
        for host in &fleet.hosts {
            host.signal(Signal::Kill);
        }
        record.note("all hosts are killed");
        for host in &mut fleet.hosts {
            host.wait_for_exit().await;
        }
        tokio::time::sleep(RESTART_AFTER).await;
        for host in &mut fleet.hosts {
            fleet.cluster.launch(host);
        }
        calm_since = record.note("all hosts are started again") + CONTACT;
    }
    while record.now() < acknowledged + OBSERVED {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    submitter.abort();
    others.abort();
    let is_late = |run: &&Run| run.started > (acknowledged + CANCEL_LIMIT).max(calm_since);
    let runs = record.runs();
    let late: Vec<&Run> = runs.iter().filter(|run| run.job() == JOB).filter(is_late).collect();
    for run in &late {
        let after = run.started - acknowledged;
        record.note(&format!(
            "UNASKED: {} started {} {:.2} s after the cancelling was acknowledged",
            run.worker,
            run.task,
            after.as_secs_f64()
        ));
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn path() -> String {
    format!("/cut/{JOB}")
}

fn body(tasks: u32, declared_ms: u64, run_ms: u64) -> String {
    format!(
        "{{\"spec\":\"ms={run_ms}\",\"bestEffort\":true,\"steps\":[{{\"count\":{tasks},\"cpu\":6800,\
         \"memMb\":64,\"estimatedMs\":{declared_ms}}}]}}"
    )
}

/// Sends the job to its first host, and after no answer, 502 or 504 to the hosts of the other zone in turn.
async fn submit(hosts: Vec<SocketAddr>, first: usize, record: Record) {
    let mut to = first;
    for attempt in 0..8 {
        record.note(&format!("POST {JOB} to {}", HOSTS[to].0));
        let request = ("POST", &*path(), &*body(2, DECLARED_MS, RUN_MS));
        let patience = Duration::from_millis(DEADLINE_MS);
        let answer = call(hosts[to], request, DEADLINE_MS, patience).await;
        record.note(&format!("POST {JOB} to {}: {answer:?}", HOSTS[to].0));
        if !matches!(answer, None | Some((502 | 504, _))) {
            return;
        }
        to = 2 + attempt % 2;
        tokio::time::sleep(RESEND_AFTER).await;
    }
}

/// Sends short jobs of others to all hosts in turn.
fn spawn_others(hosts: Vec<SocketAddr>, record: Record) -> JoinHandle<()> {
    tokio::spawn(async move {
        for number in 0_u64.. {
            let to = hosts[number as usize % hosts.len()];
            if number % OTHERS_CANCELLED == 0 {
                tokio::spawn(async move {
                    tokio::time::sleep(OTHERS_INTERVAL).await;
                    let path = format!("/mark/{number:016x}");
                    call(
                        to,
                        ("DELETE", &path, ""),
                        DEADLINE_MS,
                        Duration::from_millis(DEADLINE_MS),
                    )
                    .await;
                });
            }
            let record = record.clone();
            tokio::spawn(async move {
                let path = format!("/mark/{number:016x}");
                let request = ("POST", &*path, &*body(2, 100, 100));
                let patience = Duration::from_millis(DEADLINE_MS);
                let answer = call(to, request, DEADLINE_MS, patience).await;
                if answer.as_ref().is_none_or(|(status, _)| *status != 200)
                    && number % OTHERS_CANCELLED > 0
                {
                    record.note(&format!("POST {number:016x}: {answer:?}"));
                }
            });
            tokio::time::sleep(OTHERS_INTERVAL).await;
        }
    })
}
