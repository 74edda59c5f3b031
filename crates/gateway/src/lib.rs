//! Request path for deployments whose members find each other through seeds and whose
//! configuration and targets are published in a store that can only be read.
//!
//! Each process is an entry: it takes requests, asks the owner of a shard for a permit, sends the
//! request to the target of the permit and relays the answer. The owner of a shard is one of the
//! live members; it queues, admits and refuses for all targets of the shard, so each limit of the
//! fleet is decided in one place. Another member acts as owner when the first one is silent.
//!
//! Names, formats and calls of the surroundings come through the traits of [`adapter`].
//!
//! | module | content | I/O |
//! |---|---|---|
//! | `model` | configuration, targets, settings | none |
//! | `catalog` | configuration and targets in force | none |
//! | `roster`, `extreme` | members and their liveness | none |
//! | `owner`, `bucket`, `bookings`, `budget`, `containment` | admission for one shard | none |
//! | `number` | conversion of counts | none |
//! | `verdict` | what a caller is told of an attempt | none |
//! | `message` | datagrams between members | none |
//! | `follow` | reads the store | store port |
//! | `link` | exchanges datagrams | UDP |
//! | `entry`, `request`, `attempt`, `relay`, `upstream` | serves requests | TCP |
//! | `permit` | asks owners for permits | through `link` |
//! | `story` | logs and measures a request | log, metrics |
//! | `serve` | start, signals, shutdown | all |

#![forbid(unsafe_code)]

pub mod adapter;
mod attempt;
mod catalog;
mod clock;
mod convert;
mod http_server;
mod membership;
mod message;
mod model;
mod node;
mod owner;
mod peer_link;
mod permit;
mod poison_requests;
mod relay;
mod request;
mod request_log;
mod retry_budget;
mod retry_decision;
mod retry_schedule;
mod serve;
mod sliding_extremum;
mod store_follower;
mod token_bucket;
mod upstream;

pub use catalog::{AccessError, Catalog, Change};
pub use clock::now as boot_time;
pub use membership::{Heartbeat, LimitShare, Member, Membership};
pub use model::{
    Config, HttpLimits, Name, Pool, Rate, Route, RouteKind, Settings, Target, TokenCounts, Unit,
    Workspace,
};
pub use owner::{Decision, Offer, Owner, Refusal, RunEnd, RunId, RunReport, target_key};
pub use poison_requests::PoisonRequests;
pub use retry_budget::RetryBudget;
pub use retry_decision::{AttemptOutcome, NextStep, next_step};
pub use serve::{Outcome, run};
pub use token_bucket::TokenBucket;
