//! Pins the format of the catalogue file: each value of a complete file, and the error texts of invalid
//! files.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use plans::{read_catalogue, Catalogue, CatalogueError, Plan, PlanLimits};

const SAMPLE: &str = include_str!("data/catalogue.toml");

/// Invalid files: the first occurrence of the left text in the sample is replaced by the right text.
const INVALID: &[(&str, &str)] = &[
    ("revision = 42", ""),
    ("revision = 42", "revision = 0"),
    ("revision = 42", "revision = -1"),
    ("revision = 42", "revision = \"42\""),
    ("revision = 42", "revision = 42\nrevision = 43"),
    ("revision = 42", "revisions = 42"),
    ("rate = 4.0", "rate = -4.0"),
    ("rate = 4.0", "rate = nan"),
    ("rate = 4.0", "rate = 4"),
    ("rate = 4.0", "rate = \"much\""),
    ("rate = 4.0", "rates = 4.0"),
    ("burst = 10.0", ""),
    ("burst = 10.0", "burst = inf"),
    ("ceiling_rate = 12.0", "ceiling_rate = 3.0"),
    ("ceiling_rate = 12.0", "ceiling_rate = -1.0"),
    ("ceiling_rate = 12.0", ""),
    ("ceiling_burst = 30.0", "ceiling_burst = -inf"),
    ("ceiling_burst = 30.0", ""),
    ("name = \"standard\"", "name = \"\""),
    ("name = \"standard\"", "name = \"a\\tb\""),
    ("name = \"standard\"", "name = \"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\""),
    ("version = 2", "version = 0"),
    ("version = 2", "version = 1"),
    ("version = 2", "version = 4294967296"),
    ("version = 2", "version = 2.5"),
    ("id = \"00000000b4d65521\"", "id = \"b4d65521\""),
    ("id = \"00000000b4d65521\"", "id = \"0000000200000000\""),
    ("id = \"00000000b4d65521\"", "id = \"+0000000b4d65521\""),
    ("id = \"00000000b4d65521\"", "id = 5"),
    ("id = \"00000000b4d65521\"", ""),
    ("plan = \"standard\"\nversion = 1", "plan = \"other\"\nversion = 1"),
    ("plan = \"standard\"\nversion = 1", "plan = \"standard\"\nversion = 9"),
    ("from = \"2026-12-24T18:00:00Z\"", "from = \"tomorrow\""),
    ("from = \"2026-12-24T18:00:00Z\"", "from = \"2026-12-24T18:00:00\""),
    ("from = \"2026-12-24T18:00:00Z\"", "from = \"1969-12-31T23:59:59Z\""),
    ("from = \"2026-12-24T18:00:00Z\"", "from = \"1970-01-01T00:00:00Z\""),
    ("from = \"2026-12-24T18:00:00Z\"", ""),
    ("[[customer]]", "[[customer]"),
    ("[[customer]]", "[[client]]"),
];

fn data_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

fn plan(name: &str, version: u32) -> Plan {
    Plan { name: name.into(), version }
}

fn limits(rate: f64, burst: f64, ceiling_rate: f64, ceiling_burst: f64) -> PlanLimits {
    PlanLimits { rate, burst, ceiling_rate, ceiling_burst }
}

