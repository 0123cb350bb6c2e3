//! The backends of one group, by state.

/// How many backends of a group are in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Take work, as the endpoint list says; the ejected among them.
    pub ready: usize,
    /// Finish their work and take no more.
    pub draining: usize,
    /// Ready by the list, but failed or silent here.
    pub ejected: usize,
    /// Ready by the list, and not warm yet.
    pub warming_up: usize,
}

/// Ready slots, available or ejected, each list without gaps and in no order; the others are only counted.
#[derive(Debug, Default)]
pub(crate) struct Group {
    available: Vec<u32>,
    ejected: Vec<u32>,
    pub(crate) draining: usize,
    pub(crate) warming_up: usize,
}

impl Group {
    pub(crate) fn counts(&self) -> Counts {
        Counts {
            ready: self.available.len() + self.ejected.len(),
            draining: self.draining,
            ejected: self.ejected.len(),
            warming_up: self.warming_up,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.available.is_empty() && self.ejected.is_empty() && self.draining == 0
    }

    fn list(&mut self, ejected: bool) -> &mut Vec<u32> {
        if ejected {
            &mut self.ejected
        } else {
            &mut self.available
        }
    }

    /// Adds a ready slot; returns its position.
    pub(crate) fn add(&mut self, slot: u32, ejected: bool, warm: bool) -> u32 {
        self.warming_up += usize::from(!warm);
        let list = self.list(ejected);
        list.push(slot);
        (list.len() - 1) as u32
    }

    /// Removes the ready slot at a position; returns the one that stands there now.
    pub(crate) fn remove(&mut self, position: u32, ejected: bool, warm: bool) -> Option<u32> {
        self.warming_up -= usize::from(!warm);
        let list = self.list(ejected);
        list.swap_remove(position as usize);
        list.get(position as usize).copied()
    }

    /// Slots that may be drawn, with the ejected or without.
    pub(crate) fn len(&self, with_ejected: bool) -> usize {
        self.available.len() + if with_ejected { self.ejected.len() } else { 0 }
    }

    /// The slot at a position of the available ones and, after them, the ejected.
    pub(crate) fn at(&self, position: usize) -> u32 {
        let available = self.available.len();
        if position < available {
            self.available[position]
        } else {
            self.ejected[position - available]
        }
    }
}
