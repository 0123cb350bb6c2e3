//! One connection of a client: commands are read and answered in their order, until it closes.

use std::collections::VecDeque;
use std::io;
use std::pin::{pin, Pin};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use redis_protocol::resp2::types::BytesFrame;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Instant, Sleep};
use tokio_util::sync::CancellationToken;

use super::admission::Activity;
use super::idle_policy::Usage;
use super::shutdown::{State, FIRST_COMMAND_TIMEOUT, IDLE_CLOSE_DELAY};
use super::stream::{ended, forward, linger, write, Disconnected};
use super::Clients;
use crate::input::Input;
use crate::resp::{self, Answer, Call, Command};
use crate::streaming::StreamedValue;

/// Commands that may wait for their answers; more are not parsed.
const MAX_PIPELINED_COMMANDS: usize = 32;
/// Bytes behind the commands that wait which are read all the same, so that the client's end shows.
const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;
/// How long a command that has begun may take to come whole; clients may take 2 s for a head.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a request may wait for room in the memory budget.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(250);
/// Buffers larger than this are not kept, and answers beyond it wait for the next write.
const MAX_KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// An answer that is owed, in the order of the commands.
enum Pending {
    /// It comes from the event loop, for the request of this number.
    Later { id: u64, answer: oneshot::Receiver<Answer> },
    /// It is there.
    Ready(Answer),
}

/// What came of writing the answers that were there.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Written {
    /// There was none.
    Nothing,
    /// There may be more answers, and room for commands that came already.
    Some,
    /// Nothing more is owed, and no command is left to parse.
    All,
}

/// A connection of a client.
pub(super) struct Connection {
    clients: Arc<Clients>,
    stream: TcpStream,
    activity: Arc<Activity>,
    /// Has it close as soon as it owes no answer.
    closing: CancellationToken,
    state: State,
    input: BytesMut,
    output: BytesMut,
    pending: VecDeque<Pending>,
    /// Since when nothing is open or half read.
    idle_since: Option<Instant>,
    /// Since when a command is half read.
    command_since: Option<Instant>,
}

impl Connection {
    /// A connection that was admitted, and has done nothing yet.
    pub fn new(
        clients: Arc<Clients>,
        stream: TcpStream,
        activity: Arc<Activity>,
        closing: CancellationToken,
    ) -> Connection {
        Connection {
            clients,
            stream,
            closing,
            state: State::Reading,
            input: BytesMut::new(),
            output: BytesMut::new(),
            pending: VecDeque::new(),
            idle_since: Some(activity.opened()),
            command_since: None,
            activity,
        }
    }

    /// Serves the connection until it is closed, and gives up what its client no longer waits for.
    pub async fn run(mut self) {
        if self.stream.set_nodelay(true).is_ok() {
            self.serve().await;
        }
        self.abandon_requests().await;
    }

    async fn serve(&mut self) {
        let mut timer = pin!(sleep(Usage::Silent.idle_max()));
        while self.state.is_open() {
            if self.advance(timer.as_mut()).await.is_err() {
                self.state = State::Closed;
            }
        }
        if self.state == State::Lingering {
            linger(&mut self.stream).await;
        }
    }

    /// Parses and answers what is there, looks whether the connection is to close, and waits for more.
    async fn advance(&mut self, mut timer: Pin<&mut Sleep>) -> Result<(), Disconnected> {
        self.parse_commands().await?;
        let written = self.write_answers().await?;
        if written == Written::Some {
            return Ok(());
        }
        if self.state == State::Closing && self.pending.is_empty() {
            self.state = State::Lingering;
            return Ok(());
        }
        if self.state == State::Reading && self.closing.is_cancelled() {
            self.state = State::Draining { since: Instant::now() };
        }
        let may_read = self.state.may_read();
        let reading = may_read && self.pending.len() < MAX_PIPELINED_COMMANDS;
        // A client that sends many commands and goes must not stay unseen behind those that wait.
        let reading_ahead = may_read && self.input.len() < MAX_READ_AHEAD_BYTES;
        if self.track_activity(reading) {
            timer.as_mut().reset(Instant::now() + COMMAND_TIMEOUT);
        }
        if self.may_close(written == Written::All) && !(may_read && self.read_more()) {
            self.state = State::Lingering;
            return Ok(());
        }
        if self.input.is_empty() {
            clear(&mut self.input);
        }
        tokio::select! {
            answer = next_answer(&mut self.pending) => {
                self.pending.pop_front();
                self.pending.push_front(Pending::Ready(answer));
                Ok(())
            }
            readable = self.stream.readable(), if reading || reading_ahead => self.read(readable),
            () = ended(&self.stream), if !reading => Err(Disconnected),
            () = self.closing.cancelled(), if self.state == State::Reading => {
                timer.as_mut().reset(Instant::now() + IDLE_CLOSE_DELAY);
                Ok(())
            }
            () = self.activity.leave.notified() => self.close_if_idle(),
            () = timer.as_mut() => self.timer_expired(timer),
        }
    }

