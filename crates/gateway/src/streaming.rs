//! Streamed values: values too long to be buffered, forwarded to the client chunk by chunk as they arrive.

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

use crate::memory::{MemoryBudget, MemoryPermit};

/// Memory reserved for a streamed value, bytes: one chunk being read, one queued and one being written.
const MEMORY_BYTES: usize = 32 * 1024;
/// Maximum length of a chunk, bytes.
pub const MAX_CHUNK_BYTES: usize = 8 * 1024;

/// The receiving half of a streamed value, from which it is written to the client.
#[derive(Debug)]
pub struct StreamedValue {
    /// Total length, bytes.
    pub length: usize,
    chunks: mpsc::Receiver<Bytes>,
    /// What was received while the value was held back.
    held: BytesMut,
    /// Number of bytes that were not received yet.
    missing: usize,
    memory: MemoryBudget,
    /// Held for as long as the value is in memory.
    memory_permit: MemoryPermit,
}

/// The sending half of a streamed value, which forwards what is read from the backend.
#[derive(Debug)]
pub struct ValueWriter {
    remaining: usize,
    chunks: mpsc::Sender<Bytes>,
}

impl StreamedValue {
    /// Waits for memory and begins a value of `length` bytes. Returns `None` if the memory budget is too
    /// small.
    pub async fn begin(length: usize, memory: MemoryBudget) -> Option<(ValueWriter, StreamedValue)> {
        let memory_permit = memory.take_for_answer(MEMORY_BYTES).await?;
        let (sender, chunks) = mpsc::channel(1);
        let writer = ValueWriter { remaining: length, chunks: sender };
        let held = BytesMut::new();
        Some((writer, StreamedValue { length, chunks, held, missing: length, memory, memory_permit }))
    }

    /// Takes memory for the whole value, so that it can be held back. Returns `false` if the budget has too
    /// little: the values of other clients must not wait for memory.
    pub fn reserve_whole(&mut self) -> bool {
        match self.memory.try_take_for_held_value(self.length) {
            Some(permit) => {
                self.memory_permit.merge(permit);
                // One buffer for all chunks, as a backend may send them in very small pieces.
                self.held.reserve(self.length);
                true
            }
            None => false,
        }
    }

    /// Receives chunks and holds them back, until the value is complete or its writer has ended.
    ///
    /// Cancel safe: chunks that were received are kept.
    pub async fn hold(&mut self) {
        while self.missing > 0 {
            let Some(chunk) = self.chunks.recv().await else { return };
            self.missing = self.missing.saturating_sub(chunk.len());
            self.held.extend_from_slice(&chunk);
        }
    }

    /// Whether the writer has ended before the value was complete.
    pub fn is_truncated(&self) -> bool {
        self.missing > 0 && self.chunks.is_closed() && self.chunks.is_empty()
    }

    /// Returns the next chunk of the value. `None`: the value is complete, or its writer has ended.
    ///
    /// Cancel safe.
    pub async fn next_chunk(&mut self) -> Option<Bytes> {
        if !self.held.is_empty() {
            return Some(self.held.split().freeze());
        }
        let chunk = self.chunks.recv().await?;
        self.missing = self.missing.saturating_sub(chunk.len());
        Some(chunk)
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
