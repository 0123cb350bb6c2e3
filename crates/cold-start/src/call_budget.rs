//! Limit on the counter calls that a gateway makes in the first seconds after its start.

use std::f64::consts::LN_2;

use crate::SlotSchedule;

/// Fraction of the counter's capacity that a fleet uses at first.
const INITIAL_UTILIZATION: f64 = 0.5;
/// Time in which the rate doubles, ms. The call probability, by which a gateway throttles its calls according
/// to the counter's responses, grows by 0.6 in this time.
const DOUBLING_MS: f64 = 2_000.0;
/// Number of doublings after which the budget no longer limits calls.
const DOUBLINGS: f64 = 6.0;
/// Maximum number of calls that can be saved up.
const MAX_SAVED_CALLS: f64 = 2.0;

/// Limit on the counter calls of one gateway after its start.
///
/// Without it, the gateways of a fleet that start at the same time would make every call until each of them
/// had learned from timeouts that the counter is overloaded. So a gateway starts in its slot of the shared
/// round, with half of its share of the counter's capacity, and doubles its rate every two seconds (slow
/// start as in TCP, RFC 5681), until only the throttling applies. During these seconds it decides more
/// often by quota shares instead of counter calls.
#[derive(Clone, Copy, Debug)]
pub struct CallBudget {
    /// Initial rate, calls per ms.
    initial_rate: f64,
    /// The gateway's first slot, Unix time in ms.
    start_ms: f64,
    saved_calls: f64,
    /// When `saved_calls` was last updated, Unix time in ms.
    updated_ms: f64,
}

impl CallBudget {
    /// Returns the budget of gateway `index` (from 0) of `gateways` (0 counts as 1) that starts at `now_ms`,
    /// Unix time. The counter handles `calls_per_s` calls a second from all gateways; values below 0.001
    /// count as 0.001.
    #[must_use]
    pub fn new(index: u32, gateways: u32, calls_per_s: f64, now_ms: f64) -> CallBudget {
        let schedule = SlotSchedule::new(index, gateways, calls_per_s);
        let initial_rate = INITIAL_UTILIZATION / (schedule.round().as_secs_f64() * 1_000.0);
        let start_ms = schedule.next_slot(now_ms, None).start_ms;
        CallBudget { initial_rate, start_ms, saved_calls: 1.0, updated_ms: start_ms }
    }

    /// Whether the budget no longer limits calls.
    #[must_use]
    pub fn is_over(&self, now_ms: f64) -> bool {
        now_ms - self.start_ms >= DOUBLING_MS * DOUBLINGS
    }

    /// Takes one call from the budget at `now_ms`, Unix time. Returns whether the call may be made.
    pub fn try_take(&mut self, now_ms: f64) -> bool {
        if now_ms < self.start_ms {
            return false;
        }
        if self.is_over(now_ms) {
            return true;
        }
        let earned =
            self.initial_rate * (self.rate_integral(now_ms) - self.rate_integral(self.updated_ms)).max(0.0);
        self.saved_calls = (self.saved_calls + earned).min(MAX_SAVED_CALLS);
        self.updated_ms = now_ms;
        if self.saved_calls < 1.0 {
            return false;
        }
        self.saved_calls -= 1.0;
        true
    }

    /// Returns the integral up to `at_ms` of a rate that is 1 at `start_ms` and doubles every
    /// [`DOUBLING_MS`].
    fn rate_integral(&self, at_ms: f64) -> f64 {
        ((at_ms - self.start_ms) / DOUBLING_MS).exp2() * DOUBLING_MS / LN_2
    }
}
