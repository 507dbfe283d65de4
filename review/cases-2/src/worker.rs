//! Stand-in for a worker, as the platform's pages describe it. It can crash and start again under its name, at the
//! same address and with another capacity.
//!
//! The `spec` of a job sets the CPU and the run time of its tasks, as in `cpu=6800 ms=51`.

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
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

use crate::fleet::SERVICE;
use crate::record::Record;

/// `maxHoldMs` of the settings.
const MAX_LEASE_MS: u64 = 1_000;
/// `heartbeatMs` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between checks for tasks that have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Interval between attempts to listen again after a crash.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// A start of a task, as the worker saw it.
#[derive(Clone, Debug)]
pub struct Start {
    /// When the task began.
    pub at: Instant,
    /// Name of the task.
    pub task: String,
    /// Name of the worker.
    pub worker: String,
    /// Zone of the worker.
    pub zone: String,
    /// CPU of all that runs on the worker with this task, in thousandths of a core.
    pub used_millis: u64,
    /// CPU of the worker, in thousandths of a core.
    pub capacity_millis: u64,
}

/// Starts at all workers.
pub type Starts = Arc<Mutex<Vec<Start>>>;

struct Run {
    number: u64,
    cpu_millis: u64,
    ends_at: Instant,
}

/// One life of the worker.
struct Life {
    started: Instant,
    started_at_ms: u64,
    cpu_millis: u64,
    highest_token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run number of each task that was stopped or has ended.
    highest_runs: BTreeMap<String, u64>,
    /// Number, task, run number and outcome of each end that was not acknowledged.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end_number: u64,
}

