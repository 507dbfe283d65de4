//! Cancelled jobs whose requests arrive once more.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::client::{Client, Work};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::Start;
use crate::{Failure, Verdict};

const ZONES: [&str; 2] = ["solo", "kudus"];
/// CPU of a worker, in thousandths of a core.
const CPU: u64 = 24_000;
/// `cancel_ms` of the settings.
const CANCEL_TIME: Duration = Duration::from_millis(3_000);
/// `contactMs` of the settings.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// A job that is at work for most of the time that its client waits.
const LONG: Work = Work { tasks: 2, cpu_millis: 6_800, run_ms: 700 };
/// A short job.
const SHORT: Work = Work { tasks: 1, cpu_millis: 6_800, run_ms: 51 };

/// A job that was cancelled, and when that was acknowledged.
struct Cancelled {
    job: String,
    acknowledged_at: Instant,
}

/// All processes are killed after jobs were cancelled. When the hosts are in touch again, the jobs' requests arrive
/// once more.
pub async fn all_killed(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let mut fleet = Fleet::start((&ZONES, 2, 3), CPU, record).await?;
    let client = Client::new(record);
    let fronts: Vec<_> = fleet.hosts.iter().map(|host| host.front).collect();
    let (mut cancelled, mut works) = (Vec::new(), Vec::new());
    for front in &fronts {
        // A quarter of the jobs is cancelled.
        for _ in 0..6 {
            client.submit(*front, &client.new_job(), SHORT).await;
        }
        // One job is cancelled while it is at work, and one just after its end.
        let (job, ended) = (client.new_job(), client.new_job());
        let running = tokio::spawn({
            let (client, job, front) = (client.clone(), job.clone(), *front);
            async move { client.submit(front, &job, LONG).await }
        });
        let answer = client.submit(*front, &ended, SHORT).await;
        if !answer.is_success() {
            return Err(format!("a job of a quiet fleet was answered {answer}"));
        }
        sleep(Duration::from_millis(150)).await;
        for (job, work) in [(job, LONG), (ended, SHORT)] {
            let answer = client.cancel(*front, &job).await;
            if answer.is_success() {
                works.push(work);
                cancelled.push(Cancelled { job, acknowledged_at: Instant::now() });
            }
        }
        // The answer to the first request is in the record.
        let _ = running.await;
    }
    if cancelled.len() < 2 * fronts.len() {
        return Err("not all cancellations were acknowledged".to_owned());
    }
    if trouble {
        fleet.kill_all();
        sleep(Duration::from_millis(1_000)).await;
        for index in 0..fleet.hosts.len() {
            fleet.launch(index)?;
        }
        fleet.settle().await?;
    }
    sleep(CONTACT_TIME + CANCEL_TIME).await;
    for (index, (one, work)) in cancelled.iter().zip(works).enumerate() {
        // Retries reach other nodes.
        client.submit(fronts[(index + 1) % fronts.len()], &one.job, work).await;
    }
    Ok(judge(&fleet, &cancelled, record))
}

/// A host is killed and starts again after many jobs were cancelled, a quarter of all. The requests of some arrive
/// once more, at that host.
pub async fn one_killed(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    /// Jobs in 5.5 s.
    const JOBS: usize = 3_300;
    const INTERVAL: Duration = Duration::from_micros(1_666);
    let mut fleet = Fleet::start((&["solo", "kudus", "semarang"], 1, 6), CPU, record).await?;
    let client = Client::new(record);
    let fronts: Vec<_> = fleet.hosts.iter().map(|host| host.front).collect();
    let began = Instant::now();
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let (client, front) = (client.clone(), fronts[1 + number % (fronts.len() - 1)]);
        jobs.push(tokio::spawn(async move {
            let job = client.new_job();
            let answer = client.submit(front, &job, SHORT).await;
            if !answer.is_success() || number % 4 != 0 {
                return None;
            }
            let answer = client.cancel(front, &job).await;
            let acknowledged_at = Instant::now();
            answer.is_success().then_some(Cancelled { job, acknowledged_at })
        }));
        let next = INTERVAL * u32::try_from(number + 1).unwrap_or(u32::MAX);
        sleep(next.saturating_sub(began.elapsed())).await;
    }
    let mut cancelled = Vec::new();
    for job in jobs {
        cancelled.extend(job.await.map_err(|error| error.to_string())?);
    }
    cancelled.sort_by_key(|one| one.acknowledged_at);
    record.note(format!("{} cancellations were acknowledged", cancelled.len()));
    if trouble {
        fleet.kill(0);
        sleep(Duration::from_millis(500)).await;
        fleet.launch(0)?;
        fleet.settle().await?;
    }
    sleep(CONTACT_TIME + Duration::from_millis(500)).await;
    for one in cancelled.iter().step_by(40) {
        client.submit(fronts[0], &one.job, SHORT).await;
    }
    Ok(judge(&fleet, &cancelled, record))
}

