//! Another writer replaces the entries of workers of one service. Its entries lack fields and name another service.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_platform_standin::process::SERVICE;
use coltsfootshunt_platform_standin::settings::configuration;
use coltsfootshunt_platform_standin::store::CONFIGURATION;

use crate::Verdict;
use crate::client::call;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::Worker;

/// The other service, and the route of its queue.
const OTHER_SERVICE: &str = "press";
const OTHER_ROUTE: (&str, &str) = ("stamp", "/stamp/");
/// Workers of the other service.
const OTHER_WORKERS: [&str; 2] = ["w-p-0", "w-p-1"];
/// Fields that the other writer's entries lack.
const MISSING: [&str; 5] = ["version", "slots", "sequence", "remainingColdMs", "labels"];
/// Number of times that the other writer writes, and the interval.
const WRITES: u32 = 5;
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
const DEADLINE_MS: u64 = 1_500;
/// Interval between jobs, all for the first service.
const JOBS_INTERVAL: Duration = Duration::from_millis(40);

pub async fn run(temporary: &str, record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(temporary, record).await;
    let store = &fleet.cluster.store;
    let mut others = Vec::new();
    for id in OTHER_WORKERS {
        others.push(Worker::start(id, (OTHER_SERVICE, "a"), store, record).await);
    }
    store.put(CONFIGURATION, &two_services());
    // Long enough for the hosts to know both.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.caller_address).collect();
    let jobs = tokio::spawn(submit_jobs(hosts, record.clone()));
    for _ in 0..WRITES {
        tokio::time::sleep(WRITE_INTERVAL).await;
        if has_trouble {
            for worker in &others {
                let mut entry = worker.entry(0);
                entry["service"] = SERVICE.into();
                let fields = entry.as_object_mut().expect("an entry is an object");
                fields.retain(|field, _| !MISSING.contains(&field.as_str()));
                record.note(&format!("another writer puts servers/{}: {entry}", worker.id));
                fleet.cluster.store.put_target(&worker.id, &entry);
            }
        }
    }
    tokio::time::sleep(WRITE_INTERVAL).await;
    jobs.abort();
    let runs = record.runs();
    if runs.is_empty() {
        return Verdict::CouldNotRun("no job has run".to_owned());
    }
    let wrong = runs.iter().filter(|run| OTHER_WORKERS.contains(&run.worker.as_str()));
    let wrong = wrong.inspect(|run| {
        record.note(&format!(
            "ROUTE: {} of {OTHER_SERVICE} started {}, whose queue goes to {SERVICE}, at {:.2} s",
            run.worker,
            run.task,
            run.started.as_secs_f64()
        ));
    });
    if wrong.count() > 0 { Verdict::Broken } else { Verdict::Held }
}

/// The configuration of the fleet with a queue for the other service.
fn two_services() -> serde_json::Value {
    let (name, prefix) = OTHER_ROUTE;
    let mut document = configuration(2, SERVICE, &coltsfootshunt_platform_standin::process::KINDS);
    let other = configuration(2, OTHER_SERVICE, &[(name, prefix)]);
    for list in ["routes", "services"] {
        let more = other[list].as_array().cloned().unwrap_or_default();
        document[list].as_array_mut().expect("it is a list").extend(more);
    }
    document
}

async fn submit_jobs(hosts: Vec<SocketAddr>, record: Record) {
    for number in 0_u64.. {
        let to = hosts[number as usize % hosts.len()];
        let record = record.clone();
        tokio::spawn(async move {
            let path = format!("/cut/{number:016x}");
            let body = "{\"spec\":\"ms=200\",\"bestEffort\":true,\"steps\":[{\"count\":4,\"cpu\":6800,\
                        \"memMb\":64,\"estimatedMs\":200}]}";
            let patience = Duration::from_millis(DEADLINE_MS);
            let answer = call(to, ("POST", &path, body), DEADLINE_MS, patience).await;
            record.note(&format!("POST {number:016x}: {answer:?}"));
        });
        tokio::time::sleep(JOBS_INTERVAL).await;
    }
}
