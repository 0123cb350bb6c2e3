//! A connection that carries one JSON value a line.

use std::fmt;

use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::{AnyDelimiterCodec, AnyDelimiterCodecError, Framed};

use crate::Stream;

/// Room for reading that a connection keeps while it has nothing to read, bytes.
const ROOM_KEPT: usize = 16 * 1024;

/// Why a line could not be had or sent.
#[derive(Debug)]
pub enum JsonLinesError {
    /// It is longer than is taken; nothing more can be read from the connection.
    TooLong(usize),
    /// It is no JSON of the wanted kind; the next one can be read. The text holds nothing of the line but
    /// names of fields.
    Malformed(String),
    /// The connection broke.
    Broken(std::io::Error),
}

impl fmt::Display for JsonLinesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JsonLinesError::TooLong(most) => write!(f, "line too long; {most} bytes at most"),
            JsonLinesError::Malformed(why) => write!(f, "not a message: {why}"),
            JsonLinesError::Broken(e) => write!(f, "connection broke: {e}"),
        }
    }
}

impl std::error::Error for JsonLinesError {}

/// A connection that carries one JSON value a line.
pub struct JsonLines {
    framed: Framed<Box<dyn Stream>, AnyDelimiterCodec>,
    most: usize,
}

impl fmt::Debug for JsonLines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").field("most", &self.most).finish_non_exhaustive()
    }
}

impl JsonLines {
    pub(crate) fn new(stream: Box<dyn Stream>, most: usize) -> JsonLines {
        // Not the codec of lines of text: it ends a connection at the first byte that is not UTF-8.
        let codec = AnyDelimiterCodec::new_with_max_length(b"\n".to_vec(), b"\n".to_vec(), most);
        JsonLines { framed: Framed::new(stream, codec), most }
    }

    /// The next value; `None` when the other side has ended. Cancelling loses nothing: what has come of a
    /// line stays for the next call.
    ///
    /// # Errors
    /// A [`LineError`]. Only after [`LineError::Unreadable`] can the connection still be used.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, JsonLinesError> {
        // Danger: room for the longest line that ever came, kept for good on each of a thousand connections.
        let room = self.framed.read_buffer_mut();
        if room.is_empty() && room.capacity() > ROOM_KEPT {
            *room = BytesMut::new();
        }
        let line = match self.framed.next().await {
            None => return Ok(None),
            Some(Ok(line)) => line,
            Some(Err(AnyDelimiterCodecError::MaxChunkLengthExceeded)) => {
                return Err(JsonLinesError::TooLong(self.most));
            }
            Some(Err(AnyDelimiterCodecError::Io(e))) => return Err(JsonLinesError::Broken(e)),
        };
        serde_json::from_slice(&line).map(Some).map_err(|e| {
            // Danger: what somebody sent, quoted whole in an answer or a log.
            let why: String = e.to_string().chars().take(200).collect();
            JsonLinesError::Malformed(why)
        })
    }

    /// Sends a value. Cancelling may leave half a line behind: the connection is of no more use then.
    ///
    /// # Errors
    /// [`LineError::Broken`]; [`LineError::Unreadable`] if the value is no JSON.
    pub async fn send<T: Serialize>(&mut self, value: &T) -> Result<(), JsonLinesError> {
        let text = serde_json::to_string(value).map_err(|e| JsonLinesError::Malformed(e.to_string()))?;
        self.framed.send(text).await.map_err(|e| match e {
            AnyDelimiterCodecError::Io(e) => JsonLinesError::Broken(e),
            AnyDelimiterCodecError::MaxChunkLengthExceeded => JsonLinesError::TooLong(self.most),
        })
    }
}
