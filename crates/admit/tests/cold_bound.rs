//! Sends of several owners to a target that has turned cold, which some of them don't know.

mod support;

use std::time::Duration;

use admit::{Catalog, Change, Decision, FleetView, LimitShare, Owner, RunEnd, RunReport, Target};
use support::{COLD_PER_S, listing, ms, offer, settings};

const STEP: Duration = Duration::from_millis(10);
/// The owners have been at work for this long before the first event.
const WARM_UP: Duration = Duration::from_secs(6);
/// The target is observed for this long after the last event.
const OBSERVED: Duration = Duration::from_millis(1200);
const WINDOW: Duration = Duration::from_secs(1);
/// What a cold target bears in a window.
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
/// Offers that each deciding owner gets in a step, more than any target may get.
const OFFERS: u64 = 4;
/// Runs that the target can hold at once, so that only the bound limits it.
const SLOTS: u32 = 200;

/// What happens, in any order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The target becomes cold. Only the owner that decides then learns of it.
    TurnsCold,
    /// The next owner, which is at work already, replaces the one that decides.
    OwnerChanges,
    /// A member starts, and replaces the owner that decides after it has met the others.
    MemberStarts,
    /// The store returns from a copy without the cold start: who knew of it takes the target for warm.
    StoreReturns,
}

const EVENTS: [Event; 4] = [
    Event::TurnsCold,
    Event::OwnerChanges,
    Event::MemberStarts,
    Event::StoreReturns,
];

struct Member {
    owner: Owner,
    catalog: Catalog,
    started_at: Duration,
    next_run: u64,
}

impl Member {
    fn start(now: Duration) -> Self {
        let mut catalog = Catalog::new(Duration::from_secs(2));
        catalog.apply_listing(now, listing(1, SLOTS));
        let mut owner = Owner::new(now, settings([127, 0, 0, 1].into()));
        owner.apply_catalog(now, &catalog);
        Member {
            owner,
            catalog,
            started_at: now,
            next_run: 0,
        }
    }

    fn apply(&mut self, now: Duration, target: Target) {
        self.catalog
            .apply_changes(now, vec![Change::Target(target)]);
        self.owner.apply_catalog(now, &self.catalog);
    }

    /// Lets the member decide for a step as the first owner or not. Returns the number of sends.
    fn decide(&mut self, now: Duration, is_first_owner: bool) -> usize {
        let view = match now.saturating_sub(self.started_at) {
            age if age < ms(100) => FleetView::Joining,
            _ => FleetView::Settled,
        };
        let limit_share = LimitShare {
            share: 1.0,
            cold_share: 1.0,
            member_share: 1.0 / 3.0,
            is_first_owner,
            view,
        };
        self.owner.set_limit_shares(now, vec![limit_share]);
        if !is_first_owner {
            return 0;
        }
        for _ in 0..OFFERS {
            let offer = offer(1, self.next_run);
            self.next_run += 1;
            self.owner.offer(now, &self.catalog, offer);
        }
        let mut sends = 0;
        for decision in self.owner.poll(now) {
            if let Decision::Grant { id, .. } = decision {
                sends += 1;
                let served = RunReport::of(RunEnd::Served);
                self.owner.release(now, id, &served);
            }
        }
        sends
    }
}

fn cold_target(now: Duration, cold: Duration) -> Target {
    let mut target = support::target("t-0", SLOTS);
    target.cold = cold;
    target.sequence = 2 + u64::try_from(now.as_millis()).expect("a short time");
    target
}

/// Plays the events with the given pauses between them. For `overlap` after a change the former owner
/// goes on deciding as well. Returns the most sends in any window.
fn play(events: &[Event], pauses: &[Duration], overlap: Duration) -> usize {
    let mut members = vec![Member::start(Duration::ZERO), Member::start(Duration::ZERO)];
    let mut deciding = 0;
    let mut former: Option<(usize, Duration)> = None;
    let mut due: Vec<(Duration, Event)> = Vec::new();
    let mut at = WARM_UP;
    for (&event, &pause) in events.iter().zip(pauses) {
        at += pause;
        due.push((at, event));
    }
    let end = at + OBSERVED;
    let mut sends: Vec<Duration> = Vec::new();
    let mut now = Duration::ZERO;
    while now < end {
        now += STEP;
        while due.first().is_some_and(|&(at, _)| at <= now) {
            let (_, event) = due.remove(0);
            match event {
                Event::TurnsCold => {
                    let cold = cold_target(now, Duration::from_secs(3));
                    members[deciding].apply(now, cold);
                }
                Event::StoreReturns => {
                    for member in &mut members {
                        member.apply(now, cold_target(now, Duration::ZERO));
                    }
                }
                Event::OwnerChanges => {
                    former = Some((deciding, now + overlap));
                    deciding = (deciding + 1) % 2;
                }
                Event::MemberStarts => {
                    former = Some((deciding, now + overlap));
                    members.push(Member::start(now));
                    deciding = members.len() - 1;
                }
            }
        }
        for (at, member) in members.iter_mut().enumerate() {
            let is_former = former.is_some_and(|(former, until)| former == at && now < until);
            let count = member.decide(now, at == deciding || is_former);
            sends.extend(std::iter::repeat_n(now, count));
        }
    }
    let in_window = |from: &Duration| {
        let until = *from + WINDOW;
        sends
            .iter()
            .filter(|at| *at >= from && **at < until)
            .count()
    };
    sends.iter().map(in_window).max().unwrap_or(0)
}

fn orders() -> Vec<Vec<Event>> {
    let mut orders = vec![Vec::new()];
    for _ in EVENTS {
        let longer = |order: Vec<Event>| {
            let rest = EVENTS.iter().filter(|event| !order.contains(event));
            let rest: Vec<Event> = rest.copied().collect();
            rest.into_iter()
                .map(move |event| [order.clone(), vec![event]].concat())
        };
        orders = orders.into_iter().flat_map(longer).collect();
    }
    orders
}

fn count(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small count"))
}

/// Guards against three owners that follow each other within a second and together send more than a
/// cold target bears, whoever knows that it is cold.
#[test]
fn three_owners_stay_within_the_bound_in_any_order_of_events() {
    for order in orders() {
        for pauses in [
            [0, 0, 0, 0],
            [0, 130, 0, 130],
            [50, 300, 300, 300],
            [0, 120, 450, 250],
        ] {
            for overlap in [0, 50] {
                let pauses = pauses.map(ms);

                let most = play(&order, &pauses, ms(overlap));

                assert!(
                    count(most) <= BOUND,
                    "{most} of {BOUND} sends: {order:?} {pauses:?}, overlap {overlap} ms"
                );
            }
        }
    }
}

/// Guards against a bound that is kept by serving nobody: an owner alone can use most of it, also in the
/// first second after it has replaced another process.
#[test]
fn an_owner_can_use_most_of_the_bound() {
    let alone = play(&[], &[], Duration::ZERO);
    let started = play(&[Event::MemberStarts], &[Duration::ZERO], Duration::ZERO);

    for (name, most) in [("alone", alone), ("started", started)] {
        assert!(count(most) >= BOUND * 0.5, "{name}: {most} of {BOUND}");
    }
}
