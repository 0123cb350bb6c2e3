//! The clients' side: the listener, and on each connection commands in and answers out in order.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::BytesMut;
use gateway_policy::reload::ServiceSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::input::Input;
use crate::keep::Use;
use crate::long::Long;
use crate::resp::{self, Answer, Command};

/// Commands of one connection that may wait for their answers; more are not read.
const MAX_PIPELINED_COMMANDS: usize = 32;
/// A client that takes no bytes for so long is gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client that was told an error may take to close after the gateway has, and what it may
/// still send.
const LINGER: (Duration, usize) = (Duration::from_millis(200), 256 * 1024);
/// Connections that were turned away and linger, at most: they have no place.
const MAX_LINGERING: usize = 4;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long connections go on as before when the gateway is drained: new ones still come meanwhile.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// How long a connection that is opened later has for its first command.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection that is to close waits for one more command, to close right behind its answer.
///
/// Danger: a command that crosses the end of a quiet connection, and is neither answered nor sent elsewhere.
/// Who waits for an answer sends nothing meanwhile. Harm: clients that are seldom heard are closed so much
/// later.
pub const QUIET_ON: Duration = Duration::from_millis(300);
/// How long a connection that is to close goes on being read while it never falls quiet. Danger: a command
/// that is read so late that the process ends before its answer.
const READ_ON: Duration = Duration::from_millis(700);
/// How long a command that has begun may take to come whole; clients may take 2 s for a head.
const COMPLETE_FRAME_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bytes behind the commands that wait which are read all the same, so that the client's end shows.
const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;
/// How long a request may wait for room in the memory.
const MEMORY_WAIT_TIMEOUT: Duration = Duration::from_millis(250);
/// How often a client that sends urgent bytes is looked at.
const ENDED_LOOK: Duration = Duration::from_millis(50);
/// Buffers larger than this are not kept.
const MAX_KEPT_BUFFER_BYTES: usize = 16 * 1024;
/// How long a new connection may wait for a place, and how often one is looked for.
const PERMIT_WAIT: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(20));

/// Whether operators have drained the gateway.
pub type Drained = watch::Receiver<bool>;

/// What all client connections share.
#[derive(Debug)]
pub struct Clients {
    /// What requests are read by.
    pub terms: watch::Receiver<Arc<ServiceSettings>>,
    pub inbox: mpsc::Sender<Input>,
    /// Bytes of requests and answers that there may be yet.
    pub room: Arc<Semaphore>,
    /// The last number of a request; they are never used again.
    pub last: AtomicU64,
    /// Says that connections are to close as soon as they owe no answer.
    pub closing: CancellationToken,
    /// Says that no more connections are taken than have come by then.
    pub shut: CancellationToken,
    /// Whether operators have drained the gateway.
    pub drained: Drained,
    pub tasks: TaskTracker,
}

impl Clients {
    /// Accepts connections until it is shut, at most so many at once. Those of a drained gateway close as
    /// they fall quiet. The listener stays: the platform may hold it as well, and what is in its line would
    /// wait there.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, free: Arc<Semaphore>, most: usize) {
        let lingering = Arc::new(Semaphore::new(MAX_LINGERING));
        let mut places = Places { free, seats: Vec::new(), most, lingering };
        let (mut drained, mut closing) = (self.drained.clone(), self.closing.child_token());
        let mut close_at = None;
        loop {
            tokio::select! {
                biased;
                Ok(()) = drained.changed() => {
                    close_at = if *drained.borrow_and_update() {
                        Some(Instant::now() + DRAIN_GRACE)
                    } else {
                        closing = self.closing.child_token();
                        None
                    };
                }
                () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                    closing.cancel();
                    close_at = None;
                }
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve(stream, &mut places, &closing).await,
                    // Danger: no descriptor left, and a loop that does nothing but fail.
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                // Danger: connections in the listener's line, reset with requests that clients have written.
                () = self.shut.cancelled() => return,
            }
        }
    }

    /// Gives a connection a place and a task, or turns it away.
    async fn serve(
        self: &Arc<Self>,
        mut stream: TcpStream,
        places: &mut Places,
        closing: &CancellationToken,
    ) {
        // What is in the line when no more are taken does not wait for a place: nor would it be served.
        let Some((place, seat)) = places.take(!self.shut.is_cancelled()).await else {
            // Danger: more connections than descriptors. Whoever comes too late is told so.
            let written = timeout(ACCEPT_PAUSE, stream.write_all(b"-BUSY\r\n")).await;
            let lingers = Arc::clone(&places.lingering).try_acquire_owned();
            if let (Ok(Ok(())), Ok(lingers)) = (written, lingers) {
                self.tasks.spawn(async move {
                    let _ = timeout(LINGER.0, linger(&mut stream)).await;
                    drop(lingers);
                });
            }
            return;
        };
        let (clients, closing) = (Arc::clone(self), closing.clone());
        self.tasks.spawn(async move {
            let (owed, quiet) = (VecDeque::new(), Some(seat.opened));
            let (begun, last, close_from, answered) = (None, false, None, false);
            let mut connection =
                Client { clients, stream, seat, closing, close_from, owed, quiet, begun, last, answered };
            connection.serve().await;
            connection.left().await;
            drop(place);
        });
    }
}

