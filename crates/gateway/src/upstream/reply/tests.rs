use super::*;

#[test]
fn error_reports_use_as_a_fraction_and_missing_fields_as_none() {
    let report = |pairs: &str| {
        let line = BytesFrame::Error(format!("ERR failed {pairs}").into());
        match decode_error(line, &["rps".to_string()]) {
            Some(Reply::Failed(Outcome::Error, report)) => report,
            other => panic!("{other:?}"),
        }
    };
    for (pairs, metered) in [("used=37", Some(0.37)), ("used=0,cost=4", Some(0.0)), ("cost=4", None)] {
        assert_eq!(report(pairs).metered, metered, "{pairs}");
    }
    let both = report("used=250,cost=4 rps=12.5");
    assert_eq!((both.metered, both.charged, &both.load[..]), (Some(2.5), Some(4.0), &[12.5][..]));
}
