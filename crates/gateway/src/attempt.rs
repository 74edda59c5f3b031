//! Sends a request once, to the target of a permit.

use std::rc::Rc;
use std::time::Duration;

use admit::{Name, RunEnd, Target};
use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::body::Incoming;
use metrics::counter;

use crate::adapter::{Attestation, ForwardContext, ResponseHead};
use crate::buffer_budget::Reservation;
use crate::clock;
use crate::crash_check::AwaitedRun;
use crate::node::Node;
use crate::poison_parts::Part;
use crate::retry_decision::is_final_status;
use crate::target_notices;
use crate::upstream::{self, Upstream};

/// A request in the form in which it is sent to targets.
#[derive(Debug)]
pub(crate) struct OutboundRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: String,
    pub(crate) workspace: Option<Name>,
    /// Parts of the prompt, by which poison is recognized. In place of the last one, which belongs to
    /// this request alone, stand the fingerprints of the request.
    pub(crate) parts: Rc<[Part]>,
    /// Covers the body.
    pub(crate) _reserved: Reservation,
}

/// The response head, and the connection on which the response body follows.
pub(crate) struct ReceivedHead {
    pub(crate) response: Response<Incoming>,
    pub(crate) head: ResponseHead,
    pub(crate) upstream: Upstream,
}

impl ReceivedHead {
    /// Whether the end of the connection is the end of the response, which has neither a length nor
    /// chunks.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let has_length = self.response.body().size_hint().exact().is_some();
        !has_length && !self.response.headers().contains_key(TRANSFER_ENCODING)
    }
}

/// Which connection a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Channel {
    /// An idle one if there is any. The target may have dropped it without notice.
    Pooled,
    New,
}

/// Limits and kind of one send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt<'a> {
    /// Time that the target is given.
    pub(crate) time_left: Duration,
    /// Longest wait for the response head.
    pub(crate) head_timeout: Duration,
    /// Event after which a stream goes on.
    pub(crate) last_event: Option<&'a str>,
    pub(crate) channel: Channel,
}

/// Result of one send.
pub(crate) enum SendOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// A response head for this request arrived; the body follows.
    Head(Box<ReceivedHead>),
    /// The response belongs to another request, or the connection broke.
    Broken(&'static str),
    /// No response head arrived in time.
    TimedOut,
}

/// How the run ended if the target states that it did not run the request, otherwise `None`.
pub(crate) fn rejected_run_end(attestation: Attestation) -> Option<RunEnd> {
    match attestation {
        Attestation::Misdirected => Some(RunEnd::Misdirected),
        Attestation::NotRun => Some(RunEnd::Overloaded),
        Attestation::Signed | Attestation::Unsigned => None,
    }
}

/// Sends a request to the target of a permit and waits for the response head.
pub(crate) async fn send(
    node: &Rc<Node>,
    req: &OutboundRequest,
    target: &Target,
    attempt: &Attempt<'_>,
) -> SendOutcome {
    let idle = match attempt.channel {
        Channel::Pooled => node.upstreams.take(clock::now(), target.address),
        Channel::New => None,
    };
    let connect_started = clock::now();
    let mut upstream = match idle {
        Some(upstream) => upstream,
        None => match upstream::connect(target.address).await {
            Ok(upstream) => upstream,
            Err(_) => return SendOutcome::NotSent,
        },
    };
    let connect_time = clock::now().saturating_sub(connect_started);
    let time_left = attempt.time_left.saturating_sub(connect_time);
    let forward = ForwardContext {
        target: &target.id,
        workspace: req.workspace.as_deref(),
        time_left,
        last_event: attempt.last_event,
    };
    let mut outbound = Request::new(Full::new(req.body.clone()));
    *outbound.method_mut() = req.method.clone();
    *outbound.uri_mut() = req.uri.clone();
    *outbound.headers_mut() = node.dialect.target_headers(&req.headers, &forward);
    let head_deadline = clock::now() + attempt.head_timeout;
    let sending = upstream.sender.try_send_request(outbound);
    let awaited = AwaitedRun::start(node, req, target);
    let responded = node.before(head_deadline, sending).await;
    awaited.end();
    let response = match responded {
        None => return SendOutcome::TimedOut,
        Some(Err(mut err)) => {
            return match err.take_message() {
                Some(_) => SendOutcome::NotSent,
                None => SendOutcome::Broken("connection broke"),
            };
        }
        Some(Ok(response)) => response,
    };
    // Neither the headers nor the body of such a response can be relied on.
    if !is_final_status(response.status().as_u16()) {
        counter!("primrosechute_damaged_responses_total", "reason" => "status").increment(1);
        return SendOutcome::Broken("status not final");
    }
    let (parts, body) = response.into_parts();
    let bodyless = Response::from_parts(parts, ());
    let head = node.dialect.parse_response_head(&bodyless);
    let response = Response::from_parts(bodyless.into_parts().0, body);
    let rejected = rejected_run_end(head.attestation).is_some() && !upstream.reused;
    match &head.id {
        Some(id) if *id == req.id => {}
        // A rejection may lack the request id. On a new connection it can't be the response to
        // another request.
        None if rejected => {}
        _ => return SendOutcome::Broken("answer to another request"),
    }
    target_notices::record(node, target, &head);
    SendOutcome::Head(Box::new(ReceivedHead {
        response,
        head,
        upstream,
    }))
}
