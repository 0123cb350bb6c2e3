use super::*;
use clap::CommandFactory;

#[test]
fn argument_definitions_are_consistent() {
    Cli::command().debug_assert();
}

#[test]
fn parses_valid_durations_and_rejects_invalid_ones() {
    assert_eq!(parse_duration("500ms"), Ok(Duration::from_millis(500)));
    assert_eq!(parse_duration("2m"), Ok(Duration::from_secs(120)));
    assert_eq!(parse_duration("3"), Ok(Duration::from_secs(3)));
    for invalid in ["", "s", "-1s", "1d", "1e9s", "NaN", "inf"] {
        assert!(parse_duration(invalid).is_err(), "{invalid}");
    }
}
