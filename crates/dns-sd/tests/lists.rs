//! Who joins the list, who stays on it through a resolver's failures, and who leaves it.

mod support;

use dns_sd::{CacheLimits, Change, QueryType, RecordData, SrvRecord, Status};
use support::{instance, name, of, World, SERVICE};

const HOUR: f64 = 3_600_000.0;

fn world(labels: &[&str]) -> World {
    let mut world = World::new(CacheLimits::default(), 0.5);
    for (port, label) in (9_000..).zip(labels) {
        world.put(label, 0, port, &["zone=room", "group=2", "type=m"]);
    }
    world.settle();
    assert_eq!(world.names(), labels);
    world
}

#[test]
fn lists_endpoints_from_ptr_srv_txt_and_address_records() {
    let mut world = World::new(CacheLimits::default(), 0.5);
    world.put("t1", 7, 9_001, &["zone=room", "status=draining", "since=12", "colour=red"]);
    let (changes, _) = world.settle();
    assert_eq!(changes, [Change::Joined("t1".to_string())]);
    let (_, one) = world.catalogue.list().next().expect("one");
    assert_eq!((one.address.to_string().as_str(), one.priority, one.weight), ("127.0.0.1:9001", 7, 1));
    assert_eq!((one.metadata.zone.as_str(), one.metadata.status), ("room", Status::Draining));
    assert_eq!((one.metadata.since_ms, one.stale_since), (12.0, None));
}

#[test]
fn resolver_outage_removes_nothing_and_marks_the_list_stale() {
    for why in ["no answer in time", "Server Failure", "Query Refused", "no DNS message"] {
        let mut world = world(&["t1", "t2", "t3"]);
        world.broken = Some(why);
        let changes = world.pass(HOUR);
        assert_eq!((changes, world.names().len()), (Vec::new(), 3), "{why}");
        for (_, endpoint) in world.catalogue.list() {
            let since = endpoint.stale_since.expect("stale");
            assert!((59_000.0..=61_000.0).contains(&since), "{since}");
        }
        let failing = world.cache.failing().next().expect("it fails");
        assert!(failing.since_ms < 61_000.0 && failing.reason == why);
        // Each question once in 22 to 30 s at the most, whatever the lives of its records.
        let questions = world.cache.size().followed;
        let most = HOUR / 22_500.0 * questions as f64 + 10.0 * questions as f64;
        assert!((world.asked as f64) < most, "{} of {most}", world.asked);
        world.broken = None;
        assert_eq!(world.pass(31_000.0), []);
        assert!(world.catalogue.list().all(|(_, e)| e.stale_since.is_none()));
    }
}

#[test]
fn list_outlives_stale_records() {
    let bounds = CacheLimits { max_stale_ms: 600_000.0, ..CacheLimits::default() };
    let mut world = World::new(bounds, 0.5);
    world.put("t1", 0, 9_001, &[]);
    world.put("t2", 0, 9_002, &[]);
    world.settle();
    world.broken = Some("no answer in time");
    assert_eq!(world.pass(HOUR / 2.0), []);
    assert_eq!(world.names(), ["t1", "t2"]);
    // And it is as the zone has it once that answers.
    world.broken = None;
    world.unpoint("t1");
    world.put("t9", 0, 9_009, &[]);
    let changes = world.pass(60_000.0);
    assert!(changes.contains(&Change::Joined("t9".to_string())), "{changes:?}");
    assert!(changes.iter().any(|c| matches!(c, Change::Left(n, _) if n == "t1")), "{changes:?}");
}

#[test]
fn removed_instance_leaves_with_its_ttl_and_returns() {
    let mut world = world(&["t1", "t2", "t3", "t4"]);
    world.unpoint("t2");
    let changes = world.pass(60_000.0);
    let by = of(name(SERVICE), QueryType::Ptr);
    assert_eq!(changes, [Change::Left("t2".to_string(), by)]);
    assert_eq!(world.doubted, 0);
    world.point("t2");
    assert_eq!(world.pass(60_000.0), [Change::Joined("t2".to_string())]);
    let (_, back) = world.catalogue.list().find(|(n, _)| *n == "t2").expect("back");
    assert_eq!(back.address.port(), 9_001);
}

