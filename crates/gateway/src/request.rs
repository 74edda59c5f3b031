//! Handles one request of a caller.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admit::{Access, AccessError, Fingerprints, Name, Refusal, Route, RunEnd};
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use log::info;
use metrics::counter;
use rand::RngExt;
use tokio::time::sleep;

use crate::adapter::{Attestation, HeadError, RequestHead};
use crate::attempt::{self, Attempt, Channel, OutboundRequest, ReceivedHead, SendOutcome};
use crate::body::{self, Body, BodyError};
use crate::buffer_budget::Buffered;
use crate::clock;
use crate::crash_check::{self, AwaitedRun};
use crate::fingerprint::{self, FingerprintInput};
use crate::node::{CountGuard, Node};
use crate::permit::{self, Permit, PermitRequest};
use crate::poison_parts::Part;
use crate::relay::{self, StreamContext};
use crate::request_log::RequestLog;
use crate::retry_decision::{AttemptOutcome, NextStep, next_step};

/// Fraction of the target latency for which a request may wait for a permit at most. The owner refuses
/// it sooner if the rest is too short for the targets.
const PERMIT_WAIT_SHARE: f64 = 0.85;
/// A retryable request gives up on a target that doesn't respond after this multiple of the target
/// latency.
const HEAD_TIMEOUT_FACTOR: u32 = 2;
/// Shortest time after which a target that doesn't respond is given up.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(600);
/// The request is refused after this many targets that could not be reached.
pub(crate) const MAX_UNREACHABLE_TARGETS: u32 = 4;
/// Longest wait of a request for the first configuration; a fraction of usual target latencies.
const FIRST_CONFIG_WAIT: Duration = Duration::from_millis(200);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of a response that is buffered before it is relayed.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Retry time for callers while the process has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry time for callers whose body found no room.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest retry time given to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// With less time than this left, no further attempt is made.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Time after which a target that doesn't respond is given up, if another one can be asked.
pub(crate) fn head_timeout(route: &Route) -> Duration {
    (route.target_latency * HEAD_TIMEOUT_FACTOR).max(MIN_HEAD_TIMEOUT)
}

/// Handles one request. If the caller leaves, this future is dropped, which releases everything
/// that it holds.
pub(crate) async fn handle(
    node: Rc<Node>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let serving = CountGuard::new(&node.serving);
    let mut response = match prepare(&node, req).await {
        Ok(admitted) => admitted.run(serving).await,
        Err(response) => response,
    };
    if node.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// A request that was authorized, with its body.
struct AdmittedRequest {
    node: Rc<Node>,
    route: Arc<Route>,
    req: OutboundRequest,
    permit_request: PermitRequest,
    deadline: Duration,
    unreachable_targets: u32,
    log: RequestLog,
    /// What the caller gets if no further attempt is made.
    fallback: Option<(NextStep, Option<Response<Body>>)>,
}

async fn prepare(
    node: &Rc<Node>,
    req: Request<Incoming>,
) -> Result<AdmittedRequest, Response<Body>> {
    let received_at = clock::now();
    let (parts, body) = req.into_parts();
    let head = node
        .dialect
        .parse_request_head(&parts.headers)
        .map_err(|bad| {
            let reason = match bad {
                HeadError::MissingId => "request id missing",
                HeadError::MalformedDeadline => "malformed deadline",
                HeadError::AmbiguousHeader => "ambiguous header",
            };
            reject(node, 400, "", reason, None)
        })?;
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    if parts.uri.authority().is_some() {
        return Err(reject(node, 400, &head.id, "absolute form", None));
    }
    let path = parts.uri.path();
    wait_until_ready(node).await;
    let (allowed, limits, version) = {
        let catalog = node.catalog.borrow();
        (
            catalog.authorize(host, path, head.key.as_deref()),
            catalog.limits(),
            catalog.version(),
        )
    };
    let allowed = allowed.map_err(|denied| match denied {
        AccessError::NoConfig => reject(
            node,
            503,
            &head.id,
            "no configuration",
            Some(NOT_READY_RETRY_AFTER),
        ),
        AccessError::NoRoute => reject(node, 404, &head.id, "no route", None),
        AccessError::UnknownKey => reject(node, 401, &head.id, "unknown key", None),
    })?;
    let deadline = received_at
        + head
            .deadline
            .unwrap_or(Duration::MAX)
            .min(allowed.route.timeout);
    let mut reserved = node.buffers.reserve();
    let read = body::read(body, limits.max_body_bytes, &mut reserved);
    let body = match node.before(deadline, read).await {
        Some(Ok(body)) => body,
        Some(Err(err)) => return Err(reject_body(node, &head.id, err)),
        None => return Err(reject(node, 408, &head.id, "body late", None)),
    };
    let mut log = RequestLog::new(
        received_at,
        &head.id,
        &allowed.route.name,
        allowed.route.kind,
        allowed.workspace.as_ref().map(|workspace| &workspace.name),
        version,
    );
    let workspace = allowed.workspace.as_ref().map(|w| w.name.clone());
    let fingerprints = fingerprint::fingerprints(&FingerprintInput {
        workspace: workspace.as_deref(),
        method: &parts.method,
        uri: &parts.uri,
        headers: &parts.headers,
        work_headers: node.dialect.work_headers(),
        body: &body,
    });
    let permit_request = permit_request(&allowed, &head, fingerprints, received_at);
    log.record_request(&permit_request);
    Ok(AdmittedRequest {
        node: Rc::clone(node),
        deadline,
        req: OutboundRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            id: head.id,
            workspace,
            parts: request_parts(&head.prompt_parts, fingerprints),
            _reserved: reserved,
        },
        route: allowed.route,
        permit_request,
        unreachable_targets: 0,
        log,
        fallback: None,
    })
}

