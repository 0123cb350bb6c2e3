//! Framing of RESP2 messages, with bounds on their sizes.

use bytes::{Buf, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame;

/// Maximum length of a value (bulk string), bytes.
pub(super) const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Maximum length of any other line, bytes.
pub(super) const MAX_LINE_BYTES: usize = 4 * 1024;
/// Maximum number of elements of an array.
pub(super) const MAX_ARRAY_ELEMENTS: usize = 16;
/// Maximum length of a message, bytes. At most this and one further read are buffered.
const MAX_MESSAGE_BYTES: usize = MAX_VALUE_BYTES + 2 * MAX_LINE_BYTES;
/// Space for the first read of a message, bytes. Most messages fit into it, and such a small buffer is cheap
/// to allocate and free. Peers may hold one each without a permit of the memory budget.
pub const FIRST_READ_BYTES: usize = 1024 - 32;
/// Maximum number of digits of a length.
const MAX_LENGTH_DIGITS: usize = 10;
/// Terminator of lines and values.
pub const LINE_END: &[u8] = b"\r\n";

/// An error: the input is not the start of a message that is allowed here. Holds the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// How much of the first message in a buffer has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// All of it.
    Complete,
    /// A part.
    Partial {
        /// Length of the message as far as it is known, bytes.
        min_length: usize,
    },
}

/// Removes the next complete message from the buffer; `None` if more bytes are needed.
pub fn next_frame(buffer: &mut BytesMut) -> Result<Option<BytesFrame>, Malformed> {
    if progress(buffer)? != Progress::Complete {
        return Ok(None);
    }
    let decoded = decode_bytes_mut(buffer).map_err(|_| Malformed("not RESP"))?;
    Ok(decoded.map(|(frame, _, _)| frame))
}

/// Returns how much of the first message has been received.
///
/// Rejects lengths that would exhaust the memory, and nested arrays, on which the decoder would recurse until
/// the stack overflows. The service uses neither.
pub fn progress(buffer: &[u8]) -> Result<Progress, Malformed> {
    let (mut at, mut remaining) = (0, 1);
    while remaining > 0 {
        let rest = buffer.get(at..).unwrap_or_default();
        // Checked before the line is complete, as garbage may never contain a line end.
        if rest.first().is_some_and(|kind| !b"*$+-:".contains(kind)) {
            return Err(Malformed("unexpected type"));
        }
        let Some(line_end) = find_line_end(rest) else {
            return check_partial_line(rest).map(|()| Progress::Partial { min_length: buffer.len() + 1 });
        };
        let (kind, line) = rest[..line_end].split_first().ok_or(Malformed("empty line"))?;
        let first = at == 0;
        (at, remaining) = (at + line_end + LINE_END.len(), remaining - 1);
        if at > MAX_MESSAGE_BYTES {
            return Err(Malformed("too long"));
        }
        match kind {
            b'*' if first => remaining = parse_length(line, MAX_ARRAY_ELEMENTS)?.unwrap_or(0),
            b'$' => {
                let Some(value) = parse_length(line, MAX_VALUE_BYTES)? else { continue };
                match buffer.get(at + value..at + value + LINE_END.len()) {
                    None if at + value > MAX_MESSAGE_BYTES => return Err(Malformed("too long")),
                    None => return Ok(Progress::Partial { min_length: at + value + LINE_END.len() }),
                    Some(LINE_END) => at += value + LINE_END.len(),
                    Some(_) => return Err(Malformed("value longer than announced")),
                }
            }
            b'+' | b'-' | b':' => {}
            // A nested array.
            _ => return Err(Malformed("unexpected type")),
        }
    }
    Ok(Progress::Complete)
}

/// Parses the length of a value or array; `None` for null.
pub(super) fn parse_length(line: &[u8], max: usize) -> Result<Option<usize>, Malformed> {
    if line == b"-1" {
        return Ok(None);
    }
    let digits = !line.is_empty() && line.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(line).ok().filter(|_| digits).ok_or(Malformed("bad length"))?;
    match text.parse() {
        Ok(n) if n <= max => Ok(Some(n)),
        _ => Err(Malformed("too long")),
    }
}

/// Discards a command for which there is no memory, as it is received.
#[derive(Debug)]
pub struct CommandSkipper {
    /// Number of elements that have not begun; `None` before the header of the command.
    elements: Option<usize>,
    /// Rest of the current element, bytes.
    value_bytes: usize,
}

impl CommandSkipper {
    /// Begins at the start of a command.
    pub fn new() -> CommandSkipper {
        CommandSkipper { elements: None, value_bytes: 0 }
    }

    /// Discards what `buffer` has of the command. Returns whether that was the rest of it.
    pub fn skip(&mut self, buffer: &mut BytesMut) -> Result<bool, Malformed> {
        loop {
            let skipped = self.value_bytes.min(buffer.len());
            buffer.advance(skipped);
            self.value_bytes -= skipped;
            if self.value_bytes > 0 {
                return Ok(false);
            }
            if self.elements == Some(0) {
                return Ok(true);
            }
            if !self.skip_line(buffer)? {
                return Ok(false);
            }
        }
    }

    /// Discards the next header line. Returns `false` if it is incomplete.
    fn skip_line(&mut self, buffer: &mut BytesMut) -> Result<bool, Malformed> {
        let Some(line_end) = find_line_end(buffer) else {
            return check_partial_line(buffer).map(|()| false);
        };
        match (self.elements, buffer[..line_end].split_first()) {
            (None, Some((b'*', line))) => {
                self.elements = Some(parse_length(line, MAX_ARRAY_ELEMENTS)?.unwrap_or(0));
            }
            (Some(elements), Some((b'$', line))) => {
                self.elements = Some(elements - 1);
                let value = parse_length(line, MAX_VALUE_BYTES)?;
                self.value_bytes = value.map_or(0, |length| length + LINE_END.len());
            }
            _ => return Err(Malformed("unexpected type")),
        }
        buffer.advance(line_end + LINE_END.len());
        Ok(true)
    }
}

/// Checks a line whose end has not been received. Corrupt bytes may never contain a line end, so waiting for
/// it would take until a timeout.
pub(super) fn check_partial_line(line: &[u8]) -> Result<(), Malformed> {
    if line.len() > MAX_LINE_BYTES {
        return Err(Malformed("line too long"));
    }
    let Some((b'*' | b'$', length)) = line.split_first() else { return Ok(()) };
    let length = length.strip_suffix(b"\r").unwrap_or(length);
    let digits = length.strip_prefix(b"-").unwrap_or(length);
    match digits.iter().all(u8::is_ascii_digit) {
        true if digits.len() <= MAX_LENGTH_DIGITS => Ok(()),
        true => Err(Malformed("too long")),
        false => Err(Malformed("bad length")),
    }
}

/// Returns the position of the first line end; `None` if there is none within [`MAX_LINE_BYTES`].
pub(super) fn find_line_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(LINE_END.len()).take(MAX_LINE_BYTES).position(|window| window == LINE_END)
}

/// Appends an encoded message to the buffer.
pub(super) fn encode_frame(buffer: &mut BytesMut, frame: &BytesFrame) {
    // Can't fail, as the buffer grows as needed.
    let _ = extend_encode(buffer, frame, false);
}
