//! Clients: they hand in jobs of one step, and cancel them.

use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfootshunt_http::{Client as Http, Method, Request};
use serde_json::json;

use crate::fleet::{HOST, PREFIX};
use crate::record::Record;

/// `X-Deadline-Ms` of all requests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time limit of a request, beyond the deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Limit of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Tasks of a job: their number, the CPU of each in thousandths of a core, and the run time of each.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub tasks: u32,
    pub cpu_millis: u64,
    pub run_ms: u64,
}

/// Status and body of an answer; none without a complete one.
#[derive(Clone, Debug)]
pub struct Answer(pub Option<(u16, String)>);

impl Answer {
    /// Whether it has a status of the 2xx class.
    pub fn is_success(&self) -> bool {
        self.0.as_ref().is_some_and(|(status, _)| (200..300).contains(status))
    }
}

impl Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some((status, body)) => write!(f, "{status} {body}"),
            None => write!(f, "no answer"),
        }
    }
}

/// A client. Clones share its connections.
#[derive(Clone)]
pub struct Client {
    http: Http,
    record: Record,
    /// Number of the last job; the first one is drawn from the time of day.
    last_job: Arc<AtomicU64>,
}

impl Client {
    pub fn new(record: &Record) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let first = u64::try_from(since_epoch.as_nanos() >> 8).unwrap_or_default();
        let last_job = Arc::new(AtomicU64::new(first));
        Self { http: Http::new(MAX_RESPONSE_BYTES), record: record.clone(), last_job }
    }

    /// A new identifier of a job.
    pub fn new_job(&self) -> String {
        let number = self.last_job.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// Hands in a job at a host and waits for its end.
    pub async fn submit(&self, host: SocketAddr, job: &str, work: Work) -> Answer {
        let Work { tasks, cpu_millis, run_ms } = work;
        let body = json!({
            "spec": format!("cpu={cpu_millis} ms={run_ms}"), "bestEffort": true,
            "steps": [{
                "count": tasks, "cpu": cpu_millis, "memMb": 64, "estimatedMs": run_ms,
            }],
        });
        self.record.note(format!("POST {job} to {host}: {tasks} tasks"));
        let answer = self.send(Method::POST, host, job, body.to_string()).await;
        self.record.note(format!("POST {job} answered by {host}: {answer}"));
        answer
    }

    /// Cancels a job at a host.
    pub async fn cancel(&self, host: SocketAddr, job: &str) -> Answer {
        self.record.note(format!("DELETE {job} to {host}"));
        let answer = self.send(Method::DELETE, host, job, String::new()).await;
        self.record.note(format!("DELETE {job} answered by {host}: {answer}"));
        answer
    }

    async fn send(&self, method: Method, address: SocketAddr, job: &str, body: String) -> Answer {
        let path = format!("{PREFIX}{job}");
        let body = body.into_bytes();
        let request = Request { method, address, path: &path, body, timeout: REQUEST_TIMEOUT };
        let deadline_ms = DEADLINE.as_millis().to_string();
        let headers = [("host", HOST), ("x-deadline-ms", deadline_ms.as_str())];
        let answer = self.http.send_with_headers(request, &headers).await.ok();
        Answer(
            answer.map(|(status, body)| {
                (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
            }),
        )
    }
}
