//! The fleet of a soak: its processes, its faults, and what is checked at the end.

mod caller;
mod fault;

use std::time::{Duration, Instant};

use coltsfootshunt_http::{Client, Method};
use coltsfootshunt_platform_standin::process::{Cluster, Host, SERVICE};
use coltsfootshunt_platform_standin::settings::configuration;
use coltsfootshunt_platform_standin::store::CONFIGURATION;
use coltsfootshunt_standin::cut::Relay;
use coltsfootshunt_testkit::{Signal, until};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

use caller::{Caller, Job};
use fault::Heal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const ZONES: [&str; 2] = ["a", "b"];
const HOSTS_PER_ZONE: usize = 2;
const TARGETS_PER_ZONE: usize = 3;
/// Faults of one run.
const FAULTS: usize = 16;
/// Time between two faults, in milliseconds: some overlap, some don't.
const GAP_MS: std::ops::Range<u64> = 50..600;
/// Time between two jobs, in milliseconds.
const JOB_GAP_MS: std::ops::Range<u64> = 10..60;
/// Time after the end of all faults within which jobs are served again, by the platform's pages.
const RECOVERED_WITHIN: Duration = Duration::from_secs(12);
/// Largest answer to a caller, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 16;

/// A running soak.
pub(crate) struct Soak {
    cluster: Cluster,
    hosts: Vec<Host>,
    target_relays: Vec<Relay>,
    store_relays: Vec<Relay>,
    /// Draws faults and the time between them, whatever number of jobs comes in between.
    rng: StdRng,
    /// Draws jobs.
    load: StdRng,
    /// Draws refusals, which come beside the other faults.
    refusals: StdRng,
    heals: Vec<(Instant, Heal)>,
    /// Hosts whose processes were told to end.
    told: Vec<bool>,
    version: u64,
    jobs: u32,
    callers: Vec<JoinHandle<Job>>,
    client: Client,
    broken: Vec<String>,
}

async fn relays(count: usize) -> Vec<Relay> {
    let mut relays = Vec::new();
    for _ in 0..count {
        relays.push(Relay::start().await.expect("a loopback port is free"));
    }
    relays
}

impl Soak {
    /// A settled fleet.
    pub(crate) async fn start(seed: u64) -> Self {
        let mut target_relays = relays(ZONES.len() * TARGETS_PER_ZONE).await;
        let targets = (TARGETS_PER_ZONE, target_relays.as_mut_slice());
        let cluster = Cluster::start_with_relays(PROGRAM, FOLDER, &ZONES, targets).await;
        let mut store_relays = relays(ZONES.len() * HOSTS_PER_ZONE).await;
        let mut hosts: Vec<Host> = Vec::new();
        for (number, relay) in store_relays.iter_mut().enumerate() {
            relay.point(cluster.store.address);
            let zone = ZONES[number / HOSTS_PER_ZONE];
            let seeds: Vec<&Host> = hosts.iter().take(2).collect();
            let name = format!("{zone}-{number}");
            let mut host = cluster.host_with_store(&name, zone, &seeds, relay.address);
            cluster.launch(&mut host);
            hosts.push(host);
        }
        cluster.wait_until_settled(&hosts.iter().collect::<Vec<_>>()).await;
        // Each draws from its own, in this order: one that is added at the end changes no other.
        let mut seeds = StdRng::seed_from_u64(seed);
        let mut next = || StdRng::from_rng(&mut seeds);
        Self {
            told: vec![false; hosts.len()],
            cluster,
            hosts,
            target_relays,
            store_relays,
            rng: next(),
            load: next(),
            refusals: next(),
            heals: Vec::new(),
            version: 1,
            jobs: 0,
            callers: Vec::new(),
            client: Client::new(MAX_ANSWER_BYTES),
            broken: Vec::new(),
        }
    }

    /// Where the logs lie.
    pub(crate) fn folder(&self) -> String {
        self.cluster.folder().display().to_string()
    }

    /// Jobs and faults.
    pub(crate) async fn play(&mut self) {
        for _ in 0..FAULTS {
            let gap = Duration::from_millis(self.rng.random_range(GAP_MS));
            self.load_for(gap).await;
            self.disturb();
            self.refuse();
        }
        self.load_for(Duration::from_secs(1)).await;
    }

    async fn load_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.heal();
            self.watch();
            self.submit();
            let gap = self.load.random_range(JOB_GAP_MS);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let fronts: Vec<_> = self.hosts.iter().map(|host| host.caller_address).collect();
        let first = self.load.random_range(0..fronts.len());
        let job = Job::new(self.jobs, &mut self.load);
        let caller = Caller { client: self.client.clone(), fronts, first };
        self.callers.push(tokio::spawn(caller.run(job)));
    }

    /// Notices processes that end though nobody told them to.
    fn watch(&mut self) {
        for (host, told) in self.hosts.iter_mut().zip(&self.told) {
            if !told && host.has_ended() {
                self.broken.push(format!("{} ended by itself", host.name));
            }
        }
    }

    /// Ends all faults and starts what has ended.
    pub(crate) async fn mend(&mut self) {
        for (_, heal) in std::mem::take(&mut self.heals) {
            self.end_fault(&heal);
        }
        for number in 0..self.hosts.len() {
            if self.told[number] {
                self.hosts[number].signal(Signal::Kill);
                self.hosts[number].wait_for_exit().await;
                self.cluster.launch(&mut self.hosts[number]);
                self.told[number] = false;
            }
        }
    }

    /// What is wrong with what callers and targets have seen.
    pub(crate) async fn judge(&mut self) -> Vec<String> {
        let mended = Instant::now();
        self.cluster.wait_until_settled(&self.hosts.iter().collect::<Vec<_>>()).await;
        for number in 0..self.hosts.len() {
            self.serves(number).await;
        }
        if mended.elapsed() > RECOVERED_WITHIN {
            self.broken.push(format!("jobs are served again after {:?} only", mended.elapsed()));
        }
        let mut broken = std::mem::take(&mut self.broken);
        for caller in self.callers.drain(..) {
            let job = caller.await.expect("a caller does not panic");
            let started = self.cluster.invariants.starts(&job.id);
            broken.extend(job.judge(started));
        }
        broken.extend(self.cluster.invariants.violations());
        broken
    }

    /// Waits until a host serves a job, by the newest configuration.
    async fn serves(&mut self, number: usize) {
        let host = &self.hosts[number];
        let prefix = format!("/v{}/", self.version);
        until("the newest configuration is in force", || async {
            let known = self.version == 1
                || self.cluster.request(Method::GET, host, &prefix, "").await?.0 == 200;
            known.then_some(())
        })
        .await;
        let mut tries = 0;
        while tries < 100 {
            tries += 1;
            self.jobs += 1;
            let id = format!("{:016x}", self.jobs);
            if let Some((200, _)) = self.cluster.submit(host, &id, (2, 9_000, 30)).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.broken.push(format!("{} serves no job", host.name));
    }

    fn configure(&mut self) {
        self.version += 1;
        let prefix = format!("/v{}/", self.version);
        let kinds = [("cut", "/cut/"), ("mark", "/mark/"), ("newest", prefix.as_str())];
        self.cluster.store.put(CONFIGURATION, &configuration(self.version, SERVICE, &kinds));
    }
}
