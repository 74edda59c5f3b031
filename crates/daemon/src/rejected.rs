//! The last sheet that was rejected.

use std::sync::{Mutex, PoisonError};

use metrics::counter;
use serde::Serialize;

/// Errors of a sheet that are logged and shown in the status.
const MAX_ERRORS: usize = 5;

/// A sheet that was rejected, as the status shows it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RejectedSheet {
    /// Revision, if it is known.
    revision: Option<u64>,
    /// The first errors.
    errors: Vec<String>,
}

/// The last rejected sheet, until a newer sheet is accepted.
#[derive(Debug, Default)]
pub(crate) struct LastRejectedSheet {
    /// Hash of the content, so that the same sheet is reported once, and what the status shows.
    last: Mutex<Option<(u64, RejectedSheet)>>,
}

impl LastRejectedSheet {
    fn with_last<T>(&self, f: impl FnOnce(&mut Option<(u64, RejectedSheet)>) -> T) -> T {
        f(&mut self.last.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records, logs and counts a rejected sheet, unless it is the last rejected one again.
    pub(crate) fn set(
        &self,
        reason: &'static str,
        revision: Option<u64>,
        hash: u64,
        errors: impl Iterator<Item = String>,
    ) {
        let errors: Vec<String> = errors.take(MAX_ERRORS).collect();
        let is_new = self.with_last(|last| {
            let is_new = last.as_ref().is_none_or(|(known, _)| *known != hash);
            if is_new {
                let errors = errors.clone();
                *last = Some((hash, RejectedSheet { revision, errors }));
            }
            is_new
        });
        if is_new {
            counter!("primrosechute_sheets_rejected_total", "reason" => reason).increment(1);
            for err in errors {
                log::error!("config: sheet rejected: {err}");
            }
        }
    }

    pub(crate) fn clear(&self) {
        self.with_last(|last| *last = None);
    }

    pub(crate) fn get(&self) -> Option<RejectedSheet> {
        self.with_last(|last| last.as_ref().map(|(_, rejected)| rejected.clone()))
    }
}
