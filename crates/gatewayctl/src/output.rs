//! Standard output: tables for people, JSON for programs.

use std::io::Write;

use crate::error::LocalError;

#[cfg(test)]
mod tests;

/// Age from which whole seconds are shown, ms.
const WHOLE_SECONDS_FROM_MS: u64 = 10_000;
/// Age from which minutes are shown, ms.
const MINUTES_FROM_MS: u64 = 600_000;

/// Prints text. If the reader has closed the pipe, as `head` does, the process exits with code 0.
pub fn print_text(text: &str) {
    let mut stdout = std::io::stdout().lock();
    if stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()).is_err() {
        std::process::exit(0);
    }
}

/// Prints a value as one line of JSON.
pub fn print_json<T: serde::Serialize>(value: &T) -> Result<(), LocalError> {
    let text = serde_json::to_string(value).map_err(LocalError::Json)?;
    print_text(&format!("{text}\n"));
    Ok(())
}

/// Prints a table.
pub fn print_table(header: &[&str], rows: &[Vec<String>]) {
    print_text(&table(header, rows));
}

/// Formats rows under a header in columns as wide as their widest cell. Control characters are escaped,
/// because cells may hold text from other hosts.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let rows: Vec<Vec<String>> =
        rows.iter().map(|row| row.iter().map(|cell| escaped(cell)).collect()).collect();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let mut text = aligned(header.iter().copied(), &widths);
    for row in &rows {
        text += &aligned(row.iter().map(String::as_str), &widths);
    }
    text
}

/// Returns the cell with its control characters escaped.
fn escaped(cell: &str) -> String {
    let escape = |c: char| if c.is_control() { c.escape_default().collect() } else { vec![c] };
    cell.chars().flat_map(escape).collect()
}

/// Formats one line of cells padded to the column widths, without trailing spaces.
fn aligned<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let cells = cells.zip(widths).map(|(cell, width)| format!("{cell:width$}"));
    let line = cells.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}

/// Formats an age as seconds with one decimal place, whole seconds or minutes.
pub fn format_age(ms: u64) -> String {
    if ms < WHOLE_SECONDS_FROM_MS {
        format!("{:.1}s", ms as f64 / 1000.0)
    } else if ms < MINUTES_FROM_MS {
        format!("{}s", ms / 1000)
    } else {
        format!("{}m", ms / 60_000)
    }
}
