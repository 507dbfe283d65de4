//! Workers that run tasks under a lease, as the platform's page on running tasks says.
//!
//! Each life of a worker has a runtime of its own, so that a crash ends its listener, its connections and
//! all that runs there at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use coltsfootshunt_platform_standin::store::Store;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use crate::fleet::SERVICE;
use crate::record::Record;

/// Longest lease, as `maxHoldMs` of the settings.
const MAX_LEASE_MS: u64 = 1_000;
/// Interval between the reports in the store, as `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const CHECK: Duration = Duration::from_millis(2);

/// The kind of one life of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    pub cpu_millis: u64,
    pub labels: Vec<String>,
}

/// Something that the worker saw and that breaks a rule.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: &'static str,
    pub text: String,
}

/// What all workers of a case saw.
#[derive(Clone, Default)]
pub struct Findings {
    list: Arc<Mutex<Vec<Finding>>>,
    /// Running tasks of all workers, with the worker's name.
    running: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    /// Last start of each task.
    starts: Arc<Mutex<Vec<(Instant, String, String)>>>,
}

impl Findings {
    #[must_use]
    pub fn all(&self) -> Vec<Finding> {
        self.list.lock().expect("no panic under the lock").clone()
    }

    /// Starts so far: time, task and worker.
    #[must_use]
    pub fn starts(&self) -> Vec<(Instant, String, String)> {
        self.starts.lock().expect("no panic under the lock").clone()
    }

    /// Running tasks of a job.
    #[must_use]
    pub fn running(&self, job: &str) -> Vec<String> {
        let running = self.running.lock().expect("no panic under the lock");
        let of_job = running.iter().filter(|(task, at)| task.starts_with(job) && !at.is_empty());
        of_job.map(|(task, _)| task.clone()).collect()
    }

    fn find(&self, rule: &'static str, text: String) {
        self.list.lock().expect("no panic under the lock").push(Finding { rule, text });
    }

    fn started(&self, task: &str, worker: &str) -> Vec<String> {
        let mut starts = self.starts.lock().expect("no panic under the lock");
        starts.push((Instant::now(), task.to_owned(), worker.to_owned()));
        let mut running = self.running.lock().expect("no panic under the lock");
        let at = running.entry(task.to_owned()).or_default();
        let others = at.clone();
        at.push(worker.to_owned());
        others
    }

    fn ended(&self, task: &str, worker: &str) {
        let mut running = self.running.lock().expect("no panic under the lock");
        if let Some(at) = running.get_mut(task)
            && let Some(index) = at.iter().position(|name| name == worker)
        {
            at.remove(index);
        }
    }
}

struct Run {
    number: u64,
    cpu_millis: u64,
    ends_at: Instant,
}

struct Life {
    kind: Kind,
    started: Instant,
    born_ms: u64,
    highest_token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    highest_runs: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

/// A worker with its identifier and address.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    store: Store,
    findings: Findings,
    record: Record,
    life: Option<(Shared, Runtime)>,
    sequence: u64,
}

#[derive(Clone)]
struct Shared {
    id: String,
    life: Arc<Mutex<Life>>,
    findings: Findings,
    record: Record,
}

