//! What the maintenance controller, and a reload, request of the event loop, on a channel that it looks at
//! first.

use beechrudder_maintenance::Book;
use slatelock::interface::{SettingsError, Untold};
use slatelock::terms::Terms;
use tokio::sync::oneshot;

/// A request to the event loop. Each is answered when it is carried out.
pub enum ControlRequest {
    /// Whether a backend is on the endpoint list.
    IsListed { id: String, reply: oneshot::Sender<bool> },
    /// Leaves so many other processes of this gateway their shares.
    ShareWith { other_processes: usize, reply: oneshot::Sender<()> },
    /// Gives up the unreported charges, for another process to report.
    TakeUnreported { reply: oneshot::Sender<Vec<Untold>> },
    /// Reports the charges that another process did not, each with the next call for its customer.
    AddUnreported { unreported: Vec<Untold>, reply: oneshot::Sender<()> },
    /// Changes the settings that may change in service, or gives the reason why not.
    ChangeSettings { terms: Box<Terms>, reply: oneshot::Sender<Result<(), SettingsError>> },
    /// Puts a maintenance state in force if it is newer than the one that is.
    Adopt { state: Book, reply: oneshot::Sender<()> },
}
