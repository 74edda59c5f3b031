//! The request table: the requests that this incarnation accepted and their responses.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use member::Incarnation;
use sheet::Name;
use xxhash_rust::xxh3::xxh3_64;

use super::response_buffer::ResponseBuffer;
use crate::outcome::Outcome;

/// Request ids accepted under one id prefix before the daemon changes to the next prefix.
const MAX_IDS_PER_PREFIX: usize = 1 << 20;

/// Most bytes of finished responses that are kept for resends.
const MAX_KEPT_BYTES: usize = 64 << 20;

/// Bits of an incarnation that number its id prefixes. A daemon remembers the ids of its newest two
/// prefixes and reports `unknown` for older ones, which bounds its memory.
const PREFIX_BITS: u64 = 0xffff;

/// A request id, `<incarnation>-<random>`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestId {
    text: Name,
    prefix: Incarnation,
}

/// The text is not a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ParseRequestIdError;

impl RequestId {
    /// Longest random part.
    const MAX_RANDOM: usize = 64;

    pub(crate) fn parse(text: &str) -> Result<Self, ParseRequestIdError> {
        let (prefix, random) = text.split_once('-').ok_or(ParseRequestIdError)?;
        let valid = (1..=Self::MAX_RANDOM).contains(&random.len())
            && random
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
        let prefix = prefix.parse().map_err(|_| ParseRequestIdError)?;
        if !valid {
            return Err(ParseRequestIdError);
        }
        Ok(RequestId {
            text: Name::from(text),
            prefix,
        })
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.text
    }

    pub(crate) fn name(&self) -> Name {
        self.text.clone()
    }

    /// Incarnation of the daemon that may dispatch the request.
    pub(crate) fn incarnation(&self) -> Incarnation {
        process_incarnation(self.prefix)
    }
}

/// Incarnation of the process that uses an id prefix.
fn process_incarnation(prefix: Incarnation) -> Incarnation {
    Incarnation(prefix.0 & !PREFIX_BITS)
}

/// A new random incarnation.
pub(crate) fn random_incarnation() -> Incarnation {
    process_incarnation(Incarnation(rand::random()))
}

/// One request of this incarnation.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: RequestId,
    /// Workspace that the request runs for; `None` on open routes.
    pub(crate) workspace: Option<Name>,
    /// Hash of method, path and body; a resend must have the same.
    pub(crate) content_hash: u64,
    pub(crate) buffer: Arc<ResponseBuffer>,
}

/// What the table knows about an id.
#[derive(Debug)]
pub(crate) enum Lookup {
    /// The id was new; this record was added and may be dispatched once.
    New(Arc<RequestRecord>),
    /// The request was accepted before.
    Known(Arc<RequestRecord>),
    /// The request was accepted before and its record was evicted, or the id belongs to another
    /// incarnation. It must not be dispatched here.
    Unknown,
}

/// The ids used under one prefix.
#[derive(Debug, Default)]
struct IdPrefix {
    number: u64,
    /// Hashes of all used ids. A collision makes a new id `unknown`, which is safe.
    used_ids: HashSet<u64>,
}

/// Bounded table of requests by id.
#[derive(Debug)]
pub(crate) struct RequestTable {
    incarnation: Incarnation,
    current: IdPrefix,
    previous: Option<IdPrefix>,
    records: HashMap<Name, Arc<RequestRecord>>,
    /// Finished records in the order in which they ended.
    finished: VecDeque<(Duration, Name)>,
    kept_bytes: usize,
    max_records: usize,
    max_age: Duration,
}

impl RequestTable {
    pub(crate) fn new(incarnation: Incarnation, max_records: usize, max_age: Duration) -> Self {
        RequestTable {
            incarnation,
            current: IdPrefix::default(),
            previous: None,
            records: HashMap::new(),
            finished: VecDeque::new(),
            kept_bytes: 0,
            max_records,
            max_age,
        }
    }

    /// Ends the responses of all requests that are still running.
    pub(crate) fn end_running(&self) {
        for record in self.records.values() {
            // Has no effect on a response that has ended.
            record.buffer.finish(Outcome::Unknown);
        }
    }

