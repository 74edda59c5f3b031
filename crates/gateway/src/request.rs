//! One request of a caller.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use log::info;
use metrics::counter;
use rand::RngExt;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::Xxh3;

use crate::adapter::{Attestation, HeadError, RequestHead};
use crate::attempt::{self, Arrived, Sendable, Sent};
use crate::catalog::{Access, AccessError};
use crate::clock;
use crate::model::{Name, Route};
use crate::node::{Counted, Node};
use crate::owner::{Refusal, RunEnd};
use crate::permit::{self, Ask, Permit};
use crate::relay::{self, Body, Stream};
use crate::request_log::RequestLog;
use crate::retry_decision::{AttemptOutcome, NextStep, next_step};

/// Part of the aim for which a request may wait for a permit. The rest is for the target.
const WAIT_PART: f64 = 0.5;
/// A request that may be repeated is given up at a silent target after this many aims.
const SILENT_AIMS: u32 = 2;
/// Shortest time after which a silent target is given up.
const SILENT_MIN: Duration = Duration::from_millis(600);
/// Targets that could not be reached, after which a request is refused.
const MAX_UNREACHED: u32 = 4;
/// Longest wait of a request for the first configuration, a fraction of the usual aims.
const FIRST_READ: Duration = Duration::from_millis(200);
const READY_POLL: Duration = Duration::from_millis(5);
/// Largest answer that is kept to be passed on whole.
const MAX_ANSWER: usize = 8 * 1024 * 1024;
/// Advice to callers of a daemon that has no configuration yet.
const NOT_READY: Duration = Duration::from_millis(300);
/// Shortest advice on when to come back.
const LEAST_RETRY: Duration = Duration::from_millis(100);
/// Less time than this does not pay for one more attempt.
const LEAST_LEFT: Duration = Duration::from_millis(50);

/// Serves one request. The future is dropped when the caller leaves, which ends everything that
/// it holds.
pub(crate) async fn handle(
    node: Rc<Node>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let serving = Counted::new(&node.serving);
    let mut response = match prepare(&node, req).await {
        Ok(call) => call.run(serving).await,
        Err(response) => response,
    };
    if node.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// A request that is allowed, with its body.
struct Call {
    node: Rc<Node>,
    route: Arc<Route>,
    req: Sendable,
    ask: Ask,
    deadline: Duration,
    unreached: u32,
    story: RequestLog,
    /// What the caller is told if no further attempt is made.
    last: Option<(NextStep, Option<Response<Body>>)>,
}

async fn prepare(node: &Rc<Node>, req: Request<Incoming>) -> Result<Call, Response<Body>> {
    let came = clock::now();
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
            own(node, 400, "", reason, None)
        })?;
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    if parts.uri.authority().is_some() {
        return Err(own(node, 400, &head.id, "absolute form", None));
    }
    let path = parts.uri.path();
    until_ready(node).await;
    let (allowed, limits, version) = {
        let catalog = node.catalog.borrow();
        (
            catalog.authorize(host, path, head.key.as_deref()),
            catalog.limits(),
            catalog.version(),
        )
    };
    let allowed = allowed.map_err(|denied| match denied {
        AccessError::NoConfig => own(node, 503, &head.id, "no configuration", Some(NOT_READY)),
        AccessError::NoRoute => own(node, 404, &head.id, "no route", None),
        AccessError::UnknownKey => own(node, 401, &head.id, "unknown key", None),
    })?;
    let deadline = came
        + head
            .deadline
            .unwrap_or(Duration::MAX)
            .min(allowed.route.timeout);
    let left = deadline.saturating_sub(clock::now());
    let body = timeout(left, Limited::new(body, limits.max_body_bytes).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(err)) if err.downcast_ref::<LengthLimitError>().is_some() => {
            return Err(own(node, 413, &head.id, "body too large", None));
        }
        Ok(Err(_)) => return Err(own(node, 400, &head.id, "body incomplete", None)),
        Err(_) => return Err(own(node, 408, &head.id, "body late", None)),
    };
    let story = RequestLog::new(
        came,
        &head.id,
        &allowed.route.name,
        allowed.route.kind,
        allowed.workspace.as_ref().map(|workspace| &workspace.name),
        version,
    );
    let fingerprint = fingerprint(path, head.key.as_deref(), &body);
    let ask = ask_of(&allowed, &head, fingerprint);
    Ok(Call {
        node: Rc::clone(node),
        deadline,
        req: Sendable {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            id: head.id,
            workspace: allowed.workspace.as_ref().map(|w| w.name.clone()),
        },
        route: allowed.route,
        ask,
        unreached: 0,
        story,
        last: None,
    })
}

