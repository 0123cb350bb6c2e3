//! The state that operators want, built up from orders and snapshots.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::name::OrderId;
use crate::order::{ApplyOutcome, Change, Order, Revision, Subject};

/// The most registers that a state holds; an order for one more is rejected, which bounds the memory.
pub const MAX_REGISTERS: usize = 5_000;
/// Orders whose first outcome is remembered. Repetitions of older ones are still known by their revision.
const MAX_REMEMBERED_OUTCOMES: usize = 4_096;

/// The aspect of a subject that a register is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Aspect {
    /// Whether it is drained.
    Drain,
    /// Its weight.
    Weight,
}

/// The value of a register.
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

    /// Whether it has the same effect as no order at all.
    fn is_neutral(self) -> bool {
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
    /// What it is about.
    pub subject: Subject,
    /// The order's revision.
    pub revision: Revision,
    /// The order's id.
    pub id: OrderId,
    /// The value.
    pub value: Value,
}

impl Register {
    fn key(&self) -> (Subject, Aspect) {
        (self.subject.clone(), self.value.aspect())
    }

    /// Should two writers ever give the same revision, the id decides, alike everywhere.
    fn is_newer_than(&self, other: &Register) -> bool {
        (self.revision, &self.id) > (other.revision, &other.id)
    }
}

/// A whole state. All orders up to the floor are settled in it; of later ones it holds those that it names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first revision that its writer knows of. It says nothing about orders before that.
    #[serde(default)]
    pub since: Revision,
    /// Orders up to this revision that no register names were superseded, or have no effect.
    pub floor: Revision,
    /// The registers.
    pub registers: Vec<Register>,
}

/// The effect of all orders on a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveState {
    /// The first order that drains it, if any does.
    pub drained_by: Option<OrderId>,
    /// Its weight; 1 unless ordered otherwise.
    pub weight: f64,
}

/// The state that operators want: a register for each subject and aspect, in which the newest revision wins.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    since: Revision,
    floor: Revision,
    registers: BTreeMap<(Subject, Aspect), Register>,
    /// First outcomes of orders, and the ids of these orders, oldest first.
    outcomes: BTreeMap<OrderId, ApplyOutcome>,
    recent_ids: VecDeque<OrderId>,
}

impl DesiredState {
    /// A state whose writer knows of no order before `since`.
    ///
    /// It says nothing about earlier orders, so a writer that has lost its log does not take back every drain
    /// of before: gateways keep them until an order on the same subject arrives. Whoever has lost the log
    /// has to look for such drains.
    #[must_use]
    pub fn since(since: Revision) -> DesiredState {
        DesiredState { since, ..DesiredState::default() }
    }

    /// Applies an order. A repetition, by its id, has the first outcome and changes nothing.
    pub fn apply(&mut self, order: &Order) -> ApplyOutcome {
        if let Some(first) = self.outcomes.get(&order.id) {
            return first.clone();
        }
        let outcome = self.apply_first(order);
        if self.recent_ids.len() >= MAX_REMEMBERED_OUTCOMES {
            if let Some(oldest) = self.recent_ids.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
        self.recent_ids.push_back(order.id.clone());
        self.outcomes.insert(order.id.clone(), outcome.clone());
        outcome
    }

    fn apply_first(&mut self, order: &Order) -> ApplyOutcome {
        if let Err(invalid) = order.check() {
            return ApplyOutcome::Rejected(invalid.to_string());
        }
        let register = Register {
            subject: order.subject.clone(),
            revision: order.revision,
            id: order.id.clone(),
            value: order.change.into(),
        };
        let is_full = self.registers.len() >= MAX_REGISTERS;
        match self.registers.entry(register.key()) {
            Entry::Occupied(current) if *current.get() == register => ApplyOutcome::Applied,
            Entry::Occupied(current) if !register.is_newer_than(current.get()) => {
                ApplyOutcome::Superseded(current.get().revision)
            }
            // What superseded it may have left no register behind.
            _ if register.revision <= self.floor => ApplyOutcome::Superseded(self.floor),
            Entry::Occupied(mut current) => {
                current.insert(register);
                ApplyOutcome::Applied
            }
            Entry::Vacant(_) if is_full => {
                ApplyOutcome::Rejected(format!("{MAX_REGISTERS} subjects are ordered already"))
            }
            Entry::Vacant(vacant) => {
                vacant.insert(register);
                ApplyOutcome::Applied
            }
        }
    }

    /// Merges a whole state: of both, the newer register wins. Returns whether anything changed.
    ///
    /// A register that the other side has settled, by its floor, without naming it is removed. Beyond
    /// [`MAX_REGISTERS`], which no honest writer exceeds, the oldest are removed.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let before = self.snapshot();
        let adopted: BTreeMap<(Subject, Aspect), &Register> =
            snapshot.registers.iter().map(|register| (register.key(), register)).collect();
        self.registers.retain(|key, register| {
            let is_settled = (snapshot.since..=snapshot.floor).contains(&register.revision);
            !is_settled || adopted.get(key) == Some(&&*register)
        });
        for (key, register) in adopted {
            if register.revision <= self.floor {
                continue;
            }
            match self.registers.entry(key) {
                Entry::Occupied(mut current) => {
                    if register.is_newer_than(current.get()) {
                        current.insert(register.clone());
                    }
                }
                Entry::Vacant(vacant) => {
                    vacant.insert(register.clone());
                }
            }
        }
        self.since = self.since.max(snapshot.since);
        self.floor = self.floor.max(snapshot.floor);
        self.remove_excess();
        self.snapshot() != before
    }

