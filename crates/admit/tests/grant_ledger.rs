//! Owners learn from entries what other owners gave out of a rate.

mod support;

use std::net::Ipv4Addr;
use std::time::Duration;

use admit::{
    Catalog, Decision, FleetView, GrantLedger, GrantedElsewhere, LimitShare, Name, Offer, Owner,
    Refusal, RunEnd, RunReport, TokenCounts,
};
use support::{RATE, RATE_SLACK, listing_without_cold_limit, ms, offer, settings};

const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const ENTRY: u64 = 7;
const WHOLE_SHARE: LimitShare = LimitShare {
    share: 1.0,
    cold_share: 1.0,
    member_share: 1.0,
    is_first_owner: true,
    view: FleetView::Settled,
};
/// Largest burst that an owner gives out.
const BURST: f64 = RATE * 1.2 + RATE_SLACK * 0.4;

fn salon() -> Name {
    Name::from("salon")
}

fn units(granted: &[GrantedElsewhere]) -> f64 {
    granted.iter().map(|granted| granted.units).sum()
}

/// Guards against an owner that is told of a grant twice, or never.
#[test]
fn an_owner_is_told_once_what_others_granted() {
    let mut ledger = GrantLedger::default();
    let mut now = ms(100_000);
    // Who is asked, what it is told, and what it then grants.
    let rows = [
        (FIRST, 0.0, 10.0),
        (FIRST, 0.0, 5.0),
        (SECOND, 15.0, 20.0),
        (SECOND, 0.0, 1.0),
        (FIRST, 21.0, 2.0),
        (SECOND, 2.0, 4.0),
        (FIRST, 4.0, 0.0),
    ];
    for (at, (owner, told, granted)) in rows.into_iter().enumerate() {
        now += ms(30);
        let (report, _) = ledger.report(now, &salon(), owner);
        ledger.record(now, &salon(), owner, granted);

        assert!(
            (units(&report) - told).abs() < f64::EPSILON,
            "row {at}: {report:?}"
        );
    }

    let (other, _) = ledger.report(now, &Name::from("other"), SECOND);
    assert_eq!(other, [], "another workspace");
}

/// Guards against grants that an owner never learns of, as its reply to the report was lost.
#[test]
fn a_report_without_reply_is_repeated() {
    let mut ledger = GrantLedger::default();
    ledger.record(ms(100), &salon(), FIRST, 10.0);

    let (first, open) = ledger.report(ms(200), &salon(), SECOND);
    ledger.undo(&salon(), open);
    let (second, _) = ledger.report(ms(300), &salon(), SECOND);
    let (third, _) = ledger.report(ms(400), &salon(), SECOND);

    for report in [first, second] {
        assert!((units(&report) - 10.0).abs() < f64::EPSILON, "{report:?}");
    }
    assert_eq!(third, []);
}

/// Guards against memory and offers that grow with the number of grants.
#[test]
fn the_ledger_is_bounded() {
    const OWNERS: u8 = 10;
    let mut ledger = GrantLedger::default();
    let mut now = Duration::ZERO;
    for at in 0..100_000_u32 {
        now += ms(1);
        let [.., at] = (at % u32::from(OWNERS)).to_be_bytes();
        ledger.record(now, &salon(), Ipv4Addr::new(10, 0, 0, 1 + at), 1.0);
    }

    let (report, _) = ledger.report(now, &salon(), FIRST);

    assert!(report.len() <= 90, "{} slots", report.len());
    let total = units(&report);
    assert!((7_100.0..=7_300.0).contains(&total), "{total} in 8 s");
}

struct Fixture {
    catalog: Catalog,
    owner: Owner,
    now: Duration,
    next_run: u64,
}

fn fixture() -> Fixture {
    let mut catalog = Catalog::new(Duration::from_secs(2));
    catalog.apply_listing(Duration::ZERO, listing_without_cold_limit(4, 100));
    let mut owner = Owner::new(Duration::ZERO, settings(FIRST));
    owner.apply_catalog(Duration::ZERO, &catalog);
    Fixture {
        catalog,
        owner,
        now: ms(100_000),
        next_run: 0,
    }
}

