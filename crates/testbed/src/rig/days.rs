//! What happens to a fleet in a run: gateways are killed and start, backends are replaced, and the list
//! comes late or not at all.

use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, Outcome, UpdateScope};
use gateway_policy::Policy;

use super::backend::Backend;
use super::world::{settings, Happens, World, BEGIN_MS, WAY_MS};
use super::What;

/// A change of the list.
#[derive(Debug)]
pub(super) enum Day {
    Kill(u32),
    Begin(u32),
    /// A gateway of this boot calls discovery.
    Call(u32, u32),
    /// Changes reach one that watches.
    Hear(u32, u32),
    /// A backend leaves the list, and another starts in its place.
    Leave(u32, f64),
    Stop(u32),
    /// Connections idle since then are closed: of a gateway of this boot, to a backend.
    Close(u32, u32, u32, f64),
}

fn entry(number: u32, backend: &Backend) -> BackendEndpoint {
    BackendEndpoint {
        id: number,
        key: u64::from(number),
        cell: backend.cell,
        zone: backend.zone,
        started_ms: backend.started,
        state: if backend.left { EndpointState::Removed } else { EndpointState::Ready },
        ..BackendEndpoint::default()
    }
}

impl World<'_> {
    /// Puts all that the shape plans on the clock.
    pub(super) fn plan(&mut self) {
        let shape = self.shape;
        let spread = |i: u32, of: u32, over: f64| over * f64::from(i) / f64::from(of.max(1));
        for r in &shape.restarts {
            for i in 0..r.gateways.min(self.nodes.len() as u32) {
                let at = r.from_ms + spread(i, r.gateways, r.over_ms);
                self.at(at, Happens::Day(Day::Kill(i)));
                self.at(at + r.down_ms, Happens::Day(Day::Begin(i)));
            }
        }
        for r in &shape.replaced {
            // Spread evenly over the numbers, and so over zones and cells.
            let who = |i: u32| (u64::from(i) * u64::from(shape.backends) / u64::from(r.backends)) as u32;
            for i in 0..r.backends.min(shape.backends) {
                let at = r.from_ms + spread(i, r.backends, r.over_ms);
                self.at(at, Happens::Day(Day::Leave(who(i), r.grace_ms)));
            }
        }
    }

    pub(super) fn day(&mut self, day: Day) {
        match day {
            Day::Kill(g) => self.kill(g),
            Day::Begin(g) => self.begin_gateway(g),
            Day::Call(g, boot) => self.call(g, boot),
            Day::Hear(g, boot) => self.hear(g, boot),
            Day::Leave(backend, grace) => {
                self.backends[backend as usize].left = true;
                self.backends[backend as usize].troubled = true;
                let number = self.backends.len() as u32;
                let mut new = Backend::new(self.shape, number, self.now);
                let old = &self.backends[backend as usize];
                (new.zone, new.cell) = (old.zone, old.cell);
                self.backends.push(new);
                self.change(&[backend, number]);
                self.at(grace, Happens::Day(Day::Stop(backend)));
            }
            Day::Stop(backend) => {
                let now = self.now;
                self.backends[backend as usize].befall(Some(What::Dead), now);
            }
            Day::Close(g, boot, backend, since) => {
                let life = self.backends[backend as usize].life;
                if self.nodes[g as usize].boot == boot {
                    let closed = self.nodes[g as usize].close_idle(since, backend, life);
                    self.backends[backend as usize].connected -= closed;
                }
            }
        }
    }

    /// The list changes: whoever watches is told, now or late.
    pub(super) fn change(&mut self, backends: &[u32]) {
        for (n, place) in backends.iter().zip(self.changes.len()..) {
            self.backends[*n as usize].listed = Some(place);
        }
        self.changes.extend_from_slice(backends);
        for g in 0..self.nodes.len() as u32 {
            let node = &self.nodes[g as usize];
            let (boot, watches) = (node.boot, node.up && node.unlisted.is_none());
            if watches {
                let late = self.shape.discovery.map_or(0.0, |d| d.late_ms);
                let wait = if late > 0.0 { late * self.dice.part() } else { 0.0 };
                self.at(wait, Happens::Day(Day::Hear(g, boot)));
            }
        }
    }

    fn hear(&mut self, g: u32, boot: u32) {
        let node = &mut self.nodes[g as usize];
        if node.boot != boot || !node.up {
            return;
        }
        let from = std::mem::replace(&mut node.heard, self.changes.len());
        let entries: Vec<BackendEndpoint> =
            self.changes[from..].iter().map(|n| entry(*n, &self.backends[*n as usize])).collect();
        if !entries.is_empty() {
            self.tell(g, Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &entries });
        }
    }

    /// The list of the run's start, as a gateway's own settings have it.
    pub(super) fn known(&mut self, g: u32) {
        let all = (0..self.shape.backends).zip(&self.backends);
        let as_it_was = |(n, b): (u32, &Backend)| BackendEndpoint {
            state: EndpointState::Ready,
            started_ms: 0.0,
            ..entry(n, b)
        };
        let entries: Vec<BackendEndpoint> = all.map(as_it_was).collect();
        self.tell(g, Event::EndpointsUpdated { scope: UpdateScope::Cached, endpoints: &entries });
    }

    fn kill(&mut self, g: u32) {
        for (backend, life) in self.nodes[g as usize].end() {
            self.disconnect(backend, life);
        }
        let open = self.asked.iter().filter(|(_, asked)| asked.gateway == g && !asked.done());
        let mut open: Vec<u64> = open.map(|(id, _)| *id).collect();
        open.sort_unstable();
        for id in open {
            for place in self.asked[&id].attempts.clone() {
                let attempt = &mut self.attempts[place];
                attempt.settled = true;
                if let Some(life) = attempt.connection.take() {
                    let backend = attempt.backend;
                    self.disconnect(backend, life);
                }
            }
            let asked = self.asked.get_mut(&id).expect("open");
            asked.closed = true;
            if asked.answers == 0 {
                asked.answers = 1;
                self.report.cut += 1;
            }
        }
    }

    fn begin_gateway(&mut self, g: u32) {
        let (shape, now) = (self.shape, self.now);
        let node = &mut self.nodes[g as usize];
        let seed = shape.seed ^ u64::from(g) ^ (u64::from(node.boot) << 32);
        node.begin(Policy::new(settings(shape, g), seed, now).expect("sound settings"), now);
        let (boot, wait) = (node.boot, node.first_call());
        self.known(g);
        self.at(if shape.discovery.is_some() { wait } else { 0.0 }, Happens::Day(Day::Call(g, boot)));
    }

    fn call(&mut self, g: u32, boot: u32) {
        let (now, per_s) = (self.now, self.shape.discovery.map_or(f64::INFINITY, |d| d.per_s));
        // No request comes any more: nobody is to be told of the list.
        let over = self.passed(now) > self.shape.lasts_ms;
        if over || self.nodes[g as usize].boot != boot {
            return;
        }
        if self.calls.take(now, per_s) {
            if let Some(since) = self.nodes[g as usize].unlisted.take() {
                self.report.unlisted_ms = self.report.unlisted_ms.max(now - since);
            }
            self.at(WAY_MS, Happens::Day(Day::Hear(g, boot)));
        } else {
            let wait = self.nodes[g as usize].next_call();
            self.at(wait, Happens::Day(Day::Call(g, boot)));
        }
    }

    /// Whether an attempt at a backend goes out on a connection that is there.
    pub(super) fn connected(&mut self, g: u32, backend: u32) -> Option<u32> {
        let life = self.backends[backend as usize].life;
        self.shape.connections?;
        self.nodes.get_mut(g as usize)?.take_idle(backend, life).then_some(life)
    }

    /// Opens a connection at a living backend: its life, or none if there is no more.
    pub(super) fn connect(&mut self, backend: u32) -> Option<u32> {
        // The ideal one has no gateways, and so no connections of theirs.
        let Some(connections) = self.shape.connections.filter(|_| !self.nodes.is_empty()) else {
            return Some(0);
        };
        let b = &mut self.backends[backend as usize];
        if b.connected >= connections.most {
            self.report.connects.1 += 1;
            return None;
        }
        b.connected += 1;
        self.report.connects.0 += 1;
        self.report.connected_most = self.report.connected_most.max(b.connected);
        Some(b.life)
    }

    fn disconnect(&mut self, backend: u32, life: u32) {
        let b = &mut self.backends[backend as usize];
        if self.shape.connections.is_some() && !self.nodes.is_empty() && b.life == life {
            b.connected -= 1;
        }
    }

    /// An attempt's connection is idle now, or closed where no answer came on it.
    pub(super) fn release(&mut self, place: usize, g: u32, outcome: Outcome) {
        let Some(connections) = self.shape.connections else { return };
        let attempt = &mut self.attempts[place];
        let (backend, Some(life)) = (attempt.backend, attempt.connection.take()) else { return };
        let answered = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let Some(node) = self.nodes.get_mut(g as usize).filter(|_| answered) else {
            return self.disconnect(backend, life);
        };
        node.put_idle(self.now, backend, life);
        let (boot, since) = (node.boot, self.now);
        self.at(connections.idle_ms, Happens::Day(Day::Close(g, boot, backend, since)));
    }

    /// Time since the run began, ms.
    pub(super) fn passed(&self, at: f64) -> f64 {
        at - BEGIN_MS
    }
}
