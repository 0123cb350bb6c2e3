//! Final answers to clients.

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::OwnedSemaphorePermit;

use super::frame::put;
use crate::streaming::StreamedValue;

/// A final answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// The value as a backend gave it, and its part of the memory until it is written.
    Served(Bytes, OwnedSemaphorePermit),
    /// A value that is streamed.
    Streamed(StreamedValue),
    /// Trying again is harmless; when to come again, ms.
    Rejected(Option<u64>),
    /// Nothing is promised.
    Failed,
    /// It was not a request of this service.
    Invalid(&'static str),
    /// The gateway serves.
    Pong,
    /// It serves, but operators have drained it.
    Drained,
}

impl Answer {
    /// Appends the answer.
    pub fn encode(self, buffer: &mut BytesMut) {
        let error = |text: String| BytesFrame::Error(text.into());
        let frame = match self {
            Answer::Served(value, _room) => BytesFrame::BulkString(value),
            // Its pieces follow, and the end of a value.
            Answer::Streamed(value) => return value.put_header(buffer),
            Answer::Rejected(None) => error("BUSY".to_string()),
            Answer::Rejected(Some(ms)) => error(format!("BUSY {ms}")),
            Answer::Failed => error("ERR failed".to_string()),
            Answer::Invalid(what) => error(format!("ERR {what}")),
            Answer::Drained => error("ERR drained".to_string()),
            Answer::Pong => BytesFrame::SimpleString(Bytes::from_static(b"PONG")),
        };
        put(buffer, &frame);
    }
}
