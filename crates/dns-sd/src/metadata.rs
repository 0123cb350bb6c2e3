//! The keys of an instance's TXT record.

use std::fmt;

/// Maximum length of a text value, characters.
const MAX_TEXT_CHARS: usize = 64;
/// Upper bound of times (exclusive), ms. Integers below it are exact as `f64`.
const MAX_TIME_MS: u64 = 1 << 53;

/// Whether an instance accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// It accepts requests: `status=serving`, or the key is missing.
    #[default]
    Serving,
    /// It only finishes the requests in flight: `status=draining`.
    Draining,
}

/// Metadata of an instance from its TXT record.
///
/// Keys are case-insensitive, the first occurrence of a key counts (RFC 6763, section 6.4), and unknown keys
/// are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceMetadata {
    /// `zone`: at most 64 characters; empty if missing.
    pub zone: String,
    /// `type`: instance type (hardware or build), at most 64 characters; empty if missing.
    pub instance_type: String,
    /// `group`: the cell, an integer below 2^32; 0 if missing.
    pub group: u32,
    /// `status`: `serving` or `draining`.
    pub status: Status,
    /// `since`: start time of the instance, Unix time in ms below 2^53; 0 if missing, which counts as long
    /// ago.
    pub since_ms: f64,
}

/// An invalid value of a TXT key. Only the instance is dropped; the rest of the list is unaffected.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    /// Parses the strings of a TXT record.
    ///
    /// # Errors
    /// A [`TxtError`] for the first key whose value is invalid.
    pub fn read(strings: &[Box<[u8]>]) -> Result<InstanceMetadata, TxtError> {
        let mut metadata = InstanceMetadata::default();
        let mut keys_seen: Vec<Vec<u8>> = Vec::new();
        for string in strings {
            let (key, value) = split_key(string);
            // A string that begins with `=` has no key (RFC 6763, section 6.4).
            if key.is_empty() || keys_seen.contains(&key) {
                continue;
            }
            if metadata.set(&key, value)? {
                keys_seen.push(key);
            }
        }
        Ok(metadata)
    }

    /// Parses and stores the value of a key. Returns whether the key is known.
    fn set(&mut self, key: &[u8], value: &[u8]) -> Result<bool, TxtError> {
        match key {
            b"zone" => self.zone = parse_text("zone", value)?,
            b"type" => self.instance_type = parse_text("type", value)?,
            b"group" => self.group = parse_group(value)?,
            b"status" => self.status = parse_status(value)?,
            b"since" => self.since_ms = parse_time_ms("since", value)?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}

/// Splits a string into its lowercase key and its value. Without a `=` the value is empty.
fn split_key(string: &[u8]) -> (Vec<u8>, &[u8]) {
    let end = string.iter().position(|byte| *byte == b'=').unwrap_or(string.len());
    (string[..end].to_ascii_lowercase(), string.get(end + 1..).unwrap_or_default())
}

fn parse_text(key: &'static str, value: &[u8]) -> Result<String, TxtError> {
    let is_allowed =
        |text: &&str| text.chars().count() <= MAX_TEXT_CHARS && !text.chars().any(char::is_control);
    let text = std::str::from_utf8(value).ok().filter(is_allowed);
    text.map(str::to_string).ok_or(TxtError { key, expected: "a word of 64 characters at most" })
}

/// Parses a number that consists of ASCII digits only.
fn parse_digits(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

fn parse_group(value: &[u8]) -> Result<u32, TxtError> {
    let number = parse_digits(value).and_then(|number| u32::try_from(number).ok());
    number.ok_or(TxtError { key: "group", expected: "a whole number below 2^32" })
}

fn parse_status(value: &[u8]) -> Result<Status, TxtError> {
    if value.eq_ignore_ascii_case(b"serving") {
        Ok(Status::Serving)
    } else if value.eq_ignore_ascii_case(b"draining") {
        Ok(Status::Draining)
    } else {
        Err(TxtError { key: "status", expected: "serving or draining" })
    }
}

fn parse_time_ms(key: &'static str, value: &[u8]) -> Result<f64, TxtError> {
    let time_ms = parse_digits(value).filter(|ms| *ms < MAX_TIME_MS);
    time_ms.map(|ms| ms as f64).ok_or(TxtError { key, expected: "Unix time in ms" })
}
