//! Reads and writes RESP2 messages for the asynchronous stand-ins.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum length of a message that a stand-in reads.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// A message and the time from its first byte to its last.
pub(crate) struct Message {
    pub(crate) frame: BytesFrame,
    pub(crate) took: Duration,
}

/// Reads the next message; `None` at the end of the connection or at invalid bytes.
pub(crate) async fn read(from: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> Option<Message> {
    let mut started = (!buffer.is_empty()).then(Instant::now);
    loop {
        if let Some((frame, _, _)) = decode_bytes_mut(buffer).ok()? {
            return Some(Message { frame, took: started.map_or(Duration::ZERO, |at| at.elapsed()) });
        }
        if buffer.len() > MAX_MESSAGE_BYTES || from.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
        started = started.or_else(|| Some(Instant::now()));
    }
}

/// Returns the words of a command, or `None` if the message is not a command.
pub(crate) fn words(frame: BytesFrame) -> Option<Vec<String>> {
    let BytesFrame::Array(parts) = frame else { return None };
    let word = |part| match part {
        BytesFrame::BulkString(bytes) => String::from_utf8(bytes.to_vec()).ok(),
        _ => None,
    };
    parts.into_iter().map(word).collect()
}

/// Encodes a command.
pub(crate) fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len());
    for w in words {
        bytes += &format!("${}\r\n{w}\r\n", w.len());
    }
    bytes.into_bytes()
}
