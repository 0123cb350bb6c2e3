//! Reads [`Settings`] from the JSON with which a gateway starts. All programs use this reader.
//!
//! The keys are those of the protocol. They are mapped to the names of the interface here.

use std::cell::RefCell;

use serde_json::Value;

use crate::interface::{
    Class, DeduplicationScope, Idempotency, Limits, LoadField, Plan, Routing, Settings, SettingsError,
    SlowStart,
};

/// Over-quota penalty if the settings have none, as a fraction of a request's weight.
const DEFAULT_OVER_QUOTA_PENALTY: f64 = 0.5;
/// Maximum number of customer records, unless the program derives it from its memory budget.
const DEFAULT_MAX_CUSTOMERS: usize = 1 << 20;

/// Reads the settings from JSON text.
///
/// # Errors
/// A [`SettingsError`] with the path of a value that is missing or has the wrong type.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    read_settings(&SettingsReader::new("settings", &from_json("settings", text)?))
}

/// Parses JSON.
///
/// # Errors
/// A [`SettingsError`] for `field` if `text` is not JSON.
pub fn from_json(field: &str, text: &[u8]) -> Result<Value, SettingsError> {
    serde_json::from_slice(text).map_err(|_| error_at(field.to_string(), "not JSON"))
}

/// Names of the classes, plans, zones and load values that the decisions know by index, and a value that only
/// the surrounding program uses.
#[derive(Clone, Debug)]
pub struct SettingNames {
    /// Classes, by index; `None` for a retired class that open requests may still refer to.
    pub classes: Vec<Option<String>>,
    /// Plans, by index.
    pub plans: Vec<String>,
    /// Zones, by index.
    pub zones: Vec<String>,
    /// Values of a load report, in order.
    pub load_fields: Vec<String>,
    /// Time after which a backend closes an idle connection, ms.
    pub idle_close_ms: f64,
}

/// Reads the names.
///
/// # Errors
/// A [`SettingsError`] with the path of a value that is missing or has the wrong type.
pub fn read_names(top: &SettingsReader<'_>) -> Result<SettingNames, SettingsError> {
    let name = |keys: &SettingsReader<'_>| keys.text("name").map(str::to_string);
    let classes = top.list("profiles", name)?;
    // Requests refer to a class by its name, so names must be unique.
    let duplicate = classes.iter().enumerate().any(|(i, name)| classes[..i].contains(name));
    let unique = if duplicate { Err(top.invalid("profiles", "two have one name")) } else { Ok(()) };
    top.recover(unique, ())?;
    Ok(SettingNames {
        classes: classes.into_iter().map(Some).collect(),
        plans: top.list("tariffs", name)?,
        zones: top.list("zones", |keys| keys.own_text().map(str::to_string))?,
        load_fields: top.section("feedback")?.list("fields", |keys| keys.own_text().map(str::to_string))?,
        idle_close_ms: top.section("policy-limits")?.number("idle-close-ms")?,
    })
}

/// Reads the settings.
///
/// # Errors
/// A [`SettingsError`] with the path of a value that is missing or has the wrong type.
pub fn read_settings(top: &SettingsReader<'_>) -> Result<Settings, SettingsError> {
    let info = top.section("family-info")?;
    let limits = top.section("policy-limits")?;
    let contract = top.section("contract")?;
    let prices = top.section("prices")?;
    let feedback = top.section("feedback")?;
    let peer_messages = limits.boolean("may-tell")?;
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
        peer_messages_per_s: if peer_messages { info.number("peer-intake")? } else { 0.0 },
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
        max_customers: DEFAULT_MAX_CUSTOMERS,
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

/// Value of a missing section, so that reading can continue after the error.
static MISSING_SECTION: Value = Value::Null;

/// Reads a JSON value and reports errors with its path.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    path: String,
    value: &'a Value,
    /// Collects the errors, if reading continues after them.
    errors: Option<&'a RefCell<Vec<SettingsError>>>,
}

