//! A worker that speaks the published protocol and records all that it starts and ends.

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
use serde_json::{Value, json};

use crate::record::Record;

/// Longest lease, as `maxHoldMs` of the settings.
const MAX_LEASE_MS: u64 = 1_000;
/// Interval between checks for ends.
const CHECK_INTERVAL: Duration = Duration::from_millis(3);
/// Interval between heartbeats to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

struct Run {
    number: u64,
    ends_at: Instant,
}

struct Life {
    started: Instant,
    born_ms: u64,
    highest_token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started: Instant::now(),
            born_ms: born.as_millis() as u64,
            highest_token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn is_fenced(&mut self, token: u64) -> bool {
        let is_fenced = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
        is_fenced
    }

    fn extend(&mut self, until_ms: Option<u64>) {
        let latest = self.clock_ms() + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.unwrap_or(0).min(latest));
    }
}

/// A worker. Clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    address: SocketAddr,
    service: String,
    zone: String,
    life: Arc<Mutex<Life>>,
    record: Record,
}

impl Worker {
    /// Starts a worker of a service in a zone and registers it in the store.
    pub async fn start(
        id: &str,
        (service, zone): (&str, &str),
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let worker = Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            life: Arc::new(Mutex::new(Life::new())),
            record: record.clone(),
        };
        let routes = Router::new()
            .route("/api/run-start", post(run_start))
            .route("/api/run-stop", post(run_stop))
            .route("/api/hold", post(hold))
            .with_state(worker.clone());
        tokio::spawn(async move {
            let _ = axum::serve(listener, routes).await;
        });
        tokio::spawn(worker.clone().heartbeat(store.clone()));
        let ends = worker.clone();
        tokio::spawn(async move {
            loop {
                ends.end_due();
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        });
        worker
    }

    async fn heartbeat(self, store: Store) {
        for sequence in 1_u64.. {
            store.put_target(&self.id, &self.entry(sequence));
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// The entry of the worker in the store.
    pub fn entry(&self, sequence: u64) -> Value {
        json!({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "remainingColdMs": 0,
            "capacity": { "cpu": 16_000, "memMb": 32_768, "gpu": 0 },
            "labels": ["a", "r1-1"], "born": self.lock().born_ms, "sequence": sequence,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no thread panics while it holds this lock")
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        if let Some(run) = life.running.remove(task) {
            self.record.ended(&self.id, task, run.number, how);
            life.last_end += 1;
            let number = life.last_end;
            life.ended.push((number, task.to_owned(), run.number, how));
            let over = life.over.entry(task.to_owned()).or_default();
            *over = run.number.max(*over);
        }
    }

    fn end_due(&self) {
        let mut life = self.lock();
        let has_lapsed = life.clock_ms() > life.lease_until_ms;
        let now = Instant::now();
        let due: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| {
                if run.ends_at <= now {
                    Some((task.clone(), "done"))
                } else {
                    has_lapsed.then(|| (task.clone(), "lapsed"))
                }
            })
            .collect();
        for (task, how) in due {
            self.end(&mut life, &task, how);
        }
    }

    /// Whether a request names another worker.
    fn is_other(&self, headers: &HeaderMap) -> bool {
        headers.get("x-target-instance").is_some_and(|id| id.as_bytes() != self.id.as_bytes())
    }
}

fn conflict(life: &Life, reason: &str) -> Response {
    (StatusCode::CONFLICT, Json(json!({ "clockMs": life.clock_ms(), "reason": reason })))
        .into_response()
}

fn accepted(life: &Life) -> Response {
    Json(json!({ "clockMs": life.clock_ms(), "born": life.born_ms })).into_response()
}

fn number(order: &Value, field: &str) -> Option<u64> {
    order[field].as_u64()
}

async fn run_start(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(order): Json<Value>,
) -> Response {
    if worker.is_other(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    worker.end_due();
    let mut life = worker.lock();
    let token = number(&order, "fencingToken").unwrap_or(0);
    if life.is_fenced(token) {
        return conflict(&life, "fence");
    }
    let (Some(task), Some(run)) = (order["task"].as_str(), number(&order, "run")) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    life.extend(number(&order, "deadlineMs"));
    if life.running.get(task).is_some_and(|one| one.number == run) {
        return accepted(&life);
    }
    if life.over.get(task).is_some_and(|over| run <= *over) {
        return conflict(&life, "old");
    }
    if number(&order, "deadlineMs").unwrap_or(0) <= life.clock_ms() {
        return conflict(&life, "late");
    }
    let spec = order["spec"].as_str().unwrap_or_default();
    let ms: u64 =
        spec.split(' ').find_map(|word| word.strip_prefix("ms=")?.parse().ok()).unwrap_or_default();
    let ends_at = Instant::now() + Duration::from_millis(ms);
    life.running.insert(task.to_owned(), Run { number: run, ends_at });
    worker.record.started(&worker.id, task, run, token, spec);
    accepted(&life)
}

async fn run_stop(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(order): Json<Value>,
) -> Response {
    if worker.is_other(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let mut life = worker.lock();
    if life.is_fenced(number(&order, "fencingToken").unwrap_or(0)) {
        return conflict(&life, "fence");
    }
    let task = order["task"].as_str().unwrap_or_default();
    let run = number(&order, "run").unwrap_or(0);
    let over = life.over.entry(task.to_owned()).or_default();
    *over = run.max(*over);
    if life.running.get(task).is_some_and(|one| one.number <= run) {
        worker.end(&mut life, task, "stopped");
    }
    accepted(&life)
}

async fn hold(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(order): Json<Value>,
) -> Response {
    if worker.is_other(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let deadline =
        Instant::now() + Duration::from_millis(number(&order, "waitMs").unwrap_or(0).min(2_000));
    {
        let mut life = worker.lock();
        if life.is_fenced(number(&order, "fencingToken").unwrap_or(0)) {
            return conflict(&life, "fence");
        }
        life.extend(number(&order, "deadlineMs"));
        let seen = number(&order, "lastSeen").unwrap_or(0);
        life.ended.retain(|(end, ..)| *end > seen);
    }
    loop {
        worker.end_due();
        {
            let life = worker.lock();
            if !life.ended.is_empty() || Instant::now() >= deadline {
                let running: Vec<Value> = life
                    .running
                    .iter()
                    .map(|(task, run)| json!([task, run.number, "", 100, 0]))
                    .collect();
                let ended: Vec<Value> = life
                    .ended
                    .iter()
                    .take(500)
                    .map(|(end, task, run, how)| json!([end, task, run, how, ""]))
                    .collect();
                return Json(json!({
                    "clockMs": life.clock_ms(), "born": life.born_ms,
                    "running": running, "ended": ended,
                }))
                .into_response();
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
