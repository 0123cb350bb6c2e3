//! Texts in logs and tools: answer errors, drop reasons and changes of the list.

mod support;

use dns_sd::{AnswerError, CacheLimits, Change, Name, QueryType, RecordData, SrvRecord};
use support::{instance, name, question, Harness, SERVICE};

#[test]
fn answer_errors_have_recorded_texts() {
    for (error, text) in [
        (AnswerError::Malformed("x".to_string()), "no DNS message: x"),
        (AnswerError::IdMismatch, "an answer with another id"),
        (AnswerError::QuestionMismatch, "an answer to another question"),
        (AnswerError::NotAResponse, "no answer to a query"),
        (AnswerError::ResponseCode("Server Failure".to_string()), "the resolver says Server Failure"),
        (AnswerError::Referral, "a referral, and no answer"),
        (AnswerError::AliasChain, "more than 8 aliases, or a loop of them"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn questions_and_changes_have_recorded_texts() {
    let kinds = [QueryType::Ptr, QueryType::Srv, QueryType::Txt, QueryType::A, QueryType::Aaaa]
        .map(|kind| kind.to_string());
    assert_eq!(kinds, ["PTR", "SRV", "TXT", "A", "AAAA"]);
    let question = question(name(SERVICE), QueryType::Ptr);
    assert_eq!(question.to_string(), "_till._tcp.example.org. PTR");
    let changes = [
        Change::Added("t1".to_string()),
        Change::Changed("t1".to_string()),
        Change::Removed("t1".to_string(), question),
    ];
    let texts = changes.map(|change| change.to_string());
    assert_eq!(texts, ["+ t1", "~ t1", "- t1 by _till._tcp.example.org. PTR"]);
}

#[test]
fn drop_reasons_have_recorded_texts() {
    let mut harness = Harness::new(CacheLimits::default(), 0.5);
    for (port, label) in (9_000..).zip(["t1", "t3", "t4"]) {
        harness.add_instance(label, 0, port, &[]);
    }
    harness.add_instance("t5", 0, 9_005, &["group=many"]);
    harness.add_instance("t7", 0, 0, &[]);
    harness.add_instance("t8", 0, 9_008, &[]);
    let target = SrvRecord { priority: 0, weight: 0, port: 7, target: name(".") };
    harness.zone.insert(question(instance("t8"), QueryType::Srv), vec![RecordData::Srv(target)]);
    harness.add_instance("t9", 0, 9_009, &[]);
    harness.zone.remove(&question(name("t9.hosts.example.org."), QueryType::A));
    let instance_with_label = |label: &[u8]| {
        let service = name(SERVICE);
        Name::from_labels(std::iter::once(label).chain(service.iter())).expect("valid name")
    };
    let not_utf8 = instance_with_label(b"\xff\xfe");
    let with_control = instance_with_label(b"a\x07b");
    let other_service = name("t1._shop._tcp.example.org.");
    let pointers = harness.zone.entry(question(name(SERVICE), QueryType::Ptr)).or_default();
    pointers.extend(
        [&not_utf8, &with_control, &other_service, &Name::root()].map(|name| RecordData::Ptr(name.clone())),
    );
    let (_, update) = harness.settle();
    let mut reasons: Vec<(String, String)> =
        update.dropped.iter().map(|d| (d.instance.to_utf8(), d.reason.to_string())).collect();
    reasons.sort();
    let reasons: Vec<String> =
        reasons.into_iter().map(|(instance, reason)| format!("{instance} {reason}")).collect();
    let expected = include_str!("data/left-out.txt");
    assert_eq!(reasons.join("\n"), expected.trim_end());
    let (_, invalid) = harness.catalogue.list().find(|(name, _)| *name == "t5").expect("listed");
    let unknown: Vec<String> = invalid.metadata.unknown.values().map(ToString::to_string).collect();
    let missing = "missing";
    assert_eq!(
        unknown,
        [missing, missing, "TXT group: a whole number below 2^32 is wanted", missing, missing]
    );
}
