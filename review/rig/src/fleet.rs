//! Two zones with two hosts and four workers each.

use coltsfootshunt_platform_standin::process::{Cluster, Host, SERVICE};
use serde_json::Value;

use crate::PROGRAM;
use crate::record::Record;
use crate::worker::Worker;

/// Names and zones of the hosts.
pub const HOSTS: [(&str, &str); 4] = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")];
const WORKERS_PER_ZONE: usize = 4;

/// The stand-ins and the hosts, which are killed when this is dropped.
pub struct Fleet {
    pub cluster: Cluster,
    pub hosts: Vec<Host>,
    _workers: Vec<Worker>,
}

impl Fleet {
    /// Starts all of them and waits until the hosts know each other and each zone has a steward.
    pub async fn start(temporary: &str, record: &Record) -> Self {
        let cluster = Cluster::start(PROGRAM, temporary, &[], 0).await;
        let mut workers = Vec::new();
        for zone in ["a", "b"] {
            for number in 0..WORKERS_PER_ZONE {
                let id = format!("w-{zone}-{number}");
                workers.push(Worker::start(&id, (SERVICE, zone), &cluster.store, record).await);
            }
        }
        let mut hosts: Vec<Host> = Vec::new();
        for (name, zone) in HOSTS {
            let seeds: Vec<&Host> = hosts.iter().take(2).collect();
            let mut host = cluster.host(name, zone, &seeds);
            cluster.launch(&mut host);
            hosts.push(host);
        }
        let fleet = Self { cluster, hosts, _workers: workers };
        coltsfootshunt_testkit::wait_until(
            "the hosts serve both zones and know each other",
            || async {
                let mut zones = 0;
                for host in &fleet.hosts {
                    let state = fleet.cluster.state(host).await?;
                    zones += claims(&state);
                    let alive = state["peers"]
                        .as_array()?
                        .iter()
                        .filter(|peer| peer["alive"] == true)
                        .count();
                    if alive + 1 < HOSTS.len() {
                        return None;
                    }
                }
                (zones == 2).then_some(())
            },
        )
        .await;
        fleet
    }

    /// Whether a host is the steward of a zone; none if it doesn't answer.
    pub async fn is_steward(&self, host: usize) -> Option<bool> {
        // The first call may fail because the host has closed an idle connection.
        for _ in 0..2 {
            if let Some(state) = self.cluster.state(&self.hosts[host]).await {
                return Some(claims(&state) > 0);
            }
        }
        None
    }
}

fn claims(state: &Value) -> usize {
    state["claims"].as_array().map_or(0, Vec::len)
}
