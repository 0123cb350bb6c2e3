//! Additions to and removals from the list, and the list during resolver failures.

mod support;

use dns_sd::{CacheLimits, Change, QueryType, RecordData, SrvRecord, Status, TxtKey};
use support::{instance, name, question, Harness, SERVICE};

const HOUR: f64 = 3_600_000.0;

fn harness(labels: &[&str]) -> Harness {
    let mut harness = Harness::new(CacheLimits::default(), 0.5);
    for (port, label) in (9_000..).zip(labels) {
        harness.add_instance(label, 0, port, &["zone=room", "group=2", "type=m"]);
    }
    harness.settle();
    assert_eq!(harness.names(), labels);
    harness
}

#[test]
fn lists_endpoints_from_ptr_srv_txt_and_address_records() {
    let mut harness = Harness::new(CacheLimits::default(), 0.5);
    harness.add_instance("t1", 7, 9_001, &["zone=room", "status=draining", "since=12", "colour=red"]);
    let (changes, _) = harness.settle();
    assert_eq!(changes, [Change::Added("t1".to_string())]);
    let (_, endpoint) = harness.catalogue.list().next().expect("an endpoint");
    assert_eq!(
        (endpoint.address.to_string().as_str(), endpoint.priority, endpoint.weight),
        ("127.0.0.1:9001", 7, 1)
    );
    assert_eq!((endpoint.metadata.zone.as_str(), endpoint.metadata.status()), ("room", Status::Draining));
    assert_eq!((endpoint.metadata.since_ms, endpoint.stale_since_ms), (Some(12.0), None));
}

#[test]
fn resolver_outage_removes_nothing_and_marks_the_list_stale() {
    for error in ["no answer in time", "Server Failure", "Query Refused", "no DNS message"] {
        let mut harness = harness(&["t1", "t2", "t3"]);
        harness.resolver_error = Some(error);
        let changes = harness.advance(HOUR);
        assert_eq!((changes, harness.names().len()), (Vec::new(), 3), "{error}");
        for (_, endpoint) in harness.catalogue.list() {
            let since_ms = endpoint.stale_since_ms.expect("stale");
            assert!((59_000.0..=61_000.0).contains(&since_ms), "{since_ms}");
        }
        let failing = harness.cache.failing_queries().next().expect("a failing query");
        assert!(failing.since_ms < 61_000.0 && failing.reason == error);
        // At the maximum backoff of 30 s, jitter leaves at least 22.5 s between two queries of a question.
        // Ten more allow for the shorter backoffs before.
        let questions = harness.cache.size().followed;
        let max_queries = HOUR / 22_500.0 * questions as f64 + 10.0 * questions as f64;
        assert!((harness.queries as f64) < max_queries, "{} of {max_queries}", harness.queries);
        harness.resolver_error = None;
        assert_eq!(harness.advance(31_000.0), []);
        assert!(harness.catalogue.list().all(|(_, e)| e.stale_since_ms.is_none()));
    }
}

#[test]
fn list_outlives_stale_records() {
    let limits = CacheLimits { max_stale_ms: 600_000.0, ..CacheLimits::default() };
    let mut harness = Harness::new(limits, 0.5);
    harness.add_instance("t1", 0, 9_001, &[]);
    harness.add_instance("t2", 0, 9_002, &[]);
    harness.settle();
    harness.resolver_error = Some("no answer in time");
    assert_eq!(harness.advance(HOUR / 2.0), []);
    assert_eq!(harness.names(), ["t1", "t2"]);
    // The list matches the zone again once the resolver answers.
    harness.resolver_error = None;
    harness.remove_pointer("t1");
    harness.add_instance("t9", 0, 9_009, &[]);
    let changes = harness.advance(60_000.0);
    assert!(changes.contains(&Change::Added("t9".to_string())), "{changes:?}");
    assert!(changes.iter().any(|c| matches!(c, Change::Removed(n, _) if n == "t1")), "{changes:?}");
}

#[test]
fn instance_is_removed_within_ttl_and_added_again() {
    let mut harness = harness(&["t1", "t2", "t3", "t4"]);
    harness.remove_pointer("t2");
    let changes = harness.advance(60_000.0);
    let question = question(name(SERVICE), QueryType::Ptr);
    assert_eq!(changes, [Change::Removed("t2".to_string(), question)]);
    assert_eq!(harness.confirmation_queries, 0);
    harness.add_pointer("t2");
    assert_eq!(harness.advance(60_000.0), [Change::Added("t2".to_string())]);
    let (_, back) = harness.catalogue.list().find(|(n, _)| *n == "t2").expect("t2 is listed again");
    assert_eq!(back.address.port(), 9_001);
}

