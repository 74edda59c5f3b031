//! Leases of a workspace's tokens at the owner of a shard.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::model::Name;
use crate::offer::{Offer, RunId};
use crate::rate_demand::RateDemand;
use crate::rate_fallback::{Fallback, PROBE_INTERVAL};
use crate::rate_holder::FleetRate;
use crate::rate_message::{LeaseEvent, LeaseReply, LeaseRequest, MAX_UNITS_PER_REQUEST};

/// Tokens that are leased ahead of demand are valid for this long after they were asked for. The
/// holder counts them for as long after its reply, which is later.
pub(crate) const LEASE_TIME: Duration = Duration::from_millis(500);
/// A lease is renewed when less than this part of the demand is left.
const RENEWAL_SHARE: f64 = 0.5;
/// Shortest time between renewals that no offer waits for. It bounds the messages about a workspace
/// whose tokens are used up.
const MIN_RENEWAL_GAP: Duration = Duration::from_millis(50);
/// An unanswered request is sent again after this time; replies take a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// After this many unanswered messages an owner falls back to its own part of the rate.
const MAX_UNANSWERED: u32 = 2;
/// Shortest time that an offer may wait for tokens. Entries wait longer for a decision.
const MIN_TOKEN_WAIT: Duration = REPLY_TIMEOUT;

/// An offer that waits for tokens.
pub(crate) struct TokenWait {
    pub(crate) offer: Offer,
    pub(crate) units: f64,
    pub(crate) since: Duration,
}

impl TokenWait {
    fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.since) >= self.offer.max_wait.max(MIN_TOKEN_WAIT)
    }

    /// The offer with what is left of its times.
    fn into_offer(self, now: Duration) -> Offer {
        let waited = now.saturating_sub(self.since);
        let mut offer = self.offer;
        offer.max_wait = offer.max_wait.saturating_sub(waited);
        offer.aim_left = offer.aim_left.saturating_sub(waited);
        offer.time_left = offer.time_left.saturating_sub(waited);
        offer
    }
}

/// Decision on an offer that waited for tokens.
pub(crate) enum WaitEnd {
    Charged(Offer, f64),
    Denied {
        id: RunId,
        wait: Duration,
        /// Whether the holder denied it, for the whole fleet.
        is_final: bool,
    },
}

struct PendingRequest {
    request: LeaseRequest,
    ids: Vec<RunId>,
    first_sent_at: Duration,
    sent_at: Duration,
    sends: u32,
}

/// Tokens of one workspace at one owner.
pub(crate) struct LeaseAccount {
    workspace: Name,
    pub(crate) holder: Ipv4Addr,
    rate: FleetRate,
    /// Leased tokens, with the time from which they are no longer valid.
    tokens: VecDeque<(Duration, f64)>,
    demand: RateDemand,
    waiting: Vec<TokenWait>,
    pending: Option<PendingRequest>,
    /// Units to return with the next request.
    returned: f64,
    next_renewal: Duration,
    fallback: Option<Fallback>,
    /// Whether no holder has replied since the last fallback.
    has_fallen_back: bool,
    /// Time of the next request during a fallback.
    next_probe: Option<Duration>,
}

/// What the calls of an account produce.
#[derive(Default)]
pub(crate) struct LeaseOutput {
    pub(crate) requests: Vec<(Ipv4Addr, LeaseRequest)>,
    pub(crate) events: Vec<LeaseEvent>,
    pub(crate) next_seq: u64,
}

impl LeaseAccount {
    pub(crate) fn new(workspace: Name, holder: Ipv4Addr, rate: FleetRate) -> Self {
        LeaseAccount {
            workspace,
            holder,
            rate,
            tokens: VecDeque::new(),
            demand: RateDemand::default(),
            waiting: Vec::new(),
            pending: None,
            returned: 0.0,
            next_renewal: Duration::ZERO,
            fallback: None,
            has_fallen_back: false,
            next_probe: None,
        }
    }

    /// Sets the rate and the member to ask. Requests to the previous holder are given up; its late
    /// replies are ignored.
    pub(crate) fn update(&mut self, holder: Ipv4Addr, rate: FleetRate) {
        self.rate = rate;
        self.set_holder(holder);
    }

    pub(crate) fn set_holder(&mut self, holder: Ipv4Addr) {
        if holder != self.holder {
            self.holder = holder;
            self.pending = None;
            self.next_probe = None;
            // The new holder did not lease these tokens.
            self.returned = 0.0;
        }
    }

    pub(crate) fn is_waiting(&self, id: RunId) -> bool {
        self.waiting.iter().any(|wait| wait.offer.id == id)
    }

