//! Model check: no more than a slot is in use, in every order of events up to a bound. An owner and two
//! others that claim its slot, all three its grantors, run by the functions that gateways run.

use std::collections::BTreeMap;

use membership::lease::{
    Grant, GrantedLoan, LeaseGrantor, LeaseHolder, LeaseTerms, Member, Message, SLOT_UNITS,
};
use stateright::{Checker, Model, Property};

/// Number of the slot, and of its owner.
const OWNER: u32 = 0;
/// A step of true time, ms.
const TICK: u64 = 10;
const TERMS: LeaseTerms =
    LeaseTerms { members: 3, lease_ms: 20, max_drift_per_mille: 100, trust_refusals: true };

/// A flaw that the check has to find. Each removes one rule or assumption.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// A grantor grants as soon as it starts.
    ForgetfulGrantor,
    /// An owner uses its kept part as soon as it is acknowledged.
    HastyOwner,
    /// A connection to a live process is refused.
    FalseRefusal,
    /// A clock runs at half the speed of true time.
    SlowClock,
}

/// How often each event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u64,
    renewals: u8,
    /// By the second and by the third member.
    claims: [u8; 2],
    loans: u8,
    /// By number.
    crashes: [u8; 3],
    /// Messages that are delivered duplicates.
    duplicates: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    incarnation: u64,
    holder: LeaseHolder,
    grantor: LeaseGrantor,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Sent {
    from: Member,
    to: u32,
    /// Of a response, the incarnation that sent the request.
    incarnation: Option<u64>,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    nodes: Vec<Node>,
    /// Messages in transit, and how many of each.
    in_transit: BTreeMap<Sent, u8>,
    left: Budget,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    Renew,
    Claim(u32),
    Borrow(u32),
    /// A message is delivered, and with `true` stays in transit. Whatever is left at the end was lost.
    Deliver(Sent, bool),
    Crash(u32),
    Start(u32),
    Refused(u32),
}

struct World {
    flaw: Flaw,
    budget: Budget,
    /// How many ms each clock runs in a tick.
    rates: [u64; 3],
}

impl World {
    fn clock(&self, state: &State, node: u32) -> u64 {
        // Clocks have different origins, long before.
        1_000 * (u64::from(node) + 1) + state.now * self.rates[node as usize]
    }

    fn begun(&self, clock: u64, early: bool) -> u64 {
        if early {
            clock - 900
        } else {
            clock
        }
    }

    fn node(&self, number: u32, incarnation: u64, clock: u64) -> Node {
        let grantor = LeaseGrantor::new(TERMS, self.begun(clock, self.flaw == Flaw::ForgetfulGrantor));
        let begun = self.begun(clock, self.flaw == Flaw::HastyOwner);
        Node {
            up: true,
            incarnation,
            holder: LeaseHolder::new(TERMS, Member { number, incarnation }, begun),
            grantor,
        }
    }

    fn send(&self, state: &mut State, from: u32, to: u32, incarnation: Option<u64>, message: Message) {
        let from = Member { number: from, incarnation: state.nodes[from as usize].incarnation };
        if from.number == to {
            // A member that is its own grantor needs no network.
            return self.deliver(state, Sent { from, to, incarnation, message });
        }
        *state.in_transit.entry(Sent { from, to, incarnation, message }).or_default() += 1;
    }

    fn deliver(&self, state: &mut State, sent: Sent) {
        let Sent { from, to, incarnation, message } = sent;
        let now = self.clock(state, to);
        let node = &mut state.nodes[to as usize];
        if !node.up || incarnation.is_some_and(|incarnation| incarnation != node.incarnation) {
            return;
        }
        let answer = match message {
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
            Message::Renewed { request_id, granted: out } => {
                node.holder.renewal_answered(from.number, request_id, out);
                None
            }
            Message::Claimed { request_id, slot, grant: given } => {
                node.holder.claim_answered(from.number, request_id, slot, given);
                None
            }
            Message::Loan { request_id, units, duration_ms } => {
                node.holder.loan_received(from.number, request_id, units, duration_ms);
                None
            }
        };
        // A response that grants nothing might as well be lost.
        let grants_nothing = |answer: &Message| match answer {
            Message::Renewed { granted: out, .. } => *out == Grant::Whole,
            Message::Claimed { grant: given, .. } => *given == Grant::Nothing,
            Message::Loan { units, .. } => *units == 0,
            _ => false,
        };
        if let Some(answer) = answer.filter(|answer| !grants_nothing(answer)) {
            self.send(state, to, from.number, Some(from.incarnation), answer);
        }
    }

