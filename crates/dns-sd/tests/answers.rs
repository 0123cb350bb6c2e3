//! Answers written out by hand, byte for byte from RFC 1035, so that a mistake shared with the library shows.

use dns_sd::{
    decode_answer, encode_query, Answer, AnswerError, Name, NegativeAnswer, QueryType, Question, RecordData,
};

const ID: u16 = 0x1234;
/// `_till._tcp.example.org`, as a name on the wire.
const SERVICE: &[u8] = b"\x05_till\x04_tcp\x07example\x03org\x00";
const PTR: [u8; 4] = [0, 12, 0, 1];
/// A start of authority at `example.org`, which stands at byte 23 of a message that asks for the service:
/// TTL 900, minimum 60.
const SOA: &[u8] = b"\xc0\x17\x00\x06\x00\x01\x00\x00\x03\x84\x00\x16\x00\x00\
    \x00\x00\x00\x01\x00\x00\x00\x02\x00\x00\x00\x03\x00\x00\x00\x04\x00\x00\x00\x3c";

fn name(text: &str) -> Name {
    Name::from_ascii(text).expect("a name")
}

fn question() -> Question {
    Question { name: name("_till._tcp.example.org."), kind: QueryType::Ptr }
}

/// Flags, counts of answers and authorities, what follows the question.
fn message(flags: u16, answers: u16, authorities: u16, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for word in [ID, flags, 1, answers, authorities, 0] {
        bytes.extend(word.to_be_bytes());
    }
    [&bytes, SERVICE, &PTR, rest].concat()
}

/// A PTR record of the name asked for, with a TTL, to a label before it.
fn pointer(ttl: u32, to: &str) -> Vec<u8> {
    let mut bytes = vec![0xc0, 12, 0, 12, 0, 1];
    bytes.extend(ttl.to_be_bytes());
    bytes.extend((to.len() as u16 + 3).to_be_bytes());
    bytes.push(to.len() as u8);
    bytes.extend(to.as_bytes());
    bytes.extend([0xc0, 12]);
    bytes
}

fn alias(from: u8, to: u8) -> Vec<u8> {
    vec![0xc0, from, 0, 5, 0, 1, 0, 0, 0, 30, 0, 2, 0xc0, to]
}

#[test]
fn query_follows_the_rfc_with_1232_bytes_payload() {
    let bytes = encode_query(ID, &question()).expect("it can be written");
    let head = [0x12, 0x34, 0x01, 0x00, 0, 1, 0, 0, 0, 0, 0, 1];
    // The root, OPT, 1232 bytes, no flags, no data (RFC 6891).
    let opt = [0, 0, 41, 0x04, 0xd0, 0, 0, 0, 0, 0, 0];
    assert_eq!(bytes, [&head[..], SERVICE, &PTR, &opt].concat());
}

#[test]
fn instances_have_the_least_ttl_and_no_duplicates() {
    let rest = [pointer(120, "t2"), pointer(60, "t1"), pointer(90, "t1")].concat();
    let answer = decode_answer(&message(0x8180, 3, 0, &rest), ID, &question()).expect("an answer");
    let to = |label: &str| RecordData::Ptr(name(&format!("{label}._till._tcp.example.org.")));
    assert_eq!(answer, Answer::Records { records: vec![to("t1"), to("t2")], ttl_s: 60 });
    // The top bit of a TTL makes it 0 (RFC 2181).
    let odd = decode_answer(&message(0x8180, 1, 0, &pointer(0x8000_0001, "t1")), ID, &question());
    assert!(matches!(odd, Ok(Answer::Records { ttl_s: 0, .. })), "{odd:?}");
}

#[test]
fn decodes_srv_records() {
    let asked = Question { name: name("t1.example.org."), kind: QueryType::Srv };
    let mut bytes = vec![0x12, 0x34, 0x81, 0x80, 0, 1, 0, 1, 0, 0, 0, 0];
    bytes.extend(b"\x02t1\x07example\x03org\x00\x00\x21\x00\x01");
    bytes.extend(b"\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x78\x00\x16");
    bytes.extend(b"\x00\x0a\x00\x05\x1f\x90\x02h1\x07example\x03org\x00");
    let Ok(Answer::Records { records, ttl_s: 120 }) = decode_answer(&bytes, ID, &asked) else {
        panic!("an answer")
    };
    let [RecordData::Srv(service)] = &records[..] else { panic!("{records:?}") };
    assert_eq!((service.priority, service.weight, service.port), (10, 5, 8080));
    assert_eq!(service.target, name("h1.example.org."));
}

#[test]
fn negative_ttl_is_the_lesser_of_ttl_and_minimum() {
    let gone = decode_answer(&message(0x8183, 0, 1, SOA), ID, &question());
    assert_eq!(gone, Ok(Answer::None { why: NegativeAnswer::NoSuchName, ttl_s: 60 }));
    let empty = decode_answer(&message(0x8180, 0, 1, SOA), ID, &question());
    assert_eq!(empty, Ok(Answer::None { why: NegativeAnswer::NoData, ttl_s: 60 }));
    let bare = decode_answer(&message(0x8180, 0, 0, &[]), ID, &question());
    assert_eq!(bare, Ok(Answer::None { why: NegativeAnswer::NoData, ttl_s: 0 }));
}

