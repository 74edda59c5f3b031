//! The target owner role: admission control for the targets that this daemon owns.
//!
//! One task owns all schedulers and the other roles send it messages, so that decisions need no
//! lock and are made in a single order.

mod decisions;
mod orphans;
mod reclaim;
mod task;

use std::time::Duration;

use member::Incarnation;
use sched::{Descriptor, LoadReport, Name, PermitId, RunEnd, TargetSpec};
use tokio::sync::{mpsc, oneshot};
use wire::{Body, Digest, Release};

pub(crate) use task::{micros, start};

/// Run ends; the index of each is its code in `Release` messages.
const RUN_ENDS: [RunEnd; 5] = [
    RunEnd::Unused,
    RunEnd::Complete,
    RunEnd::Cancelled,
    RunEnd::Reset,
    RunEnd::Overloaded,
];

/// Code of a run end in a `Release` message.
pub(crate) fn run_end_code(end: RunEnd) -> u32 {
    let code = RUN_ENDS.iter().position(|known| *known == end);
    code.and_then(|code| u32::try_from(code).ok()).unwrap_or(0)
}

/// Run end for a code; an unknown code counts as a cancelled run.
pub(crate) fn run_end_from_code(code: u32) -> RunEnd {
    usize::try_from(code)
        .ok()
        .and_then(|code| RUN_ENDS.get(code).copied())
        .unwrap_or(RunEnd::Cancelled)
}

/// Message to the owner task.
#[derive(Debug)]
pub(crate) enum Msg {
    /// A request waits for a permit.
    Offer {
        pool: Name,
        descriptor: Descriptor,
        /// Incarnation of the entry.
        entry: Incarnation,
        /// Receives the decision, an `OfferReply`; closed when the entry's link closes.
        reply: oneshot::Sender<Body>,
    },
    /// The entry withdraws an offer that has no decision yet.
    Withdraw { pool: Name, id: Name },
    /// A permit ended, with a report of its run.
    Release(Release),
    /// A target reported its load, which was measured at the given time.
    Load {
        target: Name,
        report: LoadReport,
        measured: Duration,
    },
    /// A target refuses connections.
    TargetRefused(Name),
    /// This daemon now owns a target, or the specification of an owned target changed.
    SetTarget {
        pool: Name,
        spec: TargetSpec,
        source: StateSource,
    },
    /// This daemon gives up a target; the reply holds its state for the new owner.
    GiveUp {
        target: Name,
        reply: oneshot::Sender<Option<sched::Handover>>,
    },
    /// The lease state changed: true if the lease is in doubt or expired, false if it is held.
    InDoubt(bool),
    /// A link from an entry closed; permits that were sent on it may be lost.
    LinkClosed(Incarnation),
    /// The process of an entry is gone.
    EntryGone(Incarnation),
    /// The engine no longer runs a request whose end was not reported. There is no permit here if
    /// an earlier owner granted it.
    RunEnded {
        pool: Name,
        id: Name,
        permit: Option<PermitId>,
    },
    /// Another owner or an entry reports a request fingerprint that crashed targets.
    Suspect {
        fingerprint: u64,
        crashed: Vec<Name>,
        remember: Duration,
        /// Receives what this owner knows about the fingerprint afterwards.
        reply: Option<oneshot::Sender<wire::Suspect>>,
    },
    /// Asks for the load of all pools.
    Digests(oneshot::Sender<Vec<Digest>>),
    /// Asks for the state of all owned targets.
    Status(oneshot::Sender<Vec<TargetStatus>>),
}

/// Where the scheduler gets the state of an owned target from.
#[derive(Debug)]
pub(crate) enum StateSource {
    /// No daemon owned the target before.
    Fresh,
    /// The old owner could not hand over its state, so the target counts as full.
    AssumeFull,
    /// The old owner handed over its state.
    HandedOver(sched::Handover),
    /// The target is owned already; only its specification changed.
    Changed,
}

impl StateSource {
    pub(crate) fn label(&self) -> &'static str {
        match self {
            StateSource::Fresh => "never owned before",
            StateSource::AssumeFull => "assumed full",
            StateSource::HandedOver(_) => "handed over",
            StateSource::Changed => "changed",
        }
    }
}

/// State of an owned target, for the status document.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct TargetStatus {
    pub(crate) target: Name,
    pub(crate) pool: Name,
    pub(crate) phase: &'static str,
}

/// Sends messages to the owner task.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    pub(crate) tx: mpsc::UnboundedSender<Msg>,
}

impl Handle {
    pub(crate) fn send(&self, msg: Msg) {
        // Fails only while the process shuts down, when the decision is no longer needed.
        let _ = self.tx.send(msg);
    }

    /// Sends a message that carries a reply channel, and waits for the reply.
    pub(crate) async fn call<T>(&self, msg: impl FnOnce(oneshot::Sender<T>) -> Msg) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(msg(tx));
        rx.await.ok()
    }
}
