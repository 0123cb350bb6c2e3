//! Calls, what they leave in force, and the form in which it is handed on.

use maintenance::{
    checksummed, Command, CommandError, CommandOutcome, CommandRejected, MaintenanceState,
    MAX_BACKEND_ID_BYTES, MAX_BANS,
};
use proptest::prelude::*;

fn call(line: &str) -> Command {
    Command::read(line.as_bytes()).expect("a call")
}

#[test]
fn rejects_lines_that_are_no_commands() {
    let long = format!("DISABLE {}", "x".repeat(10_000));
    let cases: [(&[u8], CommandError); 9] = [
        (b"", CommandError::Empty),
        (b"  \t ", CommandError::Empty),
        (b"REBOOT", CommandError::Unknown),
        (b"DISABLE", CommandError::NoId),
        (b"ENABLE a b", CommandError::Surplus),
        (b"READY now", CommandError::Surplus),
        (b"DISABLE \xff", CommandError::NoText),
        (b"DISABLE \x1b[2J", CommandError::NoText),
        (long.as_bytes(), CommandError::LongId(10_000)),
    ];
    for (line, why) in cases {
        assert_eq!(Command::read(line), Err(why), "{:?}", String::from_utf8_lossy(line));
    }
    assert_eq!(call(" disable  s-1\r"), Command::Disable("s-1".to_string()));
    assert!(Command::read(format!("ENABLE {}", "x".repeat(MAX_BACKEND_ID_BYTES)).as_bytes()).is_ok());
}

#[test]
fn one_enable_ends_two_bans_and_the_backend_warms_up_again() {
    let mut state = MaintenanceState::default();
    let (ban, back) = (call("DISABLE a"), call("ENABLE a"));
    assert_eq!(state.execute(&back, true, 1.0), Ok(CommandOutcome::AlreadyInForce));
    assert_eq!(state.reenabled_ms("a"), 0.0, "it was never away");
    assert_eq!(state.execute(&ban, true, 2.0), Ok(CommandOutcome::Changed));
    assert_eq!(state.execute(&ban, true, 3.0), Ok(CommandOutcome::AlreadyInForce));
    assert_eq!(state.banned_ms("a"), Some(2.0));
    assert_eq!(state.execute(&back, true, 4.0), Ok(CommandOutcome::Changed));
    assert_eq!((state.banned_ms("a"), state.reenabled_ms("a")), (None, 4.0));
    state.forget_reenabled(5.0);
    assert_eq!(state.reenabled_ms("a"), 0.0);
}

#[test]
fn rejects_unknown_ids_but_keeps_bans_of_removed_backends() {
    let mut state = MaintenanceState::default();
    assert_eq!(state.execute(&call("DISABLE a"), false, 1.0), Err(CommandRejected::UnknownBackend));
    assert_eq!(state.execute(&call("ENABLE a"), false, 1.0), Err(CommandRejected::UnknownBackend));
    assert_eq!(state.revision(), 0);
    state.execute(&call("DISABLE a"), true, 1.0).expect("it is listed");
    assert_eq!(state.execute(&call("DISABLE a"), false, 2.0), Ok(CommandOutcome::AlreadyInForce));
    assert_eq!(state.execute(&call("ENABLE a"), false, 3.0), Ok(CommandOutcome::Changed));
    assert_eq!(state.execute(&call("ENABLE a"), false, 4.0), Err(CommandRejected::UnknownBackend));
}

#[test]
fn bans_are_bounded() {
    let mut state = MaintenanceState::default();
    for i in 0..MAX_BANS {
        state.execute(&call(&format!("DISABLE s-{i}")), true, 1.0).expect("room");
    }
    assert_eq!(state.execute(&call("DISABLE more"), true, 1.0), Err(CommandRejected::TooManyBans));
    assert_eq!(state.execute(&call("DISABLE s-0"), true, 1.0), Ok(CommandOutcome::AlreadyInForce));
}

#[test]
fn rejects_a_state_cut_or_changed_anywhere() {
    let mut state = MaintenanceState::default();
    state.execute(&call("DISABLE s-5be2a07c"), true, 1.0).expect("listed");
    state.execute(&call("DRAIN"), true, 2.0).expect("always");
    let bytes = checksummed::encode("book", &state).expect("it can be written");
    assert_eq!(checksummed::decode::<MaintenanceState>("book", &bytes), Ok(state));
    assert!(checksummed::decode::<MaintenanceState>("other", &bytes).is_err(), "another kind");
    for at in 0..bytes.len() {
        assert!(checksummed::decode::<MaintenanceState>("book", &bytes[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1 << bit;
            assert!(checksummed::decode::<MaintenanceState>("book", &flipped).is_err(), "bit {bit} at {at}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// What holds is what the last call on each subject said, and the revision counts the changes.
    #[test]
    fn last_command_on_a_subject_is_in_force(calls in prop::collection::vec((0u8..4, 0u8..3), 0..40)) {
        let mut state = MaintenanceState::default();
        let (mut banned, mut drained, mut changes) = ([false; 3], false, 0);
        for (at, (verb, id)) in calls.into_iter().enumerate() {
            let before = (banned, drained);
            let line = match verb {
                0 => { banned[id as usize] = true; format!("DISABLE s-{id}") }
                1 => { banned[id as usize] = false; format!("ENABLE s-{id}") }
                2 => { drained = true; "DRAIN".to_string() }
                _ => { drained = false; "UNDRAIN".to_string() }
            };
            let done = state.execute(&call(&line), true, at as f64 + 1.0);
            let changed = before != (banned, drained);
            let expected = if changed { CommandOutcome::Changed } else { CommandOutcome::AlreadyInForce };
            prop_assert_eq!(done, Ok(expected));
            changes += u64::from(changed);
        }
        prop_assert_eq!(state.revision(), changes);
        prop_assert_eq!(state.drained_ms().is_some(), drained);
        for (id, banned) in banned.into_iter().enumerate() {
            prop_assert_eq!(state.banned_ms(&format!("s-{id}")).is_some(), banned);
        }
    }
}
