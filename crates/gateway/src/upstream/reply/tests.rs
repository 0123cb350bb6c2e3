use super::*;

#[test]
fn reads_use_in_percent_and_reports_nothing_that_is_missing() {
    let report = |words: &str| {
        let line = BytesFrame::Error(format!("ERR failed {words}").into());
        match decode_error(line, &["rps".to_string()]) {
            Some(Reply::Failed(Outcome::Error, report)) => report,
            other => panic!("{other:?}"),
        }
    };
    for (words, metered) in [("used=37", Some(0.37)), ("used=0,cost=4", Some(0.0)), ("cost=4", None)] {
        assert_eq!(report(words).metered, metered, "{words}");
    }
    let both = report("used=250,cost=4 rps=12.5");
    assert_eq!((both.metered, both.charged, &both.load[..]), (Some(2.5), Some(4.0), &[12.5][..]));
}
