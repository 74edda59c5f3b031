//! What lasted when: faults that excuse, and changes that have to take hold.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// A member was killed or paused.
    Member(Ipv4Addr),
    /// The store was in trouble for one member, or for all.
    Store(Option<Ipv4Addr>),
    /// Datagrams between members were lost, late or cut.
    Peers,
    /// A worker was down, slow or failing, or its connections broke.
    Worker,
    Drained(usize),
    Cold(usize),
    Evacuated(&'static str),
    /// The second key was withdrawn.
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub what: What,
    pub from: Instant,
    /// `None` while it lasts.
    pub to: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
pub struct Spans(Vec<Span>);

impl Spans {
    pub fn begin(&mut self, what: What) {
        self.0.push(Span {
            what,
            from: Instant::now(),
            to: None,
        });
    }

    pub fn end(&mut self, what: What) {
        let open = self
            .0
            .iter_mut()
            .rev()
            .find(|span| span.what == what && span.to.is_none());
        if let Some(span) = open {
            span.to = Some(Instant::now());
        }
    }

    /// Notes what is over at once.
    pub fn moment(&mut self, what: What) {
        self.begin(what);
        self.end(what);
    }

    pub fn of(&self, what: What) -> impl Iterator<Item = &Span> {
        self.0.iter().filter(move |span| span.what == what)
    }

    /// Whether something of the kind lasted in the given time, or ended up to `after` before it.
    pub fn any(
        &self,
        from: Instant,
        to: Instant,
        after: Duration,
        kind: impl Fn(What) -> bool,
    ) -> bool {
        self.0.iter().any(|span| {
            kind(span.what) && span.from <= to && span.to.is_none_or(|end| end + after >= from)
        })
    }

    /// Whether the process of a member was killed or paused.
    pub fn disturbed(&self, member: Ipv4Addr, from: Instant, to: Instant) -> bool {
        self.any(from, to, Duration::ZERO, |what| {
            what == What::Member(member)
        })
    }

    /// Whether a member may not know of changes of the store.
    pub fn uninformed(
        &self,
        member: Ipv4Addr,
        from: Instant,
        to: Instant,
        after: Duration,
    ) -> bool {
        self.any(from, to, after, |what| match what {
            What::Member(ip) => ip == member,
            What::Store(ip) => ip.is_none_or(|ip| ip == member),
            What::Peers
            | What::Worker
            | What::Drained(_)
            | What::Cold(_)
            | What::Evacuated(_)
            | What::Withdrawn => false,
        })
    }
}
