//! Stand-in for a target: sleeps for the run time of each task and counts every start.

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

/// Run time of a task that hangs, beyond the length of any test.
const HANG_TIME: Duration = Duration::from_secs(3_600);
/// Size of an output that exceeds the dispatcher's limit.
const OVERSIZED_BYTES: usize = 2 << 20;

/// A running target, which stops on drop.
pub struct Target {
    /// Address of the target's listener.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

struct Shared {
    /// Number of starts of each task.
    starts: Mutex<BTreeMap<String, u32>>,
    is_leaving: AtomicBool,
    is_failing: AtomicBool,
    /// Run time of tasks, in percent of the requested one.
    run_time_percent: AtomicU32,
    slots: Semaphore,
    /// Highest value of `running` so far.
    max_running: AtomicU32,
    running: AtomicU32,
    refused: AtomicU64,
}

#[derive(Deserialize)]
struct Task {
    task: String,
    input: Value,
}

/// Behaviour that the input of a task requests from the stand-in.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Behaviour {
    /// Run time, in milliseconds.
    ms: f64,
    /// How to respond: `fail`, `hang`, `cut`, `crossed`, `garbled` or `oversized`. Any other value
    /// returns the input as the output.
    end: String,
}

impl Target {
    /// Starts a target with `slots` slots on a port that the system chooses. Tasks beyond the slots
    /// wait.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(slots: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            starts: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            is_failing: AtomicBool::new(false),
            run_time_percent: AtomicU32::new(100),
            slots: Semaphore::new(slots),
            max_running: AtomicU32::new(0),
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

    /// Sets whether the target rejects tasks because it is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.shared.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Sets whether every task fails at once.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Sets the run time of tasks in percent of the requested one.
    pub fn set_run_time_percent(&self, percent: u32) {
        self.shared.run_time_percent.store(percent, Ordering::Relaxed);
    }

    /// Number of starts of each task, by task identifier.
    #[must_use]
    pub fn starts_by_task(&self) -> BTreeMap<String, u32> {
        self.shared.starts.lock().expect("no thread panics while it holds the lock").clone()
    }

    /// Number of starts of all tasks.
    #[must_use]
    pub fn start_count(&self) -> usize {
        let starts = self.shared.starts.lock().expect("no thread panics while it holds the lock");
        starts.values().map(|count| *count as usize).sum()
    }

    /// Number of tasks rejected while the target was leaving.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Highest number of tasks that ran at the same time.
    #[must_use]
    pub fn max_running(&self) -> u32 {
        self.shared.max_running.load(Ordering::Relaxed)
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn run(State(shared): State<Arc<Shared>>, Json(task): Json<Task>) -> Response {
    if shared.is_leaving.load(Ordering::Relaxed) {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        let body = json!({ "task": task.task, "refused": "leaving" });
        return (StatusCode::SERVICE_UNAVAILABLE, Json(body)).into_response();
    }
    *shared
        .starts
        .lock()
        .expect("no thread panics while it holds the lock")
        .entry(task.task.clone())
        .or_default() += 1;
    if shared.is_failing.load(Ordering::Relaxed) {
        return failed(&task.task);
    }
    let Ok(_slot) = shared.slots.acquire().await else {
        return failed(&task.task);
    };
    let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
    shared.max_running.fetch_max(running, Ordering::Relaxed);
    let behaviour: Behaviour = serde_json::from_value(task.input.clone()).unwrap_or_default();
    let factor = f64::from(shared.run_time_percent.load(Ordering::Relaxed)) / 100.0;
    let run_time = Duration::from_secs_f64(behaviour.ms * factor / 1e3);
    if !run_time.is_zero() {
        tokio::time::sleep(run_time).await;
    }
    shared.running.fetch_sub(1, Ordering::Relaxed);
    respond(&behaviour.end, task).await
}

async fn respond(end: &str, task: Task) -> Response {
    let complete = json!({ "task": task.task, "output": task.input });
    match end {
        "fail" => failed(&task.task),
        "hang" => {
            tokio::time::sleep(HANG_TIME).await;
            Json(complete).into_response()
        }
        "cut" => truncated(&complete),
        "crossed" => Json(json!({ "task": "another/0", "output": 1 })).into_response(),
        "garbled" => "{".into_response(),
        "oversized" => {
            let output = "x".repeat(OVERSIZED_BYTES);
            Json(json!({ "task": task.task, "output": output })).into_response()
        }
        _ => Json(complete).into_response(),
    }
}

fn failed(task: &str) -> Response {
    let body = json!({ "task": task, "error": "asked to fail" });
    (StatusCode::INTERNAL_SERVER_ERROR, Json(body)).into_response()
}

/// A response whose connection breaks after half of the body.
fn truncated(complete: &Value) -> Response {
    let text = complete.to_string().into_bytes();
    let half = Bytes::copy_from_slice(&text[..text.len() / 2]);
    let chunks = [Ok(half), Err(std::io::Error::other("cut"))];
    let stream = futures_util::stream::iter(chunks);
    Response::builder()
        .header("content-length", text.len())
        .body(Body::from_stream(stream))
        .expect("a number is a valid header value")
}
