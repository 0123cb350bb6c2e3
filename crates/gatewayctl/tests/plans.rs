//! `plans` on files that are good, wrong and not there.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const GOOD: &str = r#"
revision = 3

[[plan]]
name = "small"
version = 1
rate = 4.0
burst = 10.0

[[plan]]
name = "large"
version = 1
rate = 12.0
burst = 40.0
ceiling_rate = 24.0
ceiling_burst = 80.0

[[customer]]
id = "00000000b4d65521"
plan = "large"

[[customer]]
id = "00000000b4d65521"
plan = "small"
from = "2026-12-24T18:00:00Z"

[[customer]]
id = "00000000b4d65521"
plan = "large"
from = "2026-12-24T18:00:01Z"
"#;

fn run(words: &[&str], file: &Path) -> (i32, String, String) {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_gatewayctl")).args(words).arg(file).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code().expect("a code"), text(stdout), text(stderr))
}

fn file(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("plans.toml");
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn check_names_faults_by_line_and_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let good = file(folder.path(), GOOD);
    let (code, said, _) = run(&["plans", "check"], &good);
    assert!(code == 0 && said.contains("good: revision 3, 2 versions of plans, 1 customers"), "{said}");
    let wrong = file(folder.path(), &GOOD.replace("rate = 4.0", "rate = -4.0").replace("18:00:01Z", "soon"));
    let (code, said, _) = run(&["plans", "check"], &wrong);
    assert_eq!(code, 1);
    let lines: Vec<&str> = said.lines().collect();
    assert!(lines.len() == 2 && lines[0].contains("plans.toml:7: plan.rate: -4"), "{said}");
    assert!(lines[1].contains("plans.toml:30: customer.from: a time from 1970 on"), "{said}");
    let (code, said, _) = run(&["-o", "json", "plans", "check"], &wrong);
    let json: serde_json::Value = serde_json::from_str(&said).expect("JSON");
    assert_eq!((code, json["good"].as_bool(), json["wrong"][0]["line"].as_u64()), (1, Some(false), Some(7)));
    // Nothing of a wrong one is shown.
    let (code, said, told) = run(&["plans", "show"], &wrong);
    assert!(code == 1 && said.is_empty() && told.contains("plan.rate"), "{said} {told}");
    let (code, _, told) = run(&["plans", "show"], &folder.path().join("none.toml"));
    assert!(code == 1 && told.contains("none.toml"), "{told}");
    let (code, ..) = run(&["plans", "show", "--customer", "b4d65521"], &good);
    assert_eq!(code, 2);
}

#[test]
fn change_shows_levels_wait_and_late_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let good = file(folder.path(), GOOD);
    let (code, said, _) = run(&["plans", "show", "--customer", "00000000b4d65521"], &good);
    assert!(code == 0 && said.lines().count() == 4 && said.contains("2026-12-24T18:00:01Z"), "{said}");
    let words = ["-o", "json", "plans", "change", "--customer", "00000000b4d65521", "--level", "20"];
    let (code, said, _) = run(&words, &good);
    let all: Vec<serde_json::Value> = said.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect();
    assert_eq!((code, all.len()), (0, 2));
    let number = |i: usize, key: &str| all[i][key].as_f64().expect("a number");
    // 20 of 40 are owed; the small plan holds 10: 10 are to be made good, and one for the next request.
    assert_eq!(
        (number(0, "level_before"), number(0, "level_after"), number(0, "wait_s")),
        (20.0, -10.0, 2.75)
    );
    assert_eq!(number(0, "late_error"), 38.0);
    // Back a second later: what the small plan gave meanwhile is there, and the burst is as before.
    assert_eq!((number(1, "level_before"), number(1, "level_after")), (-6.0, 24.0));
    assert_eq!(number(1, "late_error"), -38.0);
}
