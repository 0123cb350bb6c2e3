//! What the agent settles: whether an order is a repeat, is refused or is to be written down. No I/O, no
//! clock.

use std::collections::{BTreeMap, VecDeque};

use fleet::wire::{ErrorCode, ErrorResponse, LoggedOrder};
use fleet::{guard, Backend, Change, DesiredState, GuardCounts, Order, OrderId, Revision, Subject};

use crate::log::ORDERS_KEPT;

/// Orders after which what they settled is put down as one state.
const SETTLE_AFTER: u64 = 256;

/// An order as somebody asks for it.
#[derive(Clone, Debug)]
pub struct Wish {
    pub id: OrderId,
    pub subject: Subject,
    pub change: Change,
    pub forced: bool,
}

/// What the agent knows of the fleet when it judges an order.
pub struct Seen<'a, B, G> {
    /// Backends that some gateway lists.
    pub backends: B,
    /// Gateways that answer.
    pub gateways: G,
    /// Whether any gateway has told its list.
    pub told: bool,
    /// Names of all gateways, whether they answer or not.
    pub named: &'a dyn Fn(&str) -> bool,
}

/// What becomes of a wish.
#[derive(Debug)]
pub enum Verdict {
    /// It was written down before.
    Repeated(LoggedOrder),
    /// It is to be written down.
    Write(LoggedOrder),
    /// It is not.
    Refused(ErrorResponse),
}

/// All orders.
#[derive(Debug)]
pub struct Book {
    desired: DesiredState,
    newest: Revision,
    orders: VecDeque<LoggedOrder>,
    by_id: BTreeMap<OrderId, Revision>,
    unsettled: u64,
    least_ready: f64,
}

impl Book {
    pub fn new(desired: DesiredState, newest: Revision, orders: Vec<LoggedOrder>, least_ready: f64) -> Book {
        let by_id = orders.iter().map(|l| (l.order.id.clone(), l.order.revision)).collect();
        Book { desired, newest, orders: orders.into(), by_id, unsettled: 0, least_ready }
    }

    /// Judges a wish. One that is to be written counts for the next; whoever can't write it down must not go
    /// on with this book.
    pub fn judge<'a, B, G>(&mut self, wish: Wish, seen: Seen<'_, B, G>, at_ms: u64) -> Verdict
    where
        B: Iterator<Item = &'a Backend>,
        G: Iterator<Item = &'a str>,
    {
        let Wish { id, subject, change, forced } = wish;
        if let Some(first) = self.logged(&id) {
            // Danger: an id that two people came upon. The second would hear that all is well.
            return if (&first.order.subject, first.order.change) == (&subject, change) {
                Verdict::Repeated(first.clone())
            } else {
                let message = format!("id {id} was given to {} {}", first.order.change, first.order.subject);
                Verdict::Refused(ErrorResponse::new(ErrorCode::IdReused, message))
            };
        }
        let order = Order { id, revision: self.newest.next(), subject, change };
        if let Err(bad) = order.check() {
            return Verdict::Refused(ErrorResponse::new(ErrorCode::BadRequest, bad.to_string()));
        }
        let least = if forced { 0.0 } else { self.least_ready };
        let counts = match guard(&self.desired, &order, seen.backends, seen.gateways, least) {
            Ok(counts) => counts,
            Err(few) => {
                let message = format!("{few}; --force orders it all the same");
                return Verdict::Refused(ErrorResponse::new(ErrorCode::TooFew, message));
            }
        };
        if let Some(fault) = self.unknown(&order, counts, seen.told, seen.named).filter(|_| !forced) {
            return Verdict::Refused(fault);
        }
        if let fleet::ApplyOutcome::Rejected(why) = self.desired.apply(&order) {
            return Verdict::Refused(ErrorResponse::new(ErrorCode::Unavailable, why));
        }
        self.newest = order.revision;
        self.unsettled += 1;
        let logged = LoggedOrder { order, forced, at_ms, counts };
        self.by_id.insert(logged.order.id.clone(), logged.order.revision);
        self.orders.push_back(logged.clone());
        if self.orders.len() > ORDERS_KEPT {
            if let Some(oldest) = self.orders.pop_front() {
                self.by_id.remove(&oldest.order.id);
            }
        }
        Verdict::Write(logged)
    }

    /// Whether nobody knows the subject, and why that may be.
    fn unknown(
        &self,
        order: &Order,
        counts: GuardCounts,
        told: bool,
        named: &dyn Fn(&str) -> bool,
    ) -> Option<ErrorResponse> {
        let subject = &order.subject;
        // What is ordered already can always be taken back.
        let ordered = self.desired.registers().any(|r| r.subject == *subject);
        match subject {
            _ if ordered => None,
            Subject::Gateway(name) if named(name.as_str()) => None,
            Subject::Gateway(_) => Some(ErrorResponse::new(
                ErrorCode::UnknownSubject,
                format!("{subject}: no gateway of that name is overseen"),
            )),
            _ if counts.covered > 0 => None,
            _ if !told => {
                let message = "no gateway has told its backends yet; --force orders it all the same";
                Some(ErrorResponse::new(ErrorCode::Unavailable, message))
            }
            _ => {
                let message =
                    format!("{subject}: no gateway lists such a backend; --force orders it all the same");
                Some(ErrorResponse::new(ErrorCode::UnknownSubject, message))
            }
        }
    }

    fn logged(&self, id: &OrderId) -> Option<&LoggedOrder> {
        let revision = self.by_id.get(id)?;
        let place = self.orders.binary_search_by_key(revision, |l| l.order.revision).ok()?;
        self.orders.get(place)
    }

    /// Settles what is due; tells whether the state is to be written down with the next orders.
    pub fn settle(&mut self) -> bool {
        let due = self.unsettled >= SETTLE_AFTER;
        if due {
            self.desired.compact();
            self.unsettled = 0;
        }
        due
    }

    /// The newest revision given.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// What is ordered.
    pub fn desired(&self) -> &DesiredState {
        &self.desired
    }

    /// The newest orders, newest first.
    pub fn latest(&self) -> impl Iterator<Item = &LoggedOrder> {
        self.orders.iter().rev()
    }
}
