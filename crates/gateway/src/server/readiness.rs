//! What a start waits for before clients are accepted: the endpoint list as it is now, and where first
//! connections follow a ramp, the first backend.

use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, timeout_at, Instant};

use crate::event_loop::EventLoop;
use crate::input::Input;

/// A gateway is ready after this, whatever it waits for: a platform may give a start 30 s.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// How a wait of the start ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wait {
    /// What was waited for came, or its time is over.
    Over,
    /// SIGTERM came.
    Terminated,
}

/// What the start waits for, and for how long.
pub(super) struct Readiness {
    /// When the process began to start.
    pub started: Instant,
    /// How long to wait for the endpoint list.
    pub first_list: Duration,
    /// Whether the list is asked for in slots, so that its wait is long.
    pub in_slots: bool,
    /// The first backend that can be sent to, where connections follow a ramp.
    pub first_backend: Option<FirstBackend>,
}

/// The first backend that can be sent to.
pub(super) struct FirstBackend {
    /// Becomes true with it, or when the list is sure to name none.
    pub reached: watch::Receiver<bool>,
    /// How long the ramp may take for it.
    pub within: Duration,
}

impl Readiness {
    /// Takes inputs in until the first list was among them. Without slots any input ends the wait.
    pub async fn wait_for_list(
        &self,
        event_loop: &mut EventLoop,
        inputs: &mut mpsc::Receiver<Input>,
        terminate: &mut Signal,
    ) -> Wait {
        let first_list = async {
            while let Some(input) = inputs.recv().await {
                let is_list = matches!(input, Input::EndpointUpdate(_));
                event_loop.handle_input(input);
                // In slots the list is worth a long wait, which an answer of the counter must not end.
                if is_list || !self.in_slots {
                    break;
                }
            }
        };
        tokio::select! {
            _ = timeout(self.first_list, first_list) => Wait::Over,
            // A long wait has to end with SIGTERM: otherwise the platform would kill the process.
            _ = terminate.recv(), if self.in_slots => Wait::Terminated,
        }
    }

    /// Waits for the first backend, where connections follow a ramp.
    pub async fn wait_for_backend(self, terminate: &mut Signal) -> Wait {
        let Some(FirstBackend { mut reached, within }) = self.first_backend else { return Wait::Over };
        // The time that the list took counts.
        let deadline = (self.started + within.max(self.first_list)).min(self.started + READY_TIMEOUT);
        tokio::select! {
            _ = timeout_at(deadline, reached.wait_for(|reached| *reached)) => Wait::Over,
            // As above.
            _ = terminate.recv() => Wait::Terminated,
        }
    }
}
