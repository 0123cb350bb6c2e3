//! What a gateway wants done: the output of the decisions.

/// What a gateway wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt; they count from 0 for each request.
    Send {
        /// The request.
        id: u64,
        /// Where to.
        backend: u32,
        /// Write deadline, ms: the last byte is written by then, or nothing is sent at all. None: as long
        /// as the client waits.
        begin_by_ms: Option<f64>,
    },
    /// Cancels an attempt.
    Cancel {
        /// The request.
        id: u64,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer, rejected: nothing ran, and trying again is harmless.
    Refuse {
        /// The request.
        id: u64,
        /// When to come again.
        retry_after_ms: Option<f64>,
    },
    /// Final answer, failed: nothing is promised.
    Surrender {
        /// The request.
        id: u64,
    },
    /// Probes a backend.
    Probe {
        /// The backend.
        backend: u32,
    },
    /// Counter call: adds to a total of the shared counter.
    Count {
        /// Its key.
        name: u64,
        /// What to add.
        amount: f64,
        /// Life of a new key, ms.
        forget_after_ms: f64,
    },
    /// Sets a timer.
    Timer {
        /// Comes back with its event.
        token: u64,
        /// When.
        at_ms: f64,
    },
    /// Sends a message to all other gateways.
    Tell {
        /// The message.
        body: Vec<u8>,
    },
    /// Polls the endpoint list.
    Watch,
}
