//! The JSON that a gateway starts with, to [`Settings`]; the one reader for all programs.

use serde_json::Value;

use crate::interface::{Class, Effect, Group, Limits, LoadField, Plan, Settings, SettingsError, SlowStart};

/// Reads the settings from text.
///
/// # Errors
/// A [`SettingsError`] that names what is missing or of the wrong kind.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    read(&Keys::new("settings", &from_json("settings", text)?))
}

/// Reads JSON.
///
/// # Errors
/// A [`SettingsError`] in the name of `field` if `text` is not JSON.
pub fn from_json(field: &str, text: &[u8]) -> Result<Value, SettingsError> {
    serde_json::from_slice(text).map_err(|_| wrong(field.to_string(), "not JSON"))
}

/// How the settings name what the decisions know by number, and what they leave to the program.
#[derive(Clone, Debug)]
pub struct Names {
    /// Classes, by index.
    pub classes: Vec<String>,
    /// Plans, by index.
    pub plans: Vec<String>,
    /// Zones, by index.
    pub zones: Vec<String>,
    /// Values of load reports, in order.
    pub load_fields: Vec<String>,
    /// A backend closes a connection that has stood idle for this long.
    pub idle_close_ms: f64,
}

/// Reads the names.
///
/// # Errors
/// A [`SettingsError`] that names what is missing or of the wrong kind.
pub fn names(top: &Keys<'_>) -> Result<Names, SettingsError> {
    let named = |keys: &Keys<'_>| keys.text("name").map(str::to_string);
    Ok(Names {
        classes: top.each("profiles", named)?,
        plans: top.each("tariffs", named)?,
        zones: top.each("zones", |keys| keys.word().map(str::to_string))?,
        load_fields: top.section("feedback")?.each("fields", |keys| keys.word().map(str::to_string))?,
        idle_close_ms: top.section("policy-limits")?.number("idle-close-ms")?,
    })
}

/// Reads the settings.
///
/// # Errors
/// A [`SettingsError`] that names what is missing or of the wrong kind.
pub fn read(top: &Keys<'_>) -> Result<Settings, SettingsError> {
    let info = top.section("family-info")?;
    let limits = top.section("policy-limits")?;
    let contract = top.section("contract")?;
    let prices = top.section("prices")?;
    let feedback = top.section("feedback")?;
    let peers = limits.flag("may-tell")?;
    Ok(Settings {
        me: top.whole("me")?,
        gateways: top.whole("group-size")?,
        zone: top.whole("zone")?,
        tick_ms: top.number("granularity-ms")?,
        classes: top.each("profiles", class)?,
        plans: top.each("tariffs", plan)?,
        counter: info.flag("shared-counter")?,
        counter_timeout_ms: info.number("count-wait-ms")?,
        meter_ms: info.number("meter-period-ms")?,
        peer_messages_per_s: if peers { info.number("peer-intake")? } else { 0.0 },
        max_units: info.number("units-top")?,
        limits: Limits {
            max_attempts: limits.whole("max-attempts")?,
            cancel: limits.flag("cancel")?,
            hedges: limits.flag("second-copies")?,
            probes: limits.flag("probing")?,
            retry_advice: limits.flag("retry-after")?,
            max_retry_after_ms: limits.number("max-retry-after-ms")?,
            connect_timeout_ms: limits.number("connect-timeout-ms")?,
        },
        slow_start: SlowStart {
            start_capacity: contract.number("start-capacity")?,
            warm_up_ms: contract.number("warm-up-ms")?,
            tip_multiple: contract.number("tip-multiple")?,
            overload_for_ms: contract.number("overload-for-ms")?,
        },
        load_fields: feedback.each("fields", load_field)?,
        ask_for_list: top.text("registry-mode")? == "ask",
        ask_within_ms: contract.number("ask-within-ms")?,
        cross_zone_cost: prices.number("cross-zone")?,
    })
}

