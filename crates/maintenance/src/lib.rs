//! Operators' commands to one gateway, and the maintenance state that they set. No I/O and no clock.
//!
//! - [`Command`]: a command line as accepted at the gateway's management address
//! - [`MaintenanceState`]: bans of backends, ends of earlier bans, and the drain of the gateway
//! - [`checksummed`]: the encoding in which processes of a gateway exchange state

pub mod checksummed;
mod command;
mod state;

pub use command::{Command, CommandError, MAX_BACKEND_ID_BYTES, MAX_LINE_BYTES};
pub use state::{CommandOutcome, CommandRejected, MaintenanceState, MAX_BANS, MAX_REENABLED};
