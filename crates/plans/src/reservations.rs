//! Reservations of units: leases with fencing tokens, limited by the ceiling.
//!
//! A reservation sets aside units of a customer for a future period. The holder's gateway charges them to the
//! customer's token bucket when the period begins and returns unused ones at its end. The ceiling limits
//! reservations as an arrival curve (RFC 2212's token bucket: burst plus rate times duration): within any
//! span of time, no more units are reserved than the ceiling admits in that span.

mod capacity;
mod error;
mod request;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::timeline::PlanTimeline;

use capacity::{available_units, overfull_span};
pub use error::ReservationError;
use request::{validate, MAX_LEASE_MS};
pub use request::{InvalidRequest, ReservationRequest};

/// Maximum number of open reservations of all customers.
pub const MAX_RESERVATIONS: usize = 100_000;
/// Maximum number of open reservations of one customer.
pub const MAX_RESERVATIONS_PER_CUSTOMER: usize = 32;
/// Maximum number of ended reservations that are remembered. A repeated request gets the end reason from
/// them.
pub const MAX_ENDED_RESERVATIONS: usize = 10_000;

/// A fencing token. Each reservation and each takeover gets a greater one; replaced tokens are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// State of an open reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReservationState {
    /// Requested, not confirmed yet.
    Pending,
    /// Confirmed by its holder.
    Confirmed,
}

/// An open reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The request.
    pub request: ReservationRequest,
    /// Token that the holder has to present.
    pub token: FencingToken,
    /// Its state.
    pub state: ReservationState,
    /// End of the lease, Unix time in ms.
    pub lease_end_ms: u64,
}

impl Reservation {
    /// Returns when it ends without an action of the holder, Unix time in ms.
    fn due_ms(&self) -> u64 {
        self.lease_end_ms.min(self.request.to_ms)
    }
}

/// Reason for the end of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The holder released it.
    Released,
    /// Its period is over.
    PeriodOver,
    /// The holder did not extend the lease in time.
    LeaseExpired,
    /// The customer's plan was lowered and no longer allows it.
    PlanLowered,
}

/// A reservation that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedReservation {
    /// The last state of the reservation.
    pub reservation: Reservation,
    /// Reason for its end.
    pub end: EndReason,
    /// Time of its end, Unix time in ms.
    pub at_ms: u64,
}

/// Timer entry for the end of an open reservation without an action of its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueReservation {
    at_ms: u64,
    token: FencingToken,
}

/// All open reservations, and the latest ended ones.
#[derive(Debug, Default)]
pub struct ReservationLedger {
    last_token: u64,
    open: BTreeMap<FencingToken, Reservation>,
    due: BTreeSet<DueReservation>,
    by_order: HashMap<String, FencingToken>,
    by_customer: HashMap<u64, Vec<FencingToken>>,
    /// Tokens that a takeover replaced, each with its replacement, while the replacement is open.
    fenced: HashMap<FencingToken, FencingToken>,
    /// The inverse of `fenced`.
    fenced_by: HashMap<FencingToken, FencingToken>,
    ended: VecDeque<EndedReservation>,
}

impl ReservationLedger {
    /// Returns the open reservations, ordered by token.
    pub fn open(&self) -> impl Iterator<Item = &Reservation> {
        self.open.values()
    }

    /// Returns the open reservations of a customer, oldest first.
    pub fn of_customer(&self, customer: u64) -> impl Iterator<Item = &Reservation> {
        let tokens = self.by_customer.get(&customer).into_iter().flatten();
        tokens.filter_map(|token| self.open.get(token))
    }

    /// Makes a reservation, or returns the one that the same order made before.
    ///
    /// # Errors
    /// A [`ReservationError`]. Nothing is changed.
    pub fn reserve(
        &mut self,
        now_ms: u64,
        request: ReservationRequest,
        limits: &PlanTimeline,
    ) -> Result<&Reservation, ReservationError> {
        validate(now_ms, &request)?;
        if let Some(token) = self.by_order.get(&request.order).copied() {
            return self.repeat_order(now_ms, token, request);
        }
        let ended = self.ended.iter().rev().find(|ended| ended.reservation.request.order == request.order);
        if let Some(ended) = ended {
            return Err(ReservationError::Ended(ended.end));
        }
        if request.to_ms <= now_ms {
            return Err(InvalidRequest::PeriodOver.into());
        }
        self.check_capacity(&request, limits)?;
        let token = self.next_token();
        let lease_end_ms = now_ms + request.lease_ms;
        Ok(self.insert(Reservation { request, token, state: ReservationState::Pending, lease_end_ms }))
    }

