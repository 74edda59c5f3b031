//! A permit to send one request to one target, which an owner gives.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::timeout;

use crate::clock;
use crate::message::{Body, OfferMsg, millis};
use crate::model::{Name, Target, TokenCounts};
use crate::node::{InFlight, Node, Reply};
use crate::owner::{self, Refusal, RunEnd, RunReport};

/// An offer that is not answered is sent again after this time; answers take a few milliseconds.
const RESEND: Duration = Duration::from_millis(40);
/// An owner that left this many offers unanswered is passed over.
const RESENDS: u32 = 3;
/// After this many silent owners a member decides itself, with its own part of the limits: many
/// members that die at once are all taken as live for a while.
const MAX_SILENT: u32 = 2;
/// A waiting offer is sent again after this time, to see whether its owner lives.
const STILL_THERE: Duration = Duration::from_millis(200);
/// Time beyond the longest wait after which an owner should have refused.
const OWNER_DELAY: Duration = Duration::from_millis(150);

/// A request as it is offered to owners.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) pool: Name,
    pub(crate) tier: u8,
    pub(crate) workspace: Option<Name>,
    pub(crate) token_counts: Option<TokenCounts>,
    pub(crate) session: u64,
    pub(crate) sends: u32,
    pub(crate) avoid: Vec<u64>,
    pub(crate) fingerprint: u64,
    /// Longest wait for a permit.
    pub(crate) wait: Duration,
    /// Time until the run is over at the latest.
    pub(crate) left: Duration,
}

/// The right to send one request to one target once. Dropping it ends the run at its owner.
pub(crate) struct Permit {
    node: Rc<Node>,
    owner: Ipv4Addr,
    run: u64,
    pub(crate) target: Target,
    pub(crate) key: u64,
    pub(crate) report: RunReport,
}

impl Permit {
    /// Member that gave it.
    pub(crate) fn owner(&self) -> Ipv4Addr {
        self.owner
    }

    pub(crate) fn ended(mut self, end: RunEnd) {
        self.report.end = end;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.node.release(self.owner, self.run, &self.report);
    }
}

/// Stands for an offer that was not decided; dropping it withdraws the offer.
struct Asking<'a> {
    node: &'a Rc<Node>,
    run: u64,
    asked: Option<Ipv4Addr>,
}

impl Asking<'_> {
    /// Withdraws the offer from the member that was asked last.
    fn withdraw(&mut self) {
        let Some(asked) = self.asked.take() else {
            return;
        };
        if asked == self.node.settings.ip {
            let id = self.node.own_run(self.run);
            self.node.owner.borrow_mut().withdraw(clock::now(), id);
            self.node.decide();
        } else {
            self.node.send(asked, Body::Withdraw(self.run));
        }
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.node.unexpect(self.run);
        self.withdraw();
    }
}

/// Why there is no permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) reason: Refusal,
    pub(crate) retry_after: Duration,
    /// Member that refused.
    pub(crate) owner: Ipv4Addr,
}

/// Asks for a permit: the owner of a shard, and that of another one if the first has no room.
///
/// # Errors
/// Returns why the request is refused and when to come back.
pub(crate) async fn permit(node: &Rc<Node>, ask: &Ask) -> Result<Permit, Refused> {
    let began = clock::now();
    let mut tried = Vec::new();
    loop {
        let (shard, shards) = choose_shard(node, &ask.pool, &tried);
        tried.push(shard);
        let waited = clock::now().saturating_sub(began);
        let refused = match ask_shard(node, ask, (shard, shards), waited).await {
            Ok(permit) => return Ok(permit),
            Err(refused) => refused,
        };
        let elsewhere = match refused.reason {
            Refusal::Rate | Refusal::Busy | Refusal::NoTarget => true,
            Refusal::RetryBudget | Refusal::Poison => false,
        };
        let is_over = clock::now().saturating_sub(began) >= ask.wait;
        let others = usize::try_from(shards).unwrap_or(usize::MAX);
        if !elsewhere || is_over || tried.len() >= others.min(MAX_SHARDS) {
            return Err(refused);
        }
    }
}

/// Asks the owner of one shard for a permit.
async fn ask_shard(
    node: &Rc<Node>,
    ask: &Ask,
    (shard, shards): (u32, u32),
    spent: Duration,
) -> Result<Permit, Refused> {
    let began = clock::now().saturating_sub(spent);
    let run = node.new_run();
    let mut replies = node.expect(run);
    let mut asking = Asking {
        node,
        run,
        asked: None,
    };
    let mut passed_over = Vec::new();
    let mut silent = 0;
    let me = node.settings.ip;
    loop {
        let waited = clock::now().saturating_sub(began);
        let wait = ask.wait.saturating_sub(waited);
        if waited > ask.wait + OWNER_DELAY && asking.asked == Some(me) {
            return Err(Refused {
                reason: Refusal::Busy,
                retry_after: OWNER_DELAY,
                owner: me,
            });
        }
        let now = clock::now();
        let owners = node.roster.borrow().owners(now, shard);
        let next = owners.into_iter().find(|ip| !passed_over.contains(ip));
        let is_last = silent >= MAX_SILENT || waited > ask.wait;
        let owner = next.filter(|_| !is_last).unwrap_or(me);
        if asking.asked.is_some_and(|asked| asked != owner) {
            // The one before may still have it waiting, and its late replies don't count.
            asking.withdraw();
            replies = node.expect(run);
        }
        asking.asked = Some(owner);
        let msg = offer_msg(node, ask, run, (shard, shards), wait, waited);
        let Some(reply) = ask_owner(node, owner, &msg, &mut replies, wait).await else {
            node.roster.borrow_mut().suspect(clock::now(), owner);
            passed_over.push(owner);
            silent += 1;
            continue;
        };
        match reply {
            Reply::Queued => {}
            Reply::Refused {
                reason,
                retry_after,
            } => {
                asking.asked = None;
                return Err(Refused {
                    reason,
                    retry_after,
                    owner,
                });
            }
            Reply::Granted { from, target } => {
                asking.asked = None;
                let Some(permit) = take_permit(node, from, run, &target) else {
                    // This member knows better than the owner, whose view may be old.
                    passed_over.push(from);
                    if passed_over.len() > MAX_STALE {
                        return Err(Refused {
                            reason: Refusal::NoTarget,
                            retry_after: OWNER_DELAY,
                            owner: from,
                        });
                    }
                    continue;
                };
                return Ok(permit);
            }
        }
    }
}

