//! When a gateway asks for the list, how long that call waits, and when it is given up.

use std::time::Duration;

use crate::{AdaptiveShare, SlotSchedule};

/// A watch lasts so long at least, ms, and so long at most: the protocol knows no longer ones.
const WATCH_MS: (f64, f64) = (4_000.0, 60_000.0);
/// A watch lasts so many rounds: calls at rest are half of what the service bears.
const ROUNDS: f64 = 2.0;
/// A watch ends so long before the gateway's slot, ms, and as many answer times: the next begins in it.
const EARLY_MS: f64 = 50.0;
const EARLY_ANSWERS: f64 = 1.5;
/// How long an answer may take at first, ms, and at most, whatever answers took before.
const PATIENCE_MS: (f64, f64) = (5_000.0, 32_000.0);
/// So many usual answer times may pass.
const PATIENCE_ANSWERS: f64 = 4.0;
/// Pause after a call that failed, ms: it doubles from the first to the second. Of a few gateways a round is
/// shorter than that.
const PAUSE_MS: (f64, f64) = (50.0, 1_000.0);
/// The longest time that a service may ask a gateway to stay away, ms.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// How long a gateway that knows no list waits for one beside two rounds, and at most.
const FIRST: Duration = Duration::from_millis(500);
const MAX_FIRST_WAIT: Duration = Duration::from_secs(20);
/// Weight of the last answer time in the usual one.
const GAIN: f64 = 0.25;
/// A gateway that wakes so late for its slot, ms, still takes it. Danger: some hundred that were stopped
/// together and go on together.
const LATE_MS: f64 = 100.0;

/// A call for the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Poll {
    /// When it is made, Unix time in ms.
    pub at_ms: f64,
    /// For how long it waits for news; nothing: it is answered at once. Only where a version is held.
    pub wait: Duration,
    /// When it is given up, Unix time in ms.
    pub timeout_at_ms: f64,
}

/// What a call came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollOutcome {
    /// The list, or changes of it.
    Updated,
    /// Nothing new.
    Unchanged,
    /// Changes of versions before the one held: another service is there. The whole list is asked for next.
    OlderVersion,
    /// The service said that it won't, and perhaps for how long.
    Rejected(Option<Duration>),
    /// No connection, one that broke, or an answer that can't be read.
    Failed,
    /// Nothing came until it was given up.
    TimedOut,
}

/// The calls of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    calendar: SlotSchedule,
    share: AdaptiveShare,
    /// The round of the last call.
    last: Option<u64>,
    /// The call that is out.
    out: Option<Poll>,
    /// The round and the moment in which that call ends if it brings nothing: the next one's.
    due: (u64, f64),
    /// The same of the slot in which it is given up.
    gives_up: (u64, f64),
    /// None earlier than this.
    not_before_ms: f64,
    /// Whether it was told of the list since its start.
    confirmed: bool,
    /// Whether a watch may follow: the last call was a watch, or there was one in a slot before.
    watching: bool,
    /// Calls in a row that failed, and that were given up.
    failed: u32,
    silent: u32,
    /// The usual time of an answer, ms.
    answer_ms: Option<f64>,
}

impl PollSchedule {
    /// For a gateway that has just started.
    #[must_use]
    pub fn new(calendar: SlotSchedule) -> PollSchedule {
        PollSchedule {
            calendar,
            share: AdaptiveShare::default(),
            last: None,
            out: None,
            due: (0, 0.0),
            gives_up: (0, 0.0),
            not_before_ms: 0.0,
            confirmed: false,
            watching: false,
            failed: 0,
            silent: 0,
            answer_ms: None,
        }
    }

    /// Whether the moment of a call has passed so that it is not to be made any more.
    ///
    /// Danger: gateways that were stopped between their slot and the call, and go on together.
    #[must_use]
    pub fn missed(&self, call: Poll, now_ms: f64) -> bool {
        now_ms - call.at_ms >= LATE_MS
    }

