//! HTTP interface for operators and load balancers: readiness, metrics and a dump of the state.

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;

use crate::control::Handle;

#[derive(Clone)]
struct Context {
    control: Handle,
    metrics: PrometheusHandle,
}

/// Returns the router for operators and load balancers.
pub fn operator_routes(control: Handle, metrics: PrometheusHandle) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(readiness))
        .route("/metrics", get(render_metrics))
        .route("/dump", get(dump))
        .with_state(Context { control, metrics })
}

async fn readiness(State(context): State<Context>) -> Response {
    let snapshot = context.control.snapshot();
    let status = if snapshot.is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let body = json!({ "ready": snapshot.is_ready, "revision": snapshot.revision });
    (status, Json(body)).into_response()
}

async fn render_metrics(State(context): State<Context>) -> String {
    context.metrics.render()
}

async fn dump(State(context): State<Context>) -> Response {
    match context.control.dump().await {
        Ok(value) => Json(value).into_response(),
        Err(closed) => (StatusCode::SERVICE_UNAVAILABLE, closed.to_string()).into_response(),
    }
}
