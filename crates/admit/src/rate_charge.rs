//! Charges offers to the rates of their workspaces, by leases if there are several shards.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::limits::effective_rate;
use crate::model::{Name, Rate, Settings};
use crate::offer::{Decision, Offer, Refusal, RunId};
use crate::owner::Owner;
use crate::rate_holder::{FleetRate, HolderShares, LeaseRejection, RateHolder};
use crate::rate_lease::{LeaseAccount, LeaseOutput, WaitEnd};
use crate::rate_message::{LeaseEvent, LeaseReply, LeaseRequest};

/// Result of charging an offer.
pub(crate) enum Charge {
    Taken(f64),
    Refused {
        wait: Duration,
        /// Whether the refusal holds for the whole fleet.
        is_final: bool,
    },
    /// The offer waits for the holder of the rate.
    Waiting,
}

/// The rates that this member holds, and its leases of those that others hold.
#[derive(Default)]
pub(crate) struct RateLeases {
    holder: RateHolder,
    accounts: HashMap<Name, LeaseAccount>,
    /// Holders by workspace, as of the last time at which the shares were set. `None` if there is
    /// none, and each owner gives out its own part.
    holders: HashMap<Name, Option<Ipv4Addr>>,
    output: LeaseOutput,
}

impl RateLeases {
    /// Takes back a charge. Returns false if the workspace has no leases.
    pub(crate) fn refund(&mut self, local: Ipv4Addr, name: &str, units: f64) -> bool {
        let account = match self.holders.get(name) {
            Some(None) => return false,
            Some(&Some(holder)) if holder == local => None,
            _ => self.accounts.get_mut(name),
        };
        match account {
            Some(account) => {
                account.refund(units);
                true
            }
            None => self.holder.refund(name, units),
        }
    }

    pub(crate) fn is_waiting(&self, id: RunId) -> bool {
        self.accounts.values().any(|account| account.is_waiting(id))
    }

    pub(crate) fn has_work(&self) -> bool {
        self.accounts.values().any(LeaseAccount::has_work)
    }

    pub(crate) fn withdraw(&mut self, id: RunId) -> bool {
        let mut accounts = self.accounts.values_mut();
        accounts.any(|account| account.withdraw(id))
    }

    pub(crate) fn drop_entries(&mut self, has_ended: impl Fn(u64) -> bool) {
        for account in self.accounts.values_mut() {
            account.drop_entries(&has_ended);
        }
    }

    pub(crate) fn remove_stale(&mut self, now: Duration) {
        self.holder.remove_stale(now);
    }

    /// Applies changed rates. Returns the offers that waited for tokens of a workspace that no
    /// longer has a rate.
    pub(crate) fn reconfigure(
        &mut self,
        now: Duration,
        rate_of: impl Fn(&Name) -> Option<FleetRate>,
    ) -> Vec<Offer> {
        self.holder.reconfigure(now, &rate_of);
        let has_no_rate = |name: &Name, _: &mut LeaseAccount| rate_of(name).is_none();
        let removed = self.accounts.extract_if(has_no_rate);
        removed
            .flat_map(|(_, account)| account.into_waiting(now))
            .collect()
    }
}

pub(crate) fn fleet_rate(settings: &Settings, rate: Rate) -> FleetRate {
    let (per_s, burst) = effective_rate(settings, rate);
    FleetRate { per_s, burst }
}

impl Owner {
    /// Sets the shares of the rates that this member gives out as a holder, and whether it is the
    /// holder, by workspace. The holders must be set again before the next offers.
    pub fn set_holder_shares(
        &mut self,
        now: Duration,
        shares: HolderShares,
        is_holder: impl Fn(&Name) -> bool,
    ) {
        self.rates.holders.clear();
        self.rates.holder.set_shares(now, shares, is_holder);
    }

    /// Whether the holder of a workspace's rate must be set before the next decision.
    #[must_use]
    pub fn needs_rate_holder(&self, workspace: &str) -> bool {
        self.max_shards > 1 && !self.rates.holders.contains_key(workspace)
    }

    /// Sets the holder of a workspace's rate; `None` if each owner gives out its own part.
    pub fn set_rate_holder(&mut self, workspace: Name, holder: Option<Ipv4Addr>) {
        if holder.is_some() {
            // It would be full when it is used again, although the holder gave out the tokens.
            self.buckets.remove(&workspace);
        }
        self.rates.holders.insert(workspace, holder);
    }

