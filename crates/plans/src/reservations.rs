//! Reservations of allowance: leases with fencing tokens, within what the ceiling leaves.
//!
//! A reservation holds units of a customer for a time to come. They are charges ahead of the one store that
//! the customer has: the holder's gateway charges them at the begin and gives back at the end what was not
//! used, so there is no second bucket. What may be reserved is bounded by the ceiling as an arrival curve
//! (RFC 2212's token bucket: burst and rate x time, over every span of time): of all that is reserved
//! within any span, no more than the ceiling lets through in it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

use crate::timeline::PlanTimeline;

/// Reservations that are open at once, of all customers.
pub const MAX_RESERVATIONS: usize = 100_000;
/// Of one customer.
pub const MAX_RESERVATIONS_PER_CUSTOMER: usize = 32;
/// Ended ones that are remembered, so that a repeat hears how it ended.
pub const MAX_ENDED_RESERVATIONS: usize = 10_000;
/// The longest lease, ms: a holder that died holds nothing for longer.
const MAX_LEASE_MS: u64 = 3_600_000;
/// The longest name of an order or a holder, bytes.
const MAX_NAME_BYTES: usize = 64;

/// A fencing token: it grows with each grant and each takeover. Whoever shows an older one is told so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// What is asked for. The same `order` is the same reservation however often it comes.
#[derive(Clone, Debug, PartialEq)]
pub struct ReservationRequest {
    /// Names the order, 1 to 64 bytes, chosen by whoever gives it.
    pub order: String,
    /// Who holds it, 1 to 64 bytes. Another holder that repeats the order takes it over.
    pub holder: String,
    /// Whose allowance.
    pub customer: u64,
    /// Units, above 0.
    pub units: f64,
    /// From this instant, Unix ms.
    pub from_ms: u64,
    /// To this one, which is later.
    pub to_ms: u64,
    /// The holder has to be heard again within this time, 1 to 3,600,000 ms.
    pub lease_ms: u64,
}

/// How far a reservation has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReservationState {
    /// Asked for; it ends with its lease.
    Pending,
    /// Confirmed by its holder, who keeps extending the lease.
    Confirmed,
}

/// A reservation that is open.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// What was asked for.
    pub ask: ReservationRequest,
    /// What its holder has to show.
    pub token: FencingToken,
    /// How far it has come.
    pub state: ReservationState,
    /// The end of the lease, Unix ms.
    pub lease_end_ms: u64,
}

/// How a reservation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its holder gave it back.
    Released,
    /// Its time is over.
    PeriodOver,
    /// Its holder was not heard in time.
    LeaseExpired,
    /// The plan was lowered and leaves no room for it.
    PlanLowered,
}

/// A reservation that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedReservation {
    /// As it was last.
    pub reservation: Reservation,
    /// How it ended.
    pub end: EndReason,
    /// When, Unix ms.
    pub at_ms: u64,
}

/// Why something was not done.
#[derive(Clone, Debug, PartialEq)]
pub enum ReservationError {
    /// No reservation has that token, and none that is remembered had.
    Unknown,
    /// Somebody took it over; this is not its token any more.
    Fenced,
    /// It has ended, like this.
    Ended(EndReason),
    /// The order was given before, for something else.
    OtherAsk,
    /// The ceiling leaves no more than so many units for that time.
    NoRoom(f64),
    /// There are as many as may be open.
    TooMany(usize),
    /// The ask itself can't be one.
    Bad(&'static str),
}

impl fmt::Display for ReservationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReservationError::Unknown => f.write_str("no such reservation"),
            ReservationError::Fenced => f.write_str("another holder took it over"),
            ReservationError::Ended(EndReason::Released) => f.write_str("it was released"),
            ReservationError::Ended(EndReason::PeriodOver) => f.write_str("its time is over"),
            ReservationError::Ended(EndReason::LeaseExpired) => {
                f.write_str("its lease ended, as the holder was not heard")
            }
            ReservationError::Ended(EndReason::PlanLowered) => {
                f.write_str("the plan was lowered and leaves no room for it")
            }
            ReservationError::OtherAsk => f.write_str("that order was given before, for something else"),
            ReservationError::NoRoom(left) => write!(f, "the ceiling leaves {left} units for that time"),
            ReservationError::TooMany(most) => write!(f, "{most} are open, which is the most"),
            ReservationError::Bad(wanted) => f.write_str(wanted),
        }
    }
}

