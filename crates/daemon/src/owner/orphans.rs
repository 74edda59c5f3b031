//! Cleans up after entries and earlier owners that are gone: withdraws offers, and watches permits
//! and runs whose end may never be reported.

use std::sync::Arc;

use member::Incarnation;
use sched::{Name, PermitId, RunEnd};

use super::reclaim;
use super::task::{OwnerTask, PendingOffer, report_without_run};

impl OwnerTask {
    /// Withdraws the offers that came on a closed link, and watches the permits of its entry, since
    /// a grant or a release may have been lost with the link.
    pub(super) fn link_closed(&mut self, entry: Incarnation) {
        self.withdraw_where(|pending| pending.reply.is_closed());
        self.watch_permits(entry);
    }

    /// Withdraws the offers of an entry whose process is gone, and watches its permits, since their
    /// requests may still run.
    pub(super) fn entry_gone(&mut self, entry: Incarnation) {
        self.withdraw_where(|pending| pending.entry == entry);
        self.watch_permits(entry);
    }

    fn withdraw_where(&mut self, matches: impl Fn(&PendingOffer) -> bool) {
        let gone: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| matches(pending))
            .map(|(id, _)| id.clone())
            .collect();
        let now = self.now();
        for id in gone {
            self.pending.remove(&id);
            for pool in self.pools.values_mut() {
                pool.withdraw(now, &id);
            }
        }
    }

    /// Starts to poll the engines about the permits of an entry, once for each permit.
    fn watch_permits(&mut self, entry: Incarnation) {
        for ((pool, permit), granted) in &mut self.granted {
            if granted.entry == entry && !std::mem::replace(&mut granted.watched, true) {
                reclaim::watch_run(
                    Arc::clone(&self.node),
                    reclaim::OrphanedPermit {
                        pool: pool.clone(),
                        permit: Some(*permit),
                        target: granted.target.clone(),
                        id: granted.id.clone(),
                        expires: granted.expires,
                    },
                );
            }
        }
    }

    /// Frees the capacity of a run that its engine no longer runs.
    pub(super) fn run_ended(&mut self, pool: &Name, id: &Name, permit: Option<PermitId>) {
        let report = report_without_run(RunEnd::Cancelled);
        let now = self.now();
        if let Some(permit) = permit {
            self.end_permit(pool, permit, report);
        } else if let Some(scheduler) = self.pools.get_mut(pool) {
            scheduler.release_request(now, id, report);
        }
    }

    /// Watches runs that an earlier owner granted. That owner can't forward their releases once it
    /// has left, or while its VM list does not name this daemon as the owner.
    pub(super) fn watch_adopted_runs(&self, pool: &Name, handover: &sched::Handover) {
        let expires = self.now() + self.node.settings.timing.permit_life;
        for run in &handover.in_flight {
            reclaim::watch_run(
                Arc::clone(&self.node),
                reclaim::OrphanedPermit {
                    pool: pool.clone(),
                    permit: None,
                    target: handover.target.clone(),
                    id: run.request.clone(),
                    expires,
                },
            );
        }
    }
}