    /// Prefix for new ids.
    pub(crate) fn prefix(&self) -> Incarnation {
        Incarnation(self.incarnation.0 | self.current.number)
    }

    /// Generates a new random id.
    pub(crate) fn new_id(&self) -> RequestId {
        let text = format!("{}-{:032x}", self.prefix(), rand::random::<u128>());
        RequestId {
            text: Name::from(text),
            prefix: self.prefix(),
        }
    }

    /// Returns the record of a request, or adds the one that `new` creates.
    pub(crate) fn get_or_insert(
        &mut self,
        id: &RequestId,
        new: impl FnOnce() -> RequestRecord,
    ) -> Lookup {
        if id.incarnation() != self.incarnation {
            return Lookup::Unknown;
        }
        if let Some(record) = self.records.get(id.as_str()) {
            return Lookup::Known(Arc::clone(record));
        }
        if !self.mark_used(id) {
            return Lookup::Unknown;
        }
        let record = Arc::new(new());
        self.records.insert(id.name(), Arc::clone(&record));
        Lookup::New(record)
    }

    /// Looks a request up without adding it.
    pub(crate) fn get(&self, id: &str) -> Option<Arc<RequestRecord>> {
        self.records.get(id).cloned()
    }

    /// Whether a request with this id may have been dispatched by this process.
    pub(crate) fn may_have_run(&self, id: &RequestId) -> bool {
        match self.records.get(id.as_str()) {
            Some(record) => !record
                .buffer
                .outcome()
                .is_some_and(|outcome| outcome.is_not_run()),
            None => self.is_used(id),
        }
    }

    /// Whether an id may have been used before: it was, or its prefix is none of the newest two, so
    /// that this is not known.
    pub(crate) fn is_used(&self, id: &RequestId) -> bool {
        let number = id.prefix.0 & PREFIX_BITS;
        let hash = xxh3_64(id.as_str().as_bytes());
        [Some(&self.current), self.previous.as_ref()]
            .into_iter()
            .flatten()
            .find(|prefix| prefix.number == number)
            .is_none_or(|prefix| prefix.used_ids.contains(&hash))
    }

    /// Marks an id as used. Returns false if it was used before, or its prefix is full or not
    /// remembered.
    fn mark_used(&mut self, id: &RequestId) -> bool {
        let number = id.prefix.0 & PREFIX_BITS;
        let hash = xxh3_64(id.as_str().as_bytes());
        if let Some(previous) = &mut self.previous
            && previous.number == number
        {
            return previous.used_ids.len() < 2 * MAX_IDS_PER_PREFIX
                && previous.used_ids.insert(hash);
        }
        if number != self.current.number || !self.current.used_ids.insert(hash) {
            return false;
        }
        if self.current.used_ids.len() >= MAX_IDS_PER_PREFIX && self.current.number < PREFIX_BITS {
            let next = IdPrefix {
                number: self.current.number + 1,
                used_ids: HashSet::new(),
            };
            self.previous = Some(std::mem::replace(&mut self.current, next));
        }
        true
    }

    /// Records that a request ended, and evicts the oldest finished ones above the bounds.
    pub(crate) fn finish(&mut self, now: Duration, record: &RequestRecord) {
        self.kept_bytes += record.buffer.size();
        self.finished.push_back((now, record.id.name()));
        self.evict(now);
    }

    /// Evicts finished records that are too old or too many.
    pub(crate) fn evict(&mut self, now: Duration) {
        while let Some((ended, _)) = self.finished.front() {
            let fits = self.finished.len() <= self.max_records
                && self.kept_bytes <= MAX_KEPT_BYTES
                && now.saturating_sub(*ended) <= self.max_age;
            if fits {
                return;
            }
            if let Some((_, id)) = self.finished.pop_front()
                && let Some(record) = self.records.remove(&id)
            {
                self.kept_bytes = self.kept_bytes.saturating_sub(record.buffer.size());
            }
        }
    }

    /// Number of requests that have not ended.
    pub(crate) fn running(&self) -> usize {
        self.records.len() - self.finished.len()
    }
}
