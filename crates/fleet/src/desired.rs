//! The state that operators want, as orders and snapshots build it up.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::name::OrderId;
use crate::order::{ApplyOutcome, Change, Order, Revision, Subject};

/// The most registers that a state holds. An order for one more is refused.
pub const MAX_REGISTERS: usize = 5_000;
/// Orders whose first result is remembered. Older ones are still told by their revision.
const MAX_REMEMBERED_RESULTS: usize = 4_096;

/// What of a subject a register holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Aspect {
    /// Whether it is drained.
    Drain,
    /// Its weight.
    Weight,
}

/// What a register holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Value {
    /// Whether the subject is drained.
    Drained(bool),
    /// Its weight.
    Weight(f64),
}

impl Value {
    fn aspect(self) -> Aspect {
        match self {
            Value::Drained(_) => Aspect::Drain,
            Value::Weight(_) => Aspect::Weight,
        }
    }

    /// Whether it is what holds without any order.
    fn neutral(self) -> bool {
        match self {
            Value::Drained(drained) => !drained,
            Value::Weight(weight) => weight == 1.0,
        }
    }
}

impl From<Change> for Value {
    fn from(change: Change) -> Value {
        match change {
            Change::Drain => Value::Drained(true),
            Change::Undrain => Value::Drained(false),
            Change::Weight(weight) => Value::Weight(weight),
        }
    }
}

/// The newest order on an aspect of a subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Register {
    /// Whom it is about.
    pub subject: Subject,
    /// The order's revision.
    pub revision: Revision,
    /// The order's id.
    pub id: OrderId,
    /// What holds.
    pub value: Value,
}

impl Register {
    /// Danger: two writers that gave the same revision. The id decides, alike everywhere.
    fn newer(&self, than: &Register) -> bool {
        (self.revision, &self.id) > (than.revision, &than.id)
    }
}

/// A whole state: every order up to the floor is settled in it, and those after it as far as they are named.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first revision that its writer knows of. It says nothing about orders before that.
    #[serde(default)]
    pub since: Revision,
    /// Orders up to this revision that no register names were superseded or hold nothing.
    pub floor: Revision,
    /// What is ordered.
    pub registers: Vec<Register>,
}

/// What orders make of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveState {
    /// The first order that drains it, if any does.
    pub drained_by: Option<OrderId>,
    /// Its weight; 1 unless ordered otherwise.
    pub weight: f64,
}

/// The state that operators want.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    since: Revision,
    floor: Revision,
    registers: BTreeMap<(Subject, Aspect), Register>,
    /// First results by order, and the orders from the oldest.
    results: BTreeMap<OrderId, ApplyOutcome>,
    recent: VecDeque<OrderId>,
}

impl DesiredState {
    /// A state whose writer knows of no order before `since`.
    ///
    /// Danger: a writer that begins anew, as its log is lost, and whose empty state takes back every drain.
    /// What gateways hold from before stays until an order on the same subject comes. Harm: whoever lost the
    /// log has to look for such drains.
    #[must_use]
    pub fn since(since: Revision) -> DesiredState {
        DesiredState { since, ..DesiredState::default() }
    }

    /// Takes an order in. The same id again gives the first result and does nothing.
    pub fn apply(&mut self, order: &Order) -> ApplyOutcome {
        if let Some(first) = self.results.get(&order.id) {
            return first.clone();
        }
        let outcome = self.settle(order);
        if self.recent.len() >= MAX_REMEMBERED_RESULTS {
            self.recent.pop_front().into_iter().for_each(|id| drop(self.results.remove(&id)));
        }
        self.recent.push_back(order.id.clone());
        self.results.insert(order.id.clone(), outcome.clone());
        outcome
    }

    fn settle(&mut self, order: &Order) -> ApplyOutcome {
        if let Err(bad) = order.check() {
            return ApplyOutcome::Rejected(bad.to_string());
        }
        let (subject, revision, id) = (order.subject.clone(), order.revision, order.id.clone());
        let register = Register { subject: subject.clone(), revision, id, value: order.change.into() };
        let room = self.registers.len() < MAX_REGISTERS;
        match self.registers.entry((subject, register.value.aspect())) {
            Entry::Occupied(held) if *held.get() == register => ApplyOutcome::Applied,
            Entry::Occupied(held) if !register.newer(held.get()) => {
                ApplyOutcome::Superseded(held.get().revision)
            }
            // Danger: an order that was superseded by one that left no register behind.
            _ if revision <= self.floor => ApplyOutcome::Superseded(self.floor),
            Entry::Occupied(mut held) => {
                held.insert(register);
                ApplyOutcome::Applied
            }
            // Danger: orders for ever new names that fill the memory.
            Entry::Vacant(_) if !room => {
                ApplyOutcome::Rejected(format!("{MAX_REGISTERS} subjects are ordered already"))
            }
            Entry::Vacant(free) => {
                free.insert(register);
                ApplyOutcome::Applied
            }
        }
    }