fn class(keys: &Keys<'_>) -> Result<Class, SettingsError> {
    Ok(Class {
        aim_ms: keys.number("aim-ms")?,
        deadline_ms: keys.number("deadline-ms")?,
        worth: keys.number("credit")?,
        late_worth: keys.number("late-worth")?,
        effect: match keys.text("effect")? {
            "read_like" => Effect::Safe,
            "idempotency_key" => Effect::Keyed,
            "non_idempotent" => Effect::Unsafe,
            _ => return Err(keys.wrong("effect", "unknown word")),
        },
        group: match keys.text("group")? {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            _ => return Err(keys.wrong("group", "unknown word")),
        },
        window_ms: keys.number("window-ms")?,
        streaming: keys.flag("streaming")?,
    })
}

fn plan(keys: &Keys<'_>) -> Result<Plan, SettingsError> {
    Ok(Plan {
        rate: keys.number("quota-rate")?,
        burst: keys.number("store-size")?,
        open: keys.whole("concurrency")?,
        ceiling_rate: keys.number("hard-rate")?,
        ceiling_burst: keys.number("cap-depth")?,
        value: keys.number("value-factor")?,
    })
}

fn load_field(keys: &Keys<'_>) -> Result<LoadField, SettingsError> {
    Ok(match keys.word()? {
        "active" => LoadField::Active,
        "waiting" => LoadField::Waiting,
        "cpu" => LoadField::Busy,
        "avg_ms" => LoadField::ServiceMs,
        _ => LoadField::Other,
    })
}

fn wrong(field: String, problem: &'static str) -> SettingsError {
    SettingsError { field, problem }
}

/// A JSON value and where it stands.
#[derive(Debug)]
pub struct Keys<'a> {
    at: String,
    value: &'a Value,
}

#[allow(missing_docs, clippy::missing_errors_doc)] // Each reads what its name says, or names the field.
impl<'a> Keys<'a> {
    #[must_use]
    pub fn new(at: &str, value: &'a Value) -> Self {
        Keys { at: at.to_string(), value }
    }

    #[must_use]
    pub fn wrong(&self, key: &str, problem: &'static str) -> SettingsError {
        wrong(format!("{}.{key}", self.at), problem)
    }

    pub fn get(&self, key: &str) -> Result<&'a Value, SettingsError> {
        self.value.get(key).ok_or_else(|| self.wrong(key, "missing"))
    }

    pub fn section(&self, key: &str) -> Result<Keys<'a>, SettingsError> {
        let value = self.get(key)?;
        if !value.is_object() {
            return Err(self.wrong(key, "a section is wanted"));
        }
        Ok(Keys { at: format!("{}.{key}", self.at), value })
    }

    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        self.get(key)?.as_f64().ok_or_else(|| self.wrong(key, "a number is wanted"))
    }

    pub fn whole(&self, key: &str) -> Result<u32, SettingsError> {
        let whole = self.get(key)?.as_u64().and_then(|n| u32::try_from(n).ok());
        whole.ok_or_else(|| self.wrong(key, "a whole number is wanted"))
    }

    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        self.get(key)?.as_bool().ok_or_else(|| self.wrong(key, "true or false is wanted"))
    }

    pub fn text(&self, key: &str) -> Result<&'a str, SettingsError> {
        self.get(key)?.as_str().ok_or_else(|| self.wrong(key, "a word is wanted"))
    }

    pub fn word(&self) -> Result<&'a str, SettingsError> {
        self.value.as_str().ok_or_else(|| wrong(self.at.clone(), "a word is wanted"))
    }

    pub fn each<T>(
        &self,
        key: &str,
        read: impl Fn(&Keys<'a>) -> Result<T, SettingsError>,
    ) -> Result<Vec<T>, SettingsError> {
        let list = self.get(key)?.as_array().ok_or_else(|| self.wrong(key, "a list is wanted"))?;
        let read = |(i, value)| read(&Keys { at: format!("{}.{key}[{i}]", self.at), value });
        list.iter().enumerate().map(read).collect()
    }
}