    /// Whether it was told of the list since its start.
    #[must_use]
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// The part of its rounds that it takes.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share.part()
    }

    /// How long a gateway that knows no list waits for one before it says that it is ready: two rounds and an
    /// answer, as one call may fail. Danger: clients that are refused by one that has nobody to send to.
    /// Never longer than 20 s. Danger: a platform that gives a start 30 s.
    #[must_use]
    pub fn first_timeout(&self) -> Duration {
        (self.calendar.round() * 2 + FIRST).min(MAX_FIRST_WAIT)
    }

    /// The next call, made in a slot of this gateway's own, one in each round at most.
    ///
    /// The first one, and the one after a failure, is to be answered at once: that tells whether the list
    /// held is the one there is. Danger: a watch that says nothing of it until it ends.
    pub fn next(&mut self, now_ms: f64) -> Poll {
        let from = now_ms.max(self.not_before_ms);
        let (due, due_ms) = self.due;
        let late = self.not_before_ms <= due_ms && (0.0..LATE_MS).contains(&(now_ms - due_ms));
        let (round, at_ms) = if late { (due, now_ms) } else { self.calendar.next(from, self.last) };
        self.last = Some(round);
        let mut call = Poll { at_ms, wait: Duration::ZERO, timeout_at_ms: 0.0 };
        if self.watching {
            let rest = (ROUNDS * self.round_ms()).max(WATCH_MS.0) / self.share.part();
            self.due = self.calendar.next(at_ms + rest - self.slot_ms(), self.last);
            let early = EARLY_MS + EARLY_ANSWERS * self.answer_ms.unwrap_or(0.0);
            let wait = (self.due.1 - at_ms - early).max(rest / 2.0).min(WATCH_MS.1);
            call.wait = Duration::from_millis(wait as u64);
        }
        // It is given up in a slot too, so that the next one is made then.
        let usual = PATIENCE_ANSWERS * self.answer_ms.unwrap_or(0.0);
        let doubled = PATIENCE_MS.0 * f64::from(1u32 << self.silent.min(8));
        let patience = doubled.max(usual).min(PATIENCE_MS.1);
        let ends = at_ms + call.wait.as_secs_f64() * 1_000.0 + patience;
        self.gives_up = self.calendar.next(ends, self.last);
        call.timeout_at_ms = self.gives_up.1;
        self.out = Some(call);
        call
    }

    /// A first call now, by a turn that the fleet's agent gave; none once one was made.
    pub fn start_now(&mut self, now_ms: f64) -> Option<Poll> {
        if self.confirmed || self.failed > 0 {
            return None;
        }
        let until_ms = self.calendar.next(now_ms + PATIENCE_MS.0, None).1;
        let call = Poll { at_ms: now_ms, wait: Duration::ZERO, timeout_at_ms: until_ms };
        self.gives_up = (self.calendar.round_at(until_ms), until_ms);
        // The slot that it does not wait for is still to come.
        (self.last, self.out) = (None, Some(call));
        Some(call)
    }

    /// The part of its rounds in which it asks again after a failure: all of them until it was told.
    ///
    /// Danger: those that were never told, pressed out by those that were. Who was told gives way. Harm: a
    /// service that turns all away is called by each gateway once a round, nine tenths of what it is said to
    /// bear, until it answers. One that was told hears of the end of an absence about as long after it as it
    /// lasted, 16 rounds at most.
    fn again(&self) -> f64 {
        if self.confirmed {
            self.share.part()
        } else {
            1.0
        }
    }

    fn round_ms(&self) -> f64 {
        self.calendar.round().as_secs_f64() * 1_000.0
    }

    fn slot_ms(&self) -> f64 {
        self.calendar.slot().as_secs_f64() * 1_000.0
    }

    /// What the call that is out came to.
    pub fn poll_ended(&mut self, now_ms: f64, came: PollOutcome) {
        let Some(call) = self.out.take() else { return };
        let wait_ms = call.wait.as_secs_f64() * 1_000.0;
        if came == PollOutcome::OlderVersion {
            (self.watching, self.not_before_ms) = (false, now_ms);
            return;
        }
        if matches!(came, PollOutcome::Updated | PollOutcome::Unchanged) {
            let took = now_ms - call.at_ms - wait_ms;
            // News that ends a watch tells nothing of how long an answer takes.
            if took >= 0.0 {
                self.answer_ms = Some(self.answer_ms.map_or(took, |usual| usual + GAIN * (took - usual)));
            }
            (self.confirmed, self.watching, self.failed, self.silent) = (true, true, 0, 0);
            self.share.record_response(call.wait.is_zero().then_some(took));
            // Danger: a change, and all who watch ask again at once. Each does in its next slot.
            let told = came == PollOutcome::Updated || call.wait.is_zero();
            let later = call.at_ms + self.round_ms() / self.share.part() - self.slot_ms();
            self.not_before_ms = if told { now_ms.max(later) } else { self.due.1 };
            return;
        }
        (self.watching, self.failed) = (false, self.failed.saturating_add(1));
        let pause = (PAUSE_MS.0 * f64::from(1u32 << (self.failed - 1).min(8))).min(PAUSE_MS.1);
        self.not_before_ms = now_ms + pause;
        match came {
            PollOutcome::Rejected(told) => {
                self.share.refused(self.confirmed);
                let told = told.map_or(0.0, |t| (t.as_secs_f64() * 1_000.0).min(MAX_RETRY_AFTER_MS));
                let away = call.at_ms + self.round_ms().max(pause) / self.again() - self.slot_ms();
                self.not_before_ms = self.not_before_ms.max(now_ms + told).max(away);
            }
            PollOutcome::TimedOut => {
                self.share.refused(self.confirmed);
                self.silent = self.silent.saturating_add(1);
                let away = call.at_ms + self.round_ms() / self.again() - self.slot_ms();
                // It was given up in the slot that the next one is made in, if it may be made by then.
                (self.due, self.not_before_ms) = (self.gives_up, call.timeout_at_ms.max(away));
            }
            _ => {}
        }
    }
}
