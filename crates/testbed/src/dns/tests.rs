//! The encoded bytes of answers.

use super::*;

#[test]
fn answers_are_encoded_as_the_rfcs_require() {
    let mut zone = Zone { ttl_s: 120, negative_ttl_s: 60, ..Zone::default() };
    let key = ("_till._tcp.test.".to_string(), PTR);
    zone.records.insert(key, vec![encode_instance_name("t 1", "_till._tcp.test.")]);
    let query =
        b"\x12\x34\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\x05_Till\x04_tcp\x04test\x00\x00\x0c\x00\x01";
    let question = Question::read(query).expect("valid question");
    assert_eq!((question.name.as_str(), question.max_udp_answer), ("_till._tcp.test.", 512));
    // The answer repeats the question's case, so the lower-case PTR target has no common suffix to compress.
    let answer = question.answer_from_zone(&zone, true);
    assert_eq!(&answer[..12], b"\x12\x34\x81\x80\x00\x01\x00\x01\x00\x00\x00\x00");
    assert_eq!(&answer[12..33], &query[12..33]);
    let data = b"\x03t 1\x05_till\x04_tcp\x04test\x00";
    assert_eq!(&answer[33..45], b"\xc0\x0c\x00\x0c\x00\x01\x00\x00\x00\x78\x00\x15");
    assert_eq!(&answer[45..], data);
    let mut lower = query.to_vec();
    lower[13..18].copy_from_slice(b"_till");
    let answer = Question::read(&lower).expect("valid question").answer_from_zone(&zone, true);
    assert_eq!(&answer[33..], b"\xc0\x0c\x00\x0c\x00\x01\x00\x00\x00\x78\x00\x06\x03t 1\xc0\x0c");
    // An unknown name gets NXDOMAIN with the root's SOA record.
    lower[14] = b'x';
    let answer = Question::read(&lower).expect("valid question").answer_from_zone(&zone, true);
    assert_eq!(&answer[2..12], b"\x81\x83\x00\x01\x00\x00\x00\x01\x00\x00");
    assert_eq!(&answer[33..46], b"\x00\x00\x06\x00\x01\x00\x00\x00\x3c\x00\x16\x00\x00");
    assert_eq!(answer.len(), 33 + 11 + 22);
    assert_eq!(&answer[answer.len() - 4..], b"\x00\x00\x00\x3c");
}
