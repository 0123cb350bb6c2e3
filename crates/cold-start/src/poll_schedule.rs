//! Schedules a gateway's polls of the endpoint list: when each is made, how long it waits, and when it times
//! out.

use std::time::Duration;

use crate::{AdaptiveShare, Slot, SlotSchedule};

/// Minimum length of a watch, ms.
const MIN_WATCH_MS: f64 = 4_000.0;
/// Maximum length of a watch, ms; a limit of the protocol.
const MAX_WATCH_MS: f64 = 60_000.0;
/// Length of a watch, rounds. With two, half of the service's capacity is used while nothing changes.
const WATCH_ROUNDS: f64 = 2.0;
/// A watch ends this long before the gateway's slot, ms, so that the next one begins in that slot.
const WATCH_MARGIN_MS: f64 = 50.0;
/// Added to [`WATCH_MARGIN_MS`], as a multiple of the smoothed response time.
const WATCH_MARGIN_RESPONSES: f64 = 1.5;
/// Minimum timeout of a response, ms. It doubles with each consecutive timeout.
const MIN_TIMEOUT_MS: f64 = 5_000.0;
/// Maximum timeout of a response, ms.
const MAX_TIMEOUT_MS: f64 = 32_000.0;
/// The timeout is at least this multiple of the smoothed response time.
const TIMEOUT_RESPONSES: f64 = 4.0;
/// Backoff after the first failure, ms. It doubles with each consecutive failure.
const MIN_BACKOFF_MS: f64 = 50.0;
/// Maximum backoff, ms. It has an effect only in a small fleet, whose rounds are shorter.
const MAX_BACKOFF_MS: f64 = 1_000.0;
/// Consecutive failures after which a timeout or a backoff doubles no further.
const MAX_DOUBLINGS: u32 = 8;
/// Maximum Retry-After that is honoured, ms.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// How long a gateway without a list waits for one, in addition to two rounds.
const FIRST_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);
/// Maximum wait for the first list: platforms allow 30 s for a start.
const MAX_READINESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Weight of the latest response time in the smoothed one.
const RESPONSE_TIME_GAIN: f64 = 0.25;
/// A gateway that is late for its slot by less than this, ms, still uses it. Without the limit, gateways that
/// were suspended and resumed at the same time would all call at once.
const MAX_LATENESS_MS: f64 = 100.0;

/// A poll of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Poll {
    /// When the poll is made, Unix time in ms.
    pub at_ms: f64,
    /// How long the service may wait for updates before it responds; 0: it responds immediately.
    pub wait: Duration,
    /// When the poll times out, Unix time in ms.
    pub timeout_at_ms: f64,
}

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollOutcome {
    /// With the endpoint list, or with changes to it.
    Updated,
    /// With no change.
    Unchanged,
    /// With a version older than the cached one: a different service responded. The whole list is requested
    /// next.
    OlderVersion,
    /// The service rejected the poll, possibly with a Retry-After.
    Rejected(Option<Duration>),
    /// The connection could not be opened or broke, or the response cannot be decoded.
    Failed,
    /// There was no response before the timeout.
    TimedOut,
}

/// Schedule of one gateway's polls: at most one in flight, and at most one per round.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    slots: SlotSchedule,
    share: AdaptiveShare,
    /// Round of the last poll.
    last_round: Option<u64>,
    in_flight: Option<Poll>,
    /// Slot of the next poll if the poll in flight ends without a change.
    next_slot: Slot,
    /// Slot in which the poll in flight times out.
    timeout_slot: Slot,
    /// No poll is made before this time, Unix time in ms.
    not_before_ms: f64,
    /// Whether a poll confirmed the list since the start.
    confirmed: bool,
    /// Whether the next poll is a watch, which follows a poll that was answered.
    watching: bool,
    consecutive_failures: u32,
    consecutive_timeouts: u32,
    /// Smoothed response time, ms.
    smoothed_response_ms: Option<f64>,
}

const NO_SLOT: Slot = Slot { round: 0, start_ms: 0.0 };

impl PollSchedule {
    /// Returns the schedule of a gateway that has just started.
    #[must_use]
    pub fn new(slots: SlotSchedule) -> PollSchedule {
        PollSchedule {
            slots,
            share: AdaptiveShare::default(),
            last_round: None,
            in_flight: None,
            next_slot: NO_SLOT,
            timeout_slot: NO_SLOT,
            not_before_ms: 0.0,
            confirmed: false,
            watching: false,
            consecutive_failures: 0,
            consecutive_timeouts: 0,
            smoothed_response_ms: None,
        }
    }

