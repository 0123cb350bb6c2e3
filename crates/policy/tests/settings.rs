//! Reading of settings: every value, and the exact text of every error.

use std::cell::RefCell;

use gateway_policy::interface::*;
use gateway_policy::settings;
use serde_json::{json, Value};

const CONFIGURATION: &str = include_str!("data/configuration.json");
const RECORDED_ERRORS: &str = include_str!("data/settings_errors.txt");

fn sample() -> Value {
    let configuration: Value = serde_json::from_str(CONFIGURATION).expect("JSON");
    configuration["settings"].clone()
}

fn read(settings: &Value) -> Result<(Settings, settings::SettingNames), SettingsError> {
    let keys = settings::SettingsReader::new("settings", settings);
    let read = settings::read_settings(&keys)?;
    read.validate()?;
    Ok((read, settings::read_names(&keys)?))
}

#[test]
fn every_value_of_the_sample_is_read() {
    let (read, names) = read(&sample()).expect("valid settings");
    assert_eq!(
        (read.gateway_index, read.gateway_count, read.zone, read.clock_granularity_ms),
        (3, 12, 1, 4.5)
    );
    assert_eq!(
        (read.shared_counter, read.counter_timeout_ms, read.usage_meter_period_ms),
        (true, 30.5, 250.0)
    );
    assert_eq!((read.peer_messages_per_s, read.max_request_units), (12.5, 8.0));
    assert_eq!((read.polls_endpoints, read.poll_within_ms), (true, 10_000.5));
    assert_eq!((read.drain_grace_ms, read.cross_zone_cost), (500.75, 0.03));
    assert_eq!(read.max_customers, 1 << 20);

    let limits = &read.limits;
    assert_eq!((limits.max_attempts, limits.cancel, limits.hedges), (5, true, true));
    assert_eq!((limits.probes, limits.retry_advice), (true, true));
    assert_eq!((limits.max_retry_after_ms, limits.connect_timeout_ms), (2_001.0, 251.0));

    let slow_start = &read.slow_start;
    assert_eq!((slow_start.initial_capacity, slow_start.warm_up_ms), (0.2, 16_000.0));
    assert_eq!((slow_start.overload_multiple, slow_start.overload_window_ms), (3.5, 3_000.25));

    assert_eq!(read.routing, Routing { scan_all_up_to: 16, choices: 8, subset_size: 5, coverage: 3 });
    let fields =
        [LoadField::Active, LoadField::Waiting, LoadField::Busy, LoadField::ServiceMs, LoadField::Other];
    assert_eq!(read.load_fields, fields);
    assert_eq!(names.load_fields, ["active", "waiting", "cpu", "avg_ms", "queue_age"]);
    assert_eq!(names.zones, ["a", "b", "c"]);
    assert_eq!(names.plans, ["team", "free"]);
    assert_eq!(names.classes, ["lookup", "order", "note", "pay"].map(|name| Some(name.to_string())));
    assert_eq!(names.idle_close_ms, 15_000.0);
}

#[test]
fn every_value_of_a_class_is_read() {
    let (read, _) = read(&sample()).expect("valid settings");
    let lookup = Class {
        latency_objective_ms: 120.0,
        deadline_ms: 480.0,
        priority_weight: 1.5,
        late_weight: 0.2,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window_ms: 0.0,
        streaming: false,
        retired: false,
    };
    let order = Class {
        latency_objective_ms: 300.0,
        deadline_ms: 1_500.0,
        priority_weight: 3.0,
        late_weight: 0.4,
        idempotency: Idempotency::Keyed,
        deduplication_scope: DeduplicationScope::Zone,
        deduplication_window_ms: 5_000.0,
        streaming: false,
        retired: false,
    };
    let note = Class {
        latency_objective_ms: 310.0,
        deadline_ms: 1_600.0,
        priority_weight: 2.0,
        late_weight: 0.0,
        idempotency: Idempotency::Keyed,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window_ms: 4_000.0,
        streaming: true,
        retired: false,
    };
    let pay = Class {
        latency_objective_ms: 500.0,
        deadline_ms: 2_500.0,
        priority_weight: 4.25,
        late_weight: 0.1,
        idempotency: Idempotency::NonIdempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window_ms: 1.0,
        streaming: false,
        retired: false,
    };
    assert_eq!(read.classes, [lookup, order, note, pay]);
}

#[test]
fn every_value_of_a_plan_is_read() {
    let (read, _) = read(&sample()).expect("valid settings");
    let team = Plan {
        rate: 10.0,
        burst: 45.0,
        max_in_flight: 7,
        ceiling_rate: 30.0,
        ceiling_burst: 90.0,
        over_quota_penalty: 0.25,
        weight_factor: 1.25,
    };
    let free = Plan {
        rate: 2.0,
        burst: 16.0,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        over_quota_penalty: 0.5,
        weight_factor: 0.5,
    };
    assert_eq!(read.plans, [team, free]);
}

#[test]
fn peer_messages_are_zero_if_peers_may_not_send_any() {
    let mut settings = sample();
    settings["policy-limits"]["may-tell"] = json!(false);
    assert_eq!(read(&settings).expect("valid settings").0.peer_messages_per_s, 0.0);
}

