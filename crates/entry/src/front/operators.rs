//! The operators' HTTP interface: readiness, metrics and the dump.

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;

use crate::control::Handle;

#[derive(Clone)]
struct Front {
    control: Handle,
    metrics: PrometheusHandle,
}

/// The routes for operators and the balancer.
pub fn operator_routes(control: Handle, metrics: PrometheusHandle) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics_text))
        .route("/dump", get(dump))
        .with_state(Front { control, metrics })
}

async fn ready(State(front): State<Front>) -> Response {
    let snapshot = front.control.snapshot();
    let status = if snapshot.is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let body = json!({ "ready": snapshot.is_ready, "revision": snapshot.revision });
    (status, Json(body)).into_response()
}

async fn metrics_text(State(front): State<Front>) -> String {
    front.metrics.render()
}

async fn dump(State(front): State<Front>) -> Response {
    match front.control.dump().await {
        Ok(value) => Json(value).into_response(),
        Err(gone) => (StatusCode::SERVICE_UNAVAILABLE, gone.to_string()).into_response(),
    }
}
