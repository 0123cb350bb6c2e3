//! Reloading of settings in service: slots of classes, and missing keys.

use gateway_policy::reload::{first_missing_key, ServiceSettings, MAX_CLASSES};
use gateway_policy::settings;
use proptest::prelude::*;
use serde_json::{json, Value};

/// Returns settings with classes, each given by the number in its name, its deadline and whether it is
/// idempotent.
fn settings_json(classes: &[(usize, u32, bool)], attempts: u32) -> Value {
    let class = |(name, deadline, idempotent): &(usize, u32, bool)| {
        json!({"name": format!("c{name}"), "aim-ms": 100.0, "deadline-ms": deadline, "credit": 1.0,
               "late-worth": 0.0, "effect": if *idempotent { "read_like" } else { "non_idempotent" },
               "group": "all", "window-ms": 0.0, "streaming": false})
    };
    json!({
        "contract": {"ask-within-ms": 1.0, "overload-for-ms": 1.0, "start-capacity": 0.2,
                     "stop-sending-within-ms": 500.0,
                     "tip-multiple": 3.0, "warm-up-ms": 1.0},
        "family-info": {"count-wait-ms": 1.0, "meter-period-ms": 0.0, "peer-intake": 0.0,
                        "shared-counter": true, "units-top": 8},
        "feedback": {"fields": []}, "granularity-ms": 4.0, "group-size": 2, "me": 0,
        "policy-limits": {"cancel": true, "connect-timeout-ms": 5.0, "idle-close-ms": 15.0,
                          "max-attempts": attempts, "max-retry-after-ms": 2.0, "may-tell": false,
                          "probing": true, "retry-after": true, "second-copies": false},
        "prices": {"cross-zone": 0.0}, "registry-mode": "push", "tariffs": [], "zone": 0,
        "profiles": classes.iter().map(class).collect::<Vec<_>>(), "zones": ["room"]
    })
}

fn service_settings(json: &Value) -> Result<ServiceSettings, String> {
    let keys = settings::SettingsReader::new("settings", json);
    let read = settings::read_settings(&keys).and_then(|settings| {
        settings.validate()?;
        Ok(ServiceSettings { names: settings::read_names(&keys)?, settings })
    });
    read.map_err(|e| e.to_string())
}

/// Returns the classes that requests can use: name, deadline and whether they are idempotent.
fn usable_classes(service: &ServiceSettings) -> Vec<(String, f64, bool)> {
    let all = service.names.classes.iter().zip(&service.settings.classes);
    let idempotent = |c: &gateway_policy::interface::Class| {
        c.idempotency == gateway_policy::interface::Idempotency::Idempotent
    };
    let mut usable: Vec<_> =
        all.filter_map(|(n, c)| Some((n.clone()?, c.deadline_ms, idempotent(c)))).collect();
    usable.sort_by(|a, b| a.0.cmp(&b.0));
    usable
}

#[test]
fn changed_class_gets_a_new_slot_and_the_old_one_stays() {
    let one = service_settings(&settings_json(&[(0, 100, true), (1, 200, true)], 3)).expect("valid");
    let two = service_settings(&settings_json(&[(1, 200, false), (2, 300, true)], 5)).expect("valid");
    let changed = one.reloaded(&two, |_| false).expect("a free slot");
    let names: Vec<Option<&str>> = changed.names.classes.iter().map(Option::as_deref).collect();
    assert_eq!(names, [None, None, Some("c1"), Some("c2")]);
    assert!(changed.settings.classes[0].same_rules(&one.settings.classes[0]));
    assert!(changed.settings.classes[0].retired && !changed.settings.classes[2].retired);
    assert_eq!(changed.settings.limits.max_attempts, 5);
    // A slot that no request can refer to is reused; a slot that one may refer to is not.
    let three =
        service_settings(&settings_json(&[(1, 200, false), (2, 300, true), (3, 1, true), (4, 1, true)], 5))
            .expect("valid");
    let again = changed.reloaded(&three, |slot| slot == 1).expect("a free slot");
    let names: Vec<Option<&str>> = again.names.classes.iter().map(Option::as_deref).collect();
    assert_eq!(names, [None, Some("c3"), Some("c1"), Some("c2"), Some("c4")]);
}

