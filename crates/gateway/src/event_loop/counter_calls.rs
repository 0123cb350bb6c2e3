//! Calls to the shared counter whose outcome has not been reported to the policy.

use std::collections::HashMap;
use std::time::Duration;

use cold_start::CallBudget;
use gateway_policy::interface::Outcome;
use tokio::time::Instant;

use super::timers::{TimerKey, Timers};
use crate::counter::{Call, Counter, CounterReply};
use crate::input::TimerKind;

/// A call whose outcome has not been reported to the policy.
struct InFlight {
    /// Key of the total in the counter.
    key: u64,
    made_at: Instant,
    /// Expires when the call times out.
    timer: TimerKey,
}

/// A call requested by the policy.
pub(super) struct NewCall {
    /// Key of the total in the counter.
    pub key: u64,
    pub amount: f64,
    /// Time after which the counter discards the total, ms.
    pub ttl_ms: f64,
}

/// The shared counter and the calls in flight to it.
pub(super) struct CounterCalls {
    counter: Option<Counter>,
    /// Limits calls after the start. `None`: unlimited.
    budget: Option<CallBudget>,
    in_flight: HashMap<u64, InFlight>,
    last_number: u64,
}

impl CounterCalls {
    /// Creates the state for a counter, with no calls in flight.
    pub fn new(counter: Option<Counter>, budget: Option<CallBudget>) -> CounterCalls {
        CounterCalls { counter, budget, in_flight: HashMap::new(), last_number: 0 }
    }

    /// Makes a call. Returns its outcome immediately if it could not be queued.
    pub fn start(&mut self, call: &NewCall, now_ms: f64, timers: &mut Timers) -> Option<CounterReply> {
        self.last_number += 1;
        let (number, made_at) = (self.last_number, Instant::now());
        let timeout = self.counter.as_ref().map_or(Duration::ZERO, |counter| counter.timeout);
        let timer = timers.set_at(TimerKind::CounterCall(number), made_at + timeout);
        self.in_flight.insert(number, InFlight { key: call.key, made_at, timer });
        let NewCall { key, amount, ttl_ms } = *call;
        // A call that the budget suppresses is reported as rejected, like one the counter refuses, so
        // that the policy makes fewer calls. What the policy learns in this way has to bound its calls
        // when the budget ends, so every suppressed call must be reported.
        let within_budget = self.within_budget(now_ms);
        let queued = within_budget
            && self.counter.as_ref().is_some_and(|c| c.call(Call { number, key, amount, ttl_ms, made_at }));
        (!queued).then_some(CounterReply { number, outcome: Outcome::Rejected, total: 0.0 })
    }

    fn within_budget(&mut self, now_ms: f64) -> bool {
        if self.budget.is_some_and(|budget| budget.is_over(now_ms)) {
            self.budget = None;
        }
        self.budget.as_mut().is_none_or(|budget| budget.try_take(now_ms))
    }

    /// Completes a call that has an outcome and returns its key. Returns `None` for the late reply to a call
    /// that already timed out, so that it is not attributed to another call.
    pub fn complete(&mut self, number: u64, timers: &mut Timers) -> Option<u64> {
        let call = self.in_flight.remove(&number)?;
        timers.cancel(&call.timer);
        Some(call.key)
    }

    /// Completes a call whose timer has expired and returns its key and outcome.
    pub fn time_out(&mut self, number: u64) -> Option<(u64, Outcome)> {
        let InFlight { key, made_at, .. } = self.in_flight.remove(&number)?;
        let outcome =
            self.counter.as_ref().map_or(Outcome::Timeout, |c| c.timeout_outcome(number, key, made_at));
        Some((key, outcome))
    }

    /// Switches to another counter. Returns the numbers of the calls in flight at the old one, which may
    /// or may not have been added there.
    pub fn replace_counter(&mut self, counter: Counter) -> Vec<u64> {
        self.counter = Some(counter);
        let mut in_flight: Vec<u64> = self.in_flight.keys().copied().collect();
        in_flight.sort_unstable();
        in_flight
    }
}
