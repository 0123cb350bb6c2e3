//! Attempts: each gets a connection, is written, and ends with one outcome.

use std::sync::Arc;

use bytes::Bytes;
use gateway_policy::interface::{Event, Outcome};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::Instant;

use super::attempts::{Attempt, Phase};
use super::requests::NewAttempt;
use super::EventLoop;
use crate::input::{AttemptKey, Input};
use crate::resp::Answer;
use crate::streaming::{StreamedValue, ValueWriter};
use crate::upstream::{self, BackendReport, Checkout, Connection, Deadlines, Reply};

impl EventLoop {
    /// Begins an attempt that the policy wants.
    pub(super) fn send(&mut self, id: u64, backend: u32, begin_by_ms: Option<f64>) {
        let Some(NewAttempt { key, call, expires_ms }) = self.requests.begin_attempt(id) else { return };
        let attempt = Attempt {
            call,
            backend,
            sent_ms: self.clock.now_ms(),
            expires_ms,
            write_deadline_ms: begin_by_ms.map_or(expires_ms, |by| by.min(expires_ms)),
            response_started_ms: None,
            phase: Phase::Connecting,
        };
        self.attempts.insert(key, attempt);
        self.check_out(key, backend);
        self.arm_ramp();
    }

    /// Writes an attempt, or has it wait for a connection.
    fn check_out(&mut self, key: AttemptKey, backend: u32) {
        let inbox = self.inbox.clone();
        match self.pool.check_out(backend, Instant::now()) {
            Checkout::Idle(connection) => self.write(key, connection),
            Checkout::CoolingDown(connection) => {
                tokio::spawn(async move {
                    let connection = connection.cool_down().await;
                    let _ = inbox.send(Input::CooledDown { key, backend, connection }).await;
                });
            }
            Checkout::Open(pending) => {
                let limit = self.pool.connect_timeout;
                tokio::spawn(async move {
                    let connection = pending.open(limit).await;
                    let _ = inbox.send(Input::Connected { key, backend, connection }).await;
                });
            }
            // Neither the gateway's own want of connections, nor a list that changed, is the backend's fault.
            Checkout::Exhausted | Checkout::NotReady => self.end_unsent(key, backend, Outcome::NotSent),
        }
    }

    /// Goes on with an attempt whose connection has cooled down.
    pub(super) fn cooled_down(&mut self, key: AttemptKey, backend: u32, connection: Connection) {
        // A second answer, or the end of the connection, may have come meanwhile.
        if self.pool.is_usable(backend, &connection) || !self.attempts.contains(key) {
            self.connected(key, backend, Some(connection));
        } else {
            self.check_out(key, backend);
        }
    }

    /// Goes on with an attempt when its connection is up, or not in time.
    pub(super) fn connected(&mut self, key: AttemptKey, backend: u32, connection: Option<Connection>) {
        let Some(connection) = connection else {
            return self.end_unsent(key, backend, Outcome::ConnectFailed);
        };
        if !self.pool.is_current(backend, &connection) {
            // The backend drains by now, or another one has its address.
            self.end_unsent(key, backend, Outcome::NotSent);
        } else if self.may_be_written(key) {
            self.write(key, connection);
        } else {
            // The connection may still serve others.
            self.pool.check_in(backend, connection);
            self.end_unsent(key, backend, Outcome::NotSent);
        }
    }

    /// Whether an attempt that waited for its connection may still be written. Not if its client has
    /// disconnected or has its answer, also where attempts may not be cancelled; and no retry after the
    /// deduplication window, when the backends have forgotten that it ran.
    fn may_be_written(&self, key: AttemptKey) -> bool {
        let now_ms = self.clock.now_ms();
        let in_time = self.attempts.get(key).is_some_and(|attempt| now_ms < attempt.write_deadline_ms);
        in_time && self.requests.is_owed(key.request)
    }

