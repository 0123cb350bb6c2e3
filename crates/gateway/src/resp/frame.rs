//! RESP2 messages: bounds on what is read, and framing.

use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame;

/// The longest value or body, bytes.
pub(super) const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The longest line that is no value, bytes.
pub(super) const MAX_LINE_BYTES: usize = 4 * 1024;
/// The most elements of an array.
pub(super) const MAX_ARRAY_ELEMENTS: usize = 16;
/// The most bytes of one message; more than this and one further reading is never buffered.
const MAX_MESSAGE_BYTES: usize = MAX_VALUE_BYTES + 2 * MAX_LINE_BYTES;
/// Room for one reading: most messages come in one, and so small a buffer costs little to take and to let go.
const FIRST_READ: usize = 1024 - 32;
/// Room for each further reading of a message.
const NEXT_READ: usize = 16 * 1024;
/// What ends a line, and a value.
const LINE_END: &[u8] = b"\r\n";

/// Bytes that no message can begin with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Makes room for one reading behind what is there of a message.
pub fn make_room(buffer: &mut BytesMut) {
    buffer.reserve(if buffer.is_empty() { FIRST_READ } else { NEXT_READ });
}

/// Takes the next whole message off the buffer; `None` if more bytes are needed.
pub fn next_frame(buffer: &mut BytesMut) -> Result<Option<BytesFrame>, Malformed> {
    if measure(buffer)?.is_none() {
        return Ok(None);
    }
    let decoded = decode_bytes_mut(buffer).map_err(|_| Malformed("not RESP"))?;
    Ok(decoded.map(|(frame, _, _)| frame))
}

/// Length of the first message. Turned away are lengths that fill the memory, and arrays in arrays, on which
/// the decoder calls itself until the stack is gone: neither is any message of this service.
fn measure(buffer: &[u8]) -> Result<Option<usize>, Malformed> {
    let (mut at, mut left) = (0, 1);
    while left > 0 {
        let rest = buffer.get(at..).unwrap_or_default();
        // Noise that holds no line must not be waited for to become one.
        if rest.first().is_some_and(|kind| !b"*$+-:".contains(kind)) {
            return Err(Malformed("unexpected type"));
        }
        let Some(line_end) = line_length(rest) else {
            return if rest.len() > MAX_LINE_BYTES { Err(Malformed("line too long")) } else { Ok(None) };
        };
        let (kind, line) = rest[..line_end].split_first().ok_or(Malformed("empty line"))?;
        let first = at == 0;
        (at, left) = (at + line_end + LINE_END.len(), left - 1);
        if at > MAX_MESSAGE_BYTES {
            return Err(Malformed("too long"));
        }
        match kind {
            b'*' if first => left = length(line, MAX_ARRAY_ELEMENTS)?.unwrap_or(0),
            b'$' => {
                let Some(value) = length(line, MAX_VALUE_BYTES)? else { continue };
                match buffer.get(at + value..at + value + LINE_END.len()) {
                    None if at + value > MAX_MESSAGE_BYTES => return Err(Malformed("too long")),
                    None => return Ok(None),
                    Some(LINE_END) => at += value + LINE_END.len(),
                    Some(_) => return Err(Malformed("value longer than announced")),
                }
            }
            b'+' | b'-' | b':' => {}
            // An array in an array.
            _ => return Err(Malformed("unexpected type")),
        }
    }
    Ok(Some(at))
}

/// A length; `None` for null.
pub(super) fn length(line: &[u8], max: usize) -> Result<Option<usize>, Malformed> {
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

/// Length of the line that some bytes begin with, its end left out; `None` if there is none that is short
/// enough.
pub(super) fn line_length(bytes: &[u8]) -> Option<usize> {
    bytes.windows(LINE_END.len()).take(MAX_LINE_BYTES).position(|window| window == LINE_END)
}

/// Appends a message. Encoding into a buffer that grows can't fail.
pub(super) fn put(buffer: &mut BytesMut, frame: &BytesFrame) {
    let _ = extend_encode(buffer, frame, false);
}
