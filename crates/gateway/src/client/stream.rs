//! What is done with a client's stream: writes that end with the client, and the end of a connection.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::streaming::StreamedValue;

/// A client that takes no bytes for so long has disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client may take to close after the gateway has.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// What it may still send meanwhile, bytes.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// How often a client that sends urgent bytes is looked at.
const URGENT_BACKOFF: Duration = Duration::from_millis(50);

/// The client has disconnected, or takes nothing.
#[derive(Debug)]
pub(super) struct Disconnected;

/// Writes all bytes. A client that is slow but takes some goes on; one that takes nothing for good, or
/// disconnects while other requests of its wait, does not.
pub(super) async fn write(stream: &mut TcpStream, mut bytes: &[u8]) -> Result<(), Disconnected> {
    while !bytes.is_empty() {
        let (read, mut write) = stream.split();
        let written = tokio::select! {
            biased;
            written = timeout(WRITE_TIMEOUT, write.write(bytes)) => written,
            () = ended(read.as_ref()) => return Err(Disconnected),
        };
        match written {
            Ok(Ok(n)) if n > 0 => bytes = &bytes[n..],
            _ => return Err(Disconnected),
        }
    }
    Ok(())
}

/// Writes the pieces of a streamed value as they come. A value that can't be finished must not be taken for a
/// whole one: the connection ends with it.
pub(super) async fn forward(stream: &mut TcpStream, mut value: StreamedValue) -> Result<(), Disconnected> {
    let mut left = value.length;
    loop {
        let piece = tokio::select! {
            biased;
            piece = value.pieces.recv() => piece,
            () = ended(stream) => return Err(Disconnected),
        };
        let Some(piece) = piece else { break };
        left = left.saturating_sub(piece.len());
        write(stream, &piece).await?;
    }
    if left > 0 {
        return Err(Disconnected);
    }
    write(stream, b"\r\n").await
}

/// Ends the sending side and discards what comes until the client has closed, for a bounded time: bytes that
/// nobody reads would reset the connection, and the client would lose the last answer.
pub(super) async fn linger(stream: &mut TcpStream) {
    let _ = timeout(LINGER_TIMEOUT, discard(stream)).await;
}

async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let (mut unread, mut left) = ([0; 4096], MAX_LINGER_BYTES);
    while left > 0 {
        match stream.read(&mut unread).await? {
            0 => break,
            n => left = left.saturating_sub(n),
        }
    }
    Ok(())
}

/// Waits until the client has ended its side, also behind bytes that nobody reads.
pub(super) async fn ended(stream: &TcpStream) {
    // Readiness for what is never sent: it comes with the end alone.
    while let Ok(ready) = stream.ready(Interest::PRIORITY).await {
        if ready.is_read_closed() {
            return;
        }
        // Urgent bytes would have this loop run without a pause.
        sleep(URGENT_BACKOFF).await;
    }
}