    fn remove_excess(&mut self) {
        if self.registers.len() <= MAX_REGISTERS {
            return;
        }
        let mut revisions: Vec<Revision> =
            self.registers.values().map(|register| register.revision).collect();
        revisions.sort_unstable();
        let oldest_retained = revisions[revisions.len() - MAX_REGISTERS];
        self.registers.retain(|_, register| register.revision >= oldest_retained);
    }

    /// Settles all orders so far, and forgets registers that have no effect. Only a writer that has logged
    /// all orders up to [`DesiredState::revision`] may do so.
    pub fn compact(&mut self) {
        self.floor = self.revision();
        self.registers.retain(|_, register| !register.value.is_neutral());
    }

    /// The newest revision seen; before any, the one at which its writer began.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let newest = self.registers.values().map(|register| register.revision).max().unwrap_or_default();
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

    /// The effect of all orders on a backend: it is drained if any order drains it, its cell or its type.
    ///
    /// A backend that was drained for a fault thus stays drained when its cell is undrained. Whoever drained
    /// both has to undrain both.
    #[must_use]
    pub fn effective_state(&self, name: &str, group: u32, kind: &str) -> EffectiveState {
        let mut effective = EffectiveState { drained_by: None, weight: 1.0 };
        for subject in covering_subjects(name, group, kind) {
            if effective.drained_by.is_none() {
                effective.drained_by = self.drain(&subject).map(|register| register.id.clone());
            }
            let weight = self.registers.get(&(subject, Aspect::Weight)).map(|register| register.value);
            if let Some(Value::Weight(weight)) = weight {
                effective.weight = weight;
            }
        }
        effective
    }

    /// Whether a backend is drained by any order but those on one subject.
    pub(crate) fn is_drained_elsewhere(&self, name: &str, group: u32, kind: &str, except: &Subject) -> bool {
        let mut others = covering_subjects(name, group, kind).filter(|subject| subject != except);
        others.any(|subject| self.drain(&subject).is_some())
    }

    /// The order that drains a gateway, if any does.
    #[must_use]
    pub fn gateway_drained_by(&self, name: &str) -> Option<&OrderId> {
        let subject = Subject::Gateway(name.parse().ok()?);
        self.drain(&subject).map(|register| &register.id)
    }

    /// The register that drains exactly this subject, if one does.
    fn drain(&self, subject: &Subject) -> Option<&Register> {
        let register = self.registers.get(&(subject.clone(), Aspect::Drain))?;
        (register.value == Value::Drained(true)).then_some(register)
    }

    /// All registers, by subject.
    pub fn registers(&self) -> impl Iterator<Item = &Register> {
        self.registers.values()
    }
}

/// The subjects that cover a backend. A name that no order can hold has no subject.
fn covering_subjects(name: &str, group: u32, kind: &str) -> impl Iterator<Item = Subject> {
    let backend = name.parse().ok().map(Subject::Backend);
    let instance_type = kind.parse().ok().map(Subject::Type);
    [backend, Some(Subject::Group(group)), instance_type].into_iter().flatten()
}