    /// Writes an attempt's request and has its answer sent to the inbox.
    fn write(&mut self, key: AttemptKey, connection: Connection) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let wait_ms = (attempt.expires_ms - self.clock.now_ms()).floor().max(1.0) as u64;
        let request = attempt.call.encode(wait_ms);
        let deadlines = Deadlines {
            write: self.clock.instant(attempt.write_deadline_ms),
            answer: self.clock.instant(attempt.expires_ms),
        };
        let (backend, fields, inbox) = (attempt.backend, Arc::clone(&self.load_fields), self.inbox.clone());
        let memory = Arc::clone(&self.streaming_memory);
        let task = tokio::spawn(async move {
            let decode = |frame| upstream::decode_call(frame, &fields);
            let begins = |length| start_response(key, backend, length, memory, inbox.clone());
            let (reply, connection) = connection.exchange(request, deadlines, begins, decode).await;
            let _ = inbox.send(Input::AttemptEnded { key, backend, reply, connection }).await;
        });
        attempt.phase = Phase::Writing(task.abort_handle());
    }

    /// Notes that an attempt's answer comes, and passes on a value that is too long to be held whole. Where
    /// nobody is owed it any more, whoever reads it finds that out.
    pub(super) fn response_started(
        &mut self,
        key: AttemptKey,
        backend: u32,
        streamed: Option<StreamedValue>,
    ) {
        let now_ms = self.clock.now_ms();
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.response_started_ms = Some(now_ms);
        let Some(value) = streamed else { return };
        let AttemptKey { request: id, number } = key;
        if let Some(reply) = self.requests.take_reply(id) {
            // Fails only if the client has disconnected, which is an input of its own.
            let _ = reply.send(Answer::Streamed(value));
            self.handle(Event::StreamStarted { id, attempt: number, backend });
        }
    }

    /// Gives an attempt up.
    pub(super) fn cancel(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let outcome = match &attempt.phase {
            Phase::Connecting => Outcome::NotSent,
            Phase::Writing(task) => {
                task.abort();
                Outcome::Cancelled
            }
        };
        self.end_unsent(key, attempt.backend, outcome);
    }

    /// Ends an attempt by something that the gateway knows itself.
    fn end_unsent(&mut self, key: AttemptKey, backend: u32, outcome: Outcome) {
        let reply = Reply::failed(outcome);
        self.follow_ups.push_back(Input::AttemptEnded { key, backend, reply, connection: None });
    }

    /// Takes in the first outcome of an attempt; later ones, as of an answer that crossed a cancel, are
    /// passed over.
    pub(super) fn attempt_ended(&mut self, key: AttemptKey, reply: Reply) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        let AttemptKey { request: id, number } = key;
        self.note_for_ramp(attempt.backend, &reply);
        self.requests.end_attempt(id);
        let (outcome, BackendReport { metered, charged, load }) = match reply {
            Reply::Served(value, report) => {
                self.answer_with(id, &value);
                (Outcome::Ok, report)
            }
            Reply::Failed(outcome, report) => (outcome, report),
        };
        // A backend that writes its answer for seconds has no queue: the start of the answer counts.
        let latency_ms = attempt.response_started_ms.unwrap_or_else(|| self.clock.now_ms()) - attempt.sent_ms;
        self.handle(Event::AttemptEnded {
            id,
            attempt: number,
            backend: attempt.backend,
            outcome,
            latency_ms,
            answered: !self.requests.is_owed(id),
            metered_use: metered,
            actual_units: charged,
            load: &load,
        });
        self.release(id);
    }

    /// Answers a request with a value. Answers that nobody reads must not fill the memory: where there is no
    /// room for it, the request has failed.
    fn answer_with(&mut self, id: u64, value: &Bytes) {
        let answer = match Arc::clone(&self.memory).try_acquire_many_owned(value.len() as u32) {
            // The value alone, not the buffer that it came in.
            Ok(room) => Answer::Served(Bytes::copy_from_slice(value), room),
            Err(_) => Answer::Failed,
        };
        self.answer(id, answer);
    }
}

/// Tells the event loop that an answer begins, with the value of that length if it is streamed. Gives where
/// the value is to be written.
async fn start_response(
    key: AttemptKey,
    backend: u32,
    length: Option<usize>,
    memory: Arc<Semaphore>,
    inbox: mpsc::Sender<Input>,
) -> Option<ValueWriter> {
    let (writer, streamed) = match length {
        Some(length) => {
            let (writer, value) = StreamedValue::begin(length, memory).await?;
            (Some(writer), Some(value))
        }
        None => (None, None),
    };
    inbox.send(Input::ResponseStarted { key, backend, streamed }).await.ok()?;
    writer
}
