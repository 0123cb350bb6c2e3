//! Superseded and cleared times of a slot: they never come due and do not accumulate.

use super::*;

#[test]
fn slot_is_due_once_at_its_earliest_time() {
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
fn superseded_times_do_not_accumulate() {
    let mut schedule = Schedule::default();
    for i in 0..100_000 {
        schedule.set(i % 4, 1_000_000.0 - f64::from(i));
        schedule.clear(i % 4);
    }
    assert!(schedule.heap.len() <= 2 * 4 + 65, "{}", schedule.heap.len());
    assert_eq!(schedule.pop(2_000_000.0), None);
}
