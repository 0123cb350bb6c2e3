//! The groups that backends are in: the fleet, the subset, and those of a zone, a cell or an instance type.

use std::collections::HashMap;

use crate::attributes::Attributes;
use crate::group::{Counts, Group};

/// Where candidates are drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The backends that this gateway prefers.
    Subset,
    /// All of them.
    Fleet,
    /// Those of a zone.
    Zone(u32),
    /// Those of a cell.
    Cell(u32),
}

/// Groups that a slot may be in.
const GROUP_KINDS: usize = 5;
/// Where the position of a slot in the fleet stands in its [`Positions`], and so on.
const FLEET: usize = 0;
const SUBSET: usize = 1;
const ZONE: usize = 2;
const CELL: usize = 3;
const INSTANCE_TYPE: usize = 4;

/// The positions of a slot in its groups.
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

/// A slot that has another position in a group, as the one that stood there was removed.
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

/// How a slot is filed in its groups.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Filing {
    pub(crate) attributes: Attributes,
    pub(crate) in_subset: bool,
    pub(crate) warm: bool,
}

/// All groups. Those of a zone, a cell or an instance type are there while a backend is in them.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    fleet: Group,
    subset: Group,
    zones: HashMap<u32, Group>,
    cells: HashMap<u32, Group>,
    instance_types: HashMap<u32, Group>,
}

impl Groups {
    /// A group; none if nobody is in it.
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

    /// The groups that a backend is in, and where its position in them stands.
    fn of(&mut self, attributes: &Attributes, in_subset: bool) -> impl Iterator<Item = (usize, &mut Group)> {
        let groups = [
            Some((FLEET, &mut self.fleet)),
            in_subset.then_some((SUBSET, &mut self.subset)),
            Some((ZONE, self.zones.entry(attributes.zone).or_default())),
            Some((CELL, self.cells.entry(attributes.cell).or_default())),
            Some((INSTANCE_TYPE, self.instance_types.entry(attributes.instance_type).or_default())),
        ];
        groups.into_iter().flatten()
    }

    /// Files a ready slot.
    pub(crate) fn add_ready(&mut self, slot: u32, filing: &Filing) -> Positions {
        let Filing { attributes, in_subset, warm } = filing;
        let mut positions = Positions::default();
        for (kind, group) in self.of(attributes, *in_subset) {
            positions.0[kind] = group.add(slot, attributes.ejected, *warm);
        }
        positions
    }

    /// Takes out a ready slot; returns those that moved.
    pub(crate) fn remove_ready(
        &mut self,
        positions: Positions,
        filing: &Filing,
    ) -> impl Iterator<Item = Moved> + use<> {
        let Filing { attributes, in_subset, warm } = filing;
        let mut moved = [None; GROUP_KINDS];
        for (kind, group) in self.of(attributes, *in_subset) {
            let position = positions.0[kind];
            let other = group.remove(position, attributes.ejected, *warm);
            moved[kind] = other.map(|slot| Moved { slot, kind, position });
        }
        self.drop_empty(attributes);
        moved.into_iter().flatten()
    }

    /// Files a draining backend, which is only counted.
    pub(crate) fn add_draining(&mut self, attributes: &Attributes) {
        for (_, group) in self.of(attributes, false) {
            group.draining += 1;
        }
    }

    pub(crate) fn remove_draining(&mut self, attributes: &Attributes) {
        for (_, group) in self.of(attributes, false) {
            group.draining -= 1;
        }
        self.drop_empty(attributes);
    }

    /// Counts a ready backend as warm from now on.
    pub(crate) fn count_as_warm(&mut self, filing: &Filing) {
        for (_, group) in self.of(&filing.attributes, filing.in_subset) {
            group.warming_up -= 1;
        }
    }

    /// Adds a ready slot to the subset; returns its position there.
    pub(crate) fn join_subset(&mut self, slot: u32, ejected: bool, warm: bool) -> u32 {
        self.subset.add(slot, ejected, warm)
    }

    /// Removes a ready slot from the subset; returns the one that moved to its position.
    pub(crate) fn leave_subset(&mut self, position: u32, ejected: bool, warm: bool) -> Option<u32> {
        self.subset.remove(position, ejected, warm)
    }

    /// Forgets the groups of a backend that nobody is in any more.
    fn drop_empty(&mut self, attributes: &Attributes) {
        let Attributes { zone, cell, instance_type, .. } = *attributes;
        let by_key =
            [(&mut self.zones, zone), (&mut self.cells, cell), (&mut self.instance_types, instance_type)];
        for (groups, key) in by_key {
            if groups.get(&key).is_some_and(Group::is_empty) {
                groups.remove(&key);
            }
        }
    }
}
