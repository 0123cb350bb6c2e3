//! Tables for people, and standard output.

use std::io::Write;

/// Writes to standard output. Danger: a reader such as `head` that has seen enough; the rest is nobody's
/// loss, and the process ends as if it had been written.
pub fn out(text: &str) {
    let mut to = std::io::stdout().lock();
    if to.write_all(text.as_bytes()).and_then(|()| to.flush()).is_err() {
        std::process::exit(0);
    }
}

/// Lays rows out under a head, each column as wide as it must be. Control characters that came from outside
/// are shown as what they are.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let shown = |cell: &str| -> String {
        cell.chars()
            .flat_map(|c| if c.is_control() { c.escape_default().collect() } else { vec![c] })
            .collect()
    };
    let rows: Vec<Vec<String>> = rows.iter().map(|row| row.iter().map(|c| shown(c)).collect()).collect();
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|row| row.get(i)).map(|cell| cell.chars().count());
        cells.chain([head[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| -> String {
        let cells = cells.zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        format!("{}\n", line.trim_end())
    };
    let mut text = line(&mut head.iter().copied());
    for row in &rows {
        text += &line(&mut row.iter().map(String::as_str));
    }
    text
}

/// How long ago, in few characters.
pub fn ago(ms: u64) -> String {
    match ms {
        0..=9_999 => format!("{:.1}s", ms as f64 / 1000.0),
        10_000..=599_999 => format!("{}s", ms / 1000),
        _ => format!("{}m", ms / 60_000),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_line_up_and_nothing_from_outside_reaches_the_terminal() {
        let rows = [vec!["a".to_string(), "b\u{1b}[2J".to_string()], vec!["long".into(), "c".into()]];
        assert_eq!(table(&["X", "Y"], &rows), "X     Y\na     b\\u{1b}[2J\nlong  c\n");
        assert_eq!((ago(1_234), ago(65_000), ago(600_000)), ("1.2s".into(), "65s".into(), "10m".into()));
    }
}
