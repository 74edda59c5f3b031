//! Token buckets of the workspaces whose rate this member holds for the fleet.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::convert::count_to_f64;
use crate::model::Name;
use crate::rate_lease::LEASE_TIME;
use crate::rate_message::{LeaseReply, LeaseRequest, MAX_UNITS_PER_REQUEST};
use crate::token_bucket::TokenBucket;

/// Largest part of the burst that is leased out ahead of demand. With a burst of one second's rate
/// and leases of half a second, the whole rate can be leased.
const MAX_OUTSTANDING_SHARE: f64 = 0.5;
/// Largest part of the tokens at hand that one owner gets ahead of its demand.
const MAX_AHEAD_SHARE: f64 = 0.5;
/// The bucket never has less than this part of its burst, also if its share of the rate has shrunk
/// below what is leased out.
const MIN_BURST_SHARE: f64 = 0.25;
/// An owner counts as asking, and may return tokens, for this long. Members that don't consider
/// themselves the holder give out the share of the owners that ask.
const OWNER_MEMORY: Duration = Duration::from_secs(2);
/// Largest amount in a message. One request can have twice `u32::MAX` tokens, as declared by its
/// caller.
const MAX_AMOUNT: f64 = 1e11;

/// Why a lease request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRejection {
    /// A newer request of the same owner was answered.
    Late,
    /// An amount or a count is implausible.
    Invalid,
    /// The workspace has no rate here.
    UnknownWorkspace,
}

impl LeaseRejection {
    /// Label in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            LeaseRejection::Late => "late",
            LeaseRejection::Invalid => "invalid",
            LeaseRejection::UnknownWorkspace => "unknown_workspace",
        }
    }
}

/// Rate and burst of a workspace over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetRate {
    pub(crate) per_s: f64,
    pub(crate) burst: f64,
}

/// What an owner asked for.
struct AskingOwner {
    last_reply: LeaseReply,
    asked_at: Duration,
    /// Tokens that it may still return.
    returnable: f64,
}

struct HeldRate {
    rate: FleetRate,
    share: f64,
    bucket: TokenBucket,
    /// Tokens leased ahead of demand, with the time from which they are no longer valid.
    outstanding: VecDeque<(Duration, f64)>,
    owners: HashMap<u64, AskingOwner>,
}

impl HeldRate {
    fn new(now: Duration, rate: FleetRate, share: f64) -> Self {
        HeldRate {
            rate,
            share,
            bucket: TokenBucket::new(now, rate.per_s * share, rate.burst * share),
            outstanding: VecDeque::new(),
            owners: HashMap::new(),
        }
    }

    fn share_of(&self, now: Duration, shares: HolderShares, is_holder: bool) -> f64 {
        if is_holder {
            return shares.holder;
        }
        let is_asking = |owner: &&AskingOwner| now.saturating_sub(owner.asked_at) < OWNER_MEMORY;
        let asking = self.owners.values().filter(is_asking).count().max(1);
        (shares.member * count_to_f64(asking)).min(shares.holder)
    }

    fn outstanding(&self) -> f64 {
        self.outstanding.iter().map(|&(_, amount)| amount).sum()
    }

    /// Brings the bucket up to date. Tokens leased ahead count as part of the burst until they are
    /// no longer valid, so that the bucket and all leases together never exceed it.
    fn update(&mut self, now: Duration, share: f64) {
        if (share - self.share).abs() > f64::EPSILON {
            self.bucket.scale(now, share / self.share);
            self.share = share;
        }
        while self.outstanding.front().is_some_and(|&(end, _)| end <= now) {
            self.outstanding.pop_front();
        }
        let burst = self.rate.burst * share;
        let left = (burst - self.outstanding()).max(burst * MIN_BURST_SHARE);
        self.bucket.reconfigure(now, self.rate.per_s * share, left);
    }

    /// Takes tokens ahead of demand, as many as can be spared.
    fn take_ahead(&mut self, now: Duration, wanted: f64) -> f64 {
        let free = self.rate.burst * self.share * MAX_OUTSTANDING_SHARE - self.outstanding();
        let spare = self.bucket.level(now) * MAX_AHEAD_SHARE;
        let amount = wanted.min(free).min(spare);
        if amount <= 0.0 || self.bucket.try_take(now, amount).is_err() {
            return 0.0;
        }
        self.outstanding.push_back((now + LEASE_TIME, amount));
        self.update(now, self.share);
        amount
    }
}

/// Shares of the fleet-wide rates that a member may give out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderShares {
    /// Share of the holder: that of all members that it sees as live.
    pub holder: f64,
    /// Share of a single member of the fleet.
    pub member: f64,
}

/// Buckets by workspace. Any member may be asked as holder; one that does not consider itself the
/// holder gives out only the share of the members that ask it.
pub(crate) struct RateHolder {
    held: HashMap<Name, HeldRate>,
    shares: HolderShares,
}

