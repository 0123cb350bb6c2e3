//! Limits of the sources: length of the decisions, width of lines, where decisions may stand.

use std::fs;
use std::path::{Path, PathBuf};

fn sources(dir: &Path, into: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, into);
        } else if path.extension().is_some_and(|e| e == "rs" || e == "md") {
            into.push(path);
        }
    }
}

fn here() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn root() -> PathBuf {
    here().join("../..")
}

#[test]
fn the_decisions_fit_1_200_lines() {
    let (mut files, mut lines) = (Vec::new(), 0);
    sources(&here().join("src/policy"), &mut files);
    assert!(files.len() > 3);
    let named = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    for file in files {
        let name = file.file_name().and_then(|name| name.to_str()).expect("a name");
        assert!(named.contains(&format!("crates/policy/src/policy/{name}")), "{name} is not named there");
        let text = fs::read_to_string(&file).expect("a policy file");
        lines += text.lines().filter(|l| !l.trim().is_empty()).count();
    }
    assert!(lines <= 1_200, "{lines} lines");
    let text = fs::read_to_string(here().join("src/policy/mod.rs")).expect("mod.rs");
    assert!(text.lines().take(3).any(|l| l.contains("src/interface.rs")), "names its interface at the top");
}

#[test]
fn no_line_is_wider_than_110_characters() {
    let mut files = Vec::new();
    sources(&root().join("crates"), &mut files);
    sources(&root().join("docs"), &mut files);
    files.push(root().join("README.md"));
    assert!(files.len() > 5);
    for file in files {
        let text = fs::read_to_string(&file).expect("a source");
        for (number, line) in (1..).zip(text.lines()) {
            assert!(line.chars().count() <= 110, "{}:{number}", file.display());
        }
    }
}

#[test]
fn the_library_reads_no_clock_and_starts_no_thread() {
    let mut files = vec![here().join("src/interface.rs"), here().join("src/store.rs")];
    sources(&here().join("src/policy"), &mut files);
    let before = files.len();
    sources(&root().join("crates/routing/src"), &mut files);
    assert!(files.len() > before + 3);
    for name in files {
        let text = fs::read_to_string(&name).expect("a source");
        for word in ["std::time", "std::thread", "std::net", "std::fs", "std::env", "\nstatic "] {
            assert!(!text.contains(word), "{}: {word}", name.display());
        }
    }
}
