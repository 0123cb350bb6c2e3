//! What all gateways list, each backend held once. No I/O.

use std::collections::HashMap;

use fleet::wire::BackendState;
use fleet::Backend;

#[derive(Debug)]
struct Row {
    backend: Backend,
    /// Gateways that list it, and those to which it serves.
    listed: u32,
    serving: u32,
}

/// The lists of all gateways. A gateway's list takes four bytes a backend, whatever the names are.
#[derive(Debug, Default)]
pub struct Views {
    numbers: HashMap<Box<str>, u32>,
    rows: Vec<Option<Row>>,
    free: Vec<u32>,
    /// For each gateway, twice the number of each backend, plus one where it serves.
    lists: HashMap<Box<str>, Box<[u32]>>,
}

impl Views {
    /// Takes a gateway's whole list in.
    pub fn update(&mut self, gateway: &str, list: &[BackendState]) {
        let mut marks = Vec::with_capacity(list.len());
        for state in list {
            let number = self.number(state);
            if let Some(row) = self.rows.get_mut(number as usize).and_then(Option::as_mut) {
                row.listed += 1;
                row.serving += u32::from(state.serving);
                // Danger: gateways that tell of another group or type. The last one counts, as each has the
                // same source.
                (row.backend.group, row.backend.kind) = (state.group, state.kind.clone());
                row.backend.serving = row.serving > 0;
                marks.push(number << 1 | u32::from(state.serving));
            }
        }
        let old = self.lists.insert(gateway.into(), marks.into());
        self.let_go(old);
    }

    /// Forgets a gateway.
    pub fn remove(&mut self, gateway: &str) {
        let old = self.lists.remove(gateway);
        self.let_go(old);
    }

    fn number(&mut self, state: &BackendState) -> u32 {
        if let Some(number) = self.numbers.get(state.name.as_str()) {
            return *number;
        }
        let (name, group, kind) = (state.name.clone(), state.group, state.kind.clone());
        let backend = Backend { name, group, kind, serving: false };
        let row = Some(Row { backend, listed: 0, serving: 0 });
        let number = match self.free.pop() {
            Some(number) => {
                self.rows[number as usize] = row;
                number
            }
            None => {
                self.rows.push(row);
                self.rows.len() as u32 - 1
            }
        };
        self.numbers.insert(state.name.as_str().into(), number);
        number
    }

    fn let_go(&mut self, marks: Option<Box<[u32]>>) {
        for mark in marks.unwrap_or_default() {
            let place = (mark >> 1) as usize;
            let Some(row) = self.rows.get_mut(place).and_then(Option::as_mut) else { continue };
            row.listed -= 1;
            row.serving -= mark & 1;
            row.backend.serving = row.serving > 0;
            if row.listed == 0 {
                self.numbers.remove(row.backend.name.as_str());
                self.rows[place] = None;
                self.free.push(place as u32);
            }
        }
    }

    /// All backends that some gateway lists.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.rows.iter().flatten().map(|row| &row.backend)
    }

    /// Whether no gateway has told its list.
    pub fn unknown(&self) -> bool {
        self.lists.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state(name: &str, serving: bool) -> BackendState {
        BackendState {
            name: name.to_string(),
            address: String::new(),
            group: 1,
            kind: "m".to_string(),
            zone: String::new(),
            serving,
            drained_by: None,
            banned_ms: None,
            weight: 1.0,
            ejected: false,
            capacity_fraction: 1.0,
            in_flight: 0,
        }
    }

    fn seen(views: &Views) -> Vec<(String, bool)> {
        let mut all: Vec<_> = views.backends().map(|b| (b.name.clone(), b.serving)).collect();
        all.sort();
        all
    }

    #[test]
    fn a_backend_is_there_while_some_gateway_lists_it_and_serves_while_some_says_so() {
        let mut views = Views::default();
        assert!(views.unknown());
        views.update("n0", &[state("a", true), state("b", true)]);
        views.update("n1", &[state("a", false), state("c", true)]);
        let expected = |all: &[(&str, bool)]| -> Vec<(String, bool)> {
            all.iter().map(|(n, s)| (n.to_string(), *s)).collect()
        };
        assert_eq!(seen(&views), expected(&[("a", true), ("b", true), ("c", true)]));
        views.update("n0", &[state("b", true)]);
        assert_eq!(seen(&views), expected(&[("a", false), ("b", true), ("c", true)]));
        views.remove("n1");
        assert_eq!(seen(&views), expected(&[("b", true)]));
        // Places are used again, so that what comes and goes for good takes no more.
        for i in 0..1_000 {
            views.update("n1", &[state(&format!("x{i}"), true)]);
        }
        assert!(views.rows.len() <= 5, "{}", views.rows.len());
        assert_eq!(seen(&views), expected(&[("b", true), ("x999", true)]));
    }
}
