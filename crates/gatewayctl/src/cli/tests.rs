use super::*;
use clap::CommandFactory;

#[test]
fn argument_definitions_are_consistent() {
    Cli::command().debug_assert();
}

#[test]
fn parses_durations_and_rejects_others() {
    assert_eq!(duration("500ms"), Ok(Duration::from_millis(500)));
    assert_eq!(duration("2m"), Ok(Duration::from_secs(120)));
    assert_eq!(duration("3"), Ok(Duration::from_secs(3)));
    for bad in ["", "s", "-1s", "1d", "1e9s", "NaN", "inf"] {
        assert!(duration(bad).is_err(), "{bad}");
    }
}
