//! Backends of one group, by state.

/// Numbers of backends of a group in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Ready on the endpoint list, including the ejected ones.
    pub ready: usize,
    /// Draining: they finish their work and accept no more.
    pub draining: usize,
    /// Ready on the list, but ejected by this gateway.
    pub ejected: usize,
    /// Ready on the list and still warming up.
    pub warming_up: usize,
}

/// Ready slots in two unordered lists, available and ejected. Draining backends are only counted.
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

    /// Adds a ready slot and returns its position.
    pub(crate) fn add(&mut self, slot: u32, ejected: bool, warm: bool) -> u32 {
        self.warming_up += usize::from(!warm);
        let list = self.list(ejected);
        list.push(slot);
        (list.len() - 1) as u32
    }

    /// Removes the ready slot at a position and returns the one that was moved there, if any.
    pub(crate) fn remove(&mut self, position: u32, ejected: bool, warm: bool) -> Option<u32> {
        self.warming_up -= usize::from(!warm);
        let list = self.list(ejected);
        list.swap_remove(position as usize);
        list.get(position as usize).copied()
    }

    /// Number of slots that can be drawn, with or without the ejected ones.
    pub(crate) fn len(&self, with_ejected: bool) -> usize {
        self.available.len() + if with_ejected { self.ejected.len() } else { 0 }
    }

    /// Returns the slot at a position; the ejected slots follow the available ones.
    pub(crate) fn at(&self, position: usize) -> u32 {
        let available = self.available.len();
        if position < available {
            self.available[position]
        } else {
            self.ejected[position - available]
        }
    }
}
