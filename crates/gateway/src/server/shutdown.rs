//! The shutdown after SIGTERM: its phases, and what is still owed in each (`docs/design/endings.md`).

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use crate::client::{Clients, IDLE_CLOSE_DELAY};
use crate::clock::Clock;
use crate::input::Input;
use crate::maintenance::{PendingCommand, ProcessStatus};

/// A request that is still open so long after SIGTERM fails, or earlier if the deadlines are shorter.
const MAX_OPEN_REQUESTS_MS: f64 = 3_000.0;
/// Added to that: part of the 0.7 s that are left until the platform kills the process.
const MARGIN: Duration = Duration::from_millis(300);
/// How long new connections go on coming after SIGTERM, at least.
const MIN_ACCEPTING: Duration = Duration::from_millis(500);
/// The last part, in which connections close behind an answer, and after [`IDLE_CLOSE_DELAY`] of it as they
/// are idle. Until then clients that use one go on being served: other gateways may be down as well.
const CLOSING: Duration = Duration::from_millis(700).saturating_add(IDLE_CLOSE_DELAY);
/// The end of that, in which no answer is waited for.
const NO_ANSWERS: Duration = Duration::from_millis(50);
/// How long the last answers may take to be written, and the unreported charges to be left.
const LAST_WRITES: Duration = Duration::from_millis(200);

/// How long the phases of a shutdown last, one after another: serving, closing, last writes.
#[derive(Clone, Copy, Debug)]
struct Phases {
    /// Serving and closing together.
    total: Duration,
}

impl Phases {
    /// Those of a gateway whose longest deadline is this.
    fn for_deadline_ms(longest_ms: f64) -> Phases {
        Phases { total: Duration::from_secs_f64(longest_ms.min(MAX_OPEN_REQUESTS_MS) / 1000.0) + MARGIN }
    }

    /// Connections are accepted and served as before.
    fn serving(self) -> Duration {
        self.total.saturating_sub(CLOSING).max(MIN_ACCEPTING.min(self.total))
    }

    /// From SIGTERM on: a request that comes has to be answered within this.
    fn answering(self) -> Duration {
        self.total - NO_ANSWERS
    }
}

/// What a shutdown works with.
pub(super) struct Shutdown {
    pub clock: Clock,
    pub status: ProcessStatus,
    pub clients: Arc<Clients>,
    /// Has unreported charges left for the processes that go on; answered when they are.
    pub leaving: mpsc::Sender<oneshot::Sender<()>>,
    /// Kept so that the maintenance state is served for as long as the process lives.
    pub _commands: mpsc::Sender<PendingCommand>,
}

impl Shutdown {
    /// Goes through all phases.
    pub async fn run(self, mut accepting: JoinHandle<()>) {
        let phases = Phases::for_deadline_ms(self.longest_deadline_ms());
        let end = Instant::now() + phases.total;
        self.bound_new_requests(phases).await;
        // Another process accepts on the same socket: what this one took now would only have to end.
        if self.status.other_processes() > 0 {
            accepting.abort();
        }
        sleep(phases.serving()).await;
        self.clients.closing.cancel();
        sleep_until((Instant::now() + IDLE_CLOSE_DELAY).min(end)).await;
        self.clients.not_accepting.cancel();
        if timeout_at(end, &mut accepting).await.is_err() {
            accepting.abort();
        }
        self.clients.connections.close();
        self.finish_connections(end).await;
        self.leave_unreported().await;
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

    /// Requests that come from now on are told no more time than is left.
    async fn bound_new_requests(&self, phases: Phases) {
        let answer_by_ms = self.clock.now_ms() + phases.answering().as_secs_f64() * 1000.0;
        let _ = self.clients.inbox.send(Input::ShuttingDown { answer_by_ms }).await;
    }

    /// Waits for the connections to end, and fails what is open on those that did not.
    async fn finish_connections(&self, end: Instant) {
        let all_ended = tokio::select! {
            () = self.clients.connections.wait() => true,
            () = sleep_until(end) => false,
        };
        if !all_ended {
            // The kill that follows would leave these requests without any answer.
            let _ = self.clients.inbox.send(Input::FailAll).await;
            let _ = timeout(LAST_WRITES, self.clients.connections.wait()).await;
        }
    }

    /// Leaves unreported charges to the processes that go on.
    async fn leave_unreported(&self) {
        let (done, left) = oneshot::channel();
        if self.leaving.send(done).await.is_ok() {
            let _ = timeout(LAST_WRITES, left).await;
        }
    }
}
