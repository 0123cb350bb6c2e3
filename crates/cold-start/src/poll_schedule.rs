//! When a gateway polls discovery for the endpoint list, how long a poll waits, and when it times out.

use std::time::Duration;

use crate::{AdaptiveShare, Slot, SlotSchedule};

/// The shortest watch, ms.
const MIN_WATCH_MS: f64 = 4_000.0;
/// The longest watch, ms, as the protocol has it.
const MAX_WATCH_MS: f64 = 60_000.0;
/// Rounds that a watch lasts: while nothing changes, half of the service's capacity is used.
const WATCH_ROUNDS: f64 = 2.0;
/// A watch ends this long before the gateway's slot, ms, so that the next one begins in it.
const WATCH_MARGIN_MS: f64 = 50.0;
/// Usual response times that are added to that margin.
const WATCH_MARGIN_RESPONSES: f64 = 1.5;
/// The shortest timeout of a response, ms. It doubles with each poll in a row that timed out.
const MIN_TIMEOUT_MS: f64 = 5_000.0;
/// The longest timeout of a response, ms.
const MAX_TIMEOUT_MS: f64 = 32_000.0;
/// The timeout is at least this many usual response times.
const TIMEOUT_RESPONSES: f64 = 4.0;
/// The first backoff after a failure, ms. It doubles with each failure in a row.
const MIN_BACKOFF_MS: f64 = 50.0;
/// The longest backoff, ms. It matters where a round is shorter: in a small fleet.
const MAX_BACKOFF_MS: f64 = 1_000.0;
/// Failures in a row after which a timeout or a backoff doubles no more.
const MAX_DOUBLINGS: u32 = 8;
/// The longest Retry-After that is observed, ms.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// How long a gateway without a list waits for one, beside two rounds.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for a first list: platforms give a start 30 s.
const MAX_FIRST_TIMEOUT: Duration = Duration::from_secs(20);
/// Weight of the last response time in the usual one.
const RESPONSE_TIME_GAIN: f64 = 0.25;
/// A gateway that is at most this late for its slot, ms, still uses it. Later ones would call together if
/// they were stopped together.
const MAX_LATENESS_MS: f64 = 100.0;

/// A poll of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Poll {
    /// When it is made, Unix time in ms.
    pub at_ms: f64,
    /// How long it waits for updates; 0: it is answered at once.
    pub wait: Duration,
    /// When it times out, Unix time in ms.
    pub timeout_at_ms: f64,
}

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollOutcome {
    /// With the endpoint list, or changes of it.
    Updated,
    /// With no change.
    Unchanged,
    /// With a version before the cached one: another service answered. The whole list is requested next.
    OlderVersion,
    /// The service rejected it, perhaps with a Retry-After.
    Rejected(Option<Duration>),
    /// No connection, one that broke, or a response that cannot be decoded.
    Failed,
    /// There was no response in time.
    TimedOut,
}

/// The polls of one gateway, at most one in flight and one a round.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    slots: SlotSchedule,
    share: AdaptiveShare,
    /// The round of the last poll.
    last_round: Option<u64>,
    in_flight: Option<Poll>,
    /// The slot in which the poll in flight ends if nothing changes, and the next one is made.
    next_slot: Slot,
    /// The slot in which the poll in flight times out.
    timeout_slot: Slot,
    /// No poll is made before, Unix time in ms.
    not_before_ms: f64,
    /// Whether the list was confirmed since the start.
    confirmed: bool,
    /// Whether the next poll is a watch: the last one was answered.
    watching: bool,
    consecutive_failures: u32,
    consecutive_timeouts: u32,
    /// The usual response time, ms.
    response_ms: Option<f64>,
}

const NO_SLOT: Slot = Slot { round: 0, start_ms: 0.0 };

