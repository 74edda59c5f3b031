//! Decisions of the schedulers: permits and sheds to entries, suspects to other owners.

use member::GrantLevel;
use metrics::counter;
use sched::{Event, Name, PermitId, RunEnd, TargetPhase};
use wire::{Body, Digest, Grant, OfferReply, Shed, Verdict};

use super::TargetStatus;
use super::task::{Given, Task, micros, suspect_message, without_run};
use crate::outcome::shed_label;

impl Task {
    /// Polls all schedulers and sends their decisions.
    pub(super) fn decide(&mut self) {
        let now = self.now();
        let names: Vec<Name> = self.pools.keys().cloned().collect();
        for name in names {
            let Some(pool) = self.pools.get_mut(&name) else {
                continue;
            };
            for event in pool.poll(now) {
                match event {
                    Event::Granted(permit) => self.grant(&name, permit),
                    Event::Shed { id, tier, reason } => self.shed(&name, &id, tier, reason),
                }
            }
            self.gossip_suspects(&name);
        }
    }

    fn grant(&mut self, pool: &Name, permit: sched::Permit) {
        let now = self.now();
        let Some(waiting) = self.waiting.remove(&permit.request) else {
            self.unused(pool, permit.id);
            return;
        };
        if self.node.fleet.grants(now, &permit.target) == GrantLevel::None {
            // The target moves away; its next owner decides about the request.
            self.unused(pool, permit.id);
            let revision = self.node.sheet().revision;
            let _ = waiting.reply.send(verdict(Verdict::NotOwner(revision)));
            return;
        }
        let reply = verdict(Verdict::Grant(Grant {
            permit: permit.id.0,
            target: permit.target.to_string(),
            expires_us: micros(permit.expires.saturating_sub(waiting.received)),
            owner: self.node.incarnation.0,
        }));
        self.given.insert(
            (pool.clone(), permit.id),
            Given {
                target: permit.target,
                id: permit.request,
                entry: waiting.entry,
                expires: permit.expires,
                hard_deadline: waiting.hard_deadline,
                watched: false,
            },
        );
        counter!("primrosechute_permits_granted_total").increment(1);
        if waiting.reply.send(reply).is_err() {
            // The entry has withdrawn or its link broke before the reply was written.
            log::debug!("owner: nobody waits for the permit at {now:?}");
            self.unused(pool, permit.id);
        }
    }

    fn unused(&mut self, pool: &Name, permit: PermitId) {
        self.end(pool, permit, without_run(RunEnd::Unused));
    }

    fn shed(&mut self, pool: &Name, id: &Name, tier: u8, reason: sched::ShedReason) {
        if reason == sched::ShedReason::NoTarget && !self.targets.values().any(|p| p == pool) {
            // The targets were handed over while the request waited; their new owners decide.
            if let Some(waiting) = self.waiting.remove(id) {
                let revision = self.node.sheet().revision;
                let _ = waiting.reply.send(verdict(Verdict::NotOwner(revision)));
            }
            return;
        }
        let label = shed_label(reason);
        counter!("primrosechute_owner_shed_total", "reason" => label, "tier" => tier.to_string())
            .increment(1);
        if let Some(waiting) = self.waiting.remove(id) {
            let _ = waiting.reply.send(verdict(Verdict::Shed(Shed {
                reason: label.to_string(),
            })));
        }
    }

    /// Tells the other owners about fingerprints that crashed targets here.
    fn gossip_suspects(&mut self, pool: &Name) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        let now = self.node.now();
        for suspect in pool.take_changed_suspects() {
            let message = suspect_message(now, &suspect);
            if suspect.crashed.is_empty() {
                log::info!("owner: fingerprint {:016x} is cleared", suspect.fingerprint);
            } else {
                log::warn!(
                    "owner: fingerprint {:016x} crashed {}",
                    suspect.fingerprint,
                    message.targets.join(", ")
                );
            }
            self.node.peers.broadcast(&Body::Suspect(message));
        }
    }

    pub(super) fn digests(&self) -> Vec<Digest> {
        self.pools
            .iter()
            .map(|(name, pool)| {
                let digest = pool.digest();
                Digest {
                    pool: name.to_string(),
                    free: digest.free,
                    limit: digest.limit,
                    waiting: digest.waiting,
                }
            })
            .collect()
    }

    pub(super) fn status(&self) -> Vec<TargetStatus> {
        self.targets
            .iter()
            .filter_map(|(target, pool)| {
                let phase = self.pools.get(pool)?.phase(target)?;
                Some(TargetStatus {
                    target: target.clone(),
                    pool: pool.clone(),
                    phase: phase_label(phase),
                })
            })
            .collect()
    }
}

pub(super) fn verdict(verdict: Verdict) -> Body {
    Body::OfferReply(OfferReply {
        verdict: Some(verdict),
    })
}

fn phase_label(phase: TargetPhase) -> &'static str {
    match phase {
        TargetPhase::Cold => "cold",
        TargetPhase::Warming => "warming",
        TargetPhase::Serving => "serving",
        TargetPhase::Draining => "draining",
        TargetPhase::Out => "out",
    }
}
