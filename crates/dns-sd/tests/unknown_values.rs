//! What is listed while records do not state a value: restrictions stay, permissions end, nobody leaves.

mod support;

use dns_sd::{
    CacheLimits, Change, ListedMetadata, QueryType, Question, RecordData, Status, TxtKey, UnknownValue,
};
use support::{instance, question, Harness};

/// Longer than the lifetime of the records.
const TTL_MS: f64 = 61_000.0;
const COMPLETE: [&str; 5] = ["zone=room", "type=m", "group=2", "status=draining", "since=12"];

fn txt(label: &str) -> Question {
    question(instance(label), QueryType::Txt)
}

fn record(strings: &[&str]) -> RecordData {
    RecordData::Txt(strings.iter().map(|string| string.as_bytes().into()).collect())
}

/// A list of `t1`, which is draining, and three serving instances.
fn harness() -> Harness {
    harness_with(CacheLimits::default())
}

fn harness_with(limits: CacheLimits) -> Harness {
    let mut harness = Harness::new(limits, 0.5);
    harness.add_instance("t1", 0, 9_001, &COMPLETE);
    for (port, label) in (9_002..).zip(["t2", "t3", "t4"]) {
        harness.add_instance(
            label,
            0,
            port,
            &["zone=room", "type=m", "group=3", "status=serving", "since=12"],
        );
    }
    harness.settle();
    harness
}

fn metadata<'a>(harness: &'a Harness, label: &str) -> &'a ListedMetadata {
    let listed = harness.catalogue.list().find(|(name, _)| *name == label);
    &listed.unwrap_or_else(|| panic!("{label} is not listed")).1.metadata
}

/// Returns the listed values of `t1`.
fn values(harness: &Harness) -> (String, String, u32, Status, Option<f64>) {
    let listed = metadata(harness, "t1");
    let (zone, instance_type) = (listed.zone.clone(), listed.instance_type.clone());
    (zone, instance_type, listed.group, listed.status(), listed.since_ms)
}

fn unknown(harness: &Harness, label: &str) -> Vec<&'static str> {
    metadata(harness, label).unknown.keys().map(|key| key.as_str()).collect()
}

#[test]
fn vanished_records_keep_the_last_values_as_unknown() {
    let mut harness = harness();
    let before = values(&harness);
    assert_eq!(unknown(&harness, "t1"), [""; 0]);
    harness.zone.remove(&txt("t1"));
    assert_eq!(harness.advance(TTL_MS), [Change::Changed("t1".to_string())]);
    assert_eq!(values(&harness), before);
    assert_eq!(unknown(&harness, "t1"), ["zone", "type", "group", "status", "since"]);
    // A known drain stays in force and needs no mark for gateways.
    let marked: Vec<TxtKey> = metadata(&harness, "t1").marked_unknown().collect();
    assert_eq!(marked, [TxtKey::Zone, TxtKey::Type, TxtKey::Group, TxtKey::Since]);
    assert_eq!(harness.advance(TTL_MS), []);
    harness.zone.insert(txt("t1"), vec![record(&COMPLETE)]);
    assert_eq!(harness.advance(TTL_MS), [Change::Changed("t1".to_string())]);
    assert_eq!((values(&harness), unknown(&harness, "t1").len()), (before, 0));
}

#[test]
fn each_missing_or_invalid_key_is_unknown_alone() {
    for (index, key) in ["zone", "type", "group", "status", "since"].into_iter().enumerate() {
        for replacement in [None, Some(format!("{key}=\u{7f}"))] {
            let mut harness = harness();
            let before = values(&harness);
            let mut strings = COMPLETE.to_vec();
            match &replacement {
                None => drop(strings.remove(index)),
                Some(invalid) => strings[index] = invalid,
            }
            harness.zone.insert(txt("t1"), vec![record(&strings)]);
            assert_eq!(harness.advance(TTL_MS), [Change::Changed("t1".to_string())], "{strings:?}");
            assert_eq!((values(&harness), unknown(&harness, "t1")), (before, vec![key]));
            assert_eq!(unknown(&harness, "t2"), [""; 0], "other instances are not affected");
        }
    }
}

