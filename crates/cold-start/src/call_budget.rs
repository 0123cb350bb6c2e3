//! How many counter calls a gateway makes in the first seconds after its start.

use std::f64::consts::LN_2;

use crate::SlotSchedule;

/// The part of the counter's capacity with which a fleet begins.
const INITIAL_PART: f64 = 0.5;
/// Time in which the rate doubles, ms. What is learned from the counter's answers grows by 0.6 in it.
const DOUBLING_MS: f64 = 2_000.0;
/// Doublings after which there is no bound any more.
const DOUBLINGS: f64 = 6.0;
/// The most calls that may be saved up.
const MAX_SAVED_CALLS: f64 = 2.0;

/// The counter calls that one gateway may make after its start.
///
/// A fleet that starts together would make every call until each gateway has learned, by calls that timed
/// out, that these are too many. So a gateway begins with half of its part of the counter's capacity, in its
/// slot of a round that all share, and doubles its rate every two seconds (slow start, as TCP's, RFC 5681),
/// until what it has learned is all that bounds it. For those seconds it decides by quota shares more often.
#[derive(Clone, Copy, Debug)]
pub struct CallBudget {
    /// Calls per ms at first.
    initial_rate: f64,
    /// The gateway's first slot, Unix time in ms.
    begins_ms: f64,
    saved_calls: f64,
    /// When `saved_calls` was brought up to date, Unix time in ms.
    updated_ms: f64,
}

impl CallBudget {
    /// The budget of gateway `index`, from 0, of `gateways` (0 counts as 1) that starts at `now_ms`, Unix
    /// time, where the counter takes `calls_per_s` calls a second from all of them, at least 0.001.
    #[must_use]
    pub fn new(index: u32, gateways: u32, calls_per_s: f64, now_ms: f64) -> CallBudget {
        let schedule = SlotSchedule::new(index, gateways, calls_per_s);
        let initial_rate = INITIAL_PART / (schedule.round().as_secs_f64() * 1_000.0);
        let begins_ms = schedule.next_slot(now_ms, None).start_ms;
        CallBudget { initial_rate, begins_ms, saved_calls: 1.0, updated_ms: begins_ms }
    }

    /// Whether the bound has ended.
    #[must_use]
    pub fn is_over(&self, now_ms: f64) -> bool {
        now_ms - self.begins_ms >= DOUBLING_MS * DOUBLINGS
    }

    /// Whether a call may be made at `now_ms`, Unix time. If so, it counts as made.
    pub fn try_take(&mut self, now_ms: f64) -> bool {
        if now_ms < self.begins_ms {
            return false;
        }
        if self.is_over(now_ms) {
            return true;
        }
        let earned = self.initial_rate * (self.grown(now_ms) - self.grown(self.updated_ms)).max(0.0);
        self.saved_calls = (self.saved_calls + earned).min(MAX_SAVED_CALLS);
        self.updated_ms = now_ms;
        if self.saved_calls < 1.0 {
            return false;
        }
        self.saved_calls -= 1.0;
        true
    }

    /// The integral of a rate of 1 at the begin that doubles every [`DOUBLING_MS`].
    fn grown(&self, at_ms: f64) -> f64 {
        ((at_ms - self.begins_ms) / DOUBLING_MS).exp2() * DOUBLING_MS / LN_2
    }
}
