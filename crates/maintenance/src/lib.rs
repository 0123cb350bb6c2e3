//! Operators' commands to one gateway, and what they leave in force. No I/O, no clock.
//!
//! - [`Command`]: a command line as the gateway's second address takes it
//! - [`MaintenanceState`]: bans of backends, their ends, and the drain of the gateway
//! - [`checksummed`]: the form in which a state goes from one process of a gateway to the next

pub mod checksummed;
mod command;
mod state;

pub use command::{Command, CommandError, MAX_BACKEND_ID_BYTES, MAX_LINE_BYTES};
pub use state::{CommandOutcome, CommandRejected, MaintenanceState, MAX_BANS, MAX_REENABLED};
