//! Streamed values: values too long to be buffered, forwarded to the client chunk by chunk as they arrive.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

/// Memory reserved for a streamed value, bytes: one chunk being read, one queued and one being written.
const MEMORY_BYTES: usize = 32 * 1024;
/// Maximum length of a chunk, bytes.
pub const MAX_CHUNK_BYTES: usize = 8 * 1024;
/// Maximum time between two reads of a value from a backend.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The receiving half of a streamed value, from which it is written to the client.
#[derive(Debug)]
pub struct StreamedValue {
    /// Total length, bytes.
    pub length: usize,
    /// Chunks of the value. If they end before `length`, the backend did not complete the value.
    pub chunks: mpsc::Receiver<Bytes>,
    _memory_permit: OwnedSemaphorePermit,
}

/// The sending half of a streamed value, which forwards what is read from the backend.
#[derive(Debug)]
pub struct ValueWriter {
    remaining: usize,
    chunks: mpsc::Sender<Bytes>,
}

impl StreamedValue {
    /// Appends the RESP header of the value, which precedes its chunks.
    pub fn encode_header(&self, buffer: &mut BytesMut) {
        buffer.extend_from_slice(format!("${}\r\n", self.length).as_bytes());
    }

    /// Waits for memory and begins a value of `length` bytes. Returns `None` if the memory budget is closed.
    pub async fn begin(length: usize, memory: Arc<Semaphore>) -> Option<(ValueWriter, StreamedValue)> {
        let _memory_permit = memory.acquire_many_owned(MEMORY_BYTES as u32).await.ok()?;
        let (sender, chunks) = mpsc::channel(1);
        Some((
            ValueWriter { remaining: length, chunks: sender },
            StreamedValue { length, chunks, _memory_permit },
        ))
    }
}

impl ValueWriter {
    /// Returns the number of bytes not forwarded yet.
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// Forwards the next chunk of the value from the front of `buffer`. Returns `false` if the receiver is
    /// gone.
    pub async fn forward(&mut self, buffer: &mut BytesMut) -> bool {
        let n = buffer.len().min(self.remaining).min(MAX_CHUNK_BYTES);
        self.remaining -= n;
        // Copied, so that the chunk does not keep the whole read buffer alive.
        let chunk = Bytes::copy_from_slice(&buffer.split_to(n));
        self.chunks.send(chunk).await.is_ok()
    }
}
