//! Bounds the memory of what is buffered for all requests together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The bytes in buffers may be this fraction of the memory of a process. Buffers that grow take
/// several times as much, in spare capacity and in parts that the allocator has not given back.
const MEMORY_FRACTION: usize = 8;
/// Maximum size of a piece in which buffered bytes are given out. The rest is kept until the
/// connection takes it, and counts until then.
const MAX_PIECE: usize = 16 * 1024;

/// Limit on the bytes that are buffered at a time. Clones share it.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// Bytes that count towards a budget until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Creates the budget of a process with the given memory in bytes.
    #[must_use]
    pub fn for_memory(memory: usize) -> Self {
        BufferBudget {
            limit: memory / MEMORY_FRACTION,
            used: Arc::default(),
        }
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A reservation of no bytes.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Reserves more bytes. Returns false, without reserving them, if less would be left for all
    /// others than this reservation has.
    ///
    /// So the largest buffers are the first that can't grow, and small ones go on while many large
    /// ones ask for more.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let own = self.bytes.saturating_add(bytes);
        let reserve = |used: usize| {
            let used = used.saturating_add(bytes);
            (own <= self.budget.limit.saturating_sub(used)).then_some(used)
        };
        let order = Ordering::Relaxed;
        let reserved = self.budget.used.fetch_update(order, order, reserve).is_ok();
        if reserved {
            self.bytes = own;
        }
        reserved
    }

    /// Moves bytes, at most those that are reserved, to a reservation of their own.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Reservation {
            budget: self.budget.clone(),
            bytes,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes that count towards a budget until they are given out.
#[derive(Debug)]
pub struct Buffered {
    bytes: Bytes,
    /// `None` for a short text of the process itself.
    reserved: Option<Reservation>,
}

impl Buffered {
    /// Bytes that are covered by a reservation.
    #[must_use]
    pub fn new(bytes: Bytes, reserved: Reservation) -> Self {
        Buffered {
            bytes,
            reserved: Some(reserved),
        }
    }

    /// Number of bytes that were not given out.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether all bytes were given out.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The next bytes; `None` after the last.
    pub fn next_piece(&mut self) -> Option<Bytes> {
        if self.bytes.is_empty() {
            return None;
        }
        let piece = self.bytes.split_to(self.bytes.len().min(MAX_PIECE));
        if self.bytes.is_empty() {
            self.reserved = None;
        }
        Some(piece)
    }
}

impl From<Bytes> for Buffered {
    fn from(bytes: Bytes) -> Self {
        Buffered {
            bytes,
            reserved: None,
        }
    }
}
