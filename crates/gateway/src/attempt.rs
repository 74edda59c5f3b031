//! One send of a request to the target of a permit.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::adapter::{Attestation, ForwardContext, ResponseHead};
use crate::clock;
use crate::model::{Name, Target};
use crate::node::Node;
use crate::owner::RunEnd;
use crate::upstream::{self, Upstream};

/// A request as it goes to targets.
#[derive(Clone, Debug)]
pub(crate) struct Sendable {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: String,
    pub(crate) workspace: Option<Name>,
}

/// The head of an answer, and the connection on which its body follows.
pub(crate) struct Arrived {
    pub(crate) response: Response<Incoming>,
    pub(crate) answer: ResponseHead,
    pub(crate) upstream: Upstream,
}

/// What came of a send.
pub(crate) enum Sent {
    /// No byte went out.
    Nothing,
    /// A head that names the request; the body follows.
    Head(Box<Arrived>),
    /// Something else came, or the connection broke.
    Broken(&'static str),
    /// Nothing came in time.
    TimedOut,
}

/// How the run ended, if the target states that it did not run the request.
pub(crate) fn rejection(attestation: Attestation) -> Option<RunEnd> {
    match attestation {
        Attestation::Misdirected => Some(RunEnd::Misdirected),
        Attestation::NotRun => Some(RunEnd::Overloaded),
        Attestation::Signed | Attestation::Unsigned => None,
    }
}

/// Sends a request to the target of a permit and waits for the head of the answer.
pub(crate) async fn send(
    node: &Rc<Node>,
    req: &Sendable,
    target: &Target,
    time_left: Duration,
    patience: Duration,
    last_event: Option<&str>,
) -> Sent {
    let idle = node.upstreams.take(clock::now(), target.address);
    let began = clock::now();
    let mut upstream = match idle {
        Some(upstream) => upstream,
        None => match upstream::connect(target.address).await {
            Ok(upstream) => upstream,
            Err(_) => return Sent::Nothing,
        },
    };
    let time_left = time_left.saturating_sub(clock::now().saturating_sub(began));
    let forward = ForwardContext {
        target: &target.id,
        workspace: req.workspace.as_deref(),
        time_left,
        last_event,
    };
    let mut out = Request::new(Full::new(req.body.clone()));
    *out.method_mut() = req.method.clone();
    *out.uri_mut() = req.uri.clone();
    *out.headers_mut() = node.dialect.target_headers(&req.headers, &forward);
    let sent = timeout(patience, upstream.sender.try_send_request(out)).await;
    let response = match sent {
        Err(_) => return Sent::TimedOut,
        Ok(Err(mut err)) => {
            return match err.take_message() {
                Some(_) => Sent::Nothing,
                None => Sent::Broken("connection broke"),
            };
        }
        Ok(Ok(response)) => response,
    };
    let (parts, body) = response.into_parts();
    let head = Response::from_parts(parts, ());
    let answer = node.dialect.parse_response_head(&head);
    let response = Response::from_parts(head.into_parts().0, body);
    let rejected = rejection(answer.attestation).is_some() && !upstream.reused;
    match &answer.id {
        Some(id) if *id == req.id => {}
        // A rejection may lack the id; on a new connection it can't belong to another request.
        None if rejected => {}
        _ => return Sent::Broken("answer to another request"),
    }
    Sent::Head(Box::new(Arrived {
        response,
        answer,
        upstream,
    }))
}
