//! Control APIs of the stand-ins: HTTP endpoints that read records and set faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use testkit::{ConfigServiceFault, Engine, PlainService, Platform, ServiceFault, VmListFault};

type ControlResult = Result<StatusCode, (StatusCode, String)>;

fn to_result(result: io::Result<()>) -> ControlResult {
    match result {
        Ok(()) => Ok(StatusCode::NO_CONTENT),
        Err(e) => Err((StatusCode::CONFLICT, e.to_string())),
    }
}

/// Serves `router` on `addr` in the background.
async fn serve(addr: SocketAddr, router: Router) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(addr).await?;
    println!("control: {}", listener.local_addr()?);
    tokio::spawn(async move {
        if let Err(e) = axum::serve(listener, router).await {
            eprintln!("control: {e}");
        }
    });
    Ok(())
}

/// Faults of an engine. An absent field leaves its fault unchanged.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineFaults {
    stalled: Option<bool>,
    slowdown: Option<f64>,
    unavailable: Option<bool>,
    /// Text that crashes the engine when a request body contains it; empty for none.
    marker: Option<String>,
    #[serde(default)]
    turn_cold: bool,
}

/// `GET /stats`, `/records` and `/orders`; `POST /faults`, `/crash` and `/restart`.
pub(crate) async fn engine(addr: SocketAddr, engine: Arc<Engine>) -> io::Result<()> {
    type Handle = State<Arc<Engine>>;
    let faults = |State(engine): Handle, Json(faults): Json<EngineFaults>| async move {
        if let Some(stalled) = faults.stalled {
            engine.set_stalled(stalled);
        }
        if let Some(factor) = faults.slowdown {
            engine.set_slowdown(factor);
        }
        if let Some(unavailable) = faults.unavailable {
            engine.set_unavailable(unavailable);
        }
        if let Some(marker) = faults.marker {
            engine.crash_on_marker(Some(marker.as_str()).filter(|text| !text.is_empty()));
        }
        if faults.turn_cold {
            engine.turn_cold();
        }
        StatusCode::NO_CONTENT
    };
    let crash = |State(engine): Handle| async move {
        engine.crash().await;
        StatusCode::NO_CONTENT
    };
    let router = Router::new()
        .route(
            "/stats",
            get(|State(e): Handle| async move { Json(e.stats()) }),
        )
        .route(
            "/records",
            get(|State(e): Handle| async move { Json(e.records()) }),
        )
        .route(
            "/orders",
            get(|State(e): Handle| async move { Json(e.orders()) }),
        )
        .route("/faults", post(faults))
        .route("/crash", post(crash))
        .route(
            "/restart",
            post(|State(e): Handle| async move { to_result(e.restart()) }),
        )
        .with_state(engine);
    serve(addr, router).await
}

/// Fault of a plain service.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ServiceFaultName {
    None,
    DelayMs(u64),
    ResetBeforeBody,
    ResetAfterBody,
    CloseMidAnswer,
    Silent,
}

/// `GET /counts`; `POST /fault`, `/crash` and `/restart`.
pub(crate) async fn service(addr: SocketAddr, service: Arc<PlainService>) -> io::Result<()> {
    type Handle = State<Arc<PlainService>>;
    let fault = |State(service): Handle, Json(fault): Json<ServiceFaultName>| async move {
        service.set_fault(match fault {
            ServiceFaultName::None => ServiceFault::None,
            ServiceFaultName::DelayMs(ms) => ServiceFault::Delay(Duration::from_millis(ms)),
            ServiceFaultName::ResetBeforeBody => ServiceFault::ResetBeforeBody,
            ServiceFaultName::ResetAfterBody => ServiceFault::ResetAfterBody,
            ServiceFaultName::CloseMidAnswer => ServiceFault::CloseMidAnswer,
            ServiceFaultName::Silent => ServiceFault::Silent,
        });
        StatusCode::NO_CONTENT
    };
    let crash = |State(service): Handle| async move {
        service.crash().await;
        StatusCode::NO_CONTENT
    };
    let router = Router::new()
        .route(
            "/counts",
            get(|State(s): Handle| async move { Json(s.call_counts()) }),
        )
        .route("/fault", post(fault))
        .route("/crash", post(crash))
        .route(
            "/restart",
            post(|State(s): Handle| async move { to_result(s.restart()) }),
        )
        .with_state(service);
    serve(addr, router).await
}

/// Faults of the platform. An absent field leaves its fault unchanged.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlatformFaults {
    sheets: Option<ConfigServiceFaultName>,
    vms: Option<VmListFaultName>,
    list_lag_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ConfigServiceFaultName {
    None,
    /// Serves the newest sheet up to this revision.
    Stale(u64),
    Hang,
    Down,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmListFaultName {
    None,
    Stale,
    Hang,
    Down,
}

/// `GET /stats`; `POST /faults`.
pub(crate) async fn platform(addr: SocketAddr, platform: Arc<Platform>) -> io::Result<()> {
    type Handle = State<Arc<Platform>>;
    let stats = |State(platform): Handle| async move {
        let (sheets, vms) = (&platform.sheets, &platform.vms);
        let stats: Value = json!({
            "sheet_calls": sheets.calls(),
            "sheet_watches": sheets.waiting_watches(),
            "vm_calls": vms.calls(),
            "vms": vms.latest(),
        });
        Json(stats)
    };
    let faults = |State(platform): Handle, Json(faults): Json<PlatformFaults>| async move {
        to_result(apply_platform_faults(&platform, faults).await)
    };
    let router = Router::new()
        .route("/stats", get(stats))
        .route("/faults", post(faults))
        .with_state(platform);
    serve(addr, router).await
}

async fn apply_platform_faults(platform: &Platform, faults: PlatformFaults) -> io::Result<()> {
    if let Some(ms) = faults.list_lag_ms {
        platform.vms.set_lag(Duration::from_millis(ms));
    }
    let sheets = &platform.sheets;
    let fault = match faults.sheets {
        None => None,
        Some(ConfigServiceFaultName::None) => Some(ConfigServiceFault::None),
        Some(ConfigServiceFaultName::Stale(revision)) => Some(ConfigServiceFault::Stale(revision)),
        Some(ConfigServiceFaultName::Hang) => Some(ConfigServiceFault::Hang),
        Some(ConfigServiceFaultName::Down) => {
            sheets.crash().await;
            None
        }
    };
    if let Some(fault) = fault {
        sheets.set_fault(fault);
        sheets.restart()?;
    }
    let vms = &platform.vms;
    let fault = match faults.vms {
        None => None,
        Some(VmListFaultName::None) => Some(VmListFault::None),
        Some(VmListFaultName::Stale) => Some(VmListFault::Stale),
        Some(VmListFaultName::Hang) => Some(VmListFault::Hang),
        Some(VmListFaultName::Down) => {
            vms.crash().await;
            None
        }
    };
    if let Some(fault) = fault {
        vms.set_fault(fault);
        vms.restart()?;
    }
    Ok(())
}
