//! The answers that a client connection still owes, in the order of its commands.
//!
//! If a streamed value ends early, its connection has to be closed, and nothing behind it can be answered. So
//! no request is executed before the answer ahead of it is complete. A streamed value with commands behind it
//! is also held back until it is complete, within bounds of time and memory: if it ends early then, only its
//! own request fails, and the connection goes on.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

use crate::resp::Answer;
use crate::streaming::StreamedValue;

/// Maximum time for which a streamed value is held back. Clients are owed what a backend sends within 2 s.
const MAX_HOLD: Duration = Duration::from_millis(1_500);
/// A held value is released this long before the deadline of its request.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// The pending answer to a command.
enum Pending {
    /// The event loop will answer the request.
    Awaited(AwaitedAnswer),
    /// A streamed value that is held back until it is complete, or until the given time.
    Held { value: StreamedValue, until: Instant },
    /// The answer may be written.
    Ready(Answer),
}

/// An answer that the event loop will send.
pub(super) struct AwaitedAnswer {
    /// Number of the request.
    pub id: u64,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Receives the answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// The pending answers of a connection.
#[derive(Default)]
pub(super) struct PendingAnswers {
    queue: VecDeque<Pending>,
}

impl PendingAnswers {
    /// Number of unanswered commands.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether all commands are answered.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether the next answer is a streamed value. No command must be read before it is written.
    pub fn is_streaming(&self) -> bool {
        matches!(self.queue.front(), Some(Pending::Held { .. } | Pending::Ready(Answer::Streamed(_))))
    }

    /// Whether the last answer is one that may turn out to be a streamed value. No command must be executed
    /// before that is known: its answer would be lost if the value ended early.
    pub fn may_end_early(&self) -> bool {
        match self.queue.back() {
            Some(Pending::Awaited(_) | Pending::Held { .. }) => true,
            Some(Pending::Ready(answer)) => matches!(answer, Answer::Streamed(_)),
            None => false,
        }
    }

    /// Whether the next answer is a value that is held back.
    pub fn is_holding(&self) -> bool {
        matches!(self.queue.front(), Some(Pending::Held { .. }))
    }

    /// Adds the answer of a request.
    pub fn push_awaited(&mut self, awaited: AwaitedAnswer) {
        self.queue.push_back(Pending::Awaited(awaited));
    }

    /// Adds an answer that is known.
    pub fn push_ready(&mut self, answer: Answer) {
        self.queue.push_back(Pending::Ready(answer));
    }

    /// Removes the next answer if it may be written. `has_input`: more input of the client was read than the
    /// commands that are pending.
    pub fn pop_ready(&mut self, has_input: bool) -> Option<Answer> {
        if let Some(Pending::Awaited(awaited)) = self.queue.front_mut() {
            match awaited.answer.try_recv() {
                Ok(answer) => self.settle_awaited(answer, has_input),
                Err(oneshot::error::TryRecvError::Closed) => self.settle_awaited(Answer::Failed, has_input),
                Err(oneshot::error::TryRecvError::Empty) => return None,
            }
        }
        match self.queue.pop_front()? {
            Pending::Ready(answer) => Some(answer),
            pending => {
                self.queue.push_front(pending);
                None
            }
        }
    }

    /// Waits for progress of the next answer: it is available, is now held back, or is no longer held back.
    ///
    /// Cancel safe.
    pub async fn progress(&mut self, has_input: bool) {
        match self.queue.front_mut() {
            Some(Pending::Awaited(awaited)) => {
                let answer = (&mut awaited.answer).await.unwrap_or(Answer::Failed);
                self.settle_awaited(answer, has_input);
            }
            Some(Pending::Held { value, until }) => {
                // Either way the value is released.
                let _ = timeout_at(*until, value.hold()).await;
                self.release_held();
            }
            Some(Pending::Ready(_)) | None => std::future::pending().await,
        }
    }

    /// Replaces the awaited answer at the front by the answer that has arrived.
    fn settle_awaited(&mut self, answer: Answer, has_input: bool) {
        let Some(Pending::Awaited(awaited)) = self.queue.pop_front() else { return };
        let is_followed = has_input || !self.queue.is_empty();
        self.queue.push_front(match answer {
            Answer::Streamed(value) if is_followed => hold_back(value, awaited.deadline),
            answer => Pending::Ready(answer),
        });
    }

    /// Replaces the held value at the front by its answer: a failure if it has ended early.
    fn release_held(&mut self) {
        let Some(Pending::Held { value, .. }) = self.queue.pop_front() else { return };
        let answer = if value.is_truncated() { Answer::Failed } else { Answer::Streamed(value) };
        self.queue.push_front(Pending::Ready(answer));
    }

    /// Fails the request whose value is held back.
    pub fn fail_held(&mut self) {
        if self.is_holding() {
            self.queue.pop_front();
            self.queue.push_front(Pending::Ready(Answer::Failed));
        }
    }

    /// Removes all answers. Returns the numbers of the requests that the event loop has not answered.
    pub fn abandon(&mut self) -> impl Iterator<Item = u64> + '_ {
        self.queue.drain(..).filter_map(|pending| match pending {
            Pending::Awaited(awaited) => Some(awaited.id),
            Pending::Held { .. } | Pending::Ready(_) => None,
        })
    }
}

/// Holds a value back if the memory budget allows it and its request has time left.
fn hold_back(mut value: StreamedValue, deadline: Instant) -> Pending {
    let now = Instant::now();
    let until = deadline.checked_sub(DEADLINE_MARGIN).unwrap_or(now).min(now + MAX_HOLD);
    if until > now && value.reserve_whole() {
        Pending::Held { value, until }
    } else {
        Pending::Ready(Answer::Streamed(value))
    }
}