impl Worker {
    /// Starts a worker at a free loopback port.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn start(
        id: &str,
        zone: &str,
        kind: Kind,
        store: &Store,
        findings: &Findings,
        record: &Record,
    ) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let mut worker = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound socket has an address"),
            zone: zone.to_owned(),
            store: store.clone(),
            findings: findings.clone(),
            record: record.clone(),
            life: None,
            sequence: 0,
        };
        worker.begin(kind, listener);
        worker
    }

    /// Ends the worker as a crash does: it sends nothing more, and all that runs there ends.
    pub fn crash(&mut self) {
        let Some((shared, runtime)) = self.life.take() else { return };
        runtime.shutdown_background();
        // The sockets of the runtime close in its threads.
        std::thread::sleep(Duration::from_millis(20));
        let mut life = shared.lock();
        let tasks: Vec<String> = std::mem::take(&mut life.running).into_keys().collect();
        self.record.line(&format!("{} crashes with {tasks:?}", self.id));
        tasks.iter().for_each(|task| self.findings.ended(task, &self.id));
    }

    /// Starts the worker again under its identifier and at its address, as a new life of this kind.
    ///
    /// # Panics
    /// If the port is taken.
    pub fn restart(&mut self, kind: Kind) {
        let listener = (0..100).find_map(|_| {
            std::thread::sleep(Duration::from_millis(10));
            std::net::TcpListener::bind(self.address).ok()
        });
        self.begin(kind, listener.expect("the port of the worker is free again"));
    }

    /// Number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        self.life.as_ref().map_or(0, |(shared, _)| shared.lock().running.len())
    }

    fn begin(&mut self, kind: Kind, listener: std::net::TcpListener) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born_ms = u64::try_from(since_epoch.as_millis()).unwrap_or_default();
        let Kind { cpu_millis, labels } = kind.clone();
        let life = Life {
            kind: kind.clone(),
            started: Instant::now(),
            born_ms,
            highest_token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest_runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        };
        let shared = Shared {
            id: self.id.clone(),
            life: Arc::new(Mutex::new(life)),
            findings: self.findings.clone(),
            record: self.record.clone(),
        };
        let (id, address, zone, store) =
            (self.id.clone(), self.address, self.zone.clone(), self.store.clone());
        let entry = move |sequence: u64| {
            let value = json!({
                "service": SERVICE, "address": address, "zone": zone, "version": "v1", "slots": 8,
                "state": "ready", "remainingColdMs": 0, "labels": kind.labels, "born": born_ms,
                "capacity": { "cpu": kind.cpu_millis, "memMb": 32_768, "gpu": 0 },
                "sequence": sequence,
            });
            store.put(&format!("servers/{id}"), &value);
        };
        // The entry is in the store before the worker answers its first call.
        self.sequence = 1;
        entry(1);
        self.record.line(&format!(
            "{} is up, born {born_ms}, {cpu_millis} thousandths of a core, labels {labels:?}; its entry is in the store",
            self.id,
        ));
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime can be started");
        listener.set_nonblocking(true).expect("a socket can be set so");
        let routes = Router::new()
            .route("/api/run-start", post(start))
            .route("/api/run-stop", post(stop))
            .route("/api/hold", post(hold))
            .with_state(shared.clone());
        runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("it listens");
            let _ = axum::serve(listener, routes).await;
        });
        runtime.spawn(async move {
            for sequence in 2.. {
                tokio::time::sleep(HEARTBEAT).await;
                entry(sequence);
            }
        });
        let ending = shared.clone();
        runtime.spawn(async move {
            loop {
                ending.end_due();
                tokio::time::sleep(CHECK).await;
            }
        });
        self.life = Some((shared, runtime));
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        if let Some((_, runtime)) = self.life.take() {
            runtime.shutdown_background();
        }
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or_default()
    }

    fn is_fenced(&mut self, token: u64) -> bool {
        let is_too_low = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
        is_too_low
    }

    fn extend(&mut self, until_ms: Option<u64>) {
        let latest = self.clock_ms() + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.unwrap_or_default().min(latest));
    }

    fn conflict(&self, reason: &str) -> Response {
        let body = json!({ "clockMs": self.clock_ms(), "reason": reason });
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    fn accepted(&self) -> Response {
        Json(json!({ "clockMs": self.clock_ms() })).into_response()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no thread panics while it holds the lock")
    }

    fn end_due(&self) {
        let mut life = self.lock();
        let now = Instant::now();
        let has_lapsed = life.clock_ms() > life.lease_until_ms;
        let due: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| match run.ends_at <= now {
                true => Some((task.clone(), "done")),
                false => has_lapsed.then(|| (task.clone(), "lapsed")),
            })
            .collect();
        for (task, how) in due {
            self.end(&mut life, &task, how);
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else { return };
        self.findings.ended(task, &self.id);
        life.last_end += 1;
        let number = life.last_end;
        life.ended.push((number, task.to_owned(), run.number, how));
        let highest = life.highest_runs.entry(task.to_owned()).or_default();
        *highest = run.number.max(*highest);
        self.record.line(&format!("{} run {} of {task} ends: {how}", self.id, run.number));
    }

    fn is_other(&self, headers: &HeaderMap) -> bool {
        headers.get("x-target-instance").is_some_and(|named| named.as_bytes() != self.id.as_bytes())
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u64,
    #[serde(default)]
    spec: String,
    deadline_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

fn number(spec: &str, name: &str) -> u64 {
    let mut values = spec.split(' ').filter_map(|word| word.split_once('='));
    let value = values.find(|(key, _)| *key == name).map(|(_, value)| value);
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

async fn start(
    State(worker): State<Shared>,
    headers: HeaderMap,
    Json(order): Json<Order>,
) -> Response {
    if worker.is_other(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let mut life = worker.lock();
    if life.is_fenced(order.fencing_token) {
        return life.conflict("fence");
    }
    life.extend(order.deadline_ms);
    if life.running.get(&order.task).is_some_and(|run| run.number == order.run) {
        return life.accepted();
    }
    if life.highest_runs.get(&order.task).is_some_and(|highest| order.run <= *highest) {
        return life.conflict("old");
    }
    if order.deadline_ms.unwrap_or_default() <= life.clock_ms() {
        return life.conflict("late");
    }
    let run = Run {
        number: order.run,
        cpu_millis: number(&order.spec, "cpu"),
        ends_at: Instant::now() + Duration::from_millis(number(&order.spec, "ms")),
    };
    life.running.insert(order.task.clone(), run);
    let used: u64 = life.running.values().map(|run| run.cpu_millis).sum();
    let capacity = life.kind.cpu_millis;
    worker.record.line(&format!(
        "{} starts run {} of {}, token {}: {used} of {capacity} thousandths of a core in use",
        worker.id, order.run, order.task, order.fencing_token,
    ));
    if used > capacity {
        let text = format!(
            "{}: {} brings it to {used} of {capacity}, {} ms after it came up",
            worker.id,
            order.task,
            life.clock_ms()
        );
        worker.record.line(&format!("LIMIT {text}"));
        worker.findings.find("LIMIT", text);
    }
    let others = worker.findings.started(&order.task, &worker.id);
    if !others.is_empty() {
        let text = format!("{} starts on {} and runs on {others:?}", order.task, worker.id);
        worker.record.line(&format!("TWICE {text}"));
        worker.findings.find("TWICE", text);
    }
    life.accepted()
}

async fn stop(
    State(worker): State<Shared>,
    headers: HeaderMap,
    Json(order): Json<Order>,
) -> Response {
    if worker.is_other(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let mut life = worker.lock();
    if life.is_fenced(order.fencing_token) {
        return life.conflict("fence");
    }
    let highest = life.highest_runs.entry(order.task.clone()).or_default();
    *highest = order.run.max(*highest);
    if life.running.get(&order.task).is_some_and(|run| run.number <= order.run) {
        worker.end(&mut life, &order.task, "stopped");
    }
    life.accepted()
}

async fn hold(
    State(worker): State<Shared>,
    headers: HeaderMap,
    Json(order): Json<Order>,
) -> Response {
    if worker.is_other(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let until = Instant::now() + Duration::from_millis(order.wait_ms);
    {
        let mut life = worker.lock();
        if life.is_fenced(order.fencing_token) {
            return life.conflict("fence");
        }
        life.extend(order.deadline_ms);
        life.ended.retain(|(number, ..)| *number > order.last_seen);
    }
    loop {
        {
            let life = worker.lock();
            if !life.ended.is_empty() || Instant::now() >= until {
                let running: Vec<Value> = life
                    .running
                    .iter()
                    .map(|(task, run)| json!([task, run.number, "", 100, 0]))
                    .collect();
                let ended: Vec<Value> = life
                    .ended
                    .iter()
                    .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
                    .collect();
                return Json(json!({
                    "clockMs": life.clock_ms(), "born": life.born_ms, "running": running,
                    "ended": ended,
                }))
                .into_response();
            }
        }
        tokio::time::sleep(CHECK).await;
    }
}
