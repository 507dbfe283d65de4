//! Soak of a fleet: its processes, jobs and faults, and the checks at the end.

mod caller;
mod fault;

use std::time::{Duration, Instant};

use coltsfootshunt_http::{Client, Method};
use coltsfootshunt_platform_standin::process::{Cluster, Host, SERVICE};
use coltsfootshunt_platform_standin::settings::configuration;
use coltsfootshunt_platform_standin::store::CONFIGURATION;
use coltsfootshunt_standin::relay::Relay;
use coltsfootshunt_testkit::{Signal, wait_until};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

use caller::{Caller, Job};
use fault::FaultEnd;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const ZONES: [&str; 2] = ["a", "b"];
const HOSTS_PER_ZONE: usize = 2;
const TARGETS_PER_ZONE: usize = 3;
/// Number of faults in a run, without refused connections.
const FAULTS: usize = 16;
/// Range of the time between two faults, in milliseconds. Some faults overlap and some don't.
const FAULT_GAP_MS: std::ops::Range<u64> = 50..600;
/// Range of the time between two jobs, in milliseconds.
const JOB_GAP_MS: std::ops::Range<u64> = 10..60;
/// Time after the end of all faults within which all hosts must complete jobs again. The platform's
/// documentation requires it.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which nothing starts any more in an evacuated zone, in milliseconds.
const EVACUATE_MS: u64 = 5_000;
/// Time after which a host that was started with a stable store must know the evacuated zones. The platform's
/// documentation allows it.
const CONNECTED_AFTER: Duration = Duration::from_secs(4);
/// Limit of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 16;

/// A soak test in progress: the cluster, the faults injected into it and the jobs sent to it.
pub(crate) struct Soak {
    cluster: Cluster,
    hosts: Vec<Host>,
    target_relays: Vec<Relay>,
    store_relays: Vec<Relay>,
    /// Random numbers for the faults and the time between them. A generator of their own keeps them
    /// independent of the number of jobs, which depends on timing.
    fault_rng: StdRng,
    /// Random numbers for the jobs.
    job_rng: StdRng,
    /// Random numbers for refused connections, which occur in addition to the other faults.
    refusal_rng: StdRng,
    /// Random numbers for evacuations, which occur in addition to the faults.
    evacuation_rng: StdRng,
    /// Evacuated zone, and since when.
    evacuated: Option<(&'static str, Instant)>,
    /// Faults in progress, with the times of their ends.
    faults: Vec<(Instant, FaultEnd)>,
    /// Whether each host's process was sent a signal to end, by index of the host.
    has_been_stopped: Vec<bool>,
    /// Version of the latest configuration.
    version: u64,
    /// Number of jobs so far, the source of their identifiers.
    jobs: u32,
    callers: Vec<JoinHandle<Job>>,
    client: Client,
    violations: Vec<String>,
}

async fn start_relays(count: usize) -> Vec<Relay> {
    let mut relays = Vec::new();
    for _ in 0..count {
        relays.push(Relay::start().await.expect("a loopback port is free"));
    }
    relays
}

impl Soak {
    /// Starts a fleet and waits until it is settled.
    pub(crate) async fn start(seed: u64) -> Self {
        let mut target_relays = start_relays(ZONES.len() * TARGETS_PER_ZONE).await;
        let targets = (TARGETS_PER_ZONE, target_relays.as_mut_slice());
        let mut cluster = Cluster::start_with_relays(PROGRAM, FOLDER, &ZONES, targets).await;
        cluster.evacuate_ms = Some(EVACUATE_MS);
        let mut store_relays = start_relays(ZONES.len() * HOSTS_PER_ZONE).await;
        let mut hosts: Vec<Host> = Vec::new();
        for (number, relay) in store_relays.iter_mut().enumerate() {
            relay.forward_to(cluster.store.address);
            let zone = ZONES[number / HOSTS_PER_ZONE];
            let seeds: Vec<&Host> = hosts.iter().take(2).collect();
            let name = format!("{zone}-{number}");
            let mut host = cluster.host_with_store(&name, zone, &seeds, relay.address);
            cluster.launch(&mut host);
            hosts.push(host);
        }
        cluster.wait_until_settled(&hosts.iter().collect::<Vec<_>>()).await;
        // Add new generators at the end: the order determines their seeds, and stored seeds of past
        // failures must keep their meaning.
        let mut seed_rng = StdRng::seed_from_u64(seed);
        let mut next = || StdRng::from_rng(&mut seed_rng);
        Self {
            has_been_stopped: vec![false; hosts.len()],
            cluster,
            hosts,
            target_relays,
            store_relays,
            fault_rng: next(),
            job_rng: next(),
            refusal_rng: next(),
            evacuation_rng: next(),
            evacuated: None,
            faults: Vec::new(),
            version: 1,
            jobs: 0,
            callers: Vec::new(),
            client: Client::new(MAX_RESPONSE_BYTES),
            violations: Vec::new(),
        }
    }

    /// Returns the path of the folder with the logs.
    pub(crate) fn folder(&self) -> String {
        self.cluster.folder().display().to_string()
    }

