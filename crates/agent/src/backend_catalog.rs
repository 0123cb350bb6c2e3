//! The union of the backends listed by all gateways, each stored once. No I/O.

use std::collections::HashMap;

use fleet::wire::BackendState;
use fleet::Backend;

/// A backend and the number of gateways that list it.
#[derive(Debug)]
struct CatalogEntry {
    backend: Backend,
    /// Number of gateways that list the backend.
    listed_by: u32,
    /// Number of those that list it as serving.
    serving_for: u32,
}

/// Packed reference from a gateway's list to an entry: the index shifted left by one bit; the lowest bit is
/// set if the gateway lists the backend as serving.
#[derive(Clone, Copy, Debug)]
struct ListedEntry(u32);

impl ListedEntry {
    fn new(index: u32, serving: bool) -> ListedEntry {
        ListedEntry(index << 1 | u32::from(serving))
    }

    fn index(self) -> usize {
        (self.0 >> 1) as usize
    }

    fn is_serving(self) -> bool {
        self.0 & 1 == 1
    }
}

/// The backends of all gateways. A gateway's list takes four bytes per backend, whatever the names' lengths.
#[derive(Debug, Default)]
pub struct BackendCatalog {
    indices: HashMap<Box<str>, u32>,
    entries: Vec<Option<CatalogEntry>>,
    free_indices: Vec<u32>,
    lists: HashMap<Box<str>, Box<[ListedEntry]>>,
}

impl BackendCatalog {
    /// Replaces a gateway's list of backends.
    pub fn update(&mut self, gateway: &str, backends: &[BackendState]) {
        let mut list = Vec::with_capacity(backends.len());
        for state in backends {
            let index = self.index_of(state);
            if let Some(entry) = self.entries.get_mut(index as usize).and_then(Option::as_mut) {
                entry.listed_by += 1;
                entry.serving_for += u32::from(state.serving);
                // Gateways may temporarily differ in a backend's cell or type. The latest report wins, as all
                // gateways have the same source of the endpoint list.
                entry.backend.group = state.group;
                entry.backend.kind = state.kind.clone();
                entry.backend.serving = entry.serving_for > 0;
                list.push(ListedEntry::new(index, state.serving));
            }
        }
        let replaced = self.lists.insert(gateway.into(), list.into());
        self.release(replaced);
    }

    /// Removes a gateway's list.
    pub fn remove(&mut self, gateway: &str) {
        let removed = self.lists.remove(gateway);
        self.release(removed);
    }

    /// Returns the index of a backend, after adding an entry if it is new.
    fn index_of(&mut self, state: &BackendState) -> u32 {
        if let Some(index) = self.indices.get(state.name.as_str()) {
            return *index;
        }
        let backend = Backend {
            name: state.name.clone(),
            group: state.group,
            kind: state.kind.clone(),
            serving: false,
        };
        let entry = Some(CatalogEntry { backend, listed_by: 0, serving_for: 0 });
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.entries[index as usize] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                self.entries.len() as u32 - 1
            }
        };
        self.indices.insert(state.name.as_str().into(), index);
        index
    }

    /// Subtracts a replaced or removed list from the counts. Frees entries that no gateway lists any more.
    fn release(&mut self, list: Option<Box<[ListedEntry]>>) {
        for listed in list.unwrap_or_default() {
            let index = listed.index();
            let Some(entry) = self.entries.get_mut(index).and_then(Option::as_mut) else { continue };
            entry.listed_by -= 1;
            entry.serving_for -= u32::from(listed.is_serving());
            entry.backend.serving = entry.serving_for > 0;
            if entry.listed_by == 0 {
                self.indices.remove(entry.backend.name.as_str());
                self.entries[index] = None;
                self.free_indices.push(index as u32);
            }
        }
    }

    /// All backends that at least one gateway lists, in no particular order.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.entries.iter().flatten().map(|entry| &entry.backend)
    }

    /// Whether the catalog holds no gateway's list.
    pub fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }
}

#[cfg(test)]
mod tests;
