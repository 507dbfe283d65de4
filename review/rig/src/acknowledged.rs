//! Several jobs are cancelled through the host that has them, which is killed right after it has acknowledged
//! some of these cancellations.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use coltsfootshunt_platform_standin::process::Host;
use coltsfootshunt_testkit::Signal;

use crate::Verdict;
use crate::client::call;
use crate::fleet::{Fleet, HOSTS};
use crate::record::Record;

/// `cancel_ms` and `resendMs` of the site, and the deadline of its requests.
const CANCEL_LIMIT: Duration = Duration::from_millis(3_000);
const RESEND_AFTER: Duration = Duration::from_millis(1_300);
const DEADLINE_MS: u64 = 1_500;
/// Time after which the platform starts a killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Kills, each some seconds after the last.
const ROUNDS: u64 = 12;
/// Jobs that are cancelled in quick succession, and the acknowledgement right after which the host is killed.
const JOBS: u64 = 8;
const KILLED_AFTER: usize = 5;
/// Intervals between them, in turn.
const CANCEL_INTERVALS_US: [u64; 3] = [60, 100, 140];
/// Time before each round, in which the hosts find the one that was started again.
const SETTLED: Duration = Duration::from_millis(1_500);
/// Time for which a round goes on after its acknowledgements.
const OBSERVED: Duration = Duration::from_millis(4_500);
/// Like a job of the site's `heel-cup` whose task takes seven times as long as declared, as 3 in 100 do.
const JOB: &str = "{\"spec\":\"ms=5300\",\"bestEffort\":true,\"steps\":[{\"count\":1,\"cpu\":6800,\"memMb\":64,\
                   \"estimatedMs\":760}]}";
/// The other jobs, of which one in ten is cancelled while it runs.
const OTHER_JOB: &str = "{\"spec\":\"ms=100\",\"bestEffort\":true,\"steps\":[{\"count\":2,\"cpu\":6800,\"memMb\":64,\
                         \"estimatedMs\":100}]}";
const OTHERS_INTERVAL: Duration = Duration::from_millis(50);
const OTHERS_CANCELLED: u64 = 10;

pub async fn run(temporary: &str, record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(temporary, record).await;
    let addresses: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.caller_address).collect();
    let others = tokio::spawn(submit_others(addresses.clone(), record.clone()));
    let mut acknowledged = 0;
    for round in 0..ROUNDS {
        tokio::time::sleep(SETTLED).await;
        // The host of zone a that gives no orders to workers.
        let owner = match (fleet.is_steward(0).await, fleet.is_steward(1).await) {
            (Some(true), Some(false)) => 1,
            (Some(false), Some(true)) => 0,
            other => return Verdict::CouldNotRun(format!("stewards of zone a: {other:?}")),
        };
        let ids: Vec<String> =
            (0..JOBS).map(|number| format!("c{round:07x}{number:08x}")).collect();
        let submitters = ids
            .iter()
            .map(|id| tokio::spawn(submit(id.clone(), addresses.clone(), owner, record.clone())));
        let submitters: Vec<_> = submitters.collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let cancelled = tokio::task::block_in_place(|| {
            cancel((&ids, round), (&fleet.hosts[owner], addresses[owner]), has_trouble, record)
        });
        let name = HOSTS[owner].0;
        record.note(&format!("{} cancellations were acknowledged by {name}", cancelled.len()));
        acknowledged += cancelled.len();
        if has_trouble {
            fleet.hosts[owner].wait_for_exit().await;
            record.note(&format!("{name} was killed"));
            tokio::time::sleep(RESTART_AFTER).await;
            fleet.cluster.launch(&mut fleet.hosts[owner]);
            record.note(&format!("{name} is started again"));
        }
        tokio::time::sleep(OBSERVED).await;
        submitters.iter().for_each(tokio::task::JoinHandle::abort);
        if fleet.is_steward(owner).await != Some(false) {
            return Verdict::CouldNotRun("the disrupted host gives orders to workers".to_owned());
        }
        for run in record.runs() {
            let cancelled = cancelled.iter().find(|(id, _)| run.job() == id);
            let after = cancelled.map(|(_, at)| run.started.saturating_sub(*at));
            if let Some(after) = after.filter(|after| *after > CANCEL_LIMIT) {
                record.violate(&format!(
                    "UNASKED: {} started {} {:.2} s after its cancelling was acknowledged",
                    run.worker,
                    run.task,
                    after.as_secs_f64()
                ));
            }
        }
    }
    others.abort();
    if acknowledged == 0 {
        return Verdict::CouldNotRun("no cancellation was acknowledged".to_owned());
    }
    if record.violations() > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Cancels the jobs one after the other, without waiting for answers. Returns those of which the cancelling was acknowledged, and when. The host is killed as
