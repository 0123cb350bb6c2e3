//! The end of a request: its single final answer and the cancellation of its remaining attempts.

use super::Policy;
use crate::interface::{Action, Request};

impl Policy {
    /// Ends a request with the most favourable answer that is valid: rejected if that is safe, otherwise
    /// failed.
    pub(super) fn reject_or_fail(&mut self, id: u64, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        if open.answered || open.streaming {
            return;
        }
        let answer = if self.may_reject(open) {
            Action::Reject { id, retry_after_ms: self.retry_after_ms(&open.request) }
        } else {
            Action::Fail { id }
        };
        actions.push(answer);
        self.finish_request(id, actions);
    }

    /// Returns the time after which the customer's quota covers a rejected request, ms; `None` if no advice
    /// is given.
    fn retry_after_ms(&self, request: &Request) -> Option<f64> {
        if !self.settings.limits.retry_advice {
            return None;
        }
        let quota = self.customers.get(request.customer).filter(|quota| quota.plan.rate > 0.0)?;
        let wait_ms = quota.time_to_cover_ms(request.units);
        (wait_ms > 0.0).then(|| wait_ms.min(self.settings.limits.max_retry_after_ms))
    }

    /// Marks a request as answered, or as one that needs no answer any more.
    pub(super) fn finish_request(&mut self, id: u64, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.answered = true;
        // A request that was never sent is not charged.
        if open.attempts.is_empty() {
            if let Some(quota) = self.customers.get_mut(open.request.customer) {
                quota.withdraw(open.charge, open.extra_report);
            }
        }
        if !open.has_pending_attempt() {
            self.requests.remove(&id);
        }
        self.cancel_attempts(id, None, actions);
    }

    /// Cancels the pending attempts of a request, except for one.
    pub(super) fn cancel_attempts(&self, id: u64, except: Option<u32>, actions: &mut Vec<Action>) {
        if !self.settings.limits.cancel {
            return;
        }
        let Some(open) = self.requests.get(&id) else { return };
        for (number, attempt) in (0..).zip(&open.attempts) {
            if attempt.pending && Some(number) != except {
                actions.push(Action::CancelAttempt { id, attempt: number });
            }
        }
    }
}