    fn sum(&self, state: &State) -> u64 {
        let up = (0..).zip(&state.nodes).filter(|(_, node)| node.up);
        up.map(|(number, node)| node.holder.allocation(self.clock(state, number)).units).sum()
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State { now: 0, nodes: Vec::new(), in_transit: BTreeMap::new(), left: self.budget };
        // All have run for long, and the owner has just renewed its slot at all grantors.
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
        let up = |number: u32| state.nodes[number as usize].up;
        if state.left.ticks > 0 {
            actions.push(Action::Tick);
        }
        if state.left.renewals > 0 && up(OWNER) {
            actions.push(Action::Renew);
        }
        for number in 1..3 {
            if state.left.claims[number as usize - 1] > 0 && up(number) {
                actions.push(Action::Claim(number));
            }
        }
        if state.left.loans > 0 && up(1) {
            actions.push(Action::Borrow(1));
        }
        for sent in state.in_transit.keys() {
            // A message to a crashed process is lost, as any may be by never being delivered.
            if !up(sent.to) {
                continue;
            }
            actions.push(Action::Deliver(*sent, false));
            if state.left.duplicates > 0 {
                actions.push(Action::Deliver(*sent, true));
            }
        }
        for number in 0..3 {
            if !up(number) {
                actions.push(Action::Start(number));
            } else if state.left.crashes[number as usize] > 0 {
                actions.push(Action::Crash(number));
            }
            let refused = !up(OWNER) || self.flaw == Flaw::FalseRefusal;
            if number != OWNER && up(number) && refused {
                actions.push(Action::Refused(number));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => {
                state.now += 1;
                state.left.ticks -= 1;
            }
            Action::Renew => {
                state.left.renewals -= 1;
                let now = self.clock(&state, OWNER);
                let request_id = state.nodes[OWNER as usize].holder.request_renewal(now);
                TERMS
                    .grantors(OWNER)
                    .into_iter()
                    .for_each(|to| self.send(&mut state, OWNER, to, None, Message::Renew { request_id }));
            }
            Action::Claim(by) => {
                state.left.claims[by as usize - 1] -= 1;
                let now = self.clock(&state, by);
                let request_id = state.nodes[by as usize].holder.request_claim(now, OWNER)?;
                let message = Message::Claim { request_id, slot: OWNER };
                TERMS.grantors(OWNER).into_iter().for_each(|to| self.send(&mut state, by, to, None, message));
            }
            Action::Borrow(by) => {
                state.left.loans -= 1;
                let now = self.clock(&state, by);
                let request_id = state.nodes[by as usize].holder.request_loan(now, OWNER)?;
                self.send(&mut state, by, OWNER, None, Message::Borrow { request_id, units: SLOT_UNITS });
            }
            Action::Deliver(sent, again) => {
                if again {
                    state.left.duplicates -= 1;
                } else {
                    let left = state.in_transit.get_mut(&sent)?;
                    *left -= 1;
                    if *left == 0 {
                        state.in_transit.remove(&sent);
                    }
                }
                self.deliver(&mut state, sent);
            }
            Action::Crash(number) => {
                state.left.crashes[number as usize] -= 1;
                let incarnation = state.nodes[number as usize].incarnation;
                state.nodes[number as usize].up = false;
                // Responses to this incarnation are ignored by any other.
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
        // A response that changes nothing now never will.
        let idle = matches!(action, Action::Deliver(sent, _) if sent.incarnation.is_some())
            && state.nodes == last.nodes;
        (state != *last && !idle).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_SLOT, |world: &World, state: &State| world.sum(state) <= SLOT_UNITS),
            Property::sometimes(OWNER_HAS_ALL, |world: &World, state: &State| {
                let owner = &state.nodes[OWNER as usize];
                owner.up && owner.holder.allocation(world.clock(state, OWNER)).units == SLOT_UNITS
            }),
            Property::sometimes(ANOTHER_HAS_ALL, |world: &World, state: &State| {
                let other = &state.nodes[1];
                other.up && other.holder.allocation(world.clock(state, 1)).units == SLOT_UNITS
            }),
        ]
    }
}

const RATES: [u64; 3] = [TICK, TICK + 1, TICK - 1];
const NONE: Budget =
    Budget { ticks: 0, renewals: 0, claims: [0, 0], loans: 0, crashes: [0, 0, 0], duplicates: 0 };

/// Names of the properties that were discovered among all states within `depth` events.
fn found(flaw: Flaw, budget: Budget, rates: [u64; 3], depth: usize) -> Vec<&'static str> {
    let checker =
        World { flaw, budget, rates }.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    let found: Vec<&str> = checker.discoveries().into_keys().collect();
    println!("{flaw:?}: {} states, depth {}: {found:?}", checker.unique_state_count(), checker.max_depth());
    found
}

