//! The ledger of orders: decides whether an order is repeated, rejected or accepted. No I/O, no clock.

use std::collections::{BTreeMap, VecDeque};

use fleet::wire::{ErrorCode, ErrorResponse, LoggedOrder};
use fleet::{
    guard, ApplyOutcome, Backend, Change, DesiredState, GuardCounts, Order, OrderId, Revision, Subject,
};

use crate::log::MAX_RETAINED_ORDERS;

/// Number of orders after which a snapshot of the desired state is logged.
const ORDERS_PER_SNAPSHOT: u64 = 256;

/// An order as a tool requests it.
#[derive(Clone, Debug)]
pub struct OrderRequest {
    /// Id chosen by the tool.
    pub id: OrderId,
    /// What the order applies to.
    pub subject: Subject,
    /// The change to the subject.
    pub change: Change,
    /// Whether to skip the guard and the check for unknown subjects.
    pub forced: bool,
}

/// The agent's view of the fleet at the time of a decision.
pub struct FleetView<'a, B, G> {
    /// Backends that at least one gateway lists.
    pub backends: B,
    /// Names of the reachable gateways.
    pub reachable_gateways: G,
    /// Whether the backend list of at least one gateway is known.
    pub has_backend_lists: bool,
    /// Whether the agent manages a gateway with this name, reachable or not.
    pub is_managed: &'a dyn Fn(&str) -> bool,
}

/// The decision on an order.
#[derive(Debug)]
pub enum Decision {
    /// A repetition of this order.
    Repeated(LoggedOrder),
    /// Accepted; this has to be logged.
    Accepted(LoggedOrder),
    /// Rejected for this reason.
    Rejected(ErrorResponse),
}

/// The retained orders and the desired state that results from all orders.
#[derive(Debug)]
pub struct OrderLedger {
    desired: DesiredState,
    newest: Revision,
    /// Oldest first.
    orders: VecDeque<LoggedOrder>,
    revisions: BTreeMap<OrderId, Revision>,
    orders_since_snapshot: u64,
    min_ready_fraction: f64,
}

impl OrderLedger {
    /// Creates a ledger from the contents of the log.
    pub fn new(
        desired: DesiredState,
        newest: Revision,
        orders: Vec<LoggedOrder>,
        min_ready_fraction: f64,
    ) -> OrderLedger {
        let revisions =
            orders.iter().map(|logged| (logged.order.id.clone(), logged.order.revision)).collect();
        OrderLedger {
            desired,
            newest,
            orders: orders.into(),
            revisions,
            orders_since_snapshot: 0,
            min_ready_fraction,
        }
    }

