//! A client connection: reads commands and answers them in order.

use std::io;
use std::pin::{pin, Pin};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use gateway_policy::reload::ServiceSettings;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant, Sleep};
use tokio_util::sync::CancellationToken;

use super::admission::Activity;
use super::idle_policy::ConnectionUsage;
use super::input_buffer::{InputBuffer, NextCommand, ReceivedCommand};
use super::pending_answers::{AwaitedAnswer, PendingAnswers};
use super::shutdown::{ConnectionState, FIRST_COMMAND_TIMEOUT, IDLE_CLOSE_DELAY};
use super::stream::{forward, has_unsent_bytes, linger, peer_closed, write, Disconnected};
use super::Clients;
use crate::input::Input;
use crate::memory::MemoryPermit;
use crate::resp::{Answer, Body, BufferedValue, Call, Command, LINE_END};

/// Maximum number of answers that are not written; further commands are not parsed.
const MAX_PENDING_ANSWERS: usize = 32;
/// Maximum time from the first byte of a command to its last. Clients may take 2 s to send the head.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Capacity of the output buffer that is kept while it is empty, bytes.
const KEPT_OUTPUT_BYTES: usize = 1024;
/// Once the output reaches this size, it is written before more answers are encoded, bytes.
const MAX_OUTPUT_BYTES: usize = 4 * 1024;

/// Result of writing the available answers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    /// No answer was available, so nothing was written.
    Nothing,
    /// Answers were written. More may be available, and input that was already read may now be parsed.
    MayHaveMore,
    /// Answers were written. No answer is pending, and no input is left to parse.
    Finished,
}

/// A client connection.
pub(super) struct Connection {
    clients: Arc<Clients>,
    stream: TcpStream,
    activity: Arc<Activity>,
    /// When cancelled, the connection closes once all commands are answered.
    closing: CancellationToken,
    state: ConnectionState,
    input: InputBuffer,
    output: BytesMut,
    pending: PendingAnswers,
    /// When the connection became idle; `None` while a command is unanswered or partly read.
    idle_since: Option<Instant>,
    /// When the first byte of a partly read command arrived.
    command_since: Option<Instant>,
}

