//! Faults of a stand-in, set by the test while it runs.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// A fault of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Delays each answer by this time.
    Slow(Duration),
    /// Reads but sends no answers. Connections stay open.
    Silent,
    /// Refuses new connections and closes open ones.
    Refusing,
    /// Resets the connection instead of answering a message.
    Resetting,
    /// Answers each message with an error.
    Failing,
    /// Rejects each message without working on it.
    Busy,
    /// Discovery only: rejects the first, third, fifth, ... call on each of its addresses.
    AlternateBusy,
    /// Answers each message with invalid bytes.
    Garbled,
}

/// Holds the fault of a stand-in, or of several that share it. Clones share it.
#[derive(Clone, Debug)]
pub struct Switch(Arc<watch::Sender<Fault>>);

impl Default for Switch {
    fn default() -> Self {
        Switch(Arc::new(watch::Sender::new(Fault::None)))
    }
}

impl Switch {
    /// Sets the fault. A stand-in reads it while it handles a message, so it may also affect messages that
    /// have already arrived.
    pub fn set(&self, fault: Fault) {
        self.0.send_replace(fault);
    }

    /// Returns the current fault.
    #[must_use]
    pub fn now(&self) -> Fault {
        *self.0.borrow()
    }

    /// Waits until the fault satisfies the condition. Cancel safe.
    pub async fn until(&self, condition: impl Fn(Fault) -> bool) {
        // Fails only when the sender is dropped, and `self` holds it.
        let _ = self.0.subscribe().wait_for(|f| condition(*f)).await;
    }

    /// Waits for the delay if the stand-in is slow, and then until it is no longer silent.
    pub(crate) async fn delay(&self) {
        if let Fault::Slow(by) = self.now() {
            tokio::time::sleep(by).await;
        }
        self.until(|f| f != Fault::Silent).await;
    }
}
