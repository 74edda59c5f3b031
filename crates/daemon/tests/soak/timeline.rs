//! When faults and configuration changes were in effect. Faults excuse some findings; changes must
//! take effect in time.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A fault or a configuration change that lasts for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    /// A member was killed or paused.
    MemberDown(Ipv4Addr),
    /// The store was unavailable or disturbed for one member, or for all if `None`.
    StoreImpaired(Option<Ipv4Addr>),
    /// Datagrams between members were lost, delayed or blocked.
    PeerLinksImpaired,
    /// A worker was down, slow or failing, or its connections were reset or silent.
    WorkerImpaired,
    WorkerDraining(usize),
    WorkerCold(usize),
    /// The responses of a worker named a limit, in requests per second.
    WorkerLimited(usize, f64),
    ZoneEvacuated(&'static str),
    /// The second key was withdrawn.
    KeyWithdrawn,
}

#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub condition: Condition,
    pub from: Instant,
    /// `None` while the condition lasts.
    pub to: Option<Instant>,
}

/// Spans of all conditions of a run, in the order of their start.
#[derive(Clone, Debug, Default)]
pub struct Timeline(Vec<Span>);

impl Timeline {
    pub fn begin(&mut self, condition: Condition) {
        self.0.push(Span {
            condition,
            from: Instant::now(),
            to: None,
        });
    }

    pub fn end(&mut self, condition: Condition) {
        let unfinished = self
            .0
            .iter_mut()
            .rev()
            .find(|span| span.condition == condition && span.to.is_none());
        if let Some(span) = unfinished {
            span.to = Some(Instant::now());
        }
    }

    /// Records a condition that ends as soon as it begins.
    pub fn add_instant(&mut self, condition: Condition) {
        self.begin(condition);
        self.end(condition);
    }

    pub fn spans(&self) -> impl Iterator<Item = &Span> {
        self.0.iter()
    }

    pub fn spans_of(&self, condition: Condition) -> impl Iterator<Item = &Span> {
        self.0
            .iter()
            .filter(move |span| span.condition == condition)
    }

    /// Whether a matching condition overlaps the time from `from` to `to`, or ended at most `after`
    /// before it.
    pub fn overlaps(
        &self,
        from: Instant,
        to: Instant,
        after: Duration,
        matches: impl Fn(Condition) -> bool,
    ) -> bool {
        self.0.iter().any(|span| {
            matches(span.condition)
                && span.from <= to
                && span.to.is_none_or(|end| end + after >= from)
        })
    }

    /// Whether the process of a member was killed or paused.
    pub fn member_was_down(&self, member: Ipv4Addr, from: Instant, to: Instant) -> bool {
        self.overlaps(from, to, Duration::ZERO, |condition| {
            condition == Condition::MemberDown(member)
        })
    }

    /// Whether a member may not have received changes of the store: it was down or its store was
    /// impaired, then or up to `after` before.
    pub fn may_miss_changes(
        &self,
        member: Ipv4Addr,
        from: Instant,
        to: Instant,
        after: Duration,
    ) -> bool {
        self.overlaps(from, to, after, |condition| match condition {
            Condition::MemberDown(ip) => ip == member,
            Condition::StoreImpaired(ip) => ip.is_none_or(|ip| ip == member),
            Condition::PeerLinksImpaired
            | Condition::WorkerImpaired
            | Condition::WorkerDraining(_)
            | Condition::WorkerCold(_)
            | Condition::WorkerLimited(..)
            | Condition::ZoneEvacuated(_)
            | Condition::KeyWithdrawn => false,
        })
    }
}
