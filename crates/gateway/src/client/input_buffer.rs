//! The input of a client connection: what was read and not parsed yet, within the memory budget.

use std::collections::VecDeque;
use std::io;

use bytes::BytesMut;
use redis_protocol::resp2::types::BytesFrame;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::memory::{MemoryBudget, MemoryPermit};
use crate::resp::{self, CommandSkipper, Malformed, Progress, FIRST_READ_BYTES};

/// Capacity above what a command is known to need, bytes: for its next header lines.
const HEADERS_BYTES: usize = 1024;
/// Capacity for commands that are read ahead, bytes.
const READ_AHEAD_BYTES: usize = 8 * 1024;

/// A command that was received completely.
#[derive(Debug)]
pub(super) struct ReceivedCommand {
    pub frame: BytesFrame,
    /// When its last byte was read.
    pub received_at: Instant,
    /// Permit for the memory in which it was received, if it is long.
    pub memory_permit: Option<MemoryPermit>,
}

/// What the client sent next.
#[derive(Debug)]
pub(super) enum NextCommand {
    /// A complete command.
    Complete(ReceivedCommand),
    /// A command that was discarded, as there was no memory for it.
    Discarded,
    /// Nothing, or a part of a command.
    Partial,
}

/// Bytes that were read and not parsed yet.
#[derive(Debug, Default)]
pub(super) struct InputBuffer {
    bytes: BytesMut,
    /// Covers a capacity above [`FIRST_READ_BYTES`].
    permit: Option<MemoryPermit>,
    /// Set while a command is discarded.
    skipper: Option<CommandSkipper>,
    arrivals: Arrivals,
}

