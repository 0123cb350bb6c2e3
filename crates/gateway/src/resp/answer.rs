//! Final answers to clients.

use super::frame::encode_frame;
use crate::memory::MemoryPermit;
use crate::streaming::StreamedValue;
use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;

/// A value that was received completely.
#[derive(Debug)]
pub struct BufferedValue {
    /// The value.
    pub bytes: Bytes,
    /// Permit of the memory budget, held until the value is written. `None` for a value that fits into the
    /// first read.
    pub memory_permit: Option<MemoryPermit>,
}

/// What is written behind the encoded part of an answer.
#[derive(Debug)]
pub enum Body {
    /// A value, which is followed by a line end.
    Buffered(BufferedValue),
    /// A value that is still being received.
    Streamed(StreamedValue),
}

/// A final answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// The value from a backend.
    Served(BufferedValue),
    /// A streamed value.
    Streamed(StreamedValue),
    /// The request was rejected, and a retry is safe. Holds the time after which to retry, ms, if it is
    /// known.
    Rejected(Option<u64>),
    /// The request failed. It may or may not have been run.
    Failed,
    /// The input is not a valid command. Holds the reason.
    Invalid(&'static str),
    /// The gateway is serving.
    Pong,
    /// The gateway is serving, but operators have drained it.
    Drained,
}

impl Answer {
    /// Appends the encoded answer to `buffer`, except for a long value, which is returned.
    pub fn encode(self, buffer: &mut BytesMut) -> Option<Body> {
        let error = |text: String| BytesFrame::Error(text.into());
        let frame = match self {
            Answer::Served(value) if value.memory_permit.is_some() => {
                encode_value_header(buffer, value.bytes.len());
                return Some(Body::Buffered(value));
            }
            Answer::Streamed(value) => {
                encode_value_header(buffer, value.length);
                return Some(Body::Streamed(value));
            }
            Answer::Served(value) => BytesFrame::BulkString(value.bytes),
            Answer::Rejected(None) => error("BUSY".to_string()),
            Answer::Rejected(Some(ms)) => error(format!("BUSY {ms}")),
            Answer::Failed => error("ERR failed".to_string()),
            Answer::Invalid(reason) => error(format!("ERR {reason}")),
            Answer::Drained => error("ERR drained".to_string()),
            Answer::Pong => BytesFrame::SimpleString(Bytes::from_static(b"PONG")),
        };
        encode_frame(buffer, &frame);
        None
    }
}

/// Appends the header of a value of `length` bytes.
fn encode_value_header(buffer: &mut BytesMut, length: usize) {
    buffer.extend_from_slice(format!("${length}\r\n").as_bytes());
}
