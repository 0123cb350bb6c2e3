//! Queries and answers as literal bytes of the RFC 1035 format, so that an error that the library makes both
//! in encoding and in decoding is detected.

use dns_sd::{
    decode_answer, encode_query, Answer, AnswerError, Name, NegativeAnswer, QueryType, Question, RecordData,
};

const ID: u16 = 0x1234;
/// `_till._tcp.example.org` in wire format.
const SERVICE: &[u8] = b"\x05_till\x04_tcp\x07example\x03org\x00";
const PTR: [u8; 4] = [0, 12, 0, 1];
/// SOA record of `example.org`, whose name is at byte 23 of a message with a question for the service: TTL
/// 900, minimum 60.
const SOA: &[u8] = b"\xc0\x17\x00\x06\x00\x01\x00\x00\x03\x84\x00\x16\x00\x00\
    \x00\x00\x00\x01\x00\x00\x00\x02\x00\x00\x00\x03\x00\x00\x00\x04\x00\x00\x00\x3c";

fn name(text: &str) -> Name {
    Name::from_ascii(text).expect("valid name")
}

fn question() -> Question {
    Question { name: name("_till._tcp.example.org."), kind: QueryType::Ptr }
}

/// Builds a message from its flags, answer and authority counts, and the bytes after the question.
fn message(flags: u16, answers: u16, authorities: u16, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for word in [ID, flags, 1, answers, authorities, 0] {
        bytes.extend(word.to_be_bytes());
    }
    [&bytes, SERVICE, &PTR, rest].concat()
}

/// PTR record of the queried name with a TTL; it points to that name with one more label in front.
fn ptr_record(ttl: u32, label: &str) -> Vec<u8> {
    let mut bytes = vec![0xc0, 12, 0, 12, 0, 1];
    bytes.extend(ttl.to_be_bytes());
    bytes.extend((label.len() as u16 + 3).to_be_bytes());
    bytes.push(label.len() as u8);
    bytes.extend(label.as_bytes());
    bytes.extend([0xc0, 12]);
    bytes
}

/// CNAME record with TTL 30; both names are offsets in the message.
fn cname_record(from: u8, to: u8) -> Vec<u8> {
    vec![0xc0, from, 0, 5, 0, 1, 0, 0, 0, 30, 0, 2, 0xc0, to]
}

#[test]
fn query_follows_the_rfc_with_1232_bytes_payload() {
    let bytes = encode_query(ID, &question()).expect("encodes");
    let header = [0x12, 0x34, 0x01, 0x00, 0, 1, 0, 0, 0, 0, 0, 1];
    // OPT record of the root: payload size 1232, no flags, no data (RFC 6891).
    let opt = [0, 0, 41, 0x04, 0xd0, 0, 0, 0, 0, 0, 0];
    assert_eq!(bytes, [&header[..], SERVICE, &PTR, &opt].concat());
}

#[test]
fn instances_have_the_least_ttl_and_no_duplicates() {
    let rest = [ptr_record(120, "t2"), ptr_record(60, "t1"), ptr_record(90, "t1")].concat();
    let answer = decode_answer(&message(0x8180, 3, 0, &rest), ID, &question()).expect("valid answer");
    let to = |label: &str| RecordData::Ptr(name(&format!("{label}._till._tcp.example.org.")));
    assert_eq!(answer, Answer::Records { records: vec![to("t1"), to("t2")], ttl_s: 60 });
    // A TTL with the top bit set counts as 0 (RFC 2181).
    let high_ttl = decode_answer(&message(0x8180, 1, 0, &ptr_record(0x8000_0001, "t1")), ID, &question());
    assert!(matches!(high_ttl, Ok(Answer::Records { ttl_s: 0, .. })), "{high_ttl:?}");
}

#[test]
fn decodes_srv_records() {
    let question = Question { name: name("t1.example.org."), kind: QueryType::Srv };
    let mut bytes = vec![0x12, 0x34, 0x81, 0x80, 0, 1, 0, 1, 0, 0, 0, 0];
    bytes.extend(b"\x02t1\x07example\x03org\x00\x00\x21\x00\x01");
    bytes.extend(b"\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x78\x00\x16");
    bytes.extend(b"\x00\x0a\x00\x05\x1f\x90\x02h1\x07example\x03org\x00");
    let Ok(Answer::Records { records, ttl_s: 120 }) = decode_answer(&bytes, ID, &question) else {
        panic!("expected one SRV record")
    };
    let [RecordData::Srv(srv)] = &records[..] else { panic!("{records:?}") };
    assert_eq!((srv.priority, srv.weight, srv.port), (10, 5, 8080));
    assert_eq!(srv.target, name("h1.example.org."));
}

#[test]
fn negative_ttl_is_the_lesser_of_ttl_and_minimum() {
    let no_such_name = decode_answer(&message(0x8183, 0, 1, SOA), ID, &question());
    assert_eq!(no_such_name, Ok(Answer::Negative { kind: NegativeAnswer::NoSuchName, ttl_s: 60 }));
    let no_data = decode_answer(&message(0x8180, 0, 1, SOA), ID, &question());
    assert_eq!(no_data, Ok(Answer::Negative { kind: NegativeAnswer::NoData, ttl_s: 60 }));
    let without_soa = decode_answer(&message(0x8180, 0, 0, &[]), ID, &question());
    assert_eq!(without_soa, Ok(Answer::Negative { kind: NegativeAnswer::NoData, ttl_s: 0 }));
}