    /// Takes a whole state in: of both, what is newer holds. Tells whether anything changed.
    ///
    /// What one side holds and the other settled below its floor without naming it is over. More than
    /// [`MAX_REGISTERS`] are cut off from the oldest revision, which no honest writer makes.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let (before, floor) = (self.snapshot(), self.floor);
        let theirs: BTreeMap<(Subject, Aspect), &Register> =
            snapshot.registers.iter().map(|r| ((r.subject.clone(), r.value.aspect()), r)).collect();
        self.registers.retain(|key, held| {
            let settled = (snapshot.since..=snapshot.floor).contains(&held.revision);
            !settled || theirs.get(key) == Some(&&*held)
        });
        for (key, register) in theirs {
            match self.registers.entry(key) {
                Entry::Occupied(mut held) if register.revision > floor && register.newer(held.get()) => {
                    held.insert(register.clone());
                }
                Entry::Vacant(free) if register.revision > floor => {
                    free.insert(register.clone());
                }
                _ => {}
            }
        }
        (self.since, self.floor) = (self.since.max(snapshot.since), floor.max(snapshot.floor));
        if self.registers.len() > MAX_REGISTERS {
            let mut revisions: Vec<Revision> = self.registers.values().map(|r| r.revision).collect();
            revisions.sort_unstable();
            let least = revisions[revisions.len() - MAX_REGISTERS];
            self.registers.retain(|_, r| r.revision >= least);
        }
        self.snapshot() != before
    }

    /// Settles all orders so far: what holds nothing is forgotten, and only whoever has written all orders
    /// up to [`Desired::revision`] may say so.
    pub fn compact(&mut self) {
        self.floor = self.revision();
        self.registers.retain(|_, r| !r.value.neutral());
    }

    /// The newest revision seen; before any, the one that its writer began at.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let newest = self.registers.values().map(|r| r.revision).max().unwrap_or_default();
        newest.max(self.floor).max(self.since)
    }

    /// The whole state.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            since: self.since,
            floor: self.floor,
            registers: self.registers.values().cloned().collect(),
        }
    }

    /// What orders make of a backend: drained if any order drains it, its group or its type.
    ///
    /// Danger: a backend that one person drained for a fault, put back by another's undrain of its group.
    /// Harm: whoever drained both has to undrain both.
    #[must_use]
    pub fn effective_state(&self, name: &str, group: u32, kind: &str) -> EffectiveState {
        let mut effect = EffectiveState { drained_by: None, weight: 1.0 };
        // A name that no order can hold has none.
        let backend = name.parse().ok().map(Subject::Backend);
        let subjects = [backend, Some(Subject::Group(group)), kind.parse().ok().map(Subject::Type)];
        for subject in subjects.into_iter().flatten() {
            let drain = (subject, Aspect::Drain);
            if let Some(r) = self.registers.get(&drain).filter(|r| r.value == Value::Drained(true)) {
                effect.drained_by.get_or_insert_with(|| r.id.clone());
            }
            if let Some(Value::Weight(weight)) =
                self.registers.get(&(drain.0, Aspect::Weight)).map(|r| r.value)
            {
                effect.weight = weight;
            }
        }
        effect
    }

    /// Whether a backend is drained by any order but those on one subject.
    pub(crate) fn drained_elsewhere(&self, name: &str, group: u32, kind: &str, but: &Subject) -> bool {
        let backend = name.parse().ok().map(Subject::Backend);
        let subjects = [backend, Some(Subject::Group(group)), kind.parse().ok().map(Subject::Type)];
        let mut others = subjects.into_iter().flatten().filter(|subject| subject != but);
        others.any(|subject| {
            let held = self.registers.get(&(subject, Aspect::Drain));
            held.is_some_and(|r| r.value == Value::Drained(true))
        })
    }

    /// The order that drains a gateway, if any does.
    #[must_use]
    pub fn gateway_drained(&self, name: &str) -> Option<&OrderId> {
        let key = (Subject::Gateway(name.parse().ok()?), Aspect::Drain);
        self.registers.get(&key).filter(|r| r.value == Value::Drained(true)).map(|r| &r.id)
    }

    /// What is ordered, by subject.
    pub fn registers(&self) -> impl Iterator<Item = &Register> {
        self.registers.values()
    }
}
