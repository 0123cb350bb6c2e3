//! Framing: one JSON value per line.

use std::fmt;

use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::{AnyDelimiterCodec, AnyDelimiterCodecError, Framed};

use crate::Stream;

/// Maximum read buffer that an idle connection retains, bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum length of the reason in [`JsonLinesError::Malformed`], characters.
const MAX_REASON_CHARS: usize = 200;

/// Why a value could not be received or sent.
#[derive(Debug)]
pub enum JsonLinesError {
    /// The line is longer than this many bytes; nothing more can be read from the connection.
    TooLong(usize),
    /// The line is not JSON of the expected type; the next line can be read. The text is the parser's
    /// message, truncated.
    Malformed(String),
    /// The connection failed.
    Io(std::io::Error),
}

impl fmt::Display for JsonLinesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JsonLinesError::TooLong(max_bytes) => write!(f, "line too long; {max_bytes} bytes at most"),
            JsonLinesError::Malformed(reason) => write!(f, "not a message: {reason}"),
            JsonLinesError::Io(error) => write!(f, "connection broke: {error}"),
        }
    }
}

impl std::error::Error for JsonLinesError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            JsonLinesError::Io(error) => Some(error),
            _ => None,
        }
    }
}

/// A connection that carries one JSON value per line.
pub struct JsonLines {
    framed: Framed<Box<dyn Stream>, AnyDelimiterCodec>,
    max_line_bytes: usize,
}

impl fmt::Debug for JsonLines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("JsonLines").field("max_line_bytes", &self.max_line_bytes).finish_non_exhaustive()
    }
}

impl JsonLines {
    pub(crate) fn new(stream: Box<dyn Stream>, max_line_bytes: usize) -> JsonLines {
        // `LinesCodec` would end the connection at the first byte that is not UTF-8.
        let codec = AnyDelimiterCodec::new_with_max_length(b"\n".to_vec(), b"\n".to_vec(), max_line_bytes);
        JsonLines { framed: Framed::new(stream, codec), max_line_bytes }
    }

    /// Receives the next value; `None` if the peer has closed the connection. Cancel safe: a partly received
    /// line stays in the buffer.
    ///
    /// # Errors
    /// See [`JsonLinesError`]. Only after [`JsonLinesError::Malformed`] can the connection still be used.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, JsonLinesError> {
        // Otherwise each connection would retain a buffer of the size of the longest line it has received.
        let buffer = self.framed.read_buffer_mut();
        if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            *buffer = BytesMut::new();
        }
        let line = match self.framed.next().await {
            None => return Ok(None),
            Some(Ok(line)) => line,
            Some(Err(AnyDelimiterCodecError::MaxChunkLengthExceeded)) => {
                return Err(JsonLinesError::TooLong(self.max_line_bytes));
            }
            Some(Err(AnyDelimiterCodecError::Io(e))) => return Err(JsonLinesError::Io(e)),
        };
        serde_json::from_slice(&line).map(Some).map_err(|error| {
            // Responses and logs must not quote long parts of what a peer has sent.
            let reason: String = error.to_string().chars().take(MAX_REASON_CHARS).collect();
            JsonLinesError::Malformed(reason)
        })
    }

    /// Sends a value. Not cancel safe: after a cancelled call, part of a line may have been written, and the
    /// connection must not be used any more.
    ///
    /// # Errors
    /// [`JsonLinesError::Io`]; [`JsonLinesError::Malformed`] if the value can't be represented as JSON.
    pub async fn send<T: Serialize>(&mut self, value: &T) -> Result<(), JsonLinesError> {
        let text = serde_json::to_string(value).map_err(|e| JsonLinesError::Malformed(e.to_string()))?;
        self.framed.send(text).await.map_err(|e| match e {
            AnyDelimiterCodecError::Io(e) => JsonLinesError::Io(e),
            AnyDelimiterCodecError::MaxChunkLengthExceeded => JsonLinesError::TooLong(self.max_line_bytes),
        })
    }
}
