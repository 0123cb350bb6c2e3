//! The bytes of an answer.

use super::*;

#[test]
fn an_answer_is_what_the_rfcs_say_byte_for_byte() {
    let mut zone = Zone { ttl_s: 120, negative_ttl_s: 60, ..Zone::default() };
    let key = ("_till._tcp.test.".to_string(), PTR);
    zone.records.insert(key, vec![instance_wire("t 1", "_till._tcp.test.")]);
    let asked =
        b"\x12\x34\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\x05_Till\x04_tcp\x04test\x00\x00\x0c\x00\x01";
    let question = Question::read(asked).expect("a question");
    assert_eq!((question.name.as_str(), question.most), ("_till._tcp.test.", 512));
    // The case of the question comes back, so its pointer is not shortened to what was asked for.
    let told = question.answer_from_zone(&zone, true);
    assert_eq!(&told[..12], b"\x12\x34\x81\x80\x00\x01\x00\x01\x00\x00\x00\x00");
    assert_eq!(&told[12..33], &asked[12..33]);
    let data = b"\x03t 1\x05_till\x04_tcp\x04test\x00";
    assert_eq!(&told[33..45], b"\xc0\x0c\x00\x0c\x00\x01\x00\x00\x00\x78\x00\x15");
    assert_eq!(&told[45..], data);
    let mut lower = asked.to_vec();
    lower[13..18].copy_from_slice(b"_till");
    let told = Question::read(&lower).expect("a question").answer_from_zone(&zone, true);
    assert_eq!(&told[33..], b"\xc0\x0c\x00\x0c\x00\x01\x00\x00\x00\x78\x00\x06\x03t 1\xc0\x0c");
    // Of a name that is not there: NXDOMAIN, with the root's start of authority.
    lower[14] = b'x';
    let told = Question::read(&lower).expect("a question").answer_from_zone(&zone, true);
    assert_eq!(&told[2..12], b"\x81\x83\x00\x01\x00\x00\x00\x01\x00\x00");
    assert_eq!(&told[33..46], b"\x00\x00\x06\x00\x01\x00\x00\x00\x3c\x00\x16\x00\x00");
    assert_eq!(told.len(), 33 + 11 + 22);
    assert_eq!(&told[told.len() - 4..], b"\x00\x00\x00\x3c");
}
