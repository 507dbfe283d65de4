//! Targets over HTTP/1.1.
//!
//! `POST /v1/tasks` with `{"task", "kind", "within_ms", "input"}`. A target answers 200 with
//! `{"task", "output"}`, 500 with `{"task", "error"}` after a run without success, or 503 with
//! `{"task", "refused": "busy" | "leaving"}` if it did not start the task. Whatever else it says
//! leaves open whether the task ran.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coltsfootshunt_core::answer::Fault;
use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::job::Payload;
use coltsfootshunt_http::{self as http, Error, Method, Request, StatusCode};
use serde::{Deserialize, Deserializer, Serialize};

use super::{Client, Rejection, Report, Start};
use crate::submission::End;

/// Largest response of a target, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Longest error text that is kept, in characters.
const MAX_DETAIL: usize = 200;
/// Age at which a decision to start no longer holds: the process was stopped in between.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// The adapter.
pub struct Http {
    client: http::Client,
    clock: Arc<dyn Clock>,
}

#[derive(Serialize)]
struct Body<'a> {
    task: &'a str,
    kind: &'a str,
    within_ms: u64,
    input: &'a Payload,
}

#[derive(Deserialize)]
struct Word {
    task: String,
    #[serde(default, deserialize_with = "present")]
    output: Option<Payload>,
    error: Option<String>,
    refused: Option<Rejection>,
}

/// Keeps an output of `null` apart from no output.
fn present<'de, D: Deserializer<'de>>(value: D) -> Result<Option<Payload>, D::Error> {
    Payload::deserialize(value).map(Some)
}

impl Http {
    /// An adapter with no connections.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { client: http::Client::new(MAX_RESPONSE_BYTES), clock }
    }
}

#[async_trait]
impl Client for Http {
    async fn run(&self, start: Start) -> Report {
        let began = self.clock.now();
        if began.saturating_duration_since(start.decided_at) > STALE_AFTER {
            return report(End::NotStarted, Duration::ZERO);
        }
        let outcome = self.client.send(request(&start)).await;
        let took = self.clock.now().saturating_duration_since(began);
        match outcome {
            Ok((status, body)) => judge(&start.label, status, &body, took),
            Err(failure) => report(end_of(failure), took),
        }
    }
}

fn request(start: &Start) -> Request<'static> {
    let within_ms = u64::try_from(start.timeout.as_millis()).unwrap_or(u64::MAX);
    let body = Body { task: &start.label, kind: &start.kind, within_ms, input: &start.input };
    Request {
        method: Method::POST,
        address: start.address,
        path: "/v1/tasks",
        body: serde_json::to_vec(&body).expect("names and raw JSON serialize"),
        timeout: start.timeout,
    }
}

fn end_of(error: Error) -> End {
    match error {
        Error::Connect | Error::Refused => End::NotStarted,
        Error::Disconnected => End::Fault(Fault::Lost),
        Error::Timeout => End::Fault(Fault::Timeout),
        Error::Oversized => End::Fault(Fault::Oversized),
    }
}

fn judge(label: &str, status: StatusCode, body: &[u8], took: Duration) -> Report {
    let Ok(word) = serde_json::from_slice::<Word>(body) else {
        return report(End::Fault(Fault::Malformed), took);
    };
    if word.task != label {
        return report(End::Fault(Fault::WrongTask), took);
    }
    match (status, word.output, word.error, word.refused) {
        (StatusCode::OK, Some(output), None, None) => report(End::Output(output), took),
        (StatusCode::INTERNAL_SERVER_ERROR, None, Some(error), None) => {
            let detail = error.chars().take(MAX_DETAIL).collect();
            report(End::Fault(Fault::Reported { detail }), took)
        }
        (StatusCode::SERVICE_UNAVAILABLE, None, None, Some(refused)) => {
            Report { end: End::NotStarted, rejection: Some(refused), took }
        }
        _ => report(End::Fault(Fault::Malformed), took),
    }
}

fn report(end: End, took: Duration) -> Report {
    Report { end, rejection: None, took }
}