/// Grants of targets that are out or unknown here, after which a request is refused.
const MAX_STALE: usize = 4;
/// Shards whose owners are asked for one request. A refusal at the second one comes a round trip
/// later; more would hold requests that the whole pool has no room for.
const MAX_SHARDS: usize = 2;

/// Sends an offer until the owner decides. Returns nothing if the owner is silent.
async fn ask_owner(
    node: &Rc<Node>,
    owner: Ipv4Addr,
    msg: &OfferMsg,
    replies: &mut tokio::sync::mpsc::UnboundedReceiver<Reply>,
    wait: Duration,
) -> Option<Reply> {
    node.asked.borrow_mut().insert(owner, clock::now());
    if owner == node.settings.ip {
        node.offer(msg.clone().offer(node.own_run(msg.run)));
        let reply = timeout(wait + OWNER_DELAY, replies.recv()).await;
        return reply.ok().flatten();
    }
    let began = clock::now();
    let mut unanswered = 0;
    let mut pause = RESEND;
    while unanswered < RESENDS {
        node.send(owner, Body::Offer(msg.clone()));
        match timeout(pause, replies.recv()).await {
            Ok(Some(Reply::Queued)) => {
                unanswered = 0;
                pause = STILL_THERE;
                // Waits for the decision, and asks again if there is none.
                match timeout(pause, replies.recv()).await {
                    Ok(Some(Reply::Queued)) | Err(_) => {}
                    Ok(reply) => return reply,
                }
                if clock::now().saturating_sub(began) > wait + OWNER_DELAY {
                    return Some(Reply::Refused {
                        reason: Refusal::Busy,
                        retry_after: OWNER_DELAY,
                    });
                }
                pause = RESEND;
            }
            Ok(reply) => return reply,
            Err(_) => unanswered += 1,
        }
    }
    None
}

/// Checks a grant against what this member knows, right before the request is sent.
fn take_permit(node: &Rc<Node>, from: Ipv4Addr, run: u64, target: &str) -> Option<Permit> {
    let catalog = node.catalog.borrow();
    let Some(target) = catalog.target(target).filter(|t| catalog.is_open(t)) else {
        drop(catalog);
        node.release(from, run, &RunReport::of(RunEnd::Unused));
        return None;
    };
    let key = owner::target_key(target);
    let in_flight = InFlight {
        owner: from,
        target: key,
    };
    node.runs.borrow_mut().insert(run, in_flight);
    Some(Permit {
        node: Rc::clone(node),
        owner: from,
        run,
        target: target.clone(),
        key,
        report: RunReport::of(RunEnd::Cancelled),
    })
}

/// A shard and the number of shards. Those with more open targets are chosen more often, and none
/// that was tried.
fn choose_shard(node: &Node, pool: &str, tried: &[u32]) -> (u32, u32) {
    let catalog = node.catalog.borrow();
    let of_pool = || {
        let targets = catalog.targets().map(|(target, _)| target);
        targets.filter(|target| &*target.pool == pool)
    };
    let shards = owner::shards(of_pool().count());
    if shards == 1 {
        return (0, 1);
    }
    let open = of_pool().filter(|target| catalog.is_open(target));
    let shard = open
        .map(|target| owner::shard_of(&target.id, shards))
        .filter(|shard| !tried.contains(shard))
        .choose(&mut rand::rng());
    // Without open targets any owner may say so.
    let untried = || (0..shards).find(|shard| !tried.contains(shard));
    (shard.or_else(untried).unwrap_or(0), shards)
}

fn offer_msg(
    node: &Node,
    ask: &Ask,
    run: u64,
    (shard, shards): (u32, u32),
    wait: Duration,
    waited: Duration,
) -> OfferMsg {
    let token_counts = ask.token_counts.unwrap_or_default();
    OfferMsg {
        run,
        pool: ask.pool.to_string(),
        shard,
        shards,
        tier: ask.tier.into(),
        workspace: ask.workspace.as_deref().unwrap_or_default().to_owned(),
        prompt_tokens: token_counts.prompt_tokens,
        output_tokens: token_counts.output_tokens,
        counted: ask.token_counts.is_some(),
        session: ask.session,
        wait_ms: millis(wait),
        left_ms: millis(ask.left.saturating_sub(waited)),
        sends: ask.sends,
        avoid: ask.avoid.clone(),
        fingerprint: ask.fingerprint,
        zone: node.settings.zone.to_string(),
    }
}
