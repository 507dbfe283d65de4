//! A caller that behaves as the platform documents it.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_http::{Client, Method, Request};
use coltsfootshunt_platform_standin::process::job;
use rand::Rng;
use rand::rngs::StdRng;

/// Time for which a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a job without a final answer is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// Maximum number of attempts to send a job.
const MAX_SENDS: usize = 3;

/// A job and the responses to it.
pub(crate) struct Job {
    pub(crate) id: String,
    /// Number of tasks.
    width: u32,
    body: String,
    /// HTTP status and job state of each response, `None` without a complete response.
    answers: Vec<Option<(u16, String)>>,
}

impl Job {
    pub(crate) fn new(number: u32, rng: &mut StdRng) -> Self {
        let width = rng.random_range(1..6);
        let cpu = rng.random_range(9_000..16_000);
        let run_ms = rng.random_range(20..400);
        let body = job(&format!("cpu={cpu} ms={run_ms}"), width, cpu, run_ms).to_string();
        Self { id: format!("{number:016x}"), width, body, answers: Vec::new() }
    }

    /// Returns a description if the answers contradict the number of task starts, or if one has an
    /// unexpected status.
    pub(crate) fn find_violation(&self, starts: u32) -> Option<String> {
        let is_refusal = |answer: &Option<(u16, String)>| matches!(answer, Some((429 | 503, _)));
        if self.answers.iter().all(is_refusal) && starts > 0 {
            return Some(format!("{} was refused but has {starts} starts", self.id));
        }
        let is_completed = |answer: &Option<(u16, String)>| {
            answer.as_ref().is_some_and(|(status, state)| *status == 200 && state == "completed")
        };
        if self.answers.iter().any(is_completed) && starts < self.width {
            return Some(format!("{} was completed with {starts} starts", self.id));
        }
        let is_expected = |answer: &Option<(u16, String)>| {
            answer.as_ref().is_none_or(|(status, _)| [200, 429, 502, 503, 504].contains(status))
        };
        (!self.answers.iter().all(is_expected))
            .then(|| format!("{} got {:?}", self.id, self.answers))
    }
}

/// Client that sends a job to the hosts in turn.
pub(crate) struct Caller {
    pub(crate) client: Client,
    /// Caller addresses of all hosts.
    pub(crate) entries: Vec<SocketAddr>,
    /// Index of the host that gets the first attempt.
    pub(crate) first: usize,
}

impl Caller {
    /// Sends a job until it has a final answer, at most [`MAX_SENDS`] times.
    pub(crate) async fn run(self, mut job: Job) -> Job {
        for send in 0..MAX_SENDS {
            let address = self.entries[(self.first + send) % self.entries.len()];
            let answer = self.send(address, &job).await;
            let is_retryable = matches!(answer, None | Some((502 | 504, _)));
            job.answers.push(answer);
            if !is_retryable {
                break;
            }
            tokio::time::sleep(RESEND_DELAY).await;
        }
        job
    }

    async fn send(&self, address: SocketAddr, job: &Job) -> Option<(u16, String)> {
        let path = format!("/cut/{}", job.id);
        let body = job.body.as_bytes().to_vec();
        let request =
            Request { method: Method::POST, address, path: &path, body, timeout: TIMEOUT };
        let headers = [("host", "jobs.example"), ("x-deadline-ms", "1500")];
        let (status, body) = self.client.send_with_headers(request, &headers).await.ok()?;
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        Some((status.as_u16(), state))
    }
}
