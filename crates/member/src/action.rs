//! States of targets and what a daemon has to do.

use std::time::Duration;

use crate::list::Name;

/// What this daemon does with a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipState {
    /// Another daemon owns it.
    OtherOwner,
    /// This daemon owns it by its list and asks for a hand-over.
    Asking {
        /// The first VM asked.
        from: Name,
        /// When it was first asked.
        since: Duration,
    },
    /// The old owner can't be reached or doesn't hold the target. Questions go on.
    HoldDown {
        /// End of the wait at the latest.
        until: Duration,
    },
    /// This daemon grants to the target.
    Owned {
        /// Whether runs of an earlier owner may be in flight.
        assume_full: bool,
    },
}

/// What is known about a target at the start of its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// The old owner sent its state.
    HandedOver,
    /// Runs of an earlier owner may be in flight: the target counts as full until it is known
    /// better.
    AssumeFull,
    /// The target never had an owner.
    Fresh,
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a `HandoverAsk` to `from`, which may need a new link to
    /// [`View::address`](crate::View::address).
    AskHandover {
        /// The target.
        target: Name,
        /// The VM to ask.
        from: Name,
        /// Generation to send, and to pass on with the reply to this question.
        generation: u64,
    },
    /// Start to grant to the target.
    Start {
        /// The target.
        target: Name,
        /// What is known about it.
        state: StartState,
    },
    /// Stop granting to the target at once.
    GiveUp {
        /// The target.
        target: Name,
        /// The owner by the list, if it is another VM.
        to: Option<Name>,
    },
}
