//! The bound on the memory of all buffers together.

use gateway::{BufferBudget, Buffered, Reservation};
use proptest::prelude::*;

const MEMORY: usize = 8_000_000;
/// An eighth of the memory.
const LIMIT: usize = 1_000_000;
const PIECE: usize = 1000;

fn grow_until_full(reserved: &mut Reservation) -> usize {
    let mut bytes = 0;
    while reserved.grow(PIECE) {
        bytes += PIECE;
    }
    bytes
}

/// Guards against small buffers that find no room because a few large ones ask for more.
#[test]
fn large_buffers_leave_room_for_small_ones() {
    let budget = BufferBudget::for_memory(MEMORY);
    let mut large: Vec<Reservation> = (0..24).map(|_| budget.reserve()).collect();
    let sizes: Vec<usize> = large.iter_mut().map(grow_until_full).collect();

    let mut small = budget.reserve();

    assert!(budget.used() < LIMIT);
    assert!(sizes[0] >= LIMIT / 2 - PIECE, "a buffer alone gets half");
    assert!(small.grow(PIECE / 100));
    let mut largest = large.swap_remove(0);
    assert!(!largest.grow(PIECE));
}

#[test]
fn bytes_count_until_they_are_given_out() {
    let budget = BufferBudget::for_memory(MEMORY);
    let mut reserved = budget.reserve();
    assert!(reserved.grow(100_000));
    let mut buffered = Buffered::new(vec![1; 60_000].into(), reserved.split(60_000));
    drop(reserved);
    assert_eq!(budget.used(), 60_000);

    let mut pieces = Vec::new();
    while let Some(piece) = buffered.next_piece() {
        assert!(budget.used() == 60_000 || buffered.is_empty());
        pieces.push(piece);
    }

    assert_eq!(pieces.concat(), vec![1; 60_000]);
    assert_eq!(budget.used(), 0);
}

#[derive(Clone, Debug)]
enum Op {
    Grow(usize, usize),
    Split(usize, usize),
    Drop(usize),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let at = 0..8_usize;
    let op = prop_oneof![
        (at.clone(), 0..300_000_usize).prop_map(|(at, bytes)| Op::Grow(at, bytes)),
        (at.clone(), 0..300_000_usize).prop_map(|(at, bytes)| Op::Split(at, bytes)),
        at.prop_map(Op::Drop),
    ];
    prop::collection::vec(op, 0..200)
}

proptest! {
    /// The sum of what was reserved is what counts, and never above the limit.
    #[test]
    fn the_sum_is_bounded(ops in ops()) {
        let budget = BufferBudget::for_memory(MEMORY);
        let mut held: Vec<(Reservation, usize)> = (0..8).map(|_| (budget.reserve(), 0)).collect();
        for op in ops {
            match op {
                Op::Grow(at, bytes) => {
                    let (reserved, size) = &mut held[at];
                    if reserved.grow(bytes) {
                        *size += bytes;
                    }
                }
                Op::Split(at, bytes) => {
                    let (reserved, size) = &mut held[at];
                    let part = reserved.split(bytes);
                    *size -= bytes.min(*size);
                    drop(part);
                }
                Op::Drop(at) => held[at] = (budget.reserve(), 0),
            }
            let sum: usize = held.iter().map(|(_, size)| size).sum();
            prop_assert_eq!(budget.used(), sum);
            prop_assert!(sum <= LIMIT);
        }
    }
}
