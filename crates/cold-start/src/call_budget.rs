//! How many calls to the counter a gateway makes in the first seconds after its start.

use crate::SlotSchedule;

/// The part of what the counter bears with which all begin.
const FIRST: f64 = 0.5;
/// Time in which the allowance doubles, ms: what is learned of the counter's answers grows by 0.6 in it.
const DOUBLES_MS: f64 = 2_000.0;
/// After so many doublings there is no bound any more: what a gateway has learned of the counter decides.
const DOUBLINGS: f64 = 6.0;
/// Calls that it may save up.
const SAVED: f64 = 2.0;

/// The calls of one gateway to the counter after its start.
///
/// It begins with half of its part of what the counter bears, in its slot of a round that all share, and may
/// make twice as many in every two seconds as in those before (slow start, as TCP's, RFC 5681), until what
/// it has learned by then of the counter's answers is all that bounds it.
///
/// Danger: a fleet that starts together and makes every call until each gateway has learned by calls of its
/// own that ended too late that these are too many. Harm: for a few seconds stores decide by shares more
/// often.
#[derive(Clone, Copy, Debug)]
pub struct CallBudget {
    /// Calls a ms at first.
    rate: f64,
    /// Its first slot, Unix time in ms.
    begins_ms: f64,
    saved: f64,
    at_ms: f64,
}

impl CallBudget {
    /// That of gateway `place`, from 0, of `gateways` (0 counts as 1), that starts at `now_ms`, Unix time,
    /// where the counter bears `calls_per_s` calls a second from all of them, 0.001 at least.
    #[must_use]
    pub fn new(place: u32, gateways: u32, calls_per_s: f64, now_ms: f64) -> CallBudget {
        let calendar = SlotSchedule::new(place, gateways, calls_per_s);
        let rate = FIRST / (calendar.round().as_secs_f64() * 1_000.0);
        let (_, begins_ms) = calendar.next(now_ms, None);
        CallBudget { rate, begins_ms, saved: 1.0, at_ms: begins_ms }
    }

    /// Whether it is over: there is no bound any more.
    #[must_use]
    pub fn is_over(&self, now_ms: f64) -> bool {
        now_ms - self.begins_ms >= DOUBLES_MS * DOUBLINGS
    }

    /// Whether a call may be made at `now_ms`. If so, it is made.
    pub fn try_take(&mut self, now_ms: f64) -> bool {
        if now_ms < self.begins_ms {
            return false;
        }
        if self.is_over(now_ms) {
            return true;
        }
        // The integral of a rate that doubles from second to second.
        let grown =
            |at: f64| ((at - self.begins_ms) / DOUBLES_MS).exp2() * DOUBLES_MS / std::f64::consts::LN_2;
        let more = self.rate * (grown(now_ms) - grown(self.at_ms)).max(0.0);
        (self.saved, self.at_ms) = ((self.saved + more).min(SAVED), now_ms);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