    /// Submits jobs and causes faults.
    pub(crate) async fn run(&mut self) {
        for _ in 0..FAULTS {
            let gap = Duration::from_millis(self.fault_rng.random_range(FAULT_GAP_MS));
            self.submit_for(gap).await;
            self.cause_fault();
            self.maybe_refuse_connections();
            self.maybe_evacuate();
        }
        self.submit_for(Duration::from_secs(1)).await;
    }

    /// Submits jobs and ends expired faults for this time.
    async fn submit_for(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.end_expired_faults();
            self.check_processes();
            self.submit();
            let gap = self.job_rng.random_range(JOB_GAP_MS);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let entries: Vec<_> = self.hosts.iter().map(|host| host.caller_address).collect();
        let first = self.job_rng.random_range(0..entries.len());
        let job = Job::new(self.jobs, &mut self.job_rng);
        let caller = Caller { client: self.client.clone(), entries, first };
        self.callers.push(tokio::spawn(caller.run(job)));
    }

    /// Records processes that have ended without a signal.
    fn check_processes(&mut self) {
        for (host, has_been_stopped) in self.hosts.iter_mut().zip(&self.has_been_stopped) {
            if !has_been_stopped && host.has_ended() {
                self.violations.push(format!("{} ended without a signal", host.name));
            }
        }
    }

    /// Ends all faults, and restarts all hosts that were stopped.
    pub(crate) async fn recover(&mut self) {
        for (_, end) in std::mem::take(&mut self.faults) {
            self.end_fault(&end);
        }
        for number in 0..self.hosts.len() {
            if self.has_been_stopped[number] {
                self.hosts[number].signal(Signal::Kill);
                self.hosts[number].wait_for_exit().await;
                self.cluster.launch(&mut self.hosts[number]);
                self.has_been_stopped[number] = false;
            }
        }
    }

    /// Waits for recovery, checks all answers and starts, and returns the violations of guarantees.
    pub(crate) async fn check(&mut self) -> Vec<String> {
        let recovered_at = Instant::now();
        self.cluster.wait_until_settled(&self.hosts.iter().collect::<Vec<_>>()).await;
        for number in 0..self.hosts.len() {
            self.wait_until_job_completes(number).await;
        }
        if recovered_at.elapsed() > RECOVERY_TIMEOUT {
            self.violations
                .push(format!("jobs complete again only after {:?}", recovered_at.elapsed()));
        }
        self.check_evacuation(recovered_at).await;
        let mut violations = std::mem::take(&mut self.violations);
        for caller in self.callers.drain(..) {
            let job = caller.await.expect("a caller does not panic");
            let starts = self.cluster.invariants.starts(&job.id);
            violations.extend(job.find_violation(starts));
        }
        violations.extend(self.cluster.invariants.violations());
        violations
    }

    /// Checks that nothing starts in the evacuated zone once all hosts must know of it, and that work starts there
    /// again after it is restored.
    async fn check_evacuation(&mut self, recovered_at: Instant) {
        let Some((zone, since)) = self.evacuated.take() else {
            return;
        };
        let limit = since + Duration::from_millis(EVACUATE_MS);
        let limit = limit.max(recovered_at + CONNECTED_AFTER);
        self.submit_for(limit.saturating_duration_since(Instant::now())).await;
        let prefix = format!("t-{zone}-");
        let starts = self.cluster.invariants.starts_at(&prefix);
        self.submit_for(Duration::from_secs(2)).await;
        let late = self.cluster.invariants.starts_at(&prefix) - starts;
        if late > 0 {
            self.violations.push(format!("{late} starts in zone {zone}, which is evacuated"));
        }
        self.cluster.store.restore(zone);
        self.submit_for(Duration::from_secs(3)).await;
        if self.cluster.invariants.starts_at(&prefix) == starts + late {
            self.violations.push(format!("no start in zone {zone} after it was restored"));
        }
    }

    /// Waits until a host has the latest configuration and completes a job.
    async fn wait_until_job_completes(&mut self, number: usize) {
        let host = &self.hosts[number];
        let prefix = format!("/v{}/", self.version);
        wait_until("the latest configuration is in force", || async {
            let is_in_force = self.version == 1
                || self.cluster.request(Method::GET, host, &prefix, "").await?.0 == 200;
            is_in_force.then_some(())
        })
        .await;
        let mut attempts = 0;
        while attempts < 100 {
            attempts += 1;
            self.jobs += 1;
            let id = format!("{:016x}", self.jobs);
            if let Some((200, _)) = self.cluster.submit(host, &id, (2, 9_000, 30)).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.violations.push(format!("{} completes no job", host.name));
    }

    /// Stores a configuration with a route whose path contains its version.
    fn change_configuration(&mut self) {
        self.version += 1;
        let prefix = format!("/v{}/", self.version);
        let kinds = [("cut", "/cut/"), ("mark", "/mark/"), ("newest", prefix.as_str())];
        self.cluster.store.put(CONFIGURATION, &configuration(self.version, SERVICE, &kinds));
    }
}
