use super::*;

#[test]
fn columns_align_and_control_characters_are_escaped() {
    let rows = [vec!["a".to_string(), "b\u{1b}[2J".to_string()], vec!["long".into(), "c".into()]];
    assert_eq!(table(&["X", "Y"], &rows), "X     Y\na     b\\u{1b}[2J\nlong  c\n");
    assert_eq!(
        (format_age(1_234), format_age(65_000), format_age(600_000)),
        ("1.2s".into(), "65s".into(), "10m".into())
    );
}
