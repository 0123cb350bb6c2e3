//! The header of a backend's answer, which determines whether the answer is buffered or its value is
//! streamed.

#[cfg(test)]
mod tests;

use super::frame::{check_partial_line, find_line_end, parse_length, MAX_ARRAY_ELEMENTS, MAX_VALUE_BYTES};

/// Maximum length of a streamed value, bytes: the maximum that RESP allows (Redis, "Protocol").
const MAX_STREAMED_VALUE_BYTES: usize = 512 << 20;

/// The header of a backend's answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Header {
    /// More bytes are needed to decide.
    Incomplete,
    /// The answer is read into memory completely.
    Buffered,
    /// The answer is an array whose first element is streamed.
    Streamed {
        /// Number of elements of the array.
        elements: usize,
        /// Length of the streamed value, bytes.
        length: usize,
        /// Number of bytes before the value.
        header_length: usize,
    },
}

/// Reads the header at the start of a backend's answer.
pub fn read_header(buffer: &[u8]) -> Header {
    if buffer.first().is_some_and(|kind| *kind != b'*') {
        return Header::Buffered;
    }
    let Some((array, value_at)) = line_at(buffer, 0) else {
        return classify_partial_line(buffer);
    };
    let Ok(Some(elements)) = parse_length(&array[1..], MAX_ARRAY_ELEMENTS) else { return Header::Buffered };
    match buffer.get(value_at) {
        None => return Header::Incomplete,
        Some(b'$') => {}
        Some(_) => return Header::Buffered,
    }
    let Some((value, header_length)) = line_at(buffer, value_at) else {
        return classify_partial_line(&buffer[value_at..]);
    };
    match parse_length(&value[1..], MAX_STREAMED_VALUE_BYTES) {
        Ok(Some(length)) if length > MAX_VALUE_BYTES => Header::Streamed { elements, length, header_length },
        _ => Header::Buffered,
    }
}

/// Returns the line that starts at `at`, and the position after its end.
fn line_at(buffer: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let rest = buffer.get(at..)?;
    find_line_end(rest).map(|n| (&rest[..n], at + n + 2))
}

/// Classifies an answer whose header has no line end yet. One with an invalid line is treated as buffered, so
/// that reading it reports the error.
fn classify_partial_line(line: &[u8]) -> Header {
    match check_partial_line(line) {
        Ok(()) => Header::Incomplete,
        Err(_) => Header::Buffered,
    }
}

/// The prefix of a buffered answer, which is empty. See [`remainder_prefix`].
pub const NO_PREFIX: &[u8] = b"";

/// Returns the prefix that makes the rest of an answer decodable after its first element was streamed: the
/// header of an array with as many elements, and an empty value in place of the streamed one. `None` unless
/// there are one to four elements.
pub fn remainder_prefix(elements: usize) -> Option<&'static [u8]> {
    Some(match elements {
        1 => b"*1\r\n$0\r\n",
        2 => b"*2\r\n$0\r\n",
        3 => b"*3\r\n$0\r\n",
        4 => b"*4\r\n$0\r\n",
        _ => return None,
    })
}
