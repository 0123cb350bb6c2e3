//! The readiness of a starting gateway: before it accepts clients, it waits for the current endpoint list
//! and, if first connections follow a ramp, for the first open backend.

use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, timeout_at, Instant};

use crate::event_loop::EventLoop;
use crate::input::Input;

/// A gateway is ready after this time even if it is still waiting, as a platform may allow a start only 30 s.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of waiting during the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitResult {
    /// The awaited event occurred, or its timeout expired.
    Finished,
    /// SIGTERM was received.
    Terminated,
}

/// The events for which the start waits, with their timeouts.
pub(super) struct Readiness {
    /// When the process started.
    pub started: Instant,
    /// Maximum time to wait for the endpoint list.
    pub list_timeout: Duration,
    /// Whether discovery is called in slots, so that the wait for the list may be long.
    pub in_slots: bool,
    /// The first open backend, if first connections follow a ramp.
    pub first_backend: Option<FirstBackend>,
}

/// The first backend to which the gateway can send requests.
pub(super) struct FirstBackend {
    /// Becomes true when a backend is open, or the list is confirmed to be empty.
    pub reached: watch::Receiver<bool>,
    /// Maximum time that the ramp takes to open it.
    pub timeout: Duration,
}

impl Readiness {
    /// Processes inputs until the first endpoint list has been processed, or the timeout expires. Without
    /// slots any input ends the wait.
    pub async fn wait_for_list(
        &self,
        event_loop: &mut EventLoop,
        inputs: &mut mpsc::Receiver<Input>,
        terminate: &mut Signal,
    ) -> WaitResult {
        let first_list = async {
            while let Some(input) = inputs.recv().await {
                let is_list = matches!(input, Input::EndpointUpdate(_));
                event_loop.handle_input(input);
                // With slots the wait for the list may be long, and other inputs, such as the result of a
                // counter call, must not cut it short.
                if is_list || !self.in_slots {
                    break;
                }
            }
        };
        tokio::select! {
            _ = timeout(self.list_timeout, first_list) => WaitResult::Finished,
            // SIGTERM ends a long wait, as the platform would otherwise kill the process.
            _ = terminate.recv(), if self.in_slots => WaitResult::Terminated,
        }
    }

    /// Waits for the first open backend, if first connections follow a ramp.
    pub async fn wait_for_backend(self, terminate: &mut Signal) -> WaitResult {
        let Some(FirstBackend { mut reached, timeout }) = self.first_backend else {
            return WaitResult::Finished;
        };
        // Measured from the start of the process, so that the time spent waiting for the list counts.
        let deadline = (self.started + timeout.max(self.list_timeout)).min(self.started + READY_TIMEOUT);
        tokio::select! {
            _ = timeout_at(deadline, reached.wait_for(|reached| *reached)) => WaitResult::Finished,
            // As in `wait_for_list`.
            _ = terminate.recv() => WaitResult::Terminated,
        }
    }
}