/// A host is killed again and again, each time right after it has acknowledged a cancellation. Some seconds later the
/// request of the cancelled job arrives once more, at a host that is never disturbed.
pub async fn killed_after_ack(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    const ROUNDS: usize = 40;
    let mut fleet = Fleet::start((&["solo", "kudus", "semarang"], 1, 2), CPU, record).await?;
    let client = Client::new(record);
    let front = fleet.hosts[0].front;
    let mut cancelled = Vec::new();
    let mut repeats = Vec::new();
    for round in 0..ROUNDS {
        // A quarter of the jobs is cancelled.
        for _ in 0..3 {
            client.submit(fleet.hosts[1].front, &client.new_job(), SHORT).await;
        }
        let job = client.new_job();
        let answer = client.submit(front, &job, SHORT).await;
        if !answer.is_success() {
            return Err(format!("a job of a quiet fleet was answered {answer}"));
        }
        sleep(Duration::from_millis(300)).await;
        let answer = client.cancel(front, &job).await;
        let acknowledged_at = Instant::now();
        if trouble {
            fleet.kill(0);
        }
        if answer.is_success() {
            let other = fleet.hosts[1 + round % 2].front;
            let (client, repeated) = (client.clone(), job.clone());
            repeats.push(tokio::spawn(async move {
                sleep(CANCEL_TIME + CONTACT_TIME).await;
                client.submit(other, &repeated, SHORT).await
            }));
            cancelled.push(Cancelled { job, acknowledged_at });
        }
        if trouble {
            sleep(Duration::from_millis(300)).await;
            fleet.launch(0)?;
            fleet.settle().await?;
        }
    }
    for repeat in repeats {
        repeat.await.map_err(|error| error.to_string())?;
    }
    Ok(judge(&fleet, &cancelled, record))
}

/// The rule UNASKED: a machine in touch starts a task later than `cancel_ms` after the job's cancelling was
/// acknowledged. Only a zone's own hosts give orders to its workers while one of them runs, so these are the ones
/// that must be in touch.
fn judge(fleet: &Fleet, cancelled: &[Cancelled], record: &Record) -> Verdict {
    let starts = fleet.starts();
    let in_touch = |start: &Start| {
        let hosts = fleet.hosts.iter().filter(|host| host.zone == start.zone);
        let mut begins = hosts.filter_map(|host| host.started_at);
        begins.all(|began| start.at > began + CONTACT_TIME)
    };
    let mut broken = 0;
    for Cancelled { job, acknowledged_at } in cancelled {
        for start in starts.iter().filter(|start| start.task.starts_with(job.as_str())) {
            if in_touch(start) && start.at > *acknowledged_at + CANCEL_TIME {
                broken += 1;
                let after = start.at.duration_since(*acknowledged_at).as_secs_f64();
                record.note(format!(
                    "UNASKED: {} starts on {} {after:.3} s after its cancelling was acknowledged",
                    start.task, start.worker
                ));
            }
        }
    }
    record.note(format!("{broken} starts of cancelled jobs by hosts in touch"));
    if broken == 0 { Verdict::Held } else { Verdict::Broken }
}
