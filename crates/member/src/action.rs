//! Ownership states of targets, and the actions that the ownership rules request.

use std::time::Duration;

use crate::list::Name;

/// Relation of this daemon to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipState {
    /// The list makes another VM the owner, or this daemon may not take the target yet.
    OtherOwner,
    /// The list makes this daemon the owner; it asks the previous holder for a handover.
    Asking {
        /// The first VM that is asked.
        from: Name,
        /// When the takeover began.
        since: Duration,
    },
    /// No reply came within the peer timeout, or no VM is known to ask. Handover requests
    /// continue.
    HoldDown {
        /// Latest end of the hold-down.
        until: Duration,
    },
    /// This daemon owns the target and grants permits for it.
    Owned {
        /// Whether runs that an earlier owner admitted may be in flight.
        assume_full: bool,
    },
}

/// What a new owner knows about the load of a target when it starts to grant permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// The previous owner sent the state of the target.
    HandedOver,
    /// Runs that an earlier owner admitted may be in flight; the target counts as full until its
    /// load is known.
    AssumeFull,
    /// No daemon owned the target before.
    Fresh,
}

/// An action that the daemon has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a `HandoverAsk` to `from`. This may need a new link to
    /// [`View::address`](crate::View::address).
    AskHandover {
        /// The target.
        target: Name,
        /// The VM to ask.
        from: Name,
        /// List generation to send, and to pass to [`Ownership`](crate::Ownership) with the reply.
        generation: u64,
    },
    /// Start to grant permits for the target.
    Start {
        /// The target.
        target: Name,
        /// What is known about its load.
        state: StartState,
    },
    /// Stop granting permits for the target at once.
    GiveUp {
        /// The target.
        target: Name,
        /// The new owner according to the list, if it is another VM.
        to: Option<Name>,
    },
}