impl std::error::Error for ReservationError {}

/// All reservations. It is changed by its owner alone and never reads a clock.
#[derive(Debug, Default)]
pub struct ReservationLedger {
    last: u64,
    live: BTreeMap<FencingToken, Reservation>,
    /// By the ends of leases and times, soonest first.
    due: BTreeSet<(u64, FencingToken)>,
    by_order: HashMap<String, FencingToken>,
    by_customer: HashMap<u64, Vec<FencingToken>>,
    /// Tokens that a takeover made old, and those that took their place, while these live.
    fenced: HashMap<FencingToken, FencingToken>,
    /// The same the other way round.
    fences: HashMap<FencingToken, FencingToken>,
    ended: VecDeque<EndedReservation>,
}

impl ReservationLedger {
    /// Open reservations, in the order of their tokens.
    pub fn live(&self) -> impl Iterator<Item = &Reservation> {
        self.live.values()
    }

    /// Open reservations of a customer, oldest first.
    pub fn of(&self, customer: u64) -> impl Iterator<Item = &Reservation> {
        self.by_customer.get(&customer).into_iter().flatten().filter_map(|token| self.live.get(token))
    }

    /// Reserves, or finds what the same order reserved before.
    ///
    /// # Errors
    /// Why not; nothing is changed then.
    pub fn reserve(
        &mut self,
        now_ms: u64,
        ask: ReservationRequest,
        terms: &PlanTimeline,
    ) -> Result<&Reservation, ReservationError> {
        check(now_ms, &ask)?;
        if let Some(token) = self.by_order.get(&ask.order).copied() {
            return self.repeated(now_ms, token, ask);
        }
        if let Some(ended) = self.ended.iter().rev().find(|e| e.reservation.ask.order == ask.order) {
            return Err(ReservationError::Ended(ended.end));
        }
        if ask.to_ms <= now_ms {
            return Err(ReservationError::Bad("a time that is not over is wanted"));
        }
        if self.live.len() >= MAX_RESERVATIONS {
            return Err(ReservationError::TooMany(MAX_RESERVATIONS));
        }
        let of: Vec<&Reservation> = self.of(ask.customer).collect();
        if of.len() >= MAX_RESERVATIONS_PER_CUSTOMER {
            return Err(ReservationError::TooMany(MAX_RESERVATIONS_PER_CUSTOMER));
        }
        let left = left_for(&of, &ask, terms);
        if ask.units > left {
            return Err(ReservationError::NoRoom(left.max(0.0)));
        }
        self.last += 1;
        let (token, state, lease_end_ms) =
            (FencingToken(self.last), ReservationState::Pending, now_ms + ask.lease_ms);
        self.by_order.insert(ask.order.clone(), token);
        self.by_customer.entry(ask.customer).or_default().push(token);
        self.due.insert((lease_end_ms.min(ask.to_ms), token));
        Ok(self.live.entry(token).or_insert(Reservation { ask, token, state, lease_end_ms }))
    }

    /// An order that was given before: the same reservation, at another holder if another one gives it.
    fn repeated(
        &mut self,
        now_ms: u64,
        token: FencingToken,
        ask: ReservationRequest,
    ) -> Result<&Reservation, ReservationError> {
        let held = self.live.get(&token).ok_or(ReservationError::Unknown)?;
        let same = ReservationRequest {
            holder: held.ask.holder.clone(),
            lease_ms: held.ask.lease_ms,
            ..ask.clone()
        };
        if same != held.ask {
            return Err(ReservationError::OtherAsk);
        }
        if ask.holder == held.ask.holder {
            return self.live.get(&token).ok_or(ReservationError::Unknown);
        }
        // Danger: a holder that was taken for dead, and acts on what another one has by now.
        self.last += 1;
        let new = FencingToken(self.last);
        let mut taken = self.take_out(token).ok_or(ReservationError::Unknown)?;
        self.forget_fenced(token);
        self.fenced.insert(token, new);
        self.fences.insert(new, token);
        taken.token = new;
        taken.ask.holder = ask.holder;
        taken.ask.lease_ms = ask.lease_ms;
        taken.lease_end_ms = now_ms + ask.lease_ms;
        self.by_order.insert(ask.order, new);
        self.by_customer.entry(ask.customer).or_default().push(new);
        self.due.insert((taken.lease_end_ms.min(taken.ask.to_ms), new));
        Ok(self.live.entry(new).or_insert(taken))
    }