fn request_parts(declared: &[(u64, u32)], fingerprints: Fingerprints) -> Rc<[Part]> {
    let shared = declared.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared = (0..).zip(shared);
    let shared = shared.map(|(depth, &(hash, _))| Part::of_prompt(depth, hash));
    let own = Part::of_fingerprints(fingerprints);
    shared.chain(own).collect()
}

/// Waits briefly for the first configuration: a process that has just started reads it within
/// milliseconds.
async fn wait_until_ready(node: &Node) {
    let until = clock::now() + FIRST_CONFIG_WAIT;
    while !node.catalog.borrow().is_ready() && clock::now() < until {
        sleep(READY_POLL_INTERVAL).await;
    }
}

fn permit_request(
    allowed: &Access,
    head: &RequestHead,
    fingerprints: Fingerprints,
    received_at: Duration,
) -> PermitRequest {
    let route = &allowed.route;
    let workspace = allowed.workspace.as_ref();
    PermitRequest {
        pool: choose_pool(&route.pools),
        tier: allowed.rank(),
        workspace: workspace
            .filter(|w| w.rate.is_some())
            .map(|w| w.name.clone()),
        token_counts: head.token_counts,
        expected_output: head.expected_output,
        session: head.prompt_parts.last().map_or(0, |&(part, _)| part),
        sends: 0,
        avoid: Vec::new(),
        fingerprints,
        max_wait: route.target_latency.mul_f64(PERMIT_WAIT_SHARE),
        due: received_at + route.target_latency,
        max_pause: route.max_pause.filter(|_| route.kind.is_stream()),
        time_left: route.timeout,
    }
}

/// Chooses one of the pools of a route at random, by weight.
fn choose_pool(pools: &[(Name, u32)]) -> Name {
    let total: u64 = pools.iter().map(|&(_, weight)| u64::from(weight)).sum();
    let mut at = rand::rng().random_range(0..total.max(1));
    for (name, weight) in pools {
        let weight = u64::from(*weight);
        if at < weight {
            return name.clone();
        }
        at -= weight;
    }
    pools
        .first()
        .map_or_else(|| "".into(), |(name, _)| name.clone())
}

