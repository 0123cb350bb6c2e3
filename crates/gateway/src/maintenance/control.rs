//! What the maintenance controller, and a reload, request of the event loop, on a channel that it looks at
//! first.

use gateway_policy::interface::{SettingsError, UnreportedCharge};
use gateway_policy::reload::ServiceSettings;
use maintenance::MaintenanceState;
use tokio::sync::oneshot;

/// A request to the event loop. Each is answered when it is carried out.
pub enum ControlRequest {
    /// Whether a backend is on the endpoint list.
    IsListed { id: String, reply: oneshot::Sender<bool> },
    /// Leaves so many other processes of this gateway their shares.
    ShareWith { other_processes: usize, reply: oneshot::Sender<()> },
    /// Gives up the unreported charges, for another process to report.
    TakeUnreported { reply: oneshot::Sender<Vec<UnreportedCharge>> },
    /// Reports the charges that another process did not, each with the next call for its customer.
    AddUnreported { unreported: Vec<UnreportedCharge>, reply: oneshot::Sender<()> },
    /// Changes the settings that may change in service, or gives the reason why not.
    ChangeSettings {
        service_settings: Box<ServiceSettings>,
        reply: oneshot::Sender<Result<(), SettingsError>>,
    },
    /// Puts a maintenance state in force if it is newer than the one that is.
    Adopt { state: MaintenanceState, reply: oneshot::Sender<()> },
}