impl Connection {
    /// Creates an admitted connection, on which nothing has been read yet.
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
            state: ConnectionState::Reading,
            input: InputBuffer::default(),
            output: BytesMut::new(),
            pending: PendingAnswers::default(),
            idle_since: Some(activity.opened()),
            command_since: None,
            activity,
        }
    }

    /// Serves the connection until it is closed, then reports its unanswered requests as disconnected.
    pub async fn run(mut self) {
        if self.stream.set_nodelay(true).is_ok() {
            self.serve().await;
        }
        self.abandon_requests().await;
    }

    async fn serve(&mut self) {
        let mut timer = pin!(sleep(ConnectionUsage::Unused.idle_max()));
        while self.state.is_open() {
            if self.advance(timer.as_mut()).await.is_err() {
                self.state = ConnectionState::Closed;
            }
        }
        if self.state == ConnectionState::Lingering {
            linger(&mut self.stream).await;
        } else if !self.input.is_empty() {
            // Tells the client that not all of its commands were executed, as if they had not been read.
            let _ = self.stream.set_zero_linger();
        }
    }

    /// Parses the buffered commands, writes the available answers, closes the connection if it is due to
    /// close, and otherwise waits for the next event.
    async fn advance(&mut self, mut timer: Pin<&mut Sleep>) -> Result<(), Disconnected> {
        self.parse_commands().await?;
        let written = self.write_answers().await?;
        if written == WriteResult::MayHaveMore {
            return Ok(());
        }
        if self.state == ConnectionState::Closing && self.pending.is_empty() {
            self.state = ConnectionState::Lingering;
            return Ok(());
        }
        if self.state == ConnectionState::Reading && self.closing.is_cancelled() {
            self.state = ConnectionState::Draining { since: Instant::now() };
        }
        let may_read = self.state.may_read() && !self.pending.is_streaming();
        let reading = may_read && self.may_parse();
        // Without reading ahead, a client that sends many commands and closes would go unnoticed until the
        // unanswered ones are answered.
        let reading_ahead = may_read && !reading && self.input.try_make_room_ahead(&self.clients.memory);
        if self.track_activity(reading) {
            timer.as_mut().reset(Instant::now() + COMMAND_TIMEOUT);
        }
        if self.may_close(written == WriteResult::Finished) && !(may_read && self.read_available()) {
            self.state = ConnectionState::Lingering;
            return Ok(());
        }
        self.input.shrink_if_empty();
        let has_input = !self.input.is_empty();
        tokio::select! {
            () = self.clients.exiting.cancelled(), if self.pending.is_holding() => {
                self.pending.fail_held();
                Ok(())
            }
            () = self.pending.progress(has_input) => Ok(()),
            readable = self.stream.readable(), if reading || reading_ahead => {
                self.read(readable, reading).await
            }
            () = peer_closed(&self.stream), if !reading => Err(Disconnected),
            () = self.closing.cancelled(), if self.state == ConnectionState::Reading => {
                timer.as_mut().reset(Instant::now() + IDLE_CLOSE_DELAY);
                Ok(())
            }
            () = self.activity.close_requested.notified() => self.close_if_unused(),
            () = timer.as_mut() => self.on_timer(timer),
        }
    }

    /// Removes the complete commands from the input and begins to execute them.
    async fn parse_commands(&mut self) -> Result<(), Disconnected> {
        while self.may_parse() {
            let command = match self.input.next_command() {
                Ok(NextCommand::Partial) => return Ok(()),
                Ok(NextCommand::Discarded) => None,
                Ok(NextCommand::Complete(command)) => Some(command),
                Err(malformed) => {
                    self.input.clear();
                    self.close_with_error(malformed.0);
                    return Ok(());
                }
            };
            self.command_since = None;
            self.activity.count_command();
            match command {
                Some(command) => self.execute(command).await?,
                None => self.pending.push_ready(Answer::Rejected(None)),
            }
        }
        Ok(())
    }

    /// Whether the next command may be executed.
    fn may_parse(&self) -> bool {
        let has_room = self.pending.len() < MAX_PENDING_ANSWERS;
        self.state != ConnectionState::Closing && has_room && !self.pending.may_end_early()
    }

    /// Answers a command, or hands it to the event loop if it is a request.
    async fn execute(&mut self, command: ReceivedCommand) -> Result<(), Disconnected> {
        let ReceivedCommand { frame, received_at, memory_permit } = command;
        let service_settings = Arc::clone(&self.clients.service_settings.borrow());
        let ServiceSettings { settings, names, .. } = &*service_settings;
        let answer = match Command::parse(frame, received_at, settings, names) {
            Ok(Command::Call(call)) => return self.submit_request(call, memory_permit).await,
            Ok(Command::Ping) if *self.clients.drained.borrow() => Answer::Drained,
            Ok(Command::Ping) => Answer::Pong,
            Err(invalid) => Answer::Invalid(invalid.0),
        };
        self.pending.push_ready(answer);
        Ok(())
    }

    /// Hands a request to the event loop, once the memory budget allows it. Meanwhile nothing is read from
    /// this connection. If there is no memory in time, the request is rejected.
    async fn submit_request(
        &mut self,
        mut call: Box<Call>,
        received_permit: Option<MemoryPermit>,
    ) -> Result<(), Disconnected> {
        let permit = tokio::select! {
            biased;
            permit = self.clients.memory.take_for_request(call.size()) => permit,
            () = peer_closed(&self.stream) => return Err(Disconnected),
        };
        // Kept until here, as the call holds a copy.
        drop(received_permit);
        if permit.is_none() {
            self.pending.push_ready(Answer::Rejected(None));
            return Ok(());
        }
        call.memory_permit = permit;
        let id = self.clients.last_request.fetch_add(1, Ordering::Relaxed) + 1;
        let (reply, answer) = oneshot::channel();
        let deadline = call.received_at + Duration::from_secs_f64(call.wait_ms / 1000.0);
        // Fails only after the event loop has ended.
        let _ = self.clients.inbox.send(Input::Request { id, call: (*call).into(), reply }).await;
        self.pending.push_awaited(AwaitedAnswer { id, deadline, answer });
        Ok(())
    }

    /// Stops reading, and appends an error to the pending answers as the last one.
    fn close_with_error(&mut self, error: &'static str) {
        self.state = ConnectionState::Closing;
        self.pending.push_ready(Answer::Invalid(error));
    }

    /// Writes the answers that are available, up to the first command that is still unanswered.
    async fn write_answers(&mut self) -> Result<WriteResult, Disconnected> {
        let body = self.encode_answers();
        if self.output.is_empty() {
            return Ok(WriteResult::Nothing);
        }
        match body {
            Some(Body::Buffered(BufferedValue { bytes, memory_permit: _held_until_written })) => {
                let value = bytes.chain(LINE_END);
                write(&mut self.stream, self.output.split().chain(value)).await?;
            }
            Some(Body::Streamed(value)) => {
                write(&mut self.stream, self.output.split()).await?;
                forward(&mut self.stream, value).await?;
            }
            None => write(&mut self.stream, self.output.split()).await?,
        }
        if self.output.capacity() > KEPT_OUTPUT_BYTES {
            self.output = BytesMut::new();
        }
        let finished = self.input.is_empty() && self.pending.is_empty();
        Ok(if finished { WriteResult::Finished } else { WriteResult::MayHaveMore })
    }

    /// Appends available answers to the output. Stops after the header of a long value, which it returns.
    fn encode_answers(&mut self) -> Option<Body> {
        while self.output.len() < MAX_OUTPUT_BYTES {
            let answer = self.pending.pop_ready(!self.input.is_empty())?;
            if let Some(body) = answer.encode(&mut self.output) {
                return Some(body);
            }
        }
        None
    }

    /// Records whether the connection is busy or idle. Returns whether the first bytes of a command have
    /// arrived.
    fn track_activity(&mut self, reading: bool) -> bool {
        let partly_read = reading && !self.input.is_empty();
        let starts_command = partly_read && self.command_since.is_none();
        self.command_since = partly_read.then(|| self.command_since.unwrap_or_else(Instant::now));
        if partly_read || !self.pending.is_empty() {
            self.idle_since = None;
            self.activity.set_busy();
        } else if self.idle_since.is_none() {
            self.idle_since = Some(Instant::now());
            self.activity.set_idle();
        }
        starts_command
    }

    /// Whether the connection is draining and may close now: it is idle, the client had time for a first
    /// command, and has either just received an answer or had time for one more command.
    fn may_close(&self, just_answered: bool) -> bool {
        let awaits_first_command =
            !self.activity.has_commands() && self.activity.opened().elapsed() < FIRST_COMMAND_TIMEOUT;
        self.idle_since.is_some() && !awaits_first_command && self.state.may_close_idle(just_answered)
    }

    /// Returns when the connection has been idle, or a command partly read, for too long; `None` if neither
    /// is the case.
    fn activity_deadline(&self) -> Option<Instant> {
        let idle_max = self.activity.usage().idle_max();
        let idle_max = if self.state.is_draining() { idle_max.min(FIRST_COMMAND_TIMEOUT) } else { idle_max };
        let idle = self.idle_since.map(|since| since + idle_max);
        idle.or(self.command_since.map(|since| since + COMMAND_TIMEOUT))
    }

    /// Handles the expiry of the timer: closes the connection if its deadline has passed, or resets the
    /// timer.
    fn on_timer(&mut self, timer: Pin<&mut Sleep>) -> Result<(), Disconnected> {
        match self.activity_deadline() {
            Some(deadline) if deadline > Instant::now() => timer.reset(deadline),
            Some(_) if self.idle_since.is_some() => return self.close_if_idle(),
            Some(_) => self.close_with_error("command not ended in time"),
            None => timer.reset(Instant::now() + COMMAND_TIMEOUT),
        }
        Ok(())
    }

    /// Closes the connection if it is idle, no input is available, and the client is not still reading an
    /// answer.
    fn close_if_unused(&mut self) -> Result<(), Disconnected> {
        if has_unsent_bytes(&self.stream) {
            return Ok(());
        }
        self.close_if_idle()
    }

    /// Closes the connection if it is idle and no input is available.
    fn close_if_idle(&mut self) -> Result<(), Disconnected> {
        if self.idle_since.is_none() || self.read_available() {
            return Ok(());
        }
        if has_unsent_bytes(&self.stream) {
            self.state = ConnectionState::Lingering;
            return Ok(());
        }
        Err(Disconnected)
    }

    /// Reads from the stream after it became readable. If the input is to be parsed at once (`parsing`),
    /// waits for the memory that the next command needs.
    async fn read(&mut self, readable: io::Result<()>, parsing: bool) -> Result<(), Disconnected> {
        if parsing {
            tokio::select! {
                biased;
                () = self.input.make_room(&self.clients.memory) => {}
                () = peer_closed(&self.stream) => return Err(Disconnected),
            }
        }
        match readable.and_then(|()| self.input.try_read(&self.stream, parsing)) {
            Ok(n) if n > 0 => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Ok(_) | Err(_) => Err(Disconnected),
        }
    }

    /// Reads input that arrived just before the connection was to close. Returns whether there was any.
    fn read_available(&mut self) -> bool {
        let closing = self.state == ConnectionState::Closing;
        !closing && matches!(self.input.try_read(&self.stream, true), Ok(n) if n > 0)
    }

    /// Reports to the event loop that the client of the unanswered requests has disconnected.
    async fn abandon_requests(&mut self) {
        for id in self.pending.abandon() {
            let _ = self.clients.inbox.send(Input::ClientDisconnected { id }).await;
        }
    }
}
