//! The polls of one gateway.

use std::time::Duration;

use cold_start::{AdaptiveShare, PollOutcome, PollSchedule, SlotSchedule, MIN_SHARE};

/// In the middle of a round of 300 gateways at 50 calls a second, 6.67 s.
const NOW_MS: f64 = 1_764_000_123_457.0;

fn calls() -> PollSchedule {
    PollSchedule::new(SlotSchedule::new(7, 300, 50.0))
}

fn round_ms() -> f64 {
    SlotSchedule::new(7, 300, 50.0).round().as_secs_f64() * 1_000.0
}

#[test]
fn observes_retry_after_up_to_a_minute() {
    for (asked_s, least_ms) in [(20, 20_000.0), (3_600, 60_000.0)] {
        let mut calls = calls();
        let call = calls.next_poll(NOW_MS);
        let answered = call.at_ms + 5.0;
        calls.poll_ended(answered, PollOutcome::Rejected(Some(Duration::from_secs(asked_s))));
        let next = calls.next_poll(answered);
        let after = next.at_ms - answered;
        assert!(after >= least_ms && after <= least_ms + round_ms() + 23.0, "{after} ms after {asked_s} s");
    }
}

#[test]
fn watch_ends_just_before_the_slot_of_the_next() {
    let mut calls = calls();
    let first = calls.next_poll(NOW_MS);
    assert_eq!(first.wait, Duration::ZERO, "the first is to be answered at once");
    calls.poll_ended(first.at_ms + 20.0, PollOutcome::Unchanged);
    let mut watch = calls.next_poll(first.at_ms + 20.0);
    for _ in 0..20 {
        let wait_ms = watch.wait.as_secs_f64() * 1_000.0;
        assert!(wait_ms > 1.9 * round_ms() && wait_ms < 2.1 * round_ms(), "{wait_ms}");
        let ended = watch.at_ms + wait_ms + 20.0;
        calls.poll_ended(ended, PollOutcome::Unchanged);
        let next = calls.next_poll(ended);
        assert!((0.0..200.0).contains(&(next.at_ms - ended)), "a pause of {} ms", next.at_ms - ended);
        watch = next;
    }
}

/// A change ends all watches at once; the gateways must not poll again at once.
#[test]
fn watch_after_an_update_begins_in_the_next_slot() {
    let mut calls = calls();
    let first = calls.next_poll(NOW_MS);
    calls.poll_ended(first.at_ms + 20.0, PollOutcome::Unchanged);
    let watch = calls.next_poll(first.at_ms + 20.0);
    let heard = watch.at_ms + 2_000.0;
    calls.poll_ended(heard, PollOutcome::Updated);
    let next = calls.next_poll(heard);
    let slots = (next.at_ms - first.at_ms) / round_ms();
    assert!((slots - slots.round()).abs() * round_ms() < 23.0, "not in its slot: {slots} rounds on");
    assert!(next.at_ms > heard && next.at_ms < heard + round_ms() + 23.0);
}

#[test]
fn timed_out_poll_is_repeated_in_its_slot_with_twice_the_timeout() {
    let mut calls = calls();
    let mut call = calls.next_poll(NOW_MS);
    let mut before = 0.0;
    for _ in 0..4 {
        let patience = call.timeout_at_ms - call.at_ms;
        assert!(patience >= 5_000.0 && patience >= before, "{patience} after {before}");
        before = patience;
        calls.poll_ended(call.timeout_at_ms + 3.0, PollOutcome::TimedOut);
        let next = calls.next_poll(call.timeout_at_ms + 3.0);
        assert!(next.at_ms - call.timeout_at_ms < 100.0, "{} ms later", next.at_ms - call.timeout_at_ms);
        call = next;
    }
    assert!(before > 30_000.0, "{before}");
}

#[test]
fn late_poll_is_missed() {
    let mut calls = calls();
    let call = calls.next_poll(NOW_MS);
    assert!(!calls.missed(call, call.at_ms + 50.0) && calls.missed(call, call.at_ms + 5_000.0));
}

#[test]
fn readiness_timeout_is_two_rounds_and_at_most_20_s() {
    let within =
        |gateways| PollSchedule::new(SlotSchedule::new(0, gateways, 50.0)).readiness_timeout().as_secs_f64();
    assert!((within(1) - 0.544).abs() < 0.001 && (within(300) - 13.83).abs() < 0.01, "{}", within(300));
    assert_eq!(within(1_000), 20.0);
}

#[test]
fn immediate_response_does_not_repeat_the_slot() {
    let mut calls = calls();
    let call = calls.next_poll(NOW_MS);
    calls.poll_ended(call.at_ms, PollOutcome::OlderVersion);
    let next = calls.next_poll(call.at_ms);
    assert!(next.at_ms > call.at_ms + round_ms() - 23.0, "{} ms later", next.at_ms - call.at_ms);
}

#[test]
fn timeout_follows_slow_responses() {
    let mut calls = calls();
    let call = calls.next_poll(NOW_MS);
    calls.poll_ended(call.at_ms + 4_500.0, PollOutcome::Unchanged);
    let watch = calls.next_poll(call.at_ms + 4_500.0);
    let patience = watch.timeout_at_ms - watch.at_ms - watch.wait.as_secs_f64() * 1_000.0;
    assert!(patience >= 4.0 * 4_500.0, "{patience}");
}

#[test]
fn share_halves_to_its_minimum_and_recovers_by_fast_responses() {
    let mut share = AdaptiveShare::default();
    share.record_response(Some(5.0));
    // A queued response counts as a rejection; one that was a little late changes nothing.
    share.record_response(Some(500.0));
    assert_eq!(share.fraction(), 1.0);
    share.record_response(Some(1_500.0));
    assert_eq!(share.fraction(), 0.5);
    (0..20).for_each(|_| share.record_rejection(true));
    assert_eq!(share.fraction(), MIN_SHARE);
    (0..4).for_each(|_| share.record_response(Some(5.0)));
    assert_eq!(share.fraction(), 1.0);
}
