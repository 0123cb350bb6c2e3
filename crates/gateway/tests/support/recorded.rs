//! Comparison with what an earlier program said or wrote, kept under `tests/data`.
#![allow(dead_code)]

use std::path::{Path, PathBuf};

/// A recorded file.
pub fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

/// The text of a recorded file.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(file(name)).unwrap_or_default()
}

/// Asserts that a text equals the recorded one. What was seen instead is left in the build's folder for
/// temporary files, to be looked at.
pub fn assert_recorded(name: &str, seen: &str) {
    let recorded = text(name);
    if recorded == seen {
        return;
    }
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::write(&left, seen);
    let differ = |(recorded, seen): &(&str, &str)| recorded != seen;
    let first = recorded.lines().zip(seen.lines()).find(differ);
    let (was, is) = (recorded.lines().count(), seen.lines().count());
    panic!(
        "{name}: {was} lines recorded, {is} seen, which differ first in {first:?}; see {}",
        left.display()
    );
}

/// The program's own name before a message, then and now.
const RECORDED_PROGRAM: &str = "slatelock-gateway: ";
const PROGRAM: &str = "admission-gateway: ";

/// A message of the program as it was recorded, when the program had another name. It has to begin with the
/// present one.
pub fn under_recorded_name(message: &str) -> String {
    let rest = message.strip_prefix(PROGRAM).unwrap_or_else(|| panic!("{PROGRAM:?} is missing: {message:?}"));
    format!("{RECORDED_PROGRAM}{rest}")
}

/// Replaces the values of JSON keys that differ from run to run by `_`, in a line as it stands.
pub fn mask(line: &str, keys: &[&str]) -> String {
    let mut masked = line.to_string();
    for key in keys {
        let begin = format!("\"{key}\":");
        let mut from = 0;
        while let Some(found) = masked[from..].find(&begin) {
            let value = from + found + begin.len();
            let end = masked[value..].find([',', '}']).map_or(masked.len(), |n| value + n);
            masked.replace_range(value..end, "_");
            from = value;
        }
    }
    masked
}
