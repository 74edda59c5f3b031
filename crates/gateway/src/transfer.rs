//! Time limits for responses that are large for their link.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

/// A transfer that moves fewer bytes than this within its time limit has stalled. Even a small
/// share of the slowest links moves more.
const MIN_PROGRESS_BYTES: u64 = 16 * 1024;

/// Counts the bytes of transfers. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<Cell<u64>>);

impl Progress {
    /// Counts bytes that were sent or received.
    pub fn record(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.0.update(|total| total.saturating_add(bytes));
    }

    /// Number of bytes counted so far.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.get()
    }

    /// Whether a transfer has stalled since the given total was read, one time limit ago.
    pub(crate) fn has_stalled_since(&self, total: u64) -> bool {
        self.total() - total < MIN_PROGRESS_BYTES
    }
}

/// Waits for an operation whose transfers are counted by `progress`. Within `first` it has to end or
/// to transfer its first bytes. After that it goes on for as long as it does not stall for
/// `max_stall`. Returns `None` otherwise.
pub async fn until_stalled<F: Future>(
    progress: &Progress,
    first: Duration,
    max_stall: Duration,
    operation: F,
) -> Option<F::Output> {
    tokio::pin!(operation);
    let start = progress.total();
    if let Ok(output) = timeout(first, &mut operation).await {
        return Some(output);
    }
    if progress.total() == start {
        return None;
    }
    loop {
        let before = progress.total();
        if let Ok(output) = timeout(max_stall, &mut operation).await {
            return Some(output);
        }
        if progress.has_stalled_since(before) {
            return None;
        }
    }
}