#[test]
fn failures_are_no_negative_answers() {
    for (code, word) in [(1, "Form"), (2, "Server"), (4, "Not Impl"), (5, "Refused")] {
        let answer = decode_answer(&message(0x8180 | code, 0, 0, &[]), ID, &question());
        let Err(AnswerError::Code(said)) = &answer else { panic!("{word}: {answer:?}") };
        assert!(!said.is_empty());
    }
    // Name servers to ask, and no start of authority.
    let points = b"\xc0\x17\x00\x02\x00\x01\x00\x00\x03\x84\x00\x05\x02ns\xc0\x17";
    let answer = decode_answer(&message(0x8180, 0, 1, points), ID, &question());
    assert_eq!(answer, Err(AnswerError::Referral));
    // Both "no such name" and a record of it.
    let both = decode_answer(&message(0x8183, 1, 0, &pointer(9, "t1")), ID, &question());
    assert!(matches!(both, Err(AnswerError::Garbled(_))), "{both:?}");
}

#[test]
fn unrelated_and_truncated_answers_are_told_apart() {
    let good = message(0x8180, 1, 0, &pointer(9, "t1"));
    assert_eq!(decode_answer(&good, ID + 1, &question()), Err(AnswerError::OtherId));
    let other = Question { name: name("_shop._tcp.example.org."), kind: QueryType::Ptr };
    assert_eq!(decode_answer(&good, ID, &other), Err(AnswerError::OtherQuestion));
    let srv = Question { kind: QueryType::Srv, ..question() };
    assert_eq!(decode_answer(&good, ID, &srv), Err(AnswerError::OtherQuestion));
    assert_eq!(decode_answer(&message(0x0180, 0, 0, &[]), ID, &question()), Err(AnswerError::NoAnswer));
    for strange in [AnswerError::OtherId, AnswerError::OtherQuestion, AnswerError::NoAnswer] {
        assert!(strange.is_unrelated());
    }
    assert_eq!(decode_answer(&message(0x8380, 0, 0, &[]), ID, &question()), Ok(Answer::Truncated));
    // Each part of a message but the whole is none.
    for length in 0..good.len() {
        assert!(
            matches!(decode_answer(&good[..length], ID, &question()), Err(AnswerError::Garbled(_))),
            "{length}"
        );
    }
}

#[test]
fn names_ignore_case_and_other_records_are_ignored() {
    let mut good = message(0x8180, 1, 0, &pointer(9, "t1"));
    good[13..18].copy_from_slice(b"_TILL");
    assert!(matches!(decode_answer(&good, ID, &question()), Ok(Answer::Records { .. })));
    // A record of `example.org`, which nobody asked for.
    let mut odd = pointer(9, "t1");
    odd[1] = 23;
    let answer = decode_answer(&message(0x8180, 1, 0, &odd), ID, &question());
    assert_eq!(answer, Ok(Answer::None { why: NegativeAnswer::NoData, ttl_s: 0 }));
}

#[test]
fn follows_aliases_and_rejects_loops() {
    // The service to `example.org` (byte 23), and that to itself again.
    let there = [alias(12, 23), vec![0xc0, 23, 0, 12, 0, 1, 0, 0, 0, 90, 0, 2, 0xc0, 23]].concat();
    let answer = decode_answer(&message(0x8180, 2, 0, &there), ID, &question());
    let records = vec![RecordData::Ptr(name("example.org."))];
    assert_eq!(answer, Ok(Answer::Records { records, ttl_s: 30 }));
    let looped = [alias(12, 23), alias(23, 12)].concat();
    assert_eq!(decode_answer(&message(0x8180, 2, 0, &looped), ID, &question()), Err(AnswerError::Chain));
    assert_eq!(
        decode_answer(&message(0x8180, 1, 0, &alias(12, 12)), ID, &question()),
        Err(AnswerError::Chain)
    );
}

#[test]
fn compression_loops_end() {
    let mut bytes = vec![0x12, 0x34, 0x81, 0x80, 0, 1, 0, 0, 0, 0, 0, 0];
    bytes.extend([0xc0, 12, 0, 12, 0, 1]);
    assert!(matches!(decode_answer(&bytes, ID, &question()), Err(AnswerError::Garbled(_))));
    // Two that lead to each other.
    let mut bytes = vec![0x12, 0x34, 0x81, 0x80, 0, 1, 0, 1, 0, 0, 0, 0];
    bytes.extend([SERVICE, &PTR].concat());
    let at = bytes.len() as u8;
    bytes.extend([0xc0, at + 2, 0xc0, at, 0, 12, 0, 1, 0, 0, 0, 9, 0, 2, 0xc0, 12]);
    assert!(matches!(decode_answer(&bytes, ID, &question()), Err(AnswerError::Garbled(_))));
}
