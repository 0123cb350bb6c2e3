//! The sum of the parts, in every order of events up to a bound: an owner and two others that would have its
//! slot, all three grantors of it, run by the functions that gateways run.

use std::collections::BTreeMap;

use membership::lease::{
    Grant, GrantedLoan, LeaseGrantor, LeaseHolder, LeaseTerms, Member, Message, SLOT_UNITS,
};
use stateright::{Checker, Model, Property};

/// The slot that it is about, and whose it is.
const OWNER: u32 = 0;
/// A step of true time, ms of it.
const TICK: u64 = 10;
const TERMS: LeaseTerms =
    LeaseTerms { members: 3, lease_ms: 20, max_drift_per_mille: 100, trust_refusals: true };

/// A flaw that the check has to find; each takes one rule or assumption out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// A grantor gives its word as soon as it starts.
    ForgetfulGrantor,
    /// An owner takes its kept part as soon as it is noted.
    HastyOwner,
    /// A connection to one that lives is refused.
    FalseRefusal,
    /// A clock runs at half of the true time.
    SlowClock,
}

/// What may happen how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u64,
    renewals: u8,
    /// By the second and by the third member.
    claims: [u8; 2],
    loans: u8,
    /// By number.
    crashes: [u8; 3],
    /// Messages that come twice.
    twice: u8,
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
    /// Of an answer, the incarnation that asked.
    incarnation: Option<u64>,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    nodes: Vec<Node>,
    /// Messages on their way, and how many of each.
    on_the_way: BTreeMap<Sent, u8>,
    left: Budget,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    Renew,
    Claim(u32),
    Borrow(u32),
    /// It comes, and is not on its way any more or comes again. Whatever is left at the end was lost.
    Comes(Sent, bool),
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
        // Clocks have origins of their own, long before.
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
            // As its own grantor it needs no network.
            return self.comes(state, Sent { from, to, incarnation, message });
        }
        *state.on_the_way.entry(Sent { from, to, incarnation, message }).or_default() += 1;
    }

    fn comes(&self, state: &mut State, sent: Sent) {
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
        // One that says nothing might as well be lost.
        let says_nothing = |answer: &Message| match answer {
            Message::Renewed { granted: out, .. } => *out == Grant::Whole,
            Message::Claimed { grant: given, .. } => *given == Grant::Nothing,
            Message::Loan { units, .. } => *units == 0,
            _ => false,
        };
        if let Some(answer) = answer.filter(|answer| !says_nothing(answer)) {
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
        let mut state = State { now: 0, nodes: Vec::new(), on_the_way: BTreeMap::new(), left: self.budget };
        // All have been there for long, and the owner has its slot by the word of all, as of now.
        for number in 0..3 {
            let clock = self.clock(&state, number);
            let (mut node, me) = (self.node(number, 1, clock), Member { number, incarnation: 1 });
            (node.grantor, node.holder) =
                (LeaseGrantor::new(TERMS, clock - 900), LeaseHolder::new(TERMS, me, clock - 900));
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
        for sent in state.on_the_way.keys() {
            // One to a process that is gone is lost, as any may be by never coming.
            if !up(sent.to) {
                continue;
            }
            actions.push(Action::Comes(*sent, false));
            if state.left.twice > 0 {
                actions.push(Action::Comes(*sent, true));
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
            Action::Comes(sent, again) => {
                if again {
                    state.left.twice -= 1;
                } else {
                    let left = state.on_the_way.get_mut(&sent)?;
                    *left -= 1;
                    if *left == 0 {
                        state.on_the_way.remove(&sent);
                    }
                }
                self.comes(&mut state, sent);
            }
            Action::Crash(number) => {
                state.left.crashes[number as usize] -= 1;
                let incarnation = state.nodes[number as usize].incarnation;
                state.nodes[number as usize].up = false;
                // Answers to this incarnation say nothing to any other.
                state.on_the_way.retain(|sent, _| sent.to != number || sent.incarnation != Some(incarnation));
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
                silent.into_iter().for_each(|owner| grantor.owner_unreachable(now, owner));
            }
        }
        // An answer that changes nothing here never will.
        let idle = matches!(action, Action::Comes(sent, _) if sent.incarnation.is_some())
            && state.nodes == last.nodes;
        (state != *last && !idle).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(BROKEN, |world: &World, state: &State| world.sum(state) <= SLOT_UNITS),
            Property::sometimes(OWNERS, |world: &World, state: &State| {
                let owner = &state.nodes[OWNER as usize];
                owner.up && owner.holder.allocation(world.clock(state, OWNER)).units == SLOT_UNITS
            }),
            Property::sometimes(OTHERS, |world: &World, state: &State| {
                let other = &state.nodes[1];
                other.up && other.holder.allocation(world.clock(state, 1)).units == SLOT_UNITS
            }),
        ]
    }
}

const RATES: [u64; 3] = [TICK, TICK + 1, TICK - 1];
const NONE: Budget = Budget { ticks: 0, renewals: 0, claims: [0, 0], loans: 0, crashes: [0, 0, 0], twice: 0 };

/// What was found among all states that so many events lead to: the names of properties.
fn found(flaw: Flaw, budget: Budget, rates: [u64; 3], depth: usize) -> Vec<&'static str> {
    let checker =
        World { flaw, budget, rates }.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    let found: Vec<&str> = checker.discoveries().into_keys().collect();
    println!("{flaw:?}: {} states, depth {}: {found:?}", checker.unique_state_count(), checker.max_depth());
    found
}