    /// Whether it is too late to make a poll. Without this check, gateways that were suspended and resumed at
    /// the same time would all call at once.
    #[must_use]
    pub fn missed(&self, poll: Poll, now_ms: f64) -> bool {
        now_ms - poll.at_ms >= MAX_LATENESS_MS
    }

    /// Whether a poll confirmed the list since the start.
    #[must_use]
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns the fraction of its rounds that the gateway uses, 1/16 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share.fraction()
    }

    /// Returns how long a gateway without a list waits for one before it reports that it is ready: two
    /// rounds, as one poll may fail, and the time for a response, at most 20 s. Without a list it would
    /// reject every request.
    #[must_use]
    pub fn readiness_timeout(&self) -> Duration {
        (self.slots.round() * 2 + FIRST_RESPONSE_ALLOWANCE).min(MAX_READINESS_TIMEOUT)
    }

    /// Returns the next poll, which is made in one of this gateway's slots.
    ///
    /// The first poll, and a poll after a failure, is to be answered immediately: a watch would show only at
    /// its end that the cached list is still current.
    pub fn next_poll(&mut self, now_ms: f64) -> Poll {
        let slot = self.slot_for_next_poll(now_ms);
        self.last_round = Some(slot.round);
        let wait = if self.watching { self.plan_watch(slot.start_ms) } else { Duration::ZERO };
        // The poll times out in a slot, so that the next poll can be made in that slot.
        let timeout_ms = slot.start_ms + millis(wait) + self.response_timeout_ms();
        self.timeout_slot = self.slots.next_slot(timeout_ms, self.last_round);
        let poll = Poll { at_ms: slot.start_ms, wait, timeout_at_ms: self.timeout_slot.start_ms };
        self.in_flight = Some(poll);
        poll
    }

    /// Returns the planned slot if it has just begun, otherwise the next one.
    fn slot_for_next_poll(&self, now_ms: f64) -> Slot {
        let planned = self.next_slot;
        let lateness_ms = now_ms - planned.start_ms;
        if self.not_before_ms <= planned.start_ms && (0.0..MAX_LATENESS_MS).contains(&lateness_ms) {
            return Slot { round: planned.round, start_ms: now_ms };
        }
        self.slots.next_slot(now_ms.max(self.not_before_ms), self.last_round)
    }

    /// Plans the slot after a watch that begins at `at_ms`. Returns the length of the watch.
    fn plan_watch(&mut self, at_ms: f64) -> Duration {
        let watch_ms = (WATCH_ROUNDS * self.round_ms()).max(MIN_WATCH_MS) / self.share.fraction();
        self.next_slot = self.slots.next_slot(at_ms + watch_ms - self.slot_ms(), self.last_round);
        let margin_ms = WATCH_MARGIN_MS + WATCH_MARGIN_RESPONSES * self.smoothed_response_ms.unwrap_or(0.0);
        let until_slot_ms = self.next_slot.start_ms - at_ms - margin_ms;
        let wait_ms = until_slot_ms.max(watch_ms / 2.0).min(MAX_WATCH_MS);
        Duration::from_millis(wait_ms as u64)
    }

    fn response_timeout_ms(&self) -> f64 {
        let scaled_ms = TIMEOUT_RESPONSES * self.smoothed_response_ms.unwrap_or(0.0);
        let doubled_ms = MIN_TIMEOUT_MS * doublings(self.consecutive_timeouts);
        doubled_ms.max(scaled_ms).min(MAX_TIMEOUT_MS)
    }

    /// Returns a first poll that is made now, because the fleet's agent gave the gateway a turn. `None` if
    /// the list was confirmed or a poll has failed.
    pub fn start_now(&mut self, now_ms: f64) -> Option<Poll> {
        if self.confirmed || self.consecutive_failures > 0 {
            return None;
        }
        let timeout_at_ms = self.slots.next_slot(now_ms + MIN_TIMEOUT_MS, None).start_ms;
        self.timeout_slot = Slot { round: self.slots.round_at(timeout_at_ms), start_ms: timeout_at_ms };
        let poll = Poll { at_ms: now_ms, wait: Duration::ZERO, timeout_at_ms };
        // The slot of this round may still be used.
        self.last_round = None;
        self.in_flight = Some(poll);
        Some(poll)
    }

    /// Records the outcome of the poll in flight; ignored if there is none.
    pub fn poll_ended(&mut self, now_ms: f64, outcome: PollOutcome) {
        let Some(poll) = self.in_flight.take() else { return };
        match outcome {
            PollOutcome::Updated => self.answered(now_ms, poll, true),
            PollOutcome::Unchanged => self.answered(now_ms, poll, poll.wait.is_zero()),
            PollOutcome::OlderVersion => {
                self.watching = false;
                self.not_before_ms = now_ms;
            }
            PollOutcome::Failed => {
                self.back_off(now_ms);
            }
            PollOutcome::Rejected(retry_after) => self.rejected(now_ms, poll, retry_after),
            PollOutcome::TimedOut => self.timed_out(now_ms, poll),
        }
    }

    /// Records an answered poll; `before_slot` says whether it ended before the planned slot.
    fn answered(&mut self, now_ms: f64, poll: Poll, before_slot: bool) {
        let response_ms = now_ms - poll.at_ms - millis(poll.wait);
        // A watch that an update ended early gives no response time.
        if response_ms >= 0.0 {
            let smoothed = |average_ms: f64| average_ms + RESPONSE_TIME_GAIN * (response_ms - average_ms);
            self.smoothed_response_ms = Some(self.smoothed_response_ms.map_or(response_ms, smoothed));
        }
        self.confirmed = true;
        self.watching = true;
        self.consecutive_failures = 0;
        self.consecutive_timeouts = 0;
        self.share.record_response(poll.wait.is_zero().then_some(response_ms));
        self.not_before_ms = if before_slot {
            // An update ends the watches of all gateways at once, so each polls again in its next slot.
            let next_round_ms = poll.at_ms + self.round_ms() / self.share.fraction() - self.slot_ms();
            now_ms.max(next_round_ms)
        } else {
            self.next_slot.start_ms
        };
    }

    /// Records a failure. Returns the backoff, ms.
    fn back_off(&mut self, now_ms: f64) -> f64 {
        self.watching = false;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let backoff_ms = (MIN_BACKOFF_MS * doublings(self.consecutive_failures - 1)).min(MAX_BACKOFF_MS);
        self.not_before_ms = now_ms + backoff_ms;
        backoff_ms
    }

    fn rejected(&mut self, now_ms: f64, poll: Poll, retry_after: Option<Duration>) {
        let backoff_ms = self.back_off(now_ms);
        self.share.record_rejection(self.confirmed);
        let retry_after_ms = retry_after.map_or(0.0, |after| millis(after).min(MAX_RETRY_AFTER_MS));
        let next_round_ms =
            poll.at_ms + self.round_ms().max(backoff_ms) / self.retry_share() - self.slot_ms();
        self.not_before_ms = self.not_before_ms.max(now_ms + retry_after_ms).max(next_round_ms);
    }

    fn timed_out(&mut self, now_ms: f64, poll: Poll) {
        self.back_off(now_ms);
        self.share.record_rejection(self.confirmed);
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
        let next_round_ms = poll.at_ms + self.round_ms() / self.retry_share() - self.slot_ms();
        // The timeout lies in a slot, which the next poll uses if it may be made by then.
        self.next_slot = self.timeout_slot;
        self.not_before_ms = poll.timeout_at_ms.max(next_round_ms);
    }

    /// Returns the fraction of its rounds that the gateway uses after a failure: all of them until its list
    /// is confirmed.
    ///
    /// Gateways with a confirmed list slow down, so that they don't crowd out those without one. If the
    /// service rejects every call, each gateway without a list calls it once per round, which adds up to nine
    /// tenths of its stated capacity. A gateway with a list notices the end of an outage after about the
    /// length of the outage, 16 rounds at most.
    fn retry_share(&self) -> f64 {
        if self.confirmed {
            self.share.fraction()
        } else {
            1.0
        }
    }

    fn round_ms(&self) -> f64 {
        millis(self.slots.round())
    }

    fn slot_ms(&self) -> f64 {
        millis(self.slots.slot())
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns 2 to the power of `times`, at most 256.
fn doublings(times: u32) -> f64 {
    f64::from(1u32 << times.min(MAX_DOUBLINGS))
}
