use super::*;

#[test]
fn finds_lines_after_strings_that_look_like_keys() {
    let text = "{\n\"a\": \"\\\"b\\\": {\",\n\"b\": [1,\n {\"c\": 2,\n  \"d\": [[], {}]}],\n\"e\": {}}";
    let line = |path| json_line(text, path).expect("a line");
    assert_eq!((line("a"), line("b"), line("b[1].c"), line("b[1].d[1]"), line("e")), (2, 3, 4, 5, 6));
    assert_eq!((line("b[1].none"), line("e.none"), line("none")), (4, 6, 1));
}
