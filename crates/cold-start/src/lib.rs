//! What a gateway may do after its start, as one of a fleet that starts together. No I/O, no clock.
//!
//! ```text
//!  Calendar    a slot for each gateway in a round of the clock that all share
//!  Share       the part of its rounds that a gateway takes, by what the service does
//!  Calls       when the list is asked for next, how long that waits, and when it is given up
//!  Allowance   how many calls to the counter are made in the first seconds
//!  Waves       turns that an agent gives to those that start, beside their slots
//!  Openings    when each backend gets its first connection, and when the decisions hear of it
//! ```
//!
//! All times are Unix time in ms, from one clock that does not step while a gateway runs.
//! `docs/design/cold-start.md` has the promises and the options.

mod adaptive_share;
mod call_budget;
mod connection_ramp;
mod poll_schedule;
mod slot_schedule;
mod start_batches;

pub use adaptive_share::{AdaptiveShare, MIN_SHARE};
pub use call_budget::CallBudget;
pub use connection_ramp::{ConnectionRamp, RampStage};
pub use poll_schedule::{Poll, PollOutcome, PollSchedule};
pub use slot_schedule::SlotSchedule;
pub use start_batches::{StartBatches, StartTurn};
