//! A simulated backend.

use std::collections::VecDeque;

use gateway_policy::interface::SlowStart;

use super::{FaultKind, Scenario};

/// An attempt that waits or runs at a backend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    /// Index of its attempt.
    pub attempt: usize,
    /// Service time on a warm backend without a fault, ms.
    pub work: f64,
}

/// Work sent to a warming backend.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartSend {
    /// Time of the send, ms.
    pub at: f64,
    /// Service time on a warm backend, ms.
    pub work: f64,
    /// Whether the sending gateway had been notified of the backend's start.
    pub notified: bool,
}

#[derive(Debug)]
pub(super) struct Backend {
    pub zone: u32,
    pub cell: u32,
    /// Start time, ms; 0 for a backend that was warm from the beginning.
    pub started: f64,
    pub fault: Option<FaultKind>,
    /// Whether it ever had a fault or was removed.
    pub had_fault: bool,
    /// Whether it was removed from the list.
    pub removed: bool,
    /// Number of open connections.
    pub connected: u32,
    /// Incremented when a fault closes all connections.
    pub incarnation: u32,
    /// Number of occupied slots.
    pub busy: u32,
    /// Requests sent but not yet received.
    pub in_transit: u32,
    pub waiting: VecDeque<Job>,
    /// Total work sent to it, ms.
    pub work_sent: f64,
    /// Work sent to it while it was warming up.
    pub slow_start_sends: Vec<SlowStartSend>,
    /// Position among the list's changes of the one that announced its current incarnation; `None` before
    /// that.
    pub list_position: Option<usize>,
    slots: u32,
    /// Maximum number of waiting jobs.
    queue: usize,
    slow_start: SlowStart,
    /// Offset of its pauses, as a fraction of the pause period.
    phase: f64,
}

impl Backend {
    pub fn new(scenario: &Scenario, number: u32, started: f64) -> Backend {
        Backend {
            // Spreads each cell over all zones, so that the loss of a zone is not the loss of whole cells.
            zone: number % scenario.zones.max(1),
            cell: number / scenario.cell.max(1),
            started,
            fault: None,
            had_fault: false,
            removed: false,
            connected: 0,
            incarnation: 0,
            busy: 0,
            in_transit: 0,
            waiting: VecDeque::new(),
            work_sent: 0.0,
            slow_start_sends: Vec::new(),
            list_position: None,
            slots: scenario.slots,
            queue: scenario.queue_length,
            slow_start: scenario.slow_start.clone(),
            // Multiples of the golden ratio are spread evenly for any number of backends.
            phase: (f64::from(number) * 0.618_033_988_749_895).fract(),
        }
    }

    /// Returns whether all connection attempts fail.
    pub fn is_down(&self) -> bool {
        matches!(self.fault, Some(FaultKind::Dead | FaultKind::Lost))
    }

    /// Begins a fault, or ends the current one.
    pub fn set_fault(&mut self, fault: Option<FaultKind>, now: f64) {
        let before = std::mem::replace(&mut self.fault, fault);
        self.had_fault = true;
        if self.is_down() {
            (self.connected, self.incarnation) = (0, self.incarnation + 1);
        }
        if before == Some(FaultKind::Lost) && fault.is_none() {
            // The backend restarts without its previous state.
            (self.started, self.work_sent, self.list_position) = (now, 0.0, None);
            self.slow_start_sends.clear();
        }
    }

    /// Returns its current capacity as a fraction of its full capacity.
    pub fn capacity_fraction(&self, now: f64) -> f64 {
        if self.started <= 0.0 {
            return 1.0;
        }
        let s = &self.slow_start;
        let warmth = ((now - self.started) / s.warm_up_ms).clamp(0.0, 1.0);
        s.initial_capacity + (1.0 - s.initial_capacity) * warmth
    }

    /// Returns the factor by which a request takes longer than on a warm backend without a fault.
    pub fn slowdown(&self, now: f64) -> f64 {
        let slow = if let Some(FaultKind::Slow(by)) = self.fault { by } else { 1.0 };
        slow / self.capacity_fraction(now)
    }