// All methods fail for the same reason: the value is missing or has the wrong type. The error has its path.
#[allow(clippy::missing_errors_doc)]
impl<'a> SettingsReader<'a> {
    /// Creates a reader of `value`, whose path is `path`. Reading ends at the first error.
    #[must_use]
    pub fn new(path: &str, value: &'a Value) -> Self {
        SettingsReader { path: path.to_string(), value, errors: None }
    }

    /// Creates a reader that continues after errors: each error is added to `errors`, and a placeholder takes
    /// the place of the value.
    #[must_use]
    pub fn collecting(path: &str, value: &'a Value, errors: &'a RefCell<Vec<SettingsError>>) -> Self {
        SettingsReader { path: path.to_string(), value, errors: Some(errors) }
    }

    /// Returns the result. If errors are collected, an error is added to them and replaced by `placeholder`.
    pub fn recover<T>(&self, result: Result<T, SettingsError>, placeholder: T) -> Result<T, SettingsError> {
        match (result, self.errors) {
            (Err(e), Some(errors)) => {
                // The keys of a missing section are not reported in addition to the section.
                if !self.value.is_null() {
                    errors.borrow_mut().push(e);
                }
                Ok(placeholder)
            }
            (result, _) => result,
        }
    }

    /// Whether no errors were collected so far.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.errors.is_none_or(|errors| errors.borrow().is_empty())
    }

    fn child(&self, key: &str, value: &'a Value) -> SettingsReader<'a> {
        SettingsReader { path: format!("{}.{key}", self.path), value, errors: self.errors }
    }

    /// Creates an error for a key of this value.
    #[must_use]
    pub fn invalid(&self, key: &str, problem: &'static str) -> SettingsError {
        error_at(format!("{}.{key}", self.path), problem)
    }

    /// Returns a required value.
    pub fn get(&self, key: &str) -> Result<&'a Value, SettingsError> {
        self.value.get(key).ok_or_else(|| self.invalid(key, "missing"))
    }

    /// Returns an optional value.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key)
    }

    /// Returns a reader of an object.
    pub fn section(&self, key: &str) -> Result<SettingsReader<'a>, SettingsError> {
        let section = self.get(key).and_then(|value| {
            if value.is_object() {
                Ok(value)
            } else {
                Err(self.invalid(key, "a section is wanted"))
            }
        });
        Ok(self.child(key, self.recover(section, &MISSING_SECTION)?))
    }

    fn read<T>(
        &self,
        key: &str,
        placeholder: T,
        problem: &'static str,
        convert: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        self.recover(
            self.get(key).and_then(|value| convert(value).ok_or_else(|| self.invalid(key, problem))),
            placeholder,
        )
    }

    /// Returns a number.
    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        self.read(key, 1.0, "a number is wanted", Value::as_f64)
    }

    /// Returns an unsigned 32-bit integer.
    pub fn integer(&self, key: &str) -> Result<u32, SettingsError> {
        let integer = |value: &Value| value.as_u64().and_then(|n| u32::try_from(n).ok());
        self.read(key, 1, "a whole number is wanted", integer)
    }

    /// Returns a boolean.
    pub fn boolean(&self, key: &str) -> Result<bool, SettingsError> {
        self.read(key, false, "true or false is wanted", Value::as_bool)
    }

    /// Returns a string.
    pub fn text(&self, key: &str) -> Result<&'a str, SettingsError> {
        self.read(key, "", "a word is wanted", Value::as_str)
    }

    /// Returns the value itself as a string.
    pub fn own_text(&self) -> Result<&'a str, SettingsError> {
        let text = self.value.as_str().ok_or_else(|| error_at(self.path.clone(), "a word is wanted"));
        self.recover(text, "")
    }

    /// Returns the entries of a list, each read by `read`.
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
            let item = read(&self.child(&format!("{key}[{i}]"), value)).map(Some);
            all.extend(self.recover(item, None)?);
        }
        Ok(all)
    }
}
