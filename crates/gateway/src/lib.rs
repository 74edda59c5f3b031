//! Request path for deployments whose members discover each other through seeds and read their
//! configuration and targets from a read-only store.
//!
//! Each process is an entry: it accepts requests, asks the owner of a shard for a permit, sends the
//! request to the target named in the permit and relays the response. The owner of a shard is one
//! of the live members. It queues, admits and refuses requests for all targets of the shard, so
//! that each fleet-wide limit is enforced in one place. If the owner stops responding, another
//! member takes over.
//!
//! The traits in [`adapter`] hide the HTTP headers, paths and store API of a deployment.
//!
//! | module | content | I/O |
//! |---|---|---|
//! | `model` | configuration, targets, settings | none |
//! | `catalog` | active configuration and targets | none |
//! | `catalog_expiry` | ends grace times of the catalog on time | none |
//! | `leaving_targets` | targets that accept no further requests | none |
//! | `restore_hold` | older data after a restore of the store | none |
//! | `membership`, `sliding_extremum` | members and their liveness | none |
//! | `owner` | admission for the targets of shards | none |
//! | `token_bucket`, `retry_budget` | limits on rates and retries | none |
//! | `retry_schedule` | retry times of refused callers | none |
//! | `target_notices` | acts on what targets state in their responses | through `node` |
//! | `named_limits` | limits that targets name | none |
//! | `target_pauses` | targets that asked for a pause | none |
//! | `log_throttle` | bounds lines about repeated faults | none |
//! | `poison_parts` | detection of poison requests and poison parts of prompts | none |
//! | `crash_check` | checks whether the target of a broken run has crashed | TCP |
//! | `convert` | conversion of counts | none |
//! | `retry_decision` | response to the caller or retry after an attempt | none |
//! | `message` | datagrams between members | none |
//! | `buffer_budget` | bounds the memory of all buffers together | none |
//! | `body` | bodies of requests and responses | through `upstream` |
//! | `clock` | time since boot | system clock |
//! | `node` | state shared by all tasks | UDP |
//! | `position` | positions in the history of the store | none |
//! | `record_log` | copy of the store's items and recent changes | none |
//! | `store_follower` | follows the store, or a member that reads it | `Store` trait |
//! | `transfer` | time limits for large responses | none |
//! | `feed`, `feed_client`, `feed_server` | pass on changes of the store to other members | TCP |
//! | `peer_link` | exchanges datagrams | UDP |
//! | `http_server`, `request`, `attempt`, `relay`, `upstream` | serves requests | TCP |
//! | `permit` | asks owners for permits | through `peer_link` |
//! | `request_log` | logs and metrics of a request | log, metrics |
//! | `serve` | start, signals, shutdown | all |

#![forbid(unsafe_code)]

pub mod adapter;
mod attempt;
mod body;
mod buffer_budget;
mod catalog;
mod catalog_expiry;
mod clock;
mod convert;
mod crash_check;
mod feed;
mod feed_client;
mod feed_server;
mod http_server;
mod leaving_targets;
mod log_throttle;
mod membership;
mod message;
mod model;
mod named_limits;
mod node;
mod owner;
mod peer_link;
mod permit;
mod poison_parts;
mod position;
mod record_log;
mod relay;
mod request;
mod request_log;
mod restore_hold;
mod retry_budget;
mod retry_decision;
mod retry_schedule;
mod serve;
mod sliding_extremum;
mod store_follower;
mod target_notices;
mod target_pauses;
mod token_bucket;
mod transfer;
mod upstream;

pub use buffer_budget::{BufferBudget, Buffered, Reservation};
pub use catalog::{Access, AccessError, Catalog, Change};
pub use clock::now as boot_time;
pub use log_throttle::LogThrottle;
pub use membership::{Heartbeat, LimitShare, Member, Membership, Sighting};
pub use model::{
    Config, HttpLimits, Name, Pool, Rate, Route, RouteKind, Settings, Target, TokenCounts, Unit,
    Workspace,
};
pub use named_limits::{LimitReport, NamedLimits};
pub use owner::{Decision, Offer, Owner, Refusal, RunEnd, RunId, RunReport, target_key};
pub use poison_parts::{Blame, PartReport, PoisonParts};
pub use position::Position;
pub use record_log::{LogDelta, RecordLog};
pub use retry_budget::RetryBudget;
pub use retry_decision::{AttemptOutcome, NextStep, next_step};
pub use serve::{Outcome, run};
pub use target_pauses::TargetPauses;
pub use token_bucket::TokenBucket;
pub use transfer::{Progress, until_stalled};
