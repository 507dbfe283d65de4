//! A target that runs tasks by sleeping and writes down every start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// Time of a task that hangs.
const HANG: Duration = Duration::from_secs(3_600);
/// Size of an answer that is too large, in bytes.
const OVERSIZED: usize = 2 << 20;

/// A running target.
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

struct Shared {
    starts: Mutex<BTreeMap<String, u32>>,
    leaving: AtomicBool,
    failing: AtomicBool,
    /// Run time against the asked one, in percent.
    pace: AtomicU32,
    slots: Semaphore,
    most: AtomicU32,
    running: AtomicU32,
    refused: AtomicU64,
}

#[derive(Deserialize)]
struct Task {
    task: String,
    input: Value,
}

/// What a task's input may ask of a stand-in.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Wish {
    /// Run time, in milliseconds.
    ms: f64,
    /// What to do in the end: nothing for an output, or the name of a failure.
    end: String,
}

impl Target {
    /// Starts a target on a port that the system chooses.
    ///
    /// # Errors
    /// The system gives no port.
    pub async fn start(slots: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            starts: Mutex::default(),
            leaving: AtomicBool::new(false),
            failing: AtomicBool::new(false),
            pace: AtomicU32::new(100),
            slots: Semaphore::new(slots),
            most: AtomicU32::new(0),
            running: AtomicU32::new(0),
            refused: AtomicU64::new(0),
        });
        let routes = Router::new().route("/v1/tasks", post(run)).with_state(Arc::clone(&shared));
        let server = tokio::spawn(async move {
            use axum::serve::ListenerExt;
            let listener = listener.tap_io(|stream| {
                let _ = stream.set_nodelay(true);
            });
            let _ = axum::serve(listener, routes).await;
        });
        Ok(Self { address, shared, server })
    }

    /// Says from now on that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Fails every task at once from now on.
    pub fn set_failing(&self, failing: bool) {
        self.shared.failing.store(failing, Ordering::Relaxed);
    }

    /// Runs tasks in this many percent of the asked time.
    pub fn set_run_time_percent(&self, percent: u32) {
        self.shared.pace.store(percent, Ordering::Relaxed);
    }

    /// Number of starts by task.
    #[must_use]
    pub fn starts_by_task(&self) -> BTreeMap<String, u32> {
        self.shared.starts.lock().expect("no holder panics").clone()
    }

    /// Number of starts in all.
    #[must_use]
    pub fn start_count(&self) -> usize {
        let starts = self.shared.starts.lock().expect("no holder panics");
        starts.values().map(|count| *count as usize).sum()
    }

    /// Number of tasks refused.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Most tasks that ran at once.
    #[must_use]
    pub fn max_running(&self) -> u32 {
        self.shared.most.load(Ordering::Relaxed)
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn run(State(shared): State<Arc<Shared>>, Json(task): Json<Task>) -> Response {
    if shared.leaving.load(Ordering::Relaxed) {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        let body = json!({ "task": task.task, "refused": "leaving" });
        return (StatusCode::SERVICE_UNAVAILABLE, Json(body)).into_response();
    }
    *shared.starts.lock().expect("no holder panics").entry(task.task.clone()).or_default() += 1;
    if shared.failing.load(Ordering::Relaxed) {
        return failed(&task.task);
    }
    let Ok(_slot) = shared.slots.acquire().await else {
        return failed(&task.task);
    };
    let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
    shared.most.fetch_max(running, Ordering::Relaxed);
    let wish: Wish = serde_json::from_value(task.input.clone()).unwrap_or_default();
    let pace = f64::from(shared.pace.load(Ordering::Relaxed)) / 100.0;
    let time = Duration::from_secs_f64(wish.ms * pace / 1e3);
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    shared.running.fetch_sub(1, Ordering::Relaxed);
    end(&wish.end, task).await
}

async fn end(wish: &str, task: Task) -> Response {
    let whole = json!({ "task": task.task, "output": task.input });
    match wish {
        "fail" => failed(&task.task),
        "hang" => {
            tokio::time::sleep(HANG).await;
            Json(whole).into_response()
        }
        "cut" => cut(&whole),
        "crossed" => Json(json!({ "task": "another/0", "output": 1 })).into_response(),
        "garbled" => "{".into_response(),
        "oversized" => {
            let output = "x".repeat(OVERSIZED);
            Json(json!({ "task": task.task, "output": output })).into_response()
        }
        _ => Json(whole).into_response(),
    }
}

fn failed(task: &str) -> Response {
    let body = json!({ "task": task, "error": "asked to fail" });
    (StatusCode::INTERNAL_SERVER_ERROR, Json(body)).into_response()
}

/// Half of a response, then the connection breaks.
fn cut(whole: &Value) -> Response {
    let text = whole.to_string().into_bytes();
    let half = Bytes::copy_from_slice(&text[..text.len() / 2]);
    let chunks = [Ok(half), Err(std::io::Error::other("cut"))];
    let stream = futures_util::stream::iter(chunks);
    Response::builder()
        .header("content-length", text.len())
        .body(Body::from_stream(stream))
        .expect("the header is a number")
}
