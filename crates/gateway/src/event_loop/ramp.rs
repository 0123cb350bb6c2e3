//! First connections to backends in slots. The policy may use a backend once its slot has come and it has
//! answered on its first connection.

use std::collections::{HashMap, HashSet};

use cold_start::{ConnectionRamp, RampStage};
use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, Outcome, UpdateScope};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::input::{ProbePurpose, TimerKind};
use crate::upstream::Reply;

use super::timers::TimerKey;
use super::EventLoop;

/// The schedule of first connections, and the endpoints of backends that wait for their slot.
pub struct StartRamp {
    schedule: ConnectionRamp,
    /// By number, the latest endpoint of each waiting backend, which the policy gets when the backend is
    /// open.
    held_back: HashMap<u32, BackendEndpoint>,
    /// Timer for the next slot, with its time, Unix time in ms.
    timer: Option<(TimerKey, f64)>,
    /// The stage that was last logged.
    stage: RampStage,
    /// True once a backend is open, or the confirmed endpoint list is empty.
    ready: watch::Sender<bool>,
}

impl StartRamp {
    /// Creates the ramp. The receiver becomes true once a backend is open or the confirmed endpoint list is
    /// empty.
    pub fn new(schedule: ConnectionRamp) -> (StartRamp, watch::Receiver<bool>) {
        let (ready, receiver) = watch::channel(false);
        (
            StartRamp { schedule, held_back: HashMap::new(), timer: None, stage: RampStage::Empty, ready },
            receiver,
        )
    }

    /// Records that discovery has confirmed the endpoint list, which was cached until then.
    pub fn confirm(&mut self, now_ms: f64) {
        self.schedule.confirm(now_ms);
    }

    /// Number of listed backends that the policy may not use yet.
    pub fn waiting_count(&self) -> usize {
        self.schedule.waiting_count()
    }
}

impl EventLoop {
    /// Marks backends that wait for their slot as draining in an update for the policy, and keeps their real
    /// endpoints.
    pub(super) fn hold_back(&mut self, scope: UpdateScope, entries: &mut [BackendEndpoint]) {
        let Some(StartRamp { schedule, held_back, .. }) = &mut self.ramp else { return };
        if matches!(scope, UpdateScope::Full | UpdateScope::Cached) {
            let listed: HashSet<u32> = entries.iter().map(|e| e.id).collect();
            schedule.retain(|id| listed.contains(&id));
            held_back.retain(|id, _| listed.contains(id));
        }
        for entry in entries {
            if entry.state != EndpointState::Ready {
                schedule.remove(entry.id);
                held_back.remove(&entry.id);
            } else if !schedule.add(entry.id, entry.key, entry.slow_start_from_ms()) {
                held_back.insert(entry.id, entry.clone());
                entry.state = EndpointState::Draining;
            }
        }
    }

    /// Assigns slots, releases backends that need none to the policy, reports readiness when the first
    /// backend is open, and sets the timer for the next slot.
    pub(super) fn advance_ramp(&mut self) {
        let (now, in_flight) = (self.clock.now_ms(), self.attempts.len());
        let Some(ramp) = &mut self.ramp else { return };
        ramp.schedule.choose(now, in_flight);
        let released = ramp.schedule.release(now);
        let entries: Vec<BackendEndpoint> =
            released.iter().filter_map(|id| ramp.held_back.remove(id)).collect();
        if !entries.is_empty() {
            self.handle_event(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &entries });
        }
        let Some(ramp) = &mut self.ramp else { return };
        let (stage, open) = (ramp.schedule.stage(), ramp.schedule.open_count());
        if std::mem::replace(&mut ramp.stage, stage) != stage {
            tracing::info!("start: {stage}; {open} backends open, {} wait", ramp.schedule.waiting_count());
        }
        let none_listed = stage == RampStage::Empty && ramp.schedule.confirmed();
        if open > 0 || none_listed {
            ramp.ready.send_if_modified(|was| !std::mem::replace(was, true));
        }
        self.set_ramp_timer();
    }

    /// Sets the timer for the next slot.
    pub(super) fn set_ramp_timer(&mut self) {
        let Some(ramp) = &mut self.ramp else { return };
        let now = self.clock.now_ms();
        ramp.schedule.choose(now, self.attempts.len());
        let next = ramp.schedule.next_wakeup_ms(now);
        if next == ramp.timer.as_ref().map(|(_, at_ms)| *at_ms) {
            return;
        }
        if let Some((key, _)) = ramp.timer.take() {
            self.timers.cancel(&key);
        }
        ramp.timer = next.map(|at_ms| (self.timers.set_at_ms(TimerKind::ConnectionRamp, at_ms), at_ms));
    }

    /// Opens first connections to the backends whose slot has come.
    pub(super) fn ramp_timer_expired(&mut self) {
        // The key of an expired timer may be reused for another one, so it must not be cancelled later.
        if let Some(ramp) = &mut self.ramp {
            ramp.timer = None;
        }
        loop {
            let now = self.clock.now_ms();
            let Some(ramp) = &mut self.ramp else { return };
            let Some(backend) = ramp.schedule.due(now) else { break };
            let Some(started_ms) = ramp.held_back.get(&backend).map(BackendEndpoint::slow_start_from_ms)
            else {
                continue;
            };
            self.probe(backend, ProbePurpose::FirstConnection { started_ms });
        }
        self.advance_ramp();
    }

    /// Handles the outcome of a first connection. The policy may use a backend from its first answer on.
    pub(super) fn first_connection_ended(&mut self, backend: u32, started_ms: f64, reply: &Reply) {
        // A backend that rejects for overload has answered, too.
        let answered = matches!(reply, Reply::Served(..) | Reply::Failed(Outcome::Rejected, _));
        let now = self.clock.now_ms();
        let Some(ramp) = &mut self.ramp else { return };
        if ramp.schedule.first_connection_ended(now, backend, started_ms, answered) {
            self.pool.first_connection_answered(backend, Instant::now());
            if let Some(entry) = ramp.held_back.remove(&backend) {
                self.handle_event(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &[entry] });
            }
        }
        self.advance_ramp();
    }

    /// Records the outcome of an attempt for the pool's growth and the ramp.
    pub(super) fn record_attempt_for_ramp(&mut self, backend: u32, reply: &Reply) {
        let Some(ramp) = &mut self.ramp else { return };
        match reply {
            Reply::Served(..) => self.pool.attempt_answered(backend, Instant::now()),
            Reply::Failed(Outcome::ConnectFailed | Outcome::Reset | Outcome::Timeout, _) => {
                ramp.schedule.record_failure();
                self.set_ramp_timer();
            }
            Reply::Failed(..) => {}
        }
    }
}
