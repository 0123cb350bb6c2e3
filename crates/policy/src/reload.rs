//! Settings that change in service. No I/O, no clock.
//!
//! Classes stand in a table. A slot keeps its class for as long as a request may refer to it, so that an
//! open request keeps the rules it came with; a class that changed gets another slot.

use serde_json::Value;

use crate::interface::{Class, Settings, SettingsError};
use crate::settings::SettingNames;

/// Slots of the table at most: classes in use, and those that open requests still refer to.
pub const MAX_CLASSES: usize = 256;

/// Settings and the names in them.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The settings themselves.
    pub settings: Settings,
    /// Names that the settings leave to the program.
    pub names: SettingNames,
}

impl ServiceSettings {
    /// These settings, with what may change in service taken from new ones. `free` says of a slot whose
    /// class was retired whether no request can refer to it any more.
    ///
    /// # Errors
    /// The class for which the table has no slot; nothing is changed.
    pub fn reloaded(
        &self,
        new: &ServiceSettings,
        free: impl Fn(usize) -> bool,
    ) -> Result<ServiceSettings, SettingsError> {
        let mut changed = self.clone();
        changed.settings.limits = new.settings.limits.clone();
        changed.settings.slow_start = new.settings.slow_start.clone();
        changed.names.idle_close_ms = new.names.idle_close_ms;
        changed.assign_slots(new, self.reusable_slots(free))?;
        changed.settings.validate()?;
        Ok(changed)
    }

    /// Slots that are free now, and not by this change (a request may be on its way with one of them), the
    /// last first.
    fn reusable_slots(&self, free: impl Fn(usize) -> bool) -> Vec<usize> {
        let slots = (0..self.names.classes.len()).rev();
        slots.filter(|slot| self.names.classes[*slot].is_none() && free(*slot)).collect()
    }

    /// Assigns each class of the new settings its slot: the one it has, else one that can be reused, else
    /// another at the end.
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

    /// The slot of a class that is there already, with the same rules.
    fn slot_of(&self, name: &Option<String>, class: &Class) -> Option<usize> {
        let slot = self.names.classes.iter().position(|known| known == name)?;
        self.settings.classes[slot].same_rules(class).then_some(slot)
    }

    /// Sections in which new settings differ beyond what may change in service: they need a restart.
    #[must_use]
    pub fn sections_needing_restart(&self, new: &ServiceSettings) -> Vec<&'static str> {
        let (a, b) = (&self.settings, &new.settings);
        let mut other = Vec::new();
        let mut note = |same: bool, what| other.extend((!same).then_some(what));
        note(
            (a.gateway_index, a.gateway_count, a.zone) == (b.gateway_index, b.gateway_count, b.zone),
            "me, group-size, zone",
        );
        note(a.clock_granularity_ms == b.clock_granularity_ms, "granularity-ms");
        note(a.plans == b.plans && self.names.plans == new.names.plans, "tariffs");
        note(self.names.zones == new.names.zones, "zones");
        let info = |s: &Settings| {
            (s.shared_counter, s.counter_timeout_ms, s.usage_meter_period_ms, s.max_request_units)
        };
        note(info(a) == info(b) && a.peer_messages_per_s == b.peer_messages_per_s, "family-info");
        note(self.names.load_fields == new.names.load_fields, "feedback");
        note((a.polls_endpoints, a.poll_within_ms) == (b.polls_endpoints, b.poll_within_ms), "registry-mode");
        note(a.cross_zone_cost == b.cross_zone_cost, "prices");
        note(a.drain_grace_ms == b.drain_grace_ms, "contract.stop-sending-within-ms");
        other
    }
}

fn no_slot_for(name: Option<&str>) -> SettingsError {
    SettingsError {
        field: format!("settings.profiles: {}", name.unwrap_or_default()),
        problem: "too many classes that open requests still hold",
    }
}

/// The first key that a value has and another lacks, with its path, as in `settings.profiles[1].aim-ms`.
/// Each entry of a list has to have what all entries of the list before have. `but` names keys that may be
/// missing.
#[must_use]
pub fn first_missing_key(before: &Value, after: &Value, at: &str, but: &[&str]) -> Option<String> {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            if but.contains(&key.as_str()) {
                return None;
            }
            let path = format!("{at}.{key}");
            match after.get(key) {
                Some(now) => first_missing_key(value, now, &path, but),
                None => Some(path),
            }
        }),
        (Value::Array(before), Value::Array(after)) => {
            let (first, others) = before.split_first()?;
            let all = others.iter().fold(first.clone(), |all, other| common(&all, other));
            let mut each = after.iter().enumerate();
            each.find_map(|(i, now)| first_missing_key(&all, now, &format!("{at}[{i}]"), but))
        }
        _ => None,
    }
}

/// The keys that two values share.
fn common(a: &Value, b: &Value) -> Value {
    match (a, b) {
        (Value::Object(a), Value::Object(b)) => {
            let both = a.iter().filter_map(|(key, a)| b.get(key).map(|b| (key.clone(), common(a, b))));
            Value::Object(both.collect())
        }
        _ => a.clone(),
    }
}
