//! What the keeper of operators' book asks of the driver, on a way of its own that is looked at first.

use gateway_policy::interface::{SettingsError, UnreportedCharge};
use gateway_policy::reload::ServiceSettings;
use maintenance::MaintenanceState;
use tokio::sync::oneshot;

/// An order.
pub enum Order {
    /// Whether a backend is on the list.
    Lists { id: String, say: oneshot::Sender<bool> },
    /// So many other processes of this gateway live; answered when their shares are left to them.
    Others { others: usize, say: oneshot::Sender<()> },
    /// Takes off what the counter was not told, for another process to tell.
    Untold { say: oneshot::Sender<Vec<UnreportedCharge>> },
    /// Tells the counter what another process did not, each with the next call for its customer.
    TakeOver { untold: Vec<UnreportedCharge>, say: oneshot::Sender<()> },
    /// Goes by what may change in service of new settings; answered when it does, or with why it does not.
    Change { terms: Box<ServiceSettings>, say: oneshot::Sender<Result<(), SettingsError>> },
    /// Puts a book in force if it is newer than the one that is; answered when it is.
    Adopt { book: MaintenanceState, say: oneshot::Sender<()> },
}