/// Waits for the first configuration for a moment: a process that has just started reads it within
/// milliseconds.
async fn until_ready(node: &Node) {
    let until = clock::now() + FIRST_READ;
    while !node.catalog.borrow().is_ready() && clock::now() < until {
        sleep(READY_POLL).await;
    }
}

fn ask_of(allowed: &Access, head: &RequestHead, fingerprint: u64) -> Ask {
    let route = &allowed.route;
    let workspace = allowed.workspace.as_ref();
    Ask {
        pool: choose_pool(&route.pools),
        tier: workspace.and_then(|w| w.tier).unwrap_or(route.tier),
        workspace: workspace
            .filter(|w| w.rate.is_some())
            .map(|w| w.name.clone()),
        token_counts: head.token_counts,
        session: head.prompt_parts.last().map_or(0, |&(part, _)| part),
        sends: 0,
        avoid: Vec::new(),
        fingerprint,
        wait: route.target_latency.mul_f64(WAIT_PART),
        left: route.timeout,
    }
}

/// Chooses one of the pools of a route at random, by their weights.
fn choose_pool(pools: &[(Name, u32)]) -> Name {
    let total: u32 = pools.iter().map(|&(_, weight)| weight).sum();
    let mut at = rand::rng().random_range(0..total.max(1));
    for (name, weight) in pools {
        if at < *weight {
            return name.clone();
        }
        at -= weight;
    }
    pools
        .first()
        .map_or_else(|| "".into(), |(name, _)| name.clone())
}

impl Call {
    async fn run(mut self, serving: Counted) -> Response<Body> {
        loop {
            let left = self.left();
            if left < LEAST_LEFT && (self.last.is_some() || left.is_zero()) {
                return self.give_up(Refusal::Busy, Duration::ZERO);
            }
            self.ask.left = left;
            self.ask.wait = self.ask.wait.min(left);
            let asked = clock::now();
            let permit = match timeout(left, permit::permit(&self.node, &self.ask)).await {
                Ok(Ok(permit)) => permit,
                Ok(Err(refused)) => {
                    self.story.refused_by(refused.owner);
                    return self.give_up(refused.reason, refused.retry_after);
                }
                Err(_) => return self.give_up(Refusal::Busy, Duration::ZERO),
            };
            let again = self.can_repeat();
            let patience = if again && self.route.kind.is_retryable() {
                self.left()
                    .min((self.route.target_latency * SILENT_AIMS).max(SILENT_MIN))
            } else {
                self.left()
            };
            let target = permit.target.clone();
            let began = clock::now();
            self.story
                .permitted(permit.owner(), &target.id, began.saturating_sub(asked));
            let sent =
                attempt::send(&self.node, &self.req, &target, self.left(), patience, None).await;
            if !matches!(sent, Sent::Nothing) {
                self.ask.sends += 1;
                self.story.sent();
            }
            self.ask.avoid.push(permit.key);
            let seen = match sent {
                Sent::Nothing => {
                    self.unreached += 1;
                    permit.ended(RunEnd::Unreachable);
                    (AttemptOutcome::NotSent, None)
                }
                Sent::Broken(why) => {
                    self.story.again(why);
                    permit.ended(RunEnd::Broken);
                    (AttemptOutcome::Broken, None)
                }
                Sent::TimedOut => {
                    permit.ended(RunEnd::TimedOut);
                    (AttemptOutcome::TimedOut, None)
                }
                Sent::Head(arrived) => {
                    if arrived.response.status() == StatusCode::OK
                        && arrived.answer.attestation == Attestation::Signed
                        && self.route.kind.is_stream()
                    {
                        self.story.answered();
                        let stream = Stream {
                            story: self.story,
                            node: self.node,
                            req: self.req,
                            route: self.route,
                            ask: self.ask,
                            deadline: self.deadline,
                            _serving: serving,
                        };
                        return relay::start(stream, permit, *arrived);
                    }
                    self.whole(permit, *arrived, began).await
                }
            };
            let told = next_step(seen.0, self.route.kind, self.can_repeat());
            match told {
                NextStep::Relay => {
                    self.story.answered();
                    let response = seen.1.expect("an answer is passed on");
                    let is_error = response.status().is_server_error();
                    let outcome = if is_error { "error" } else { "served" };
                    self.story.end(&self.node, outcome, 0);
                    return response;
                }
                NextStep::Retry => {
                    let last = next_step(seen.0, self.route.kind, false);
                    self.remember(last, seen.1);
                    self.story.again(seen.0.label());
                }
                told => {
                    self.remember(told, None);
                    return self.give_up(Refusal::NoTarget, Duration::ZERO);
                }
            }
        }
    }

