//! Execution of attempts: each acquires a connection, is written and ends with exactly one outcome.

use std::sync::Arc;

use gateway_policy::interface::{Event, Outcome};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempts::{Attempt, Phase};
use super::requests::NewAttempt;
use super::EventLoop;
use crate::input::{AttemptKey, Input};
use crate::memory::MemoryBudget;
use crate::resp::Answer;
use crate::streaming::{StreamedValue, ValueWriter};
use crate::upstream::{self, BackendReport, Checkout, Connection, Deadlines, Reply};

impl EventLoop {
    /// Starts an attempt requested by the policy.
    pub(super) fn start_attempt(&mut self, id: u64, backend: u32, write_deadline_ms: Option<f64>) {
        let Some(NewAttempt { key, call, expires_ms }) = self.requests.begin_attempt(id) else { return };
        let attempt = Attempt {
            call,
            backend,
            decided_ms: self.clock.now_ms(),
            expires_ms,
            write_deadline_ms: write_deadline_ms.map_or(expires_ms, |by| by.min(expires_ms)),
            response_started_ms: None,
            phase: Phase::Connecting,
        };
        self.attempts.insert(key, attempt);
        self.acquire_connection(key, backend);
        self.set_ramp_timer();
    }

    /// Acquires a connection for an attempt, and writes the attempt as soon as the connection is available.
    fn acquire_connection(&mut self, key: AttemptKey, backend: u32) {
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
            // Neither the gateway's connection limit nor a changed endpoint list counts against the backend.
            Checkout::Exhausted | Checkout::NotReady => self.end_locally(key, backend, Outcome::NotSent),
        }
    }

    /// Continues an attempt whose connection has cooled down.
    pub(super) fn cooled_down(&mut self, key: AttemptKey, backend: u32, connection: Connection) {
        // During the cool-down the backend may have sent a second answer or closed the connection.
        if self.pool.is_usable(backend, &connection) || !self.attempts.contains(key) {
            self.connected(key, backend, Some(connection));
        } else {
            self.acquire_connection(key, backend);
        }
    }

    /// Continues an attempt when its connection is up, or ends it if the connection did not come up in time.
    pub(super) fn connected(&mut self, key: AttemptKey, backend: u32, connection: Option<Connection>) {
        let Some(connection) = connection else {
            return self.end_locally(key, backend, Outcome::ConnectFailed);
        };
        if !self.pool.is_current(backend, &connection) {
            // The backend is draining now, or another one has taken over its address.
            self.end_locally(key, backend, Outcome::NotSent);
        } else if self.may_be_written(key) {
            self.write(key, connection);
        } else {
            // The connection can still be used for other requests.
            self.pool.check_in(backend, connection);
            self.end_locally(key, backend, Outcome::NotSent);
        }
    }

    /// Returns whether an attempt that waited for its connection may still be written. It may not if the
    /// client has disconnected or was answered, even where attempts must not be cancelled, nor after its
    /// write deadline: a retry after the deduplication window could run twice, because the backends no
    /// longer know the first attempt.
    fn may_be_written(&self, key: AttemptKey) -> bool {
        let now_ms = self.clock.now_ms();
        let in_time = self.attempts.get(key).is_some_and(|attempt| now_ms < attempt.write_deadline_ms);
        in_time && self.requests.awaits_answer(key.request)
    }

    /// Writes the request of an attempt; the outcome is sent to the inbox.
    fn write(&mut self, key: AttemptKey, connection: Connection) {
        let Some(call) = self.attempts.get(key).map(|attempt| Arc::clone(&attempt.call)) else { return };
        if !self.is_idempotent(call.class) {
            self.sent_requests.add(call.id, self.clock.now_ms());
        }
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let wait_ms = (attempt.expires_ms - self.clock.now_ms()).floor().max(1.0) as u64;
        let request = attempt.call.encode(wait_ms);
        let deadlines = Deadlines {
            write: self.clock.instant(attempt.write_deadline_ms),
            answer: self.clock.instant(attempt.expires_ms),
        };
        let (backend, fields, inbox) = (attempt.backend, Arc::clone(&self.load_fields), self.inbox.clone());
        let memory = self.memory.clone();
        let task = tokio::spawn(async move {
            let decode = |frame, permit| upstream::decode_call(frame, permit, &fields);
            let on_response = |length| start_response(key, backend, length, memory.clone(), inbox.clone());
            let exchange = connection.exchange(request, deadlines, &memory, on_response, decode);
            let (reply, connection) = exchange.await;
            let _ = inbox.send(Input::AttemptEnded { key, backend, reply, connection }).await;
        });
        attempt.phase = Phase::Writing(task.abort_handle());
    }

    /// Records the start of an attempt's answer, and passes a streamed value on to the client. If the
    /// request no longer awaits an answer, the value is dropped, which its writer detects.
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
            // Fails only if the client has disconnected, which arrives as a separate input.
            let _ = reply.send(Answer::Streamed(value));
            self.handle_event(Event::StreamStarted { id, attempt: number, backend });
        }
    }

    /// Cancels an attempt.
    pub(super) fn cancel(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let outcome = match &attempt.phase {
            Phase::Connecting => Outcome::NotSent,
            Phase::Writing(task) => {
                task.abort();
                Outcome::Cancelled
            }
        };
        self.end_locally(key, attempt.backend, outcome);
    }

    /// Ends an attempt with an outcome that the gateway determined itself, without an answer of the backend.
    fn end_locally(&mut self, key: AttemptKey, backend: u32, outcome: Outcome) {
        let reply = Reply::failed(outcome);
        self.follow_ups.push_back(Input::AttemptEnded { key, backend, reply, connection: None });
    }

    /// Handles the first outcome of an attempt. Later ones are ignored, such as an answer that arrives
    /// after the attempt was cancelled.
    pub(super) fn attempt_ended(&mut self, key: AttemptKey, reply: Reply) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        let AttemptKey { request: id, number } = key;
        self.record_attempt_for_ramp(attempt.backend, &reply);
        self.requests.end_attempt(id);
        let (outcome, BackendReport { metered, charged, load }) = match reply {
            Reply::Served(value, report) => {
                self.answer(id, Answer::Served(value));
                (Outcome::Ok, report)
            }
            Reply::Failed(outcome, report) => (outcome, report),
        };
        // Latency ends with the first byte of the answer: a backend that streams a long value for seconds is
        // not queueing.
        let latency_ms =
            attempt.response_started_ms.unwrap_or_else(|| self.clock.now_ms()) - attempt.decided_ms;
        let connection_lost = matches!(outcome, Outcome::Reset | Outcome::ConnectFailed);
        if connection_lost && !self.pool.has_open_idle_connection(attempt.backend) {
            self.handle_event(Event::ProcessLost { id, attempt: number });
        }
        self.handle_event(Event::AttemptEnded {
            id,
            attempt: number,
            backend: attempt.backend,
            outcome,
            latency_ms,
            answered: !self.requests.awaits_answer(id),
            metered_use: metered,
            actual_units: charged,
            load: &load,
        });
        self.release(id);
    }
}

/// Notifies the event loop that an answer has begun. With the `length` of a streamed value, in bytes, returns
/// the writer for that value.
async fn start_response(
    key: AttemptKey,
    backend: u32,
    length: Option<usize>,
    memory: MemoryBudget,
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
