//! Compares output with recordings of an earlier version of the program, kept under `tests/data`.
#![allow(dead_code)]

use std::path::{Path, PathBuf};

/// Returns the path of a recorded file.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

/// Returns the text of a recorded file; empty if it cannot be read.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_default()
}

/// Asserts that `actual` equals the recorded file. On a mismatch, writes `actual` to the build's directory
/// for temporary files, so that it can be inspected.
pub fn assert_recorded(name: &str, actual: &str) {
    let recorded = text(name);
    if recorded == actual {
        return;
    }
    let saved = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::write(&saved, actual);
    let differ = |(recorded, actual): &(&str, &str)| recorded != actual;
    let first = recorded.lines().zip(actual.lines()).find(differ);
    let (expected_lines, actual_lines) = (recorded.lines().count(), actual.lines().count());
    panic!(
        "{name}: {expected_lines} lines recorded, {actual_lines} lines produced; first difference {first:?}; \
         see {}",
        saved.display()
    );
}

/// Program name in front of messages at the time of the recording.
const RECORDED_PROGRAM: &str = "slatelock-gateway: ";
/// Program name in front of messages now.
const PROGRAM: &str = "admission-gateway: ";

/// Replaces the program name at the start of a message by the one at the time of the recording.
///
/// # Panics
/// If the message does not start with the present program name.
pub fn under_recorded_name(message: &str) -> String {
    let rest = message.strip_prefix(PROGRAM).unwrap_or_else(|| panic!("{PROGRAM:?} is missing: {message:?}"));
    format!("{RECORDED_PROGRAM}{rest}")
}

/// Replaces the values of JSON keys that differ between runs by `_` and leaves the rest of the line
/// unchanged.
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
