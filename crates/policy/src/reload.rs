//! Settings that change in service. No I/O, no clock.
//!
//! Classes stand in a table. A place keeps its class for as long as a request may hold it, so that an open
//! one goes by what it came with; a class that changed gets another place.

use serde_json::Value;

use crate::interface::{Settings, SettingsError};
use crate::settings::SettingNames;

/// The most places of the table: classes, and those that open requests still hold.
pub const MAX_CLASSES: usize = 256;

/// Settings and the names in them.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// What the decisions go by.
    pub settings: Settings,
    /// How it is named.
    pub names: SettingNames,
}

impl ServiceSettings {
    /// These terms with what may change in service taken from new ones. `free` tells of a place whose class
    /// was dropped whether no request can hold it any more.
    ///
    /// # Errors
    /// The class for which the table has no place; nothing is changed.
    pub fn reloaded(
        &self,
        new: &ServiceSettings,
        free: impl Fn(usize) -> bool,
    ) -> Result<ServiceSettings, SettingsError> {
        let (mut settings, mut names) = (self.settings.clone(), self.names.clone());
        (settings.limits, settings.slow_start) =
            (new.settings.limits.clone(), new.settings.slow_start.clone());
        names.idle_close_ms = new.names.idle_close_ms;
        // Those that are free now, and not by this change: a request may be on its way with one of them.
        let mut spare: Vec<usize> =
            (0..names.classes.len()).filter(|i| names.classes[*i].is_none() && free(*i)).collect();
        spare.reverse();
        let mut named = vec![None; names.classes.len()];
        let mut fresh = Vec::new();
        for (name, class) in new.names.classes.iter().zip(&new.settings.classes) {
            let held = self.names.classes.iter().position(|n| n == name);
            match held.filter(|i| self.settings.classes[*i].same_rules(class)) {
                Some(place) => named[place] = name.clone(),
                None => fresh.push((name, class)),
            }
        }
        for (name, class) in fresh {
            let place = spare.pop().unwrap_or(named.len());
            if place >= MAX_CLASSES {
                let field = format!("settings.profiles: {}", name.as_deref().unwrap_or_default());
                return Err(SettingsError {
                    field,
                    problem: "too many classes that open requests still hold",
                });
            }
            if place == named.len() {
                named.push(None);
                settings.classes.push(class.clone());
            }
            (named[place], settings.classes[place]) = (name.clone(), class.clone());
        }
        names.classes = named;
        for (class, name) in settings.classes.iter_mut().zip(&names.classes) {
            class.retired = name.is_none();
        }
        settings.validate()?;
        Ok(ServiceSettings { settings, names })
    }

    /// Sections in which new terms differ beyond what may change in service: they need a restart.
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

/// The first key that a value has and another lacks, with its place, as in `settings.profiles[1].aim-ms`.
/// Each entry of a list has to have what all entries of the list before have. `but` names keys that may be
/// missing.
#[must_use]
pub fn first_missing_key(before: &Value, after: &Value, at: &str, but: &[&str]) -> Option<String> {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            if but.contains(&key.as_str()) {
                return None;
            }
            let place = format!("{at}.{key}");
            match after.get(key) {
                Some(now) => first_missing_key(value, now, &place, but),
                None => Some(place),
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
