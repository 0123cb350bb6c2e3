//! Many processes of the program on one machine, with links between any two parties that can fail.
//!
//! ```text
//!  gateway ──▶ Link ──▶ list service      Link: cut, delayed, thinned, throttled, reset, half open
//!     ▲    ──▶ Link ──▶ counter           Node: a process; SIGKILL, SIGSTOP, SIGCONT, a start anew
//!     └─────── Link ◀── clients           Timeline: what was done when, with its seed
//! ```
//!
//! Nothing listens on any address but loopback, and no process is ended that was not started here.

pub mod fleet;
mod link;
mod node;
mod timeline;

pub use link::{Condition, Direction, Link};
pub use node::{Node, NodeError, Program};
pub use timeline::Timeline;
