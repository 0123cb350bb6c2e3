//! First connections to backends by turns: what the decisions are told of the list, and when.

use std::collections::{HashMap, HashSet};

use cold_start::{ConnectionRamp, RampStage};
use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, Outcome, UpdateScope};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::time::delay_queue;

use crate::backends::Reply;
use crate::input::{Due, Purpose};

use super::Driver;

/// Which backends are open, and the lines of those that wait for their turn.
pub struct Opening {
    openings: ConnectionRamp,
    /// The last line of each that waits, as the decisions get it when it is open.
    held_back: HashMap<u32, BackendEndpoint>,
    /// The timer of the next turn, and its moment, Unix time in ms.
    timer: Option<(delay_queue::Key, f64)>,
    /// What was said last of how far it has come.
    stage: RampStage,
    /// Whether there is a backend to send to, or it is sure that the list names none.
    reached: watch::Sender<bool>,
}

impl Opening {
    /// With whether there is a backend to send to.
    pub fn new(openings: ConnectionRamp) -> (Opening, watch::Receiver<bool>) {
        let (reached, told) = watch::channel(false);
        (Opening { openings, held_back: HashMap::new(), timer: None, stage: RampStage::Empty, reached }, told)
    }

    /// The list held is the one that there is.
    pub fn confirm(&mut self, now_ms: f64) {
        self.openings.confirm(now_ms);
    }

    /// Backends on the list that the decisions may not have yet.
    pub fn waiting(&self) -> usize {
        self.openings.waiting_count()
    }
}

impl Driver {
    /// Makes drains of the lines of backends that wait for their turn.
    pub(super) fn hold_back(&mut self, scope: UpdateScope, entries: &mut [BackendEndpoint]) {
        let Some(Opening { openings, held_back, .. }) = &mut self.opening else { return };
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

    /// Gives turns, tells the decisions of backends that need none, whoever waits for the first that is open,
    /// and sets the timer of the next turn.
    pub(super) fn settle_opening(&mut self) {
        let (now, out) = (self.clock.now_ms(), self.attempts.len());
        let Some(opening) = &mut self.opening else { return };
        opening.openings.choose(now, out);
        let released = opening.openings.release(now);
        let entries: Vec<BackendEndpoint> =
            released.iter().filter_map(|id| opening.held_back.remove(id)).collect();
        if !entries.is_empty() {
            self.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &entries });
        }
        let Some(opening) = &mut self.opening else { return };
        let (stage, open) = (opening.openings.stage(), opening.openings.open());
        if std::mem::replace(&mut opening.stage, stage) != stage {
            tracing::info!("start: {stage}; {open} backends open, {} wait", opening.openings.waiting_count());
        }
        let none_listed = stage == RampStage::Empty && opening.openings.confirmed();
        if open > 0 || none_listed {
            opening.reached.send_if_modified(|was| !std::mem::replace(was, true));
        }
        self.arm_opening();
    }

    /// Sets the timer of the next turn.
    pub(super) fn arm_opening(&mut self) {
        let Some(opening) = &mut self.opening else { return };
        let now = self.clock.now_ms();
        opening.openings.choose(now, self.attempts.len());
        let next = opening.openings.next(now);
        if next == opening.timer.as_ref().map(|(_, at_ms)| *at_ms) {
            return;
        }
        if let Some((key, _)) = opening.timer.take() {
            self.timers.try_remove(&key);
        }
        opening.timer = next.map(|at| (self.timers.insert_at(Due::Opening, self.clock.instant(at)), at));
    }

    /// Opens what is due.
    pub(super) fn opening_due(&mut self) {
        // Danger: the key of a timer that rang is given to another one.
        self.opening.as_mut().into_iter().for_each(|o| o.timer = None);
        loop {
            let now = self.clock.now_ms();
            let Some(opening) = &mut self.opening else { return };
            let Some(backend) = opening.openings.due(now) else { break };
            let Some(life_ms) = opening.held_back.get(&backend).map(BackendEndpoint::slow_start_from_ms)
            else {
                continue;
            };
            self.probe(backend, Purpose::FirstConnection { life_ms });
        }
        self.settle_opening();
    }

    /// Takes in what a first connection came to. The decisions have a backend from its first answer on.
    pub(super) fn tried(&mut self, backend: u32, life_ms: f64, reply: &Reply) {
        // One that is full answers.
        let answered = matches!(reply, Reply::Served(..) | Reply::Failed(Outcome::Rejected, _));
        let now = self.clock.now_ms();
        let Some(opening) = &mut self.opening else { return };
        if opening.openings.first_connection_ended(now, backend, life_ms, answered) {
            self.backends.opened(backend, Instant::now());
            if let Some(entry) = opening.held_back.remove(&backend) {
                self.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &[entry] });
            }
        }
        self.settle_opening();
    }

    /// Notes how an attempt at a backend ended.
    pub(super) fn opening_heard(&mut self, backend: u32, reply: &Reply) {
        let Some(opening) = &mut self.opening else { return };
        match reply {
            Reply::Served(..) => self.backends.answered(backend, Instant::now()),
            Reply::Failed(Outcome::ConnectFailed | Outcome::Reset | Outcome::Timeout, _) => {
                opening.openings.record_failure();
                self.arm_opening();
            }
            Reply::Failed(..) => {}
        }
    }
}
