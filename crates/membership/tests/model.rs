//! Model check: never more than one slot is in use, for every order of a limited number of events. The model
//! has an owner and two members that claim its slot, all three of them its grantors, and runs the production
//! code of grantors and holders.

use std::collections::BTreeMap;

use membership::lease::{
    Grant, GrantedLoan, LeaseGrantor, LeaseHolder, LeaseTerms, Member, Message, SLOT_UNITS,
};
use stateright::{Checker, Model, Property};

/// Number of the slot, and of its owner.
const OWNER: u32 = 0;
/// Step of true time, ms.
const TICK_MS: u64 = 10;
const TERMS: LeaseTerms =
    LeaseTerms { members: 3, lease_ms: 20, max_drift_per_mille: 100, trust_refusals: true };

/// A flaw that the check must detect. Each one removes a rule or an assumption.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// A grantor makes grants immediately after its start.
    GrantsAfterRestart,
    /// An owner uses its kept units as soon as it is acknowledged.
    UsesKeptUnitsEarly,
    /// A connection to a live process is refused.
    FalseRefusal,
    /// A clock runs at half the rate of true time.
    SlowClock,
}

/// How often each event may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EventLimits {
    ticks: u64,
    renewals: u8,
    /// By the second and by the third member.
    claims: [u8; 2],
    loans: u8,
    /// By member number.
    crashes: [u8; 3],
    /// Messages that are delivered more than once.
    duplicates: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    running: bool,
    incarnation: u64,
    holder: LeaseHolder,
    grantor: LeaseGrantor,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Sent {
    from: Member,
    to: u32,
    /// For a response, the incarnation that sent the request.
    incarnation: Option<u64>,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    nodes: Vec<Node>,
    /// Messages in transit, and how many of each.
    in_transit: BTreeMap<Sent, u8>,
    remaining: EventLimits,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    Renew,
    Claim(u32),
    Borrow(u32),
    /// Delivers a message, which stays in transit if the flag is set. Messages that are never delivered are
    /// lost.
    Deliver(Sent, bool),
    Crash(u32),
    Start(u32),
    Refused(u32),
}

struct SlotModel {
    flaw: Flaw,
    limits: EventLimits,
    /// How far each clock advances in a tick, ms.
    rates: [u64; 3],
}

impl SlotModel {
    fn clock(&self, state: &State, node: u32) -> u64 {
        // Clocks have different origins, all in the distant past.
        1_000 * (u64::from(node) + 1) + state.now * self.rates[node as usize]
    }

    fn start_clock(&self, clock: u64, started_long_ago: bool) -> u64 {
        if started_long_ago {
            clock - 900
        } else {
            clock
        }
    }

    fn node(&self, number: u32, incarnation: u64, clock: u64) -> Node {
        let grantor =
            LeaseGrantor::new(TERMS, self.start_clock(clock, self.flaw == Flaw::GrantsAfterRestart));
        let start_clock = self.start_clock(clock, self.flaw == Flaw::UsesKeptUnitsEarly);
        Node {
            running: true,
            incarnation,
            holder: LeaseHolder::new(TERMS, Member { number, incarnation }, start_clock),
            grantor,
        }
    }

    fn send(&self, state: &mut State, from: u32, to: u32, incarnation: Option<u64>, message: Message) {
        let from = Member { number: from, incarnation: state.nodes[from as usize].incarnation };
        if from.number == to {
            // Messages of a member to itself are not sent over the network.
            return self.deliver(state, Sent { from, to, incarnation, message });
        }
        *state.in_transit.entry(Sent { from, to, incarnation, message }).or_default() += 1;
    }

    fn deliver(&self, state: &mut State, sent: Sent) {
        let Sent { from, to, incarnation, message } = sent;
        let now = self.clock(state, to);
        let node = &mut state.nodes[to as usize];
        if !node.running || incarnation.is_some_and(|incarnation| incarnation != node.incarnation) {
            return;
        }
        let response = match message {
            Message::Renew { request_id } => {
                Some(Message::Renewed { request_id, granted: node.grantor.renew(now, from) })
            }
            Message::Claim { request_id, slot } => {
                Some(Message::Claimed { request_id, slot, grant: node.grantor.claim(now, from, slot) })
            }
            Message::Borrow { request_id, units } => {
                let GrantedLoan { units, duration_ms } = node.holder.lend(now, from, units, u64::MAX);
                Some(Message::Loan { request_id, units, duration_ms })
            }
            Message::Renewed { request_id, granted } => {
                node.holder.renewal_answered(from.number, request_id, granted);
                None
            }
            Message::Claimed { request_id, slot, grant } => {
                node.holder.claim_answered(from.number, request_id, slot, grant);
                None
            }
            Message::Loan { request_id, units, duration_ms } => {
                node.holder.loan_received(from.number, request_id, units, duration_ms);
                None
            }
        };
        // Losing a response that grants nothing has the same effect as delivering it.
        let grants_nothing = |response: &Message| match response {
            Message::Renewed { granted, .. } => *granted == Grant::Whole,
            Message::Claimed { grant, .. } => *grant == Grant::Nothing,
            Message::Loan { units, .. } => *units == 0,
            _ => false,
        };
        if let Some(response) = response.filter(|response| !grants_nothing(response)) {
            self.send(state, to, from.number, Some(from.incarnation), response);
        }
    }

