//! Operators' commands at the management address, and the maintenance state that they set for all
//! processes of this gateway.
//!
//! ```text
//! listener ── PendingCommand ──▶ controller ── ControlRequest ──▶ event loop
//!                                    │
//!                             state directory ◀── other processes of this gateway
//! ```

mod command;
mod control;
mod controller;
mod listener;
mod partition;
mod process;
mod state_directory;

pub use command::PendingCommand;
pub use control::ControlRequest;
pub use controller::{Controller, MAX_PROPAGATION};
pub use listener::{serve, MAX_CONNECTIONS};
pub use partition::Partition;
pub use process::ProcessStatus;
pub use state_directory::StateDirectory;
