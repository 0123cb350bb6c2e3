//! The driver's side that operators see: their orders are taken in here, and the state is told.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{
    Applied, BackendState, ErrorCode, ErrorResponse, GatewayRequest, GatewayResponse, GatewayState,
    GatewayStatistics, OrderResult, MAX_ORDERS_PER_REQUEST,
};
use fleet::{DesiredState, OrderId, Subject};
use gateway_policy::interface::SettingsError;
use gateway_policy::reload::ServiceSettings;
use gateway_policy::BackendView;
use maintenance::MaintenanceState;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::Driver;
use crate::listing::Status;
use crate::order::Order;
use crate::roster::Wanted;

/// How long a request may be on its way from its reading to the decisions, ms.
const READ_MS: f64 = 1_000.0;

/// What operators want of this gateway, and what only the rest of the program knows of it.
#[derive(Debug)]
pub struct Overseen {
    pub desired: DesiredState,
    /// What calls at the second address left in force.
    pub book: MaintenanceState,
    name: String,
    /// New with each start, below 2^53.
    boot: u64,
    last_order: Option<OrderId>,
    /// One task for each connection of a client.
    clients: TaskTracker,
    /// Tells the listener whether the gateway itself is drained.
    drained: watch::Sender<bool>,
}

impl Overseen {
    pub fn new(name: String, boot: u64, clients: TaskTracker, drained: watch::Sender<bool>) -> Self {
        let (desired, book, last_order) = (DesiredState::default(), MaintenanceState::default(), None);
        Overseen { desired, book, name, boot, last_order, clients, drained }
    }
}

