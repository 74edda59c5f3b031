//! Leases of a workspace's rate, between the owner of a shard and the holder of the rate.

mod support;

use std::net::Ipv4Addr;
use std::time::Duration;

use admit::{
    Catalog, Change, Decision, FleetView, HolderShares, LeaseEvent, LeaseReply, LeaseRequest,
    LimitShare, Offer, Owner, Refusal, RunId, TokenCounts,
};
use support::{RATE, RATE_SLACK, config, listing_without_cold_limit, ms, offer, settings};

/// Targets of a pool with four shards.
const TARGETS: usize = 120;
const OWNER_IP: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const HOLDER_IP: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const OWNER: u64 = 7;
/// Burst that a holder of the whole rate starts with: a quarter of the effective one.
const START: f64 = (RATE * 1.2 + RATE_SLACK * 0.4) / 4.0;
const QUARTER_SHARE: LimitShare = LimitShare {
    share: 1.0,
    cold_share: 1.0,
    member_share: 0.25,
    is_first_owner: true,
    view: FleetView::Settled,
};

/// An owner of one of four shards, and the holder of the rate.
struct Pair {
    catalog: Catalog,
    owner: Owner,
    holder: Owner,
}

fn pair() -> Pair {
    let mut catalog = Catalog::new(Duration::from_secs(2));
    let listing = listing_without_cold_limit(TARGETS, 100);
    catalog.apply_listing(Duration::ZERO, listing);
    let member = |ip| {
        let mut owner = Owner::new(Duration::ZERO, settings(ip));
        owner.apply_catalog(Duration::ZERO, &catalog);
        owner.set_limit_shares(ms(1), vec![QUARTER_SHARE]);
        owner.set_rate_holder("salon".into(), Some(HOLDER_IP));
        owner
    };
    Pair {
        owner: member(OWNER_IP),
        holder: member(HOLDER_IP),
        catalog,
    }
}

fn sized(run: u64, tokens: u32) -> Offer {
    let mut offer = offer(1, run);
    offer.workspace = Some("salon".into());
    offer.token_counts = Some(TokenCounts {
        prompt_tokens: tokens,
        output_tokens: 0,
    });
    offer
}

impl Pair {
    fn offer(&mut self, now: Duration, run: u64, tokens: u32) {
        self.owner.offer(now, &self.catalog, sized(run, tokens));
    }

    fn requests(&mut self) -> Vec<LeaseRequest> {
        let requests = self.owner.take_lease_requests();
        assert!(requests.iter().all(|&(to, _)| to == HOLDER_IP));
        requests.into_iter().map(|(_, request)| request).collect()
    }

    fn reply(&mut self, now: Duration, request: &LeaseRequest) -> LeaseReply {
        let reply = self.holder.lease_rate(now, &self.catalog, OWNER, request);
        reply.expect("an answered request")
    }

    /// Delivers all requests and replies at once.
    fn exchange(&mut self, now: Duration) {
        for request in self.requests() {
            let reply = self.reply(now, &request);
            assert!(self.owner.apply_lease(now, HOLDER_IP, &reply));
        }
    }

    /// Units that the holder can still give out at once.
    fn left(&mut self, now: Duration) -> f64 {
        let fits = |holder: &mut Owner, units: f64, seq: u64, catalog: &Catalog| {
            let request = request(seq, &[units], 0.0, 0.0);
            let reply = holder.lease_rate(now, catalog, 99, &request);
            reply.expect("an answered request").waits[0].is_zero()
        };
        let mut seq = u64::try_from(now.as_micros()).expect("a small number");
        let mut taken = 0.0;
        for size in [10_000.0, 1000.0, 100.0, 10.0] {
            while {
                seq += 1;
                fits(&mut self.holder, size, seq, &self.catalog)
            } {
                taken += size;
            }
        }
        taken
    }
}

fn request(seq: u64, units: &[f64], ahead: f64, returned: f64) -> LeaseRequest {
    LeaseRequest {
        workspace: "salon".into(),
        seq,
        units: units.to_vec(),
        ahead,
        returned,
    }
}

fn refusals(decisions: &[Decision]) -> Vec<(u64, Refusal, Duration, bool)> {
    let refusals = decisions.iter().filter_map(|decision| match *decision {
        Decision::Refuse {
            id,
            reason,
            retry_after,
            is_final,
        } => Some((id.run, reason, retry_after, is_final)),
        Decision::Grant { .. } => None,
    });
    refusals.collect()
}

fn grants(decisions: &[Decision]) -> usize {
    let is_grant = |decision: &&Decision| matches!(decision, Decision::Grant { .. });
    decisions.iter().filter(is_grant).count()
}

