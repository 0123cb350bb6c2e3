//! How a backend's answer begins: whether it is read whole, or its value is streamed.

#[cfg(test)]
mod tests;

use super::frame::{length, line_length, MAX_ARRAY_ELEMENTS, MAX_LINE_BYTES, MAX_VALUE_BYTES};

/// The longest value that is streamed: the longest that RESP has (Redis, "Protocol").
const MAX_STREAMED_VALUE_BYTES: usize = 512 << 20;

/// How a backend's answer begins.
#[derive(Debug, PartialEq, Eq)]
pub enum Header {
    /// More bytes are needed to tell.
    Incomplete,
    /// It is one that is read whole.
    Whole,
    /// An array of so many parts, of which the first is a value that is streamed.
    Streamed {
        /// Parts of the array.
        parts: usize,
        /// Bytes of the value.
        length: usize,
        /// Bytes that stand before the value.
        header: usize,
    },
}

/// Tells how a backend's answer begins.
pub fn read_header(buffer: &[u8]) -> Header {
    if buffer.first().is_some_and(|kind| *kind != b'*') {
        return Header::Whole;
    }
    let Some((array, value_at)) = line_at(buffer, 0) else {
        return incomplete_unless(buffer.len() > MAX_LINE_BYTES);
    };
    match buffer.get(value_at) {
        None => return Header::Incomplete,
        Some(b'$') => {}
        Some(_) => return Header::Whole,
    }
    let Some((value, header)) = line_at(buffer, value_at) else {
        return incomplete_unless(buffer.len() > value_at + MAX_LINE_BYTES);
    };
    let parts = length(&array[1..], MAX_ARRAY_ELEMENTS).ok().flatten();
    match (parts, length(&value[1..], MAX_STREAMED_VALUE_BYTES)) {
        (Some(parts), Ok(Some(length))) if length > MAX_VALUE_BYTES => {
            Header::Streamed { parts, length, header }
        }
        _ => Header::Whole,
    }
}

/// The line at a place, and where the bytes behind it begin.
fn line_at(buffer: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let rest = buffer.get(at..)?;
    line_length(rest).map(|n| (&rest[..n], at + n + 2))
}

/// A line that is too long is no header; reading the answer whole finds that out.
fn incomplete_unless(too_long: bool) -> Header {
    if too_long {
        Header::Whole
    } else {
        Header::Incomplete
    }
}

/// Stands before an answer that is read whole.
pub const WHOLE: &[u8] = b"";

/// Stands before what is left of an answer of so many parts whose first, a value, was streamed.
pub fn remainder_prefix(parts: usize) -> Option<&'static [u8]> {
    Some(match parts {
        1 => b"*1\r\n$0\r\n",
        2 => b"*2\r\n$0\r\n",
        3 => b"*3\r\n$0\r\n",
        4 => b"*4\r\n$0\r\n",
        _ => return None,
    })
}