impl Driver {
    /// Does what is asked, and says what became of it.
    pub(super) fn asked(&mut self, ask: GatewayRequest) -> GatewayResponse {
        match ask {
            GatewayRequest::State { backends } => GatewayResponse::State(self.state(backends)),
            GatewayRequest::Inflight { subject } => GatewayResponse::Inflight(self.in_flight(&subject)),
            GatewayRequest::Apply { orders } if orders.len() > MAX_ORDERS_PER_REQUEST => {
                let message = format!("{} orders at once; {MAX_ORDERS_PER_REQUEST} at most", orders.len());
                GatewayResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, message))
            }
            GatewayRequest::Apply { orders } => {
                let mut verdicts = Vec::with_capacity(orders.len());
                for order in &orders {
                    let outcome = self.overseen.desired.apply(order);
                    self.overseen.last_order = Some(order.id.clone());
                    let matched = self.matched(&order.subject);
                    verdicts.push(OrderResult { id: order.id.clone(), outcome, matched });
                }
                self.ordered(verdicts)
            }
            GatewayRequest::Adopt { snapshot } => {
                self.overseen.desired.adopt(&snapshot);
                self.ordered(Vec::new())
            }
        }
    }

    /// Does what the keeper of the book wants, before it is told that it is done.
    pub(super) fn order(&mut self, order: Order) {
        match order {
            // Each answer fails only when whoever asked is gone.
            Order::Lists { id, say } => drop(say.send(self.roster.lists(&id))),
            Order::Others { others, say } => {
                self.others(others);
                let _ = say.send(());
            }
            Order::Untold { say } => drop(say.send(self.gateway.take_unreported_charges())),
            Order::TakeOver { untold, say } => {
                self.gateway.adopt_unreported_charges(self.clock.now_ms(), &untold);
                let _ = say.send(());
            }
            Order::Change { terms, say } => drop(say.send(self.change(&terms))),
            Order::Adopt { book, say } => {
                self.adopt(book);
                let _ = say.send(());
            }
        }
    }

    /// Leaves other processes of this gateway their shares.
    pub fn others(&mut self, others: usize) {
        let processes = u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1);
        self.gateway.set_process_count(self.clock.now_ms(), processes);
        self.parts.iter_mut().for_each(|part| part.share(processes as usize));
    }

    /// Goes by new settings, as far as they may change in service.
    fn change(&mut self, new: &ServiceSettings) -> Result<(), SettingsError> {
        let (now, held) = (self.clock.now_ms(), Arc::clone(&self.terms.borrow()));
        let longest = held.settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        // Danger: a request that was read, and did not come here yet, with a class that has its place by
        // then.
        let free = |place: usize| {
            let since = self.dropped.get(&place).copied().unwrap_or(now);
            now - since > longest + READ_MS && !self.gateway.has_request_of_class(place)
        };
        let terms = held.reloaded(new, free)?;
        let name = |place: usize| terms.names.classes.get(place)?.as_ref();
        let before = |place| held.names.classes.iter().position(|n| n.is_some() && n.as_ref() == name(place));
        self.gateway.update_settings(terms.settings.clone(), before);
        self.dropped.retain(|place, _| terms.settings.classes[*place].retired);
        for (place, _) in terms.settings.classes.iter().enumerate().filter(|(_, c)| c.retired) {
            self.dropped.entry(place).or_insert(now);
        }
        let connect = Duration::from_secs_f64(terms.settings.limits.connect_timeout_ms / 1000.0);
        self.backends.limit(terms.names.idle_close_ms, connect);
        self.terms.send_replace(Arc::new(terms));
        Ok(())
    }

    /// Puts a book in force if it is newer than the one that is.
    pub fn adopt(&mut self, book: MaintenanceState) {
        if book.newer_than(self.overseen.book.revision()) {
            self.overseen.book = book;
            self.want();
        }
    }

    /// Carries out what operators want by now: of backends, and of the gateway itself.
    fn want(&mut self) {
        let wanted = Wanted { desired: &self.overseen.desired, book: &self.overseen.book };
        let lines = self.roster.reorder(wanted, &self.names.zones);
        if !lines.is_empty() {
            self.lines(gateway_policy::interface::UpdateScope::Delta, lines);
        }
        let overseen = &self.overseen;
        let drained = overseen.desired.gateway_drained(&overseen.name).is_some()
            || overseen.book.drained_ms().is_some();
        self.overseen.drained.send_if_modified(|was| std::mem::replace(was, drained) != drained);
    }

    /// Carries out what the orders have changed, before anybody is told that they were taken in.
    fn ordered(&mut self, verdicts: Vec<OrderResult>) -> GatewayResponse {
        self.want();
        let (boot, holds) = (self.overseen.boot, self.overseen.desired.revision());
        GatewayResponse::Applied(Applied { incarnation: boot, applied_revision: holds, results: verdicts })
    }

    fn matched(&self, subject: &Subject) -> u32 {
        match subject {
            Subject::Gateway(name) => u32::from(name.as_str() == self.overseen.name),
            _ => self.roster.covered(subject).count() as u32,
        }
    }

    /// Attempts out at a subject, from when they were decided on; requests that are owed an answer, where it
    /// is this gateway.
    fn in_flight(&self, subject: &Subject) -> u64 {
        match subject {
            Subject::Gateway(name) if name.as_str() == self.overseen.name => self.open.len() as u64,
            Subject::Gateway(_) => 0,
            _ => {
                let numbers: Vec<u32> = self.roster.covered(subject).map(|row| row.number).collect();
                self.attempts.values().filter(|a| numbers.contains(&a.backend)).count() as u64
            }
        }
    }

    fn state(&self, backends: bool) -> GatewayState {
        let seen: HashMap<u32, BackendView> =
            self.gateway.backends(self.clock.now_ms()).map(|b| (b.id, b)).collect();
        let mut out: HashMap<u32, u64> = HashMap::new();
        self.attempts.values().for_each(|a| *out.entry(a.backend).or_default() += 1);
        let mut rows: Vec<BackendState> = Vec::new();
        let (forgotten, forgotten_units) = self.gateway.evictions();
        let mut figures = GatewayStatistics {
            awaiting_connection: self.opening.as_ref().map_or(0, |o| o.waiting() as u32),
            requests: self.open.len() as u64,
            in_flight: self.attempts.len() as u64,
            idle_connections: self.backends.idle() as u32,
            client_connections: self.overseen.clients.len() as u32,
            customers: self.gateway.customer_count() as u64,
            evicted_customers: forgotten,
            evicted_units: forgotten_units.ceil() as u64,
            ..GatewayStatistics::default()
        };
        for row in self.roster.rows() {
            let (e, view) = (&row.endpoint, seen.get(&row.number));
            let (serving, drained_by) = (matches!(e.status, Status::Serving), row.effect.drained_by.clone());
            let (ejected, warmth) = view.map_or((false, 1.0), |b| (b.ejected, b.capacity_fraction));
            figures.listed += 1;
            figures.serving += u32::from(serving);
            figures.drained += u32::from(drained_by.is_some() || row.banned_ms.is_some());
            figures.ejected += u32::from(ejected);
            figures.warming_up += u32::from(warmth < 1.0);
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
                    capacity_fraction: warmth,
                    in_flight: out.get(&row.number).copied().unwrap_or(0),
                });
            }
        }
        rows.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let overseen = &self.overseen;
        GatewayState {
            name: overseen.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            incarnation: overseen.boot,
            applied_revision: overseen.desired.revision(),
            last_order: overseen.last_order.clone(),
            drained_by: overseen.desired.gateway_drained(&overseen.name).cloned(),
            drained_ms: overseen.book.drained_ms(),
            list_version: self.roster.changes(),
            statistics: figures,
            backends: backends.then_some(rows),
        }
    }
}