/// A worker. Clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    zone: String,
    store: Store,
    /// Whether the store takes writes.
    store_serves: Arc<dyn Fn() -> bool + Send + Sync>,
    starts: Starts,
    record: Record,
    life: Arc<Mutex<Option<Life>>>,
    server: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Worker {
    /// Creates a worker that does not run yet.
    pub fn new(
        (name, zone): (&str, &str),
        address: SocketAddr,
        (store, store_serves): (&Store, Arc<dyn Fn() -> bool + Send + Sync>),
        starts: &Starts,
        record: &Record,
    ) -> Self {
        Self {
            name: name.to_owned(),
            address,
            zone: zone.to_owned(),
            store: store.clone(),
            store_serves,
            starts: Arc::clone(starts),
            record: record.clone(),
            life: Arc::default(),
            server: Arc::default(),
        }
    }

    /// Starts a life with this capacity. It writes its entry at once if the store takes it, and again after each
    /// heartbeat interval.
    pub async fn start(&self, cpu_millis: u64) {
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
        };
        let life = Life::new(cpu_millis);
        let started_at_ms = life.started_at_ms;
        self.record.note(format!("{} starts with {cpu_millis} thousandths of a core", self.name));
        *self.lock() = Some(life);
        let server = tokio::spawn(self.clone().live(listener, started_at_ms));
        *self.server.lock().expect("no thread panics while it holds the lock") = Some(server);
    }

    /// Crashes: all tasks and all state are lost, and all connections close.
    pub fn crash(&self) {
        *self.lock() = None;
        if let Some(server) = self.server.lock().expect("no thread panics with the lock").take() {
            server.abort();
        }
        self.record.note(format!("{} crashes", self.name));
    }

    /// Writes an entry under its name, as another writer that knows neither its start time nor its sequence.
    pub fn write_foreign_entry(&self, cpu_millis: u64) {
        let entry = json!({
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "remainingColdMs": 0,
            "labels": ["a", format!("{}-r1", self.zone)],
            "capacity": { "cpu": cpu_millis, "memMb": 32_768, "gpu": 0 },
        });
        self.store.put_target(&self.name, &entry);
        self.record.note(format!("another writer writes an entry of {}", self.name));
    }

    /// Whether nothing runs on it.
    pub fn is_idle(&self) -> bool {
        self.lock().as_ref().is_none_or(|life| life.running.is_empty())
    }

    async fn live(self, listener: TcpListener, started_at_ms: u64) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().write_entries(started_at_ms));
        tasks.spawn(self.clone().end_tasks());
        let routes = Router::new()
            .route("/api/run-start", post(start))
            .route("/api/run-stop", post(stop))
            .route("/api/hold", post(hold))
            .with_state(self);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Small responses would only be slower without it.
            let _ = stream.set_nodelay(true);
            let service = TowerToHyperService::new(routes.clone());
            tasks.spawn(async move {
                // The client may close its connection at any time.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn write_entries(self, started_at_ms: u64) {
        for sequence in 1_u64.. {
            let cpu_millis = self.lock().as_ref().map_or(0, |life| life.cpu_millis);
            let entry = json!({
                "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": "ready", "remainingColdMs": 0, "sequence": sequence,
                "born": started_at_ms, "labels": ["a", format!("{}-r1", self.zone)],
                "capacity": { "cpu": cpu_millis, "memMb": 32_768, "gpu": 0 },
            });
            if (self.store_serves)() {
                self.store.put_target(&self.name, &entry);
                if sequence == 1 {
                    self.record.note(format!("{} has written its first entry", self.name));
                }
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn end_tasks(self) {
        loop {
            if let Some(life) = self.lock().as_mut() {
                life.end_due_tasks();
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.lock().expect("no thread panics while it holds the lock")
    }
}

impl Life {
    fn new(cpu_millis: u64) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started: Instant::now(),
            started_at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or_default(),
            cpu_millis,
            highest_token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest_runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or_default()
    }

    /// Whether the token of an order is lower than the highest one so far, which is remembered.
    fn is_fenced(&mut self, token: u64) -> bool {
        let is_too_low = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
        is_too_low
    }

    fn extend_lease(&mut self, until_ms: Option<u64>) {
        let latest_ms = self.clock_ms() + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.unwrap_or_default().min(latest_ms));
    }

    fn end_due_tasks(&mut self) {
        let now = Instant::now();
        let has_lapsed = self.clock_ms() > self.lease_until_ms;
        let due = self.running.iter().filter_map(|(task, run)| {
            let is_done = run.ends_at <= now;
            let outcome = if is_done { "done" } else { "lapsed" };
            (is_done || has_lapsed).then(|| (task.clone(), outcome))
        });
        let due: Vec<(String, &'static str)> = due.collect();
        for (task, outcome) in due {
            self.end(&task, outcome);
        }
    }

    fn end(&mut self, task: &str, outcome: &'static str) {
        if let Some(run) = self.running.remove(task) {
            self.last_end_number += 1;
            self.ended.push((self.last_end_number, task.to_owned(), run.number, outcome));
            let highest = self.highest_runs.entry(task.to_owned()).or_default();
            *highest = run.number.max(*highest);
        }
    }

    fn accepted(&self) -> Response {
        Json(json!({ "clockMs": self.clock_ms() })).into_response()
    }

    fn rejected(&self, reason: &str) -> Response {
        let body = json!({ "clockMs": self.clock_ms(), "reason": reason });
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    fn lists(&self) -> Response {
        let running = self.running.iter().map(|(task, run)| json!([task, run.number, "", 100, 0]));
        let ended = self.ended.iter().map(|(n, task, run, how)| json!([n, task, run, how, ""]));
        Json(json!({
            "clockMs": self.clock_ms(), "born": self.started_at_ms,
            "running": running.collect::<Vec<Value>>(), "ended": ended.collect::<Vec<Value>>(),
        }))
        .into_response()
    }
}

/// Body of an order.
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

/// A number in a `spec`, as in `cpu=6800`; 0 if there is none under that name.
fn spec_number(spec: &str, name: &str) -> u64 {
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    let value = words.find(|(key, _)| *key == name).map(|(_, value)| value);
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// Whether a request is meant for another worker.
fn is_misdirected(worker: &Worker, headers: &HeaderMap) -> bool {
    let instance = headers.get("x-target-instance").and_then(|value| value.to_str().ok());
    instance.is_some_and(|instance| instance != worker.name)
}

async fn start(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(order): Json<Order>,
) -> Response {
    if is_misdirected(&worker, &headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let mut guard = worker.lock();
    let Some(life) = guard.as_mut() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    if life.is_fenced(order.fencing_token) {
        return life.rejected("fence");
    }
    life.extend_lease(order.deadline_ms);
    if life.running.get(&order.task).is_some_and(|run| run.number == order.run) {
        return life.accepted();
    }
    let is_old = life.highest_runs.get(&order.task).is_some_and(|highest| order.run <= *highest);
    if is_old || life.running.contains_key(&order.task) {
        return life.rejected("old");
    }
    if order.deadline_ms.unwrap_or_default() <= life.clock_ms() {
        return life.rejected("late");
    }
    let now = Instant::now();
    let run = Run {
        number: order.run,
        cpu_millis: spec_number(&order.spec, "cpu"),
        ends_at: now + Duration::from_millis(spec_number(&order.spec, "ms")),
    };
    life.running.insert(order.task.clone(), run);
    let used_millis: u64 = life.running.values().map(|run| run.cpu_millis).sum();
    let capacity_millis = life.cpu_millis;
    worker.record.note(format!(
        "{} starts {} run {}: {used_millis} of {capacity_millis} in use",
        worker.name, order.task, order.run
    ));
    worker.starts.lock().expect("no thread panics while it holds the lock").push(Start {
        at: now,
        task: order.task,
        worker: worker.name.clone(),
        zone: worker.zone.clone(),
        used_millis,
        capacity_millis,
    });
    life.accepted()
}

async fn stop(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(order): Json<Order>,
) -> Response {
    if is_misdirected(&worker, &headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let mut guard = worker.lock();
    let Some(life) = guard.as_mut() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    if life.is_fenced(order.fencing_token) {
        return life.rejected("fence");
    }
    let highest = life.highest_runs.entry(order.task.clone()).or_default();
    *highest = order.run.max(*highest);
    if life.running.get(&order.task).is_some_and(|run| run.number <= order.run) {
        life.end(&order.task, "stopped");
        worker.record.note(format!("{} stops {} run {}", worker.name, order.task, order.run));
    }
    life.accepted()
}

async fn hold(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(order): Json<Order>,
) -> Response {
    if is_misdirected(&worker, &headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let deadline = Instant::now() + Duration::from_millis(order.wait_ms);
    {
        let mut guard = worker.lock();
        let Some(life) = guard.as_mut() else {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        };
        if life.is_fenced(order.fencing_token) {
            return life.rejected("fence");
        }
        life.extend_lease(order.deadline_ms);
        life.ended.retain(|(number, ..)| *number > order.last_seen);
    }
    loop {
        {
            let guard = worker.lock();
            let Some(life) = guard.as_ref() else {
                return StatusCode::SERVICE_UNAVAILABLE.into_response();
            };
            if !life.ended.is_empty() || Instant::now() >= deadline {
                return life.lists();
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
