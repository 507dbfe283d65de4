//! In-memory stand-in for the platform's service: versioned keys, leases, watches and the list of
//! hosts. Tests can inject outages and drop responses.

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

/// A running platform, which stops on drop.
pub struct Platform {
    /// Address of the platform's listener.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    store: Mutex<Store>,
    /// Notified after every write.
    changed: Notify,
    is_down: AtomicBool,
    /// Number of writes whose responses are still to be dropped.
    responses_to_drop: AtomicU32,
    request_count: AtomicU64,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, Value>,
    /// End and term of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    hosts: Hosts,
}

struct Value {
    /// Number of writes of the key; 1 for the first.
    version: u64,
    value: String,
    /// Lease without which the key does not exist. `None` if it never expires.
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
    /// Current version of the key; 0 if it does not exist.
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
    /// If no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let routes = Router::new()
            .route("/v1/keys/{*key}", get(read).put(write))
            .route("/v1/list/{*prefix}", get(list))
            .route("/v1/leases", post(grant_lease))
            .route("/v1/leases/{lease}", put(renew_lease))
            .route("/v1/hosts", get(hosts))
            .layer(middleware::from_fn_with_state(Arc::clone(&shared), inject_faults))
            .with_state(Arc::clone(&shared));
        let server = tokio::spawn(async move {
            let _ = axum::serve(listener, routes).await;
        });
        Ok(Self { address, shared, server })
    }

    /// Sets whether all requests fail with 503.
    pub fn set_down(&self, is_down: bool) {
        self.shared.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Drops the responses to the next `count` writes after they took effect.
    pub fn drop_responses(&self, count: u32) {
        self.shared.responses_to_drop.store(count, Ordering::Relaxed);
    }

    /// Sets the names of the hosts that are leaving.
    pub fn set_leaving(&self, names: impl IntoIterator<Item = String>) {
        let mut store = self.shared.store.lock().expect("no thread panics while it holds the lock");
        store.hosts.version += 1;
        store.hosts.leaving = names.into_iter().collect();
    }

    /// Number of requests so far. A long-polling watch counts as one.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.shared.request_count.load(Ordering::Relaxed)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn inject_faults(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response {
    shared.request_count.fetch_add(1, Ordering::Relaxed);
    if shared.is_down.load(Ordering::Relaxed) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let is_write = request.method() == axum::http::Method::PUT;
    let response = next.run(request).await;
    let decrement = |left: u32| left.checked_sub(1);
    let is_dropped = is_write
        && shared
            .responses_to_drop
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok();
    let is_down = shared.is_down.load(Ordering::Relaxed);
    if is_dropped || is_down { StatusCode::GATEWAY_TIMEOUT.into_response() } else { response }
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Query(watch): Query<Watch>,
) -> Response {
    let deadline = Instant::now() + Duration::from_millis(watch.wait_ms.unwrap_or_default());
    loop {
        let changed = shared.changed.notified();
        if let Some(entry) = read_newer(&shared, &key, watch.after) {
            return Json(entry).into_response();
        }
        let Some(left) = deadline.checked_duration_since(Instant::now()) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        // After a timeout the loop reads the key once more.
        let _ = tokio::time::timeout(left, changed).await;
    }
}

/// Reads a key if its version is above `after`.
fn read_newer(shared: &Shared, key: &str, after: Option<u64>) -> Option<serde_json::Value> {
    let store = shared.store.lock().expect("no thread panics while it holds the lock");
    let value = store.get_live(key)?;
    let is_known = after.is_some_and(|after| value.version <= after);
    (!is_known).then(|| json!({ "key": key, "version": value.version, "value": value.value }))
}

async fn list(State(shared): State<Arc<Shared>>, Path(prefix): Path<String>) -> Response {
    let store = shared.store.lock().expect("no thread panics while it holds the lock");
    let keys = store.keys.keys().filter(|key| key.starts_with(&prefix));
    let entry = |key: &String| {
        let value = store.get_live(key)?;
        Some(json!({ "key": key, "version": value.version, "value": value.value }))
    };
    Json(keys.filter_map(entry).collect::<Vec<_>>()).into_response()
}

async fn write(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Json(write): Json<Write>,
) -> Response {
    let mut store = shared.store.lock().expect("no thread panics while it holds the lock");
    let version = store.get_live(&key).map_or(0, |value| value.version);
    if version != write.expected {
        return StatusCode::CONFLICT.into_response();
    }
    let value = Value { version: version + 1, value: write.value, lease: write.lease };
    store.keys.insert(key, value);
    shared.changed.notify_waiters();
    StatusCode::OK.into_response()
}

async fn grant_lease(State(shared): State<Arc<Shared>>, Json(term): Json<Term>) -> Response {
    let mut store = shared.store.lock().expect("no thread panics while it holds the lock");
    store.next_lease += 1;
    let lease = store.next_lease;
    let term = Duration::from_millis(term.term_ms);
    store.leases.insert(lease, (Instant::now() + term, term));
    Json(json!({ "lease": lease })).into_response()
}

async fn renew_lease(State(shared): State<Arc<Shared>>, Path(lease): Path<u64>) -> StatusCode {
    let mut store = shared.store.lock().expect("no thread panics while it holds the lock");
    match store.leases.get_mut(&lease) {
        Some((expires_at, term)) if *expires_at > Instant::now() => {
            *expires_at = Instant::now() + *term;
            StatusCode::OK
        }
        _ => StatusCode::NOT_FOUND,
    }
}

async fn hosts(State(shared): State<Arc<Shared>>) -> Response {
    let store = shared.store.lock().expect("no thread panics while it holds the lock");
    Json(store.hosts.clone()).into_response()
}

impl Store {
    /// Reads a key whose lease, if it has one, has not expired.
    fn get_live(&self, key: &str) -> Option<&Value> {
        let is_held = |lease: &u64| {
            self.leases.get(lease).is_some_and(|(expires_at, _)| *expires_at > Instant::now())
        };
        self.keys.get(key).filter(|value| value.lease.as_ref().is_none_or(is_held))
    }
}
