//! HTTP responses and status codes of replies.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use coltsfootshunt_core::answer::{Answer, Refusal};
use serde_json::json;

use crate::submission::Reply;

/// Converts a reply to an HTTP response.
pub fn respond(reply: Reply) -> Response {
    match reply {
        Reply::Identifiers(identifiers) => {
            Json(json!({ "identifiers": identifiers })).into_response()
        }
        Reply::Answer(answer) => (status(&answer), Json(answer)).into_response(),
        Reply::Pending(progress) => {
            let body = json!({ "outcome": "pending", "tasks": progress });
            (StatusCode::ACCEPTED, Json(body)).into_response()
        }
        Reply::Trace(trace) => Json(trace).into_response(),
    }
}

/// Returns the HTTP status of an answer.
pub fn status(answer: &Answer) -> StatusCode {
    match answer {
        Answer::Complete { .. } => StatusCode::OK,
        Answer::Failed { .. } => StatusCode::INTERNAL_SERVER_ERROR,
        Answer::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        Answer::NotRun { refusal } => refusal_status(refusal),
    }
}

fn refusal_status(refusal: &Refusal) -> StatusCode {
    match refusal {
        Refusal::Malformed { .. } => StatusCode::BAD_REQUEST,
        Refusal::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::UnknownKind | Refusal::UnknownTeam | Refusal::NoTarget => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        Refusal::NeverIssued => StatusCode::NOT_FOUND,
        Refusal::Mismatch => StatusCode::CONFLICT,
        Refusal::Cancelled | Refusal::OwnerStopped => StatusCode::GONE,
        Refusal::Late { .. }
        | Refusal::Expired
        | Refusal::Full
        | Refusal::Draining
        | Refusal::NotReady
        | Refusal::TargetsRefused => StatusCode::SERVICE_UNAVAILABLE,
    }
}