#[test]
fn large_loss_waits_for_a_second_answer() {
    let mut world = world(&["t1", "t2", "t3", "t4"]);
    let all = world.zone.clone();
    // One answer of an empty zone, and true ones after it.
    world.zone.clear();
    let ptr = of(name(SERVICE), QueryType::Ptr);
    world.now += 55_000.0;
    let due = world.cache.due(world.now);
    assert!(due.iter().any(|d| d.question == ptr));
    for due in due {
        let none = dns_sd::Answer::None { why: dns_sd::NegativeAnswer::NoSuchName, ttl_s: 60 };
        world.cache.answered(world.now, &due.question, none);
    }
    let reading = world.catalogue.read(world.now, &world.cache);
    assert_eq!((reading.changes.len(), reading.held), (0, 4));
    assert!(reading.confirm.contains(&ptr));
    // The same answer read again confirms nothing.
    assert_eq!(world.catalogue.read(world.now, &world.cache).held, 4);
    world.zone = all;
    let (changes, reading) = world.settle();
    assert_eq!((changes, reading.held, world.names().len()), (Vec::new(), 0, 4));
    assert!(world.doubted > 0, "asked at once, and of another resolver");
    // When the second answer says the same, they go.
    world.zone.clear();
    let changes = world.pass(120_000.0);
    assert_eq!((changes.len(), world.names().len()), (4, 0));
}

#[test]
fn bad_value_drops_only_its_instance() {
    let mut world = world(&["t1", "t2", "t3", "t4"]);
    world.put("t5", 0, 9_005, &["group=many"]);
    world.put("t6", 0, 9_006, &["status=gone"]);
    world.put("t7", 0, 0, &[]);
    let target = SrvRecord { priority: 0, weight: 0, port: 7, target: name(".") };
    world.put("t8", 0, 9_008, &[]);
    world.zone.insert(of(instance("t8"), QueryType::Srv), vec![RecordData::Srv(target)]);
    world.put("t9", 0, 9_009, &[]);
    world.zone.remove(&of(name("t9.hosts.example.org."), QueryType::A));
    let pointers = world.zone.entry(of(name(SERVICE), QueryType::Ptr)).or_default();
    pointers.push(RecordData::Ptr(name("t1._shop._tcp.example.org.")));
    assert_eq!(world.pass(60_000.0), []);
    let (_, reading) = world.settle();
    let why = |label: &str| {
        let dropped = reading.dropped.iter().find(|d| d.instance == instance(label));
        dropped.map(|d| d.reason.to_string()).unwrap_or_default()
    };
    assert!(why("t5").contains("group") && why("t6").contains("status"), "{:?}", reading.dropped);
    assert!(why("t7").contains("port") && why("t8").contains("root"), "{:?}", reading.dropped);
    assert!(why("t9").contains("no address"), "{:?}", reading.dropped);
    assert!(
        reading.dropped.iter().any(|d| d.reason.to_string().contains("no instance of")),
        "{:?}",
        reading.dropped
    );
    assert_eq!(world.names(), ["t1", "t2", "t3", "t4"]);
}

#[test]
fn keeps_an_address_that_is_still_listed() {
    let mut world = world(&["t1", "t2", "t3"]);
    let target = of(name("t1.hosts.example.org."), QueryType::A);
    let address = |last| RecordData::Address([127, 0, 0, last].into());
    // Sorted, the new one stands first.
    world.zone.insert(target.clone(), vec![address(0), address(1)]);
    assert_eq!(world.pass(61_000.0), []);
    world.zone.insert(target, vec![address(0)]);
    assert_eq!(world.pass(61_000.0), [Change::Changed("t1".to_string())]);
}

#[test]
fn reports_a_name_in_two_services() {
    let mut world = world(&["t1", "t2", "t3"]);
    let service = name("_shop._tcp.example.org.");
    world.catalogue = dns_sd::Catalogue::new(vec![name(SERVICE), service.clone()], 0.5);
    world.zone.insert(of(service, QueryType::Ptr), vec![RecordData::Ptr(name("t1._shop._tcp.example.org."))]);
    let (_, reading) = world.settle();
    assert_eq!(world.names(), ["t1", "t2", "t3"]);
    assert!(
        reading.dropped.iter().any(|d| d.reason.to_string().contains("that name")),
        "{:?}",
        reading.dropped
    );
}
