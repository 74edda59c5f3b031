//! Retry times of refused callers.

mod support;

use std::time::Duration;

use admit::{Catalog, Decision, Owner, Refusal, RunEnd, RunId, RunReport};
use support::{listing, ms, offer, settings};

/// Guards against callers that all get the same retry time and are refused again together.
#[test]
fn refused_callers_get_increasing_retry_times() {
    let mut catalog = Catalog::new(Duration::from_secs(2));
    catalog.apply_listing(Duration::ZERO, listing(1, 1));
    let mut owner = Owner::new(Duration::ZERO, settings([127, 0, 0, 1].into()));
    owner.apply_catalog(Duration::ZERO, &catalog);
    // Runs of 100 ms in sequence show the owner how fast its queue moves.
    for run in 0..80 {
        let now = ms(2000 + run * 100);
        owner.offer(now, &catalog, offer(1, run));
        owner.poll(now);
        let report = RunReport::of(RunEnd::Served);
        owner.release(now + ms(100), RunId { entry: 1, run }, &report);
    }
    let now = ms(10_100);
    owner.offer(now, &catalog, offer(1, 1000));
    owner.poll(now);

    let mut retry_times = Vec::new();
    for run in 1001..1030 {
        owner.offer(now, &catalog, offer(1, run));
        for decision in owner.poll(now) {
            if let Decision::Refuse {
                reason,
                retry_after,
                ..
            } = decision
            {
                assert_eq!(reason, Refusal::Busy);
                retry_times.push(retry_after);
            }
        }
    }

    assert!(retry_times.len() > 10, "{retry_times:?}");
    assert!(retry_times.is_sorted());
    assert!(retry_times.last() > retry_times.first().map(|first| *first * 3).as_ref());
}
