//! Reads [`Settings`] from the JSON that a gateway starts with. All programs read it here.
//!
//! The keys are those of the protocol; here they are mapped to the names of the interface.

use std::cell::RefCell;

use serde_json::Value;

use crate::interface::{
    Class, DeduplicationScope, Idempotency, Limits, LoadField, Plan, Routing, Settings, SettingsError,
    SlowStart,
};

/// The over-quota penalty, as a part of a request's weight, where the settings have none.
const DEFAULT_OVER_QUOTA_PENALTY: f64 = 0.5;
/// Customers whose record is kept, at most, unless the program sets it by its memory.
const DEFAULT_CUSTOMERS: usize = 1 << 20;

/// Reads the settings from text.
///
/// # Errors
/// A [`SettingsError`] that names what is missing or of the wrong kind.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    read_settings(&SettingsReader::new("settings", &from_json("settings", text)?))
}

/// Reads JSON.
///
/// # Errors
/// A [`SettingsError`] in the name of `field` if `text` is not JSON.
pub fn from_json(field: &str, text: &[u8]) -> Result<Value, SettingsError> {
    serde_json::from_slice(text).map_err(|_| error_at(field.to_string(), "not JSON"))
}

/// How the settings name what the decisions know by number, and what they leave to the program.
#[derive(Clone, Debug)]
pub struct SettingNames {
    /// Classes, by index; none where the class was dropped and open requests may still hold it.
    pub classes: Vec<Option<String>>,
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
pub fn read_names(top: &SettingsReader<'_>) -> Result<SettingNames, SettingsError> {
    let named = |keys: &SettingsReader<'_>| keys.text("name").map(str::to_string);
    let classes = top.list("profiles", named)?;
    // Requests name their class, so that two of one name could not be told apart.
    let twice = classes.iter().enumerate().any(|(i, name)| classes[..i].contains(name));
    let distinct = if twice { Err(top.invalid("profiles", "two have one name")) } else { Ok(()) };
    top.recover(distinct, ())?;
    Ok(SettingNames {
        classes: classes.into_iter().map(Some).collect(),
        plans: top.list("tariffs", named)?,
        zones: top.list("zones", |keys| keys.own_text().map(str::to_string))?,
        load_fields: top.section("feedback")?.list("fields", |keys| keys.own_text().map(str::to_string))?,
        idle_close_ms: top.section("policy-limits")?.number("idle-close-ms")?,
    })
}

/// Reads the settings.
///
/// # Errors
/// A [`SettingsError`] that names what is missing or of the wrong kind.
pub fn read_settings(top: &SettingsReader<'_>) -> Result<Settings, SettingsError> {
    let info = top.section("family-info")?;
    let limits = top.section("policy-limits")?;
    let contract = top.section("contract")?;
    let prices = top.section("prices")?;
    let feedback = top.section("feedback")?;
    let peers = limits.boolean("may-tell")?;
    Ok(Settings {
        gateway_index: top.integer("me")?,
        gateway_count: top.integer("group-size")?,
        zone: top.integer("zone")?,
        clock_granularity_ms: top.number("granularity-ms")?,
        classes: top.list("profiles", class)?,
        plans: top.list("tariffs", plan)?,
        shared_counter: info.boolean("shared-counter")?,
        counter_timeout_ms: info.number("count-wait-ms")?,
        usage_meter_period_ms: info.number("meter-period-ms")?,
        peer_messages_per_s: if peers { info.number("peer-intake")? } else { 0.0 },
        max_request_units: info.number("units-top")?,
        limits: Limits {
            max_attempts: limits.integer("max-attempts")?,
            cancel: limits.boolean("cancel")?,
            hedges: limits.boolean("second-copies")?,
            probes: limits.boolean("probing")?,
            retry_advice: limits.boolean("retry-after")?,
            max_retry_after_ms: limits.number("max-retry-after-ms")?,
            connect_timeout_ms: limits.number("connect-timeout-ms")?,
        },
        slow_start: SlowStart {
            initial_capacity: contract.number("start-capacity")?,
            warm_up_ms: contract.number("warm-up-ms")?,
            overload_multiple: contract.number("tip-multiple")?,
            overload_window_ms: contract.number("overload-for-ms")?,
        },
        routing: Routing::default(),
        max_customers: DEFAULT_CUSTOMERS,
        load_fields: feedback.list("fields", load_field)?,
        polls_endpoints: top.text("registry-mode")? == "ask",
        poll_within_ms: contract.number("ask-within-ms")?,
        drain_grace_ms: contract.number("stop-sending-within-ms")?,
        cross_zone_cost: prices.number("cross-zone")?,
    })
}

fn class(keys: &SettingsReader<'_>) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective_ms: keys.number("aim-ms")?,
        deadline_ms: keys.number("deadline-ms")?,
        priority_weight: keys.number("credit")?,
        late_weight: keys.number("late-worth")?,
        idempotency: match keys.text("effect")? {
            "read_like" => Idempotency::Idempotent,
            "idempotency_key" => Idempotency::Keyed,
            "non_idempotent" => Idempotency::NonIdempotent,
            _ => return Err(keys.invalid("effect", "unknown word")),
        },
        deduplication_scope: match keys.text("group")? {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => return Err(keys.invalid("group", "unknown word")),
        },
        deduplication_window_ms: keys.number("window-ms")?,
        streaming: keys.boolean("streaming")?,
        retired: false,
    })
}

