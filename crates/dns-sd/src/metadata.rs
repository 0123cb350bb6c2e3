//! The keys of an instance's TXT record.

use std::fmt;

/// The longest value of a word, characters.
const MAX_WORD_CHARS: usize = 64;
/// Times are below this, ms, so that they are exact as floating-point numbers.
const MAX_TIME_MS: u64 = 1 << 53;

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// It does: `status=serving`, or no such key.
    #[default]
    Serving,
    /// It finishes what it has: `status=draining`.
    Draining,
}

/// What the TXT record tells of an instance.
///
/// Keys are read without case, the first of several counts (RFC 6763, section 6.4), and unknown ones are
/// ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceMetadata {
    /// `zone`: at most 64 characters; empty if missing.
    pub zone: String,
    /// `type`: hardware or build of the instance, at most 64 characters; empty if missing.
    pub instance_type: String,
    /// `group`: the cell, a whole number below 2^32; 0 if missing.
    pub group: u32,
    /// `status`: `serving` or `draining`.
    pub status: Status,
    /// `since`: start of the instance, Unix time in ms below 2^53; 0, long ago, if missing.
    pub since_ms: f64,
}

/// A value that its key does not allow. It drops the instance, never the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxtError {
    /// The key.
    pub key: &'static str,
    /// What the key allows.
    pub wanted: &'static str,
}

impl fmt::Display for TxtError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TXT {}: {} is wanted", self.key, self.wanted)
    }
}

impl std::error::Error for TxtError {}

impl InstanceMetadata {
    /// Reads the strings of a TXT record.
    ///
    /// # Errors
    /// A [`TxtError`] with the first key whose value is not allowed.
    pub fn read(strings: &[Box<[u8]>]) -> Result<InstanceMetadata, TxtError> {
        let mut metadata = InstanceMetadata::default();
        let mut keys_seen: Vec<Vec<u8>> = Vec::new();
        for string in strings {
            let (key, value) = split_key(string);
            // A string that begins with `=` has no key.
            if key.is_empty() || keys_seen.contains(&key) {
                continue;
            }
            if metadata.set(&key, value)? {
                keys_seen.push(key);
            }
        }
        Ok(metadata)
    }

    /// Sets the value of a key. Returns whether the key is known.
    fn set(&mut self, key: &[u8], value: &[u8]) -> Result<bool, TxtError> {
        match key {
            b"zone" => self.zone = word("zone", value)?,
            b"type" => self.instance_type = word("type", value)?,
            b"group" => self.group = group(value)?,
            b"status" => self.status = status(value)?,
            b"since" => self.since_ms = time_ms("since", value)?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}

/// Key in lower case, and value; a string without `=` is a key without a value.
fn split_key(string: &[u8]) -> (Vec<u8>, &[u8]) {
    let end = string.iter().position(|byte| *byte == b'=').unwrap_or(string.len());
    (string[..end].to_ascii_lowercase(), string.get(end + 1..).unwrap_or_default())
}

fn word(key: &'static str, value: &[u8]) -> Result<String, TxtError> {
    let is_allowed =
        |text: &&str| text.chars().count() <= MAX_WORD_CHARS && !text.chars().any(char::is_control);
    let text = std::str::from_utf8(value).ok().filter(is_allowed);
    text.map(str::to_string).ok_or(TxtError { key, wanted: "a word of 64 characters at most" })
}

/// A number of ASCII digits alone.
fn digits(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

fn group(value: &[u8]) -> Result<u32, TxtError> {
    let number = digits(value).and_then(|number| u32::try_from(number).ok());
    number.ok_or(TxtError { key: "group", wanted: "a whole number below 2^32" })
}

fn status(value: &[u8]) -> Result<Status, TxtError> {
    if value.eq_ignore_ascii_case(b"serving") {
        Ok(Status::Serving)
    } else if value.eq_ignore_ascii_case(b"draining") {
        Ok(Status::Draining)
    } else {
        Err(TxtError { key: "status", wanted: "serving or draining" })
    }
}

fn time_ms(key: &'static str, value: &[u8]) -> Result<f64, TxtError> {
    let time_ms = digits(value).filter(|ms| *ms < MAX_TIME_MS);
    time_ms.map(|ms| ms as f64).ok_or(TxtError { key, wanted: "Unix time in ms" })
}