#[test]
fn second_record_that_contradicts_makes_the_value_unknown() {
    let mut harness = harness();
    let before = values(&harness);
    // A record of another kind contradicts nothing, whichever is first.
    harness.zone.insert(txt("t1"), vec![record(&["a=b"]), record(&COMPLETE)]);
    assert_eq!((harness.advance(TTL_MS), values(&harness)), (Vec::new(), before.clone()));
    harness.zone.insert(txt("t1"), vec![record(&["group=1"]), record(&COMPLETE)]);
    harness.advance(TTL_MS);
    assert_eq!(metadata(&harness, "t1").unknown[&TxtKey::Group], UnknownValue::Contradictory);
    assert_eq!(values(&harness), before);
    // A second record with another status withholds requests.
    let serving = ["status=serving"];
    let records = vec![record(&serving), record(&["status=draining"])];
    harness.zone.insert(txt("t2"), records);
    harness.advance(TTL_MS);
    assert_eq!(metadata(&harness, "t2").status(), Status::Draining);
}

/// Guards against a status that serves because it is unreadable, and against a list on which nobody serves
/// because none is readable.
#[test]
fn invalid_status_withholds_requests_unless_nobody_else_serves() {
    let mut harness = harness();
    let serving = |harness: &Harness| {
        let labels = ["t1", "t2", "t3", "t4"].into_iter();
        labels.filter(|label| metadata(harness, label).status() == Status::Serving).collect::<Vec<_>>()
    };
    assert_eq!(serving(&harness), ["t2", "t3", "t4"]);
    harness.zone.insert(txt("t2"), vec![record(&["status=drainning"])]);
    harness.advance(TTL_MS);
    assert_eq!(serving(&harness), ["t3", "t4"]);
    for label in ["t1", "t3", "t4"] {
        harness.zone.insert(txt(label), vec![record(&["status="])]);
    }
    harness.advance(TTL_MS);
    assert_eq!(serving(&harness), ["t2", "t3", "t4"], "the one that was draining is not among them");
    harness.zone.insert(txt("t3"), vec![record(&["status=serving"])]);
    harness.advance(TTL_MS);
    assert_eq!(serving(&harness), ["t3"]);
}

#[test]
fn records_without_any_key_are_listed_with_all_values_unknown() {
    let mut harness = Harness::new(CacheLimits::default(), 0.5);
    harness.add_instance("t1", 0, 9_001, &[]);
    harness.add_instance("t2", 0, 9_002, &["group=x", "zone=\u{7f}"]);
    harness.settle();
    assert_eq!(harness.names(), ["t1", "t2"]);
    assert_eq!(values(&harness), (String::new(), String::new(), 0, Status::Serving, None));
    assert_eq!(metadata(&harness, "t1").marked_unknown().count(), 5);
    assert!(matches!(metadata(&harness, "t2").unknown[&TxtKey::Group], UnknownValue::Invalid(_)));
}

/// Guards against metadata that stays as it was because another record of the instance is unknown.
#[test]
fn metadata_follows_its_records_while_others_are_unanswered() {
    let limits = CacheLimits { max_stale_ms: 60_000.0, ..CacheLimits::default() };
    let mut harness = harness_with(limits);
    // Only queries for TXT records are answered from here on.
    harness.failing_kinds = vec![QueryType::Ptr, QueryType::Srv, QueryType::A, QueryType::Aaaa];
    harness.advance(4.0 * TTL_MS);
    assert_eq!(harness.names(), ["t1", "t2", "t3", "t4"]);
    harness.zone.insert(txt("t2"), vec![record(&["group=3", "status=draining"])]);
    harness.advance(TTL_MS);
    assert_eq!(metadata(&harness, "t2").status(), Status::Draining);
    assert_eq!(unknown(&harness, "t2"), ["zone", "type", "since"]);
}

/// Guards against values that permit something after their record has been unanswered for longer than it may
/// be served stale.
#[test]
fn values_of_records_that_are_too_old_are_unknown() {
    let limits = CacheLimits { max_stale_ms: 600_000.0, ..CacheLimits::default() };
    let mut harness = harness_with(limits);
    let before = values(&harness);
    harness.failing_kinds = vec![QueryType::Txt];
    assert_eq!(harness.advance(300_000.0), [], "stale records are served");
    harness.advance(600_000.0);
    assert_eq!(unknown(&harness, "t1"), ["zone", "type", "group", "status", "since"]);
    assert_eq!((values(&harness), harness.names().len()), (before, 4));
    assert_eq!(metadata(&harness, "t2").status(), Status::Serving);
    harness.failing_kinds.clear();
    harness.advance(TTL_MS);
    assert_eq!(unknown(&harness, "t1"), [""; 0]);
}
