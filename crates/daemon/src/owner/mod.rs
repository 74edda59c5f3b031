//! The target owner: admission for the targets that this daemon owns.
//!
//! One task owns all schedulers; the rest of the daemon sends it messages, so that decisions need
//! no lock and are made in one order.

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

/// Ends of a run in the order of their codes in messages.
const RUN_ENDS: [RunEnd; 5] = [
    RunEnd::Unused,
    RunEnd::Complete,
    RunEnd::Cancelled,
    RunEnd::Reset,
    RunEnd::Overloaded,
];

/// Code of an end in a `Release` message.
pub(crate) fn run_end_code(end: RunEnd) -> u32 {
    let code = RUN_ENDS.iter().position(|known| *known == end);
    code.and_then(|code| u32::try_from(code).ok()).unwrap_or(0)
}

/// End with a code; an unknown code counts as a cancelled run.
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
        /// Gets the decision, an `OfferReply`; closed when the entry's link is gone.
        reply: oneshot::Sender<Body>,
    },
    /// The caller of a waiting request left.
    Withdraw { pool: Name, id: Name },
    /// A permit ended.
    Release(Release),
    /// A target reported its load, which was measured at the given time.
    Load {
        target: Name,
        report: LoadReport,
        measured: Duration,
    },
    /// A target refuses connections.
    TargetRefused(Name),
    /// This daemon came to own a target, or its specification changed.
    SetTarget {
        pool: Name,
        spec: TargetSpec,
        source: StateSource,
    },
    /// This daemon gives a target up; the state goes to the new owner.
    GiveUp {
        target: Name,
        reply: oneshot::Sender<Option<sched::Handover>>,
    },
    /// The lease came into doubt or is held again.
    InDoubt(bool),
    /// A link from an entry closed; permits that were sent on it may be lost.
    LinkClosed(Incarnation),
    /// The process of an entry is gone.
    EntryGone(Incarnation),
    /// The engine says that a run is over whose end was not reported. The run has no permit here if
    /// an earlier owner granted it.
    RunEnded {
        pool: Name,
        id: Name,
        permit: Option<PermitId>,
    },
    /// Another owner found a fingerprint that crashes targets.
    Suspect {
        fingerprint: u64,
        crashed: Vec<Name>,
        remember: Duration,
        /// Takes what is known afterwards.
        reply: Option<oneshot::Sender<wire::Suspect>>,
    },
    /// Asks for the load of all pools.
    Digests(oneshot::Sender<Vec<Digest>>),
    /// Asks for the state of all owned targets.
    Status(oneshot::Sender<Vec<TargetStatus>>),
}

/// How a target came to this daemon.
#[derive(Debug)]
pub(crate) enum StateSource {
    /// Nobody owned it before.
    Fresh,
    /// The old owner could not hand over.
    AssumeFull,
    /// The old owner handed over.
    HandedOver(sched::Handover),
    /// It was owned before; only the specification changed.
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
        // Fails only while the process shuts down, when nobody needs the decision.
        let _ = self.tx.send(msg);
    }

    /// Sends a question and waits for its answer.
    pub(crate) async fn call<T>(&self, msg: impl FnOnce(oneshot::Sender<T>) -> Msg) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(msg(tx));
        rx.await.ok()
    }
}