impl AdmittedRequest {
    async fn run(mut self, serving: CountGuard) -> Response<Body> {
        loop {
            let permit = match self.acquire_permit().await {
                Ok(permit) => permit,
                Err((reason, retry_after)) => return self.final_response(reason, retry_after),
            };
            let can_retry = self.can_retry();
            let head_timeout = if can_retry && self.route.kind.is_retryable() {
                self.time_left().min(head_timeout(&self.route))
            } else {
                self.time_left()
            };
            let target = permit.target.clone();
            let sent_at = clock::now();
            let attempt = Attempt {
                time_left: self.time_left(),
                head_timeout,
                last_event: None,
                channel: Channel::Pooled,
            };
            let sent = attempt::send(&self.node, &self.req, &target, &attempt).await;
            if !matches!(sent, SendOutcome::NotSent) {
                self.permit_request.sends += 1;
                self.log.record_send();
            }
            self.permit_request.avoid.push(permit.key);
            let outcome = match sent {
                SendOutcome::NotSent => {
                    self.unreachable_targets += 1;
                    permit.end(RunEnd::Unreachable);
                    (AttemptOutcome::NotSent, None)
                }
                SendOutcome::Broken(why) => {
                    self.log.log_failed_attempt(why);
                    permit.end(RunEnd::Broken);
                    (AttemptOutcome::Broken, None)
                }
                SendOutcome::TimedOut => {
                    permit.end(RunEnd::TimedOut);
                    (AttemptOutcome::TimedOut, None)
                }
                SendOutcome::Head(received) => {
                    if received.response.status() == StatusCode::OK
                        && received.head.attestation == Attestation::Signed
                        && self.route.kind.is_stream()
                    {
                        self.log.record_first_byte();
                        let stream = StreamContext {
                            log: self.log.into(),
                            node: self.node,
                            req: self.req,
                            route: self.route,
                            permit_request: self.permit_request.into(),
                            unreachable_targets: self.unreachable_targets.into(),
                            deadline: self.deadline,
                            _serving: serving,
                        };
                        return relay::start(stream, permit, *received);
                    }
                    self.read_response(permit, *received, sent_at).await
                }
            };
            match outcome.0 {
                AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                    crash_check::check_target(&self.node, &self.req, &target);
                }
                AttemptOutcome::Answered {
                    status: 200..=299,
                    signed: true,
                } => self.record_answer(),
                _ => {}
            }
            let next = next_step(outcome.0, self.route.kind, self.can_retry());
            match next {
                NextStep::Relay => {
                    self.log.record_first_byte();
                    let response = outcome.1.expect("only a response is relayed");
                    let is_error = response.status().is_server_error();
                    let outcome = if is_error { "error" } else { "served" };
                    self.log.log_answered(&self.node, outcome, 0);
                    return response;
                }
                NextStep::Retry => {
                    let last = next_step(outcome.0, self.route.kind, false);
                    self.record_fallback(last, outcome.1);
                    self.log.log_failed_attempt(outcome.0.label());
                }
                next => {
                    self.record_fallback(next, None);
                    return self.final_response(Refusal::NoTarget, Duration::ZERO);
                }
            }
        }
    }

    /// Waits for a permit for the next attempt. Otherwise returns why the request is refused, and
    /// when to retry.
    async fn acquire_permit(&mut self) -> Result<Permit, (Refusal, Duration)> {
        const OUT_OF_TIME: (Refusal, Duration) = (Refusal::Busy, Duration::ZERO);
        let time_left = self.time_left();
        if time_left < MIN_ATTEMPT_TIME && (self.fallback.is_some() || time_left.is_zero()) {
            return Err(OUT_OF_TIME);
        }
        self.check_poison()?;
        self.permit_request.time_left = time_left;
        self.permit_request.max_wait = self.permit_request.max_wait.min(time_left);
        let asked_at = clock::now();
        let acquire = permit::acquire(&self.node, &self.permit_request);
        let permit = match self.node.before(self.deadline, acquire).await {
            Some(Ok(permit)) => permit,
            Some(Err(refused)) => {
                self.log.record_refusing_owner(refused.owner);
                return Err((refused.reason, refused.retry_after));
            }
            None => return Err(OUT_OF_TIME),
        };
        // It may have become known while the request waited.
        if let Err(refused) = self.check_poison() {
            permit.end(RunEnd::Unused);
            return Err(refused);
        }
        let waited = clock::now().saturating_sub(asked_at);
        self.log.record_permit(&permit);
        self.log.record_permit_wait(waited);
        Ok(permit)
    }

    /// Checks that neither the request nor a part of its prompt is refused.
    fn check_poison(&self) -> Result<(), (Refusal, Duration)> {
        let now = clock::now();
        let poison_parts = self.node.poison_parts.borrow();
        let Some(left) = poison_parts.refusal(now, &self.req.parts) else {
            return Ok(());
        };
        let own = Part::of_fingerprints(self.permit_request.fingerprints);
        let itself = poison_parts.refusal(now, &own);
        let reason = itself.map_or(Refusal::PoisonPart, |_| Refusal::Poison);
        Err((reason, left))
    }

    /// Records what the caller gets if this was the last attempt. If this attempt did not run, an
    /// earlier one may still have run, so its result is kept.
    fn record_fallback(&mut self, next: NextStep, response: Option<Response<Body>>) {
        if self.fallback.is_none() || next != NextStep::FailNotRun {
            self.fallback = Some((next, response));
        }
    }

    fn record_answer(&self) {
        let mut poison_parts = self.node.poison_parts.borrow_mut();
        poison_parts.record_answer(clock::now(), &self.req.parts);
    }

    fn time_left(&self) -> Duration {
        self.node.time_left(self.deadline)
    }

    fn can_retry(&self) -> bool {
        self.permit_request.sends < self.route.max_attempts
            && self.unreachable_targets < MAX_UNREACHABLE_TARGETS
            && self.time_left() > MIN_ATTEMPT_TIME
    }

    /// Reads the body of a response that is not relayed as a stream.
    async fn read_response(
        &self,
        mut permit: Permit,
        received: ReceivedHead,
        started_at: Duration,
    ) -> (AttemptOutcome, Option<Response<Body>>) {
        let ends_with_connection = received.ends_with_connection();
        let ReceivedHead {
            response,
            head,
            mut upstream,
        } = received;
        let (parts, body) = response.into_parts();
        let mut reserved = self.node.buffers.reserve();
        let read = body::read(body, MAX_RESPONSE_BYTES, &mut reserved);
        let read = async {
            let body = read.await?;
            if ends_with_connection && !upstream.has_ended_in_order().await {
                return Err(BodyError::Broken);
            }
            Ok(body)
        };
        let awaited = AwaitedRun::start(&self.node, &self.req, &permit.target);
        let body = self.node.before(self.deadline, read).await;
        awaited.end();
        permit.report.load = head.load;
        let body = match body {
            Some(Ok(body)) => body,
            Some(Err(_)) => {
                permit.end(RunEnd::Broken);
                return (AttemptOutcome::Broken, None);
            }
            None => {
                permit.end(RunEnd::TimedOut);
                return (AttemptOutcome::TimedOut, None);
            }
        };
        if !head.close {
            let now = clock::now();
            self.node.upstreams.put(now, upstream, head.keep_alive);
        }
        if let Some(end) = attempt::rejected_run_end(head.attestation) {
            permit.end(end);
            return (AttemptOutcome::Rejected, None);
        }
        let status = parts.status.as_u16();
        if parts.status.is_server_error() {
            permit.end(RunEnd::Error);
        } else {
            permit.report.time_per_unit = Some(clock::now().saturating_sub(started_at));
            permit.end(RunEnd::Served);
        }
        let mut out = Response::new(Body::Full(Buffered::new(body, reserved)));
        *out.status_mut() = parts.status;
        *out.headers_mut() = self.node.dialect.caller_headers(&parts.headers);
        let outcome = AttemptOutcome::Answered {
            status,
            signed: head.attestation == Attestation::Signed,
        };
        (outcome, Some(out))
    }

    /// Creates the final response when no further attempt is made.
    fn final_response(self, reason: Refusal, retry_after: Duration) -> Response<Body> {
        let (status, reason, retry_after) = match self.fallback {
            None | Some((NextStep::FailNotRun | NextStep::Retry, _)) => {
                let status = if reason == Refusal::Rate { 429 } else { 503 };
                let retry_after = retry_after.max(MIN_RETRY_AFTER);
                (status, reason.label(), Some(retry_after))
            }
            Some((NextStep::Relay, Some(response))) => {
                self.log.log_answered(&self.node, "error", 0);
                return response;
            }
            Some((NextStep::Relay | NextStep::FailUnknown, _)) => (502, "outcome unknown", None),
            Some((NextStep::FailTimeout, _)) => (504, "time over", None),
        };
        counter!("primrosechute_refusals_total", "reason" => reason).increment(1);
        self.log
            .log_refused(&self.node, status, reason, retry_after);
        let response = self
            .node
            .dialect
            .local_response(status, &self.req.id, reason, retry_after);
        response.map(Body::from)
    }
}

/// Responds to a request whose body could not be read.
fn reject_body(node: &Node, id: &str, err: BodyError) -> Response<Body> {
    match err {
        BodyError::Broken => reject(node, 400, id, "body incomplete", None),
        BodyError::TooLarge => reject(node, 413, id, "body too large", None),
        BodyError::NoMemory => reject(node, 503, id, "memory", Some(NO_MEMORY_RETRY_AFTER)),
    }
}

/// Responds to a request that is rejected before any attempt.
fn reject(
    node: &Node,
    status: u16,
    id: &str,
    reason: &'static str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    counter!("primrosechute_refusals_total", "reason" => reason).increment(1);
    let config = node.catalog.borrow().version();
    info!(id = id, status = status, reason = reason, config = config; "entry: not taken");
    let response = node.dialect.local_response(status, id, reason, retry_after);
    response.map(Body::from)
}