/// A connection as the acceptor knows it.
#[derive(Debug)]
struct Seat {
    opened: Instant,
    /// Milliseconds from then until the last answer was given with no command after it; 0 before the first
    /// command, and [`BUSY`] while one is open or half read.
    quiet_ms: AtomicU64,
    /// Commands that came on it.
    commands: AtomicU64,
    /// Says that the connection is to close if it is still quiet.
    leave: Notify,
}

/// A connection that may not be closed.
const BUSY: u64 = u64::MAX;

/// The connections that there may be at once. Danger: clients that say nothing, or keep connections that
/// they don't use, until no place is left for others.
struct Places {
    free: Arc<Semaphore>,
    seats: Vec<Weak<Seat>>,
    most: usize,
    /// Connections that were turned away and may still linger.
    lingering: Arc<Semaphore>,
}

impl Places {
    /// A place for a new connection; `None` if none is free, or falls free in time where that is `waited`
    /// for.
    async fn take(&mut self, waited: bool) -> Option<(OwnedSemaphorePermit, Arc<Seat>)> {
        let until = Instant::now() + PERMIT_WAIT.0;
        let place = loop {
            if !waited {
                break Arc::clone(&self.free).try_acquire_owned().ok()?;
            }
            self.make_room();
            match timeout(PERMIT_WAIT.1, Arc::clone(&self.free).acquire_owned()).await {
                Ok(place) => break place.ok()?,
                Err(_) if Instant::now() < until => {}
                Err(_) => return None,
            }
        };
        let (opened, leave) = (Instant::now(), Notify::new());
        let (quiet_ms, commands) = (AtomicU64::new(0), AtomicU64::new(0));
        let seat = Arc::new(Seat { opened, quiet_ms, commands, leave });
        if self.seats.len() >= 2 * self.most {
            self.seats.retain(|seat| seat.strong_count() > 0);
        }
        self.seats.push(Arc::downgrade(&seat));
        Some((place, seat))
    }

