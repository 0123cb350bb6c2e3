//! Logged orders for which the outcome at some gateways is still unknown.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{InstanceOutcome, InstanceReport, OrderResult, OrderSummary, ToolResponse};
use fleet::{ApplyOutcome, Observation, Order, Revision};
use tokio::time::Instant;

use crate::responder::Responder;

/// Maximum number of pending orders; further orders are rejected.
const MAX_PENDING_ORDERS: usize = 4_096;
/// Maximum time for which an order waits for the gateways.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// An order whose tool waits for the outcome at all gateways.
pub struct PendingOrder {
    responder: Responder,
    order: Order,
    accepted_at: Instant,
    deadline: Instant,
    awaited_gateways: BTreeSet<Arc<str>>,
    summary: OrderSummary,
}

impl PendingOrder {
    /// Creates a pending order that waits for `gateways` from now on.
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
            awaited_gateways: gateways,
            summary: OrderSummary::default(),
        }
    }

    /// Revision of the order.
    pub fn revision(&self) -> Revision {
        self.order.revision
    }

    /// Records and reports the outcome at a gateway. Later outcomes at the same gateway are ignored.
    pub fn record(&mut self, gateway: &str, outcome: InstanceOutcome) {
        if !self.awaited_gateways.remove(gateway) {
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

    /// Records that a gateway has received the order as part of a snapshot, for which it reports no result.
    pub fn record_from_snapshot(&mut self, gateway: &str) {
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
            _ if applied >= self.order.revision => self.record_from_snapshot(gateway),
            _ => {}
        }
    }

    fn time_out(&mut self) {
        while let Some(gateway) = self.awaited_gateways.first().cloned() {
            self.record(&gateway, InstanceOutcome::TimedOut);
        }
    }

    /// Sends the summary if the outcome at every gateway is known. Returns whether it is.
    fn finish(&mut self) -> bool {
        let finished = self.awaited_gateways.is_empty();
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
    /// Whether no further order may be added.
    pub fn is_full(&self) -> bool {
        self.orders.len() >= MAX_PENDING_ORDERS
    }

    /// Adds an order, unless the outcome at every gateway is known already.
    pub fn add(&mut self, mut order: PendingOrder) {
        if !order.finish() {
            self.orders.push(order);
        }
    }

    /// Evaluates what a session has observed; `applied` is the newest revision that the gateway has applied.
    pub fn observe(
        &mut self,
        gateway: &Arc<str>,
        observation: &Observation,
        results: &[OrderResult],
        applied: Revision,
    ) {
        for order in self.orders.iter_mut().filter(|order| order.awaited_gateways.contains(gateway)) {
            order.observe(gateway, observation, results, applied);
        }
        self.remove_finished();
    }

    /// Reports a removed gateway as unreachable for all orders that wait for it.
    pub fn gateway_removed(&mut self, gateway: &str) {
        for order in &mut self.orders {
            let reason = "no longer overseen".to_string();
            order.record(gateway, InstanceOutcome::Unreachable { reason });
        }
        self.remove_finished();
    }

    /// Ends orders whose deadline has passed, and removes those whose tool has disconnected.
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
