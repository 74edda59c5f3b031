//! Slow transfers go on and stalled ones end.

#[path = "../../admit/tests/support/mod.rs"]
mod support;

use std::time::Duration;

use gateway::{Progress, until_stalled};
use support::ms;
use tokio::time::{Instant, sleep};

const FIRST: Duration = ms(3200);
const MAX_STALL: Duration = ms(700);

/// Transfers `count` pieces of `bytes`, the first after `wait` and the others after `pause` each.
async fn transfer(progress: &Progress, wait: Duration, count: u32, bytes: usize, pause: Duration) {
    sleep(wait).await;
    for _ in 0..count {
        progress.record(bytes);
        sleep(pause).await;
    }
}

/// Guards against sound transfers that are cut because they are slow, and against stalled ones that
/// go on for as long as they move a byte now and then.
#[tokio::test(start_paused = true)]
async fn only_transfers_that_stall_are_given_up() {
    const KIB: usize = 1024;
    // The wait for the first piece, the pieces with their size and the pause after each, and the
    // longest time to the end if the transfer is given up.
    let cases = [
        ("at once", ms(0), 1, KIB, ms(0), None),
        (
            "1 MB at 1% of 10 Mbit/s, late",
            ms(3100),
            1000,
            KIB,
            ms(20),
            None,
        ),
        (
            "a large piece at a time",
            ms(0),
            20,
            64 * KIB,
            ms(600),
            None,
        ),
        ("silent", ms(3300), 1, KIB, ms(0), Some(ms(3200))),
        (
            "a byte now and then",
            ms(0),
            1000,
            1,
            ms(100),
            Some(ms(4000)),
        ),
        (
            "stalls midway",
            ms(0),
            2,
            64 * KIB,
            ms(5000),
            Some(ms(6500)),
        ),
    ];
    for (name, wait, count, bytes, pause, given_up) in cases {
        let progress = Progress::default();
        let started = Instant::now();

        let transfer = transfer(&progress, wait, count, bytes, pause);
        let ended = until_stalled(&progress, FIRST, MAX_STALL, transfer).await;

        assert_eq!(ended.is_none(), given_up.is_some(), "{name}");
        if let Some(limit) = given_up {
            assert!(
                started.elapsed() <= limit,
                "{name}: {:?}",
                started.elapsed()
            );
        }
    }
}
