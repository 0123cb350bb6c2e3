//! Commands, the maintenance state that they set, and its encoding.

use maintenance::{
    checksummed, Command, CommandError, CommandOutcome, CommandRejected, MaintenanceState,
    MAX_BACKEND_ID_BYTES, MAX_BANS,
};
use proptest::prelude::*;

fn command(line: &str) -> Command {
    Command::parse(line.as_bytes()).expect("a command")
}

#[test]
fn rejects_invalid_command_lines() {
    let long = format!("DISABLE {}", "x".repeat(10_000));
    let cases: [(&[u8], CommandError); 9] = [
        (b"", CommandError::Empty),
        (b"  \t ", CommandError::Empty),
        (b"REBOOT", CommandError::Unknown),
        (b"DISABLE", CommandError::MissingId),
        (b"ENABLE a b", CommandError::ExtraWords),
        (b"READY now", CommandError::ExtraWords),
        (b"DISABLE \xff", CommandError::NotText),
        (b"DISABLE \x1b[2J", CommandError::NotText),
        (long.as_bytes(), CommandError::IdTooLong(10_000)),
    ];
    for (line, expected) in cases {
        assert_eq!(Command::parse(line), Err(expected), "{:?}", String::from_utf8_lossy(line));
    }
    assert_eq!(command(" disable  s-1\r"), Command::Disable("s-1".to_string()));
    assert!(Command::parse(format!("ENABLE {}", "x".repeat(MAX_BACKEND_ID_BYTES)).as_bytes()).is_ok());
}

#[test]
fn one_enable_ends_repeated_ban_and_backend_warms_up() {
    let mut state = MaintenanceState::default();
    let (disable, enable) = (command("DISABLE a"), command("ENABLE a"));
    assert_eq!(state.execute(&enable, true, 1.0), Ok(CommandOutcome::AlreadyInForce));
    assert_eq!(state.reenabled_ms("a"), 0.0, "it was never banned");
    assert_eq!(state.execute(&disable, true, 2.0), Ok(CommandOutcome::Changed));
    assert_eq!(state.execute(&disable, true, 3.0), Ok(CommandOutcome::AlreadyInForce));
    assert_eq!(state.banned_ms("a"), Some(2.0));
    assert_eq!(state.execute(&enable, true, 4.0), Ok(CommandOutcome::Changed));
    assert_eq!((state.banned_ms("a"), state.reenabled_ms("a")), (None, 4.0));
    state.forget_reenabled(5.0);
    assert_eq!(state.reenabled_ms("a"), 0.0);
}

#[test]
fn rejects_unknown_ids_but_keeps_bans_of_removed_backends() {
    let mut state = MaintenanceState::default();
    assert_eq!(state.execute(&command("DISABLE a"), false, 1.0), Err(CommandRejected::UnknownBackend));
    assert_eq!(state.execute(&command("ENABLE a"), false, 1.0), Err(CommandRejected::UnknownBackend));
    assert_eq!(state.revision(), 0);
    state.execute(&command("DISABLE a"), true, 1.0).expect("the backend is listed");
    assert_eq!(state.execute(&command("DISABLE a"), false, 2.0), Ok(CommandOutcome::AlreadyInForce));
    assert_eq!(state.execute(&command("ENABLE a"), false, 3.0), Ok(CommandOutcome::Changed));
    assert_eq!(state.execute(&command("ENABLE a"), false, 4.0), Err(CommandRejected::UnknownBackend));
}

#[test]
fn rejects_bans_beyond_the_limit() {
    let mut state = MaintenanceState::default();
    for i in 0..MAX_BANS {
        state.execute(&command(&format!("DISABLE s-{i}")), true, 1.0).expect("fewer bans than the limit");
    }
    assert_eq!(state.execute(&command("DISABLE more"), true, 1.0), Err(CommandRejected::TooManyBans));
    assert_eq!(state.execute(&command("DISABLE s-0"), true, 1.0), Ok(CommandOutcome::AlreadyInForce));
}

#[test]
fn rejects_a_state_truncated_or_changed_anywhere() {
    let mut state = MaintenanceState::default();
    state.execute(&command("DISABLE s-5be2a07c"), true, 1.0).expect("the backend is listed");
    state.execute(&command("DRAIN"), true, 2.0).expect("DRAIN always succeeds");
    let bytes = checksummed::encode("book", &state).expect("the state can be encoded");
    assert_eq!(checksummed::decode::<MaintenanceState>("book", &bytes), Ok(state));
    assert!(checksummed::decode::<MaintenanceState>("other", &bytes).is_err(), "another kind");
    for at in 0..bytes.len() {
        assert!(checksummed::decode::<MaintenanceState>("book", &bytes[..at]).is_err(), "truncated at {at}");
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1 << bit;
            assert!(checksummed::decode::<MaintenanceState>("book", &flipped).is_err(), "bit {bit} at {at}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// The last command on each subject is in force, and the revision counts the changes.
    #[test]
    fn last_command_on_a_subject_is_in_force(commands in prop::collection::vec((0u8..4, 0u8..3), 0..40)) {
        let mut state = MaintenanceState::default();
        let (mut banned, mut drained, mut changes) = ([false; 3], false, 0);
        for (at, (verb, id)) in commands.into_iter().enumerate() {
            let before = (banned, drained);
            let line = match verb {
                0 => { banned[id as usize] = true; format!("DISABLE s-{id}") }
                1 => { banned[id as usize] = false; format!("ENABLE s-{id}") }
                2 => { drained = true; "DRAIN".to_string() }
                _ => { drained = false; "UNDRAIN".to_string() }
            };
            let outcome = state.execute(&command(&line), true, at as f64 + 1.0);
            let changed = before != (banned, drained);
            let expected = if changed { CommandOutcome::Changed } else { CommandOutcome::AlreadyInForce };
            prop_assert_eq!(outcome, Ok(expected));
            changes += u64::from(changed);
        }
        prop_assert_eq!(state.revision(), changes);
        prop_assert_eq!(state.drained_ms().is_some(), drained);
        for (id, banned) in banned.into_iter().enumerate() {
            prop_assert_eq!(state.banned_ms(&format!("s-{id}")).is_some(), banned);
        }
    }
}