#[test]
fn error_codes_and_referrals_are_not_negative_answers() {
    for (code, name) in [(1, "Form"), (2, "Server"), (4, "Not Impl"), (5, "Refused")] {
        let answer = decode_answer(&message(0x8180 | code, 0, 0, &[]), ID, &question());
        let Err(AnswerError::ResponseCode(text)) = &answer else { panic!("{name}: {answer:?}") };
        assert!(!text.is_empty());
    }
    // A referral: an NS record without an SOA record.
    let ns_record = b"\xc0\x17\x00\x02\x00\x01\x00\x00\x03\x84\x00\x05\x02ns\xc0\x17";
    let answer = decode_answer(&message(0x8180, 0, 1, ns_record), ID, &question());
    assert_eq!(answer, Err(AnswerError::Referral));
    // NXDOMAIN together with a record of the name.
    let both = decode_answer(&message(0x8183, 1, 0, &ptr_record(9, "t1")), ID, &question());
    assert!(matches!(both, Err(AnswerError::Malformed(_))), "{both:?}");
}

#[test]
fn detects_unrelated_truncated_and_incomplete_answers() {
    let valid = message(0x8180, 1, 0, &ptr_record(9, "t1"));
    assert_eq!(decode_answer(&valid, ID + 1, &question()), Err(AnswerError::IdMismatch));
    let other = Question { name: name("_shop._tcp.example.org."), kind: QueryType::Ptr };
    assert_eq!(decode_answer(&valid, ID, &other), Err(AnswerError::QuestionMismatch));
    let srv = Question { kind: QueryType::Srv, ..question() };
    assert_eq!(decode_answer(&valid, ID, &srv), Err(AnswerError::QuestionMismatch));
    assert_eq!(decode_answer(&message(0x0180, 0, 0, &[]), ID, &question()), Err(AnswerError::NotAResponse));
    for error in [AnswerError::IdMismatch, AnswerError::QuestionMismatch, AnswerError::NotAResponse] {
        assert!(error.is_unrelated());
    }
    assert_eq!(decode_answer(&message(0x8380, 0, 0, &[]), ID, &question()), Ok(Answer::Truncated));
    // No proper prefix of a message is a valid message.
    for length in 0..valid.len() {
        assert!(
            matches!(decode_answer(&valid[..length], ID, &question()), Err(AnswerError::Malformed(_))),
            "{length}"
        );
    }
}

#[test]
fn names_ignore_case_and_other_records_are_ignored() {
    let mut valid = message(0x8180, 1, 0, &ptr_record(9, "t1"));
    valid[13..18].copy_from_slice(b"_TILL");
    assert!(matches!(decode_answer(&valid, ID, &question()), Ok(Answer::Records { .. })));
    // A record of `example.org`, which does not match the question.
    let mut unrelated = ptr_record(9, "t1");
    unrelated[1] = 23;
    let answer = decode_answer(&message(0x8180, 1, 0, &unrelated), ID, &question());
    assert_eq!(answer, Ok(Answer::Negative { kind: NegativeAnswer::NoData, ttl_s: 0 }));
}

#[test]
fn follows_aliases_and_rejects_loops() {
    // An alias of the service to `example.org` (byte 23), and a PTR record of that name to itself.
    let alias = [cname_record(12, 23), vec![0xc0, 23, 0, 12, 0, 1, 0, 0, 0, 90, 0, 2, 0xc0, 23]].concat();
    let answer = decode_answer(&message(0x8180, 2, 0, &alias), ID, &question());
    let records = vec![RecordData::Ptr(name("example.org."))];
    assert_eq!(answer, Ok(Answer::Records { records, ttl_s: 30 }));
    let looped = [cname_record(12, 23), cname_record(23, 12)].concat();
    assert_eq!(decode_answer(&message(0x8180, 2, 0, &looped), ID, &question()), Err(AnswerError::AliasChain));
    assert_eq!(
        decode_answer(&message(0x8180, 1, 0, &cname_record(12, 12)), ID, &question()),
        Err(AnswerError::AliasChain)
    );
}

#[test]
fn compression_pointer_loops_are_rejected() {
    let mut bytes = vec![0x12, 0x34, 0x81, 0x80, 0, 1, 0, 0, 0, 0, 0, 0];
    bytes.extend([0xc0, 12, 0, 12, 0, 1]);
    assert!(matches!(decode_answer(&bytes, ID, &question()), Err(AnswerError::Malformed(_))));
    // Two compression pointers that refer to each other.
    let mut bytes = vec![0x12, 0x34, 0x81, 0x80, 0, 1, 0, 1, 0, 0, 0, 0];
    bytes.extend([SERVICE, &PTR].concat());
    let offset = bytes.len() as u8;
    bytes.extend([0xc0, offset + 2, 0xc0, offset, 0, 12, 0, 1, 0, 0, 0, 9, 0, 2, 0xc0, 12]);
    assert!(matches!(decode_answer(&bytes, ID, &question()), Err(AnswerError::Malformed(_))));
}
