//! Settings that change in service: classes at their places, keys that are missing.

use gateway_policy::reload::{first_missing_key, ServiceSettings, MAX_CLASSES};
use gateway_policy::settings;
use proptest::prelude::*;
use serde_json::{json, Value};

/// Settings of some classes, each a name, a deadline and an effect.
fn told(classes: &[(usize, u32, bool)], attempts: u32) -> Value {
    let class = |(name, deadline, safe): &(usize, u32, bool)| {
        json!({"name": format!("c{name}"), "aim-ms": 100.0, "deadline-ms": deadline, "credit": 1.0,
               "late-worth": 0.0, "effect": if *safe { "read_like" } else { "non_idempotent" },
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

fn terms(told: &Value) -> Result<ServiceSettings, String> {
    let keys = settings::SettingsReader::new("settings", told);
    let read = settings::read_settings(&keys).and_then(|settings| {
        settings.validate()?;
        Ok(ServiceSettings { names: settings::read_names(&keys)?, settings })
    });
    read.map_err(|e| e.to_string())
}

/// The classes that requests can name, and their rules.
fn named(terms: &ServiceSettings) -> Vec<(String, f64, bool)> {
    let all = terms.names.classes.iter().zip(&terms.settings.classes);
    let safe = |c: &gateway_policy::interface::Class| {
        c.idempotency == gateway_policy::interface::Idempotency::Idempotent
    };
    let mut named: Vec<_> = all.filter_map(|(n, c)| Some((n.clone()?, c.deadline_ms, safe(c)))).collect();
    named.sort_by(|a, b| a.0.cmp(&b.0));
    named
}

#[test]
fn changed_class_has_a_new_place_and_the_old_one_keeps_its_rules() {
    let one = terms(&told(&[(0, 100, true), (1, 200, true)], 3)).expect("sound");
    let two = terms(&told(&[(1, 200, false), (2, 300, true)], 5)).expect("sound");
    let changed = one.reloaded(&two, |_| false).expect("room");
    let names: Vec<Option<&str>> = changed.names.classes.iter().map(Option::as_deref).collect();
    assert_eq!(names, [None, None, Some("c1"), Some("c2")]);
    assert!(changed.settings.classes[0].same_rules(&one.settings.classes[0]));
    assert!(changed.settings.classes[0].retired && !changed.settings.classes[2].retired);
    assert_eq!(changed.settings.limits.max_attempts, 5);
    // What no request holds any more is used again; what one may hold is not.
    let three =
        terms(&told(&[(1, 200, false), (2, 300, true), (3, 1, true), (4, 1, true)], 5)).expect("sound");
    let again = changed.reloaded(&three, |place| place == 1).expect("room");
    let names: Vec<Option<&str>> = again.names.classes.iter().map(Option::as_deref).collect();
    assert_eq!(names, [None, Some("c3"), Some("c1"), Some("c2"), Some("c4")]);
}

#[test]
fn class_table_is_bounded() {
    let mut now = terms(&told(&[(0, 1, true)], 3)).expect("sound");
    for deadline in 2.. {
        match now.reloaded(&terms(&told(&[(0, deadline, true)], 3)).expect("sound"), |_| false) {
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
fn what_is_no_number_above_nothing_is_named() {
    for (place, bad) in [("deadline-ms", json!(0)), ("deadline-ms", json!(-1)), ("deadline-ms", json!("9"))] {
        let mut wrong = told(&[(0, 1, true), (1, 1, true)], 3);
        wrong["profiles"][1][place] = bad;
        assert!(terms(&wrong).expect_err("wrong").contains("[1]"));
    }
    for bad in [json!(0), json!(-1), json!("3"), json!(null), json!(1.5)] {
        let mut wrong = told(&[(0, 1, true)], 3);
        wrong["policy-limits"]["max-attempts"] = bad;
        assert!(terms(&wrong).expect_err("wrong").contains("max"));
    }
    assert!(terms(&told(&[(0, 1, true), (0, 2, true)], 3)).expect_err("twice").contains("one name"));
}

#[test]
fn removed_keys_are_reported() {
    fn places(value: &Value, at: &str, into: &mut Vec<String>) {
        match value {
            Value::Object(keys) => keys.iter().for_each(|(key, value)| {
                into.push(format!("{at}/{key}"));
                places(value, &format!("{at}/{key}"), into);
            }),
            Value::Array(items) => {
                items.iter().enumerate().for_each(|(i, v)| places(v, &format!("{at}/{i}"), into));
            }
            _ => {}
        }
    }
    let before = told(&[(0, 1, true), (1, 2, true)], 3);
    let mut all = Vec::new();
    places(&before, "", &mut all);
    assert!(all.len() > 50, "{}", all.len());
    for place in all {
        let (section, key) = place.rsplit_once('/').expect("a key");
        let mut after = before.clone();
        after.pointer_mut(section).and_then(Value::as_object_mut).expect("a section").remove(key);
        let missed = first_missing_key(&before, &after, "settings", &[]).unwrap_or_else(|| panic!("{place}"));
        assert!(missed.ends_with(key), "{missed} for {place}");
    }
    // Fewer classes, and other values, are no keys that are missing.
    assert_eq!(first_missing_key(&before, &told(&[(5, 9, false)], 1), "settings", &[]), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// After any files, what requests can name is what the last good one says; and a place that a request may
    /// hold keeps its class.
    #[test]
    fn last_good_file_stays_in_force(
        files in prop::collection::vec(
            (prop::collection::btree_map(0usize..6, (0u32..4, any::<bool>()), 0..5), 0u32..4), 1..20),
        held in prop::collection::vec(any::<bool>(), 64),
    ) {
        let mut now = terms(&told(&[(0, 1, true)], 1)).expect("sound");
        for (classes, attempts) in files {
            let classes: Vec<_> = classes.into_iter().map(|(n, (d, s))| (n, d, s)).collect();
            let Ok(new) = terms(&told(&classes, attempts)) else { continue };
            let before = now.clone();
            let free = |place: usize| !held[place % 64];
            now = now.reloaded(&new, free).expect("room");
            prop_assert_eq!(named(&now), named(&new));
            prop_assert_eq!(now.settings.limits.max_attempts, attempts);
            for (place, class) in before.settings.classes.iter().enumerate() {
                let kept = now.settings.classes[place].same_rules(class);
                prop_assert!(kept || before.names.classes[place].is_none() && free(place), "place {}", place);
            }
        }
    }
}
