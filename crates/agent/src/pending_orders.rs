//! Orders that are in the log and not yet accounted for by every gateway.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{InstanceOutcome, InstanceReport, OrderResult, OrderSummary, ToolResponse};
use fleet::{ApplyOutcome, Observation, Order, Revision};
use tokio::time::Instant;

use crate::responder::Responder;

/// Orders that may wait for gateways at once; one more is rejected.
const MAX_PENDING_ORDERS: usize = 4_096;
/// The longest time for which an order waits for gateways.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// An order whose tool waits for gateways to apply it.
pub struct PendingOrder {
    responder: Responder,
    order: Order,
    accepted_at: Instant,
    deadline: Instant,
    unaccounted: BTreeSet<Arc<str>>,
    summary: OrderSummary,
}

impl PendingOrder {
    /// An order that was accepted just now and that these gateways are to apply.
    pub fn new(
        responder: Responder,
        order: Order,
        deadline: Duration,
        gateways: BTreeSet<Arc<str>>,
    ) -> PendingOrder {
        let accepted_at = Instant::now();
        PendingOrder {
            responder,
            order,
            accepted_at,
            deadline: accepted_at + deadline.min(MAX_DEADLINE),
            unaccounted: gateways,
            summary: OrderSummary::default(),
        }
    }

    /// The order's revision.
    pub fn revision(&self) -> Revision {
        self.order.revision
    }

    /// Notes the outcome at a gateway. Only the first one counts.
    pub fn record(&mut self, gateway: &str, outcome: InstanceOutcome) {
        if !self.unaccounted.remove(gateway) {
            return;
        }
        if outcome.succeeded() {
            self.summary.succeeded += 1;
        } else {
            self.summary.failed += 1;
        }
        let report = InstanceReport { gateway: gateway.to_string(), outcome };
        self.responder.respond(ToolResponse::Instance(report));
    }

    /// Notes that a gateway holds the order as part of the whole state, so that it told no result for it.
    pub fn record_caught_up(&mut self, gateway: &str) {
        let took_ms = self.elapsed_ms();
        let outcome = ApplyOutcome::Applied;
        self.record(gateway, InstanceOutcome::Answered { outcome, matched: None, took_ms });
    }

    fn elapsed_ms(&self) -> f64 {
        self.accepted_at.elapsed().as_secs_f64() * 1000.0
    }

    fn observe(
        &mut self,
        gateway: &str,
        observation: &Observation,
        results: &[OrderResult],
        applied: Revision,
    ) {
        let result = results.iter().find(|result| result.id == self.order.id);
        match (observation, result) {
            (Observation::Unreachable(reason), _) => {
                self.record(gateway, InstanceOutcome::Unreachable { reason: reason.clone() });
            }
            (_, Some(result)) => {
                let (outcome, matched) = (result.outcome.clone(), Some(result.matched));
                let took_ms = self.elapsed_ms();
                self.record(gateway, InstanceOutcome::Answered { outcome, matched, took_ms });
            }
            _ if applied >= self.order.revision => self.record_caught_up(gateway),
            _ => {}
        }
    }

    fn time_out(&mut self) {
        while let Some(gateway) = self.unaccounted.first().cloned() {
            self.record(&gateway, InstanceOutcome::TimedOut);
        }
    }

    /// Whether every gateway is accounted for; the tool is told so.
    fn finish(&mut self) -> bool {
        let finished = self.unaccounted.is_empty();
        if finished {
            self.responder.respond(ToolResponse::Done(self.summary));
        }
        finished
    }
}

/// All pending orders.
#[derive(Default)]
pub struct PendingOrders {
    orders: Vec<PendingOrder>,
}

impl PendingOrders {
    /// Whether no further order may wait.
    pub fn is_full(&self) -> bool {
        self.orders.len() >= MAX_PENDING_ORDERS
    }

    /// Adds an order, unless every gateway is accounted for.
    pub fn add(&mut self, mut order: PendingOrder) {
        if !order.finish() {
            self.orders.push(order);
        }
    }

    /// Takes in what a session learned of a gateway, which now holds a revision.
    pub fn observe(
        &mut self,
        gateway: &Arc<str>,
        observation: &Observation,
        results: &[OrderResult],
        applied: Revision,
    ) {
        for order in self.orders.iter_mut().filter(|order| order.unaccounted.contains(gateway)) {
            order.observe(gateway, observation, results, applied);
        }
        self.remove_finished();
    }

    /// Accounts for a gateway that is no longer overseen.
    pub fn gateway_removed(&mut self, gateway: &str) {
        for order in &mut self.orders {
            let reason = "no longer overseen".to_string();
            order.record(gateway, InstanceOutcome::Unreachable { reason });
        }
        self.remove_finished();
    }

    /// Ends orders whose deadline is over, and those whose tool has disconnected.
    pub fn remove_expired(&mut self) {
        let now = Instant::now();
        for order in self.orders.iter_mut().filter(|order| order.deadline <= now) {
            order.time_out();
        }
        self.orders.retain_mut(|order| !order.finish() && !order.responder.is_closed());
    }

    fn remove_finished(&mut self) {
        self.orders.retain_mut(|order| !order.finish());
    }
}