    /// Takes the whole commands off the input.
    async fn parse_commands(&mut self) -> Result<(), Disconnected> {
        while self.state != State::Closing && self.pending.len() < MAX_PIPELINED_COMMANDS {
            let frame = match resp::next_frame(&mut self.input) {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                Err(malformed) => {
                    self.input.clear();
                    self.close_with(malformed.0);
                    return Ok(());
                }
            };
            self.command_since = None;
            self.activity.count_command();
            let pending = self.begin(frame).await?;
            self.pending.push_back(pending);
        }
        Ok(())
    }

    /// Begins a command.
    async fn begin(&mut self, frame: BytesFrame) -> Result<Pending, Disconnected> {
        let service_settings = Arc::clone(&self.clients.service_settings.borrow());
        match Command::read(frame, &service_settings.settings, &service_settings.names) {
            Ok(Command::Ping) if *self.clients.drained.borrow() => Ok(Pending::Ready(Answer::Drained)),
            Ok(Command::Ping) => Ok(Pending::Ready(Answer::Pong)),
            Ok(Command::Call(call)) => self.request(call).await,
            Err(invalid) => Ok(Pending::Ready(Answer::Invalid(invalid.0))),
        }
    }

    /// Hands a request to the event loop. Requests must not fill the memory: without room reading stops
    /// first, then they are rejected.
    async fn request(&mut self, mut call: Box<Call>) -> Result<Pending, Disconnected> {
        let room = Arc::clone(&self.clients.memory).acquire_many_owned(call.size() as u32);
        let room = tokio::select! {
            biased;
            room = timeout(MEMORY_TIMEOUT, room) => room,
            () = ended(&self.stream) => return Err(Disconnected),
        };
        let Ok(Ok(room)) = room else { return Ok(Pending::Ready(Answer::Rejected(None))) };
        call.room = Some(room);
        let id = self.clients.last_request.fetch_add(1, Ordering::Relaxed) + 1;
        let (reply, answer) = oneshot::channel();
        // Fails only when the gateway ends.
        let _ = self.clients.inbox.send(Input::Request { id, call: (*call).into(), reply }).await;
        Ok(Pending::Later { id, answer })
    }

    /// Answers what is pending with an error behind which nothing more is read.
    fn close_with(&mut self, error: &'static str) {
        self.state = State::Closing;
        self.pending.push_back(Pending::Ready(Answer::Invalid(error)));
    }

    /// Writes the answers that are there and have none before them.
    async fn write_answers(&mut self) -> Result<Written, Disconnected> {
        let streamed = self.encode_answers();
        if self.output.is_empty() {
            return Ok(Written::Nothing);
        }
        write(&mut self.stream, &self.output).await?;
        clear(&mut self.output);
        if let Some(value) = streamed {
            forward(&mut self.stream, value).await?;
        }
        let all = self.input.is_empty() && self.pending.is_empty();
        Ok(if all { Written::All } else { Written::Some })
    }

