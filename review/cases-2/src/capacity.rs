//! Workers that start again with less capacity.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use crate::client::{Client, Work};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::{Failure, Verdict};

const ZONES: [&str; 2] = ["solo", "kudus"];
/// CPU of the larger kind of worker, in thousandths of a core.
const LARGE: u64 = 24_000;
/// CPU of the smaller kind.
const SMALL: u64 = 16_000;
/// A job like the widest of the sites' kinds: eight tasks of 6.8 cores, of which a small worker holds two and a large
/// one three.
const WIDE: Work = Work { tasks: 8, cpu_millis: 6_800, run_ms: 51 };

/// The store is down for four seconds, twice. Meanwhile a worker crashes and starts again, smaller. Jobs come all the
/// time.
pub async fn after_outage(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let fleet = Fleet::start((&ZONES, 2, 4), LARGE, record).await?;
    let client = Client::new(record);
    let fronts: Vec<_> = fleet.hosts.iter().map(|host| host.front).collect();
    let load = tokio::spawn(keep_busy(client, fronts));
    for worker in fleet.workers.iter().step_by(4) {
        sleep(Duration::from_secs(4)).await;
        if !trouble {
            continue;
        }
        fleet.set_store_down(true);
        sleep(Duration::from_millis(300)).await;
        worker.crash();
        sleep(Duration::from_millis(1_500)).await;
        worker.start(SMALL).await;
        sleep(Duration::from_millis(2_200)).await;
        fleet.set_store_down(false);
    }
    sleep(Duration::from_secs(4)).await;
    load.abort();
    Ok(judge(&fleet, record))
}

/// Workers crash one after the other while nothing runs on them, and start again at once, smaller. A job comes soon
/// after each restart.
pub async fn after_restart(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let fleet = Fleet::start((&ZONES, 2, 6), LARGE, record).await?;
    let client = Client::new(record);
    for (round, worker) in fleet.workers.iter().enumerate() {
        sleep(Duration::from_millis(1_500)).await;
        if trouble && worker.is_idle() {
            worker.crash();
            sleep(Duration::from_millis(300)).await;
            worker.start(SMALL).await;
        }
        sleep(Duration::from_millis(30)).await;
        // Each zone has enough room for the jobs of its clients.
        let front = fleet.hosts[(round / 6) * 2].front;
        let (one, other) = (client.new_job(), client.new_job());
        tokio::join!(client.submit(front, &one, WIDE), client.submit(front, &other, WIDE));
    }
    Ok(judge(&fleet, record))
}

/// Another writer writes entries under the name of a worker. They lack the start time and the sequence that a
/// worker's own entries bear, and name more capacity than the worker has.
pub async fn foreign_entry(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    const FOREIGN: u64 = 32_000;
    let fleet = Fleet::start((&ZONES, 2, 4), LARGE, record).await?;
    let client = Client::new(record);
    let fronts: Vec<_> = fleet.hosts.iter().map(|host| host.front).collect();
    let load = tokio::spawn(keep_busy(client, fronts));
    for _ in 0..5 {
        sleep(Duration::from_secs(2)).await;
        if trouble {
            fleet.workers[0].write_foreign_entry(FOREIGN);
        }
    }
    load.abort();
    Ok(judge(&fleet, record))
}

/// Hands in jobs all the time, at each host in turn.
async fn keep_busy(client: Client, fronts: Vec<SocketAddr>) {
    for number in 0_usize.. {
        let (client, front) = (client.clone(), fronts[number % fronts.len()]);
        tokio::spawn(async move {
            let job = client.new_job();
            client.submit(front, &job, Work { run_ms: 150, ..WIDE }).await
        });
        sleep(Duration::from_millis(80)).await;
    }
}

/// The rule LIMIT: a start brings a worker that does not guard its capacity over it.
fn judge(fleet: &Fleet, record: &Record) -> Verdict {
    let starts = fleet.starts();
    let over = starts.iter().filter(|start| start.used_millis > start.capacity_millis);
    let over: Vec<_> = over.collect();
    record.note(format!("{} starts, {} over the capacity of the worker", starts.len(), over.len()));
    for start in &over {
        record.note(format!(
            "LIMIT: {} on {}: {} of {} thousandths of a core",
            start.task, start.worker, start.used_millis, start.capacity_millis
        ));
    }
    if over.is_empty() { Verdict::Held } else { Verdict::Broken }
}
