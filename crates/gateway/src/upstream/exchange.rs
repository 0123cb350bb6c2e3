//! One request and its answer on a connection.

use std::future::Future;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use gateway_policy::interface::Outcome;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout, timeout_at, Instant};

use super::connection::Connection;
use super::reply::Reply;
use crate::resp::{self, Header};
use crate::streaming::{ValueWriter, MAX_PIECE_BYTES, STREAM_IDLE_TIMEOUT};

/// How long an answer that has begun may pause. Backends write in pieces, and may take seconds for all of
/// them.
const REPLY_PAUSE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long what stands behind a streamed value may take.
const REMAINDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Until when the steps of an exchange may last.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// The last byte of the request is written by then, or none counts.
    pub write: Instant,
    /// The answer has begun by then.
    pub answer: Instant,
}

impl Connection {
    /// Writes a call or a probe, and reads its answer. The connection comes back if it can be used again.
    ///
    /// `begins` is called when the answer begins, with the length of a value that is too long to be held
    /// whole, which it has to take. `decode` reads the whole answer; `None` if it is none.
    pub async fn exchange<B: Future<Output = Option<ValueWriter>>>(
        mut self,
        request: Bytes,
        deadlines: Deadlines,
        begins: impl FnOnce(Option<usize>) -> B,
        decode: impl FnOnce(BytesFrame) -> Option<Reply>,
    ) -> (Reply, Option<Connection>) {
        let answer = self.write_and_read(request, deadlines, begins).await;
        self.begin_cool_down();
        match answer.map(decode) {
            Ok(Some(reply)) => (reply, Some(self)),
            Ok(None) => (Reply::failed(Outcome::Error), None),
            Err(outcome) => (Reply::failed(outcome), None),
        }
    }

    async fn write_and_read<B: Future<Output = Option<ValueWriter>>>(
        &mut self,
        request: Bytes,
        deadlines: Deadlines,
        begins: impl FnOnce(Option<usize>) -> B,
    ) -> Result<BytesFrame, Outcome> {
        match timeout_at(deadlines.write, self.stream.write_all(&request)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        }
        drop(request);
        let header =
            timeout_at(deadlines.answer, self.read_header()).await.unwrap_or(Err(Outcome::Timeout))?;
        let before = match header {
            Header::Streamed { parts, length, header: header_bytes } => {
                let writer = begins(Some(length)).await.ok_or(Outcome::Cancelled)?;
                self.buffer.advance(header_bytes);
                self.forward_value(writer).await?;
                resp::remainder_prefix(parts).ok_or(Outcome::Error)?
            }
            _ => {
                begins(None).await;
                resp::WHOLE
            }
        };
        let until = deadlines.answer.max(Instant::now() + REMAINDER_TIMEOUT);
        timeout_at(until, self.read_frame(before)).await.unwrap_or(Err(Outcome::Timeout))
    }

    /// Reads until it shows how the answer begins.
    async fn read_header(&mut self) -> Result<Header, Outcome> {
        self.fill_buffer().await?;
        loop {
            match resp::read_header(&self.buffer) {
                // A spoilt one that never ends must not hold the request until its time is up.
                Header::Incomplete => self.fill_buffer_soon().await?,
                header => return Ok(header),
            }
        }
    }

    /// Passes a value on as it comes.
    async fn forward_value(&mut self, mut to: ValueWriter) -> Result<(), Outcome> {
        loop {
            while to.left() > 0 && !self.buffer.is_empty() {
                if !to.forward(&mut self.buffer).await {
                    return Err(Outcome::Cancelled);
                }
            }
            if to.left() == 0 {
                return Ok(());
            }
            // A new buffer: this one would grow by what nobody takes yet.
            self.buffer = BytesMut::with_capacity(MAX_PIECE_BYTES);
            match timeout(STREAM_IDLE_TIMEOUT, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return Err(Outcome::Reset),
            }
        }
    }

    /// Reads the whole answer. Of one whose value was streamed, `before` stands in for what came first.
    async fn read_frame(&mut self, before: &[u8]) -> Result<BytesFrame, Outcome> {
        if !before.is_empty() {
            let mut buffer = BytesMut::from(before);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
        }
        loop {
            match resp::next_frame(&mut self.buffer) {
                Ok(Some(frame)) => {
                    // The rest of the room stays with the frame.
                    self.buffer = BytesMut::from(&self.buffer[..]);
                    return Ok(frame);
                }
                Ok(None) => self.fill_buffer_soon().await?,
                Err(_) => return Err(Outcome::Error),
            }
        }
    }

    /// Reads more of an answer that has begun.
    async fn fill_buffer_soon(&mut self) -> Result<(), Outcome> {
        timeout(REPLY_PAUSE_TIMEOUT, self.fill_buffer()).await.unwrap_or(Err(Outcome::Error))
    }

    async fn fill_buffer(&mut self) -> Result<(), Outcome> {
        resp::make_room(&mut self.buffer);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(Outcome::Reset),
            Ok(_) => Ok(()),
        }
    }
}
