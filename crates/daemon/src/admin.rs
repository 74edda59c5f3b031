//! Admin address: health, readiness, metrics and status.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::fleet::lease_label;
use crate::node::Node;
use crate::owner::Msg;

/// What the admin address needs.
#[derive(Clone)]
struct Admin {
    node: Arc<Node>,
    metrics: PrometheusHandle,
}

/// Routes of the admin address.
pub(crate) fn router(node: Arc<Node>, metrics: PrometheusHandle) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(render))
        .route("/status", get(status))
        .with_state(Admin { node, metrics })
}

async fn ready(State(admin): State<Admin>) -> Response {
    if admin.node.takes_calls() {
        "ready\n".into_response()
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
    }
}

async fn render(State(admin): State<Admin>) -> String {
    admin.metrics.run_upkeep();
    admin.metrics.render()
}

fn share(status: &limit::WorkspaceStatus) -> serde_json::Value {
    serde_json::json!({
        "workspace": status.workspace,
        "parts": status.held.len(),
        "parts_in_transit": status.in_transit,
        "tokens": status.tokens,
        "rate": status.limit.rate,
        "burst": status.limit.burst,
    })
}

async fn status(State(admin): State<Admin>) -> Response {
    let node = &admin.node;
    let sheet = node.sheet();
    let now = node.now();
    let shares: Vec<_> = node.holder.status(now).iter().map(share).collect();
    let digests = node.owner.ask(Msg::Digests).await.unwrap_or_default();
    let pools: Vec<_> = digests
        .iter()
        .map(|digest| {
            serde_json::json!({
                "pool": digest.pool,
                "free_tokens": digest.free,
                "limit_tokens": digest.limit,
                "waiting_by_tier": digest.waiting,
            })
        })
        .collect();
    axum::Json(serde_json::json!({
        "vm": node.settings.vm,
        "zone": node.settings.zone,
        "incarnation": node.incarnation.to_string(),
        "phase": format!("{:?}", node.phase()).to_lowercase(),
        "sheet": { "revision": sheet.revision, "hash": hex::encode(sheet.hash.0) },
        "rejected_sheet": node.rejected.get(),
        "list_generation": node.fleet.view(member::View::generation),
        "lease": node.fleet.view(|view| lease_label(view.lease(now))),
        "shares": shares,
        "linked": node.peers.linked(),
        "owned": node.owner.ask(Msg::Status).await.unwrap_or_default(),
        "pools": pools,
        "running": node.running(),
        "entries": node.entries(),
    }))
    .into_response()
}
