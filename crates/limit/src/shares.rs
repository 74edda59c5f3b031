//! The parts that one daemon holds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Number of parts of each workspace's bucket.
pub const PARTS: u16 = 32;

/// Fleet-wide limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Largest number of tokens that may be spent at once.
    pub burst: u64,
}

/// Tokens taken for one request, to be settled when it ends.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    workspace: Name,
    tokens: u64,
}

/// The held parts have fewer tokens than asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// Tokens that are missing.
    pub missing: u64,
}

/// The parts that this daemon holds, of all workspaces.
#[derive(Debug, Default)]
pub struct Shares {
    limits: HashMap<Name, Limit>,
}

impl Shares {
    /// Puts the limits of a new sheet in force.
    pub fn configure(&mut self, now: Duration, limits: impl IntoIterator<Item = (Name, Limit)>) {
        let _ = now;
        self.limits = limits.into_iter().collect();
    }

    /// Takes tokens for one request.
    ///
    /// # Errors
    /// Returns what is missing if the held parts have too few tokens.
    pub fn reserve(
        &mut self,
        now: Duration,
        workspace: &Name,
        tokens: u64,
    ) -> Result<Reservation, Short> {
        let _ = now;
        match self.limits.get(workspace) {
            Some(limit) if tokens <= limit.burst => Ok(Reservation {
                workspace: workspace.clone(),
                tokens,
            }),
            _ => Err(Short { missing: tokens }),
        }
    }

    /// Returns the tokens of a reservation that were not used.
    pub fn settle(&mut self, now: Duration, reservation: &Reservation, used: u64) {
        let _ = (now, used, &reservation.workspace, reservation.tokens);
    }
}
