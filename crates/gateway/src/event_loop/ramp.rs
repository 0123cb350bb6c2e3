//! First connections to backends in slots: the policy gets a backend when its slot has come and it has
//! answered.

use std::collections::{HashMap, HashSet};

use cold_start::{ConnectionRamp, RampStage};
use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, Outcome, UpdateScope};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::input::{ProbePurpose, TimerKind};
use crate::upstream::Reply;

use super::timers::TimerKey;
use super::EventLoop;

/// Which backends are open, and the lines of those that wait for their slot.
pub struct StartRamp {
    openings: ConnectionRamp,
    /// The last line of each that waits, as the policy gets it when it is open.
    held_back: HashMap<u32, BackendEndpoint>,
    /// The timer of the next slot, and its moment, Unix time in ms.
    timer: Option<(TimerKey, f64)>,
    /// The stage that was logged last.
    stage: RampStage,
    /// Whether there is a backend to send to, or it is sure that the list names none.
    reached: watch::Sender<bool>,
}

impl StartRamp {
    /// With whether there is a backend to send to.
    pub fn new(openings: ConnectionRamp) -> (StartRamp, watch::Receiver<bool>) {
        let (reached, receiver) = watch::channel(false);
        (
            StartRamp { openings, held_back: HashMap::new(), timer: None, stage: RampStage::Empty, reached },
            receiver,
        )
    }

    /// The cached list is the one that there is.
    pub fn confirm(&mut self, now_ms: f64) {
        self.openings.confirm(now_ms);
    }

    /// Backends on the list that the policy may not have yet.
    pub fn waiting(&self) -> usize {
        self.openings.waiting_count()
    }
}

impl EventLoop {
    /// Has the policy see backends that wait for their slot as draining.
    pub(super) fn hold_back(&mut self, scope: UpdateScope, entries: &mut [BackendEndpoint]) {
        let Some(StartRamp { openings, held_back, .. }) = &mut self.ramp else { return };
        if matches!(scope, UpdateScope::Full | UpdateScope::Cached) {
            let named: HashSet<u32> = entries.iter().map(|e| e.id).collect();
            openings.retain(|id| named.contains(&id));
            held_back.retain(|id, _| named.contains(id));
        }
        for entry in entries {
            if entry.state != EndpointState::Ready {
                openings.remove(entry.id);
                held_back.remove(&entry.id);
            } else if !openings.add(entry.id, entry.key, entry.slow_start_from_ms()) {
                held_back.insert(entry.id, entry.clone());
                entry.state = EndpointState::Draining;
            }
        }
    }

    /// Assigns slots, has the policy use backends that need none, notifies whoever waits for the first that
    /// is open, and sets the timer of the next slot.
    pub(super) fn settle_ramp(&mut self) {
        let (now, out) = (self.clock.now_ms(), self.attempts.len());
        let Some(ramp) = &mut self.ramp else { return };
        ramp.openings.choose(now, out);
        let released = ramp.openings.release(now);
        let entries: Vec<BackendEndpoint> =
            released.iter().filter_map(|id| ramp.held_back.remove(id)).collect();
        if !entries.is_empty() {
            self.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &entries });
        }
        let Some(ramp) = &mut self.ramp else { return };
        let (stage, open) = (ramp.openings.stage(), ramp.openings.open());
        if std::mem::replace(&mut ramp.stage, stage) != stage {
            tracing::info!("start: {stage}; {open} backends open, {} wait", ramp.openings.waiting_count());
        }
        let none_listed = stage == RampStage::Empty && ramp.openings.confirmed();
        if open > 0 || none_listed {
            ramp.reached.send_if_modified(|was| !std::mem::replace(was, true));
        }
        self.arm_ramp();
    }

    /// Sets the timer of the next slot.
    pub(super) fn arm_ramp(&mut self) {
        let Some(ramp) = &mut self.ramp else { return };
        let now = self.clock.now_ms();
        ramp.openings.choose(now, self.attempts.len());
        let next = ramp.openings.next(now);
        if next == ramp.timer.as_ref().map(|(_, at_ms)| *at_ms) {
            return;
        }
        if let Some((key, _)) = ramp.timer.take() {
            self.timers.cancel(&key);
        }
        ramp.timer = next.map(|at_ms| (self.timers.set_at_ms(TimerKind::ConnectionRamp, at_ms), at_ms));
    }

    /// Opens what is due.
    pub(super) fn ramp_due(&mut self) {
        // The key of a timer that has expired may be given to another one.
        if let Some(ramp) = &mut self.ramp {
            ramp.timer = None;
        }
        loop {
            let now = self.clock.now_ms();
            let Some(ramp) = &mut self.ramp else { return };
            let Some(backend) = ramp.openings.due(now) else { break };
            let Some(started_ms) = ramp.held_back.get(&backend).map(BackendEndpoint::slow_start_from_ms)
            else {
                continue;
            };
            self.probe(backend, ProbePurpose::FirstConnection { started_ms });
        }
        self.settle_ramp();
    }

    /// Handles the outcome of a first connection. The policy has a backend from its first answer on.
    pub(super) fn ramp_tried(&mut self, backend: u32, started_ms: f64, reply: &Reply) {
        // One that is full answers.
        let answered = matches!(reply, Reply::Served(..) | Reply::Failed(Outcome::Rejected, _));
        let now = self.clock.now_ms();
        let Some(ramp) = &mut self.ramp else { return };
        if ramp.openings.first_connection_ended(now, backend, started_ms, answered) {
            self.pool.first_connection_answered(backend, Instant::now());
            if let Some(entry) = ramp.held_back.remove(&backend) {
                self.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &[entry] });
            }
        }
        self.settle_ramp();
    }

    /// Notes how an attempt at a backend ended.
    pub(super) fn note_for_ramp(&mut self, backend: u32, reply: &Reply) {
        let Some(ramp) = &mut self.ramp else { return };
        match reply {
            Reply::Served(..) => self.pool.attempt_answered(backend, Instant::now()),
            Reply::Failed(Outcome::ConnectFailed | Outcome::Reset | Outcome::Timeout, _) => {
                ramp.openings.record_failure();
                self.arm_ramp();
            }
            Reply::Failed(..) => {}
        }
    }
}