    /// Appends the answers that are there to the output. Of a streamed value, the last that is appended, the
    /// head alone.
    fn encode_answers(&mut self) -> Option<StreamedValue> {
        while self.output.len() < MAX_KEPT_BUFFER_BYTES {
            let answer = match self.pending.pop_front()? {
                Pending::Ready(answer) => answer,
                Pending::Later { id, mut answer } => match answer.try_recv() {
                    Ok(answer) => answer,
                    Err(oneshot::error::TryRecvError::Closed) => Answer::Failed,
                    Err(oneshot::error::TryRecvError::Empty) => {
                        self.pending.push_front(Pending::Later { id, answer });
                        return None;
                    }
                },
            };
            match answer {
                Answer::Streamed(value) => {
                    value.put_header(&mut self.output);
                    return Some(value);
                }
                answer => answer.encode(&mut self.output),
            }
        }
        None
    }

    /// Notes whether anything is open or half read; returns whether a command has begun just now.
    fn track_activity(&mut self, reading: bool) -> bool {
        let half_read = reading && !self.input.is_empty();
        let begins = half_read && self.command_since.is_none();
        self.command_since = half_read.then(|| self.command_since.unwrap_or_else(Instant::now));
        if half_read || !self.pending.is_empty() {
            self.idle_since = None;
            self.activity.set_busy();
        } else if self.idle_since.is_none() {
            self.idle_since = Some(Instant::now());
            self.activity.set_idle();
        }
        begins
    }

    /// Whether it is to close and may: it owes nothing, and whoever opened it had time for a command, and has
    /// just had an answer or time for one more.
    fn may_close(&self, just_answered: bool) -> bool {
        let fresh = !self.activity.has_commands() && self.activity.opened().elapsed() < FIRST_COMMAND_TIMEOUT;
        self.idle_since.is_some() && !fresh && self.state.may_close_idle(just_answered)
    }

    /// When the present activity has lasted too long, if it is one that may.
    fn activity_deadline(&self) -> Option<Instant> {
        let idle_max = self.activity.usage().idle_max();
        let idle_max = if self.state.is_draining() { idle_max.min(FIRST_COMMAND_TIMEOUT) } else { idle_max };
        let idle = self.idle_since.map(|since| since + idle_max);
        idle.or(self.command_since.map(|since| since + COMMAND_TIMEOUT))
    }

    fn timer_expired(&mut self, timer: Pin<&mut Sleep>) -> Result<(), Disconnected> {
        match self.activity_deadline() {
            Some(deadline) if deadline > Instant::now() => timer.reset(deadline),
            Some(_) if self.idle_since.is_some() => return self.close_if_idle(),
            Some(_) => self.close_with("command not ended in time"),
            None => timer.reset(Instant::now() + COMMAND_TIMEOUT),
        }
        Ok(())
    }

    /// Closes the connection if it is idle and nothing has come just now.
    fn close_if_idle(&mut self) -> Result<(), Disconnected> {
        if self.idle_since.is_some() && !self.read_more() {
            return Err(Disconnected);
        }
        Ok(())
    }

    /// Reads what is there, where the stream says that something is.
    fn read(&mut self, readable: io::Result<()>) -> Result<(), Disconnected> {
        resp::make_room(&mut self.input);
        match readable.and_then(|()| self.stream.try_read_buf(&mut self.input)) {
            Ok(n) if n > 0 => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Ok(_) | Err(_) => Err(Disconnected),
        }
    }

    /// Reads a command that came just before the connection closes; returns whether there is one.
    fn read_more(&mut self) -> bool {
        resp::make_room(&mut self.input);
        let closing = self.state == State::Closing;
        !closing && matches!(self.stream.try_read_buf(&mut self.input), Ok(n) if n > 0)
    }

    /// Tells the event loop of the requests whose client has disconnected.
    async fn abandon_requests(&mut self) {
        for pending in self.pending.drain(..) {
            if let Pending::Later { id, .. } = pending {
                let _ = self.clients.inbox.send(Input::ClientDisconnected { id }).await;
            }
        }
    }
}

/// Empties a buffer, and gives back what it grew by.
fn clear(buffer: &mut BytesMut) {
    if buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
    buffer.clear();
}

/// The first answer that is owed, when it is there.
async fn next_answer(pending: &mut VecDeque<Pending>) -> Answer {
    match pending.front_mut() {
        Some(Pending::Later { answer, .. }) => answer.await.unwrap_or(Answer::Failed),
        _ => std::future::pending().await,
    }
}
