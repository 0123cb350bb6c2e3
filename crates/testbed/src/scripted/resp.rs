//! Reads and writes RESP messages for the scripted servers.

use std::io::BufRead;

/// Reads one RESP message and returns its values as text, without line ends and lengths.
pub(super) fn message(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let line = line.trim_end();
    match line.split_at(1) {
        ("*", n) => {
            let n: usize = n.parse().ok()?;
            let parts = (0..n).map(|_| message(from)).collect::<Option<Vec<_>>>()?;
            Some(parts.concat())
        }
        ("$", n) => {
            let mut value = vec![0; n.parse::<usize>().ok()? + 2];
            from.read_exact(&mut value).ok()?;
            value.truncate(value.len() - 2);
            Some(vec![String::from_utf8(value).ok()?])
        }
        _ => Some(vec![line.to_string()]),
    }
}

/// Encodes a command.
pub fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len());
    for w in words {
        bytes += &format!("${}\r\n{w}\r\n", w.len());
    }
    bytes.into_bytes()
}