fn near(left: f64, right: f64) -> bool {
    (left - right).abs() < 20.0
}

/// Guards against offers refused within the rate because the tokens are with another owner, as with
/// parts of the rate: a quarter of the initial burst holds no request of this size.
#[test]
fn an_offer_waits_for_the_holder_and_is_granted() {
    let mut pair = pair();

    pair.offer(ms(10), 1, 50_000);
    let before = grants(&pair.owner.poll(ms(10)));
    let is_queued = pair.owner.is_queued(RunId { entry: 1, run: 1 });
    pair.exchange(ms(11));

    assert!(before == 0 && is_queued);
    assert_eq!(grants(&pair.owner.poll(ms(11))), 1);
}

/// Guards against tokens granted twice, by a holder that charges a repeated request again or an
/// owner that applies a reply that it did not ask for.
#[test]
fn repeated_late_and_foreign_messages_grant_nothing() {
    let mut pair = pair();
    pair.offer(ms(10), 1, 10_000);
    let request = pair.requests().remove(0);
    let reply = pair.reply(ms(11), &request);
    assert_eq!(pair.reply(ms(12), &request), reply);
    let changed = |change: &dyn Fn(&mut LeaseReply)| {
        let mut other = reply.clone();
        change(&mut other);
        other
    };
    let rejected = [
        (OWNER_IP, reply.clone()),
        (HOLDER_IP, changed(&|reply| reply.seq += 1)),
        (HOLDER_IP, changed(&|reply| reply.ahead = 1e12)),
        (HOLDER_IP, changed(&|reply| reply.ahead = f64::NAN)),
        (HOLDER_IP, changed(&|reply| reply.waits.clear())),
        (HOLDER_IP, changed(&|reply| reply.workspace = "x".into())),
    ];

    for (from, reply) in rejected {
        assert!(!pair.owner.apply_lease(ms(12), from, &reply), "{reply:?}");
    }
    assert!(pair.owner.apply_lease(ms(12), HOLDER_IP, &reply));
    assert!(!pair.owner.apply_lease(ms(12), HOLDER_IP, &reply));

    assert_eq!(grants(&pair.owner.poll(ms(12))), 1);
    let spent = 10_000.0 + reply.ahead;
    let refilled = 0.002 * RATE * 1.15;
    assert!(near(pair.left(ms(13)), START - spent + refilled));
}

/// Guards against messages that make the holder give out more than it has.
#[test]
fn implausible_requests_change_nothing() {
    let table = [
        ("not a number", request(1, &[f64::NAN], 0.0, 0.0)),
        ("negative", request(1, &[-5000.0], 0.0, 0.0)),
        ("infinite return", request(1, &[], 0.0, f64::INFINITY)),
        ("huge", request(1, &[], 1e300, 0.0)),
        ("too many", request(1, &[1.0; 65], 0.0, 0.0)),
    ];
    for (name, bad) in table {
        let mut pair = pair();
        let reply = pair.holder.lease_rate(ms(10), &pair.catalog, OWNER, &bad);
        assert!(reply.is_err(), "{name}");
        assert!(near(pair.left(ms(10)), START), "{name}");
    }
    // What was never leased can't be returned.
    let mut pair = pair();
    pair.reply(ms(10), &request(1, &[], 0.0, 50_000.0));
    assert!(near(pair.left(ms(10)), START));
}

/// Guards against refusals without a usable time to retry, and against entries that ask another
/// shard about a rate that is used up everywhere.
#[test]
fn a_refusal_of_the_holder_is_final_and_names_the_time() {
    let mut pair = pair();
    pair.offer(ms(10), 1, u32_of(START + 115_000.0));

    pair.exchange(ms(10));

    // 115,000 tokens at 230,000 a second.
    let refused = refusals(&pair.owner.poll(ms(10)));
    let [(1, Refusal::Rate, wait, true)] = refused[..] else {
        panic!("{refused:?}");
    };
    assert!((ms(495)..ms(505)).contains(&wait), "{wait:?}");
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small number"
)]
fn u32_of(units: f64) -> u32 {
    units as u32
}