    fn sum(&self, state: &State) -> u64 {
        let running = (0..).zip(&state.nodes).filter(|(_, node)| node.running);
        running.map(|(number, node)| node.holder.allocation(self.clock(state, number)).units).sum()
    }
}

impl Model for SlotModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state =
            State { now: 0, nodes: Vec::new(), in_transit: BTreeMap::new(), remaining: self.limits };
        // All members started long ago, and the owner has just renewed its slot at all grantors.
        for number in 0..3 {
            let clock = self.clock(&state, number);
            let (mut node, member) = (self.node(number, 1, clock), Member { number, incarnation: 1 });
            (node.grantor, node.holder) =
                (LeaseGrantor::new(TERMS, clock - 900), LeaseHolder::new(TERMS, member, clock - 900));
            node.grantor.renew(clock, Member { number: OWNER, incarnation: 1 });
            state.nodes.push(node);
        }
        let (clock, owner) = (self.clock(&state, OWNER), &mut state.nodes[OWNER as usize].holder);
        let request_id = owner.request_renewal(clock);
        (0..3).for_each(|grantor| owner.renewal_answered(grantor, request_id, Grant::Nothing));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let running = |number: u32| state.nodes[number as usize].running;
        if state.remaining.ticks > 0 {
            actions.push(Action::Tick);
        }
        if state.remaining.renewals > 0 && running(OWNER) {
            actions.push(Action::Renew);
        }
        for number in 1..3 {
            if state.remaining.claims[number as usize - 1] > 0 && running(number) {
                actions.push(Action::Claim(number));
            }
        }
        if state.remaining.loans > 0 && running(1) {
            actions.push(Action::Borrow(1));
        }
        for sent in state.in_transit.keys() {
            // A message to a crashed process is lost. Any other is lost if it is never delivered.
            if !running(sent.to) {
                continue;
            }
            actions.push(Action::Deliver(*sent, false));
            if state.remaining.duplicates > 0 {
                actions.push(Action::Deliver(*sent, true));
            }
        }
        for number in 0..3 {
            if !running(number) {
                actions.push(Action::Start(number));
            } else if state.remaining.crashes[number as usize] > 0 {
                actions.push(Action::Crash(number));
            }
            let refused = !running(OWNER) || self.flaw == Flaw::FalseRefusal;
            if number != OWNER && running(number) && refused {
                actions.push(Action::Refused(number));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => {
                state.now += 1;
                state.remaining.ticks -= 1;
            }
            Action::Renew => {
                state.remaining.renewals -= 1;
                let now = self.clock(&state, OWNER);
                let request_id = state.nodes[OWNER as usize].holder.request_renewal(now);
                TERMS
                    .grantors(OWNER)
                    .into_iter()
                    .for_each(|to| self.send(&mut state, OWNER, to, None, Message::Renew { request_id }));
            }
            Action::Claim(by) => {
                state.remaining.claims[by as usize - 1] -= 1;
                let now = self.clock(&state, by);
                let request_id = state.nodes[by as usize].holder.request_claim(now, OWNER)?;
                let message = Message::Claim { request_id, slot: OWNER };
                TERMS.grantors(OWNER).into_iter().for_each(|to| self.send(&mut state, by, to, None, message));
            }
            Action::Borrow(by) => {
                state.remaining.loans -= 1;
                let now = self.clock(&state, by);
                let request_id = state.nodes[by as usize].holder.request_loan(now, OWNER)?;
                self.send(&mut state, by, OWNER, None, Message::Borrow { request_id, units: SLOT_UNITS });
            }
            Action::Deliver(sent, again) => {
                if again {
                    state.remaining.duplicates -= 1;
                } else {
                    let remaining = state.in_transit.get_mut(&sent)?;
                    *remaining -= 1;
                    if *remaining == 0 {
                        state.in_transit.remove(&sent);
                    }
                }
                self.deliver(&mut state, sent);
            }
            Action::Crash(number) => {
                state.remaining.crashes[number as usize] -= 1;
                let incarnation = state.nodes[number as usize].incarnation;
                state.nodes[number as usize].running = false;
                // Other incarnations ignore the responses to this one.
                state.in_transit.retain(|sent, _| sent.to != number || sent.incarnation != Some(incarnation));
            }
            Action::Start(number) => {
                let (incarnation, clock) =
                    (state.nodes[number as usize].incarnation + 1, self.clock(&state, number));
                state.nodes[number as usize] = self.node(number, incarnation, clock);
            }
            Action::Refused(by) => {
                let now = self.clock(&state, by);
                let grantor = &mut state.nodes[by as usize].grantor;
                let silent: Vec<Member> = grantor.silent_owners(now).collect();
                for owner in silent.into_iter() {
                    grantor.owner_unreachable(now, owner);
                }
            }
        }
        // A response that has no effect now will never have one.
        let idle = matches!(action, Action::Deliver(sent, _) if sent.incarnation.is_some())
            && state.nodes == last.nodes;
        (state != *last && !idle).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_SLOT, |model: &SlotModel, state: &State| model.sum(state) <= SLOT_UNITS),
            Property::sometimes(OWNER_HAS_ALL, |model: &SlotModel, state: &State| {
                let owner = &state.nodes[OWNER as usize];
                owner.running && owner.holder.allocation(model.clock(state, OWNER)).units == SLOT_UNITS
            }),
            Property::sometimes(ANOTHER_HAS_ALL, |model: &SlotModel, state: &State| {
                let other = &state.nodes[1];
                other.running && other.holder.allocation(model.clock(state, 1)).units == SLOT_UNITS
            }),
        ]
    }
}

