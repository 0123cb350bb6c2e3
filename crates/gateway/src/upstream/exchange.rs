//! The exchange of a request and its answer on a connection.

use std::future::Future;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use gateway_policy::interface::Outcome;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout, timeout_at, Instant};

use super::connection::Connection;
use super::reply::Reply;
use crate::memory::{MemoryBudget, MemoryPermit};
use crate::resp::{self, Header, Progress, FIRST_READ_BYTES};
use crate::streaming::{ValueWriter, MAX_CHUNK_BYTES};

/// Maximum time between two reads of an answer that has begun, whatever its length. Backends write answers in
/// parts with pauses of seconds. A pause is longer than this only if TCP has lost five transmissions in a
/// row, or the backend no longer writes.
const ANSWER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time allowed for the rest of an answer after its header.
const BUFFERED_REMAINDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time allowed for the rest of an answer after its streamed value, which may end after the deadline.
const STREAMED_REMAINDER_TIMEOUT: Duration = ANSWER_IDLE_TIMEOUT;
/// Memory for what follows the value of an answer, bytes.
const REPORT_BYTES: usize = 1024;

/// The deadlines of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// When the whole request must have been written. Otherwise the connection counts as failed.
    pub write: Instant,
    /// When the answer must have begun.
    pub answer: Instant,
}

/// An answer that was read completely.
struct ReadAnswer {
    frame: BytesFrame,
    /// Permit for its memory; `None` if it fits into the first read.
    memory_permit: Option<MemoryPermit>,
}

impl Connection {
    /// Writes a request or a probe and reads its answer. Also returns the connection if it can be reused.
    ///
    /// `on_start` is called when the answer begins. If its value is too long to be buffered, `on_start` gets
    /// the length of the value, and returns where to forward it. `decode` decodes the complete answer, which
    /// may hold a permit of `memory`, and returns `None` if it is not a valid one.
    pub async fn exchange<B: Future<Output = Option<ValueWriter>>>(
        mut self,
        request: impl Buf,
        deadlines: Deadlines,
        memory: &MemoryBudget,
        on_start: impl FnOnce(Option<usize>) -> B,
        decode: impl FnOnce(BytesFrame, Option<MemoryPermit>) -> Option<Reply>,
    ) -> (Reply, Option<Connection>) {
        let answer = self.write_and_read(request, deadlines, memory, on_start).await;
        match answer.map(|ReadAnswer { frame, memory_permit }| decode(frame, memory_permit)) {
            Ok(Some(reply)) => {
                self.begin_cool_down();
                (reply, Some(self))
            }
            Ok(None) => (Reply::failed(Outcome::Error), None),
            Err(outcome) => (Reply::failed(outcome), None),
        }
    }

    async fn write_and_read<B: Future<Output = Option<ValueWriter>>>(
        &mut self,
        mut request: impl Buf,
        deadlines: Deadlines,
        memory: &MemoryBudget,
        on_start: impl FnOnce(Option<usize>) -> B,
    ) -> Result<ReadAnswer, Outcome> {
        match timeout_at(deadlines.write, self.stream.write_all_buf(&mut request)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        }
        drop(request);
        let header =
            timeout_at(deadlines.answer, self.read_header()).await.unwrap_or(Err(Outcome::Timeout))?;
        let (prefix, remainder_timeout) = match header {
            Header::Streamed { elements, length, header_length } => {
                let writer = on_start(Some(length)).await.ok_or(Outcome::Cancelled)?;
                self.buffer.advance(header_length);
                self.forward_value(writer).await?;
                (resp::remainder_prefix(elements).ok_or(Outcome::Error)?, STREAMED_REMAINDER_TIMEOUT)
            }
            _ => {
                on_start(None).await;
                (resp::NO_PREFIX, BUFFERED_REMAINDER_TIMEOUT)
            }
        };
        let deadline = deadlines.answer.max(Instant::now() + remainder_timeout);
        timeout_at(deadline, self.read_frame(prefix, memory)).await.unwrap_or(Err(Outcome::Timeout))
    }