/// Guards against offers that are lost, or wait on, when the holder does not reply, and against a
/// request to it for each of them.
#[test]
fn an_owner_falls_back_after_two_unanswered_messages_and_asks_again_after_a_second() {
    let mut pair = pair();
    let mut sent = Vec::new();
    let mut fell_back_at = None;
    let mut decided = 0;
    for step in 0..110 {
        let now = ms(10 + step * 10);
        pair.offer(now, step, 10);
        decided += pair.owner.poll(now).len();
        sent.extend(
            pair.requests()
                .into_iter()
                .map(|request| (now, request.seq)),
        );
        let events = pair.owner.take_lease_events();
        let is_fallback = |event: &LeaseEvent| matches!(event, LeaseEvent::FellBack { .. });
        if events.iter().any(is_fallback) {
            fell_back_at.get_or_insert(now);
        }
    }

    assert_eq!(fell_back_at, Some(ms(90)));
    assert_eq!(sent, [(ms(10), 1), (ms(50), 1), (ms(1090), 2)]);
    assert_eq!(decided, 110);
    let reply = pair.reply(ms(1100), &request(2, &[], 0.0, 0.0));
    assert!(pair.owner.apply_lease(ms(1100), HOLDER_IP, &reply));
    let events = pair.owner.take_lease_events();
    assert!(
        matches!(events[..], [LeaseEvent::Restored { .. }]),
        "{events:?}"
    );
}

/// Guards against an offer that a resend charges again, that is decided after its withdrawal, or
/// that is kept beyond its wait.
#[test]
fn waiting_offers_are_charged_once_withdrawn_and_refused_in_time() {
    let mut pair = pair();
    let mut short = sized(3, 1000);
    short.max_wait = ms(45);
    for run in [1, 1, 2] {
        pair.offer(ms(10), run, 1000);
    }
    pair.owner.offer(ms(10), &pair.catalog, short);
    pair.owner.withdraw(ms(20), RunId { entry: 1, run: 2 });

    let refused = refusals(&pair.owner.poll(ms(55)));
    assert!(
        matches!(refused[..], [(3, Refusal::Rate, _, false)]),
        "{refused:?}"
    );
    let first = pair.requests().remove(0);
    let reply = pair.reply(ms(56), &first);
    assert!(pair.owner.apply_lease(ms(56), HOLDER_IP, &reply));
    pair.exchange(ms(57));
    let decisions = pair.owner.poll(ms(57));

    assert_eq!((grants(&decisions), decisions.len()), (1, 1));
}

/// Guards against tokens that stay with an owner that no longer needs them, and against a burst that
/// grows by what is leased.
#[test]
fn unused_tokens_return_after_half_a_second_and_count_as_burst_until_then() {
    let mut pair = pair();
    for run in 0..8 {
        pair.offer(ms(10 + run), run, 2000);
        pair.exchange(ms(10 + run));
    }
    pair.owner.poll(ms(20));
    pair.owner.take_lease_events();

    let mut returned = 0.0;
    for step in 0..60 {
        let now = ms(30 + step * 10);
        pair.owner.poll(now);
        pair.exchange(now);
        for event in pair.owner.take_lease_events() {
            if let LeaseEvent::Returned(tokens) = event {
                returned += tokens;
            }
        }
    }

    assert!(returned > 2000.0, "{returned} tokens");
    assert!(!pair.owner.has_queued());
}

/// Guards against a holder that keeps the burst or the fill of a former rate or share.
#[test]
fn a_lower_limit_and_a_smaller_share_take_effect_at_once() {
    let mut lowered = config(2);
    let rate = lowered.workspaces[0].rate.as_mut().expect("a rate");
    rate.per_s /= 100.0;
    rate.burst = 0.0;
    let full = Duration::from_secs(10);
    let member_share = HolderShares {
        holder: 0.1,
        member: 0.1,
    };
    let burst = START * 4.0;

    let mut lower = pair();
    lower.left(ms(10));
    lower
        .catalog
        .apply_changes(full, vec![Change::Config(lowered)]);
    lower.holder.apply_catalog(full, &lower.catalog);
    assert!(near(lower.left(full), RATE_SLACK * 0.4));

    let mut cut_off = pair();
    cut_off.left(ms(10));
    cut_off
        .holder
        .set_holder_shares(full, member_share, |_| true);
    cut_off
        .holder
        .set_rate_holder("salon".into(), Some(HOLDER_IP));
    assert!(near(cut_off.left(full), burst * 0.1));

    // A former holder that becomes the holder again has not been filled up in between.
    let whole = HolderShares {
        holder: 1.0,
        member: 0.1,
    };
    let mut former = pair();
    former.left(ms(10));
    former.holder.set_holder_shares(ms(10), whole, |_| false);
    former.holder.set_holder_shares(full, whole, |_| true);
    former
        .holder
        .set_rate_holder("salon".into(), Some(HOLDER_IP));
    assert!(near(former.left(full), burst * 0.1));
}
