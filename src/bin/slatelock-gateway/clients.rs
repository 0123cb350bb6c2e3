//! The clients' side: the listener, and on each connection commands in and answers out in order.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use slatelock::interface::Settings;
use slatelock::settings::Names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::driver::Input;
use crate::resp::{self, Answer, Command};

/// Commands of one connection that may wait for their answers; more are not read.
const PIPELINE_MOST: usize = 32;
/// A client that takes no bytes for so long is gone.
const WRITE_MOST: Duration = Duration::from_secs(10);
/// How long a client may take to close after the gateway has.
const LINGER: Duration = Duration::from_millis(200);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What all client connections share.
#[derive(Debug)]
pub struct Clients {
    pub settings: Settings,
    pub names: Names,
    pub inbox: mpsc::Sender<Input>,
    /// The last number of a request; they are never used again.
    pub last: AtomicU64,
    /// Says that connections are to close as soon as they owe no answer.
    pub closing: CancellationToken,
    pub tasks: TaskTracker,
}

impl Clients {
    /// Accepts connections until the task ends, at most so many at once.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, most: usize) {
        let places = Arc::new(Semaphore::new(most));
        loop {
            let mut stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    // Danger: no descriptor left, and a loop that does nothing but fail.
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                // Danger: more connections than descriptors. Whoever comes too late is told so.
                let _ = timeout(ACCEPT_PAUSE, stream.write_all(b"-BUSY\r\n")).await;
                continue;
            };
            let clients = Arc::clone(&self);
            self.tasks.spawn(async move {
                let mut connection = Client { clients, stream, owed: VecDeque::new(), last: false };
                connection.serve().await;
                connection.left().await;
                drop(place);
            });
        }
    }
}

/// An answer that is owed, in the order of the commands.
enum Owed {
    Later(u64, oneshot::Receiver<Answer>),
    Now(Answer),
}

struct Client {
    clients: Arc<Clients>,
    stream: TcpStream,
    owed: VecDeque<Owed>,
    /// Nothing more is read: what came was no RESP.
    last: bool,
}

impl Client {
    /// Serves the connection until it ends or is to close.
    async fn serve(&mut self) {
        let (mut input, mut output) = (BytesMut::new(), BytesMut::new());
        let closing = self.clients.closing.clone();
        if self.stream.set_nodelay(true).is_err() {
            return;
        }
        loop {
            self.commands(&mut input).await;
            self.ready(&mut output);
            if !output.is_empty() {
                match timeout(WRITE_MOST, self.stream.write_all(&output)).await {
                    Ok(Ok(())) => output.clear(),
                    _ => return,
                }
                // There may be room for commands that came already.
                if !input.is_empty() {
                    continue;
                }
            }
            let over = self.owed.is_empty() && (self.last || closing.is_cancelled());
            if over && !self.more(&mut input) {
                let _ = timeout(LINGER, self.linger()).await;
                return;
            }
            let reading = !self.last && self.owed.len() < PIPELINE_MOST;
            input.reserve(if reading { resp::READING } else { 0 });
            tokio::select! {
                answer = next(&mut self.owed) => {
                    self.owed.pop_front();
                    self.owed.push_front(Owed::Now(answer));
                }
                read = self.stream.read_buf(&mut input), if reading => match read {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                },
                () = closing.cancelled(), if self.owed.is_empty() => {}
            }
        }
    }

    /// Takes the whole commands off the input.
    async fn commands(&mut self, input: &mut BytesMut) {
        while !self.last && self.owed.len() < PIPELINE_MOST {
            let frame = match resp::next(input) {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(malformed) => {
                    self.last = true;
                    self.owed.push_back(Owed::Now(Answer::Unknown(malformed.0)));
                    return;
                }
            };
            let owed = match Command::read(frame, &self.clients.settings, &self.clients.names) {
                Ok(Command::Ping) => Owed::Now(Answer::Pong),
                Err(unknown) => Owed::Now(Answer::Unknown(unknown.0)),
                Ok(Command::Call(call)) => {
                    let id = self.clients.last.fetch_add(1, Ordering::Relaxed) + 1;
                    let (answer, later) = oneshot::channel();
                    let _ =
                        self.clients.inbox.send(Input::Request { id, call: (*call).into(), answer }).await;
                    Owed::Later(id, later)
                }
            };
            self.owed.push_back(owed);
        }
    }

    /// Appends the answers that are there and have none before them.
    fn ready(&mut self, output: &mut BytesMut) {
        while let Some(owed) = self.owed.pop_front() {
            match owed {
                Owed::Now(answer) => answer.put(output),
                Owed::Later(id, mut later) => match later.try_recv() {
                    Ok(answer) => answer.put(output),
                    Err(oneshot::error::TryRecvError::Closed) => Answer::Failed.put(output),
                    Err(oneshot::error::TryRecvError::Empty) => {
                        return self.owed.push_front(Owed::Later(id, later));
                    }
                },
            }
        }
    }

    /// Danger: a command that came just before the connection closes. Reads what is there.
    fn more(&mut self, input: &mut BytesMut) -> bool {
        input.reserve(resp::READING);
        !self.last && matches!(self.stream.try_read_buf(input), Ok(n) if n > 0)
    }

    /// Danger: bytes that nobody reads when the connection closes. They reset it, and the client loses
    /// the last answer.
    async fn linger(&mut self) -> std::io::Result<()> {
        self.stream.shutdown().await?;
        let mut unread = [0; 4096];
        while self.stream.read(&mut unread).await? > 0 {}
        Ok(())
    }

    /// Tells of the requests whose client is gone.
    async fn left(&mut self) {
        for owed in self.owed.drain(..) {
            if let Owed::Later(id, _) = owed {
                let _ = self.clients.inbox.send(Input::Gone { id }).await;
            }
        }
    }
}

/// The first answer that is owed, when it is there.
async fn next(owed: &mut VecDeque<Owed>) -> Answer {
    match owed.front_mut() {
        Some(Owed::Later(_, later)) => later.await.unwrap_or(Answer::Failed),
        _ => std::future::pending().await,
    }
}