/// Discovered when a state breaks it; the other two when a state shows them.
const WITHIN_SLOT: &str = "no more than the slot is in use";
const OWNER_HAS_ALL: &str = "the owner has all of it";
const ANOTHER_HAS_ALL: &str = "another has all of it";

/// The owner crashes, another member claims its whole slot, the owner restarts and renews.
const OWNER_RETURNS: Budget = Budget { ticks: 7, renewals: 1, claims: [1, 0], crashes: [1, 0, 0], ..NONE };
/// Two members claim after the owner's crash.
const TWO_CLAIMS: Budget = Budget { ticks: 6, claims: [1, 1], crashes: [1, 0, 0], ..NONE };
/// Two members claim, and a grantor restarts between the claims.
const GRANTOR_RESTART: Budget = Budget { ticks: 6, claims: [1, 1], crashes: [0, 1, 0], ..NONE };
/// The owner lends, crashes and restarts.
const LOANS: Budget = Budget { ticks: 6, renewals: 1, loans: 1, crashes: [1, 0, 0], ..NONE };
/// A claim and a renewal with messages that are delivered duplicates.
const DUPLICATES: Budget = Budget { ticks: 5, renewals: 1, claims: [1, 0], loans: 1, duplicates: 2, ..NONE };

#[test]
fn owner_returns_while_another_has_its_slot() {
    let found = found(Flaw::None, OWNER_RETURNS, RATES, 14);
    assert!(!found.contains(&WITHIN_SLOT), "the sum is passed");
    assert!(found.contains(&OWNER_HAS_ALL) && found.contains(&ANOTHER_HAS_ALL), "{found:?}");
}

#[test]
fn bound_holds_for_claims_restarts_loans_and_repeated_messages() {
    for (budget, depth) in [(TWO_CLAIMS, 13), (GRANTOR_RESTART, 14), (LOANS, 14), (DUPLICATES, 10)] {
        assert!(!found(Flaw::None, budget, RATES, depth).contains(&WITHIN_SLOT), "{budget:?}");
    }
}

/// A check that cannot fail proves nothing.
#[test]
fn every_removed_rule_or_assumption_breaks_the_bound() {
    let slow = [TICK / 2, TICK + 1, TICK];
    for (flaw, budget, rates, depth) in [
        (Flaw::HastyOwner, LOANS, RATES, 14),
        (Flaw::ForgetfulGrantor, GRANTOR_RESTART, RATES, 14),
        (Flaw::FalseRefusal, GRANTOR_RESTART, RATES, 13),
        (Flaw::SlowClock, GRANTOR_RESTART, slow, 14),
    ] {
        assert!(found(flaw, budget, rates, depth).contains(&WITHIN_SLOT), "{flaw:?} is not found");
    }
}
