//! The checked content of a sheet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A shared immutable name of a zone, workspace, pool, target, tier or route.
pub type Name = Arc<str>;

/// SHA-256 over the canonical form of a sheet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentHash(pub [u8; 32]);

/// An accepted sheet. All names that it refers to exist.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    /// Title in the `sheet` row.
    pub title: String,
    /// Revision; the accepted sheet with the highest revision is in effect.
    pub revision: u64,
    /// SHA-256 of the canonical form.
    pub hash: ContentHash,
    /// Availability zones by name.
    pub zones: BTreeMap<Name, Zone>,
    /// Tiers by rank, the highest tier first.
    pub tiers: Vec<Tier>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, Workspace>,
    /// Keys by the SHA-256 of the key.
    pub keys: BTreeMap<[u8; 32], Key>,
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Targets by name.
    pub targets: BTreeMap<Name, Target>,
    /// Routes, longest path prefix first.
    pub routes: Vec<Route>,
}

/// An availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Whether targets in the zone may get new work.
    pub state: ZoneState,
}

/// Whether a zone is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// Targets in the zone may get new work.
    In,
    /// Targets in the zone get no new work.
    Out,
}

/// A tier of requests. Its rank is its index in [`Sheet::tiers`]; 0 is the highest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Name of the tier, as callers write it in a request header.
    pub name: Name,
}

/// A workspace and its fleet-wide token limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Tokens per second over the whole fleet.
    pub rate: u64,
    /// Largest number of tokens that may be spent at once over the whole fleet.
    pub burst: u64,
}

/// A caller's key. The sheet holds only its hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Label of the key, for operators.
    pub name: Name,
    /// Workspace of the requests that use this key.
    pub workspace: Name,
    /// Rank of the highest tier that the key may use.
    pub highest_tier: u8,
    /// Whether the key is valid.
    pub state: KeyState,
}

/// State of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The key is valid.
    Active,
    /// The key was withdrawn.
    Withdrawn,
}

/// A set of targets that serve the same requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// What the targets of the pool are.
    pub kind: PoolKind,
}

/// Kind of the targets of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines that batch continuously and stream tokens.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// A back end that runs requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Pool that the target belongs to.
    pub pool: Name,
    /// Availability zone of the target.
    pub zone: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Whether the target may get new work.
    pub state: TargetState,
    /// Tokens in flight that the target can handle when warm; an upper bound of the learned limit.
    pub capacity: u64,
    /// Requests in flight that the target can handle while cold.
    pub cold_limit: u32,
    /// Speed of the hardware generation relative to the slowest one, which has 1.0.
    pub speed: f64,
    /// Whether the target checks the fencing tokens of requests.
    pub fencing: bool,
}

/// State of a target in the sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target may get new work.
    In,
    /// The target is leaving and gets no new work.
    Leaving,
}

/// A path prefix that callers use and the pool that serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Path prefix, for example `/v1/chat/completions`.
    pub path: Name,
    /// Pool that serves the route.
    pub pool: Name,
    /// Who may call the route.
    pub access: Access,
    /// Whether a repeated call has the same effect as one call.
    pub idempotent: bool,
    /// Largest request body in bytes.
    pub max_body: u64,
    /// Largest number of output tokens of one request; for plain services, the cost of one call.
    pub max_tokens: u64,
    /// Longest useful time from the arrival of a request to the first byte of its response.
    pub deadline: Duration,
    /// Rank of the tier of requests that don't name one.
    pub tier: u8,
}

/// Who may call a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Anyone; no key is needed.
    Open,
    /// Only callers with a valid key.
    Keyed,
}
