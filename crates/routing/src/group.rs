//! The backends of one group, by state.

/// How many backends of a group are in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Take work, as the list says; the ejected among them.
    pub ready: usize,
    /// Finish their work and take no more.
    pub draining: usize,
    /// Ready by the list, but failed or silent here.
    pub ejected: usize,
    /// Ready by the list, and not warm yet.
    pub cold: usize,
}

/// Where the places of a slot in its groups stand.
pub(crate) const FLEET: usize = 0;
pub(crate) const HOME: usize = 1;
pub(crate) const ZONE: usize = 2;
pub(crate) const CELL: usize = 3;
pub(crate) const KIND: usize = 4;
/// Groups that a slot may be in.
pub(crate) const GROUPS: usize = 5;

/// Ready slots, open or ejected, each list without gaps and in no order; the others are only counted.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) open: Vec<u32>,
    pub(crate) ejected: Vec<u32>,
    pub(crate) draining: usize,
    pub(crate) cold: usize,
}

impl Group {
    pub(crate) fn counts(&self) -> Counts {
        let ready = self.open.len() + self.ejected.len();
        Counts { ready, draining: self.draining, ejected: self.ejected.len(), cold: self.cold }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.ejected.is_empty() && self.draining == 0
    }

    fn list(&mut self, ejected: bool) -> &mut Vec<u32> {
        if ejected {
            &mut self.ejected
        } else {
            &mut self.open
        }
    }

    /// Puts a slot in; gives its place.
    pub(crate) fn put(&mut self, slot: u32, ejected: bool) -> u32 {
        let list = self.list(ejected);
        list.push(slot);
        (list.len() - 1) as u32
    }

    /// Takes out the slot at a place; gives the one that stands there now.
    pub(crate) fn take(&mut self, place: u32, ejected: bool) -> Option<u32> {
        let list = self.list(ejected);
        list.swap_remove(place as usize);
        list.get(place as usize).copied()
    }

    /// Slots that may be drawn, with the ejected or without.
    pub(crate) fn len(&self, ejected: bool) -> usize {
        self.open.len() + if ejected { self.ejected.len() } else { 0 }
    }

    /// The slot at a place of the open ones and, after them, the ejected.
    pub(crate) fn at(&self, place: usize) -> u32 {
        let open = self.open.len();
        if place < open {
            self.open[place]
        } else {
            self.ejected[place - open]
        }
    }
}
