//! Idle workers lose power for a moment and start again under their ids as a smaller kind. Connections to them hang
//! meanwhile, and are not closed.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_platform_standin::process::{Cluster, Host, SERVICE};
use coltsfootshunt_standin::relay::{Fault, Relay};

use crate::client::call;
use crate::fleet::{HOSTS, is_settled};
use crate::record::Record;
use crate::worker::{HEARTBEAT_INTERVAL, Worker};
use crate::{PROGRAM, Verdict};

/// Kinds of worker, in thousandths of a core: the sizes 1.5 and 1 of the site.
const LARGE: u64 = 24_000;
const SMALL: u64 = 16_000;
const WORKERS_PER_ZONE: usize = 6;
/// Time for which a worker is dark; the site's longest is 4.5 s.
const DARK: Duration = Duration::from_millis(500);
/// Time between a worker's entry in the store and the next jobs.
const JOBS_AFTER: Duration = Duration::from_millis(30);
/// Calm before each worker's loss: no connection but the one of the call that waits stays open for longer.
const CALM: Duration = Duration::from_secs(6);
const DEADLINE_MS: u64 = 1_500;
/// The widest job of the site: a large worker holds three of its tasks, a small one two.
const JOB: &str = "{\"spec\":\"cpu=6800 ms=51\",\"bestEffort\":true,\"steps\":[{\"count\":8,\"cpu\":6800,\
                   \"memMb\":64,\"estimatedMs\":51}]}";

struct Placed {
    worker: Worker,
    relay: Relay,
}

pub async fn run(temporary: &str, record: &Record, has_trouble: bool) -> Verdict {
    let cluster = Cluster::start(PROGRAM, temporary, &[], 0).await;
    let mut all = Vec::new();
    for zone in ["a", "b"] {
        for number in 0..WORKERS_PER_ZONE {
            let id = format!("w-{zone}-{number}");
            let mut worker = Worker::listen(&id, (SERVICE, zone), record).await;
            let Ok(mut relay) = Relay::start().await else {
                return Verdict::CouldNotRun("no port is free".to_owned());
            };
            worker.stand_behind(&mut relay);
            worker.restart(LARGE);
            tokio::spawn(worker.clone().heartbeat(cluster.store.clone()));
            // So that the heartbeats of all workers are spread over the interval.
            tokio::time::sleep(HEARTBEAT_INTERVAL / (2 * WORKERS_PER_ZONE as u32)).await;
            all.push(Placed { worker, relay });
        }
    }
    let mut hosts: Vec<Host> = Vec::new();
    for (name, zone) in HOSTS {
        let seeds: Vec<&Host> = hosts.iter().take(2).collect();
        let mut host = cluster.host(name, zone, &seeds);
        cluster.launch(&mut host);
        hosts.push(host);
    }
    coltsfootshunt_testkit::wait_until("the hosts serve both zones and know each other", || {
        is_settled(&cluster, &hosts)
    })
    .await;
    let mut number = 0;
    for (round, Placed { worker, relay }) in all.iter().enumerate() {
        tokio::time::sleep(CALM).await;
        if !worker.is_idle() {
            return Verdict::CouldNotRun(format!("{} is not idle", worker.id));
        }
        if has_trouble {
            record.note(&format!("{} loses power", worker.id));
            relay.set_fault(Fault::Blackhole);
            tokio::time::sleep(DARK).await;
            worker.restart(SMALL);
            relay.set_fault(Fault::None);
            cluster.store.put_target(&worker.id, &worker.entry(0));
            record.note(&format!(
                "{} is back as a smaller kind, and its entry is in the store",
                worker.id
            ));
        }
        tokio::time::sleep(JOBS_AFTER).await;
        let zone = round / WORKERS_PER_ZONE;
        let to = hosts[zone * 2].caller_address;
        let jobs = [number, number + 1].map(|number| submit(to, number, record.clone()));
        number += 2;
        let [one, other] = jobs;
        tokio::join!(one, other);
    }
    if record.runs().is_empty() {
        return Verdict::CouldNotRun("no job has run".to_owned());
    }
    if record.violations() > 0 { Verdict::Broken } else { Verdict::Held }
}

async fn submit(to: SocketAddr, number: u64, record: Record) {
    let path = format!("/cut/{number:016x}");
    let patience = Duration::from_millis(DEADLINE_MS);
    let answer = call(to, ("POST", &path, JOB), DEADLINE_MS, patience).await;
    record.note(&format!("POST {number:016x}: {answer:?}"));
}