const BROKEN: &str = "no more than the slot is in use";
const OWNERS: &str = "the owner has all of it";
const OTHERS: &str = "another has all of it";

/// The owner crashes, one claims its slot and has all of it, the owner is back and asks for it again.
const BACK: Budget = Budget { ticks: 7, renewals: 1, claims: [1, 0], crashes: [1, 0, 0], ..NONE };
/// Two claim after the owner's crash.
const BOTH: Budget = Budget { ticks: 6, claims: [1, 1], crashes: [1, 0, 0], ..NONE };
/// Two claim, and a grantor forgets between them to whom it gave its word.
const GRANTOR_RESTART: Budget = Budget { ticks: 6, claims: [1, 1], crashes: [0, 1, 0], ..NONE };
/// The owner lends, crashes and is back.
const LOANS: Budget = Budget { ticks: 6, renewals: 1, loans: 1, crashes: [1, 0, 0], ..NONE };
/// A claim and a renewal, of which messages come twice.
const TWICE: Budget = Budget { ticks: 5, renewals: 1, claims: [1, 0], loans: 1, twice: 2, ..NONE };

#[test]
fn owner_returns_while_another_has_its_slot() {
    let found = found(Flaw::None, BACK, RATES, 14);
    assert!(!found.contains(&BROKEN), "the sum is passed");
    assert!(found.contains(&OWNERS) && found.contains(&OTHERS), "{found:?}");
}

#[test]
fn bound_holds_for_claims_restarts_loans_and_repeated_messages() {
    for (budget, depth) in [(BOTH, 13), (GRANTOR_RESTART, 14), (LOANS, 14), (TWICE, 10)] {
        assert!(!found(Flaw::None, budget, RATES, depth).contains(&BROKEN), "{budget:?}");
    }
}

/// A check that can't fail is none.
#[test]
fn every_removed_rule_or_assumption_breaks_the_bound() {
    let slow = [TICK / 2, TICK + 1, TICK];
    for (flaw, budget, rates, depth) in [
        (Flaw::HastyOwner, LOANS, RATES, 14),
        (Flaw::ForgetfulGrantor, GRANTOR_RESTART, RATES, 14),
        (Flaw::FalseRefusal, GRANTOR_RESTART, RATES, 13),
        (Flaw::SlowClock, GRANTOR_RESTART, slow, 14),
    ] {
        assert!(found(flaw, budget, rates, depth).contains(&BROKEN), "{flaw:?} is not found");
    }
}
