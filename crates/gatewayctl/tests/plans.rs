//! `plans` commands on valid, invalid and missing catalogue files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const VALID: &str = r#"
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

/// Runs a command on a file. Returns its exit code, standard output and standard error.
fn run(args: &[&str], file: &Path) -> (i32, String, String) {
    let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_gatewayctl"))
        .args(args)
        .arg(file)
        .output()
        .expect("the program runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (status.code().expect("an exit code"), text(stdout), text(stderr))
}

fn write_catalogue(directory: &Path, text: &str) -> PathBuf {
    let path = directory.join("plans.toml");
    std::fs::write(&path, text).expect("the file is written");
    path
}

#[test]
fn check_names_faults_by_line_and_key() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let valid = write_catalogue(directory.path(), VALID);
    let (code, stdout, _) = run(&["plans", "check"], &valid);
    assert!(code == 0 && stdout.contains("good: revision 3, 2 versions of plans, 1 customers"), "{stdout}");
    let invalid = write_catalogue(
        directory.path(),
        &VALID.replace("rate = 4.0", "rate = -4.0").replace("18:00:01Z", "soon"),
    );
    let (code, stdout, _) = run(&["plans", "check"], &invalid);
    assert_eq!(code, 1);
    let lines: Vec<&str> = stdout.lines().collect();
    assert!(lines.len() == 2 && lines[0].contains("plans.toml:7: plan.rate: -4"), "{stdout}");
    assert!(lines[1].contains("plans.toml:30: customer.from: a time from 1970 on"), "{stdout}");
    let (code, stdout, _) = run(&["-o", "json", "plans", "check"], &invalid);
    let json: serde_json::Value = serde_json::from_str(&stdout).expect("JSON");
    assert_eq!((code, json["good"].as_bool(), json["wrong"][0]["line"].as_u64()), (1, Some(false), Some(7)));
    // An invalid catalogue is not shown in part.
    let (code, stdout, stderr) = run(&["plans", "show"], &invalid);
    assert!(code == 1 && stdout.is_empty() && stderr.contains("plan.rate"), "{stdout} {stderr}");
    let (code, _, stderr) = run(&["plans", "show"], &directory.path().join("none.toml"));
    assert!(code == 1 && stderr.contains("none.toml"), "{stderr}");
    let (code, ..) = run(&["plans", "show", "--customer", "b4d65521"], &valid);
    assert_eq!(code, 2);
}

#[test]
fn change_shows_levels_wait_and_late_error() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let valid = write_catalogue(directory.path(), VALID);
    let (code, stdout, _) = run(&["plans", "show", "--customer", "00000000b4d65521"], &valid);
    assert!(code == 0 && stdout.lines().count() == 4 && stdout.contains("2026-12-24T18:00:01Z"), "{stdout}");
    let args = ["-o", "json", "plans", "change", "--customer", "00000000b4d65521", "--level", "20"];
    let (code, stdout, _) = run(&args, &valid);
    let changes: Vec<serde_json::Value> =
        stdout.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect();
    assert_eq!((code, changes.len()), (0, 2));
    let number = |i: usize, key: &str| changes[i][key].as_f64().expect("a number");
    // 20 of 40 units are used. The small plan's bucket holds 10, so the level is -10 and the next request of
    // one unit waits for 11 units.
    assert_eq!(
        (number(0, "level_before"), number(0, "level_after"), number(0, "wait_s")),
        (20.0, -10.0, 2.75)
    );
    assert_eq!(number(0, "late_error"), 38.0);
    // The large plan applies again after one second: the 4 units refilled under the small plan count, and the
    // burst is as before.
    assert_eq!((number(1, "level_before"), number(1, "level_after")), (-6.0, 24.0));
    assert_eq!(number(1, "late_error"), -38.0);
}
