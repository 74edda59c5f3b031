//! Admission of requests to targets: who waits, who is refused and until when, and which target gets
//! a request.
//!
//! All decisions are made by an [`Owner`], which one member of the fleet runs for one or more shards
//! of targets. The crate does no I/O, starts no tasks and reads no clock; each call takes the
//! current time as `now`, a duration since an arbitrary start.
//!
//! | module | content |
//! |---|---|
//! | `model`, `offer` | configuration, targets, settings; offers, decisions and reports |
//! | `catalog`, `leaving_targets`, `restore_hold` | active configuration and targets |
//! | `owner`, `queued_offer` | state of an owner, and its queue |
//! | `grant` | gives places to queued offers |
//! | `placement`, `target_speed`, `target` | expected times of a request at a target |
//! | `wait`, `tier_flow` | longest waits, and times to return |
//! | `pace` | runs of targets that have just started or failed |
//! | `rate_charge`, `rate_holder`, `rate_lease`, `rate_fallback`, `rate_demand`, `rate_message` | rates of workspaces |
//! | `grant_ledger` | what entries were granted by which owner |
//! | `limits`, `limit_bucket`, `named_limits`, `retry_budget`, `token_bucket` | shares of the limits of the fleet |
//! | `shard`, `convert`, `sliding_extremum` | shards; counts; extremes over a window |

#![forbid(unsafe_code)]

mod catalog;
mod cold_bound;
mod convert;
mod grant;
mod grant_ledger;
mod leaving_targets;
mod limit_bucket;
mod limits;
mod model;
mod named_limits;
mod offer;
mod owner;
mod pace;
mod placement;
mod queued_offer;
mod rate_charge;
mod rate_demand;
mod rate_fallback;
mod rate_holder;
mod rate_lease;
mod rate_message;
mod restore_hold;
mod retry_budget;
mod shard;
mod sliding_extremum;
mod target;
mod target_speed;
mod tier_flow;
mod token_bucket;
mod wait;

pub use catalog::{Access, AccessError, Catalog, Change};
pub use convert::count_to_f64;
pub use grant_ledger::{GrantLedger, GrantedElsewhere, OpenReport};
pub use limits::rate_units;
pub use model::{
    Config, FleetView, HttpLimits, LimitShare, Name, Pool, Rate, Route, RouteKind, Settings,
    Target, TokenCounts, Unit, Workspace,
};
pub use named_limits::{LimitReport, NamedLimits};
pub use offer::{
    Decision, Fingerprints, Offer, Refusal, RunEnd, RunId, RunReport, StartReport, TargetLoad,
};
pub use owner::Owner;
pub use rate_holder::{HolderShares, LeaseRejection};
pub use rate_message::{LeaseEvent, LeaseReply, LeaseRequest};
pub use retry_budget::RetryBudget;
pub use shard::{shard_of, target_key};
pub use sliding_extremum::SlidingExtremum;
pub use token_bucket::TokenBucket;
