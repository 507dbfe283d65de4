//! A caller as the platform's pages describe it.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_http::{Client, Method, Request};
use coltsfootshunt_platform_standin::process::job;
use rand::Rng;
use rand::rngs::StdRng;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Time after which a job comes again that got no answer.
const RESEND_AFTER: Duration = Duration::from_millis(1_300);
/// Sends of one job.
const SENDS: usize = 3;

/// A job and the answers to it.
pub(crate) struct Job {
    pub(crate) id: String,
    width: u32,
    body: String,
    /// Status and state, or none without a whole answer.
    answers: Vec<Option<(u16, String)>>,
}

impl Job {
    pub(crate) fn new(number: u32, rng: &mut StdRng) -> Self {
        let width = rng.random_range(1..6);
        let cpu = rng.random_range(9_000..16_000);
        let takes_ms = rng.random_range(20..400);
        let body = job(&format!("cpu={cpu} ms={takes_ms}"), width, cpu, takes_ms).to_string();
        Self { id: format!("{number:016x}"), width, body, answers: Vec::new() }
    }

    /// What is wrong with the answers, given the number of its tasks' starts.
    pub(crate) fn judge(&self, starts: u32) -> Option<String> {
        let refused = |one: &Option<(u16, String)>| matches!(one, Some((429 | 503, _)));
        if self.answers.iter().all(refused) && starts > 0 {
            return Some(format!("{} was refused and has {starts} starts", self.id));
        }
        let completed = |one: &Option<(u16, String)>| {
            one.as_ref().is_some_and(|(status, state)| *status == 200 && state == "completed")
        };
        if self.answers.iter().any(completed) && starts < self.width {
            return Some(format!("{} was completed with {starts} starts", self.id));
        }
        let known = |one: &Option<(u16, String)>| {
            one.as_ref().is_none_or(|(status, _)| [200, 429, 502, 503, 504].contains(status))
        };
        (!self.answers.iter().all(known)).then(|| format!("{} got {:?}", self.id, self.answers))
    }
}

/// Who sends a job.
pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) fronts: Vec<SocketAddr>,
    /// Where it goes first.
    pub(crate) first: usize,
}

impl Caller {
    /// Sends a job until it has an answer that is final.
    pub(crate) async fn run(self, mut job: Job) -> Job {
        for send in 0..SENDS {
            let to = self.fronts[(self.first + send) % self.fronts.len()];
            let answer = self.send(to, &job).await;
            let again = matches!(answer, None | Some((502 | 504, _)));
            job.answers.push(answer);
            if !again {
                break;
            }
            tokio::time::sleep(RESEND_AFTER).await;
        }
        job
    }

    async fn send(&self, to: SocketAddr, job: &Job) -> Option<(u16, String)> {
        let path = format!("/cut/{}", job.id);
        let body = job.body.as_bytes().to_vec();
        let request =
            Request { method: Method::POST, address: to, path: &path, body, timeout: PATIENCE };
        let headers = [("host", "jobs.example"), ("x-deadline-ms", "1500")];
        let (status, body) = self.client.send_with_headers(request, &headers).await.ok()?;
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        Some((status.as_u16(), state))
    }
}
