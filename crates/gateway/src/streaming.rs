//! Streamed values: forwarded as they come, as they are longer than what is held whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

/// What a streamed value takes of the memory at most, bytes: a piece that is read, one on its way, one
/// written.
const MEMORY_BYTES: usize = 32 * 1024;
/// The longest piece, bytes.
pub const MAX_PIECE_BYTES: usize = 8 * 1024;
/// How long a backend in the middle of a value may say nothing.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A value that has begun to come.
#[derive(Debug)]
pub struct StreamedValue {
    /// Its bytes in all.
    pub length: usize,
    /// Its pieces. They end before the length where it can't be finished.
    pub pieces: mpsc::Receiver<Bytes>,
    _room: OwnedSemaphorePermit,
}

/// The end of a streamed value at which it comes from a backend.
#[derive(Debug)]
pub struct ValueWriter {
    left: usize,
    pieces: mpsc::Sender<Bytes>,
}

impl StreamedValue {
    /// Appends what stands before its pieces.
    pub fn put_header(&self, buffer: &mut BytesMut) {
        buffer.extend_from_slice(format!("${}\r\n", self.length).as_bytes());
    }

    /// A value of a length, once there is room for it.
    pub async fn begin(length: usize, room: Arc<Semaphore>) -> Option<(ValueWriter, StreamedValue)> {
        let _room = room.acquire_many_owned(MEMORY_BYTES as u32).await.ok()?;
        let (sender, pieces) = mpsc::channel(1);
        Some((ValueWriter { left: length, pieces: sender }, StreamedValue { length, pieces, _room }))
    }
}

impl ValueWriter {
    /// Bytes that are still to come.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Passes on what is there of the value; tells whether somebody still takes it.
    pub async fn forward(&mut self, buffer: &mut BytesMut) -> bool {
        let n = buffer.len().min(self.left).min(MAX_PIECE_BYTES);
        self.left -= n;
        // The piece alone, not the buffer that it came in.
        let piece = Bytes::copy_from_slice(&buffer.split_to(n));
        self.pieces.send(piece).await.is_ok()
    }
}
