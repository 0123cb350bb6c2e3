//! The second address: one line to a connection, one line back.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use maintenance::{Command, MAX_LINE_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::keeper::{Answer, Told};

/// Connections at once. Their descriptors are kept for them.
pub const PLACES: usize = 16;
/// How long a caller may take for its line where nobody else wants the place.
const LINE_WAIT: Duration = Duration::from_secs(10);
/// How long an answer may take to be found; a little less than callers wait.
const ANSWER_WAIT: Duration = Duration::from_millis(900);
/// How long an answer may take to be written, and a caller to close after it.
const WRITE_WAIT: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Takes connections until the task ends.
pub async fn serve(listener: TcpListener, keeper: mpsc::Sender<Told>) {
    let places = Arc::new(Semaphore::new(PLACES));
    // Those that have not sent their line yet, from the first.
    let mut waiting: VecDeque<CancellationToken> = VecDeque::new();
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        waiting.retain(|line| !line.is_cancelled());
        // Danger: callers that say nothing, and keep out one that has something to say. The one that has been
        // silent for longest makes room; those that wait for an answer have it within a second.
        if places.available_permits() == 0 {
            waiting.pop_front().into_iter().for_each(|line| line.cancel());
        }
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        let line = CancellationToken::new();
        waiting.push_back(line.clone());
        tokio::spawn(talk(stream, caller, line, keeper.clone(), place));
    }
}

/// One call. `line` is cancelled when the line is there, or when it is not waited for any longer.
async fn talk(
    mut stream: TcpStream,
    caller: SocketAddr,
    line: CancellationToken,
    keeper: mpsc::Sender<Told>,
    place: OwnedSemaphorePermit,
) {
    // Danger: a line that is there already, of one that is to make room.
    let read = tokio::select! {
        biased;
        read = timeout(LINE_WAIT, read_line(&mut stream)) => read.ok(),
        () = line.cancelled() => None,
    };
    line.cancel();
    let answer = match read {
        Some(Ok(text)) => answer(&text, caller, &keeper).await,
        Some(Err(Unread::Long)) => Err(format!("a line of more than {MAX_LINE_BYTES} bytes")),
        Some(Err(Unread::Cut)) => Err("the line has no end".to_string()),
        Some(Err(Unread::Nothing)) => return,
        // Danger: places that are kept by the long end of connections whose callers say nothing.
        None => return,
    };
    let (word, why) = match &answer {
        Ok(why) => ("SUCCESS", why),
        Err(why) => ("FAILURE", why),
    };
    let text = format!("{word} {why}\r\n");
    let _ = timeout(WRITE_WAIT, async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await?;
        // Danger: bytes that nobody reads reset the connection, and the caller loses the answer.
        let mut unread = [0; 1024];
        for _ in 0..64 {
            if stream.read(&mut unread).await? == 0 {
                break;
            }
        }
        Ok::<(), std::io::Error>(())
    })
    .await;
    drop(place);
}

async fn answer(text: &[u8], caller: SocketAddr, keeper: &mpsc::Sender<Told>) -> Answer {
    let call = Command::read(text).map_err(|e| e.to_string())?;
    let changes = call != Command::Ready;
    let shown = call.to_string();
    let (say, said) = oneshot::channel();
    let asked = async {
        keeper.send(Told { call, say }).await.map_err(|_| "ending".to_string())?;
        said.await.unwrap_or_else(|_| Err("ending".to_string()))
    };
    let late = || Err("no answer in time; whether it is in force is not known".to_string());
    let answer = timeout(ANSWER_WAIT, asked).await.unwrap_or_else(|_| late());
    if changes {
        match &answer {
            Ok(why) => tracing::info!(%caller, call = %shown, "done: {why}"),
            Err(why) => tracing::warn!(%caller, call = %shown, "turned down: {why}"),
        }
    }
    answer
}

/// Why there is no line.
enum Unread {
    Long,
    Cut,
    Nothing,
}

async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, Unread> {
    let (mut line, mut piece) = (Vec::new(), [0; 512]);
    loop {
        let n = stream.read(&mut piece).await.unwrap_or(0);
        if n == 0 {
            return Err(if line.is_empty() { Unread::Nothing } else { Unread::Cut });
        }
        let read = &piece[..n];
        if let Some(end) = read.iter().position(|b| *b == b'\n') {
            line.extend_from_slice(&read[..end]);
            return if line.len() > MAX_LINE_BYTES { Err(Unread::Long) } else { Ok(line) };
        }
        line.extend_from_slice(read);
        if line.len() > MAX_LINE_BYTES {
            return Err(Unread::Long);
        }
    }
}