impl Default for RateHolder {
    fn default() -> Self {
        RateHolder {
            held: HashMap::new(),
            shares: HolderShares {
                holder: 1.0,
                member: 1.0,
            },
        }
    }
}

impl RateHolder {
    fn held(
        &mut self,
        now: Duration,
        name: &Name,
        rate: FleetRate,
        is_holder: bool,
    ) -> &mut HeldRate {
        let shares = self.shares;
        let first_share = if is_holder {
            shares.holder
        } else {
            shares.member
        };
        let held = self
            .held
            .entry(name.clone())
            .or_insert_with(|| HeldRate::new(now, rate, first_share));
        held.rate = rate;
        let share = held.share_of(now, shares, is_holder);
        held.update(now, share);
        held
    }

    /// Takes tokens for an offer to this member itself.
    pub(crate) fn take(
        &mut self,
        now: Duration,
        name: &Name,
        rate: FleetRate,
        units: f64,
    ) -> Result<(), Duration> {
        self.held(now, name, rate, true).bucket.try_take(now, units)
    }

    /// Takes back a charge. Returns false if the workspace has no bucket here.
    pub(crate) fn refund(&mut self, name: &str, units: f64) -> bool {
        let held = self.held.get_mut(name);
        held.map(|held| held.bucket.refund(units)).is_some()
    }

    /// Decides on a request of another member. A repeated request gets the same reply again.
    pub(crate) fn lease(
        &mut self,
        now: Duration,
        owner: u64,
        rate: FleetRate,
        is_holder: bool,
        request: &LeaseRequest,
    ) -> Result<LeaseReply, LeaseRejection> {
        let amounts = request
            .units
            .iter()
            .chain([&request.ahead, &request.returned]);
        let is_plausible = |amount: &f64| (0.0..=MAX_AMOUNT).contains(amount);
        if request.units.len() > MAX_UNITS_PER_REQUEST || !amounts.clone().all(is_plausible) {
            return Err(LeaseRejection::Invalid);
        }
        let held = self.held(now, &request.workspace, rate, is_holder);
        let mut returnable = 0.0;
        if let Some(known) = held.owners.get_mut(&owner) {
            match request.seq.cmp(&known.last_reply.seq) {
                std::cmp::Ordering::Less => return Err(LeaseRejection::Late),
                std::cmp::Ordering::Equal => return Ok(known.last_reply.clone()),
                std::cmp::Ordering::Greater => {}
            }
            if now.saturating_sub(known.asked_at) < OWNER_MEMORY {
                returnable = known.returnable;
            }
        }
        let returned = request.returned.min(returnable);
        held.bucket.refund(returned);
        let mut taken = 0.0;
        let mut decide = |&units: &f64| match held.bucket.try_take(now, units) {
            Ok(()) => {
                taken += units;
                Duration::ZERO
            }
            Err(wait) => wait.max(Duration::from_millis(1)),
        };
        let waits: Vec<Duration> = request.units.iter().map(&mut decide).collect();
        let is_denied = waits.iter().any(|wait| !wait.is_zero());
        let ahead = if is_denied {
            0.0
        } else {
            held.take_ahead(now, request.ahead)
        };
        let reply = LeaseReply {
            workspace: request.workspace.clone(),
            owner,
            seq: request.seq,
            waits,
            ahead,
        };
        let rate_per_memory = rate.per_s * OWNER_MEMORY.as_secs_f64() + rate.burst;
        let asking = AskingOwner {
            last_reply: reply.clone(),
            asked_at: now,
            returnable: (returnable - returned + taken + ahead).min(rate_per_memory),
        };
        held.owners.insert(owner, asking);
        Ok(reply)
    }

    /// Applies the shares of this member and whether it is the holder, by workspace. Without this, a
    /// former holder that becomes the holder again would have filled its bucket up in between.
    pub(crate) fn set_shares(
        &mut self,
        now: Duration,
        shares: HolderShares,
        is_holder: impl Fn(&Name) -> bool,
    ) {
        self.shares = shares;
        for (name, held) in &mut self.held {
            let share = held.share_of(now, shares, is_holder(name));
            held.update(now, share);
        }
    }

    /// Applies changed rates; `rate_of` returns `None` for a workspace that no longer has one.
    pub(crate) fn reconfigure(
        &mut self,
        now: Duration,
        rate_of: impl Fn(&Name) -> Option<FleetRate>,
    ) {
        self.held.retain(|name, held| {
            let Some(rate) = rate_of(name) else {
                return false;
            };
            held.rate = rate;
            held.update(now, held.share);
            true
        });
    }

    pub(crate) fn remove_stale(&mut self, now: Duration) {
        for held in self.held.values_mut() {
            held.owners
                .retain(|_, owner| now.saturating_sub(owner.asked_at) < OWNER_MEMORY);
        }
    }
}