fn plan(keys: &SettingsReader<'_>) -> Result<Plan, SettingsError> {
    Ok(Plan {
        rate: keys.number("quota-rate")?,
        burst: keys.number("store-size")?,
        max_in_flight: keys.integer("concurrency")?,
        ceiling_rate: keys.number("hard-rate")?,
        ceiling_burst: keys.number("cap-depth")?,
        over_quota_penalty: over_quota_penalty(keys)?,
        weight_factor: keys.number("value-factor")?,
    })
}

fn over_quota_penalty(keys: &SettingsReader<'_>) -> Result<f64, SettingsError> {
    match keys.value("over-cost") {
        Some(_) => keys.number("over-cost"),
        None => Ok(DEFAULT_OVER_QUOTA_PENALTY),
    }
}

fn load_field(keys: &SettingsReader<'_>) -> Result<LoadField, SettingsError> {
    Ok(match keys.own_text()? {
        "active" => LoadField::Active,
        "waiting" => LoadField::Waiting,
        "cpu" => LoadField::Busy,
        "avg_ms" => LoadField::ServiceMs,
        _ => LoadField::Other,
    })
}

fn error_at(field: String, problem: &'static str) -> SettingsError {
    SettingsError { field, problem }
}

/// Stands for a section that is missing.
static NOTHING: Value = Value::Null;

/// A JSON value and where it stands.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    at: String,
    value: &'a Value,
    /// Where errors go while reading goes on, if it is to.
    sink: Option<&'a RefCell<Vec<SettingsError>>>,
}

// Each names the field in its error, if the value is missing or of another kind.
#[allow(clippy::missing_errors_doc)]
impl<'a> SettingsReader<'a> {
    /// Reads `value`, which errors name `at`; the first error ends it.
    #[must_use]
    pub fn new(at: &str, value: &'a Value) -> Self {
        SettingsReader { at: at.to_string(), value, sink: None }
    }

    /// Reads on past errors, so that each is found: they go to `sink`, and something stands in for the value.
    #[must_use]
    pub fn collecting(at: &str, value: &'a Value, sink: &'a RefCell<Vec<SettingsError>>) -> Self {
        SettingsReader { at: at.to_string(), value, sink: Some(sink) }
    }

    /// A result, or what stands in for it where errors are collected.
    pub fn recover<T>(&self, result: Result<T, SettingsError>, instead: T) -> Result<T, SettingsError> {
        match (result, self.sink) {
            (Err(e), Some(sink)) => {
                // What is in a section that is missing is not missing by itself.
                if !self.value.is_null() {
                    sink.borrow_mut().push(e);
                }
                Ok(instead)
            }
            (result, _) => result,
        }
    }

    /// Whether no error was found so far.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.sink.is_none_or(|sink| sink.borrow().is_empty())
    }

    fn at(&self, key: &str, value: &'a Value) -> SettingsReader<'a> {
        SettingsReader { at: format!("{}.{key}", self.at), value, sink: self.sink }
    }

    /// An error in the name of a key.
    #[must_use]
    pub fn invalid(&self, key: &str, problem: &'static str) -> SettingsError {
        error_at(format!("{}.{key}", self.at), problem)
    }

    /// A value that must be there.
    pub fn get(&self, key: &str) -> Result<&'a Value, SettingsError> {
        self.value.get(key).ok_or_else(|| self.invalid(key, "missing"))
    }

    /// A value that may be missing.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key)
    }

    /// An object.
    pub fn section(&self, key: &str) -> Result<SettingsReader<'a>, SettingsError> {
        let section = self.get(key).and_then(|value| {
            if value.is_object() {
                Ok(value)
            } else {
                Err(self.invalid(key, "a section is wanted"))
            }
        });
        Ok(self.at(key, self.recover(section, &NOTHING)?))
    }

    fn read<T>(
        &self,
        key: &str,
        instead: T,
        wanted: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        self.recover(
            self.get(key).and_then(|value| read(value).ok_or_else(|| self.invalid(key, wanted))),
            instead,
        )
    }

    /// A number.
    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        self.read(key, 1.0, "a number is wanted", Value::as_f64)
    }

    /// A whole number of 32 bits.
    pub fn integer(&self, key: &str) -> Result<u32, SettingsError> {
        let whole = |value: &Value| value.as_u64().and_then(|n| u32::try_from(n).ok());
        self.read(key, 1, "a whole number is wanted", whole)
    }

    /// True or false.
    pub fn boolean(&self, key: &str) -> Result<bool, SettingsError> {
        self.read(key, false, "true or false is wanted", Value::as_bool)
    }

    /// A string.
    pub fn text(&self, key: &str) -> Result<&'a str, SettingsError> {
        self.read(key, "", "a word is wanted", Value::as_str)
    }

    /// The value itself, as a string.
    pub fn own_text(&self) -> Result<&'a str, SettingsError> {
        let word = self.value.as_str().ok_or_else(|| error_at(self.at.clone(), "a word is wanted"));
        self.recover(word, "")
    }

    /// The entries of a list, each read by `read`.
    pub fn list<T>(
        &self,
        key: &str,
        read: impl Fn(&SettingsReader<'a>) -> Result<T, SettingsError>,
    ) -> Result<Vec<T>, SettingsError> {
        let list =
            self.get(key).and_then(|v| v.as_array().ok_or_else(|| self.invalid(key, "a list is wanted")));
        let list = self.recover(list.map(Vec::as_slice), &[])?;
        let mut all = Vec::with_capacity(list.len());
        for (i, value) in list.iter().enumerate() {
            let item = read(&self.at(&format!("{key}[{i}]"), value)).map(Some);
            all.extend(self.recover(item, None)?);
        }
        Ok(all)
    }
}