#[test]
fn flags_are_read_from_their_own_keys() {
    let flags = |settings: &Value| {
        let read = read(settings).expect("valid settings").0;
        let limits = &read.limits;
        [
            limits.cancel,
            limits.hedges,
            limits.probes,
            limits.retry_advice,
            read.shared_counter,
            read.polls_endpoints,
        ]
    };
    let paths = [
        "/policy-limits/cancel",
        "/policy-limits/second-copies",
        "/policy-limits/probing",
        "/policy-limits/retry-after",
        "/family-info/shared-counter",
        "/registry-mode",
    ];
    for (number, path) in paths.iter().enumerate() {
        let mut settings = sample();
        let off = if *path == "/registry-mode" { json!("push") } else { json!(false) };
        *settings.pointer_mut(path).expect("a path of the sample") = off;
        let mut expected = [true; 6];
        expected[number] = false;
        assert_eq!(flags(&settings), expected, "{path}");
    }
}

/// Collects the JSON pointers of all values below `value`, sorted.
fn paths(value: &Value, path: &str, into: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(i, value)| (i.to_string(), value)).collect(),
        _ => Vec::new(),
    };
    for (key, child) in children {
        let path = format!("{path}/{key}");
        paths(child, &path, into);
        into.push(path);
    }
    into.sort();
}

fn remove(settings: &mut Value, path: &str) {
    let (parent, key) = path.rsplit_once('/').expect("a pointer");
    match settings.pointer_mut(parent).expect("a path of the sample") {
        Value::Object(object) => drop(object.remove(key)),
        Value::Array(list) => drop(list.remove(key.parse().expect("an index"))),
        other => panic!("{path} is below {other}"),
    }
}

fn outcome(settings: &Value) -> String {
    read(settings).map_or_else(|error| error.to_string(), |_| "read".to_string())
}

/// Removes and replaces each value of the sample in turn. Returns the result of reading, one line each.
fn outcomes_of_changes() -> Vec<String> {
    let sample = sample();
    let mut all = Vec::new();
    paths(&sample, "", &mut all);
    let replacements =
        [json!(null), json!("word"), json!(true), json!([]), json!({}), json!(-1), json!(0), json!(1.5)];
    let mut lines = Vec::new();
    for path in &all {
        let mut settings = sample.clone();
        remove(&mut settings, path);
        lines.push(format!("{path} removed: {}", outcome(&settings)));
        for replacement in &replacements {
            let mut settings = sample.clone();
            *settings.pointer_mut(path).expect("a path of the sample") = replacement.clone();
            lines.push(format!("{path} = {replacement}: {}", outcome(&settings)));
        }
    }
    lines
}

#[test]
fn errors_of_changed_values_match_the_recording() {
    let recorded: Vec<&str> = RECORDED_ERRORS.lines().collect();
    let outcomes = outcomes_of_changes();
    for (outcome, recorded) in outcomes.iter().zip(&recorded) {
        assert_eq!(outcome, recorded);
    }
    assert_eq!(outcomes.len(), recorded.len());
}

#[test]
fn errors_of_invalid_json_and_duplicate_names_are_exact() {
    let error = |text: &str| settings::parse(text.as_bytes()).expect_err("invalid").to_string();
    assert_eq!(error(""), "setting settings: not JSON");
    assert_eq!(error("{"), "setting settings: not JSON");
    assert_eq!(error("[]"), "setting settings.family-info: missing");
    assert_eq!(error("{}"), "setting settings.family-info: missing");
    let not_json = settings::from_json("known", b"nothing").expect_err("invalid");
    assert_eq!(not_json.to_string(), "setting known: not JSON");
    let mut duplicate = sample();
    duplicate["profiles"][2]["name"] = json!("lookup");
    assert_eq!(outcome(&duplicate), "setting settings.profiles: two have one name");
}

#[test]
fn collecting_reader_reports_each_error_once() {
    let collected = |settings: &Value| -> Vec<String> {
        let errors = RefCell::new(Vec::new());
        let keys = settings::SettingsReader::collecting("settings", settings, &errors);
        assert!(settings::read_settings(&keys).is_ok() && settings::read_names(&keys).is_ok());
        assert!(!keys.is_valid());
        errors.into_inner().iter().map(ToString::to_string).collect()
    };
    let mut settings = sample();
    for path in ["/prices", "/policy-limits/cancel", "/profiles/1/aim-ms", "/tariffs/0/quota-rate", "/me"] {
        remove(&mut settings, path);
    }
    settings["profiles"][3]["group"] = json!("planet");
    settings["zones"] = json!(["a", 2]);
    let expected = [
        "setting settings.prices: missing",
        "setting settings.me: missing",
        "setting settings.profiles[1].aim-ms: missing",
        "setting settings.profiles[3].group: unknown word",
        "setting settings.tariffs[0].quota-rate: missing",
        "setting settings.policy-limits.cancel: missing",
        "setting settings.zones[1]: a word is wanted",
    ];
    assert_eq!(collected(&settings), expected);
}
