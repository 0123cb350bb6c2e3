//! Calls, what they leave in force, and the form in which it is handed on.

use maintenance::{checksummed, BadCall, Book, Call, Done, Refused, MAX_BACKEND_ID_BYTES, MAX_BANS};
use proptest::prelude::*;

fn call(line: &str) -> Call {
    Call::read(line.as_bytes()).expect("a call")
}

#[test]
fn lines_that_are_no_calls_say_why() {
    let long = format!("DISABLE {}", "x".repeat(10_000));
    let cases: [(&[u8], BadCall); 9] = [
        (b"", BadCall::Empty),
        (b"  \t ", BadCall::Empty),
        (b"REBOOT", BadCall::Unknown),
        (b"DISABLE", BadCall::NoId),
        (b"ENABLE a b", BadCall::Surplus),
        (b"READY now", BadCall::Surplus),
        (b"DISABLE \xff", BadCall::NoText),
        (b"DISABLE \x1b[2J", BadCall::NoText),
        (long.as_bytes(), BadCall::LongId(10_000)),
    ];
    for (line, why) in cases {
        assert_eq!(Call::read(line), Err(why), "{:?}", String::from_utf8_lossy(line));
    }
    assert_eq!(call(" disable  s-1\r"), Call::Disable("s-1".to_string()));
    assert!(Call::read(format!("ENABLE {}", "x".repeat(MAX_BACKEND_ID_BYTES)).as_bytes()).is_ok());
}

#[test]
fn two_bans_need_one_call_back_and_a_return_is_cold_from_then() {
    let mut book = Book::default();
    let (ban, back) = (call("DISABLE a"), call("ENABLE a"));
    assert_eq!(book.carry_out(&back, true, 1.0), Ok(Done::Held));
    assert_eq!(book.returned_ms("a"), 0.0, "it was never away");
    assert_eq!(book.carry_out(&ban, true, 2.0), Ok(Done::Changed));
    assert_eq!(book.carry_out(&ban, true, 3.0), Ok(Done::Held));
    assert_eq!(book.banned_ms("a"), Some(2.0));
    assert_eq!(book.carry_out(&back, true, 4.0), Ok(Done::Changed));
    assert_eq!((book.banned_ms("a"), book.returned_ms("a")), (None, 4.0));
    book.forget_returns(5.0);
    assert_eq!(book.returned_ms("a"), 0.0);
}

#[test]
fn ids_that_nobody_has_get_a_no_but_a_ban_outlives_its_backend() {
    let mut book = Book::default();
    assert_eq!(book.carry_out(&call("DISABLE a"), false, 1.0), Err(Refused::Unknown));
    assert_eq!(book.carry_out(&call("ENABLE a"), false, 1.0), Err(Refused::Unknown));
    assert_eq!(book.revision(), 0);
    book.carry_out(&call("DISABLE a"), true, 1.0).expect("it is listed");
    assert_eq!(book.carry_out(&call("DISABLE a"), false, 2.0), Ok(Done::Held));
    assert_eq!(book.carry_out(&call("ENABLE a"), false, 3.0), Ok(Done::Changed));
    assert_eq!(book.carry_out(&call("ENABLE a"), false, 4.0), Err(Refused::Unknown));
}

#[test]
fn bans_have_a_bound() {
    let mut book = Book::default();
    for i in 0..MAX_BANS {
        book.carry_out(&call(&format!("DISABLE s-{i}")), true, 1.0).expect("room");
    }
    assert_eq!(book.carry_out(&call("DISABLE more"), true, 1.0), Err(Refused::TooMany));
    assert_eq!(book.carry_out(&call("DISABLE s-0"), true, 1.0), Ok(Done::Held));
}

#[test]
fn a_sealed_book_that_is_cut_or_flipped_anywhere_is_refused() {
    let mut book = Book::default();
    book.carry_out(&call("DISABLE s-5be2a07c"), true, 1.0).expect("listed");
    book.carry_out(&call("DRAIN"), true, 2.0).expect("always");
    let bytes = checksummed::seal("book", &book).expect("it can be written");
    assert_eq!(checksummed::open::<Book>("book", &bytes), Ok(book));
    assert!(checksummed::open::<Book>("other", &bytes).is_err(), "another kind");
    for at in 0..bytes.len() {
        assert!(checksummed::open::<Book>("book", &bytes[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1 << bit;
            assert!(checksummed::open::<Book>("book", &flipped).is_err(), "bit {bit} at {at}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// What holds is what the last call on each subject said, and the revision counts the changes.
    #[test]
    fn the_last_call_on_a_subject_holds(calls in prop::collection::vec((0u8..4, 0u8..3), 0..40)) {
        let mut book = Book::default();
        let (mut banned, mut drained, mut changes) = ([false; 3], false, 0);
        for (at, (verb, id)) in calls.into_iter().enumerate() {
            let before = (banned, drained);
            let line = match verb {
                0 => { banned[id as usize] = true; format!("DISABLE s-{id}") }
                1 => { banned[id as usize] = false; format!("ENABLE s-{id}") }
                2 => { drained = true; "DRAIN".to_string() }
                _ => { drained = false; "UNDRAIN".to_string() }
            };
            let done = book.carry_out(&call(&line), true, at as f64 + 1.0);
            let changed = before != (banned, drained);
            prop_assert_eq!(done, Ok(if changed { Done::Changed } else { Done::Held }));
            changes += u64::from(changed);
        }
        prop_assert_eq!(book.revision(), changes);
        prop_assert_eq!(book.drained_ms().is_some(), drained);
        for (id, banned) in banned.into_iter().enumerate() {
            prop_assert_eq!(book.banned_ms(&format!("s-{id}")).is_some(), banned);
        }
    }
}
