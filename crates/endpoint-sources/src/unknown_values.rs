//! Logs which instances have records that do not state every value.

use std::collections::{BTreeMap, BTreeSet};

use dns_sd::{Endpoint, TxtKey};

/// Maximum number of instances that one line names.
const MAX_NAMES_PER_LINE: usize = 8;

/// Remembers which unknown values were logged, so that each is logged once for as long as it is unknown.
#[derive(Debug, Default)]
pub(crate) struct UnknownValueLog {
    /// Names of the instances, by key.
    logged: BTreeMap<TxtKey, BTreeSet<String>>,
}

impl UnknownValueLog {
    /// Logs the instances that newly have an unknown value, in a line per key, and each key whose values have
    /// all become known.
    pub(crate) fn update<'a>(
        &mut self,
        list: impl Iterator<Item = (&'a str, &'a Endpoint)>,
        log: &mut impl FnMut(String),
    ) {
        let mut current: BTreeMap<TxtKey, BTreeSet<String>> = BTreeMap::new();
        for (name, endpoint) in list {
            for key in endpoint.metadata.unknown.keys() {
                current.entry(*key).or_default().insert(name.to_string());
            }
        }
        for (key, names) in &current {
            let logged = self.logged.get(key);
            let new: Vec<&str> = names
                .iter()
                .filter(|name| logged.is_none_or(|logged| !logged.contains(*name)))
                .map(String::as_str)
                .collect();
            if !new.is_empty() {
                log(unknown_line(*key, &new));
            }
        }
        for key in self.logged.keys().filter(|key| !current.contains_key(key)) {
            log(format!("{} is known of all instances again", key.as_str()));
        }
        self.logged = current;
    }
}

fn unknown_line(key: TxtKey, names: &[&str]) -> String {
    let shown = names[..names.len().min(MAX_NAMES_PER_LINE)].join(", ");
    let more = names.len().saturating_sub(MAX_NAMES_PER_LINE);
    let more = if more > 0 { format!(" and {more} more") } else { String::new() };
    format!("{} unknown of {} instances: {shown}{more}", key.as_str(), names.len())
}
