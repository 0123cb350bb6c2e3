//! Requests of the maintenance controller and of a reload to the event loop, on a channel that it polls
//! first.

use gateway_policy::interface::{SettingsError, UnreportedCharge};
use gateway_policy::reload::ServiceSettings;
use maintenance::MaintenanceState;
use tokio::sync::oneshot;

/// A request to the event loop, answered when it has been executed.
pub enum ControlRequest {
    /// Asks whether a backend is on the endpoint list.
    IsListed { id: String, reply: oneshot::Sender<bool> },
    /// Sets the number of other processes that share this gateway's resources.
    SetOtherProcesses { other_processes: usize, reply: oneshot::Sender<()> },
    /// Takes the unreported charges so that another process can report them.
    TakeUnreported { reply: oneshot::Sender<Vec<UnreportedCharge>> },
    /// Adds charges that another process did not report; each is reported with the next counter call for its
    /// customer.
    AddUnreported { unreported: Vec<UnreportedCharge>, reply: oneshot::Sender<()> },
    /// Changes the settings that may change without a restart, or replies with the error.
    ChangeSettings {
        service_settings: Box<ServiceSettings>,
        reply: oneshot::Sender<Result<(), SettingsError>>,
    },
    /// Adopts a maintenance state if it is newer than the current one.
    AdoptState { state: MaintenanceState, reply: oneshot::Sender<()> },
}
