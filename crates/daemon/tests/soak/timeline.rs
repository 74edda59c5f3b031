//! What lasted when: faults that excuse, and changes that have to take hold.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    /// A member was killed or paused.
    MemberDown(Ipv4Addr),
    /// The store was in trouble for one member, or for all.
    StoreImpaired(Option<Ipv4Addr>),
    /// Datagrams between members were lost, late or cut.
    PeerLinksImpaired,
    /// A worker was down, slow or failing, or its connections broke.
    WorkerImpaired,
    WorkerDraining(usize),
    WorkerCold(usize),
    ZoneEvacuated(&'static str),
    /// The second key was withdrawn.
    KeyWithdrawn,
}

#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub condition: Condition,
    pub from: Instant,
    /// `None` while it lasts.
    pub to: Option<Instant>,
}

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

    /// Notes what is over at once.
    pub fn add_instant(&mut self, condition: Condition) {
        self.begin(condition);
        self.end(condition);
    }

    pub fn spans_of(&self, condition: Condition) -> impl Iterator<Item = &Span> {
        self.0
            .iter()
            .filter(move |span| span.condition == condition)
    }

    /// Whether something of the kind lasted in the given time, or ended up to `after` before it.
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

    /// Whether a member may not know of changes of the store.
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
            | Condition::ZoneEvacuated(_)
            | Condition::KeyWithdrawn => false,
        })
    }
}