/// soon as some were.
fn cancel(
    (ids, round): (&[String], u64),
    (host, to): (&Host, SocketAddr),
    is_killed: bool,
    record: &Record,
) -> Vec<(String, Duration)> {
    let connections: Vec<Option<TcpStream>> =
        ids.iter().map(|_| TcpStream::connect(to).ok()).collect();
    let answered = AtomicUsize::new(0);
    let interval =
        Duration::from_micros(CANCEL_INTERVALS_US[round as usize % CANCEL_INTERVALS_US.len()]);
    let begin = Instant::now() + Duration::from_millis(5);
    std::thread::scope(|scope| {
        let answered = &answered;
        let threads = (0..).zip(ids).zip(connections).map(|((number, id), connection)| {
            scope.spawn(move || {
                while Instant::now() < begin + interval * number {
                    std::hint::spin_loop();
                }
                let status = connection.and_then(|connection| delete(connection, id));
                let is_acknowledged = matches!(status, Some(200 | 410));
                let is_last =
                    is_acknowledged && answered.fetch_add(1, Ordering::SeqCst) + 1 == KILLED_AFTER;
                if is_last && is_killed {
                    host.signal(Signal::Kill);
                }
                let at = record.note(&format!("DELETE {id}: {status:?}"));
                is_acknowledged.then(|| (id.clone(), at))
            })
        });
        let threads: Vec<_> = threads.collect();
        threads.into_iter().filter_map(|thread| thread.join().ok().flatten()).collect()
    })
}

/// Sends a DELETE and returns the status of its answer as soon as it is there.
fn delete(mut connection: TcpStream, id: &str) -> Option<u16> {
    connection.set_nodelay(true).ok()?;
    let request = format!(
        "DELETE /cut/{id} HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).ok()?;
    let mut answer = [0; 1024];
    let length = connection.read(&mut answer).ok()?;
    std::str::from_utf8(&answer[..length]).ok()?.split(' ').nth(1)?.parse().ok()
}

/// Sends a job to its first host, and after no answer, 502 or 504 to the hosts of the other zone in turn.
async fn submit(id: String, hosts: Vec<SocketAddr>, first: usize, record: Record) {
    let mut to = first;
    for attempt in 0.. {
        let path = format!("/cut/{id}");
        let patience = Duration::from_millis(DEADLINE_MS);
        let answer = call(hosts[to], ("POST", &path, JOB), DEADLINE_MS, patience).await;
        record.note(&format!("POST {id} to {}: {answer:?}", HOSTS[to].0));
        if !matches!(answer, None | Some((502 | 504, _))) {
            return;
        }
        to = 2 + attempt % 2;
        tokio::time::sleep(RESEND_AFTER).await;
    }
}

/// Sends short jobs of others to all hosts in turn.
async fn submit_others(hosts: Vec<SocketAddr>, record: Record) {
    for number in 0_u64.. {
        let to = hosts[number as usize % hosts.len()];
        let record = record.clone();
        tokio::spawn(async move {
            let path = format!("/mark/{number:016x}");
            let patience = Duration::from_millis(DEADLINE_MS);
            if number % OTHERS_CANCELLED == 0 {
                let cancel = async {
                    tokio::time::sleep(OTHERS_INTERVAL).await;
                    call(to, ("DELETE", &path, ""), DEADLINE_MS, patience).await
                };
                tokio::join!(cancel, call(to, ("POST", &path, OTHER_JOB), DEADLINE_MS, patience));
                return;
            }
            let answer = call(to, ("POST", &path, OTHER_JOB), DEADLINE_MS, patience).await;
            if answer.as_ref().is_none_or(|(status, _)| *status != 200) {
                record.note(&format!("POST {number:016x}: {answer:?}"));
            }
        });
        tokio::time::sleep(OTHERS_INTERVAL).await;
    }
}