    /// The holder confirms; a repeat changes nothing.
    ///
    /// # Errors
    /// Why not.
    pub fn confirm(&mut self, token: FencingToken) -> Result<&Reservation, ReservationError> {
        self.known(token)?;
        let held = self.live.get_mut(&token).ok_or(ReservationError::Unknown)?;
        held.state = ReservationState::Confirmed;
        Ok(held)
    }

    /// The holder is heard: the lease ends so long from now, if that is later than it did.
    ///
    /// # Errors
    /// Why not.
    pub fn extend(
        &mut self,
        now_ms: u64,
        token: FencingToken,
        lease_ms: u64,
    ) -> Result<&Reservation, ReservationError> {
        if !(1..=MAX_LEASE_MS).contains(&lease_ms) {
            return Err(ReservationError::Bad("a lease of 1 to 3600000 ms is wanted"));
        }
        self.known(token)?;
        let held = self.live.get_mut(&token).ok_or(ReservationError::Unknown)?;
        // Danger: an old repeat that shortens what a later one gave.
        let end = held.lease_end_ms.max(now_ms + lease_ms);
        self.due.remove(&(held.lease_end_ms.min(held.ask.to_ms), token));
        held.lease_end_ms = end;
        self.due.insert((end.min(held.ask.to_ms), token));
        Ok(held)
    }

    /// The holder gives it back; a repeat is told that it was.
    ///
    /// # Errors
    /// Why not.
    pub fn release(
        &mut self,
        now_ms: u64,
        token: FencingToken,
    ) -> Result<EndedReservation, ReservationError> {
        self.known(token)?;
        self.end(now_ms, token, EndReason::Released).ok_or(ReservationError::Unknown)
    }

    /// Ends what is over, and what nobody extended in time. Work grows with what ends alone.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndedReservation> {
        let mut all = Vec::new();
        while let Some((at, token)) = self.due.first().copied() {
            if at > now_ms {
                break;
            }
            let over = self.live.get(&token).is_some_and(|held| held.ask.to_ms <= at);
            self.due.remove(&(at, token));
            all.extend(self.end(
                at,
                token,
                if over { EndReason::PeriodOver } else { EndReason::LeaseExpired },
            ));
        }
        all
    }

    /// Ends what a customer's new terms leave no room for. Who loses: pending ones before confirmed ones, of
    /// each the newest first, and only those within a span of time that holds too much. The holder hears with
    /// the next thing that it asks.
    pub fn lowered(&mut self, now_ms: u64, customer: u64, terms: &PlanTimeline) -> Vec<EndedReservation> {
        let mut all = Vec::new();
        loop {
            let of: Vec<&Reservation> = self.of(customer).collect();
            let Some((from, to)) = overfull(&of, terms) else { return all };
            let within = of.iter().filter(|r| from <= r.ask.from_ms && r.ask.to_ms <= to);
            let Some(loses) = within.min_by_key(|r| (r.state, std::cmp::Reverse(r.token))) else {
                return all;
            };
            let token = loses.token;
            all.extend(self.end(now_ms, token, EndReason::PlanLowered));
        }
    }

    /// Why a token is not that of an open reservation, if it is not.
    fn known(&self, token: FencingToken) -> Result<(), ReservationError> {
        if self.live.contains_key(&token) {
            return Ok(());
        }
        if self.fenced.contains_key(&token) {
            return Err(ReservationError::Fenced);
        }
        let ended = self.ended.iter().rev().find(|e| e.reservation.token == token);
        Err(ended.map_or(ReservationError::Unknown, |e| ReservationError::Ended(e.end)))
    }

    fn take_out(&mut self, token: FencingToken) -> Option<Reservation> {
        let held = self.live.remove(&token)?;
        self.due.remove(&(held.lease_end_ms.min(held.ask.to_ms), token));
        self.by_order.remove(&held.ask.order);
        if let Some(of) = self.by_customer.get_mut(&held.ask.customer) {
            of.retain(|other| *other != token);
            if of.is_empty() {
                self.by_customer.remove(&held.ask.customer);
            }
        }
        Some(held)
    }

    /// The token that this one made old is no more than unknown from now on.
    fn forget_fenced(&mut self, token: FencingToken) {
        if let Some(old) = self.fences.remove(&token) {
            self.fenced.remove(&old);
        }
    }

    fn end(&mut self, at_ms: u64, token: FencingToken, end: EndReason) -> Option<EndedReservation> {
        let reservation = self.take_out(token)?;
        self.forget_fenced(token);
        let ended = EndedReservation { reservation, end, at_ms };
        if self.ended.len() >= MAX_ENDED_RESERVATIONS {
            self.ended.pop_front();
        }
        self.ended.push_back(ended.clone());
        Some(ended)
    }
}

