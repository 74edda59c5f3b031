//! HTTP servers of the process: callers, readiness check, directory and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use admit::FleetView;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use metrics::{counter, gauge};
use metrics_exporter_prometheus::PrometheusHandle;
use rand::seq::SliceRandom;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::body::Body;
use crate::clock;
use crate::node::{CountGuard, Node};
use crate::request;

/// Smallest read buffer that the HTTP library accepts.
const MIN_READ_BUFFER: usize = 8192;
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Idle timeout of connections to the auxiliary servers.
const AUXILIARY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of entries in one response of the directory.
const MAX_ENTRIES: usize = 64;
/// Time for which callers may cache a response of the directory, unless the settings give a shorter
/// one.
const MAX_DIRECTORY_TTL: Duration = Duration::from_secs(2);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    Callers,
    Ready,
    Directory,
    Metrics,
}

/// Accepts connections until `close` is set. Then the listener is closed, so that no request is
/// accepted that can't be finished before the process exits.
pub(crate) async fn serve(
    node: Rc<Node>,
    listener: TcpListener,
    service: Service,
    mut close: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Fails only if the sender is dropped, which happens when the process ends.
            _ = close.wait_for(|&close| close) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // Best effort: this only reduces latency.
                let _ = stream.set_nodelay(true);
                let task = handle_connection(Rc::clone(&node), stream, service, close.clone());
                tokio::task::spawn_local(task);
            }
            Err(err) => {
                counter!("primrosechute_accepts_failed_total").increment(1);
                warn!("entry: accept failed: {err}");
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn handle_connection(
    node: Rc<Node>,
    stream: TcpStream,
    service: Service,
    mut close: watch::Receiver<bool>,
) {
    let _open = CountGuard::new(&node.connections);
    let limits = node.catalog.borrow().limits();
    let idle = match service {
        Service::Callers => limits.idle_timeout,
        Service::Ready | Service::Directory | Service::Metrics => AUXILIARY_IDLE_TIMEOUT,
    };
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER))
        .serve_connection(
            TokioIo::new(stream),
            service_fn(move |req| respond(Rc::clone(&node), service, req)),
        );
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = &mut conn => ended,
        // Fails only if the sender is dropped, which happens when the process ends.
        _ = close.wait_for(|&close| close) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(err) = ended {
        debug!("entry: a connection failed: {err}");
    }
}

async fn respond(
    node: Rc<Node>,
    service: Service,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let response = match service {
        Service::Callers => return request::handle(node, req).await,
        Service::Ready => {
            let head = Request::from_parts(req.into_parts().0, ());
            let status = match (node.dialect.is_readiness_check(&head), node.is_ready()) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            node.dialect.local_response(status, "", "readiness", None)
        }
        Service::Metrics => match req.uri().path() {
            "/metrics" => respond_metrics(&node),
            _ => node.dialect.local_response(404, "", "no such call", None),
        },
        Service::Directory => {
            let head = Request::from_parts(req.into_parts().0, ());
            if node.dialect.is_directory_lookup(&head) {
                respond_directory(&node)
            } else {
                node.dialect.local_response(404, "", "no such call", None)
            }
        }
    };
    Ok(response.map(Body::from))
}

/// Lists live entries in random order, to spread callers.
fn respond_directory(node: &Node) -> Response<bytes::Bytes> {
    let mut ips = node.membership.borrow().entries(clock::now());
    if ips.is_empty() {
        return node
            .dialect
            .local_response(503, "", "no entry is ready", None);
    }
    ips.shuffle(&mut rand::rng());
    ips.truncate(MAX_ENTRIES);
    let port = node.settings.entry.port();
    let entries: Vec<SocketAddr> = ips
        .into_iter()
        .map(|ip| SocketAddr::from((ip, port)))
        .collect();
    let ttl = MAX_DIRECTORY_TTL.min(node.settings.directory_ttl);
    node.dialect.directory_response(&entries, ttl)
}

/// Renders counters and histograms as text, with current gauges.
fn respond_metrics(node: &Node) -> Response<bytes::Bytes> {
    let now = clock::now();
    let live = u32::try_from(node.membership.borrow().live_count(now)).unwrap_or(u32::MAX);
    gauge!("primrosechute_members_live").set(live);
    let has_joined = node.membership.borrow().view(now) != FleetView::Joining;
    gauge!("primrosechute_member_joined").set(u32::from(has_joined));
    gauge!("primrosechute_store_age_seconds").set(node.store_age(now).as_secs_f64());
    let silence = node.membership.borrow().longest_silence(now);
    gauge!("primrosechute_member_silence_seconds").set(silence.as_secs_f64());
    let report_age = node.owner.borrow().oldest_report(now);
    gauge!("primrosechute_target_report_age_seconds").set(report_age.as_secs_f64());
    let version = u32::try_from(node.catalog.borrow().version()).unwrap_or(u32::MAX);
    let (runs, unread_tokens) = node.owner.borrow().running_totals();
    gauge!("primrosechute_granted_runs").set(u32::try_from(runs).unwrap_or(u32::MAX));
    let unread_tokens = u32::try_from(unread_tokens).unwrap_or(u32::MAX);
    gauge!("primrosechute_unread_prompt_tokens").set(unread_tokens);
    let paced = node.owner.borrow().paced_targets();
    gauge!("primrosechute_paced_targets").set(u32::try_from(paced).unwrap_or(u32::MAX));
    gauge!("primrosechute_config_version").set(version);
    let age = node.catalog.borrow().config_age(now);
    gauge!("primrosechute_config_age_seconds").set(age.as_secs_f64());
    let era = node.record_log.borrow().position().era;
    gauge!("primrosechute_store_era").set(u32::try_from(era).unwrap_or(u32::MAX));
    let refused = node.poison_parts.borrow().refused_parts(now);
    gauge!("primrosechute_poison_parts").set(u32::try_from(refused).unwrap_or(u32::MAX));
    let limits = node.named_limits.borrow().count();
    gauge!("primrosechute_target_limits").set(u32::try_from(limits).unwrap_or(u32::MAX));
    metrics_process::Collector::new("primrosechute_").collect();
    let serving = u32::try_from(node.serving.get()).unwrap_or(u32::MAX);
    gauge!("primrosechute_requests_serving").set(serving);
    let page = node.metrics.as_ref().map(PrometheusHandle::render);
    Response::new(page.unwrap_or_default().into())
}