    /// Decides on an order. Accepted orders count in further decisions at once, so a ledger must not be used
    /// any more if one of its accepted orders could not be logged.
    pub fn decide<'a, B, G>(
        &mut self,
        request: OrderRequest,
        view: FleetView<'_, B, G>,
        at_ms: u64,
    ) -> Decision
    where
        B: Iterator<Item = &'a Backend>,
        G: Iterator<Item = &'a str>,
    {
        if let Some(first) = self.find(&request.id) {
            return repeated(first, &request);
        }
        let OrderRequest { id, subject, change, forced } = request;
        let order = Order { id, revision: self.newest.next(), subject, change };
        match self.check(&order, forced, view) {
            Ok(counts) => {
                let logged = LoggedOrder { order, forced, at_ms, counts };
                self.add(logged.clone());
                Decision::Accepted(logged)
            }
            Err(error) => Decision::Rejected(error),
        }
    }

    /// Checks an order, and applies it to the desired state if all checks pass.
    fn check<'a, B, G>(
        &mut self,
        order: &Order,
        forced: bool,
        view: FleetView<'_, B, G>,
    ) -> Result<GuardCounts, ErrorResponse>
    where
        B: Iterator<Item = &'a Backend>,
        G: Iterator<Item = &'a str>,
    {
        order.check().map_err(|error| ErrorResponse::new(ErrorCode::BadRequest, error.to_string()))?;
        let min_ready_fraction = if forced { 0.0 } else { self.min_ready_fraction };
        let counts = guard(&self.desired, order, view.backends, view.reachable_gateways, min_ready_fraction)
            .map_err(|too_few| {
                let message = format!("{too_few}; --force orders it all the same");
                ErrorResponse::new(ErrorCode::TooFew, message)
            })?;
        if !forced {
            self.check_subject(&order.subject, counts, view.has_backend_lists, view.is_managed)?;
        }
        match self.desired.apply(order) {
            ApplyOutcome::Rejected(reason) => Err(ErrorResponse::new(ErrorCode::Unavailable, reason)),
            ApplyOutcome::Applied | ApplyOutcome::Superseded(_) => Ok(counts),
        }
    }

    /// Rejects unknown subjects. A subject with a register is always accepted, so that earlier orders on it
    /// can be reversed.
    fn check_subject(
        &self,
        subject: &Subject,
        counts: GuardCounts,
        has_backend_lists: bool,
        is_managed: &dyn Fn(&str) -> bool,
    ) -> Result<(), ErrorResponse> {
        if self.desired.registers().any(|register| register.subject == *subject) {
            return Ok(());
        }
        if let Subject::Gateway(name) = subject {
            if is_managed(name.as_str()) {
                return Ok(());
            }
            let message = format!("{subject}: no gateway of that name is overseen");
            return Err(ErrorResponse::new(ErrorCode::UnknownSubject, message));
        }
        if counts.covered > 0 {
            return Ok(());
        }
        if !has_backend_lists {
            let message = "no gateway has told its backends yet; --force orders it all the same";
            return Err(ErrorResponse::new(ErrorCode::Unavailable, message));
        }
        let message = format!("{subject}: no gateway lists such a backend; --force orders it all the same");
        Err(ErrorResponse::new(ErrorCode::UnknownSubject, message))
    }

    fn add(&mut self, logged: LoggedOrder) {
        self.newest = logged.order.revision;
        self.orders_since_snapshot += 1;
        self.revisions.insert(logged.order.id.clone(), logged.order.revision);
        self.orders.push_back(logged);
        if self.orders.len() > MAX_RETAINED_ORDERS {
            if let Some(oldest) = self.orders.pop_front() {
                self.revisions.remove(&oldest.order.id);
            }
        }
    }

    fn find(&self, id: &OrderId) -> Option<&LoggedOrder> {
        let revision = self.revisions.get(id)?;
        let index = self.orders.binary_search_by_key(revision, |logged| logged.order.revision).ok()?;
        self.orders.get(index)
    }

    /// Settles all orders if a snapshot is due. Returns whether it is; the caller has to log the snapshot
    /// together with the next orders.
    pub fn settle(&mut self) -> bool {
        let is_due = self.orders_since_snapshot >= ORDERS_PER_SNAPSHOT;
        if is_due {
            self.desired.compact();
            self.orders_since_snapshot = 0;
        }
        is_due
    }

    /// The newest revision.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// The desired state that results from the orders.
    pub fn desired(&self) -> &DesiredState {
        &self.desired
    }

    /// The retained orders, newest first.
    pub fn latest(&self) -> impl Iterator<Item = &LoggedOrder> {
        self.orders.iter().rev()
    }
}

/// The decision on an order whose id is known. A different order with the same id is rejected; otherwise its
/// sender would be told that it was applied.
fn repeated(first: &LoggedOrder, request: &OrderRequest) -> Decision {
    if first.order.subject == request.subject && first.order.change == request.change {
        return Decision::Repeated(first.clone());
    }
    let OrderRequest { id, .. } = request;
    let message = format!("id {id} was given to {} {}", first.order.change, first.order.subject);
    Decision::Rejected(ErrorResponse::new(ErrorCode::IdReused, message))
}
