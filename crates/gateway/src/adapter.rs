//! Ports to the surroundings: their dialect of HTTP, and their store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};

use crate::catalog::Change;
use crate::model::{Settings, TokenCounts};

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this call.
    pub id: String,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Declared size.
    pub token_counts: Option<TokenCounts>,
    /// Hashes of the parts of the prompt, from the first to the last, with their tokens.
    pub prompt_parts: Vec<(u64, u32)>,
}

/// Why the head of a request can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// It has no usable id.
    MissingId,
    /// Its deadline is not a number.
    MalformedDeadline,
    /// A header stands more than once or can't be read.
    AmbiguousHeader,
}

/// What the system adds to a request that goes to a target.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Id of the target; any other one rejects the request.
    pub target: &'a str,
    /// Workspace of the key, if the route needs one.
    pub workspace: Option<&'a str>,
    /// Time that is left.
    pub time_left: Duration,
    /// Last event that the caller has, if the stream is resumed.
    pub last_event: Option<&'a str>,
}

/// Who an answer is from, and whether the request ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Attestation {
    /// Nothing proves that the answer is the target's own.
    #[default]
    Unsigned,
    /// The target's own answer.
    Signed,
    /// The target states that it did not run the request.
    NotRun,
    /// The address belongs to another target, which did not run the request.
    Misdirected,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Who it is from, and whether the request ran.
    pub attestation: Attestation,
    /// Running and waiting requests.
    pub load: Option<(u32, u32)>,
    /// Time for which the target keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub close: bool,
}

/// Names and forms of HTTP messages.
pub trait HttpDialect {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// Fails if the head is ambiguous or lacks what each request has to say.
    fn parse_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, HeadError>;

    /// Headers for the target: those of the caller without what concerns one connection or is the
    /// system's to set, and those of `forward`.
    fn target_headers(&self, headers: &HeaderMap, forward: &ForwardContext<'_>) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn parse_response_head(&self, response: &Response<()>) -> ResponseHead;

    /// Headers of the answer to the caller: those of the target without what concerns one
    /// connection.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The system's own answer to the request with the given id.
    fn local_response(
        &self,
        status: u16,
        id: &str,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Response<Bytes>;

    /// Whether a request to the readiness address is the readiness check.
    fn is_readiness_check(&self, req: &Request<()>) -> bool;

    /// Whether a request to the directory asks for entries.
    fn is_directory_lookup(&self, req: &Request<()>) -> bool;

    /// The directory's answer.
    fn directory_response(&self, entries: &[SocketAddr], ttl: Duration) -> Response<Bytes>;
}

/// Why the store did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// It can't be reached, or the connection broke.
    Unreachable(String),
    /// It did not answer in time.
    Timeout,
    /// It refuses calls for now.
    Refused(u16),
    /// The changes asked for are no longer kept.
    Compacted,
    /// Its answer can't be read.
    Malformed(String),
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// What it says, in order.
    pub changes: Vec<Change>,
    /// Revision to watch from.
    pub watch_from: u64,
    /// Revision of the newest change among `changes`; 0 without any.
    pub newest_revision: u64,
}

/// The store, from which configuration and targets are read.
#[expect(
    async_fn_in_trait,
    reason = "all futures run on the one thread of the process"
)]
pub trait Store {
    /// Reads everything. Each call may take `timeout`.
    async fn list(&mut self, timeout: Duration) -> Result<Batch, StoreError>;

    /// Waits for changes after a revision. There may be none.
    async fn watch(
        &mut self,
        after: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Batch, StoreError>;
}

/// Source of the settings, read at the start and whenever they may have changed.
pub trait SettingsSource {
    /// Reads the settings.
    ///
    /// # Errors
    /// Says what is missing or malformed, and where.
    fn read(&self) -> Result<Settings, String>;
}
