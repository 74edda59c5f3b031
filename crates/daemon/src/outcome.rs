//! Outcomes of requests and their HTTP responses.

use axum::body::Body;
use axum::response::Response;
use http::{HeaderValue, StatusCode, header};
use sched::ShedReason;
use sheet::Name;

/// Header with the outcome.
pub(crate) const OUTCOME_HEADER: &str = "x-primrosechute-outcome";
/// Header with the reason of an outcome other than `served`.
pub(crate) const REASON_HEADER: &str = "x-primrosechute-reason";
/// Header with the request id.
pub(crate) const ID_HEADER: &str = "x-request-id";

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target's complete response was relayed to the caller.
    Served,
    /// Not run: there was too much work of its tier or above.
    Shed { tier: Name, reason: ShedReason },
    /// Not run: the request may not run here or at all.
    Refused(Refusal),
    /// Run, but the response is incomplete.
    Failed(Failure),
    /// The request may have run.
    Unknown,
}

/// Why a request is refused. A refused request was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The workspace is over its rate.
    Rate,
    /// No valid key, or the key was withdrawn.
    Key,
    /// The key may not use the tier that the request names.
    Tier,
    /// No route has the path.
    Route,
    /// The request crashed targets.
    Poison,
    /// The daemon is draining or not ready yet.
    Draining,
    /// The deadline passed before the request could be sent.
    Expired,
    /// The caller left before the request could be sent.
    Cancelled,
    /// The buffers of the process are full.
    Memory,
    /// The body is larger than the route allows.
    TooLarge,
    /// The request is malformed.
    Malformed(&'static str),
}

/// How a run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The target reset the connection or its response ended early.
    Incomplete,
    /// The target responded with a server error.
    TargetError,
    /// The response was not complete before the hard deadline.
    Timeout,
    /// The response is larger than the daemon can buffer, also because its buffers are full.
    ResponseTooLarge,
    /// The caller left.
    Cancelled,
}

impl Outcome {
    /// Value of the outcome header.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Shed { .. } => "shed",
            Outcome::Refused(_) => "refused",
            Outcome::Failed(_) => "failed",
            Outcome::Unknown => "unknown",
        }
    }

    /// Value of the reason header.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Outcome::Served => "",
            Outcome::Shed { reason, .. } => shed_label(*reason),
            Outcome::Refused(refusal) => refusal.label(),
            Outcome::Failed(failure) => failure.label(),
            Outcome::Unknown => "unknown",
        }
    }

    /// Whether it is certain that no byte of the request was sent to a target.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Outcome::Shed { .. } | Outcome::Refused(_))
    }

    fn status(&self) -> StatusCode {
        match self {
            Outcome::Served => StatusCode::OK,
            Outcome::Shed { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Refused(refusal) => refusal.status(),
            Outcome::Failed(_) => StatusCode::BAD_GATEWAY,
            Outcome::Unknown => StatusCode::CONFLICT,
        }
    }

    fn detail(&self) -> &'static str {
        match self {
            Outcome::Served => "the answer was sent",
            Outcome::Shed { reason, .. } => match reason {
                ShedReason::QueueFull => "the queue holds only work of this tier or above",
                ShedReason::Evicted => "work of a higher tier took its place in the queue",
                ShedReason::Deadline => "the deadline can't be met",
                ShedReason::NoTarget => "no target of the pool may get work",
                ShedReason::Poison => "the request crashed targets",
            },
            Outcome::Refused(refusal) => refusal.detail(),
            Outcome::Failed(failure) => match failure {
                Failure::Incomplete => "the target's answer ended early",
                Failure::TargetError => "the target answered with a server error",
                Failure::Timeout => "the target did not answer in time",
                Failure::ResponseTooLarge => "the target's answer is too large",
                Failure::Cancelled => "the caller left and the run was cancelled",
            },
            Outcome::Unknown => "the request may have run; its record is not here",
        }
    }

    /// JSON text of the problem document.
    pub(crate) fn problem(&self, id: &str) -> String {
        self.problem_with(id, self.is_not_run())
    }

    fn problem_with(&self, id: &str, not_run: bool) -> String {
        let tier = match self {
            Outcome::Shed { tier, .. } => Some(&**tier),
            _ => None,
        };
        serde_json::json!({
            "type": "about:blank",
            "title": self.label(),
            "status": self.status().as_u16(),
            "detail": self.detail(),
            "outcome": self.label(),
            "reason": self.reason(),
            "tier": tier,
            "not_run": not_run,
            "request_id": id,
        })
        .to_string()
    }

    /// The response to the caller.
    pub(crate) fn response(&self, id: &str) -> Response {
        self.response_with(id, self.is_not_run())
    }

    /// The response to a call whose id may have been used before, with an explicit `not_run`.
    pub(crate) fn response_with(&self, id: &str, not_run: bool) -> Response {
        let mut response = Response::new(Body::from(self.problem_with(id, not_run)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.label()));
        headers.insert(REASON_HEADER, HeaderValue::from_static(self.reason()));
        if let Ok(value) = HeaderValue::from_str(id) {
            headers.insert(ID_HEADER, value);
        }
        if matches!(
            self,
            Outcome::Shed { .. }
                | Outcome::Refused(Refusal::Rate | Refusal::Draining | Refusal::Memory)
        ) {
            headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        }
        response
    }
}

