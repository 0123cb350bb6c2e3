//! Listener of the management address: one command per connection, answered with one line.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use maintenance::{Command, MAX_LINE_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::command::{CommandFailure, CommandResult, PendingCommand};

/// Maximum number of concurrent connections. File descriptors are reserved for them.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a caller may take to send its line, unless its permit is needed for another connection.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the result of a command; slightly less than callers wait.
const RESULT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time allowed for writing the response and for the caller to close the connection afterwards.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of bytes of a command line per read.
const LINE_CHUNK: usize = 512;
/// Maximum number of reads that discard what a caller sends after its line, and bytes per read.
const DISCARD_READS: usize = 64;
const DISCARD_CHUNK: usize = 1024;

/// Accepts connections until the task ends.
pub async fn serve(listener: TcpListener, controller: mpsc::Sender<PendingCommand>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // Connections that have not sent their line yet, oldest first.
    let mut awaiting_line: VecDeque<CancellationToken> = VecDeque::new();
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        awaiting_line.retain(|line| !line.is_cancelled());
        // Idle callers must not block others: the one that has been idle for longest is disconnected. Callers
        // that wait for a result get it within a second.
        if permits.available_permits() == 0 {
            if let Some(longest) = awaiting_line.pop_front() {
                longest.cancel();
            }
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let line = CancellationToken::new();
        awaiting_line.push_back(line.clone());
        tokio::spawn(serve_connection(stream, caller, line, controller.clone(), permit));
    }
}

/// Serves one command. `line` is cancelled when the line has arrived, or when the caller is to be
/// disconnected.
async fn serve_connection(
    mut stream: TcpStream,
    caller: SocketAddr,
    line: CancellationToken,
    controller: mpsc::Sender<PendingCommand>,
    permit: OwnedSemaphorePermit,
) {
    // Biased so that a line that has already arrived is executed even if the caller is to be disconnected.
    let read = tokio::select! {
        biased;
        read = timeout(LINE_TIMEOUT, read_line(&mut stream)) => read.ok(),
        () = line.cancelled() => None,
    };
    line.cancel();
    let result = match read {
        Some(Ok(text)) => execute(&text, caller, &controller).await,
        Some(Err(LineError::TooLong)) => Err(CommandFailure::LineTooLong),
        Some(Err(LineError::Truncated)) => Err(CommandFailure::LineTruncated),
        // A caller that sent nothing gets no response: closing its connection in order could take long
        // and would keep the permit.
        Some(Err(LineError::Empty)) | None => return,
    };
    let _ = timeout(WRITE_TIMEOUT, respond(&mut stream, &result)).await;
    drop(permit);
}

/// Executes a command, and logs the result of commands that change the state.
async fn execute(
    text: &[u8],
    caller: SocketAddr,
    controller: &mpsc::Sender<PendingCommand>,
) -> CommandResult {
    let command = Command::parse(text).map_err(CommandFailure::Malformed)?;
    let changes = command != Command::Ready;
    let command_text = command.to_string();
    let (reply, result) = oneshot::channel();
    let executed = async {
        let pending = PendingCommand { command, reply };
        controller.send(pending).await.map_err(|_| CommandFailure::ShuttingDown)?;
        result.await.unwrap_or(Err(CommandFailure::ShuttingDown))
    };
    let result = timeout(RESULT_TIMEOUT, executed).await.unwrap_or(Err(CommandFailure::TimedOut));
    if changes {
        match &result {
            Ok(done) => tracing::info!(%caller, call = %command_text, "command executed: {done}"),
            Err(e) => tracing::warn!(%caller, call = %command_text, "command failed: {e}"),
        }
    }
    result
}

/// Writes the response and closes the connection.
async fn respond(stream: &mut TcpStream, result: &CommandResult) -> io::Result<()> {
    let line = match result {
        Ok(done) => format!("SUCCESS {done}\r\n"),
        Err(e) => format!("FAILURE {e}\r\n"),
    };
    stream.write_all(line.as_bytes()).await?;
    stream.shutdown().await?;
    // Closing a socket with unread data resets the connection, and the caller could lose the response.
    let mut discarded = [0; DISCARD_CHUNK];
    for _ in 0..DISCARD_READS {
        if stream.read(&mut discarded).await? == 0 {
            break;
        }
    }
    Ok(())
}

/// Why no line was read.
enum LineError {
    TooLong,
    Truncated,
    Empty,
}

async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, LineError> {
    let (mut line, mut chunk) = (Vec::new(), [0; LINE_CHUNK]);
    loop {
        let n = stream.read(&mut chunk).await.unwrap_or(0);
        if n == 0 {
            return Err(if line.is_empty() { LineError::Empty } else { LineError::Truncated });
        }
        let read = &chunk[..n];
        let end = read.iter().position(|b| *b == b'\n');
        line.extend_from_slice(&read[..end.unwrap_or(n)]);
        if line.len() > MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        if end.is_some() {
            return Ok(line);
        }
    }
}