    /// Tells those to leave that have been quiet for as long as they are kept while so many places are taken.
    fn make_room(&mut self) {
        let taken = self.most - self.free.available_permits().min(self.most);
        let keep = [Use::Silent, Use::Once, Use::Steady].map(|kind| kind.keep(taken + 1, self.most));
        self.seats.retain(|seat| {
            let Some(seat) = seat.upgrade() else { return false };
            let quiet_ms = seat.quiet_ms.load(Ordering::Relaxed);
            let since = seat.opened + Duration::from_millis(quiet_ms.min(1 << 40));
            let kind = Use::of(seat.commands.load(Ordering::Relaxed));
            if quiet_ms != BUSY && since.elapsed() > keep[kind as usize] {
                seat.leave.notify_one();
            }
            true
        });
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
    seat: Arc<Seat>,
    /// Says that it is to close as soon as it owes no answer.
    closing: CancellationToken,
    /// Since when it knows that.
    close_from: Option<Instant>,
    owed: VecDeque<Owed>,
    /// Since when nothing is open or half read.
    quiet: Option<Instant>,
    /// Since when a command is half read.
    begun: Option<Instant>,
    /// Nothing more is read: what came was no RESP.
    last: bool,
    /// The last answer that was owed has just been written.
    answered: bool,
}

impl Client {
    /// Serves the connection until it ends or is to close.
    async fn serve(&mut self) {
        let (mut input, mut output) = (BytesMut::new(), BytesMut::new());
        let closing = self.closing.clone();
        if self.stream.set_nodelay(true).is_err() {
            return;
        }
        let mut timer = pin!(sleep(Use::Silent.most()));
        loop {
            if !self.commands(&mut input).await {
                return;
            }
            let long = self.ready(&mut output);
            if !output.is_empty() {
                if !self.write(&output).await {
                    return;
                }
                empty(&mut output);
                // Danger: a value that can't be finished, taken for a whole one. The connection ends with it.
                if let Some(long) = long {
                    if !self.pass(long).await {
                        return;
                    }
                }
                // There may be more answers, and room for commands that came already.
                if !input.is_empty() || !self.owed.is_empty() {
                    continue;
                }
                self.answered = true;
            }
            if self.last && self.owed.is_empty() {
                let _ = timeout(LINGER.0, linger(&mut self.stream)).await;
                return;
            }
            if closing.is_cancelled() {
                self.close_from.get_or_insert_with(Instant::now);
            }
            // Danger: a client that never lets the connection fall quiet. What is not read it sends
            // elsewhere.
            let read_on = self.close_from.is_none_or(|since| since.elapsed() < READ_ON);
            let reading = !self.last && self.owed.len() < MAX_PIPELINED_COMMANDS && read_on;
            // Danger: a client that sends many commands and goes, unseen behind those that wait.
            let ahead = !self.last && read_on && input.len() < MAX_READ_AHEAD_BYTES;
            if self.note(&input, reading) {
                timer.as_mut().reset(Instant::now() + COMPLETE_FRAME_TIMEOUT);
            }
            if self.may_close() && !(read_on && self.more(&mut input)) {
                let _ = timeout(LINGER.0, linger(&mut self.stream)).await;
                return;
            }
            self.answered = false;
            if input.is_empty() {
                empty(&mut input);
            }
            tokio::select! {
                answer = next(&mut self.owed) => {
                    self.owed.pop_front();
                    self.owed.push_front(Owed::Now(answer));
                }
                read = self.stream.readable(), if reading || ahead => {
                    resp::make_room(&mut input);
                    match read.and_then(|()| self.stream.try_read_buf(&mut input)) {
                        Ok(n) if n > 0 => {}
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        _ => return,
                    }
                }
                () = ended(&self.stream), if !reading => return,
                () = closing.cancelled(), if self.close_from.is_none() => {
                    timer.as_mut().reset(Instant::now() + QUIET_ON);
                }
                () = self.seat.leave.notified() => {
                    if self.quiet.is_some() && !self.more(&mut input) {
                        return;
                    }
                }
                () = &mut timer => match self.due() {
                    Some(due) if due > Instant::now() => timer.as_mut().reset(due),
                    Some(_) if self.quiet.is_some() => {
                        if !self.more(&mut input) {
                            return;
                        }
                    }
                    Some(_) => {
                        self.last = true;
                        self.owed.push_back(Owed::Now(Answer::Unknown("command not ended in time")));
                    }
                    None => timer.as_mut().reset(Instant::now() + COMPLETE_FRAME_TIMEOUT),
                }
            }
        }
    }

    /// Notes whether anything is open or half read; tells whether a command has begun just now.
    fn note(&mut self, input: &[u8], reading: bool) -> bool {
        let half = reading && !input.is_empty();
        let begins = half && self.begun.is_none();
        self.begun = if half { self.begun.or_else(|| Some(Instant::now())) } else { None };
        if half || !self.owed.is_empty() {
            self.quiet = None;
            self.seat.quiet_ms.store(BUSY, Ordering::Relaxed);
        } else if self.quiet.is_none() {
            self.quiet = Some(Instant::now());
            let quiet_ms = self.seat.opened.elapsed().as_millis() as u64;
            self.seat.quiet_ms.store(quiet_ms.max(1), Ordering::Relaxed);
        }
        begins
    }

    /// Whether it is to close and may: it owes nothing, and whoever opened it had time for a command, and has
    /// just had an answer or time for one more.
    fn may_close(&self) -> bool {
        let asked = self.seat.commands.load(Ordering::Relaxed) > 0;
        let fresh = !asked && self.seat.opened.elapsed() < FIRST_COMMAND_TIMEOUT;
        let waited = self.close_from.is_some_and(|since| since.elapsed() >= QUIET_ON);
        self.close_from.is_some() && self.quiet.is_some() && !fresh && (self.answered || waited)
    }

    /// When the present state has lasted too long, if it is one that may.
    fn due(&self) -> Option<Instant> {
        let kind = Use::of(self.seat.commands.load(Ordering::Relaxed));
        let most =
            if self.close_from.is_some() { kind.most().min(FIRST_COMMAND_TIMEOUT) } else { kind.most() };
        let quiet = self.quiet.map(|since| since + most);
        quiet.or(self.begun.map(|since| since + COMPLETE_FRAME_TIMEOUT))
    }

