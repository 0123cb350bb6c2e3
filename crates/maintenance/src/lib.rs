//! Calls of operators to one gateway at its second address, and what they leave in force.
//!
//! No I/O, no clock. [`Call`] reads a line, [`Book`] holds bans of backends, their returns and the drain of
//! the gateway, and [`sealed`] is the form in which a book goes from one process of a gateway to the next.

mod book;
mod call;
pub mod sealed;

pub use book::{Book, Done, Refused, MAX_BANS, MAX_REENABLED};
pub use call::{BadCall, Call, MAX_BACKEND_ID_BYTES, MAX_LINE_BYTES};