    /// Returns the service time of work that begins now, ms, including pauses.
    pub fn service_time(&self, now: f64, work: f64) -> f64 {
        let mut left = work * self.slowdown(now);
        let Some(FaultKind::Pausing { pause_ms, period_ms }) = self.fault else { return left };
        let mut at = now;
        loop {
            let elapsed = (at + self.phase * period_ms) % period_ms;
            at += (pause_ms - elapsed).max(0.0);
            let until_pause = period_ms - elapsed.max(pause_ms);
            if left <= until_pause {
                return at + left - now;
            }
            (left, at) = (left - until_pause, at + until_pause);
        }
    }

    /// Records work sent by a gateway that has received the list's first `changes_received` changes.
    pub fn record_send(&mut self, now: f64, work: f64, changes_received: usize) {
        self.work_sent += work;
        if self.capacity_fraction(now) < 1.0 {
            let notified = self.list_position.is_some_and(|position| position < changes_received);
            self.slow_start_sends.push(SlowStartSend { at: now, work, notified });
        }
    }

    /// Accepts a job: `Some(true)` if its work begins, `Some(false)` if it waits, `None` if the queue is
    /// full.
    pub fn enqueue(&mut self, job: Job) -> Option<bool> {
        if self.busy < self.slots {
            self.busy += 1;
            return Some(true);
        }
        if self.waiting.len() >= self.queue {
            return None;
        }
        self.waiting.push_back(job);
        Some(false)
    }

    /// Ends a job and returns the waiting one that begins in its place.
    pub fn finish_one(&mut self) -> Option<Job> {
        let next = self.waiting.pop_front();
        self.busy -= u32::from(next.is_none());
        next
    }

    /// Returns the expected time until one more request would be done, in units of its service time on a warm
    /// backend.
    pub fn expected_finish(&self, now: f64) -> f64 {
        let ahead = self.waiting.len() as f64 + f64::from(self.busy + self.in_transit);
        let slots = f64::from(self.slots);
        // The expected number of attempts until one succeeds.
        let attempts = match self.fault {
            _ if self.removed => f64::INFINITY,
            Some(FaultKind::Dead | FaultKind::Lost) => f64::INFINITY,
            Some(FaultKind::Failing(probability)) => 1.0 / (1.0 - probability).max(f64::MIN_POSITIVE),
            _ => 1.0,
        };
        attempts * self.slowdown(now) * (1.0 + (ahead + 1.0 - slots).max(0.0) / slots)
    }

    /// Returns the maximum use of the slow-start limit in any overload window: the work sent, divided by the
    /// product of overload multiple, capacity at the window's start, slots and window length. The first value
    /// is over all windows. The second is over those in which more than two thirds of the work came from
    /// gateways that had been notified of the start, as the slow-start rule only binds those.
    pub fn max_slow_start_use(&self) -> (f64, f64) {
        let s = &self.slow_start;
        let (mut max_use, mut max_notified_use, mut first) = (0.0f64, 0.0f64, 0);
        let (mut sum, mut notified) = (0.0, 0.0);
        let notified_work = |send: &SlowStartSend| if send.notified { send.work } else { 0.0 };
        for send in &self.slow_start_sends {
            (sum, notified) = (sum + send.work, notified + notified_work(send));
            while send.at - self.slow_start_sends[first].at > s.overload_window_ms {
                (sum, notified) = (
                    sum - self.slow_start_sends[first].work,
                    notified - notified_work(&self.slow_start_sends[first]),
                );
                first += 1;
            }
            let warmth = self.capacity_fraction(self.slow_start_sends[first].at);
            let used = sum / (s.overload_multiple * warmth * f64::from(self.slots) * s.overload_window_ms);
            max_use = max_use.max(used);
            if notified > 2.0 / 3.0 * sum {
                max_notified_use = max_notified_use.max(used);
            }
        }
        (max_use, max_notified_use)
    }
}