#[test]
fn large_loss_waits_for_a_second_answer() {
    let mut harness = harness(&["t1", "t2", "t3", "t4"]);
    let complete_zone = harness.zone.clone();
    // One answer from an empty zone, then answers from the complete one.
    harness.zone.clear();
    let ptr = question(name(SERVICE), QueryType::Ptr);
    harness.now += 55_000.0;
    let due = harness.cache.take_due(harness.now);
    assert!(due.iter().any(|d| d.question == ptr));
    for due in due {
        let none = dns_sd::Answer::Negative { kind: dns_sd::NegativeAnswer::NoSuchName, ttl_s: 60 };
        harness.cache.record_answer(harness.now, &due.question, none);
    }
    let update = harness.catalogue.update(harness.now, &harness.cache);
    assert_eq!((update.changes.len(), update.awaiting_confirmation), (0, 4));
    assert!(update.to_confirm.contains(&ptr));
    // A second update from the same answer confirms nothing.
    assert_eq!(harness.catalogue.update(harness.now, &harness.cache).awaiting_confirmation, 4);
    harness.zone = complete_zone;
    let (changes, update) = harness.settle();
    assert_eq!((changes, update.awaiting_confirmation, harness.names().len()), (Vec::new(), 0, 4));
    assert!(harness.confirmation_queries > 0, "the question is asked again at once, of another resolver");
    // If the second answer is the same, they are removed.
    harness.zone.clear();
    let changes = harness.advance(120_000.0);
    assert_eq!((changes.len(), harness.names().len()), (4, 0));
}

#[test]
fn invalid_value_is_unknown_and_unusable_instances_are_dropped() {
    let mut harness = harness(&["t1", "t2", "t3", "t4"]);
    harness.add_instance("t5", 0, 9_005, &["group=many"]);
    harness.add_instance("t6", 0, 9_006, &["status=gone"]);
    harness.add_instance("t7", 0, 0, &[]);
    let target = SrvRecord { priority: 0, weight: 0, port: 7, target: name(".") };
    harness.add_instance("t8", 0, 9_008, &[]);
    harness.zone.insert(question(instance("t8"), QueryType::Srv), vec![RecordData::Srv(target)]);
    harness.add_instance("t9", 0, 9_009, &[]);
    harness.zone.remove(&question(name("t9.hosts.example.org."), QueryType::A));
    let pointers = harness.zone.entry(question(name(SERVICE), QueryType::Ptr)).or_default();
    pointers.push(RecordData::Ptr(name("t1._shop._tcp.example.org.")));
    let added = ["t5", "t6"].map(|label| Change::Added(label.to_string()));
    assert_eq!(harness.advance(60_000.0), added);
    let (_, update) = harness.settle();
    let drop_reason = |label: &str| {
        let dropped = update.dropped.iter().find(|d| d.instance == instance(label));
        dropped.map(|d| d.reason.to_string()).unwrap_or_default()
    };
    let unknown_reason = |label: &str, key| {
        let (_, endpoint) = harness.catalogue.list().find(|(name, _)| *name == label).expect("listed");
        endpoint.metadata.unknown.get(&key).map(ToString::to_string).unwrap_or_default()
    };
    assert!(unknown_reason("t5", TxtKey::Group).contains("group"), "its group permits nothing");
    assert!(unknown_reason("t6", TxtKey::Status).contains("status"));
    let status =
        |label: &str| harness.catalogue.list().find(|(n, _)| *n == label).map(|(_, e)| e.metadata.status());
    assert_eq!((status("t5"), status("t6")), (Some(Status::Serving), Some(Status::Draining)));
    assert!(drop_reason("t7").contains("port") && drop_reason("t8").contains("root"), "{:?}", update.dropped);
    assert!(drop_reason("t9").contains("no address"), "{:?}", update.dropped);
    assert!(
        update.dropped.iter().any(|d| d.reason.to_string().contains("no instance of")),
        "{:?}",
        update.dropped
    );
    assert_eq!(harness.names(), ["t1", "t2", "t3", "t4", "t5", "t6"]);
}

#[test]
fn keeps_the_address_while_it_is_in_the_zone() {
    let mut harness = harness(&["t1", "t2", "t3"]);
    let target = question(name("t1.hosts.example.org."), QueryType::A);
    let address = |last| RecordData::Address([127, 0, 0, last].into());
    // In sort order the new address is the first.
    harness.zone.insert(target.clone(), vec![address(0), address(1)]);
    assert_eq!(harness.advance(61_000.0), []);
    harness.zone.insert(target, vec![address(0)]);
    assert_eq!(harness.advance(61_000.0), [Change::Changed("t1".to_string())]);
}

#[test]
fn instance_name_in_two_services_is_reported() {
    let mut harness = harness(&["t1", "t2", "t3"]);
    let service = name("_shop._tcp.example.org.");
    harness.catalogue = dns_sd::Catalogue::new(vec![name(SERVICE), service.clone()], 0.5);
    harness
        .zone
        .insert(question(service, QueryType::Ptr), vec![RecordData::Ptr(name("t1._shop._tcp.example.org."))]);
    let (_, update) = harness.settle();
    assert_eq!(harness.names(), ["t1", "t2", "t3"]);
    assert!(
        update.dropped.iter().any(|d| d.reason.to_string().contains("that name")),
        "{:?}",
        update.dropped
    );
}