    fn check_capacity(
        &self,
        request: &ReservationRequest,
        limits: &PlanTimeline,
    ) -> Result<(), ReservationError> {
        if self.open.len() >= MAX_RESERVATIONS {
            return Err(ReservationError::TooMany(MAX_RESERVATIONS));
        }
        let of_customer: Vec<&Reservation> = self.of_customer(request.customer).collect();
        if of_customer.len() >= MAX_RESERVATIONS_PER_CUSTOMER {
            return Err(ReservationError::TooMany(MAX_RESERVATIONS_PER_CUSTOMER));
        }
        let available = available_units(&of_customer, request, limits);
        if request.units > available {
            return Err(ReservationError::ExceedsCeiling(available.max(0.0)));
        }
        Ok(())
    }

    /// Handles an order that was given before: returns its reservation, which another holder takes over.
    ///
    /// A takeover issues a new token, so that the previous holder can no longer act on the reservation.
    fn repeat_order(
        &mut self,
        now_ms: u64,
        token: FencingToken,
        request: ReservationRequest,
    ) -> Result<&Reservation, ReservationError> {
        let existing = self.open.get(&token).ok_or(ReservationError::Unknown)?;
        let as_existing = ReservationRequest {
            holder: existing.request.holder.clone(),
            lease_ms: existing.request.lease_ms,
            ..request.clone()
        };
        if as_existing != existing.request {
            return Err(ReservationError::DifferentRequest);
        }
        if request.holder == existing.request.holder {
            return self.open.get(&token).ok_or(ReservationError::Unknown);
        }
        let new_token = self.next_token();
        let mut reservation = self.remove(token).ok_or(ReservationError::Unknown)?;
        self.forget_fenced_by(token);
        self.fenced.insert(token, new_token);
        self.fenced_by.insert(new_token, token);
        reservation.token = new_token;
        reservation.lease_end_ms = now_ms + request.lease_ms;
        reservation.request = request;
        Ok(self.insert(reservation))
    }

    fn next_token(&mut self) -> FencingToken {
        self.last_token += 1;
        FencingToken(self.last_token)
    }

    /// Confirms a reservation. A repeated call changes nothing.
    ///
    /// # Errors
    /// A [`ReservationError`] if the token is not that of an open reservation.
    pub fn confirm(&mut self, token: FencingToken) -> Result<&Reservation, ReservationError> {
        let reservation = self.open_mut(token)?;
        reservation.state = ReservationState::Confirmed;
        Ok(reservation)
    }

    /// Extends a lease to `lease_ms` from now, unless it ends later already, so that a delayed repeat does
    /// not shorten it.
    ///
    /// # Errors
    /// A [`ReservationError`] if the lease is invalid or the token is not that of an open reservation.
    pub fn extend(
        &mut self,
        now_ms: u64,
        token: FencingToken,
        lease_ms: u64,
    ) -> Result<&Reservation, ReservationError> {
        if !(1..=MAX_LEASE_MS).contains(&lease_ms) {
            return Err(InvalidRequest::Lease.into());
        }
        let reservation = self.open_mut(token)?;
        let old_due_ms = reservation.due_ms();
        reservation.lease_end_ms = reservation.lease_end_ms.max(now_ms + lease_ms);
        let due_ms = reservation.due_ms();
        self.due.remove(&DueReservation { at_ms: old_due_ms, token });
        self.due.insert(DueReservation { at_ms: due_ms, token });
        self.open.get(&token).ok_or(ReservationError::Unknown)
    }

