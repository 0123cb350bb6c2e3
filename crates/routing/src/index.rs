//! Index of all backends by state, updated with each event.

use std::collections::HashMap;

use crate::attributes::{Attributes, Indexed, ListState};
use crate::group::Counts;
use crate::groups::{GroupAttributes, Groups, Positions, Scope};
use crate::membership::Membership;
use crate::recent_work::{Contribution, DecayingWork, WarmWork};
use crate::sampling::Sampling;
use crate::schedule::Schedule;
use crate::subset::Subset;

/// Lower bound of the window in which recent work decays, ms.
const MIN_WINDOW_MS: f64 = 1.0;
const SLOT_IN_USE: &str = "the slot holds a backend";

#[derive(Debug)]
struct Slot<T> {
    record: T,
    attributes: Attributes,
    /// Positions in its groups while it is ready.
    positions: Positions,
    in_subset: bool,
    warm: bool,
    /// Degree above which it is in this gateway's subset.
    threshold: f64,
    /// Work sent to it recently.
    recent_work: DecayingWork,
}

impl<T> Slot<T> {
    fn is_ready(&self) -> bool {
        self.attributes.state == ListState::Ready
    }

    /// Whether work sent to it counts towards the sum of the warm backends of the subset.
    fn counts_as_warm_work(&self) -> bool {
        self.in_subset && self.warm
    }

    fn group_attributes(&self) -> GroupAttributes {
        GroupAttributes { attributes: self.attributes, in_subset: self.in_subset, warm: self.warm }
    }
}

/// Index of all backends that a gateway knows. A backend keeps its slot from [`Index::insert`] to
/// [`Index::remove`].
#[derive(Debug)]
pub struct Index<T> {
    sampling: Sampling,
    /// Time in which recent work decays to 1/e, ms.
    window_ms: f64,
    /// Boxed, because a growing vector reallocates its elements, which is cheap for pointers.
    slots: Vec<Option<Box<Slot<T>>>>,
    free_slots: Vec<u32>,
    slots_by_id: HashMap<u32, u32>,
    groups: Groups,
    membership: Membership,
    warm_work: WarmWork,
    warming_up: Schedule,
    checks: Schedule,
}

impl<T: Indexed> Index<T> {
    /// Creates an empty index. Recent work decays to 1/e in `window_ms`.
    #[must_use]
    pub fn new(subset: Subset, sampling: Sampling, window_ms: f64) -> Index<T> {
        Index {
            sampling,
            window_ms: window_ms.max(MIN_WINDOW_MS),
            slots: Vec::new(),
            free_slots: Vec::new(),
            slots_by_id: HashMap::new(),
            groups: Groups::default(),
            membership: Membership::new(subset),
            warm_work: WarmWork::default(),
            warming_up: Schedule::default(),
            checks: Schedule::default(),
        }
    }

    fn slot(&self, slot: usize) -> &Slot<T> {
        self.slots[slot].as_ref().expect(SLOT_IN_USE)
    }

    fn slot_mut(&mut self, slot: usize) -> &mut Slot<T> {
        self.slots[slot].as_mut().expect(SLOT_IN_USE)
    }

    /// Returns the slot of a backend, by its number.
    #[must_use]
    pub fn find(&self, id: u32) -> Option<usize> {
        self.slots_by_id.get(&id).map(|slot| *slot as usize)
    }

    /// Returns the record in a slot.
    ///
    /// # Panics
    /// If the slot holds no backend.
    #[must_use]
    pub fn get(&self, slot: usize) -> &T {
        &self.slot(slot).record
    }

    /// Returns the record in a slot for modification, except of its attributes, which are changed by
    /// [`Index::update`].
    ///
    /// # Panics
    /// If the slot holds no backend.
    pub fn get_mut(&mut self, slot: usize) -> &mut T {
        &mut self.slot_mut(slot).record
    }

