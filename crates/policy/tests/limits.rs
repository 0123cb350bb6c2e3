//! Limits of the sources: which files hold decisions and how long they are, width of lines, and what the
//! decisions must not use.

use std::fs;
use std::path::{Path, PathBuf};

/// Lines of a file that holds decision logic, at most; blank ones do not count.
const MOST_LINES: usize = 400;

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

/// The files that hold decision logic, with their paths from the root, as the deploy file names them.
fn decision_files() -> Vec<(PathBuf, String)> {
    let mut files = Vec::new();
    sources(&here().join("src/policy"), &mut files);
    assert!(files.len() > 3);
    let from_root = |file: &PathBuf| {
        let inner = file.strip_prefix(here()).expect("a file of this crate").display().to_string();
        format!("crates/{}/{inner}", here().file_name().and_then(|name| name.to_str()).expect("a name"))
    };
    files.into_iter().map(|file| (file.clone(), from_root(&file))).collect()
}

#[test]
fn deploy_file_names_exactly_the_decision_files() {
    let deploy = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let (_, list) = deploy.split_once("policy = [").expect("a list of decision files");
    let (list, _) = list.split_once(']').expect("the list ends");
    let mut named: Vec<&str> = list.split('"').skip(1).step_by(2).collect();
    let files = decision_files();
    let mut present: Vec<&str> = files.iter().map(|(_, from_root)| from_root.as_str()).collect();
    named.sort_unstable();
    present.sort_unstable();
    assert_eq!(named, present);
}

#[test]
fn decision_files_are_short_and_name_their_interface() {
    for (file, name) in decision_files() {
        let text = fs::read_to_string(&file).expect("a decision file");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MOST_LINES, "{name}: {lines} lines");
    }
    let text = fs::read_to_string(here().join("src/policy/mod.rs")).expect("mod.rs");
    assert!(text.lines().take(3).any(|l| l.contains("src/interface")), "names its interface at the top");
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
    let mut files = Vec::new();
    sources(&here().join("src/interface"), &mut files);
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
