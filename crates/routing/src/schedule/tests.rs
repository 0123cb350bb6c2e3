//! Which of several times counts, and that the others are not kept.

use super::*;

#[test]
fn earliest_time_counts_once_and_cleared_slots_never() {
    let mut schedule = Schedule::default();
    schedule.set(3, 20.0);
    schedule.set(1, 10.0);
    schedule.set(3, 5.0);
    schedule.set(3, 30.0);
    schedule.set(2, 7.0);
    schedule.clear(2);
    assert_eq!(schedule.pop(4.0), None);
    let all: Vec<u32> = std::iter::from_fn(|| schedule.pop(100.0)).collect();
    assert_eq!(all, [3, 1]);
}

#[test]
fn superseded_times_are_not_kept() {
    let mut schedule = Schedule::default();
    for i in 0..100_000 {
        schedule.set(i % 4, 1_000_000.0 - f64::from(i));
        schedule.clear(i % 4);
    }
    assert!(schedule.heap.len() <= 2 * 4 + 65, "{}", schedule.heap.len());
    assert_eq!(schedule.pop(2_000_000.0), None);
}
