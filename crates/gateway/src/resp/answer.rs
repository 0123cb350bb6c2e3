//! Final answers to clients.

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::OwnedSemaphorePermit;

use super::frame::encode_frame;
use crate::streaming::StreamedValue;

/// A final answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// The value from a backend, and its permit of the memory budget, held until the answer is encoded.
    Served(Bytes, OwnedSemaphorePermit),
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
    /// Appends the encoded answer to `buffer`; of a streamed value, its header only.
    pub fn encode(self, buffer: &mut BytesMut) {
        let error = |text: String| BytesFrame::Error(text.into());
        let frame = match self {
            Answer::Served(value, _memory_permit) => BytesFrame::BulkString(value),
            Answer::Streamed(value) => return value.encode_header(buffer),
            Answer::Rejected(None) => error("BUSY".to_string()),
            Answer::Rejected(Some(ms)) => error(format!("BUSY {ms}")),
            Answer::Failed => error("ERR failed".to_string()),
            Answer::Invalid(reason) => error(format!("ERR {reason}")),
            Answer::Drained => error("ERR drained".to_string()),
            Answer::Pong => BytesFrame::SimpleString(Bytes::from_static(b"PONG")),
        };
        encode_frame(buffer, &frame);
    }
}
