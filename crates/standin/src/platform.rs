//! The platform's service in memory: keys with versions, leases, watches and the list of hosts,
//! with outages and lost answers on request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// A running platform.
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    store: Mutex<Store>,
    changed: Notify,
    down: AtomicBool,
    lose: AtomicU32,
    calls: AtomicU64,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, Value>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    hosts: Hosts,
}

struct Value {
    version: u64,
    value: String,
    lease: Option<u64>,
}

#[derive(Clone, Default, Serialize)]
struct Hosts {
    version: u64,
    leaving: Vec<String>,
}

#[derive(Deserialize)]
struct Watch {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Write {
    expected: u64,
    value: String,
    lease: Option<u64>,
}

#[derive(Deserialize)]
struct Term {
    term_ms: u64,
}

impl Platform {
    /// Starts a platform on a port that the system chooses.
    ///
    /// # Errors
    /// The system gives no port.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let routes = Router::new()
            .route("/v1/keys/{*key}", get(read).put(write))
            .route("/v1/list/{*prefix}", get(list))
            .route("/v1/leases", post(lease))
            .route("/v1/leases/{lease}", put(renew))
            .route("/v1/hosts", get(hosts))
            .layer(middleware::from_fn_with_state(Arc::clone(&shared), fault))
            .with_state(Arc::clone(&shared));
        let server = tokio::spawn(async move {
            let _ = axum::serve(listener, routes).await;
        });
        Ok(Self { address, shared, server })
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// Loses the answers to the next writes, after they took effect.
    pub fn drop_responses(&self, count: u32) {
        self.shared.lose.store(count, Ordering::Relaxed);
    }

    /// Sets the names of leaving hosts.
    pub fn set_leaving(&self, names: impl IntoIterator<Item = String>) {
        let mut store = self.shared.store.lock().expect("no holder panics");
        store.hosts.version += 1;
        store.hosts.leaving = names.into_iter().collect();
    }

    /// Number of calls so far; a waiting watch counts as one.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn fault(State(shared): State<Arc<Shared>>, request: Request, next: Next) -> Response {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    if shared.down.load(Ordering::Relaxed) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let writes = request.method() == axum::http::Method::PUT;
    let response = next.run(request).await;
    let lose = |left: u32| left.checked_sub(1);
    let lost =
        writes && shared.lose.fetch_update(Ordering::Relaxed, Ordering::Relaxed, lose).is_ok();
    let down = shared.down.load(Ordering::Relaxed);
    if lost || down { StatusCode::GATEWAY_TIMEOUT.into_response() } else { response }
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Query(watch): Query<Watch>,
) -> Response {
    let deadline = Instant::now() + Duration::from_millis(watch.wait_ms.unwrap_or_default());
    loop {
        let changed = shared.changed.notified();
        if let Some(entry) = newer(&shared, &key, watch.after) {
            return Json(entry).into_response();
        }
        let Some(left) = deadline.checked_duration_since(Instant::now()) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        // Running into the limit leads to one more look.
        let _ = tokio::time::timeout(left, changed).await;
    }
}

fn newer(shared: &Shared, key: &str, after: Option<u64>) -> Option<serde_json::Value> {
    let store = shared.store.lock().expect("no holder panics");
    let value = store.live(key)?;
    let seen = after.is_some_and(|after| value.version <= after);
    (!seen).then(|| json!({ "key": key, "version": value.version, "value": value.value }))
}

async fn list(State(shared): State<Arc<Shared>>, Path(prefix): Path<String>) -> Response {
    let store = shared.store.lock().expect("no holder panics");
    let keys = store.keys.keys().filter(|key| key.starts_with(&prefix));
    let entry = |key: &String| {
        let value = store.live(key)?;
        Some(json!({ "key": key, "version": value.version, "value": value.value }))
    };
    Json(keys.filter_map(entry).collect::<Vec<_>>()).into_response()
}

async fn write(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Json(write): Json<Write>,
) -> Response {
    let mut store = shared.store.lock().expect("no holder panics");
    let version = store.live(&key).map_or(0, |value| value.version);
    if version != write.expected {
        return StatusCode::CONFLICT.into_response();
    }
    let value = Value { version: version + 1, value: write.value, lease: write.lease };
    store.keys.insert(key, value);
    shared.changed.notify_waiters();
    StatusCode::OK.into_response()
}

async fn lease(State(shared): State<Arc<Shared>>, Json(term): Json<Term>) -> Response {
    let mut store = shared.store.lock().expect("no holder panics");
    store.next_lease += 1;
    let lease = store.next_lease;
    let term = Duration::from_millis(term.term_ms);
    store.leases.insert(lease, (Instant::now() + term, term));
    Json(json!({ "lease": lease })).into_response()
}

async fn renew(State(shared): State<Arc<Shared>>, Path(lease): Path<u64>) -> StatusCode {
    let mut store = shared.store.lock().expect("no holder panics");
    match store.leases.get_mut(&lease) {
        Some((until, term)) if *until > Instant::now() => {
            *until = Instant::now() + *term;
            StatusCode::OK
        }
        _ => StatusCode::NOT_FOUND,
    }
}

async fn hosts(State(shared): State<Arc<Shared>>) -> Response {
    let store = shared.store.lock().expect("no holder panics");
    Json(store.hosts.clone()).into_response()
}

impl Store {
    fn live(&self, key: &str) -> Option<&Value> {
        let held =
            |lease: &u64| self.leases.get(lease).is_some_and(|(until, _)| *until > Instant::now());
        self.keys.get(key).filter(|value| value.lease.as_ref().is_none_or(held))
    }
}