impl PollSchedule {
    /// The schedule of a gateway that has just started.
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
            response_ms: None,
        }
    }

    /// Whether a poll is too late to be made: gateways that were stopped together and go on together would
    /// call together.
    #[must_use]
    pub fn missed(&self, poll: Poll, now_ms: f64) -> bool {
        now_ms - poll.at_ms >= MAX_LATENESS_MS
    }

    /// Whether the list was confirmed since the start.
    #[must_use]
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// The part of its rounds that the gateway uses, 1/16 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share.fraction()
    }

    /// How long a gateway without a list waits for one before it is ready: two rounds and a response, as one
    /// poll may fail, and 20 s at most. Without a list it would reject every client.
    #[must_use]
    pub fn readiness_timeout(&self) -> Duration {
        (self.slots.round() * 2 + FIRST_RESPONSE_TIMEOUT).min(MAX_FIRST_TIMEOUT)
    }

    /// The next poll, made in a slot of this gateway's own.
    ///
    /// The first one, and the one after a failure, is to be answered at once, as a watch would not tell until
    /// its end whether the cached list is still the present one.
    pub fn next_poll(&mut self, now_ms: f64) -> Poll {
        let slot = self.slot_for_next_poll(now_ms);
        self.last_round = Some(slot.round);
        let wait = if self.watching { self.plan_watch(slot.start_ms) } else { Duration::ZERO };
        // It times out in a slot too, so that the next one is made then.
        let timeout_ms = slot.start_ms + millis(wait) + self.response_timeout_ms();
        self.timeout_slot = self.slots.next_slot(timeout_ms, self.last_round);
        let poll = Poll { at_ms: slot.start_ms, wait, timeout_at_ms: self.timeout_slot.start_ms };
        self.in_flight = Some(poll);
        poll
    }

    /// The slot that was planned if it has just begun, else the next one.
    fn slot_for_next_poll(&self, now_ms: f64) -> Slot {
        let planned = self.next_slot;
        let lateness_ms = now_ms - planned.start_ms;
        if self.not_before_ms <= planned.start_ms && (0.0..MAX_LATENESS_MS).contains(&lateness_ms) {
            return Slot { round: planned.round, start_ms: now_ms };
        }
        self.slots.next_slot(now_ms.max(self.not_before_ms), self.last_round)
    }

    /// Plans the slot that follows a watch from `at_ms`. Returns the length of the watch.
    fn plan_watch(&mut self, at_ms: f64) -> Duration {
        let watch_ms = (WATCH_ROUNDS * self.round_ms()).max(MIN_WATCH_MS) / self.share.fraction();
        self.next_slot = self.slots.next_slot(at_ms + watch_ms - self.slot_ms(), self.last_round);
        let margin_ms = WATCH_MARGIN_MS + WATCH_MARGIN_RESPONSES * self.response_ms.unwrap_or(0.0);
        let until_slot_ms = self.next_slot.start_ms - at_ms - margin_ms;
        let wait_ms = until_slot_ms.max(watch_ms / 2.0).min(MAX_WATCH_MS);
        Duration::from_millis(wait_ms as u64)
    }

    fn response_timeout_ms(&self) -> f64 {
        let usual_ms = TIMEOUT_RESPONSES * self.response_ms.unwrap_or(0.0);
        let doubled_ms = MIN_TIMEOUT_MS * doublings(self.consecutive_timeouts);
        doubled_ms.max(usual_ms).min(MAX_TIMEOUT_MS)
    }

    /// The first poll, made now: the fleet's agent gave the gateway a turn. None once a poll has ended.
    pub fn start_now(&mut self, now_ms: f64) -> Option<Poll> {
        if self.confirmed || self.consecutive_failures > 0 {
            return None;
        }
        let timeout_at_ms = self.slots.next_slot(now_ms + MIN_TIMEOUT_MS, None).start_ms;
        self.timeout_slot = Slot { round: self.slots.round_at(timeout_at_ms), start_ms: timeout_at_ms };
        let poll = Poll { at_ms: now_ms, wait: Duration::ZERO, timeout_at_ms };
        // The slot that it does not wait for is still to come.
        self.last_round = None;
        self.in_flight = Some(poll);
        Some(poll)
    }

    /// The poll in flight has ended. Without one nothing changes.
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

    /// `before_its_slot`: the poll ended before the slot that follows it.
    fn answered(&mut self, now_ms: f64, poll: Poll, before_its_slot: bool) {
        let response_ms = now_ms - poll.at_ms - millis(poll.wait);
        // An update that ends a watch tells nothing of the response time.
        if response_ms >= 0.0 {
            let smoothed = |usual: f64| usual + RESPONSE_TIME_GAIN * (response_ms - usual);
            self.response_ms = Some(self.response_ms.map_or(response_ms, smoothed));
        }
        self.confirmed = true;
        self.watching = true;
        self.consecutive_failures = 0;
        self.consecutive_timeouts = 0;
        self.share.record_response(poll.wait.is_zero().then_some(response_ms));
        self.not_before_ms = if before_its_slot {
            // A change ends the watches of all gateways at once; each polls again in its next slot.
            let next_round_ms = poll.at_ms + self.round_ms() / self.share.fraction() - self.slot_ms();
            now_ms.max(next_round_ms)
        } else {
            self.next_slot.start_ms
        };
    }

    /// Notes a failure. Returns the backoff, ms.
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
        // It timed out in the slot that the next one is made in, if it may be made by then.
        self.next_slot = self.timeout_slot;
        self.not_before_ms = poll.timeout_at_ms.max(next_round_ms);
    }

    /// The part of its rounds that the gateway uses after a failure: all of them until its list is confirmed.
    ///
    /// Gateways with a confirmed list give way, so that those without are not crowded out. A service that
    /// rejects everyone is called by each gateway without a list once a round, nine tenths of its stated
    /// capacity. A gateway with a list learns of the end of an outage about as long after it as it lasted, 16
    /// rounds at most.
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

/// 2 to the power of `times`, 256 at most.
fn doublings(times: u32) -> f64 {
    f64::from(1u32 << times.min(MAX_DOUBLINGS))
}