    /// Whether the account must be polled.
    pub(crate) fn has_work(&self) -> bool {
        !self.waiting.is_empty()
            || self.pending.is_some()
            || !self.tokens.is_empty()
            || self.returned > 0.0
    }

    pub(crate) fn withdraw(&mut self, id: RunId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|wait| wait.offer.id != id);
        self.waiting.len() < before
    }

    /// Ends all waits, because the workspace no longer has a rate.
    pub(crate) fn into_waiting(self, now: Duration) -> Vec<Offer> {
        let waiting = self.waiting.into_iter();
        waiting.map(|wait| wait.into_offer(now)).collect()
    }

    pub(crate) fn drop_entries(&mut self, has_ended: impl Fn(u64) -> bool) {
        self.waiting.retain(|wait| !has_ended(wait.offer.id.entry));
    }

    /// Charges an offer, or lets it wait for the holder. `share` is this owner's own share.
    pub(crate) fn charge(
        &mut self,
        now: Duration,
        share: f64,
        offer: &Offer,
        units: f64,
        out: &mut LeaseOutput,
    ) -> Option<Result<(), Duration>> {
        self.demand.add(now, units);
        self.expire(now);
        let is_covered = self.take_tokens(units);
        let decided = if is_covered {
            Some(Ok(()))
        } else if self.next_probe.is_some() {
            Some(self.take_fallback(now, share, units))
        } else {
            self.waiting.push(TokenWait {
                offer: offer.clone(),
                units,
                since: now,
            });
            None
        };
        self.ask_if_needed(now, out);
        decided
    }

    /// Takes back what was charged for an offer that was not sent.
    pub(crate) fn refund(&mut self, units: f64) {
        match &mut self.fallback {
            Some(fallback) if self.next_probe.is_some() => fallback.refund(units),
            _ => self.returned += units,
        }
    }

    /// Ends waits, sends requests again, and falls back if the holder does not reply.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        share: f64,
        out: &mut LeaseOutput,
    ) -> Vec<WaitEnd> {
        let mut ends = Vec::new();
        let over = self.waiting.extract_if(.., |wait| wait.is_over(now));
        ends.extend(over.map(|wait| WaitEnd::Denied {
            id: wait.offer.id,
            wait: REPLY_TIMEOUT,
            is_final: false,
        }));
        self.expire(now);
        let overdue =
            |pending: &&mut PendingRequest| now.saturating_sub(pending.sent_at) >= REPLY_TIMEOUT;
        if let Some(pending) = self.pending.as_mut().filter(overdue) {
            if pending.sends < MAX_UNANSWERED {
                pending.sends += 1;
                pending.sent_at = now;
                out.requests.push((self.holder, pending.request.clone()));
            } else {
                self.pending = None;
                self.fall_back(now, share, out);
            }
        }
        if self.next_probe.is_some() {
            for wait in std::mem::take(&mut self.waiting) {
                ends.push(self.decide_by_fallback(now, share, wait));
            }
        }
        self.ask_if_needed(now, out);
        ends
    }

    fn decide_by_fallback(&mut self, now: Duration, share: f64, wait: TokenWait) -> WaitEnd {
        match self.take_fallback(now, share, wait.units) {
            Ok(()) => {
                let units = wait.units;
                WaitEnd::Charged(wait.into_offer(now), units)
            }
            Err(time) => WaitEnd::Denied {
                id: wait.offer.id,
                wait: time,
                is_final: false,
            },
        }
    }

    /// Applies a reply. Returns `None` if it answers no open request, and then it grants nothing.
    pub(crate) fn apply_reply(
        &mut self,
        now: Duration,
        from: Ipv4Addr,
        reply: &LeaseReply,
        out: &mut LeaseOutput,
    ) -> Option<Vec<WaitEnd>> {
        let pending = self.pending.take_if(|pending| {
            let request = &pending.request;
            let is_ahead_plausible = (0.0..=request.ahead).contains(&reply.ahead);
            from == self.holder
                && request.seq == reply.seq
                && request.units.len() == reply.waits.len()
                && is_ahead_plausible
        })?;
        self.next_probe = None;
        if std::mem::take(&mut self.has_fallen_back) {
            out.events.push(LeaseEvent::Restored {
                workspace: self.workspace.clone(),
                holder: from,
            });
        }
        let mut ends = Vec::new();
        let offers = pending.ids.iter().zip(&pending.request.units);
        for ((&id, &units), &wait) in offers.zip(&reply.waits) {
            let at = self.waiting.iter().position(|wait| wait.offer.id == id);
            let waited = at.map(|at| self.waiting.remove(at));
            match waited {
                Some(waited) if wait.is_zero() && !waited.is_over(now) => {
                    ends.push(WaitEnd::Charged(waited.into_offer(now), units));
                }
                Some(waited) => {
                    if wait.is_zero() {
                        self.returned += units;
                    }
                    ends.push(WaitEnd::Denied {
                        id: waited.offer.id,
                        wait: wait.max(REPLY_TIMEOUT),
                        is_final: !wait.is_zero(),
                    });
                }
                None if wait.is_zero() => self.returned += units,
                None => {}
            }
        }
        let denied = reply.waits.iter().filter(|wait| !wait.is_zero()).count();
        if denied > 0 {
            out.events.push(LeaseEvent::Denied(denied));
        }
        if denied < reply.waits.len() || reply.ahead > 0.0 {
            out.events.push(LeaseEvent::Leased);
        }
        if reply.ahead > 0.0 {
            let end = pending.first_sent_at + LEASE_TIME;
            self.tokens.push_back((end, reply.ahead));
        }
        self.expire(now);
        for wait in std::mem::take(&mut self.waiting) {
            if self.take_tokens(wait.units) {
                let units = wait.units;
                ends.push(WaitEnd::Charged(wait.into_offer(now), units));
            } else {
                self.waiting.push(wait);
            }
        }
        self.ask_if_needed(now, out);
        Some(ends)
    }

    fn fall_back(&mut self, now: Duration, share: f64, out: &mut LeaseOutput) {
        if self.next_probe.is_none() {
            self.start_fallback(now, share);
        }
        self.next_probe = Some(now + PROBE_INTERVAL);
        // Polling would go on for as long as there are tokens to return.
        self.returned = 0.0;
        if !std::mem::replace(&mut self.has_fallen_back, true) {
            out.events.push(LeaseEvent::FellBack {
                workspace: self.workspace.clone(),
                holder: self.holder,
            });
        }
    }

    fn start_fallback(&mut self, now: Duration, share: f64) {
        let last = self.fallback.take();
        let fallback = Fallback::start(now, self.rate, share, last);
        self.fallback = Some(fallback);
    }

    fn take_fallback(&mut self, now: Duration, share: f64, units: f64) -> Result<(), Duration> {
        if self.fallback.is_none() {
            self.start_fallback(now, share);
        }
        let fallback = self
            .fallback
            .as_mut()
            .expect("the fallback was started above");
        fallback.try_take(now, share, units)
    }

    /// Tokens that are no longer valid go back to the holder.
    fn expire(&mut self, now: Duration) {
        while self.tokens.front().is_some_and(|&(end, _)| end <= now) {
            let expired = self.tokens.pop_front();
            self.returned += expired.map_or(0.0, |(_, amount)| amount);
        }
    }

    fn take_tokens(&mut self, units: f64) -> bool {
        if self.local_tokens() < units {
            return false;
        }
        let mut left = units;
        while left > 0.0
            && let Some((_, amount)) = self.tokens.front_mut()
        {
            let taken = amount.min(left);
            *amount -= taken;
            left -= taken;
            if *amount <= 0.0 {
                self.tokens.pop_front();
            }
        }
        true
    }

    fn local_tokens(&self) -> f64 {
        self.tokens.iter().map(|&(_, amount)| amount).sum()
    }

    /// Sends a request if offers wait, or if the lease is to be renewed or returned. Only one is
    /// open at a time.
    fn ask_if_needed(&mut self, now: Duration, out: &mut LeaseOutput) {
        if self.pending.is_some() || self.next_probe.is_some_and(|at| now < at) {
            return;
        }
        let demand = self.demand.last_quarter_second(now);
        let tokens = self.local_tokens();
        let is_renewal_due =
            now >= self.next_renewal && (tokens < demand * RENEWAL_SHARE || self.returned > 0.0);
        if self.waiting.is_empty() && !is_renewal_due {
            return;
        }
        self.next_renewal = now + MIN_RENEWAL_GAP;
        let asked = self.waiting.iter().take(MAX_UNITS_PER_REQUEST);
        let ids = asked.clone().map(|wait| wait.offer.id).collect();
        let returned = std::mem::take(&mut self.returned);
        if returned > 0.0 {
            out.events.push(LeaseEvent::Returned(returned));
        }
        out.next_seq += 1;
        let request = LeaseRequest {
            workspace: self.workspace.clone(),
            seq: out.next_seq,
            units: asked.map(|wait| wait.units).collect(),
            ahead: (demand - tokens).max(0.0),
            returned,
        };
        out.requests.push((self.holder, request.clone()));
        self.pending = Some(PendingRequest {
            request,
            ids,
            first_sent_at: now,
            sent_at: now,
            sends: 1,
        });
    }
}
