//! Client for targets over HTTP/1.1.
//!
//! `POST /v1/tasks` with `{"task", "kind", "within_ms", "input"}`. A target responds with 200 and
//! `{"task", "output"}` after a successful run, with 500 and `{"task", "error"}` after a failed
//! run, or with 503 and `{"task", "refused": "busy" | "leaving"}` if it did not start the task.
//! After any other response it is unknown whether the task ran.

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

/// Largest response body of a target, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Length at which a target's error text is cut off, in characters.
const MAX_ERROR_CHARS: usize = 200;
/// Age above which a decision to start a task is dropped. A decision gets this old only if the
/// process was stopped in between.
const MAX_DECISION_AGE: Duration = Duration::from_secs(1);

/// Sends tasks to targets over HTTP/1.1.
pub struct Http {
    client: http::Client,
    clock: Arc<dyn Clock>,
}

#[derive(Serialize)]
struct TaskRequest<'a> {
    task: &'a str,
    kind: &'a str,
    within_ms: u64,
    input: &'a Payload,
}

#[derive(Deserialize)]
struct TaskResponse {
    task: String,
    #[serde(default, deserialize_with = "present")]
    output: Option<Payload>,
    error: Option<String>,
    #[serde(rename = "refused")]
    rejection: Option<Rejection>,
}

/// Distinguishes an output of `null` from a missing output.
fn present<'de, D: Deserializer<'de>>(value: D) -> Result<Option<Payload>, D::Error> {
    Payload::deserialize(value).map(Some)
}

impl Http {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { client: http::Client::new(MAX_RESPONSE_BYTES), clock }
    }
}

#[async_trait]
impl Client for Http {
    async fn run(&self, start: Start) -> Report {
        let began = self.clock.now();
        if began.saturating_duration_since(start.decided_at) > MAX_DECISION_AGE {
            return report(End::NotStarted, Duration::ZERO);
        }
        let outcome = self.client.send(request(&start)).await;
        let took = self.clock.now().saturating_duration_since(began);
        match outcome {
            Ok((status, body)) => parse_response(&start.label, status, &body, took),
            Err(error) => report(end_of(error), took),
        }
    }
}

fn request(start: &Start) -> Request<'static> {
    let within_ms = u64::try_from(start.timeout.as_millis()).unwrap_or(u64::MAX);
    let body =
        TaskRequest { task: &start.label, kind: &start.kind, within_ms, input: &start.input };
    Request {
        method: Method::POST,
        address: start.address,
        path: "/v1/tasks",
        body: serde_json::to_vec(&body).expect("names and raw JSON always serialize"),
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

fn parse_response(label: &str, status: StatusCode, body: &[u8], took: Duration) -> Report {
    let Ok(response) = serde_json::from_slice::<TaskResponse>(body) else {
        return report(End::Fault(Fault::Malformed), took);
    };
    if response.task != label {
        return report(End::Fault(Fault::WrongTask), took);
    }
    match (status, response.output, response.error, response.rejection) {
        (StatusCode::OK, Some(output), None, None) => report(End::Output(output), took),
        (StatusCode::INTERNAL_SERVER_ERROR, None, Some(error), None) => {
            let detail = error.chars().take(MAX_ERROR_CHARS).collect();
            report(End::Fault(Fault::Reported { detail }), took)
        }
        (StatusCode::SERVICE_UNAVAILABLE, None, None, Some(rejection)) => {
            Report { end: End::NotStarted, rejection: Some(rejection), took }
        }
        _ => report(End::Fault(Fault::Malformed), took),
    }
}

fn report(end: End, took: Duration) -> Report {
    Report { end, rejection: None, took }
}
