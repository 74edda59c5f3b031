//! Traits that adapt the gateway to a deployment: its HTTP headers and paths, its store and its
//! settings.

use std::net::SocketAddr;
use std::time::Duration;

use admit::{Change, Name, Settings, TargetLoad, TokenCounts};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response};

use crate::transfer::Progress;

/// Contents of the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this request.
    pub id: String,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Size of the request as declared by the caller.
    pub token_counts: Option<TokenCounts>,
    /// The caller's estimate of the output tokens.
    pub expected_output: Option<u32>,
    /// Hashes of the prompt parts in order, each with its token count.
    pub prompt_parts: Vec<(u64, u32)>,
}

/// Why the head of a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The request id is missing or empty.
    MissingId,
    /// The deadline is not a number.
    MalformedDeadline,
    /// A header occurs more than once or is not valid text.
    AmbiguousHeader,
}

/// Values that the gateway adds to a request when it forwards it to a target.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Id of the target. A target with another id rejects the request.
    pub target: &'a str,
    /// Workspace of the caller's key, if the route needs a key.
    pub workspace: Option<&'a str>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Last event that the caller received, if the stream is resumed.
    pub last_event: Option<&'a str>,
}

/// What the target states about the origin of a response and about whether the request ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Attestation {
    /// Nothing proves that the response comes from the target.
    #[default]
    Unsigned,
    /// The response is marked as the target's own.
    Signed,
    /// The target states that it did not run the request.
    NotRun,
    /// The address belongs to another target, which did not run the request.
    Misdirected,
}

/// Request rate that a response of a target names as the target's limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// None.
    #[default]
    None,
    /// Requests per second from all members together.
    PerSecond(f64),
    /// The value, cut to a length that fits into a log line, is not a usable number.
    Malformed(String),
}

/// Contents of the head of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that this responds to.
    pub id: Option<String>,
    /// Origin of the response, and whether the request ran.
    pub attestation: Attestation,
    /// Load of the target.
    pub load: Option<TargetLoad>,
    /// Time for which the target keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the target closes the connection after this response.
    pub close: bool,
    /// Limit that the target names.
    pub limit: StatedLimit,
    /// Whether the target is about to stop and wants no new requests.
    pub is_leaving: bool,
    /// Time for which the target, which turned the request away, wants no request of this member.
    pub pause: Option<Duration>,
}

/// HTTP headers and paths of a deployment.
pub trait HttpDialect {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// Fails if the head is ambiguous or lacks a required header.
    fn parse_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, HeadError>;

    /// Headers that describe the work of a request, besides the standard ones. Requests that differ in
    /// them are told apart when targets crash.
    fn work_headers(&self) -> &'static [HeaderName];

    /// Headers for the target: the caller's headers without hop-by-hop headers and those that only
    /// the gateway sets, plus the values of `forward`.
    fn target_headers(&self, headers: &HeaderMap, forward: &ForwardContext<'_>) -> HeaderMap;

    /// Parses the head of a target's response.
    fn parse_response_head(&self, response: &Response<()>) -> ResponseHead;

    /// Headers of the response to the caller: the target's headers without hop-by-hop headers.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// A response that the gateway itself generates for the request with the given id.
    fn local_response(
        &self,
        status: u16,
        id: &str,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Response<Bytes>;

    /// Whether a request to the readiness address is the readiness check.
    fn is_readiness_check(&self, req: &Request<()>) -> bool;

    /// Whether a request to the directory asks for the list of entries.
    fn is_directory_lookup(&self, req: &Request<()>) -> bool;

    /// The response of the directory.
    fn directory_response(&self, entries: &[SocketAddr], ttl: Duration) -> Response<Bytes>;
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store can't be reached, or the connection broke.
    Unreachable(String),
    /// The store did not respond in time.
    Timeout,
    /// The store refused the call, with this status.
    Refused(u16),
    /// The store no longer keeps the changes after the requested revision.
    Compacted,
    /// The response can't be parsed.
    Malformed(String),
    /// The store was restored from a copy while it was listed.
    Restored,
}

/// An item of the store as it was written, or the removal of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key of the item.
    pub key: Name,
    /// Value as it was written; `None` if the item was removed.
    pub value: Option<Bytes>,
    /// Revision of the store at which it was written or removed.
    pub revision: u64,
}

/// A response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Items or changes, in order.
    pub records: Vec<Record>,
    /// Revision from which to watch next.
    pub watch_from: u64,
    /// Era of the store, which rises each time it is restored from an older copy; `None` if the
    /// response does not state one that can be used.
    pub era: Option<u64>,
}

impl Batch {
    /// Revision of the newest record; 0 if there is none.
    #[must_use]
    pub fn newest_revision(&self) -> u64 {
        let revisions = self.records.iter().map(|record| record.revision);
        revisions.max().unwrap_or(0)
    }
}

/// The store that holds the configuration and the targets.
#[expect(
    async_fn_in_trait,
    reason = "all futures run on the one thread of the process"
)]
pub trait Store {
    /// Lists everything in the store. Each response has to begin within `timeout` and must not
    /// stall for longer.
    async fn list(&mut self, timeout: Duration) -> Result<Batch, StoreError>;

    /// Waits up to `wait` for changes after a revision. The result may be empty. The response has
    /// to begin within `timeout` after that, and must not stall for longer.
    async fn watch(
        &mut self,
        after: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Batch, StoreError>;

    /// Counts the bytes of the responses as they are received.
    fn progress(&self) -> Progress;

    /// The change that a record means, if any. A record that can't be parsed is logged.
    fn decode(&self, record: &Record) -> Option<Change>;
}

/// Source of the settings. It is read at the start and again on each reload.
pub trait SettingsSource {
    /// Reads the settings.
    ///
    /// # Errors
    /// Describes what is missing or malformed, and where.
    fn read(&self) -> Result<Settings, String>;
}
