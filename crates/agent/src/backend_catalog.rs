//! All backends that some gateway lists, each held once. No I/O.

use std::collections::HashMap;

use fleet::wire::BackendState;
use fleet::Backend;

/// A backend and the gateways that list it.
#[derive(Debug)]
struct CatalogEntry {
    backend: Backend,
    /// Gateways that list it.
    listed_by: u32,
    /// Those of them that say it serves.
    serving_for: u32,
}

/// An entry as one gateway lists it: twice the entry's index, plus one if the gateway says that it serves.
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

/// The backends of all gateways. The list of one gateway takes four bytes a backend, however long names are.
#[derive(Debug, Default)]
pub struct BackendCatalog {
    indices: HashMap<Box<str>, u32>,
    entries: Vec<Option<CatalogEntry>>,
    free_indices: Vec<u32>,
    lists: HashMap<Box<str>, Box<[ListedEntry]>>,
}

impl BackendCatalog {
    /// Replaces the list of a gateway.
    pub fn update(&mut self, gateway: &str, backends: &[BackendState]) {
        let mut list = Vec::with_capacity(backends.len());
        for state in backends {
            let index = self.index_of(state);
            if let Some(entry) = self.entries.get_mut(index as usize).and_then(Option::as_mut) {
                entry.listed_by += 1;
                entry.serving_for += u32::from(state.serving);
                // Gateways may differ in group or type for a while; the last one counts, as all of them have
                // the same source.
                entry.backend.group = state.group;
                entry.backend.kind = state.kind.clone();
                entry.backend.serving = entry.serving_for > 0;
                list.push(ListedEntry::new(index, state.serving));
            }
        }
        let replaced = self.lists.insert(gateway.into(), list.into());
        self.release(replaced);
    }

    /// Forgets the list of a gateway.
    pub fn remove(&mut self, gateway: &str) {
        let removed = self.lists.remove(gateway);
        self.release(removed);
    }

    /// The index of a backend, which gets a free one if it is new.
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

    /// Takes a list back, and frees entries that no gateway lists any more.
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

    /// All backends that some gateway lists.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.entries.iter().flatten().map(|entry| &entry.backend)
    }

    /// Whether no gateway has listed its backends.
    pub fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }
}

#[cfg(test)]
mod tests;
