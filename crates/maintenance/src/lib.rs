//! Calls of operators to one gateway at its second address, and what they leave in force.
//!
//! No I/O, no clock. [`Call`] reads a line, [`Book`] holds bans of backends, their returns and the drain of
//! the gateway, and [`checksummed`] is the form in which it goes from one process of a gateway to the next.

pub mod checksummed;
mod command;
mod state;

pub use command::{Command, CommandError, MAX_BACKEND_ID_BYTES, MAX_LINE_BYTES};
pub use state::{CommandOutcome, CommandRejected, MaintenanceState, MAX_BANS, MAX_REENABLED};
