//! Calls to the shared counter whose outcome the policy does not have yet.

use std::collections::HashMap;
use std::time::Duration;

use cold_start::CallBudget;
use gateway_policy::interface::Outcome;
use tokio::time::Instant;

use super::timers::{TimerKey, Timers};
use crate::counter::{Call, Counted, Counter};
use crate::input::TimerKind;

/// A call whose outcome the policy does not have yet.
struct InFlight {
    /// The counter's key of the total.
    key: u64,
    made: Instant,
    /// Expires when the call is out of time.
    timer: TimerKey,
}

/// A call that the policy wants made.
pub(super) struct NewCall {
    /// The counter's key of the total.
    pub key: u64,
    pub amount: f64,
    /// The counter forgets the total after this, ms.
    pub ttl_ms: f64,
}

/// The shared counter, and the calls to it that are in flight.
pub(super) struct CounterCalls {
    counter: Option<Counter>,
    /// Bounds calls after the start; none: all may be made.
    budget: Option<CallBudget>,
    in_flight: HashMap<u64, InFlight>,
    last_number: u64,
}

impl CounterCalls {
    /// Calls to a counter, with none in flight.
    pub fn new(counter: Option<Counter>, budget: Option<CallBudget>) -> CounterCalls {
        CounterCalls { counter, budget, in_flight: HashMap::new(), last_number: 0 }
    }

    /// Makes a call. Returns its outcome where it could not even be queued.
    pub fn start(&mut self, call: &NewCall, now_ms: f64, timers: &mut Timers) -> Option<Counted> {
        self.last_number += 1;
        let (number, made) = (self.last_number, Instant::now());
        let timeout = self.counter.as_ref().map_or(Duration::ZERO, |counter| counter.timeout);
        let timer = timers.set_at(TimerKind::CounterCall(number), made + timeout);
        self.in_flight.insert(number, InFlight { key: call.key, made, timer });
        let NewCall { key: name, amount, ttl_ms: life_ms } = *call;
        // The outcome `Full` has the policy make fewer calls, and what it learns so lasts until the budget
        // ends: it is to count each call that is left out.
        let within_budget = self.within_budget(now_ms);
        let queued = within_budget
            && self
                .counter
                .as_ref()
                .is_some_and(|c| c.call(Call { number, name, amount, life_ms, at: made }));
        (!queued).then_some(Counted { number, outcome: Outcome::Rejected, total: 0.0 })
    }

    fn within_budget(&mut self, now_ms: f64) -> bool {
        if self.budget.is_some_and(|budget| budget.is_over(now_ms)) {
            self.budget = None;
        }
        self.budget.as_mut().is_none_or(|budget| budget.try_take(now_ms))
    }

    /// Settles a call that has an outcome; returns its key. The late answer of a call that is out of time is
    /// none, so that it is not taken for that of another.
    pub fn settle(&mut self, number: u64, timers: &mut Timers) -> Option<u64> {
        let call = self.in_flight.remove(&number)?;
        timers.cancel(&call.timer);
        Some(call.key)
    }

    /// Settles a call whose timer has expired; returns its key and outcome.
    pub fn time_out(&mut self, number: u64) -> Option<(u64, Outcome)> {
        let InFlight { key, made, .. } = self.in_flight.remove(&number)?;
        let outcome = self.counter.as_ref().map_or(Outcome::Timeout, |c| c.overdue(number, key, made));
        Some((key, outcome))
    }

    /// Goes over to another counter. Returns the numbers of the calls that are in flight at the old one,
    /// which may have been added there.
    pub fn replace(&mut self, counter: Counter) -> Vec<u64> {
        self.counter = Some(counter);
        let mut in_flight: Vec<u64> = self.in_flight.keys().copied().collect();
        in_flight.sort_unstable();
        in_flight
    }
}
