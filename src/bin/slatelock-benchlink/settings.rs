//! The JSON that a gateway starts with, to [`Settings`].

use serde_json::Value;
use slatelock::interface::{Class, Effect, Group, Limits, LoadField, Plan, Settings, SlowStart};

/// Reads the settings; the error names what is missing or of the wrong kind.
pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("settings: not JSON: {e}"))?;
    let top = Keys { at: "settings".to_string(), value: &value };
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

fn class(keys: &Keys<'_>) -> Result<Class, String> {
    Ok(Class {
        aim_ms: keys.number("aim-ms")?,
        deadline_ms: keys.number("deadline-ms")?,
        worth: keys.number("credit")?,
        late_worth: keys.number("late-worth")?,
        effect: match keys.text("effect")? {
            "read_like" => Effect::Safe,
            "idempotency_key" => Effect::Keyed,
            "non_idempotent" => Effect::Unsafe,
            other => return Err(format!("{}.effect: unknown word {other:?}", keys.at)),
        },
        group: match keys.text("group")? {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(format!("{}.group: unknown word {other:?}", keys.at)),
        },
        window_ms: keys.number("window-ms")?,
        streaming: keys.flag("streaming")?,
    })
}

fn plan(keys: &Keys<'_>) -> Result<Plan, String> {
    Ok(Plan {
        rate: keys.number("quota-rate")?,
        burst: keys.number("store-size")?,
        open: keys.whole("concurrency")?,
        ceiling_rate: keys.number("hard-rate")?,
        ceiling_burst: keys.number("cap-depth")?,
        value: keys.number("value-factor")?,
    })
}

fn load_field(keys: &Keys<'_>) -> Result<LoadField, String> {
    let word = keys.value.as_str().ok_or_else(|| format!("{}: a word is wanted", keys.at))?;
    Ok(match word {
        "active" => LoadField::Active,
        "waiting" => LoadField::Waiting,
        "cpu" => LoadField::Busy,
        "avg_ms" => LoadField::ServiceMs,
        _ => LoadField::Other,
    })
}

/// A JSON value and where it stands.
struct Keys<'a> {
    at: String,
    value: &'a Value,
}

impl<'a> Keys<'a> {
    fn get(&self, key: &str) -> Result<&'a Value, String> {
        self.value.get(key).ok_or_else(|| format!("{}.{key}: missing", self.at))
    }

    fn section(&self, key: &str) -> Result<Keys<'a>, String> {
        let value = self.get(key)?;
        if !value.is_object() {
            return Err(format!("{}.{key}: a section is wanted", self.at));
        }
        Ok(Keys { at: format!("{}.{key}", self.at), value })
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        self.get(key)?.as_f64().ok_or_else(|| format!("{}.{key}: a number is wanted", self.at))
    }

    fn whole(&self, key: &str) -> Result<u32, String> {
        let whole = self.get(key)?.as_u64().and_then(|n| u32::try_from(n).ok());
        whole.ok_or_else(|| format!("{}.{key}: a whole number is wanted", self.at))
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        self.get(key)?.as_bool().ok_or_else(|| format!("{}.{key}: true or false is wanted", self.at))
    }

    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.get(key)?.as_str().ok_or_else(|| format!("{}.{key}: a word is wanted", self.at))
    }

    fn each<T>(&self, key: &str, read: impl Fn(&Keys<'a>) -> Result<T, String>) -> Result<Vec<T>, String> {
        let list = self.get(key)?.as_array();
        let list = list.ok_or_else(|| format!("{}.{key}: a list is wanted", self.at))?;
        let read = |(i, value)| read(&Keys { at: format!("{}.{key}[{i}]", self.at), value });
        list.iter().enumerate().map(read).collect()
    }
}