    /// Iterates over the slots that hold a backend.
    pub fn slots(&self) -> impl Iterator<Item = usize> + '_ {
        self.slots.iter().enumerate().filter_map(|(slot, backend)| backend.as_ref().map(|_| slot))
    }

    /// Adds a backend whose number is not in the index yet, and returns its slot.
    pub fn insert(&mut self, now: f64, record: T) -> usize {
        let attributes = record.attributes();
        let added = Box::new(Slot {
            record,
            attributes,
            positions: Positions::default(),
            in_subset: false,
            warm: false,
            threshold: self.membership.threshold(attributes.key),
            recent_work: DecayingWork::none(now),
        });
        let slot = self.free_slots.pop().unwrap_or(self.slots.len() as u32);
        if slot as usize == self.slots.len() {
            self.slots.push(Some(added));
        } else {
            self.slots[slot as usize] = Some(added);
        }
        self.slots_by_id.insert(attributes.id, slot);
        self.add_to_index(now, slot);
        self.resize_subset(now);
        slot as usize
    }

    /// Removes a backend. Its slot may be reused by another one.
    ///
    /// # Panics
    /// If the slot holds no backend.
    pub fn remove(&mut self, now: f64, slot: usize) -> T {
        self.remove_from_index(now, slot as u32);
        self.checks.clear(slot as u32);
        let removed = self.slots[slot].take().expect(SLOT_IN_USE);
        self.slots_by_id.remove(&removed.attributes.id);
        self.free_slots.push(slot as u32);
        self.resize_subset(now);
        removed.record
    }

    /// Replaces the record of a backend after a restart under the same number. Its recent work is reset.
    ///
    /// # Panics
    /// If the slot holds no backend.
    pub fn renew(&mut self, now: f64, slot: usize, record: T) {
        self.remove_from_index(now, slot as u32);
        let renewed = self.slot_mut(slot);
        renewed.attributes = record.attributes();
        renewed.recent_work = DecayingWork::none(now);
        renewed.record = record;
        self.add_to_index(now, slot as u32);
        self.resize_subset(now);
    }

    /// Modifies a record, and moves the backend to other groups if its attributes changed.
    ///
    /// # Panics
    /// If the slot holds no backend.
    pub fn update<R>(&mut self, now: f64, slot: usize, change: impl FnOnce(&mut T) -> R) -> R {
        let updated = self.slot_mut(slot);
        let result = change(&mut updated.record);
        let (old, new) = (updated.attributes, updated.record.attributes());
        if old != new {
            debug_assert_eq!((old.id, old.key), (new.id, new.key), "id and key never change");
            self.remove_from_index(now, slot as u32);
            self.slot_mut(slot).attributes = new;
            self.add_to_index(now, slot as u32);
            if old.state != new.state {
                self.resize_subset(now);
            }
        }
        result
    }

    /// Adds a backend to the groups, sums and schedules that its attributes determine.
    fn add_to_index(&mut self, now: f64, slot: u32) {
        let backend = self.slots[slot as usize].as_mut().expect(SLOT_IN_USE);
        backend.warm = backend.attributes.warm_from <= now;
        backend.in_subset = backend.is_ready() && self.membership.contains(backend.threshold);
        match backend.attributes.state {
            ListState::Removed => {}
            ListState::Draining => self.groups.add_draining(&backend.attributes),
            ListState::Ready => {
                backend.positions = self.groups.add_ready(slot, &backend.group_attributes());
                self.membership.add_ready(backend.threshold, slot);
                let (warm, warm_from) = (backend.warm, backend.attributes.warm_from);
                self.add_to_warm_work(now, slot);
                if !warm {
                    self.warming_up.set(slot, warm_from);
                }
            }
        }
    }

    /// Removes a backend from everything that [`Index::add_to_index`] added it to.
    fn remove_from_index(&mut self, now: f64, slot: u32) {
        let backend = self.slot(slot as usize);
        let (group_attributes, threshold, positions) =
            (backend.group_attributes(), backend.threshold, backend.positions);
        match group_attributes.attributes.state {
            ListState::Removed => {}
            ListState::Draining => self.groups.remove_draining(&group_attributes.attributes),
            ListState::Ready => {
                self.remove_from_warm_work(now, slot);
                self.membership.remove_ready(threshold, slot);
                self.warming_up.clear(slot);
                for moved in self.groups.remove_ready(positions, &group_attributes) {
                    moved.apply(&mut self.slot_mut(moved.slot as usize).positions);
                }
            }
        }
    }

    /// Returns the contribution of a backend to the warm work of the subset, if it is warm and in the subset.
    fn contribution(&self, now: f64, slot: u32) -> Option<Contribution> {
        let backend = self.slot(slot as usize);
        let work = backend.recent_work.at(now, self.window_ms);
        let share = backend.attributes.share;
        backend.counts_as_warm_work().then_some(Contribution { work, share })
    }

    fn add_to_warm_work(&mut self, now: f64, slot: u32) {
        if let Some(contribution) = self.contribution(now, slot) {
            self.warm_work.add_backend(now, self.window_ms, contribution);
        }
    }

    fn remove_from_warm_work(&mut self, now: f64, slot: u32) {
        if let Some(contribution) = self.contribution(now, slot) {
            self.warm_work.remove_backend(now, self.window_ms, contribution);
        }
    }

    /// Moves backends into or out of the subset when the number of ready ones has changed.
    fn resize_subset(&mut self, now: f64) {
        let change = self.membership.resize(self.groups.counts(Scope::Fleet).ready);
        for slot in change.slots {
            if self.slot(slot as usize).in_subset == change.joins {
                continue;
            }
            if change.joins {
                self.join_subset(now, slot);
            } else {
                self.leave_subset(now, slot);
            }
        }
    }

    fn join_subset(&mut self, now: f64, slot: u32) {
        let joining = self.slots[slot as usize].as_mut().expect(SLOT_IN_USE);
        joining.in_subset = true;
        let position = self.groups.join_subset(slot, joining.attributes.ejected, joining.warm);
        joining.positions.set_in_subset(position);
        self.add_to_warm_work(now, slot);
    }

    fn leave_subset(&mut self, now: f64, slot: u32) {
        self.remove_from_warm_work(now, slot);
        let leaving = self.slots[slot as usize].as_mut().expect(SLOT_IN_USE);
        leaving.in_subset = false;
        let position = leaving.positions.in_subset();
        let moved = self.groups.leave_subset(position, leaving.attributes.ejected, leaving.warm);
        if let Some(moved) = moved {
            self.slot_mut(moved as usize).positions.set_in_subset(position);
        }
    }

    /// Marks the backends whose warm-up has ended by `now`. Sums and counts change only when this is called.
    pub fn advance(&mut self, now: f64) {
        while let Some(slot) = self.warming_up.pop(now) {
            let Some(due) = self.slots[slot as usize].as_mut() else { continue };
            if due.warm || !due.is_ready() {
                continue;
            }
            if due.attributes.warm_from > now {
                self.warming_up.set(slot, due.attributes.warm_from);
                continue;
            }
            due.warm = true;
            let group_attributes = due.group_attributes();
            self.groups.count_as_warm(&group_attributes);
            self.add_to_warm_work(now, slot);
        }
    }

    /// Returns the work sent to a backend recently, decayed to `now`.
    ///
    /// # Panics
    /// If the slot holds no backend.
    #[must_use]
    pub fn recent_work(&self, slot: usize, now: f64) -> f64 {
        self.slot(slot).recent_work.at(now, self.window_ms)
    }

    /// Records work that is sent to a backend.
    ///
    /// # Panics
    /// If the slot holds no backend.
    pub fn record_work(&mut self, slot: usize, now: f64, work: f64) {
        let window_ms = self.window_ms;
        let backend = self.slot_mut(slot);
        backend.recent_work.add(now, window_ms, work);
        if backend.counts_as_warm_work() && backend.is_ready() {
            self.warm_work.record(now, window_ms, work);
        }
    }

    /// Mean work sent recently to a warm backend of the subset with a share of 1; 0 if there are none.
    #[must_use]
    pub fn mean_warm_work(&self, now: f64) -> f64 {
        self.warm_work.mean(now, self.window_ms)
    }

    /// Whether a backend is in this gateway's subset.
    ///
    /// # Panics
    /// If the slot holds no backend.
    #[must_use]
    pub fn is_in_subset(&self, slot: usize) -> bool {
        self.slot(slot).in_subset
    }

    /// Returns the present number of gateways that share a backend.
    #[must_use]
    pub fn degree(&self) -> f64 {
        self.membership.degree()
    }

    /// Returns the numbers of backends of a group in each state.
    #[must_use]
    pub fn counts(&self, scope: Scope) -> Counts {
        self.groups.counts(scope)
    }

    /// Returns the numbers of backends of an instance type in each state.
    #[must_use]
    pub fn instance_type_counts(&self, instance_type: u32) -> Counts {
        self.groups.instance_type_counts(instance_type)
    }

    /// Adds candidates from a group to `candidates`, without duplicates: all of a small group, else a random
    /// sample. `random` returns numbers in [0, 1). Ejected backends are drawn only if `with_ejected` is set.
    pub fn draw(
        &self,
        scope: Scope,
        with_ejected: bool,
        random: &mut impl FnMut() -> f64,
        candidates: &mut Vec<usize>,
    ) {
        if let Some(group) = self.groups.get(scope) {
            self.sampling.draw(group, with_ejected, random, candidates);
        }
    }

    /// Schedules a check of a backend for [`Index::next_due`], unless one is already due sooner.
    pub fn check_at(&mut self, slot: usize, at: f64) {
        self.checks.set(slot as u32, at);
    }

    /// Removes and returns the backend whose check is due first, if it is due by `now`.
    pub fn next_due(&mut self, now: f64) -> Option<usize> {
        self.checks.pop(now).map(|slot| slot as usize)
    }
}