    /// Notes what the caller is told if this was the last attempt. An attempt that did not run
    /// says nothing of those before it, which may have.
    fn remember(&mut self, told: NextStep, response: Option<Response<Body>>) {
        if self.last.is_none() || told != NextStep::FailNotRun {
            self.last = Some((told, response));
        }
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    fn can_repeat(&self) -> bool {
        self.ask.sends < self.route.max_attempts
            && self.unreached < MAX_UNREACHED
            && self.left() > LEAST_LEFT
    }

    /// Reads the body of an answer that is no stream.
    async fn whole(
        &self,
        mut permit: Permit,
        arrived: Arrived,
        began: Duration,
    ) -> (AttemptOutcome, Option<Response<Body>>) {
        let Arrived {
            response,
            answer,
            upstream,
        } = arrived;
        let (parts, body) = response.into_parts();
        let body = timeout(self.left(), Limited::new(body, MAX_ANSWER).collect()).await;
        permit.report.load = answer.load;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                permit.ended(RunEnd::Broken);
                return (AttemptOutcome::Broken, None);
            }
            Err(_) => {
                permit.ended(RunEnd::TimedOut);
                return (AttemptOutcome::TimedOut, None);
            }
        };
        if !answer.close {
            let now = clock::now();
            self.node.upstreams.put(now, upstream, answer.keep_alive);
        }
        if let Some(end) = attempt::rejection(answer.attestation) {
            permit.ended(end);
            return (AttemptOutcome::Rejected, None);
        }
        let status = parts.status.as_u16();
        if parts.status.is_server_error() {
            permit.ended(RunEnd::Error);
        } else {
            permit.report.time_per_unit = Some(clock::now().saturating_sub(began));
            permit.ended(RunEnd::Served);
        }
        let mut out = Response::new(Body::Whole(Some(body)));
        *out.status_mut() = parts.status;
        *out.headers_mut() = self.node.dialect.caller_headers(&parts.headers);
        let seen = AttemptOutcome::Answered {
            status,
            signed: answer.attestation == Attestation::Signed,
        };
        (seen, Some(out))
    }

    /// The last answer, when no further attempt is made.
    fn give_up(self, reason: Refusal, retry_after: Duration) -> Response<Body> {
        let (status, reason, after) = match self.last {
            None | Some((NextStep::FailNotRun | NextStep::Retry, _)) => {
                let status = if reason == Refusal::Rate { 429 } else { 503 };
                let after = retry_after.max(LEAST_RETRY);
                (status, reason.label(), Some(after))
            }
            Some((NextStep::Relay, Some(response))) => {
                self.story.end(&self.node, "error", 0);
                return response;
            }
            Some((NextStep::Relay | NextStep::FailUnknown, _)) => (502, "outcome unknown", None),
            Some((NextStep::FailTimeout, _)) => (504, "time over", None),
        };
        counter!("primrosechute_refusals_total", "reason" => reason).increment(1);
        self.story.refused(&self.node, status, reason, after);
        let response = self
            .node
            .dialect
            .local_response(status, &self.req.id, reason, after);
        response.map(|body| Body::Whole(Some(body)))
    }
}

/// The system's own answer to a request that is not taken.
fn own(
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
    response.map(|body| Body::Whole(Some(body)))
}

/// Hash of what makes a request the same one when it comes again.
fn fingerprint(path: &str, key: Option<&str>, body: &Bytes) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(path.as_bytes());
    hash.update(key.unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest()
}