impl Fixture {
    fn offer(&mut self, tokens: u32) -> Offer {
        self.next_run += 1;
        let mut offer = offer(ENTRY, self.next_run);
        offer.workspace = Some(salon());
        offer.token_counts = Some(TokenCounts {
            prompt_tokens: tokens,
            output_tokens: 0,
        });
        offer
    }

    /// Submits an offer with a report. Returns whether it is refused for the rate.
    fn is_refused(&mut self, offer: Offer, elsewhere: &[GrantedElsewhere]) -> bool {
        self.owner.set_limit_shares(self.now, vec![WHOLE_SHARE]);
        self.owner
            .learn_grants(self.now, &self.catalog, &offer, elsewhere);
        self.owner.offer(self.now, &self.catalog, offer);
        let decisions = self.owner.poll(self.now);
        let mut refused = false;
        for decision in decisions {
            match decision {
                Decision::Grant { id, .. } => {
                    let served = RunReport::of(RunEnd::Served);
                    self.owner.release(self.now, id, &served);
                }
                Decision::Refuse { reason, .. } => refused |= reason == Refusal::Rate,
            }
        }
        refused
    }

    /// Submits offers at a part of the rate for 8 s. Returns how many are refused for it.
    fn refused_at(&mut self, part: f64) -> usize {
        const TOKENS: u32 = 2_000;
        let interval = Duration::from_secs_f64(f64::from(TOKENS) / (RATE * part));
        let end = self.now + Duration::from_secs(8);
        let mut refused = 0;
        while self.now < end {
            let offer = self.offer(TOKENS);
            refused += usize::from(self.is_refused(offer, &[]));
            self.now += interval;
        }
        refused
    }
}

/// What an owner gave out at a part of the rate until now.
fn granted_at(part: f64) -> Vec<GrantedElsewhere> {
    let slots = (0..80).map(|at| GrantedElsewhere {
        age: ms(100 * at),
        units: RATE * part / 10.0,
    });
    slots.collect()
}

/// Guards against a workspace within its rate that is refused after each change of its owner, as the new one
/// counts what others granted too strictly.
#[test]
fn a_workspace_within_its_rate_is_not_refused_after_a_change_of_owner() {
    for part in [0.3, 0.6, 0.9] {
        for was_owner_before in [false, true] {
            let mut fixture = fixture();
            if was_owner_before {
                fixture.refused_at(part);
                fixture.now += Duration::from_secs(8);
            }
            let offer = fixture.offer(2_000);
            let mut refused = usize::from(fixture.is_refused(offer, &granted_at(part)));

            refused += fixture.refused_at(part);

            // The effective rate is 1.15 of the stated one; a debt is made up for meanwhile.
            assert!(
                refused <= 4,
                "{part}, {was_owner_before}: {refused} refused"
            );
        }
    }
}

/// Guards against a former owner that gives out a full burst after another one gave out the whole rate, and
/// against a report that counts twice because its offer was sent again.
#[test]
fn a_former_owner_counts_what_another_one_granted_once() {
    let mut fixture = fixture();
    let first = fixture.offer(1);
    assert!(!fixture.is_refused(first, &[]));
    fixture.now += Duration::from_secs(10);
    let elsewhere = [GrantedElsewhere {
        age: ms(500),
        units: BURST / 2.0,
    }];
    let large = fixture.offer(4_000_000);

    // It takes the whole burst, which is no longer at hand.
    assert!(fixture.is_refused(large.clone(), &elsewhere));
    assert!(fixture.is_refused(large, &elsewhere));

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small figure"
    )]
    let rest = (BURST / 2.0) as u32;
    let offer = fixture.offer(rest - 1000);
    assert!(!fixture.is_refused(offer, &[]));
    let offer = fixture.offer(2000);
    assert!(fixture.is_refused(offer, &[]));
}
