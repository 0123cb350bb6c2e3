//! The keys of an instance's TXT records.

use std::fmt;

/// Maximum length of a text value, characters.
const MAX_TEXT_CHARS: usize = 64;
/// Upper bound of times (exclusive), ms. Integers below it are exact as `f64`.
const MAX_TIME_MS: u64 = 1 << 53;

/// Whether an instance accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// It accepts requests: `status=serving`.
    #[default]
    Serving,
    /// It only finishes the requests in flight: `status=draining`.
    Draining,
}

/// A known key of a TXT record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TxtKey {
    /// `zone`.
    Zone,
    /// `type`: the instance type.
    Type,
    /// `group`: the cell.
    Group,
    /// `status`.
    Status,
    /// `since`: the start time.
    Since,
}

impl TxtKey {
    /// All keys.
    pub const ALL: [TxtKey; 5] = [TxtKey::Zone, TxtKey::Type, TxtKey::Group, TxtKey::Status, TxtKey::Since];

    /// Returns the key as written in records.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            TxtKey::Zone => "zone",
            TxtKey::Type => "type",
            TxtKey::Group => "group",
            TxtKey::Status => "status",
            TxtKey::Since => "since",
        }
    }
}

/// Reason for which the value of a key is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownValue {
    /// No record has the key, or there is no record.
    Missing,
    /// Its value is invalid.
    Invalid(TxtError),
    /// Several records have different values.
    Contradictory,
    /// The query for the records has had no answer for too long.
    Unanswered,
}

impl fmt::Display for UnknownValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnknownValue::Missing => f.write_str("missing"),
            UnknownValue::Invalid(error) => error.fmt(f),
            UnknownValue::Contradictory => f.write_str("several TXT records differ"),
            UnknownValue::Unanswered => f.write_str("TXT unanswered"),
        }
    }
}

/// The value of a key, or why it is unknown.
pub type TxtValue<T> = Result<T, UnknownValue>;

/// What the TXT records of an instance state. A value that they do not state has no default here:
/// [`ListedMetadata`](crate::ListedMetadata) decides what follows from it.
///
/// Keys are case-insensitive, the first occurrence of a key in a record counts (RFC 6763, section 6.4), and
/// unknown keys are ignored.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceMetadata {
    /// `zone`: at most 64 characters.
    pub zone: TxtValue<String>,
    /// `type`: instance type (hardware or build), at most 64 characters.
    pub instance_type: TxtValue<String>,
    /// `group`: the cell, an integer below 2^32.
    pub group: TxtValue<u32>,
    /// `status`: `serving` or `draining`.
    pub status: TxtValue<Status>,
    /// `since`: start time of the instance, Unix time in ms below 2^53.
    pub since_ms: TxtValue<f64>,
}

/// An invalid value of a TXT key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxtError {
    /// The key.
    pub key: &'static str,
    /// Description of the valid values.
    pub expected: &'static str,
}

impl fmt::Display for TxtError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TXT {}: {} is wanted", self.key, self.expected)
    }
}

impl std::error::Error for TxtError {}

impl InstanceMetadata {
    /// Returns metadata without any known value.
    #[must_use]
    pub fn unknown(reason: UnknownValue) -> InstanceMetadata {
        InstanceMetadata {
            zone: Err(reason),
            instance_type: Err(reason),
            group: Err(reason),
            status: Err(reason),
            since_ms: Err(reason),
        }
    }

    /// Parses the strings of a TXT record.
    #[must_use]
    pub fn read(strings: &[Box<[u8]>]) -> InstanceMetadata {
        let mut metadata = InstanceMetadata::unknown(UnknownValue::Missing);
        let mut keys_seen: Vec<TxtKey> = Vec::new();
        for string in strings {
            let (key, value) = split_key(string);
            let Some(key) = TxtKey::ALL.into_iter().find(|known| known.as_str().as_bytes() == key) else {
                continue;
            };
            if !keys_seen.contains(&key) {
                keys_seen.push(key);
                metadata.set(key, value);
            }
        }
        metadata
    }

    /// Parses all TXT records of an instance. A value is known if all records that have its key agree.
    #[must_use]
    pub fn read_all<'a>(records: impl IntoIterator<Item = &'a [Box<[u8]>]>) -> InstanceMetadata {
        let parsed = records.into_iter().map(InstanceMetadata::read);
        parsed.fold(InstanceMetadata::unknown(UnknownValue::Missing), InstanceMetadata::combine)
    }

    fn combine(self, other: InstanceMetadata) -> InstanceMetadata {
        InstanceMetadata {
            zone: combine_values(self.zone, other.zone),
            instance_type: combine_values(self.instance_type, other.instance_type),
            group: combine_values(self.group, other.group),
            status: combine_values(self.status, other.status),
            since_ms: combine_values(self.since_ms, other.since_ms),
        }
    }

    /// Parses and stores the value of a key.
    fn set(&mut self, key: TxtKey, value: &[u8]) {
        match key {
            TxtKey::Zone => self.zone = parse_text("zone", value),
            TxtKey::Type => self.instance_type = parse_text("type", value),
            TxtKey::Group => self.group = parse_group(value),
            TxtKey::Status => self.status = parse_status(value),
            TxtKey::Since => self.since_ms = parse_time_ms("since", value),
        }
    }
}

/// Combines the values that two records have for the same key.
fn combine_values<T: PartialEq>(first: TxtValue<T>, second: TxtValue<T>) -> TxtValue<T> {
    match (first, second) {
        (Err(UnknownValue::Missing), other) | (other, Err(UnknownValue::Missing)) => other,
        (Ok(first), Ok(second)) if first == second => Ok(first),
        (Err(reason), _) | (_, Err(reason)) => Err(reason),
        (Ok(_), Ok(_)) => Err(UnknownValue::Contradictory),
    }
}

/// Splits a string into its lowercase key and its value. Without a `=` the value is empty.
fn split_key(string: &[u8]) -> (Vec<u8>, &[u8]) {
    let end = string.iter().position(|byte| *byte == b'=').unwrap_or(string.len());
    (string[..end].to_ascii_lowercase(), string.get(end + 1..).unwrap_or_default())
}

fn invalid<T>(key: &'static str, expected: &'static str) -> TxtValue<T> {
    Err(UnknownValue::Invalid(TxtError { key, expected }))
}

fn parse_text(key: &'static str, value: &[u8]) -> TxtValue<String> {
    let is_allowed =
        |text: &&str| text.chars().count() <= MAX_TEXT_CHARS && !text.chars().any(char::is_control);
    match std::str::from_utf8(value).ok().filter(is_allowed) {
        Some(text) => Ok(text.to_string()),
        None => invalid(key, "a word of 64 characters at most"),
    }
}

/// Parses a number that consists of ASCII digits only.
fn parse_digits(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

fn parse_group(value: &[u8]) -> TxtValue<u32> {
    let number = parse_digits(value).and_then(|number| u32::try_from(number).ok());
    number.map_or_else(|| invalid("group", "a whole number below 2^32"), Ok)
}

fn parse_status(value: &[u8]) -> TxtValue<Status> {
    if value.eq_ignore_ascii_case(b"serving") {
        Ok(Status::Serving)
    } else if value.eq_ignore_ascii_case(b"draining") {
        Ok(Status::Draining)
    } else {
        invalid("status", "serving or draining")
    }
}

fn parse_time_ms(key: &'static str, value: &[u8]) -> TxtValue<f64> {
    let time_ms = parse_digits(value).filter(|ms| *ms < MAX_TIME_MS);
    time_ms.map_or_else(|| invalid(key, "Unix time in ms"), |ms| Ok(ms as f64))
}