    /// Takes the whole commands off the input; tells whether the client is still there.
    async fn commands(&mut self, input: &mut BytesMut) -> bool {
        while !self.last && self.owed.len() < MAX_PIPELINED_COMMANDS {
            let frame = match resp::next(input) {
                Ok(Some(frame)) => {
                    self.begun = None;
                    self.seat.commands.fetch_add(1, Ordering::Relaxed);
                    frame
                }
                Ok(None) => return true,
                Err(malformed) => {
                    input.clear();
                    self.last = true;
                    self.owed.push_back(Owed::Now(Answer::Unknown(malformed.0)));
                    return true;
                }
            };
            let terms = Arc::clone(&self.clients.terms.borrow());
            let owed = match Command::read(frame, &terms.settings, &terms.names) {
                Ok(Command::Ping) if *self.clients.drained.borrow() => Owed::Now(Answer::Drained),
                Ok(Command::Ping) => Owed::Now(Answer::Pong),
                Err(unknown) => Owed::Now(Answer::Unknown(unknown.0)),
                Ok(Command::Call(mut call)) => {
                    // Danger: requests that fill the memory. Reading stops first, then they are refused.
                    let room = Arc::clone(&self.clients.room).acquire_many_owned(call.size() as u32);
                    let room = tokio::select! {
                        biased;
                        room = timeout(MEMORY_WAIT_TIMEOUT, room) => room,
                        () = ended(&self.stream) => return false,
                    };
                    let Ok(Ok(room)) = room else {
                        self.owed.push_back(Owed::Now(Answer::Refused(None)));
                        continue;
                    };
                    call.room = Some(room);
                    let id = self.clients.last.fetch_add(1, Ordering::Relaxed) + 1;
                    let (answer, later) = oneshot::channel();
                    let _ =
                        self.clients.inbox.send(Input::Request { id, call: (*call).into(), answer }).await;
                    Owed::Later(id, later)
                }
            };
            self.owed.push_back(owed);
        }
        true
    }

    /// Appends the answers that are there and have none before them. Of a value that comes in pieces, the
    /// last that is appended, the head alone.
    fn ready(&mut self, output: &mut BytesMut) -> Option<Long> {
        while output.len() < MAX_KEPT_BUFFER_BYTES {
            let answer = match self.owed.pop_front()? {
                Owed::Now(answer) => answer,
                Owed::Later(id, mut later) => match later.try_recv() {
                    Ok(answer) => answer,
                    Err(oneshot::error::TryRecvError::Closed) => Answer::Failed,
                    Err(oneshot::error::TryRecvError::Empty) => {
                        self.owed.push_front(Owed::Later(id, later));
                        return None;
                    }
                },
            };
            match answer {
                Answer::Long(long) => {
                    long.head(output);
                    return Some(long);
                }
                answer => answer.put(output),
            }
        }
        None
    }

    /// Writes the pieces of a value as they come; tells whether it is whole.
    async fn pass(&mut self, mut long: Long) -> bool {
        let mut left = long.length;
        loop {
            let piece = tokio::select! {
                biased;
                piece = long.pieces.recv() => piece,
                () = ended(&self.stream) => return false,
            };
            let Some(piece) = piece else { break };
            left = left.saturating_sub(piece.len());
            if !self.write(&piece).await {
                return false;
            }
        }
        left == 0 && self.write(b"\r\n").await
    }

    /// Writes; tells whether the client took it. Danger: a client that takes nothing for good, or has gone
    /// while other requests of its wait. One that is slow but takes some goes on.
    async fn write(&mut self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let (read, mut write) = self.stream.split();
            let written = tokio::select! {
                biased;
                written = timeout(WRITE_TIMEOUT, write.write(bytes)) => written,
                () = ended(read.as_ref()) => return false,
            };
            match written {
                Ok(Ok(n)) if n > 0 => bytes = &bytes[n..],
                _ => return false,
            }
        }
        true
    }

    /// Danger: a command that came just before the connection closes. Reads what is there.
    fn more(&mut self, input: &mut BytesMut) -> bool {
        resp::make_room(input);
        !self.last && matches!(self.stream.try_read_buf(input), Ok(n) if n > 0)
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

/// Empties a buffer, and gives back what it grew by.
fn empty(buffer: &mut BytesMut) {
    if buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
    buffer.clear();
}

/// Danger: bytes that nobody reads when the connection closes. They reset it, and the client loses the last
/// answer.
async fn linger(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.shutdown().await?;
    let (mut unread, mut left) = ([0; 4096], LINGER.1);
    while left > 0 {
        match stream.read(&mut unread).await? {
            0 => break,
            n => left = left.saturating_sub(n),
        }
    }
    Ok(())
}

/// Waits until the client has ended its side, also behind bytes that nobody reads.
async fn ended(stream: &TcpStream) {
    // Readiness for what is never sent: it comes with the end alone.
    while let Ok(ready) = stream.ready(Interest::PRIORITY).await {
        if ready.is_read_closed() {
            return;
        }
        // Danger: urgent bytes, waited for in a loop that never rests.
        sleep(ENDED_LOOK).await;
    }
}

/// The first answer that is owed, when it is there.
async fn next(owed: &mut VecDeque<Owed>) -> Answer {
    match owed.front_mut() {
        Some(Owed::Later(_, later)) => later.await.unwrap_or(Answer::Failed),
        _ => std::future::pending().await,
    }
}
