//! Logs and metrics of one request: who decided, and how it ended.

use std::net::Ipv4Addr;
use std::time::Duration;

use admit::{Name, RouteKind};
use log::{info, warn};
use metrics::{counter, histogram};

use crate::clock;
use crate::node::Node;
use crate::permit::{Permit, PermitRequest};

/// Facts about one request, collected while it is served.
#[derive(Debug)]
pub(crate) struct RequestLog {
    id: String,
    route: Name,
    kind: RouteKind,
    workspace: Option<Name>,
    received_at: Duration,
    /// Version of the configuration by which it was authorized.
    config: u64,
    /// Member that decided last, and the target that it chose.
    owner: String,
    target: Name,
    /// Total time spent waiting for permits.
    permit_wait: Duration,
    /// Whether it waited for targets at the limits that they name.
    has_met_limit: bool,
    first_byte: Option<Duration>,
    sends: u32,
    tier: u8,
    /// Prompt tokens and expected output tokens that the caller stated; zero if none.
    tokens: (u32, u32),
    /// Longest pause between events.
    longest_pause: Duration,
}

impl RequestLog {
    pub(crate) fn new(
        received_at: Duration,
        id: &str,
        route: &Name,
        kind: RouteKind,
        workspace: Option<&Name>,
        config: u64,
    ) -> Self {
        RequestLog {
            id: id.to_owned(),
            route: Name::clone(route),
            kind,
            workspace: workspace.cloned(),
            received_at,
            config,
            owner: String::new(),
            target: "".into(),
            permit_wait: Duration::ZERO,
            has_met_limit: false,
            first_byte: None,
            sends: 0,
            tier: 0,
            tokens: (0, 0),
            longest_pause: Duration::ZERO,
        }
    }

    /// Records what the request asks for, by which it is ranked and placed.
    pub(crate) fn record_request(&mut self, request: &PermitRequest) {
        self.tier = request.tier;
        let prompt = request
            .token_counts
            .map_or(0, |counts| counts.prompt_tokens);
        self.tokens = (prompt, request.expected_output.unwrap_or(0));
    }

    pub(crate) fn record_pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(pause);
    }

    /// Records the member that decided and the target that serves the request.
    pub(crate) fn record_permit(&mut self, permit: &Permit) {
        self.owner = permit.owner().to_string();
        self.target = Name::clone(&permit.target.id);
        self.has_met_limit |= permit.has_met_limit;
    }

    /// Records the time for which a permit was waited for.
    pub(crate) fn record_permit_wait(&mut self, permit_wait: Duration) {
        self.permit_wait += permit_wait;
        histogram!("primrosechute_permit_wait_seconds").record(permit_wait.as_secs_f64());
    }

    /// Records the member that refused a permit.
    pub(crate) fn record_refusing_owner(&mut self, owner: Ipv4Addr) {
        self.owner = owner.to_string();
    }

    pub(crate) fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Records the arrival of the response head that is relayed.
    pub(crate) fn record_first_byte(&mut self) {
        self.first_byte
            .get_or_insert(clock::now().saturating_sub(self.received_at));
    }

    /// Logs a failed attempt.
    pub(crate) fn log_failed_attempt(&self, reason: &'static str) {
        counter!("primrosechute_attempts_failed_total", "seen" => reason).increment(1);
        info!(
            id = &*self.id, target = &*self.target, seen = reason, sends = self.sends;
            "entry: another attempt"
        );
    }

    /// Logs the end of a request to which a target responded. `events` counts those of a stream.
    pub(crate) fn log_answered(&self, node: &Node, outcome: &'static str, events: u32) {
        let took = self.record_metrics(outcome);
        let first = self.first_byte.unwrap_or_default();
        if outcome == "served" {
            info!(
                id = &*self.id, route = &*self.route, workspace = self.workspace(),
                owner = &*self.owner, target = &*self.target, sends = self.sends,
                waited_ms = millis(self.permit_wait), first_ms = millis(first),
                took_ms = millis(took), events = events, tier = self.tier, prompt = self.tokens.0,
                expected = self.tokens.1, pause_ms = millis(self.longest_pause), config = self.config,
                met_limit = self.has_met_limit;
                "entry: served"
            );
        } else {
            warn!(
                id = &*self.id, route = &*self.route, workspace = self.workspace(),
                owner = &*self.owner, target = &*self.target, sends = self.sends,
                waited_ms = millis(self.permit_wait), first_ms = millis(first),
                took_ms = millis(took), events = events, tier = self.tier, prompt = self.tokens.0,
                expected = self.tokens.1, pause_ms = millis(self.longest_pause), config = self.config,
                met_limit = self.has_met_limit,
                live = node.membership.borrow().live_count(clock::now()), outcome = outcome;
                "entry: not served whole"
            );
        }
    }

    /// Logs the end of a request to which the gateway itself responds.
    pub(crate) fn log_refused(
        &self,
        node: &Node,
        status: u16,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) {
        let outcome = if retry_after.is_some() {
            "refused"
        } else {
            "failed"
        };
        let took = self.record_metrics(outcome);
        let now = clock::now();
        warn!(
            id = &*self.id, route = &*self.route, workspace = self.workspace(),
            owner = &*self.owner, target = &*self.target, sends = self.sends,
            waited_ms = millis(self.permit_wait), took_ms = millis(took), status = status, tier = self.tier,
            prompt = self.tokens.0, expected = self.tokens.1,
            reason = reason, retry_after_ms = retry_after.map_or(0, millis),
            config = self.config, live = node.membership.borrow().live_count(now),
            store_age_ms = millis(node.store_age(now));
            "entry: refused or failed"
        );
    }

    fn record_metrics(&self, outcome: &'static str) -> Duration {
        let took = clock::now().saturating_sub(self.received_at);
        let kind = match self.kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "once",
            RouteKind::Stream { .. } => "stream",
        };
        counter!("primrosechute_answers_total", "kind" => kind, "outcome" => outcome).increment(1);
        histogram!("primrosechute_request_seconds", "kind" => kind, "outcome" => outcome)
            .record(took.as_secs_f64());
        if let Some(first) = self.first_byte {
            histogram!("primrosechute_first_byte_seconds", "kind" => kind)
                .record(first.as_secs_f64());
        }
        took
    }

    fn workspace(&self) -> &str {
        self.workspace.as_deref().unwrap_or_default()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
