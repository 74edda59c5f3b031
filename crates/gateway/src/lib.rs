//! Request path for deployments whose members discover each other through seeds and read their
//! configuration and targets from a read-only store.
//!
//! Each process is an entry: it accepts requests, asks the owner of a shard for a permit, sends the
//! request to the target named in the permit and relays the response. The owner of a shard is one
//! of the live members. It queues, admits and refuses requests for all targets of the shard, so
//! that each fleet-wide limit is enforced in one place. If the owner stops responding, another
//! member takes over.
//!
//! The decisions of owners are in the crate [`admit`].
//!
//! The traits in [`adapter`] hide the HTTP headers, paths and store API of a deployment.
//!
//! | module | content | I/O |
//! |---|---|---|
//! | `catalog_expiry` | ends grace times of the catalog on time | none |
//! | `membership` | members and their liveness | none |
//! | `target_notices` | acts on what targets state in their responses | through `node` |
//! | `target_pauses` | targets that asked for a pause | none |
//! | `log_throttle` | bounds lines about repeated faults | none |
//! | `fingerprint` | what makes two requests the same | none |
//! | `poison_parts` | detection of poison requests and poison parts of prompts | none |
//! | `crash_check` | checks whether the target of a broken run has crashed | TCP |
//! | `left_runs` | when the targets of runs whose callers left are checked | none |
//! | `retry_decision` | response to the caller or retry after an attempt | none |
//! | `run_listing` | which owners get the list of runs | none |
//! | `run_number` | numbers of runs, unique in the fleet | none |
//! | `message` | datagrams between members | none |
//! | `buffer_budget` | bounds the memory of all buffers together | none |
//! | `body` | bodies of requests and responses | through `upstream` |
//! | `clock` | time since boot | system clock |
//! | `sighting_codec` | compact encoding of sightings | none |
//! | `node` | state shared by all tasks | UDP |
//! | `position` | positions in the history of the store | none |
//! | `record_digest` | compact list of all items | none |
//! | `record_log` | copy of the store's items and recent changes | none |
//! | `store_follower` | follows the store, or a member that reads it | `Store` trait |
//! | `transfer` | time limits for large responses | none |
//! | `feed`, `feed_client`, `feed_server` | pass on changes of the store to other members | TCP |
//! | `peer_link` | exchanges datagrams | UDP |
//! | `http_server`, `request`, `attempt`, `relay`, `upstream` | serves requests | TCP |
//! | `target_stream` | the stream of one target | TCP |
//! | `takeover` | lets another target go on with a stream | through `attempt` |
//! | `event_splitter` | splits streams into complete events | none |
//! | `rate_link` | asks the holders of rates for tokens | through `node` |
//! | `permit` | asks owners for permits | through `peer_link` |
//! | `request_log` | logs and metrics of a request | log, metrics |
//! | `serve` | start, signals, shutdown | all |

#![forbid(unsafe_code)]

pub mod adapter;
mod attempt;
mod body;
mod buffer_budget;
mod catalog_expiry;
mod clock;
mod crash_check;
mod event_splitter;
mod feed;
mod feed_client;
mod feed_server;
mod fingerprint;
mod http_server;
mod left_runs;
mod log_throttle;
mod membership;
mod message;
mod node;
mod peer_link;
mod permit;
mod poison_parts;
mod position;
mod rate_link;
mod record_digest;
mod record_log;
mod relay;
mod request;
mod request_log;
mod retry_decision;
mod run_listing;
mod run_number;
mod serve;
mod sighting_codec;
mod store_follower;
mod takeover;
mod target_notices;
mod target_pauses;
mod target_stream;
mod transfer;
mod upstream;

pub use admit::{
    Access, AccessError, Catalog, Change, Config, Decision, Fingerprints, FleetView, GrantLedger,
    HolderShares, HttpLimits, LeaseEvent, LeaseRejection, LeaseReply, LeaseRequest, LimitReport,
    LimitShare, Name, NamedLimits, Offer, Owner, Pool, Rate, Refusal, RetryBudget, Route,
    RouteKind, RunEnd, RunId, RunReport, Settings, StartReport, Target, TargetLoad, TokenBucket,
    TokenCounts, Unit, Workspace, target_key,
};
pub use buffer_budget::{BufferBudget, Buffered, Reservation};
pub use clock::now as boot_time;
pub use feed::delta_len;
pub use fingerprint::{FingerprintInput, fingerprints};
pub use left_runs::{EndedRun, LeftRuns};
pub use log_throttle::LogThrottle;
pub use membership::{Heartbeat, Member, Membership, Sighting};
pub use message::{gossip_len, repack, run_list_len};
pub use poison_parts::{Blame, Part, PartReport, PoisonParts};
pub use position::Position;
pub use record_log::{LogDelta, RecordLog};
pub use retry_decision::{AttemptOutcome, NextStep, next_step};
pub use run_listing::RunListing;
pub use serve::{Outcome, run};
pub use target_pauses::TargetPauses;
pub use transfer::{Progress, until_stalled};
