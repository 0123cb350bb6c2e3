//! Texts that reach logs and tools: why an answer is none, why an instance is left out, what changed.

mod support;

use dns_sd::{AnswerError, CacheLimits, Change, Name, QueryType, RecordData, SrvRecord};
use support::{instance, name, of, World, SERVICE};

#[test]
fn answer_errors_have_recorded_texts() {
    for (bad, text) in [
        (AnswerError::Garbled("x".to_string()), "no DNS message: x"),
        (AnswerError::OtherId, "an answer with another id"),
        (AnswerError::OtherQuestion, "an answer to another question"),
        (AnswerError::NoAnswer, "no answer to a query"),
        (AnswerError::Code("Server Failure".to_string()), "the resolver says Server Failure"),
        (AnswerError::Referral, "a referral, and no answer"),
        (AnswerError::Chain, "more than 8 aliases, or a loop of them"),
    ] {
        assert_eq!(bad.to_string(), text);
    }
}

#[test]
fn questions_and_changes_have_recorded_texts() {
    let kinds = [QueryType::Ptr, QueryType::Srv, QueryType::Txt, QueryType::A, QueryType::Aaaa]
        .map(|kind| kind.to_string());
    assert_eq!(kinds, ["PTR", "SRV", "TXT", "A", "AAAA"]);
    let question = of(name(SERVICE), QueryType::Ptr);
    assert_eq!(question.to_string(), "_till._tcp.example.org. PTR");
    let changes = [
        Change::Joined("t1".to_string()),
        Change::Changed("t1".to_string()),
        Change::Left("t1".to_string(), question),
    ];
    let texts = changes.map(|change| change.to_string());
    assert_eq!(texts, ["+ t1", "~ t1", "- t1 by _till._tcp.example.org. PTR"]);
}

#[test]
fn drop_reasons_have_recorded_texts() {
    let mut world = World::new(CacheLimits::default(), 0.5);
    for (port, label) in (9_000..).zip(["t1", "t3", "t4"]) {
        world.put(label, 0, port, &[]);
    }
    world.put("t5", 0, 9_005, &["group=many"]);
    world.put("t7", 0, 0, &[]);
    world.put("t8", 0, 9_008, &[]);
    let target = SrvRecord { priority: 0, weight: 0, port: 7, target: name(".") };
    world.zone.insert(of(instance("t8"), QueryType::Srv), vec![RecordData::Srv(target)]);
    world.put("t9", 0, 9_009, &[]);
    world.zone.remove(&of(name("t9.hosts.example.org."), QueryType::A));
    let labelled = |label: &[u8]| {
        let service = name(SERVICE);
        Name::from_labels(std::iter::once(label).chain(service.iter())).expect("a name")
    };
    let other = labelled(b"\xff\xfe");
    let control = labelled(b"a\x07b");
    let stranger = name("t1._shop._tcp.example.org.");
    let pointers = world.zone.entry(of(name(SERVICE), QueryType::Ptr)).or_default();
    pointers.extend([&other, &control, &stranger, &Name::root()].map(|name| RecordData::Ptr(name.clone())));
    let (_, reading) = world.settle();
    let mut reasons: Vec<(String, String)> =
        reading.dropped.iter().map(|d| (d.instance.to_utf8(), d.reason.to_string())).collect();
    reasons.sort();
    let reasons: Vec<String> =
        reasons.into_iter().map(|(instance, why)| format!("{instance} {why}")).collect();
    let wanted = include_str!("data/left-out.txt");
    assert_eq!(reasons.join("\n"), wanted.trim_end());
}
