//! All backends by state, kept up to date by events.

use std::collections::HashMap;

use crate::attributes::{Attributes, Indexed, ListState};
use crate::group::Counts;
use crate::groups::{Filing, Groups, Positions, Scope};
use crate::membership::Membership;
use crate::push::{Contribution, FadingWork, WarmPush};
use crate::sampling::Sampling;
use crate::schedule::Schedule;
use crate::subset::Subset;

/// Shortest time in which a push fades, ms.
const SHORTEST_WINDOW_MS: f64 = 1.0;
const NO_BACKEND: &str = "a slot is used only while its backend is there";

#[derive(Debug)]
struct Slot<T> {
    record: T,
    attributes: Attributes,
    /// Its positions in its groups while it is ready.
    positions: Positions,
    in_subset: bool,
    warm: bool,
    /// The degree above which it is in this gateway's subset.
    threshold: f64,
    /// Work sent there lately.
    pushed: FadingWork,
}

impl<T> Slot<T> {
    fn is_ready(&self) -> bool {
        self.attributes.state == ListState::Ready
    }

    /// Whether work sent there counts for the warm push.
    fn counts_for_push(&self) -> bool {
        self.in_subset && self.warm
    }

    fn filing(&self) -> Filing {
        Filing { attributes: self.attributes, in_subset: self.in_subset, warm: self.warm }
    }
}

/// All backends that a gateway knows. A backend keeps its slot from [`Index::insert`] to [`Index::remove`].
#[derive(Debug)]
pub struct Index<T> {
    sampling: Sampling,
    /// Time in which pushes fade to 1/e, ms.
    window_ms: f64,
    /// Each in a box of its own: a list that outgrows its memory doubles it, which is little for pointers.
    slots: Vec<Option<Box<Slot<T>>>>,
    free: Vec<u32>,
    slots_by_id: HashMap<u32, u32>,
    groups: Groups,
    membership: Membership,
    push: WarmPush,
    warming_up: Schedule,
    checks: Schedule,
}

impl<T: Indexed> Index<T> {
    /// An empty index. Pushes fade over `window_ms`.
    #[must_use]
    pub fn new(subset: Subset, sampling: Sampling, window_ms: f64) -> Index<T> {
        Index {
            sampling,
            window_ms: window_ms.max(SHORTEST_WINDOW_MS),
            slots: Vec::new(),
            free: Vec::new(),
            slots_by_id: HashMap::new(),
            groups: Groups::default(),
            membership: Membership::new(subset),
            push: WarmPush::default(),
            warming_up: Schedule::default(),
            checks: Schedule::default(),
        }
    }

    fn slot(&self, slot: usize) -> &Slot<T> {
        self.slots[slot].as_ref().expect(NO_BACKEND)
    }

    fn slot_mut(&mut self, slot: usize) -> &mut Slot<T> {
        self.slots[slot].as_mut().expect(NO_BACKEND)
    }

    /// The slot of a backend, by its number.
    #[must_use]
    pub fn find(&self, id: u32) -> Option<usize> {
        self.slots_by_id.get(&id).map(|slot| *slot as usize)
    }

    /// The record in a slot.
    ///
    /// # Panics
    /// If there is none.
    #[must_use]
    pub fn get(&self, slot: usize) -> &T {
        &self.slot(slot).record
    }

    /// The record in a slot, for what it is not filed by. What it is filed by goes through
    /// [`Index::update`].
    ///
    /// # Panics
    /// If there is none.
    pub fn get_mut(&mut self, slot: usize) -> &mut T {
        &mut self.slot_mut(slot).record
    }