const RATES: [u64; 3] = [TICK_MS, TICK_MS + 1, TICK_MS - 1];
const NO_EVENTS: EventLimits =
    EventLimits { ticks: 0, renewals: 0, claims: [0, 0], loans: 0, crashes: [0, 0, 0], duplicates: 0 };

/// Returns the names of the properties that were discovered among all states within `depth` events.
fn discovered(flaw: Flaw, limits: EventLimits, rates: [u64; 3], depth: usize) -> Vec<&'static str> {
    let checker =
        SlotModel { flaw, limits, rates }.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    let discovered: Vec<&str> = checker.discoveries().into_keys().collect();
    println!(
        "{flaw:?}: {} states, depth {}: {discovered:?}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    discovered
}

/// Discovered if a state violates it; the other two properties are discovered if a state satisfies them.
const WITHIN_SLOT: &str = "at most one slot is in use";
const OWNER_HAS_ALL: &str = "the owner has the whole slot";
const ANOTHER_HAS_ALL: &str = "another member has the whole slot";

/// The owner crashes, another member claims its whole slot, and the owner restarts and renews.
const OWNER_RETURNS: EventLimits =
    EventLimits { ticks: 7, renewals: 1, claims: [1, 0], crashes: [1, 0, 0], ..NO_EVENTS };
/// Two members claim after the owner's crash.
const TWO_CLAIMS: EventLimits = EventLimits { ticks: 6, claims: [1, 1], crashes: [1, 0, 0], ..NO_EVENTS };
/// Two members claim, and a grantor restarts between the claims.
const GRANTOR_RESTART: EventLimits =
    EventLimits { ticks: 6, claims: [1, 1], crashes: [0, 1, 0], ..NO_EVENTS };
/// The owner lends, crashes and restarts.
const LOANS: EventLimits = EventLimits { ticks: 6, renewals: 1, loans: 1, crashes: [1, 0, 0], ..NO_EVENTS };
/// A claim and a renewal with duplicated messages.
const DUPLICATES: EventLimits =
    EventLimits { ticks: 5, renewals: 1, claims: [1, 0], loans: 1, duplicates: 2, ..NO_EVENTS };

#[test]
fn bound_holds_when_owner_returns_after_takeover() {
    let discovered = discovered(Flaw::None, OWNER_RETURNS, RATES, 14);
    assert!(!discovered.contains(&WITHIN_SLOT), "more than one slot is in use");
    assert!(discovered.contains(&OWNER_HAS_ALL) && discovered.contains(&ANOTHER_HAS_ALL), "{discovered:?}");
}

#[test]
fn bound_holds_for_claims_restarts_loans_and_duplicates() {
    for (limits, depth) in [(TWO_CLAIMS, 13), (GRANTOR_RESTART, 14), (LOANS, 14), (DUPLICATES, 10)] {
        assert!(!discovered(Flaw::None, limits, RATES, depth).contains(&WITHIN_SLOT), "{limits:?}");
    }
}

/// Guards against a model that cannot detect a violation: each removed rule or assumption must lead to one.
#[test]
fn each_removed_rule_or_assumption_breaks_the_bound() {
    let slow = [TICK_MS / 2, TICK_MS + 1, TICK_MS];
    for (flaw, limits, rates, depth) in [
        (Flaw::UsesKeptUnitsEarly, LOANS, RATES, 14),
        (Flaw::GrantsAfterRestart, GRANTOR_RESTART, RATES, 14),
        (Flaw::FalseRefusal, GRANTOR_RESTART, RATES, 13),
        (Flaw::SlowClock, GRANTOR_RESTART, slow, 14),
    ] {
        assert!(discovered(flaw, limits, rates, depth).contains(&WITHIN_SLOT), "{flaw:?} is not detected");
    }
}
