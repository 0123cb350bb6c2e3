//! Reloading of settings in service. Does no I/O and reads no clock.
//!
//! Classes are kept in a table of slots. A slot keeps its class for as long as a request can refer to it, so
//! that an open request keeps the rules with which it arrived. A class that changed gets another slot.

use serde_json::Value;

use crate::interface::{Class, Settings, SettingsError};
use crate::settings::SettingNames;

/// Maximum number of slots: classes in use, and retired ones that open requests still refer to.
pub const MAX_CLASSES: usize = 256;

/// Settings and the names that belong to them.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Settings.
    pub settings: Settings,
    /// Names, and values that only the surrounding program uses.
    pub names: SettingNames,
}

impl ServiceSettings {
    /// Returns these settings with everything that can change in service taken from `new`. `is_unused` tells
    /// whether no request can refer to a slot with a retired class any more.
    ///
    /// # Errors
    /// A [`SettingsError`] with the class for which the table has no slot, or with an invalid field.
    pub fn reloaded(
        &self,
        new: &ServiceSettings,
        is_unused: impl Fn(usize) -> bool,
    ) -> Result<ServiceSettings, SettingsError> {
        let mut changed = self.clone();
        changed.settings.limits = new.settings.limits.clone();
        changed.settings.slow_start = new.settings.slow_start.clone();
        changed.names.idle_close_ms = new.names.idle_close_ms;
        changed.assign_slots(new, self.reusable_slots(is_unused))?;
        changed.settings.validate()?;
        Ok(changed)
    }

    /// Returns the slots that can be reused, the last first. Slots whose class this reload retires are not
    /// among them, because a request may just be arriving with such a class.
    fn reusable_slots(&self, is_unused: impl Fn(usize) -> bool) -> Vec<usize> {
        let slots = (0..self.names.classes.len()).rev();
        slots.filter(|slot| self.names.classes[*slot].is_none() && is_unused(*slot)).collect()
    }

    /// Assigns a slot to each class of the new settings: its present one, else a reusable one, else a new one
    /// at the end of the table.
    fn assign_slots(&mut self, new: &ServiceSettings, mut reusable: Vec<usize>) -> Result<(), SettingsError> {
        let mut names = vec![None; self.names.classes.len()];
        let mut without_slot = Vec::new();
        for (name, class) in new.names.classes.iter().zip(&new.settings.classes) {
            match self.slot_of(name, class) {
                Some(slot) => names[slot].clone_from(name),
                None => without_slot.push((name, class)),
            }
        }
        for (name, class) in without_slot {
            let slot = reusable.pop().unwrap_or(names.len());
            if slot >= MAX_CLASSES {
                return Err(no_slot_for(name.as_deref()));
            }
            if slot == names.len() {
                names.push(None);
                self.settings.classes.push(class.clone());
            }
            names[slot].clone_from(name);
            self.settings.classes[slot] = class.clone();
        }
        self.names.classes = names;
        for (class, name) in self.settings.classes.iter_mut().zip(&self.names.classes) {
            class.retired = name.is_none();
        }
        Ok(())
    }

    /// Returns the slot of a class that exists already with the same rules.
    fn slot_of(&self, name: &Option<String>, class: &Class) -> Option<usize> {
        let slot = self.names.classes.iter().position(|known| known == name)?;
        self.settings.classes[slot].same_rules(class).then_some(slot)
    }

    /// Returns the sections of the new settings with changes that need a restart.
    #[must_use]
    pub fn sections_needing_restart(&self, new: &ServiceSettings) -> Vec<&'static str> {
        let (a, b) = (&self.settings, &new.settings);
        let mut sections = Vec::new();
        let mut compare = |same: bool, section| sections.extend((!same).then_some(section));
        compare(
            (a.gateway_index, a.gateway_count, a.zone) == (b.gateway_index, b.gateway_count, b.zone),
            "me, group-size, zone",
        );
        compare(a.clock_granularity_ms == b.clock_granularity_ms, "granularity-ms");
        compare(a.plans == b.plans && self.names.plans == new.names.plans, "tariffs");
        compare(self.names.zones == new.names.zones, "zones");
        let info = |s: &Settings| {
            (s.shared_counter, s.counter_timeout_ms, s.usage_meter_period_ms, s.max_request_units)
        };
        compare(info(a) == info(b) && a.peer_messages_per_s == b.peer_messages_per_s, "family-info");
        compare(self.names.load_fields == new.names.load_fields, "feedback");
        compare(
            (a.polls_endpoints, a.poll_within_ms) == (b.polls_endpoints, b.poll_within_ms),
            "registry-mode",
        );
        compare(a.cross_zone_cost == b.cross_zone_cost, "prices");
        compare(a.drain_grace_ms == b.drain_grace_ms, "contract.stop-sending-within-ms");
        sections
    }
}

fn no_slot_for(name: Option<&str>) -> SettingsError {
    SettingsError {
        field: format!("settings.profiles: {}", name.unwrap_or_default()),
        problem: "too many classes that open requests still hold",
    }
}

/// Returns the path of the first key that `before` has and `after` lacks, e.g. `settings.profiles[1].aim-ms`.
///
/// Each entry of a list needs the keys that all entries of the previous list have in common. `path` is the
/// path of the two values. Keys in `ignored` can be missing.
#[must_use]
pub fn first_missing_key(before: &Value, after: &Value, path: &str, ignored: &[&str]) -> Option<String> {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            if ignored.contains(&key.as_str()) {
                return None;
            }
            let path = format!("{path}.{key}");
            match after.get(key) {
                Some(now) => first_missing_key(value, now, &path, ignored),
                None => Some(path),
            }
        }),
        (Value::Array(before), Value::Array(after)) => {
            let (first, others) = before.split_first()?;
            let shared = others.iter().fold(first.clone(), |shared, other| common_keys(&shared, other));
            let mut each = after.iter().enumerate();
            each.find_map(|(i, now)| first_missing_key(&shared, now, &format!("{path}[{i}]"), ignored))
        }
        _ => None,
    }
}

/// Returns the first value, reduced to the keys that both values have.
fn common_keys(a: &Value, b: &Value) -> Value {
    match (a, b) {
        (Value::Object(a), Value::Object(b)) => {
            let both = a.iter().filter_map(|(key, a)| b.get(key).map(|b| (key.clone(), common_keys(a, b))));
            Value::Object(both.collect())
        }
        _ => a.clone(),
    }
}
