//! The second address: one command to a connection, one line back.

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

/// Connections at once. Their descriptors are kept for them.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a caller may take for its line where nobody else wants the connection's permit.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a result may take; a little less than callers wait.
const RESULT_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a response may take to be written, and a caller to close after it.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Bytes of a line that are read at once.
const LINE_CHUNK: usize = 512;
/// What is read of a caller that goes on writing after its line: so many times so many bytes.
const DISCARD_READS: usize = 64;
const DISCARD_CHUNK: usize = 1024;

/// Accepts connections until the task ends.
pub async fn serve(listener: TcpListener, controller: mpsc::Sender<PendingCommand>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // Those that have not sent their line yet, from the first.
    let mut silent: VecDeque<CancellationToken> = VecDeque::new();
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        silent.retain(|line| !line.is_cancelled());
        // Callers that say nothing must not keep out one that has something to say: the one that has been
        // silent for longest makes room. Those that wait for a result have it within a second.
        if permits.available_permits() == 0 {
            if let Some(longest) = silent.pop_front() {
                longest.cancel();
            }
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let line = CancellationToken::new();
        silent.push_back(line.clone());
        tokio::spawn(serve_connection(stream, caller, line, controller.clone(), permit));
    }
}

/// Serves one command. `line` is cancelled when the line is there, or when it is not waited for any longer.
async fn serve_connection(
    mut stream: TcpStream,
    caller: SocketAddr,
    line: CancellationToken,
    controller: mpsc::Sender<PendingCommand>,
    permit: OwnedSemaphorePermit,
) {
    // A line that is there already counts, also of a caller that is to make room.
    let read = tokio::select! {
        biased;
        read = timeout(LINE_TIMEOUT, read_line(&mut stream)) => read.ok(),
        () = line.cancelled() => None,
    };
    line.cancel();
    let result = match read {
        Some(Ok(text)) => execute(&text, caller, &controller).await,
        Some(Err(Unread::TooLong)) => Err(CommandFailure::LineTooLong),
        Some(Err(Unread::Cut)) => Err(CommandFailure::LineCut),
        // Who said nothing gets nothing: the end of its connection could take long, and keep the permit.
        Some(Err(Unread::Nothing)) | None => return,
    };
    let _ = timeout(WRITE_TIMEOUT, respond(&mut stream, &result)).await;
    drop(permit);
}

/// Has a command carried out, and logs what came of it if it changes anything.
async fn execute(
    text: &[u8],
    caller: SocketAddr,
    controller: &mpsc::Sender<PendingCommand>,
) -> CommandResult {
    let command = Command::parse(text).map_err(CommandFailure::Malformed)?;
    let changes = command != Command::Ready;
    let shown = command.to_string();
    let (reply, result) = oneshot::channel();
    let carried_out = async {
        let pending = PendingCommand { command, reply };
        controller.send(pending).await.map_err(|_| CommandFailure::ShuttingDown)?;
        result.await.unwrap_or(Err(CommandFailure::ShuttingDown))
    };
    let result = timeout(RESULT_TIMEOUT, carried_out).await.unwrap_or(Err(CommandFailure::TimedOut));
    if changes {
        match &result {
            Ok(done) => tracing::info!(%caller, call = %shown, "done: {done}"),
            Err(e) => tracing::warn!(%caller, call = %shown, "turned down: {e}"),
        }
    }
    result
}

/// Writes the response and ends the connection.
async fn respond(stream: &mut TcpStream, result: &CommandResult) -> io::Result<()> {
    let line = match result {
        Ok(done) => format!("SUCCESS {done}\r\n"),
        Err(e) => format!("FAILURE {e}\r\n"),
    };
    stream.write_all(line.as_bytes()).await?;
    stream.shutdown().await?;
    // Bytes that nobody reads would reset the connection, and the caller would lose the response.
    let mut discarded = [0; DISCARD_CHUNK];
    for _ in 0..DISCARD_READS {
        if stream.read(&mut discarded).await? == 0 {
            break;
        }
    }
    Ok(())
}

/// Why there is no line.
enum Unread {
    TooLong,
    Cut,
    Nothing,
}

async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, Unread> {
    let (mut line, mut chunk) = (Vec::new(), [0; LINE_CHUNK]);
    loop {
        let n = stream.read(&mut chunk).await.unwrap_or(0);
        if n == 0 {
            return Err(if line.is_empty() { Unread::Nothing } else { Unread::Cut });
        }
        let read = &chunk[..n];
        let end = read.iter().position(|b| *b == b'\n');
        line.extend_from_slice(&read[..end.unwrap_or(n)]);
        if line.len() > MAX_LINE_BYTES {
            return Err(Unread::TooLong);
        }
        if end.is_some() {
            return Ok(line);
        }
    }
}