    /// Releases a reservation. A repeated call gets an error with [`EndReason::Released`].
    ///
    /// # Errors
    /// A [`ReservationError`] if the token is not that of an open reservation.
    pub fn release(
        &mut self,
        now_ms: u64,
        token: FencingToken,
    ) -> Result<EndedReservation, ReservationError> {
        self.open_mut(token)?;
        self.end(now_ms, token, EndReason::Released).ok_or(ReservationError::Unknown)
    }

    /// Ends the reservations whose period is over or whose lease has expired. The cost depends only on their
    /// number.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndedReservation> {
        let mut ended = Vec::new();
        while let Some(due) = self.due.first().copied().filter(|due| due.at_ms <= now_ms) {
            let DueReservation { at_ms, token } = due;
            let is_over = self.open.get(&token).is_some_and(|reservation| reservation.request.to_ms <= at_ms);
            let reason = if is_over { EndReason::PeriodOver } else { EndReason::LeaseExpired };
            self.due.remove(&due);
            ended.extend(self.end(at_ms, token, reason));
        }
        ended
    }

    /// Ends reservations of a customer that exceed its new limits.
    ///
    /// They are chosen within a span that exceeds the limits: pending before confirmed ones, and the newest
    /// first among these. The holder learns of it from the response to its next request.
    pub fn plan_lowered(
        &mut self,
        now_ms: u64,
        customer: u64,
        limits: &PlanTimeline,
    ) -> Vec<EndedReservation> {
        let mut ended = Vec::new();
        while let Some(token) = self.excess_reservation(customer, limits) {
            ended.extend(self.end(now_ms, token, EndReason::PlanLowered));
        }
        ended
    }

    /// Returns the reservation to end first if a span exceeds the limits.
    fn excess_reservation(&self, customer: u64, limits: &PlanTimeline) -> Option<FencingToken> {
        let of_customer: Vec<&Reservation> = self.of_customer(customer).collect();
        let span = overfull_span(&of_customer, limits)?;
        let within = of_customer.iter().filter(|reservation| reservation.is_within(span));
        let first = within.min_by_key(|reservation| (reservation.state, Reverse(reservation.token)));
        first.map(|reservation| reservation.token)
    }

    /// Returns the open reservation with a token, or the reason why there is none.
    fn open_mut(&mut self, token: FencingToken) -> Result<&mut Reservation, ReservationError> {
        if let Some(reservation) = self.open.get_mut(&token) {
            return Ok(reservation);
        }
        if self.fenced.contains_key(&token) {
            return Err(ReservationError::Fenced);
        }
        let ended = self.ended.iter().rev().find(|ended| ended.reservation.token == token);
        Err(ended.map_or(ReservationError::Unknown, |ended| ReservationError::Ended(ended.end)))
    }

    fn insert(&mut self, reservation: Reservation) -> &Reservation {
        let token = reservation.token;
        let request = &reservation.request;
        self.by_order.insert(request.order.clone(), token);
        self.by_customer.entry(request.customer).or_default().push(token);
        self.due.insert(DueReservation { at_ms: reservation.due_ms(), token });
        self.open.entry(token).or_insert(reservation)
    }

    fn remove(&mut self, token: FencingToken) -> Option<Reservation> {
        let reservation = self.open.remove(&token)?;
        self.due.remove(&DueReservation { at_ms: reservation.due_ms(), token });
        self.by_order.remove(&reservation.request.order);
        if let Some(of_customer) = self.by_customer.get_mut(&reservation.request.customer) {
            of_customer.retain(|other| *other != token);
            if of_customer.is_empty() {
                self.by_customer.remove(&reservation.request.customer);
            }
        }
        Some(reservation)
    }

    /// Forgets the token that `token` replaced.
    fn forget_fenced_by(&mut self, token: FencingToken) {
        if let Some(old_token) = self.fenced_by.remove(&token) {
            self.fenced.remove(&old_token);
        }
    }

    fn end(&mut self, at_ms: u64, token: FencingToken, end: EndReason) -> Option<EndedReservation> {
        let reservation = self.remove(token)?;
        self.forget_fenced_by(token);
        let ended = EndedReservation { reservation, end, at_ms };
        if self.ended.len() >= MAX_ENDED_RESERVATIONS {
            self.ended.pop_front();
        }
        self.ended.push_back(ended.clone());
        Some(ended)
    }
}
