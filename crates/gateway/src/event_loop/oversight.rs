//! What operators and the agent see of the event loop: their orders are applied here, and its state is told.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use beechrudder_fleet::wire::{
    Applied, BackendState, Code, Fault, Figures, GatewayAsk, GatewaySay, GatewayState, Verdict,
    MAX_ORDERS_PER_REQUEST,
};
use beechrudder_fleet::{Desired, OrderId, Subject};
use beechrudder_maintenance::Book;
use slatelock::interface::SettingsError;
use slatelock::terms::Terms;
use slatelock::BackendView;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::EventLoop;
use crate::backend_table::Overrides;
use crate::endpoint_list::Status;
use crate::maintenance::ControlRequest;

/// How long a request may be on its way from its reading to the policy, ms.
const READING_MAX_MS: f64 = 1_000.0;

/// What operators want of this gateway, and what only the rest of the program knows of it.
#[derive(Debug)]
pub struct Oversight {
    pub desired: Desired,
    /// What commands at the second address left in force.
    pub book: Book,
    name: String,
    /// New with each start, below 2^53.
    incarnation: u64,
    last_order: Option<OrderId>,
    /// One task for each connection of a client.
    clients: TaskTracker,
    /// Tells the listener whether the gateway itself is drained.
    drained: watch::Sender<bool>,
}

impl Oversight {
    pub fn new(name: String, incarnation: u64, clients: TaskTracker, drained: watch::Sender<bool>) -> Self {
        let (desired, book, last_order) = (Desired::default(), Book::default(), None);
        Oversight { desired, book, name, incarnation, last_order, clients, drained }
    }
}

impl EventLoop {
    /// Answers a request of the admin listener.
    pub(super) fn admin_request(&mut self, request: GatewayAsk) -> GatewaySay {
        match request {
            GatewayAsk::State { backends } => GatewaySay::State(self.state(backends)),
            GatewayAsk::Inflight { subject } => GatewaySay::Inflight(self.in_flight(&subject)),
            GatewayAsk::Apply { orders } if orders.len() > MAX_ORDERS_PER_REQUEST => {
                let message = format!("{} orders at once; {MAX_ORDERS_PER_REQUEST} at most", orders.len());
                GatewaySay::Fault(Fault::new(Code::BadRequest, message))
            }
            GatewayAsk::Apply { orders } => {
                let mut verdicts = Vec::with_capacity(orders.len());
                for order in &orders {
                    let outcome = self.oversight.desired.apply(order);
                    self.oversight.last_order = Some(order.id.clone());
                    let matched = self.matched(&order.subject);
                    verdicts.push(Verdict { id: order.id.clone(), outcome, matched });
                }
                self.ordered(verdicts)
            }
            GatewayAsk::Adopt { snapshot } => {
                self.oversight.desired.adopt(&snapshot);
                self.ordered(Vec::new())
            }
        }
    }

    /// Carries out a request of the maintenance controller or of a reload, before it is answered.
    pub(super) fn control(&mut self, request: ControlRequest) {
        // A reply fails only when whoever requested is gone.
        match request {
            ControlRequest::IsListed { id, reply } => drop(reply.send(self.table.contains(&id))),
            ControlRequest::ShareWith { other_processes, reply } => {
                self.share_with(other_processes);
                let _ = reply.send(());
            }
            ControlRequest::TakeUnreported { reply } => drop(reply.send(self.policy.untold())),
            ControlRequest::AddUnreported { unreported, reply } => {
                self.policy.take_over(self.clock.now_ms(), &unreported);
                let _ = reply.send(());
            }
            ControlRequest::ChangeSettings { terms, reply } => drop(reply.send(self.change(&terms))),
            ControlRequest::Adopt { state, reply } => {
                self.adopt(state);
                let _ = reply.send(());
            }
        }
    }

    /// Leaves other processes of this gateway their shares.
    pub fn share_with(&mut self, other_processes: usize) {
        let processes = u32::try_from(other_processes).unwrap_or(u32::MAX).saturating_add(1);
        self.policy.share_with(self.clock.now_ms(), processes);
        self.partitions.iter_mut().for_each(|partition| partition.share(processes as usize));
    }

    /// Goes by new settings, as far as they may change in service.
    fn change(&mut self, new: &Terms) -> Result<(), SettingsError> {
        let (now, held) = (self.clock.now_ms(), Arc::clone(&self.terms.borrow()));
        let longest = held.settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        // A request that was read, and did not come here yet, may hold a class that was dropped: its index is
        // not free before that.
        let free = |place: usize| {
            let since = self.dropped_classes.get(&place).copied().unwrap_or(now);
            now - since > longest + READING_MAX_MS && !self.policy.holds_class(place)
        };
        let terms = held.changed(new, free)?;
        let name = |place: usize| terms.names.classes.get(place)?.as_ref();
        let before = |place| held.names.classes.iter().position(|n| n.is_some() && n.as_ref() == name(place));
        self.policy.change(terms.settings.clone(), before);
        self.dropped_classes.retain(|place, _| terms.settings.classes[*place].dropped);
        for (place, _) in terms.settings.classes.iter().enumerate().filter(|(_, c)| c.dropped) {
            self.dropped_classes.entry(place).or_insert(now);
        }
        let connect = Duration::from_secs_f64(terms.settings.limits.connect_timeout_ms / 1000.0);
        self.pool.set_limits(terms.names.idle_close_ms, connect);
        self.terms.send_replace(Arc::new(terms));
        Ok(())
    }

