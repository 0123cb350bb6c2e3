//! Formats that outlive a process or are parsed by scripts: the encoded state, byte for byte, and the
//! exact texts of commands and their errors.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use maintenance::{checksummed, Command, CommandOutcome, CommandRejected, MaintenanceState};

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

fn recorded(name: &str) -> String {
    std::fs::read_to_string(data(name)).expect("a recorded file")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut all, byte| {
        write!(all, "{byte:02x}").expect("writing to a string succeeds");
        all
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("digits"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hex")).collect()
}

/// Named states: the default one, and ones with every field set.
fn states() -> Vec<(&'static str, MaintenanceState)> {
    let mut full = MaintenanceState::default();
    for (line, at_ms) in [
        ("DISABLE s-5be2a07c", 1_800_000_000_000.0),
        ("DISABLE s-2", 1_800_000_000_001.5),
        ("DISABLE äther", 0.0),
        ("ENABLE s-2", 1_800_000_000_002.0),
        ("DRAIN", 1_800_000_000_003.25),
    ] {
        let command = Command::parse(line.as_bytes()).expect("a command");
        assert_eq!(full.execute(&command, true, at_ms), Ok(CommandOutcome::Changed));
    }
    let mut undrained = full.clone();
    assert_eq!(undrained.execute(&Command::Undrain, true, 1_800_000_000_004.0), Ok(CommandOutcome::Changed));
    vec![("empty", MaintenanceState::default()), ("full", full), ("undrained", undrained)]
}

fn encode_states() -> String {
    let mut text = String::new();
    for (name, state) in states() {
        let bytes = checksummed::encode("book", &state).expect("the state can be encoded");
        writeln!(text, "{name} {}", hex(&bytes)).expect("writing to a string succeeds");
    }
    text
}

#[test]
fn encodes_the_recorded_bytes() {
    assert_eq!(encode_states(), recorded("sealed.hex"));
}

#[test]
fn decodes_recorded_bytes_and_encodes_them_again() {
    let recorded = recorded("sealed.hex");
    assert_eq!(recorded.lines().count(), states().len());
    for (line, (name, state)) in recorded.lines().zip(states()) {
        let bytes = unhex(line.strip_prefix(name).and_then(|rest| rest.strip_prefix(' ')).expect("a name"));
        assert_eq!(bytes[..6], *b"slkm\x01\x00", "magic, then the version, little-endian");
        let read: MaintenanceState = checksummed::decode("book", &bytes).expect(name);
        assert_eq!(read, state);
        assert_eq!(checksummed::encode("book", &read), Ok(bytes));
    }
    let full = unhex(recorded.lines().nth(1).and_then(|line| line.strip_prefix("full ")).expect("full"));
    let read: MaintenanceState = checksummed::decode("book", &full).expect("a valid state");
    assert_eq!((read.revision(), read.bans()), (5, 2));
    assert_eq!(read.banned_ms("s-5be2a07c"), Some(1_800_000_000_000.0));
    assert_eq!(read.banned_ms("äther"), Some(0.0));
    assert_eq!((read.banned_ms("s-2"), read.reenabled_ms("s-2")), (None, 1_800_000_000_002.0));
    assert_eq!(read.drained_ms(), Some(1_800_000_000_003.25));
}

#[test]
fn decode_errors_have_recorded_texts() {
    let encoded =
        checksummed::encode("book", &MaintenanceState::default()).expect("the state can be encoded");
    let other_type = checksummed::encode("book", &1u8).expect("the state can be encoded");
    let with = |at: usize, byte: u8| {
        let mut bytes = encoded.clone();
        bytes[at] = byte;
        bytes
    };
    for (bytes, text) in [
        (vec![], "not a state of a gateway"),
        (b"slk".to_vec(), "not a state of a gateway"),
        (with(0, b'x'), "not a state of a gateway"),
        (with(4, 2), "a state of version 2; 1 is read"),
        (with(5, 1), "a state of version 257; 1 is read"),
        (encoded[..5].to_vec(), "cut short or garbled"),
        (encoded[..20].to_vec(), "cut short or garbled"),
        (with(6, !encoded[6]), "cut short or garbled"),
        (other_type, "another state"),
    ] {
        let error = checksummed::decode::<MaintenanceState>("book", &bytes).expect_err(text);
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn command_lines_parse_to_the_recorded_commands_or_errors() {
    let (long, longer) = ("x".repeat(253), "x".repeat(254));
    let (long, longer) = (format!("DISABLE {long}"), format!("ENABLE {longer}"));
    let unknown = "unknown call; READY, DISABLE, ENABLE, DRAIN, UNDRAIN are known";
    let (text, surplus, missing) =
        ("a line of text is wanted", "more words than the call takes", "the id of a backend is missing");
    let cases: &[(&[u8], Result<&str, &str>)] = &[
        (b"READY", Ok("READY")),
        (b"ready", Ok("READY")),
        (b"DISABLE s-1", Ok("DISABLE s-1")),
        (b"Disable S-1", Ok("DISABLE S-1")),
        (b"ENABLE s-1", Ok("ENABLE s-1")),
        (b"\tenable\t \ts-1\r", Ok("ENABLE s-1")),
        ("DISABLE äther".as_bytes(), Ok("DISABLE äther")),
        (b"DRAIN", Ok("DRAIN")),
        (b" drain ", Ok("DRAIN")),
        (b"UNDRAIN", Ok("UNDRAIN")),
        (b"undrain\r", Ok("UNDRAIN")),
        (long.as_bytes(), Ok(&long)),
        (longer.as_bytes(), Err("an id of 254 bytes; 253 at most")),
        (b"", Err("empty line")),
        (b" \t\r", Err("empty line")),
        (b"STATUS", Err(unknown)),
        (b"STATUS a b", Err(unknown)),
        (b"REA DY", Err(unknown)),
        (b"DISABLE", Err(missing)),
        (b"enable ", Err(missing)),
        (b"READY now", Err(surplus)),
        (b"DRAIN now", Err(surplus)),
        (b"UNDRAIN now", Err(surplus)),
        (b"DISABLE a b", Err(surplus)),
        (b"ENABLE a b", Err(surplus)),
        (b"DISABLE \xff", Err(text)),
        (b"\xc3", Err(text)),
        (b"DISABLE a\0", Err(text)),
        (b"DISABLE a\nb", Err(text)),
        (b"\x1b[2J", Err(text)),
        ("READY\u{85}".as_bytes(), Err(text)),
    ];
    for (line, expected) in cases {
        let parsed = Command::parse(line).map(|command| command.to_string()).map_err(|e| e.to_string());
        assert_eq!(
            parsed.as_deref().map_err(String::as_str),
            *expected,
            "{:?}",
            String::from_utf8_lossy(line)
        );
    }
}

#[test]
fn rejections_have_recorded_texts() {
    assert_eq!(CommandRejected::UnknownBackend.to_string(), "no backend has this id");
    assert_eq!(CommandRejected::TooManyBans.to_string(), "4096 backends are banned already");
}
