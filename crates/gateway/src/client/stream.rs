//! Operations on a client's TCP stream: writes that stop when the client disconnects, and the lingering
//! close.
//!
//! A value that was written may still be in the system's send buffer for as long as the client reads slowly.
//! Closing the socket then is safe only until the client sends anything: the system answers that with a
//! reset, and the unsent part of the value is lost.

use std::io;
use std::time::Duration;

use bytes::Buf;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::resp::LINE_END;
use crate::streaming::StreamedValue;

/// A client that accepts no bytes for this long is treated as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the send buffer of a connection that is to close is checked.
const UNSENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a client may take to close after the gateway has closed its sending side.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes discarded during that time.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Bytes discarded by one read.
const DISCARD_READ_BYTES: usize = 4096;
/// Makes the system use its own limit of unsent bytes.
const DEFAULT_NOTSENT_LOWAT: u32 = 0;
/// Polling interval for a client that has sent TCP urgent data.
const URGENT_BACKOFF: Duration = Duration::from_millis(50);

/// An error: the client has disconnected or accepts no bytes.
#[derive(Debug)]
pub(super) struct Disconnected;

/// Writes all bytes, however slowly the client accepts them.
///
/// # Errors
/// Fails if the client accepts no bytes for [`WRITE_TIMEOUT`], or disconnects.
pub(super) async fn write(stream: &mut TcpStream, mut bytes: impl Buf) -> Result<(), Disconnected> {
    while bytes.has_remaining() {
        let (read, mut write) = stream.split();
        let written = tokio::select! {
            biased;
            written = timeout(WRITE_TIMEOUT, write.write_buf(&mut bytes)) => written,
            () = peer_closed(read.as_ref()) => return Err(Disconnected),
        };
        match written {
            Ok(Ok(n)) if n > 0 => {}
            _ => return Err(Disconnected),
        }
    }
    Ok(())
}

/// Writes the chunks of a streamed value as they arrive.
///
/// # Errors
/// Fails if the client disconnects, or the value ends early: the connection is then closed, so that the
/// client can't mistake the value for a complete one.
pub(super) async fn forward(stream: &mut TcpStream, mut value: StreamedValue) -> Result<(), Disconnected> {
    loop {
        let chunk = tokio::select! {
            biased;
            chunk = value.next_chunk() => chunk,
            () = peer_closed(stream) => return Err(Disconnected),
        };
        let Some(chunk) = chunk else { break };
        write(stream, chunk).await?;
    }
    if value.is_truncated() {
        return Err(Disconnected);
    }
    write(stream, LINE_END).await
}

/// Whether the system holds bytes that it has not sent, as the client does not read.
pub(super) fn has_unsent_bytes(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    // With this limit, a socket is writable only if everything that was written to it has been sent.
    if socket.set_tcp_notsent_lowat(1).is_err() {
        return false;
    }
    let mut polled = [PollFd::new(stream, PollFlags::OUT)];
    let polling = poll(&mut polled, Some(&Timespec::default()));
    // Fails only on a connection that is broken.
    let _ = socket.set_tcp_notsent_lowat(DEFAULT_NOTSENT_LOWAT);
    polling.is_ok() && polled[0].revents().is_empty()
}

/// Waits until everything that was written has been sent, then closes the sending side, and discards input
/// until the client has closed, within bounds of time and bytes. Closing a socket with unread input would
/// reset the connection, and the client could lose the last answer.
pub(super) async fn linger(stream: &mut TcpStream) {
    let mut input = DiscardedInput { remaining: MAX_LINGER_BYTES };
    if has_unsent_bytes(stream) {
        // The system breaks the connection if the client accepts no bytes for this long.
        let _ = SockRef::from(&*stream).set_tcp_user_timeout(Some(WRITE_TIMEOUT));
        tokio::select! {
            () = until_sent(stream) => {}
            () = input.until_closed(stream) => return,
        }
    }
    if stream.shutdown().await.is_ok() {
        let _ = timeout(LINGER_TIMEOUT, input.until_closed(stream)).await;
    }
}

/// Waits until the system has sent everything that was written, or the connection breaks.
async fn until_sent(stream: &TcpStream) {
    while has_unsent_bytes(stream) {
        sleep(UNSENT_CHECK_INTERVAL).await;
    }
}

/// Input that is read and discarded.
struct DiscardedInput {
    /// Maximum number of further bytes.
    remaining: usize,
}

impl DiscardedInput {
    /// Discards input until the client closes or the connection breaks. Stops reading after the maximum
    /// number of bytes, but still waits.
    async fn until_closed(&mut self, stream: &TcpStream) {
        while self.remaining > 0 {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read(&mut [0; DISCARD_READ_BYTES]) {
                Ok(n) if n > 0 => self.remaining = self.remaining.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(_) | Err(_) => return,
            }
        }
        peer_closed(stream).await;
    }
}

/// Waits until the client has closed its sending side, even if there is unread input before that.
pub(super) async fn peer_closed(stream: &TcpStream) {
    // Clients send no urgent data, so this becomes ready only when the client closes.
    while let Ok(ready) = stream.ready(Interest::PRIORITY).await {
        if ready.is_read_closed() {
            return;
        }
        // Keeps the loop from spinning if the client does send urgent data.
        sleep(URGENT_BACKOFF).await;
    }
}