    /// Puts a book in force if it is newer than the one that is.
    pub fn adopt(&mut self, book: Book) {
        if book.newer_than(self.oversight.book.revision()) {
            self.oversight.book = book;
            self.want();
        }
    }

    /// Carries out what operators want by now: of backends, and of the gateway itself.
    fn want(&mut self) {
        let overrides = Overrides { desired: &self.oversight.desired, book: &self.oversight.book };
        let lines = self.table.apply_overrides(overrides, &self.names.zones);
        if !lines.is_empty() {
            self.apply_lines(slatelock::interface::ListScope::Delta, lines);
        }
        let oversight = &self.oversight;
        let drained = oversight.desired.gateway_drained(&oversight.name).is_some()
            || oversight.book.drained_ms().is_some();
        self.oversight.drained.send_if_modified(|was| std::mem::replace(was, drained) != drained);
    }

    /// Carries out what the orders have changed, before anybody is told that they were taken in.
    fn ordered(&mut self, verdicts: Vec<Verdict>) -> GatewaySay {
        self.want();
        let (boot, holds) = (self.oversight.incarnation, self.oversight.desired.revision());
        GatewaySay::Applied(Applied { boot, holds, verdicts })
    }

    fn matched(&self, subject: &Subject) -> u32 {
        match subject {
            Subject::Gateway(name) => u32::from(name.as_str() == self.oversight.name),
            _ => self.table.covered(subject).count() as u32,
        }
    }

    /// Attempts out at a subject, from when they were decided on; requests that are owed an answer, where it
    /// is this gateway.
    fn in_flight(&self, subject: &Subject) -> u64 {
        match subject {
            Subject::Gateway(name) if name.as_str() == self.oversight.name => self.requests.open() as u64,
            Subject::Gateway(_) => 0,
            _ => {
                let numbers: Vec<u32> = self.table.covered(subject).map(|row| row.number).collect();
                self.attempts.at_any_of(&numbers) as u64
            }
        }
    }

    fn state(&self, backends: bool) -> GatewayState {
        let seen: HashMap<u32, BackendView> =
            self.policy.backends(self.clock.now_ms()).map(|b| (b.id, b)).collect();
        let in_flight = self.attempts.by_backend();
        let mut rows: Vec<BackendState> = Vec::new();
        let (forgotten, forgotten_units) = self.policy.forgotten();
        let mut figures = Figures {
            waiting: self.ramp.as_ref().map_or(0, |ramp| ramp.waiting() as u32),
            requests: self.requests.open() as u64,
            in_flight: self.attempts.len() as u64,
            idle_connections: self.pool.idle_connections() as u32,
            client_connections: self.oversight.clients.len() as u32,
            customers: self.policy.customers() as u64,
            forgotten,
            forgotten_units: forgotten_units.ceil() as u64,
            ..Figures::default()
        };
        for row in self.table.rows() {
            let (e, view) = (&row.endpoint, seen.get(&row.number));
            let (serving, drained_by) = (matches!(e.status, Status::Serving), row.effect.drained_by.clone());
            let (ejected, warmth) = view.map_or((false, 1.0), |b| (b.ejected, b.warmth));
            figures.listed += 1;
            figures.serving += u32::from(serving);
            figures.drained += u32::from(drained_by.is_some() || row.banned_ms.is_some());
            figures.ejected += u32::from(ejected);
            figures.cold += u32::from(warmth < 1.0);
            if backends {
                rows.push(BackendState {
                    name: e.name.clone(),
                    address: e.address.to_string(),
                    group: e.group,
                    kind: e.kind.clone(),
                    zone: e.zone.clone(),
                    serving,
                    drained_by,
                    banned_ms: row.banned_ms,
                    weight: row.effect.weight,
                    ejected,
                    warmth,
                    in_flight: in_flight.get(&row.number).copied().unwrap_or(0),
                });
            }
        }
        rows.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let oversight = &self.oversight;
        GatewayState {
            name: oversight.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            boot: oversight.incarnation,
            holds: oversight.desired.revision(),
            last_order: oversight.last_order.clone(),
            drained_by: oversight.desired.gateway_drained(&oversight.name).cloned(),
            drained_ms: oversight.book.drained_ms(),
            list: self.table.changes(),
            figures,
            backends: backends.then_some(rows),
        }
    }
}
