//! Cost of a reservation and its settlement. The goal for a reservation is at most 1 us.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use limit::{Limit, Name, Shares, Timing};

const WORKSPACES: usize = 2_700;

fn shares(parts: u16) -> (Shares, Vec<Name>) {
    let timing = Timing {
        propagation: Duration::from_secs(5),
        hold_down: Duration::from_secs(20),
    };
    let limit = Limit {
        rate: 1_000_000,
        burst: 100_000_000,
    };
    let names: Vec<Name> = (0..WORKSPACES)
        .map(|i| Name::from(format!("workspace-{i}")))
        .collect();
    let mut shares = Shares::new(1, timing);
    shares.configure(Duration::ZERO, names.iter().map(|n| (n.clone(), limit)));
    for ws in &names {
        for number in 0..parts {
            shares.start_part(Duration::ZERO, ws, number, 1);
        }
    }
    (shares, names)
}

fn bench(c: &mut Criterion) {
    for parts in [1, 32] {
        let (mut shares, names) = shares(parts);
        let mut now = Duration::from_secs(100);
        let mut i = 0;
        c.bench_function(&format!("reserve+settle/{parts} parts"), |b| {
            b.iter(|| {
                now += Duration::from_micros(10);
                i = (i + 997) % WORKSPACES;
                let reservation = shares.reserve(now, &names[i], black_box(2_000));
                let reservation = reservation.expect("the parts are nearly full");
                shares.settle(now, reservation, black_box(300));
            });
        });
        // Models many requests in flight: each one is settled 1,000 reservations later, in order of
        // admission.
        c.bench_function(&format!("1,000 reserve, 1,000 settle/{parts} parts"), |b| {
            b.iter_batched(
                || Vec::with_capacity(1_000),
                |mut open| {
                    for _ in 0..1_000 {
                        now += Duration::from_micros(10);
                        i = (i + 997) % WORKSPACES;
                        open.extend(shares.reserve(now, &names[i], black_box(2_000)));
                    }
                    assert_eq!(open.len(), 1_000);
                    for reservation in open {
                        shares.settle(now, reservation, black_box(300));
                    }
                },
                BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
