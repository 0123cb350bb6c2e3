//! Checks of the sources: which files have decision logic, their length, the width of lines, and the
//! standard library modules that the decisions must not use.

use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines of a file with decision logic, without blank lines.
const MAX_LINES: usize = 400;

fn sources(dir: &Path, into: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, into);
        } else if path.extension().is_some_and(|e| e == "rs" || e == "md") {
            into.push(path);
        }
    }
}

fn crate_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn workspace_dir() -> PathBuf {
    crate_dir().join("../..")
}

/// Returns the files with decision logic, and their paths from the workspace root as in the deploy file.
fn decision_files() -> Vec<(PathBuf, String)> {
    let mut files = Vec::new();
    sources(&crate_dir().join("src/policy"), &mut files);
    assert!(files.len() > 3);
    let from_root = |file: &PathBuf| {
        let inner = file.strip_prefix(crate_dir()).expect("a file of this crate").display().to_string();
        format!("crates/{}/{inner}", crate_dir().file_name().and_then(|name| name.to_str()).expect("a name"))
    };
    files.into_iter().map(|file| (file.clone(), from_root(&file))).collect()
}

#[test]
fn deploy_file_names_exactly_the_decision_files() {
    let deploy = fs::read_to_string(workspace_dir().join("deploy/balancer.toml")).expect("the deploy file");
    let (_, list) = deploy.split_once("policy = [").expect("a list of decision files");
    let (list, _) = list.split_once(']').expect("the end of the list");
    let mut listed: Vec<&str> = list.split('"').skip(1).step_by(2).collect();
    let files = decision_files();
    let mut present: Vec<&str> = files.iter().map(|(_, from_root)| from_root.as_str()).collect();
    listed.sort_unstable();
    present.sort_unstable();
    assert_eq!(listed, present);
}

#[test]
fn decision_files_are_short_and_refer_to_the_interface() {
    for (file, name) in decision_files() {
        let text = fs::read_to_string(&file).expect("a decision file");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{name}: {lines} lines");
    }
    let text = fs::read_to_string(crate_dir().join("src/policy/mod.rs")).expect("mod.rs");
    assert!(text.lines().take(3).any(|l| l.contains("src/interface")), "its head refers to src/interface");
}

#[test]
fn no_line_is_wider_than_110_characters() {
    let mut files = Vec::new();
    sources(&workspace_dir().join("crates"), &mut files);
    sources(&workspace_dir().join("docs"), &mut files);
    files.push(workspace_dir().join("README.md"));
    assert!(files.len() > 5);
    for file in files {
        let text = fs::read_to_string(&file).expect("a source");
        for (number, line) in (1..).zip(text.lines()) {
            assert!(line.chars().count() <= 110, "{}:{number}", file.display());
        }
    }
}

#[test]
fn decisions_use_no_clock_threads_or_io() {
    let mut files = Vec::new();
    sources(&crate_dir().join("src/interface"), &mut files);
    sources(&crate_dir().join("src/policy"), &mut files);
    let before = files.len();
    sources(&workspace_dir().join("crates/routing/src"), &mut files);
    assert!(files.len() > before + 3);
    for name in files {
        let text = fs::read_to_string(&name).expect("a source");
        for word in ["std::time", "std::thread", "std::net", "std::fs", "std::env", "\nstatic "] {
            assert!(!text.contains(word), "{}: {word}", name.display());
        }
    }
}
