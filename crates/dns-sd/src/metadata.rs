//! The keys of an instance's TXT record.

use std::fmt;

/// The longest value, characters.
const MAX_VALUE_BYTES: usize = 64;

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// It does: `status=serving`, or no such key.
    #[default]
    Serving,
    /// It finishes what it has: `status=draining`.
    Draining,
}

/// What TXT keys tell of an instance. Keys are read without case, the first of several counts (RFC 6763,
/// section 6.4), and unknown ones are passed over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceMetadata {
    /// `zone`: at most 64 characters; empty without.
    pub zone: String,
    /// `type`: the kind of machine, at most 64 characters; empty without.
    pub kind: String,
    /// `group`: a whole number below 2^32; 0 without.
    pub group: u32,
    /// `status`: `serving` or `draining`.
    pub status: Status,
    /// `since`: when it started, Unix time in ms; 0, long ago, without.
    pub since_ms: f64,
}

/// A value that fits no key. It drops the instance, never the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxtError {
    /// The key.
    pub key: &'static str,
    /// What is wanted.
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
    /// A [`BadText`] with the first key whose value can't be used.
    pub fn read(strings: &[Box<[u8]>]) -> Result<InstanceMetadata, TxtError> {
        let bad = |key, wanted| move || TxtError { key, wanted };
        let word = |key, value: &[u8]| {
            let text = std::str::from_utf8(value).ok();
            let fits = |t: &&str| t.chars().count() <= MAX_VALUE_BYTES && !t.chars().any(char::is_control);
            text.filter(fits).map(str::to_string).ok_or_else(bad(key, "a word of 64 characters at most"))
        };
        let digits = |value: &[u8]| -> Option<u64> {
            let all = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            std::str::from_utf8(value).ok().filter(|_| all)?.parse().ok()
        };
        let (mut traits, mut seen) = (InstanceMetadata::default(), Vec::new());
        for string in strings {
            let at = string.iter().position(|b| *b == b'=').unwrap_or(string.len());
            let key = string[..at].to_ascii_lowercase();
            // A string that begins with `=` has no key, and is passed over.
            if key.is_empty() || seen.contains(&key) {
                continue;
            }
            // A key alone is one without a value.
            let value = string.get(at + 1..).unwrap_or_default();
            match &key[..] {
                b"zone" => traits.zone = word("zone", value)?,
                b"type" => traits.kind = word("type", value)?,
                b"group" => {
                    let group = digits(value).and_then(|n| u32::try_from(n).ok());
                    traits.group = group.ok_or_else(bad("group", "a whole number below 2^32"))?;
                }
                b"status" => {
                    traits.status = match value {
                        v if v.eq_ignore_ascii_case(b"serving") => Status::Serving,
                        v if v.eq_ignore_ascii_case(b"draining") => Status::Draining,
                        _ => return Err(bad("status", "serving or draining")()),
                    }
                }
                b"since" => {
                    let since = digits(value).filter(|n| *n < 1 << 53);
                    traits.since_ms = since.ok_or_else(bad("since", "Unix time in ms"))? as f64;
                }
                _ => continue,
            }
            seen.push(key);
        }
        Ok(traits)
    }
}