    /// Reads until the header of the answer is complete.
    async fn read_header(&mut self) -> Result<Header, Outcome> {
        self.fill_buffer().await?;
        loop {
            match resp::read_header(&self.buffer) {
                Header::Incomplete => self.fill_buffer_with_timeout().await?,
                header => return Ok(header),
            }
        }
    }

    /// Forwards a streamed value as it is received.
    async fn forward_value(&mut self, mut writer: ValueWriter) -> Result<(), Outcome> {
        loop {
            while writer.remaining() > 0 && !self.buffer.is_empty() {
                if !writer.forward(&mut self.buffer).await {
                    return Err(Outcome::Cancelled);
                }
            }
            if writer.remaining() == 0 {
                return Ok(());
            }
            // A new buffer of fixed capacity, as the old one would grow by data that the client does not take
            // yet.
            self.buffer = BytesMut::with_capacity(MAX_CHUNK_BYTES);
            match timeout(ANSWER_IDLE_TIMEOUT, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return Err(Outcome::Reset),
            }
        }
    }

    /// Reads a complete answer. If its value was streamed, `prefix` replaces the part that was consumed.
    ///
    /// Memory for all of a long answer is taken before more of it is read: several answers that each wait for
    /// the memory of their rest could wait for each other.
    async fn read_frame(&mut self, prefix: &[u8], memory: &MemoryBudget) -> Result<ReadAnswer, Outcome> {
        if !prefix.is_empty() {
            let mut buffer = BytesMut::from(prefix);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
        }
        let mut memory_permit = None;
        loop {
            match resp::progress(&self.buffer) {
                Ok(Progress::Complete) => break,
                Ok(Progress::Partial { min_length }) => {
                    self.take_memory(min_length, memory, &mut memory_permit).await?;
                    self.fill_buffer_with_timeout().await?;
                }
                Err(_) => return Err(Outcome::Error),
            }
        }
        let frame = resp::next_frame(&mut self.buffer).ok().flatten().ok_or(Outcome::Error)?;
        // Copied, as the frame keeps the memory of the old buffer.
        self.buffer = BytesMut::from(&self.buffer[..]);
        Ok(ReadAnswer { frame, memory_permit })
    }

    /// Makes room in the buffer for an answer of at least `min_length` bytes. Waits for a permit unless the
    /// answer fits into the first read.
    async fn take_memory(
        &mut self,
        min_length: usize,
        memory: &MemoryBudget,
        permit: &mut Option<MemoryPermit>,
    ) -> Result<(), Outcome> {
        let held = self.buffer.capacity().max(FIRST_READ_BYTES);
        if min_length <= held && self.buffer.len() < held {
            return Ok(());
        }
        let capacity = min_length + REPORT_BYTES;
        let taken = permit.as_ref().map_or(0, MemoryPermit::bytes);
        let more = memory.take_for_answer(capacity.saturating_sub(taken)).await.ok_or(Outcome::Error)?;
        match permit {
            Some(permit) => permit.merge(more),
            None => *permit = Some(more),
        }
        // Reserving in the old buffer could allocate twice as much.
        let mut buffer = BytesMut::with_capacity(capacity);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        Ok(())
    }

    /// Reads more of an answer that has begun, within [`ANSWER_IDLE_TIMEOUT`].
    async fn fill_buffer_with_timeout(&mut self) -> Result<(), Outcome> {
        timeout(ANSWER_IDLE_TIMEOUT, self.fill_buffer()).await.unwrap_or(Err(Outcome::Error))
    }

    async fn fill_buffer(&mut self) -> Result<(), Outcome> {
        if self.buffer.capacity() == 0 {
            self.buffer.reserve(FIRST_READ_BYTES);
        }
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(Outcome::Reset),
            Ok(_) => Ok(()),
        }
    }
}
