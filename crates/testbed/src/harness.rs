//! Runs many gateway processes on one machine, connected by links that can fail.
//!
//! ```text
//!  gateway ──▶ Link ──▶ discovery         Link: cut, delayed, lossy, throttled, reset, half open
//!     ▲    ──▶ Link ──▶ counter           Node: a process; SIGKILL, SIGSTOP, SIGCONT, restart
//!     └─────── Link ◀── clients           Timeline: the steps of a test with times and seed
//! ```
//!
//! Everything listens on loopback, and only processes started here are killed.

pub mod fleet;
mod link;
mod node;
mod timeline;

pub use link::{Condition, Direction, Link};
pub use node::{Node, NodeError, Program};
pub use timeline::Timeline;
