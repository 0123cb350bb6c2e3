//! The phases of the shutdown after SIGTERM (see `docs/design/endings.md`).

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use crate::client::{Clients, IDLE_CLOSE_DELAY};
use crate::clock::Clock;
use crate::input::Input;
use crate::maintenance::{PendingCommand, ProcessStatus};

/// Upper bound of the time that requests have left after SIGTERM, ms. It is less if the longest deadline is.
const MAX_OPEN_REQUESTS_MS: f64 = 3_000.0;
/// Time from the end of [`MAX_OPEN_REQUESTS_MS`], or of the longest deadline, until the platform may kill the
/// process.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Part of [`KILL_DELAY`] after which requests that are still unanswered fail.
const MARGIN: Duration = Duration::from_millis(300);
/// Time before the kill at which streamed values are given up.
const STREAMING_MARGIN: Duration = Duration::from_millis(70);
/// Time before the kill at which the process exits at the latest.
const EXIT_MARGIN: Duration = Duration::from_millis(20);
/// Minimum time for which connections are served as before after SIGTERM, since new ones still arrive.
const MIN_ACCEPTING: Duration = Duration::from_millis(500);
/// Length of the closing phase, in which connections close after an answer, and after the first
/// [`IDLE_CLOSE_DELAY`] also when they are idle. Connections are served normally until then, as the other
/// gateways that clients could use may be down as well.
const CLOSING: Duration = Duration::from_millis(700).saturating_add(IDLE_CLOSE_DELAY);
/// Last part of the closing phase, in which no answers are waited for any more.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Maximum time for writing the answers behind streamed values that were given up.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(20);

/// The lengths of the phases of a shutdown: serving, then closing, then the rest of streamed values.
#[derive(Clone, Copy, Debug)]
struct Phases {
    /// Serving and closing together.
    total: Duration,
    /// Time from SIGTERM to the earliest kill.
    kill: Duration,
}

/// When the last phases of a shutdown end.
#[derive(Clone, Copy, Debug)]
struct Ends {
    /// Requests that are still unanswered fail.
    answers: Instant,
    /// Streamed values are given up.
    streaming: Instant,
    /// The process exits.
    process: Instant,
}

impl Phases {
    /// Returns the phases for a gateway whose longest deadline is `longest_ms`.
    fn for_deadline_ms(longest_ms: f64) -> Phases {
        let open_requests = Duration::from_secs_f64(longest_ms.min(MAX_OPEN_REQUESTS_MS) / 1000.0);
        Phases { total: open_requests + MARGIN, kill: open_requests + KILL_DELAY }
    }

    /// Returns the ends of the last phases of a shutdown that begins now.
    fn ends(self) -> Ends {
        let now = Instant::now();
        Ends {
            answers: now + self.total,
            streaming: now + self.kill - STREAMING_MARGIN,
            process: now + self.kill - EXIT_MARGIN,
        }
    }

    /// Returns how long connections are accepted and served as before.
    fn serving(self) -> Duration {
        self.total.saturating_sub(CLOSING).max(MIN_ACCEPTING.min(self.total))
    }

    /// Returns the time after SIGTERM within which requests that arrive from then on must be answered.
    fn answering(self) -> Duration {
        self.total - ANSWER_MARGIN
    }
}

/// The components that take part in a shutdown.
pub(super) struct Shutdown {
    pub clock: Clock,
    pub status: ProcessStatus,
    pub clients: Arc<Clients>,
    /// Asks the maintenance controller to hand over unreported charges to the gateway's other processes. The
    /// sender that is passed is answered when that is done.
    pub handover: mpsc::Sender<oneshot::Sender<()>>,
    /// Keeps the maintenance controller running for as long as the process lives.
    pub _commands: mpsc::Sender<PendingCommand>,
}

impl Shutdown {
    /// Runs all phases.
    pub async fn run(self, mut accepting: JoinHandle<()>) {
        let phases = Phases::for_deadline_ms(self.longest_deadline_ms());
        let ends = phases.ends();
        self.bound_new_requests(phases).await;
        // Another process accepts on the same socket, so connections accepted here would only have to close.
        if self.status.other_processes() > 0 {
            accepting.abort();
        }
        sleep(phases.serving()).await;
        self.clients.closing.cancel();
        sleep_until((Instant::now() + IDLE_CLOSE_DELAY).min(ends.answers)).await;
        self.clients.not_accepting.cancel();
        if timeout_at(ends.answers, &mut accepting).await.is_err() {
            accepting.abort();
        }
        self.clients.connections.close();
        self.finish_connections(ends).await;
        self.hand_over_unreported(ends).await;
    }

    fn longest_deadline_ms(&self) -> f64 {
        self.clients
            .service_settings
            .borrow()
            .settings
            .classes
            .iter()
            .map(|class| class.deadline_ms)
            .fold(0.0, f64::max)
    }

    /// Limits the deadlines of new requests to the time that is left.
    async fn bound_new_requests(&self, phases: Phases) {
        let answer_by_ms = self.clock.now_ms() + phases.answering().as_secs_f64() * 1000.0;
        let _ = self.clients.inbox.send(Input::ShuttingDown { answer_by_ms }).await;
    }

    /// Waits for the connections to close. Fails the requests that have no answer in time, and lets values
    /// that are being streamed go on for as long as the process may run.
    async fn finish_connections(&self, ends: Ends) {
        if self.connections_closed_by(ends.answers).await {
            return;
        }
        // Without this, these requests would get no answer at all when the process exits or is killed.
        let _ = self.clients.inbox.send(Input::FailUnanswered).await;
        if self.connections_closed_by(ends.streaming).await {
            return;
        }
        self.clients.exiting.cancel();
        self.connections_closed_by(ends.streaming + LAST_WRITES_TIMEOUT).await;
    }

    /// Waits until all connections are closed; returns `false` if some are still open at `end`.
    async fn connections_closed_by(&self, end: Instant) -> bool {
        timeout_at(end, self.clients.connections.wait()).await.is_ok()
    }

    /// Hands over unreported charges to the gateway's other processes. Done last, as the answer to a request
    /// may still change its charge behind a streamed value.
    async fn hand_over_unreported(&self, ends: Ends) {
        let handed_over = async {
            let (done, finished) = oneshot::channel();
            if self.handover.send(done).await.is_ok() {
                // Fails only if the controller has ended.
                let _ = finished.await;
            }
        };
        let _ = timeout_at(ends.process, handed_over).await;
    }
}