impl Refusal {
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Refusal::Rate => "rate",
            Refusal::Key => "key",
            Refusal::Tier => "tier",
            Refusal::Route => "route",
            Refusal::Poison => "poison",
            Refusal::Draining => "draining",
            Refusal::Expired => "expired",
            Refusal::Cancelled => "cancelled",
            Refusal::Memory => "memory",
            Refusal::TooLarge => "too_large",
            Refusal::Malformed(_) => "malformed",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Refusal::Rate => StatusCode::TOO_MANY_REQUESTS,
            Refusal::Key => StatusCode::UNAUTHORIZED,
            Refusal::Tier => StatusCode::FORBIDDEN,
            Refusal::Route => StatusCode::NOT_FOUND,
            Refusal::Poison => StatusCode::UNPROCESSABLE_ENTITY,
            Refusal::Draining | Refusal::Cancelled | Refusal::Memory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::Expired => StatusCode::GATEWAY_TIMEOUT,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Malformed(_) => StatusCode::BAD_REQUEST,
        }
    }

    fn detail(&self) -> &'static str {
        match self {
            Refusal::Rate => "the workspace is over its rate",
            Refusal::Key => "the route needs a valid key",
            Refusal::Tier => "the key may not use this tier, or the tier does not exist",
            Refusal::Route => "no route has this path",
            Refusal::Poison => "this request crashed targets and is refused for a while",
            Refusal::Draining => "this daemon takes no new requests; ask for other entries",
            Refusal::Expired => "the deadline passed before the request could be sent",
            Refusal::Cancelled => "the caller left before the request could be sent",
            Refusal::Memory => "the buffers of this daemon are full; send the request again later",
            Refusal::TooLarge => "the body is larger than the route allows",
            Refusal::Malformed(detail) => detail,
        }
    }
}

impl Failure {
    fn label(self) -> &'static str {
        match self {
            Failure::Incomplete => "incomplete",
            Failure::TargetError => "target_error",
            Failure::Timeout => "timeout",
            Failure::ResponseTooLarge => "answer_too_large",
            Failure::Cancelled => "cancelled",
        }
    }
}

/// Label of a shed reason in headers, messages and metrics.
pub(crate) fn shed_label(reason: ShedReason) -> &'static str {
    match reason {
        ShedReason::QueueFull => "queue_full",
        ShedReason::Evicted => "evicted",
        ShedReason::Deadline => "deadline",
        ShedReason::NoTarget => "no_target",
        ShedReason::Poison => "poison",
    }
}

/// Shed reason for a label that a peer sent; an unknown label counts as `QueueFull`.
pub(crate) fn shed_reason(label: &str) -> ShedReason {
    match label {
        "evicted" => ShedReason::Evicted,
        "deadline" => ShedReason::Deadline,
        "no_target" => ShedReason::NoTarget,
        "poison" => ShedReason::Poison,
        _ => ShedReason::QueueFull,
    }
}
