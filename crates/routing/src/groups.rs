//! Groups of backends: the fleet, the subset, and one for each zone, cell and instance type.

use std::collections::HashMap;

use crate::attributes::Attributes;
use crate::group::{Counts, Group};

/// Set of backends from which candidates are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Subset that this gateway prefers.
    Subset,
    /// All backends.
    Fleet,
    /// Backends of a zone.
    Zone(u32),
    /// Backends of a cell.
    Cell(u32),
}

/// Number of groups that a slot can be in.
const GROUP_KINDS: usize = 5;
/// Indexes into [`Positions`], one for each kind of group.
const FLEET: usize = 0;
const SUBSET: usize = 1;
const ZONE: usize = 2;
const CELL: usize = 3;
const INSTANCE_TYPE: usize = 4;

/// Positions of a slot in its groups.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Positions([u32; GROUP_KINDS]);

impl Positions {
    pub(crate) fn in_subset(&self) -> u32 {
        self.0[SUBSET]
    }

    pub(crate) fn set_in_subset(&mut self, position: u32) {
        self.0[SUBSET] = position;
    }
}

/// A slot that was moved to the position of a removed one in a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moved {
    pub(crate) slot: u32,
    kind: usize,
    position: u32,
}

impl Moved {
    pub(crate) fn apply(self, positions: &mut Positions) {
        positions.0[self.kind] = self.position;
    }
}

/// Data that determines the groups of a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupAttributes {
    pub(crate) attributes: Attributes,
    pub(crate) in_subset: bool,
    pub(crate) warm: bool,
}

/// All groups. The group of a zone, cell or instance type exists while it has a backend.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    fleet: Group,
    subset: Group,
    zones: HashMap<u32, Group>,
    cells: HashMap<u32, Group>,
    instance_types: HashMap<u32, Group>,
}

impl Groups {
    /// Returns a group; `None` if it has no backend.
    pub(crate) fn get(&self, scope: Scope) -> Option<&Group> {
        match scope {
            Scope::Fleet => Some(&self.fleet),
            Scope::Subset => Some(&self.subset),
            Scope::Zone(zone) => self.zones.get(&zone),
            Scope::Cell(cell) => self.cells.get(&cell),
        }
    }

    pub(crate) fn counts(&self, scope: Scope) -> Counts {
        self.get(scope).map(Group::counts).unwrap_or_default()
    }

    pub(crate) fn instance_type_counts(&self, instance_type: u32) -> Counts {
        self.instance_types.get(&instance_type).map(Group::counts).unwrap_or_default()
    }

    /// Returns the groups of a backend, each with its index into [`Positions`].
    fn groups_of(
        &mut self,
        attributes: &Attributes,
        in_subset: bool,
    ) -> impl Iterator<Item = (usize, &mut Group)> {
        let groups = [
            Some((FLEET, &mut self.fleet)),
            in_subset.then_some((SUBSET, &mut self.subset)),
            attributes.zone.map(|zone| (ZONE, self.zones.entry(zone).or_default())),
            attributes.cell.map(|cell| (CELL, self.cells.entry(cell).or_default())),
            Some((INSTANCE_TYPE, self.instance_types.entry(attributes.instance_type).or_default())),
        ];
        groups.into_iter().flatten()
    }

    /// Adds a ready slot to its groups.
    pub(crate) fn add_ready(&mut self, slot: u32, group_attributes: &GroupAttributes) -> Positions {
        let GroupAttributes { attributes, in_subset, warm } = group_attributes;
        let mut positions = Positions::default();
        for (kind, group) in self.groups_of(attributes, *in_subset) {
            positions.0[kind] = group.add(slot, attributes.ejected, *warm);
        }
        positions
    }

    /// Removes a ready slot from its groups and returns the slots that were moved.
    pub(crate) fn remove_ready(
        &mut self,
        positions: Positions,
        group_attributes: &GroupAttributes,
    ) -> impl Iterator<Item = Moved> + use<> {
        let GroupAttributes { attributes, in_subset, warm } = group_attributes;
        let mut moved = [None; GROUP_KINDS];
        for (kind, group) in self.groups_of(attributes, *in_subset) {
            let position = positions.0[kind];
            let other = group.remove(position, attributes.ejected, *warm);
            moved[kind] = other.map(|slot| Moved { slot, kind, position });
        }
        self.drop_empty(attributes);
        moved.into_iter().flatten()
    }

    /// Counts a draining backend in its groups.
    pub(crate) fn add_draining(&mut self, attributes: &Attributes) {
        for (_, group) in self.groups_of(attributes, false) {
            group.draining += 1;
        }
    }

    pub(crate) fn remove_draining(&mut self, attributes: &Attributes) {
        for (_, group) in self.groups_of(attributes, false) {
            group.draining -= 1;
        }
        self.drop_empty(attributes);
    }

    /// Counts a ready backend as warm instead of warming up.
    pub(crate) fn count_as_warm(&mut self, group_attributes: &GroupAttributes) {
        for (_, group) in self.groups_of(&group_attributes.attributes, group_attributes.in_subset) {
            group.warming_up -= 1;
        }
    }

    /// Adds a ready slot to the subset and returns its position there.
    pub(crate) fn join_subset(&mut self, slot: u32, ejected: bool, warm: bool) -> u32 {
        self.subset.add(slot, ejected, warm)
    }

    /// Removes a ready slot from the subset and returns the one that was moved to its position, if any.
    pub(crate) fn leave_subset(&mut self, position: u32, ejected: bool, warm: bool) -> Option<u32> {
        self.subset.remove(position, ejected, warm)
    }

    /// Removes those groups of a backend that have become empty.
    fn drop_empty(&mut self, attributes: &Attributes) {
        let Attributes { zone, cell, instance_type, .. } = *attributes;
        let by_key = [
            (&mut self.zones, zone),
            (&mut self.cells, cell),
            (&mut self.instance_types, Some(instance_type)),
        ];
        for (groups, key) in by_key {
            let Some(key) = key else { continue };
            if groups.get(&key).is_some_and(Group::is_empty) {
                groups.remove(&key);
            }
        }
    }
}