fn check(now_ms: u64, ask: &ReservationRequest) -> Result<(), ReservationError> {
    let named =
        |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
    match () {
        () if !named(&ask.order) => Err(ReservationError::Bad("an order of 1 to 64 bytes is wanted")),
        () if !named(&ask.holder) => Err(ReservationError::Bad("a holder of 1 to 64 bytes is wanted")),
        () if !(ask.units.is_finite() && ask.units > 0.0) => {
            Err(ReservationError::Bad("units above 0 are wanted"))
        }
        () if ask.to_ms <= ask.from_ms => Err(ReservationError::Bad("an end after the begin is wanted")),
        () if !(1..=MAX_LEASE_MS).contains(&ask.lease_ms) => {
            Err(ReservationError::Bad("a lease of 1 to 3600000 ms is wanted"))
        }
        () if now_ms.checked_add(MAX_LEASE_MS).is_none() => {
            Err(ReservationError::Bad("a time on record is wanted"))
        }
        () => Ok(()),
    }
}

/// Units reserved wholly within a span.
fn within(of: &[&Reservation], from: u64, to: u64) -> f64 {
    let inside = of.iter().filter(|r| from <= r.ask.from_ms && r.ask.to_ms <= to);
    inside.map(|r| r.ask.units).sum()
}

/// The units that may be reserved yet for an ask's time: the least that any span about it leaves. Spans that
/// matter begin and end where a reservation does; there are at most 33 of each.
fn left_for(of: &[&Reservation], ask: &ReservationRequest, terms: &PlanTimeline) -> f64 {
    let begins = of.iter().map(|r| r.ask.from_ms).filter(|from| *from <= ask.from_ms);
    let ends: Vec<u64> = of.iter().map(|r| r.ask.to_ms).filter(|to| *to >= ask.to_ms).collect();
    let mut left = f64::MAX;
    for from in begins.chain([ask.from_ms]) {
        for to in ends.iter().copied().chain([ask.to_ms]) {
            left = left.min(terms.most_between(from, to) - within(of, from, to));
        }
    }
    left
}

/// A span of time within which more is reserved than it leaves; the shortest of those that begin first.
fn overfull(of: &[&Reservation], terms: &PlanTimeline) -> Option<(u64, u64)> {
    let mut begins: Vec<u64> = of.iter().map(|r| r.ask.from_ms).collect();
    let mut ends: Vec<u64> = of.iter().map(|r| r.ask.to_ms).collect();
    begins.sort_unstable();
    ends.sort_unstable();
    let spans = begins.iter().flat_map(|from| ends.iter().map(move |to| (*from, *to)));
    // What rounding makes of sums that fit exactly is no excess.
    let holds = |from, to| within(of, from, to) > terms.most_between(from, to) * (1.0 + 1e-9) + 1e-9;
    spans.filter(|(from, to)| from < to).find(|(from, to)| holds(*from, *to))
}