    /// Holder that charges offers for a workspace.
    pub(crate) fn rate_holder(&self, workspace: &str) -> Option<Ipv4Addr> {
        let holders = &self.rates.holders;
        holders.get(workspace).copied().flatten()
    }

    /// Charges an offer by leases.
    pub(crate) fn charge_lease(
        &mut self,
        now: Duration,
        holder: Ipv4Addr,
        offer: &Offer,
        (name, rate): (&Name, Rate),
        units: f64,
    ) -> Charge {
        let rate = fleet_rate(&self.settings, rate);
        let share = self.rate_share();
        let local = self.settings.ip;
        let rates = &mut self.rates;
        if holder == local {
            return match rates.holder.take(now, name, rate, units) {
                Ok(()) => Charge::Taken(units),
                Err(wait) => {
                    rates.output.events.push(LeaseEvent::Denied(1));
                    Charge::Refused {
                        wait,
                        is_final: true,
                    }
                }
            };
        }
        let account = rates
            .accounts
            .entry(name.clone())
            .or_insert_with(|| LeaseAccount::new(name.clone(), holder, rate));
        account.update(holder, rate);
        match account.charge(now, share, offer, units, &mut rates.output) {
            Some(Ok(())) => Charge::Taken(units),
            Some(Err(wait)) => Charge::Refused {
                wait,
                is_final: false,
            },
            None => Charge::Waiting,
        }
    }

    /// Decides on a lease request of another member.
    ///
    /// # Errors
    /// Returns why it is not answered.
    pub fn lease_rate(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        owner: u64,
        request: &LeaseRequest,
    ) -> Result<LeaseReply, LeaseRejection> {
        let name = &request.workspace;
        let rate = catalog.workspace(name).and_then(|workspace| workspace.rate);
        let rate = rate.ok_or(LeaseRejection::UnknownWorkspace)?;
        let rate = fleet_rate(&self.settings, rate);
        let is_holder = self.rate_holder(name) == Some(self.settings.ip);
        let holder = &mut self.rates.holder;
        holder.lease(now, owner, rate, is_holder, request)
    }

    /// Applies the reply of a holder. Returns false if it answers no open request; then it grants
    /// nothing.
    pub fn apply_lease(&mut self, now: Duration, from: Ipv4Addr, reply: &LeaseReply) -> bool {
        let rates = &mut self.rates;
        let account = rates.accounts.get_mut(&reply.workspace);
        let ends =
            account.and_then(|account| account.apply_reply(now, from, reply, &mut rates.output));
        let Some(ends) = ends else { return false };
        self.end_waits(now, ends);
        true
    }

    /// Sends lease requests again and ends the waits of offers for tokens.
    pub(crate) fn poll_leases(&mut self, now: Duration) {
        let share = self.rate_share();
        let rates = &mut self.rates;
        let mut ends = Vec::new();
        for (name, account) in &mut rates.accounts {
            if let Some(&Some(holder)) = rates.holders.get(name) {
                account.set_holder(holder);
            }
            ends.extend(account.poll(now, share, &mut rates.output));
        }
        self.end_waits(now, ends);
    }

    fn end_waits(&mut self, now: Duration, ends: Vec<WaitEnd>) {
        for end in ends {
            match end {
                WaitEnd::Charged(offer, units) => self.admit_charged(now, offer, units),
                WaitEnd::Denied { id, wait, is_final } => self.refuse_rate(id, wait, is_final),
            }
        }
    }

    /// Refuses an offer for its workspace's rate.
    pub(crate) fn refuse_rate(&mut self, id: RunId, wait: Duration, is_final_now: bool) {
        self.refuse(id, Refusal::Rate, wait);
        if let Some(Decision::Refuse { is_final, .. }) = self.decisions.last_mut() {
            *is_final = is_final_now;
        }
    }

    /// Requests to send to holders.
    pub fn take_lease_requests(&mut self) -> Vec<(Ipv4Addr, LeaseRequest)> {
        std::mem::take(&mut self.rates.output.requests)
    }

    /// What happened to leases since the last call.
    pub fn take_lease_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.rates.output.events)
    }
}