#[test]
fn reads_each_value_of_a_complete_file() {
    let catalogue = read_catalogue(SAMPLE).expect("valid");
    assert_eq!((catalogue.revision(), catalogue.customers()), (42, 2));
    let plans: Vec<(Plan, PlanLimits)> =
        catalogue.plans().map(|(plan, limits)| (plan.clone(), *limits)).collect();
    let spaces = "größe, with spaces";
    let expected = [
        (plan(spaces, u32::MAX), limits(0.0, 0.0, 0.0, 0.0)),
        (plan("standard", 1), limits(4.0, 10.0, 0.0, 0.0)),
        (plan("standard", 2), limits(6.5, 15.25, 12.0, 30.0)),
    ];
    assert_eq!(plans, expected);
    let (first, second) = (0xb4d6_5521, 0x1_ffff_ffff);
    let (eve, day) = (1_798_135_200_000, 1_798_153_200_500);
    for (customer, at_ms, expected) in [
        (first, 0, Some(plan("standard", 1))),
        (first, eve - 1, Some(plan("standard", 1))),
        (first, eve, Some(plan("standard", 2))),
        (first, day - 1, Some(plan("standard", 2))),
        (first, day, Some(plan(spaces, u32::MAX))),
        (first, u64::MAX, Some(plan(spaces, u32::MAX))),
        (second, 0, None),
        (second, 1, Some(plan("standard", 2))),
        (1, day, None),
    ] {
        assert_eq!(catalogue.plan_at(customer, at_ms), expected.as_ref(), "customer {customer:x} at {at_ms}");
    }
}

fn error_texts() -> String {
    let mut all = String::new();
    for (from, to) in INVALID {
        assert!(SAMPLE.contains(from), "{from:?}");
        let text = match read_catalogue(&SAMPLE.replacen(from, to, 1)) {
            Ok(_) => "read".to_string(),
            Err(error) => error.to_string(),
        };
        writeln!(all, "{from:?} -> {to:?}\n{text}\n").expect("written to a string");
    }
    all
}

#[test]
fn invalid_files_have_recorded_errors() {
    assert_eq!(error_texts(), std::fs::read_to_string(data_file("wrong.txt")).expect("recorded"));
}

#[test]
fn faults_are_ordered_by_line() {
    let two_faults = SAMPLE.replace("rate = 6.5", "rate = -6.5").replace("2026-12-24T18:00:00Z", "soon");
    let expected = "line 13: plan.rate: -6.5 is no finite number of 0 or more\n\
        line 34: customer.from: a time from 1970 on is wanted, as in 2026-12-24T18:00:00Z";
    assert_eq!(read_catalogue(&two_faults).expect_err("two faults").to_string(), expected);
}

#[test]
fn catalogue_errors_have_recorded_texts() {
    let many = (0..=10_000).map(|n| (plan("p", n + 1), PlanLimits::default()));
    assert_eq!(
        Catalogue::new(1, many, []).expect_err("too many").to_string(),
        "more than 10000 versions of plans"
    );
    for (error, text) in [
        (CatalogueError::InvalidLimits(plan("a", 1)), "a version 1: finite numbers of 0 or more are wanted"),
        (
            CatalogueError::InvalidVersion(plan("a", 0)),
            "a version 0: a version from 1 that stands there once is wanted",
        ),
        (
            CatalogueError::UnknownPlan { customer: 0xb4d6_5521, plan: plan("a", 2) },
            "customer 00000000b4d65521: a version 2 is no plan of this catalogue",
        ),
        (
            CatalogueError::TwoPlans { customer: 5, from_ms: 12 },
            "customer 0000000000000005: two plans from 12 ms on",
        ),
        (CatalogueError::TooMany { what: "customers' plans", max: 3 }, "more than 3 customers' plans"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn files_of_another_structure_have_recorded_errors() {
    let mut all = String::new();
    for text in [
        "",
        "5",
        "revision = 1\nplan = 5",
        "revision = 1\nplan = [5]",
        "revision = 1\nplan = {}",
        "revision = 1\nplan = [[]]",
        "revision = 1\n[plan]\nname = \"a\"",
        "revision = 1\ncustomer = \"x\"",
        "revision = 1\ncustomer = [\"x\"]",
        "revision = []",
    ] {
        let read =
            read_catalogue(text).map(|catalogue| catalogue.revision()).map_err(|error| error.to_string());
        writeln!(all, "{text:?}\n{read:?}\n").expect("written to a string");
    }
    assert_eq!(all, std::fs::read_to_string(data_file("shapes.txt")).expect("recorded"));
}
