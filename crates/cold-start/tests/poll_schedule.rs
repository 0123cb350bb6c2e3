//! Polls of one gateway, and the share of its rounds.

use std::time::Duration;

use cold_start::{AdaptiveShare, PollOutcome, PollSchedule, SlotSchedule, MIN_SHARE};

/// Lies in the middle of a round of 300 gateways at 50 calls per second, 6.67 s.
const NOW_MS: f64 = 1_764_000_123_457.0;

fn schedule() -> PollSchedule {
    PollSchedule::new(SlotSchedule::new(7, 300, 50.0))
}

fn round_ms() -> f64 {
    SlotSchedule::new(7, 300, 50.0).round().as_secs_f64() * 1_000.0
}

#[test]
fn honours_retry_after_up_to_a_minute() {
    for (retry_after_s, min_ms) in [(20, 20_000.0), (3_600, 60_000.0)] {
        let mut schedule = schedule();
        let poll = schedule.next_poll(NOW_MS);
        let answered_ms = poll.at_ms + 5.0;
        schedule.poll_ended(answered_ms, PollOutcome::Rejected(Some(Duration::from_secs(retry_after_s))));
        let next = schedule.next_poll(answered_ms);
        let after = next.at_ms - answered_ms;
        assert!(after >= min_ms && after <= min_ms + round_ms() + 23.0, "{after} ms after {retry_after_s} s");
    }
}

#[test]
fn watch_ends_just_before_the_next_slot() {
    let mut schedule = schedule();
    let first = schedule.next_poll(NOW_MS);
    assert_eq!(first.wait, Duration::ZERO, "the first poll must not be a watch");
    schedule.poll_ended(first.at_ms + 20.0, PollOutcome::Unchanged);
    let mut watch = schedule.next_poll(first.at_ms + 20.0);
    for _ in 0..20 {
        let wait_ms = watch.wait.as_secs_f64() * 1_000.0;
        assert!(wait_ms > 1.9 * round_ms() && wait_ms < 2.1 * round_ms(), "{wait_ms}");
        let ended_ms = watch.at_ms + wait_ms + 20.0;
        schedule.poll_ended(ended_ms, PollOutcome::Unchanged);
        let next = schedule.next_poll(ended_ms);
        assert!(
            (0.0..200.0).contains(&(next.at_ms - ended_ms)),
            "{} ms between two watches",
            next.at_ms - ended_ms
        );
        watch = next;
    }
}

/// An update ends the watches of all gateways at once; they must not all poll again immediately.
#[test]
fn poll_after_an_update_waits_for_the_next_slot() {
    let mut schedule = schedule();
    let first = schedule.next_poll(NOW_MS);
    schedule.poll_ended(first.at_ms + 20.0, PollOutcome::Unchanged);
    let watch = schedule.next_poll(first.at_ms + 20.0);
    let updated_ms = watch.at_ms + 2_000.0;
    schedule.poll_ended(updated_ms, PollOutcome::Updated);
    let next = schedule.next_poll(updated_ms);
    let slots = (next.at_ms - first.at_ms) / round_ms();
    assert!((slots - slots.round()).abs() * round_ms() < 23.0, "not in its slot: {slots} rounds later");
    assert!(next.at_ms > updated_ms && next.at_ms < updated_ms + round_ms() + 23.0);
}

#[test]
fn timed_out_poll_is_repeated_with_a_longer_timeout() {
    let mut schedule = schedule();
    let mut poll = schedule.next_poll(NOW_MS);
    let mut previous_ms = 0.0;
    for _ in 0..4 {
        let timeout_ms = poll.timeout_at_ms - poll.at_ms;
        assert!(timeout_ms >= 5_000.0 && timeout_ms >= previous_ms, "{timeout_ms} after {previous_ms}");
        previous_ms = timeout_ms;
        schedule.poll_ended(poll.timeout_at_ms + 3.0, PollOutcome::TimedOut);
        let next = schedule.next_poll(poll.timeout_at_ms + 3.0);
        assert!(next.at_ms - poll.timeout_at_ms < 100.0, "{} ms later", next.at_ms - poll.timeout_at_ms);
        poll = next;
    }
    assert!(previous_ms > 30_000.0, "{previous_ms}");
}

#[test]
fn late_poll_is_missed() {
    let mut schedule = schedule();
    let poll = schedule.next_poll(NOW_MS);
    assert!(!schedule.missed(poll, poll.at_ms + 50.0) && schedule.missed(poll, poll.at_ms + 5_000.0));
}

#[test]
fn readiness_timeout_is_two_rounds_and_at_most_20_s() {
    let timeout_s =
        |gateways| PollSchedule::new(SlotSchedule::new(0, gateways, 50.0)).readiness_timeout().as_secs_f64();
    assert!(
        (timeout_s(1) - 0.544).abs() < 0.001 && (timeout_s(300) - 13.83).abs() < 0.01,
        "{}",
        timeout_s(300)
    );
    assert_eq!(timeout_s(1_000), 20.0);
}

#[test]
fn immediate_response_does_not_reuse_the_slot() {
    let mut schedule = schedule();
    let poll = schedule.next_poll(NOW_MS);
    schedule.poll_ended(poll.at_ms, PollOutcome::OlderVersion);
    let next = schedule.next_poll(poll.at_ms);
    assert!(next.at_ms > poll.at_ms + round_ms() - 23.0, "{} ms later", next.at_ms - poll.at_ms);
}

#[test]
fn timeout_adapts_to_slow_responses() {
    let mut schedule = schedule();
    let poll = schedule.next_poll(NOW_MS);
    schedule.poll_ended(poll.at_ms + 4_500.0, PollOutcome::Unchanged);
    let watch = schedule.next_poll(poll.at_ms + 4_500.0);
    let timeout_ms = watch.timeout_at_ms - watch.at_ms - watch.wait.as_secs_f64() * 1_000.0;
    assert!(timeout_ms >= 4.0 * 4_500.0, "{timeout_ms}");
}

#[test]
fn share_halves_to_minimum_and_recovers_on_fast_responses() {
    let mut share = AdaptiveShare::default();
    share.record_response(Some(5.0));
    // A response queued for more than 1 s counts as a rejection; one queued for 0.5 s changes nothing.
    share.record_response(Some(500.0));
    assert_eq!(share.fraction(), 1.0);
    share.record_response(Some(1_500.0));
    assert_eq!(share.fraction(), 0.5);
    (0..20).for_each(|_| share.record_rejection(true));
    assert_eq!(share.fraction(), MIN_SHARE);
    (0..4).for_each(|_| share.record_response(Some(5.0)));
    assert_eq!(share.fraction(), 1.0);
}
