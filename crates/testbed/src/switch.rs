//! What is wrong with a stand-in, set from outside while it runs.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// How a stand-in behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// As it should.
    #[default]
    None,
    /// Each answer comes so much later.
    Slow(Duration),
    /// It reads, and says nothing. Connections stay open.
    Silent,
    /// New connections are refused; open ones are reset.
    Refusing,
    /// Each message is answered by a reset.
    Resetting,
    /// Each message is answered by an error.
    Failing,
    /// Each message is turned away unseen.
    Busy,
    /// The list service turns the first, third and so on of each party's messages away unseen; others work.
    AlternateBusy,
    /// Each message is answered by bytes that mean nothing.
    Garbled,
}

/// Sets the fault of one stand-in, or of several that share it.
#[derive(Clone, Debug)]
pub struct Switch(Arc<watch::Sender<Fault>>);

impl Default for Switch {
    fn default() -> Self {
        Switch(Arc::new(watch::Sender::new(Fault::None)))
    }
}

impl Switch {
    /// Sets the fault; it holds for what comes from now on, and silence for what has come as well.
    pub fn set(&self, fault: Fault) {
        self.0.send_replace(fault);
    }

    /// The fault now.
    #[must_use]
    pub fn now(&self) -> Fault {
        *self.0.borrow()
    }

    /// Waits until the fault is one of those wanted. Cancelling loses nothing.
    pub async fn until(&self, wanted: impl Fn(Fault) -> bool) {
        // Fails only when the sender is gone, which is here.
        let _ = self.0.subscribe().wait_for(|f| wanted(*f)).await;
    }

    /// Waits while the stand-in is silent, and as long as it is slow.
    pub(crate) async fn delay(&self) {
        if let Fault::Slow(by) = self.now() {
            tokio::time::sleep(by).await;
        }
        self.until(|f| f != Fault::Silent).await;
    }
}
