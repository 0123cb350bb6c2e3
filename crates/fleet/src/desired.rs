//! The desired state of the fleet, built from orders and snapshots.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::name::OrderId;
use crate::order::{ApplyOutcome, Change, Order, Revision, Subject};

/// Maximum number of registers in a state. An order that needs one more is rejected, which bounds memory.
pub const MAX_REGISTERS: usize = 5_000;
/// Number of orders whose first outcome is cached. Repetitions of older ones are recognized by revision.
const MAX_REMEMBERED_OUTCOMES: usize = 4_096;

/// The property of a subject that a register holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Aspect {
    /// Whether the subject is drained.
    Drain,
    /// Weight of the subject.
    Weight,
}

/// The value of a register.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Value {
    /// Whether the subject is drained.
    Drained(bool),
    /// Weight of the subject.
    Weight(f64),
}

impl Value {
    fn aspect(self) -> Aspect {
        match self {
            Value::Drained(_) => Aspect::Drain,
            Value::Weight(_) => Aspect::Weight,
        }
    }

    /// Whether the value has the same effect as no order at all.
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

/// A last-writer-wins register: the newest order for one aspect of one subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Register {
    /// What the order applies to.
    pub subject: Subject,
    /// Revision of the order.
    pub revision: Revision,
    /// Id of the order.
    pub id: OrderId,
    /// Value that the order sets.
    pub value: Value,
}

impl Register {
    fn key(&self) -> (Subject, Aspect) {
        (self.subject.clone(), self.value.aspect())
    }

    /// Compares revisions, then ids. Two writers should never assign the same revision; if they do, every
    /// replica still picks the same winner.
    fn is_newer_than(&self, other: &Register) -> bool {
        (self.revision, &self.id) > (other.revision, &other.id)
    }
}

/// A complete state. All orders up to the floor are settled: each is in a register, was superseded or has no
/// effect. Of later orders, the snapshot accounts only for those in its registers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first revision that the writer knows. The snapshot makes no statement about earlier orders.
    #[serde(default)]
    pub since: Revision,
    /// Orders up to this revision that are in no register were superseded, or have no effect.
    pub floor: Revision,
    /// All registers, ordered by subject and aspect.
    pub registers: Vec<Register>,
}

/// The combined effect of all orders on a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveState {
    /// Order that drains the backend, if any. If there are several: the one on the backend itself, else the
    /// one on its cell.
    pub drained_by: Option<OrderId>,
    /// Weight of the backend; 1 unless ordered otherwise.
    pub weight: f64,
}

/// The desired state: one register per subject and aspect, in which the newest revision wins.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    since: Revision,
    floor: Revision,
    registers: BTreeMap<(Subject, Aspect), Register>,
    /// First outcomes of the most recent orders.
    outcomes: BTreeMap<OrderId, ApplyOutcome>,
    /// Ids of the orders in `outcomes`, oldest first.
    recent_ids: VecDeque<OrderId>,
}

impl DesiredState {
    /// Creates a state whose writer knows no order before `since`.
    ///
    /// The state makes no statement about earlier orders, so a writer that has lost its log does not reverse
    /// the drains that were ordered before: gateways keep them until an order on the same subject arrives.
    /// An operator who has lost the log has to look for such drains.
    #[must_use]
    pub fn since(since: Revision) -> DesiredState {
        DesiredState { since, ..DesiredState::default() }
    }

    /// Applies an order. A repeated id returns the first outcome and changes nothing.
    pub fn apply(&mut self, order: &Order) -> ApplyOutcome {
        if let Some(first) = self.outcomes.get(&order.id) {
            return first.clone();
        }
        let outcome = self.apply_new(order);
        if self.recent_ids.len() >= MAX_REMEMBERED_OUTCOMES {
            if let Some(oldest) = self.recent_ids.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
        self.recent_ids.push_back(order.id.clone());
        self.outcomes.insert(order.id.clone(), outcome.clone());
        outcome
    }

    fn apply_new(&mut self, order: &Order) -> ApplyOutcome {
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
            // The order that superseded it may have no register any more.
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

    /// Merges a snapshot: of two registers with the same key, the newer one wins. Returns whether anything
    /// changed.
    ///
    /// A register that is settled by the snapshot's floor and missing from the snapshot is removed. If there
    /// are more than [`MAX_REGISTERS`] then, which no correct writer causes, the oldest are removed.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let before = self.snapshot();
        let incoming: BTreeMap<(Subject, Aspect), &Register> =
            snapshot.registers.iter().map(|register| (register.key(), register)).collect();
        self.registers.retain(|key, register| {
            let is_settled = (snapshot.since..=snapshot.floor).contains(&register.revision);
            !is_settled || incoming.get(key) == Some(&&*register)
        });
        for (key, register) in incoming {
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

    /// Settles all orders so far, and removes registers that have no effect. Only a writer that has logged
    /// all orders up to [`DesiredState::revision`] may call this.
    pub fn compact(&mut self) {
        self.floor = self.revision();
        self.registers.retain(|_, register| !register.value.is_neutral());
    }

    /// The newest revision seen; before the first order, the revision at which the writer began.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let newest = self.registers.values().map(|register| register.revision).max().unwrap_or_default();
        newest.max(self.floor).max(self.since)
    }

    /// Returns the complete state.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            since: self.since,
            floor: self.floor,
            registers: self.registers.values().cloned().collect(),
        }
    }

    /// The combined effect of all orders on a backend, which is drained if any order drains the backend, its
    /// cell or its instance type.
    ///
    /// A backend that was drained on its own therefore stays drained when its cell is undrained: an operator
    /// who drained both has to undrain both.
    #[must_use]
    pub fn effective_state(&self, name: &str, group: u32, instance_type: &str) -> EffectiveState {
        let mut effective = EffectiveState { drained_by: None, weight: 1.0 };
        for subject in covering_subjects(name, group, instance_type) {
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

    /// Whether an order on any subject other than `except` drains a backend.
    pub(crate) fn is_drained_by_other(
        &self,
        name: &str,
        group: u32,
        instance_type: &str,
        except: &Subject,
    ) -> bool {
        let mut others = covering_subjects(name, group, instance_type).filter(|subject| subject != except);
        others.any(|subject| self.drain(&subject).is_some())
    }

    /// Id of the order that drains a gateway, if any.
    #[must_use]
    pub fn gateway_drained_by(&self, name: &str) -> Option<&OrderId> {
        let subject = Subject::Gateway(name.parse().ok()?);
        self.drain(&subject).map(|register| &register.id)
    }

    /// The register that drains exactly this subject, if any.
    fn drain(&self, subject: &Subject) -> Option<&Register> {
        let register = self.registers.get(&(subject.clone(), Aspect::Drain))?;
        (register.value == Value::Drained(true)).then_some(register)
    }

    /// All registers, ordered by subject and aspect.
    pub fn registers(&self) -> impl Iterator<Item = &Register> {
        self.registers.values()
    }
}

/// The subjects that cover a backend. A name that is invalid in an order yields no subject.
fn covering_subjects(name: &str, group: u32, instance_type: &str) -> impl Iterator<Item = Subject> {
    let backend = name.parse().ok().map(Subject::Backend);
    let instance_type = instance_type.parse().ok().map(Subject::Type);
    [backend, Some(Subject::Group(group)), instance_type].into_iter().flatten()
}