#[test]
fn class_table_is_bounded() {
    let mut now = service_settings(&settings_json(&[(0, 1, true)], 3)).expect("valid");
    for deadline in 2.. {
        match now
            .reloaded(&service_settings(&settings_json(&[(0, deadline, true)], 3)).expect("valid"), |_| false)
        {
            Ok(changed) => now = changed,
            Err(e) => {
                assert!(e.to_string().contains("c0: too many"), "{e}");
                break;
            }
        }
        assert!(now.settings.classes.len() <= MAX_CLASSES);
    }
    assert_eq!(now.settings.classes.len(), MAX_CLASSES);
}

#[test]
fn invalid_numbers_are_reported_with_their_field() {
    for (key, invalid) in [("deadline-ms", json!(0)), ("deadline-ms", json!(-1)), ("deadline-ms", json!("9"))]
    {
        let mut json = settings_json(&[(0, 1, true), (1, 1, true)], 3);
        json["profiles"][1][key] = invalid;
        assert!(service_settings(&json).expect_err("invalid").contains("[1]"));
    }
    for invalid in [json!(0), json!(-1), json!("3"), json!(null), json!(1.5)] {
        let mut json = settings_json(&[(0, 1, true)], 3);
        json["policy-limits"]["max-attempts"] = invalid;
        assert!(service_settings(&json).expect_err("invalid").contains("max"));
    }
    assert!(service_settings(&settings_json(&[(0, 1, true), (0, 2, true)], 3))
        .expect_err("duplicate")
        .contains("one name"));
}

#[test]
fn removed_keys_are_reported() {
    fn paths(value: &Value, path: &str, into: &mut Vec<String>) {
        match value {
            Value::Object(keys) => keys.iter().for_each(|(key, value)| {
                into.push(format!("{path}/{key}"));
                paths(value, &format!("{path}/{key}"), into);
            }),
            Value::Array(items) => {
                items.iter().enumerate().for_each(|(i, v)| paths(v, &format!("{path}/{i}"), into));
            }
            _ => {}
        }
    }
    let before = settings_json(&[(0, 1, true), (1, 2, true)], 3);
    let mut all = Vec::new();
    paths(&before, "", &mut all);
    assert!(all.len() > 50, "{}", all.len());
    for path in all {
        let (section, key) = path.rsplit_once('/').expect("a key");
        let mut after = before.clone();
        after.pointer_mut(section).and_then(Value::as_object_mut).expect("a section").remove(key);
        let missing = first_missing_key(&before, &after, "settings", &[]).unwrap_or_else(|| panic!("{path}"));
        assert!(missing.ends_with(key), "{missing} for {path}");
    }
    // Fewer classes and other values do not count as missing keys.
    assert_eq!(first_missing_key(&before, &settings_json(&[(5, 9, false)], 1), "settings", &[]), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// After any sequence of reloads, requests can use the classes of the last valid settings. A slot that a
    /// request may refer to keeps its class.
    #[test]
    fn last_valid_settings_stay_in_force(
        files in prop::collection::vec(
            (prop::collection::btree_map(0usize..6, (0u32..4, any::<bool>()), 0..5), 0u32..4), 1..20),
        in_use in prop::collection::vec(any::<bool>(), 64),
    ) {
        let mut now = service_settings(&settings_json(&[(0, 1, true)], 1)).expect("valid");
        for (classes, attempts) in files {
            let classes: Vec<_> = classes.into_iter().map(|(n, (d, s))| (n, d, s)).collect();
            let Ok(new) = service_settings(&settings_json(&classes, attempts)) else { continue };
            let before = now.clone();
            let is_unused = |slot: usize| !in_use[slot % 64];
            now = now.reloaded(&new, is_unused).expect("a free slot");
            prop_assert_eq!(usable_classes(&now), usable_classes(&new));
            prop_assert_eq!(now.settings.limits.max_attempts, attempts);
            for (slot, class) in before.settings.classes.iter().enumerate() {
                let kept = now.settings.classes[slot].same_rules(class);
                let reusable = before.names.classes[slot].is_none() && is_unused(slot);
                prop_assert!(kept || reusable, "slot {}", slot);
            }
        }
    }
}
