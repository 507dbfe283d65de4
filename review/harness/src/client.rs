//! Clients: they send jobs, cancel them, and wait for the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootshunt_http::{Client as Http, Error, Method, Request};
use serde_json::{Value, json};

use crate::record::Record;

/// A client with connections of its own.
pub struct Client {
    http: Http,
    record: Record,
}

/// A job of one step of equal tasks that need not be stored.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub tasks: u32,
    pub cpu_millis: u64,
    pub run_ms: u64,
    pub deadline_ms: u64,
}

impl Client {
    #[must_use]
    pub fn new(record: &Record) -> Self {
        Self { http: Http::new(1 << 20), record: record.clone() }
    }

    /// Submits a job and waits for its answer. Returns its status; none without an answer.
    pub async fn submit(&self, host: SocketAddr, id: &str, job: Job) -> Option<u16> {
        let Job { tasks, cpu_millis, run_ms, deadline_ms } = job;
        let step = json!({
            "count": tasks, "cpu": cpu_millis, "memMb": 64, "estimatedMs": run_ms,
        });
        let spec = format!("cpu={cpu_millis} ms={run_ms}");
        let body = json!({ "spec": spec, "bestEffort": true, "steps": [step] });
        self.submit_body(host, id, &body, deadline_ms).await
    }

    /// Submits a job with this body and waits for its answer.
    pub async fn submit_body(
        &self,
        host: SocketAddr,
        id: &str,
        body: &Value,
        deadline_ms: u64,
    ) -> Option<u16> {
        self.send(Method::POST, host, &format!("/cut/{id}"), body.to_string(), deadline_ms).await
    }

    /// Cancels a job. Returns the status of the answer; none without an answer.
    pub async fn cancel(&self, host: SocketAddr, id: &str) -> Option<u16> {
        self.send(Method::DELETE, host, &format!("/cut/{id}"), String::new(), 1_500).await
    }

    async fn send(
        &self,
        method: Method,
        host: SocketAddr,
        path: &str,
        body: String,
        deadline_ms: u64,
    ) -> Option<u16> {
        self.record.line(&format!(
            "client sends {method} {path} to {host}, waits {deadline_ms} ms: {body}"
        ));
        let name = method.to_string();
        let timeout = Duration::from_millis(deadline_ms);
        let request = Request { method, address: host, path, body: body.into_bytes(), timeout };
        let deadline = deadline_ms.to_string();
        let headers = [("host", "jobs.example"), ("x-deadline-ms", deadline.as_str())];
        let answer = self.http.send_with_headers(request, &headers).await;
        let text = match &answer {
            Ok((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            Err(Error::Timeout) => "no answer, the client leaves".to_owned(),
            Err(error) => format!("no answer: {error}"),
        };
        self.record.line(&format!("client got for {name} {path}: {text}"));
        answer.ok().map(|(status, _)| status.as_u16())
    }
}

/// Returns a new job identifier.
#[must_use]
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}
