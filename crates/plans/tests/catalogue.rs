//! The catalogue file and the catalogue fence.

use plans::{read_catalogue, Catalogue, CatalogueFence, FenceOutcome, PlanLimits};

const VALID: &str = r#"
revision = 7

[[plan]]
name = "standard"
version = 1
rate = 4.0
burst = 10.0

[[plan]]
name = "standard"
version = 2
rate = 6.0
burst = 15.0
ceiling_rate = 12.0
ceiling_burst = 30.0

[[customer]]
id = "00000000b4d65521"
plan = "standard"
version = 1

[[customer]]
id = "00000000b4d65521"
plan = "standard"
from = "2026-12-24T18:00:00Z"
"#;

fn revision(revision: u64) -> Catalogue {
    read_catalogue(&VALID.replace("revision = 7", &format!("revision = {revision}"))).expect("valid")
}

#[test]
fn assignment_takes_effect_at_its_instant() {
    let catalogue = read_catalogue(VALID).expect("valid");
    let (customer, change) = (0xb4d6_5521, 1_798_135_200_000);
    assert_eq!((catalogue.revision(), catalogue.customers(), catalogue.plans().count()), (7, 1, 2));
    let version = |at| catalogue.plan_at(customer, at).map(|plan| plan.version);
    assert_eq!((version(0), version(change - 1), version(change)), (Some(1), Some(1), Some(2)));
    assert_eq!(catalogue.plan_at(1, change), None);
    let timeline = catalogue.timeline(customer, PlanLimits::default());
    assert_eq!((timeline.limits_at(change - 1).burst, timeline.limits_at(change).ceiling_rate), (10.0, 12.0));
    assert_eq!(timeline.next_change(1), Some(change));
    // A customer without an assignment has the default limits, those of the request.
    let default = PlanLimits { rate: 1.0, ..PlanLimits::default() };
    assert_eq!(catalogue.timeline(1, default).limits_at(change), &default);
}

#[test]
fn faults_have_line_and_key() {
    for (from, to, line, key) in [
        ("rate = 4.0", "rate = -4.0", 7, "plan.rate"),
        ("burst = 10.0", "burst = inf", 8, "plan.burst"),
        ("version = 2", "version = 0", 10, "plan.version"),
        ("version = 2", "version = 1", 10, "plan.version"),
        ("name = \"standard\"\nversion = 1", "name = \"\"\nversion = 1", 5, "plan.name"),
        ("ceiling_rate = 12.0", "ceiling_rate = 3.0", 15, "plan.ceiling_rate"),
        ("ceiling_burst = 30.0\n", "", 11, "plan.ceiling_rate"),
        ("id = \"00000000b4d65521\"", "id = \"b4d65521\"", 19, "customer.id"),
        ("id = \"00000000b4d65521\"", "id = \"ffffffffb4d65521\"", 19, "customer.id"),
        ("plan = \"standard\"\nversion = 1", "plan = \"other\"\nversion = 1", 20, "customer.plan"),
        ("plan = \"standard\"\nversion = 1", "plan = \"standard\"\nversion = 9", 18, "customer.plan"),
        ("2026-12-24T18:00:00Z", "tomorrow", 26, "customer.from"),
        ("from = \"2026-12-24T18:00:00Z\"", "", 23, "customer.from"),
        ("revision = 7", "revision = 0", 1, "revision"),
    ] {
        let text = VALID.replacen(from, to, 1);
        // Without its `from` line an assignment is in force since always, like the customer's other one.
        let error = read_catalogue(&text).map(|catalogue| catalogue.revision()).expect_err(to);
        let found = error.0.iter().any(|fault| fault.line == line && fault.key == key);
        assert!(found, "{to:?}: {error}");
    }
    let two_faults = VALID.replace("rate = 4.0", "rate = -4.0").replace("2026-12-24T18:00:00Z", "soon");
    assert_eq!(read_catalogue(&two_faults).expect_err("two faults").0.len(), 2);
    for (from, to, line) in [
        ("rate = 4.0", "rates = 4.0", 7),
        ("rate = 4.0", "rate = \"much\"", 7),
        ("[[customer]]", "[[customer]", 18),
    ] {
        let error = read_catalogue(&VALID.replacen(from, to, 1)).expect_err(to);
        assert_eq!((error.0.len(), error.0[0].line), (1, line), "{to:?}: {error}");
    }
}

#[test]
fn newest_revision_stays_in_force_in_any_order() {
    let mut fence = CatalogueFence::default();
    assert!(fence.current().is_none());
    assert_eq!(fence.take(revision(8)), FenceOutcome::New);
    assert_eq!(fence.take(revision(8)), FenceOutcome::Same);
    assert_eq!(fence.take(revision(7)), FenceOutcome::Stale { current_revision: 8 });
    let other =
        read_catalogue(&VALID.replace("revision = 7", "revision = 8").replace("rate = 4.0", "rate = 5.0"));
    assert_eq!(fence.take(other.expect("valid")), FenceOutcome::Conflict);
    assert_eq!(fence.current(), Some(&revision(8)));
    assert_eq!(fence.take(revision(9)), FenceOutcome::New);
}