impl InputBuffer {
    /// Whether everything that was read has been parsed.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.skipper.is_none()
    }

    /// Discards everything that was read.
    pub fn clear(&mut self) {
        *self = InputBuffer::default();
    }

    /// Removes the next command.
    pub fn next_command(&mut self) -> Result<NextCommand, Malformed> {
        let length = self.bytes.len();
        if let Some(skipper) = &mut self.skipper {
            let ended = skipper.skip(&mut self.bytes)?;
            self.arrivals.consume(length - self.bytes.len());
            if !ended {
                return Ok(NextCommand::Partial);
            }
            self.skipper = None;
            return Ok(NextCommand::Discarded);
        }
        let Some(frame) = resp::next_frame(&mut self.bytes)? else { return Ok(NextCommand::Partial) };
        let received_at = self.arrivals.consume(length - self.bytes.len());
        Ok(NextCommand::Complete(ReceivedCommand { frame, received_at, memory_permit: self.release() }))
    }

    /// Moves what is left to a buffer of its own, without a permit if it fits into the first read. Returns
    /// the permit of the old buffer.
    fn release(&mut self) -> Option<MemoryPermit> {
        if self.bytes.len() > FIRST_READ_BYTES {
            return None;
        }
        let permit = self.permit.take()?;
        self.bytes = BytesMut::from(&self.bytes[..]);
        Some(permit)
    }

    /// Returns the memory of an empty buffer.
    pub fn shrink_if_empty(&mut self) {
        if self.bytes.is_empty() && self.permit.take().is_some() {
            self.bytes = BytesMut::new();
        }
    }

    /// Makes room for more of a partial command. Waits for memory, and discards the command if there is none
    /// in time.
    pub async fn make_room(&mut self, memory: &MemoryBudget) {
        let capacity = self.wanted_capacity();
        if self.skipper.is_some() || self.has_room(capacity) {
            return;
        }
        match memory.take_for_partial_command(capacity.saturating_sub(self.taken_bytes())).await {
            Some(permit) => self.grow(capacity, permit),
            None => self.skipper = Some(CommandSkipper::new()),
        }
    }

    /// Makes room for commands behind those that are being executed. Returns `false` if there is no memory
    /// for them now.
    pub fn try_make_room_ahead(&mut self, memory: &MemoryBudget) -> bool {
        if self.bytes.len() >= READ_AHEAD_BYTES || self.skipper.is_some() {
            return false;
        }
        if self.has_room(FIRST_READ_BYTES) {
            return true;
        }
        let missing = READ_AHEAD_BYTES.saturating_sub(self.taken_bytes());
        let Some(permit) = memory.try_take_for_partial_command(missing) else { return false };
        self.grow(READ_AHEAD_BYTES, permit);
        true
    }

    /// Reads what is available, as far as there is room. `parsing`: no complete command was left unparsed.
    pub fn try_read(&mut self, stream: &TcpStream, parsing: bool) -> io::Result<usize> {
        if self.bytes.len() == self.bytes.capacity() {
            let capacity = self.allowed_bytes();
            if self.bytes.len() >= capacity {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            self.reallocate(capacity);
        }
        let read = stream.try_read_buf(&mut self.bytes)?;
        if parsing {
            self.arrivals.restart(self.bytes.len());
        } else {
            self.arrivals.add(read);
        }
        Ok(read)
    }

    /// Returns the capacity that the next command needs, as far as it is known.
    fn wanted_capacity(&self) -> usize {
        match resp::progress(&self.bytes) {
            Ok(Progress::Partial { min_length }) if min_length > FIRST_READ_BYTES => {
                min_length + HEADERS_BYTES
            }
            _ => FIRST_READ_BYTES,
        }
    }

    /// Whether the buffer may have this capacity, and more can be read.
    fn has_room(&self, capacity: usize) -> bool {
        let allowed = self.allowed_bytes();
        self.bytes.len() < allowed && capacity <= allowed
    }

    /// Number of bytes that the buffer may hold.
    fn allowed_bytes(&self) -> usize {
        self.taken_bytes().max(FIRST_READ_BYTES)
    }

    /// Number of bytes of the permit.
    fn taken_bytes(&self) -> usize {
        self.permit.as_ref().map_or(0, MemoryPermit::bytes)
    }

    fn grow(&mut self, capacity: usize, permit: MemoryPermit) {
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        self.reallocate(capacity);
    }

    /// Moves the bytes to a new buffer. Reserving in the old one could allocate twice as much.
    fn reallocate(&mut self, capacity: usize) {
        let mut bytes = BytesMut::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
    }
}

/// Maximum number of reads whose times are kept apart.
const MAX_ARRIVALS: usize = 32;

/// When the bytes in the buffer were read.
#[derive(Debug, Default)]
struct Arrivals {
    reads: VecDeque<Arrival>,
}

/// Bytes that were read at once.
#[derive(Debug)]
struct Arrival {
    bytes: usize,
    at: Instant,
}

impl Arrivals {
    /// Records a read after which the buffer holds `bytes`. No command was complete before, so the earlier
    /// bytes belong to one that this read may have completed.
    fn restart(&mut self, bytes: usize) {
        self.reads.clear();
        self.add(bytes);
    }

    /// Records a read. If there are too many, it counts as part of the previous one: a client's time may then
    /// seem to end too early, but never too late.
    fn add(&mut self, bytes: usize) {
        let is_full = self.reads.len() >= MAX_ARRIVALS;
        match self.reads.back_mut() {
            Some(last) if is_full => last.bytes += bytes,
            _ => self.reads.push_back(Arrival { bytes, at: Instant::now() }),
        }
    }

    /// Removes bytes from the front. Returns when the last of them was read.
    fn consume(&mut self, mut bytes: usize) -> Instant {
        while let Some(first) = self.reads.front_mut() {
            if first.bytes > bytes {
                first.bytes -= bytes;
                return first.at;
            }
            bytes -= first.bytes;
            let at = first.at;
            self.reads.pop_front();
            if bytes == 0 {
                return at;
            }
        }
        Instant::now()
    }
}