    /// All slots that hold a backend, in no order.
    pub fn slots(&self) -> impl Iterator<Item = usize> + '_ {
        self.slots.iter().enumerate().filter_map(|(slot, held)| held.as_ref().map(|_| slot))
    }

    /// Adds a backend whose number is not known yet; returns its slot.
    pub fn insert(&mut self, now: f64, record: T) -> usize {
        let attributes = record.attributes();
        let new = Box::new(Slot {
            record,
            attributes,
            positions: Positions::default(),
            in_subset: false,
            warm: false,
            threshold: self.membership.threshold(attributes.key),
            pushed: FadingWork::none(now),
        });
        let slot = self.free.pop().unwrap_or(self.slots.len() as u32);
        if slot as usize == self.slots.len() {
            self.slots.push(Some(new));
        } else {
            self.slots[slot as usize] = Some(new);
        }
        self.slots_by_id.insert(attributes.id, slot);
        self.file(now, slot);
        self.resize_subset(now);
        slot as usize
    }

    /// Removes a backend; its slot may be another's next.
    ///
    /// # Panics
    /// If there is none.
    pub fn remove(&mut self, now: f64, slot: usize) -> T {
        self.unfile(now, slot as u32);
        self.checks.clear(slot as u32);
        let removed = self.slots[slot].take().expect(NO_BACKEND);
        self.slots_by_id.remove(&removed.attributes.id);
        self.free.push(slot as u32);
        self.resize_subset(now);
        removed.record
    }

    /// Begins a backend's record anew, as of another process under its number: nothing was pushed there
    /// yet.
    ///
    /// # Panics
    /// If there is none.
    pub fn renew(&mut self, now: f64, slot: usize, record: T) {
        self.unfile(now, slot as u32);
        let renewed = self.slot_mut(slot);
        renewed.attributes = record.attributes();
        renewed.pushed = FadingWork::none(now);
        renewed.record = record;
        self.file(now, slot as u32);
        self.resize_subset(now);
    }

    /// Changes a record, and files it anew where that calls for it.
    ///
    /// # Panics
    /// If there is none.
    pub fn update<R>(&mut self, now: f64, slot: usize, change: impl FnOnce(&mut T) -> R) -> R {
        let updated = self.slot_mut(slot);
        let result = change(&mut updated.record);
        let (old, new) = (updated.attributes, updated.record.attributes());
        if old != new {
            debug_assert_eq!((old.id, old.key), (new.id, new.key), "names never change");
            self.unfile(now, slot as u32);
            self.slot_mut(slot).attributes = new;
            self.file(now, slot as u32);
            if old.state != new.state {
                self.resize_subset(now);
            }
        }
        result
    }

    /// Adds a backend to the groups, sums and schedules that its attributes call for.
    fn file(&mut self, now: f64, slot: u32) {
        let filed = self.slots[slot as usize].as_mut().expect(NO_BACKEND);
        filed.warm = filed.attributes.warm_from <= now;
        filed.in_subset = filed.is_ready() && self.membership.has(filed.threshold);
        match filed.attributes.state {
            ListState::Removed => {}
            ListState::Draining => self.groups.add_draining(&filed.attributes),
            ListState::Ready => {
                filed.positions = self.groups.add_ready(slot, &filed.filing());
                self.membership.add_ready(filed.threshold, slot);
                let (warm, warm_from) = (filed.warm, filed.attributes.warm_from);
                self.add_to_push(now, slot);
                if !warm {
                    self.warming_up.set(slot, warm_from);
                }
            }
        }
    }

    /// Removes a backend from wherever [`Index::file`] added it.
    fn unfile(&mut self, now: f64, slot: u32) {
        let filed = self.slot(slot as usize);
        let (filing, threshold, positions) = (filed.filing(), filed.threshold, filed.positions);
        match filing.attributes.state {
            ListState::Removed => {}
            ListState::Draining => self.groups.remove_draining(&filing.attributes),
            ListState::Ready => {
                self.remove_from_push(now, slot);
                self.membership.remove_ready(threshold, slot);
                self.warming_up.clear(slot);
                for moved in self.groups.remove_ready(positions, &filing) {
                    moved.apply(&mut self.slot_mut(moved.slot as usize).positions);
                }
            }
        }
    }

    /// What a backend adds to the sums of the warm ones of the subset, if it is one of them.
    fn contribution(&self, now: f64, slot: u32) -> Option<Contribution> {
        let one = self.slot(slot as usize);
        let pushed = one.pushed.now(now, self.window_ms);
        one.counts_for_push().then_some(Contribution { pushed, share: one.attributes.share })
    }

    fn add_to_push(&mut self, now: f64, slot: u32) {
        if let Some(one) = self.contribution(now, slot) {
            self.push.add_backend(now, self.window_ms, one);
        }
    }

    fn remove_from_push(&mut self, now: f64, slot: u32) {
        if let Some(one) = self.contribution(now, slot) {
            self.push.remove_backend(now, self.window_ms, one);
        }
    }

    /// Moves backends into the subset or out of it, as the number of ready ones calls for.
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
        let joining = self.slots[slot as usize].as_mut().expect(NO_BACKEND);
        joining.in_subset = true;
        let position = self.groups.join_subset(slot, joining.attributes.ejected, joining.warm);
        joining.positions.set_in_subset(position);
        self.add_to_push(now, slot);
    }

    fn leave_subset(&mut self, now: f64, slot: u32) {
        self.remove_from_push(now, slot);
        let leaving = self.slots[slot as usize].as_mut().expect(NO_BACKEND);
        leaving.in_subset = false;
        let position = leaving.positions.in_subset();
        let moved = self.groups.leave_subset(position, leaving.attributes.ejected, leaving.warm);
        if let Some(moved) = moved {
            self.slot_mut(moved as usize).positions.set_in_subset(position);
        }
    }

    /// Notes who is warm by now. Until this is called, sums and counts are those of the time before.
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
            let filing = due.filing();
            self.groups.count_as_warm(&filing);
            self.add_to_push(now, slot);
        }
    }

    /// Work pushed to a backend lately.
    ///
    /// # Panics
    /// If there is none.
    #[must_use]
    pub fn recent_work(&self, slot: usize, now: f64) -> f64 {
        self.slot(slot).pushed.now(now, self.window_ms)
    }

    /// Notes work that is pushed to a backend.
    ///
    /// # Panics
    /// If there is none.
    pub fn record_work(&mut self, slot: usize, now: f64, work: f64) {
        let window_ms = self.window_ms;
        let pushed = self.slot_mut(slot);
        pushed.pushed.add(now, window_ms, work);
        if pushed.counts_for_push() && pushed.is_ready() {
            self.push.push(now, window_ms, work);
        }
    }

    /// Work pushed lately to a warm backend of the subset with a share of 1, on the mean; 0 without any.
    #[must_use]
    pub fn mean_warm_work(&self, now: f64) -> f64 {
        self.push.mean(now, self.window_ms)
    }

    /// Whether a backend is in this gateway's subset.
    ///
    /// # Panics
    /// If there is none.
    #[must_use]
    pub fn is_in_subset(&self, slot: usize) -> bool {
        self.slot(slot).in_subset
    }

    /// Gateways that share each backend now.
    #[must_use]
    pub fn degree(&self) -> f64 {
        self.membership.degree()
    }

    /// How many backends of a group are in each state.
    #[must_use]
    pub fn counts(&self, scope: Scope) -> Counts {
        self.groups.counts(scope)
    }

    /// How many backends of an instance type are in each state.
    #[must_use]
    pub fn instance_type_counts(&self, instance_type: u32) -> Counts {
        self.groups.instance_type_counts(instance_type)
    }

    /// Adds candidates that are not there yet: all of a small group, else some by chance (`random` returns
    /// numbers in [0, 1)). The ejected are among them only where that is wanted.
    pub fn draw(
        &self,
        scope: Scope,
        with_ejected: bool,
        random: &mut impl FnMut() -> f64,
        into: &mut Vec<usize>,
    ) {
        if let Some(group) = self.groups.get(scope) {
            self.sampling.draw(group, with_ejected, random, into);
        }
    }

    /// Has a backend come up in [`Index::next_due`] at a time, or sooner if that was asked for before.
    pub fn check_at(&mut self, slot: usize, at: f64) {
        self.checks.set(slot as u32, at);
    }

    /// Removes and returns a backend that is due for a check by now, the earliest first.
    pub fn next_due(&mut self, now: f64) -> Option<usize> {
        self.checks.pop(now).map(|slot| slot as usize)
    }
}
