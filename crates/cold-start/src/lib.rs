//! Limits on what a gateway may do from its start until it is warmed up. They keep a fleet whose gateways
//! start at the same time from overloading the services and backends that it shares. No I/O, no clock.
//!
//! - [`SlotSchedule`]: the time slot of each gateway in every round of the shared clock
//! - [`AdaptiveShare`]: the fraction of its rounds that a gateway uses, adapted to the service's responses
//! - [`PollSchedule`]: when the endpoint list is polled, how long a poll waits, and its timeout
//! - [`CallBudget`]: how many counter calls are made in the first seconds
//! - [`StartBatches`]: turns that the fleet's agent gives to starting gateways, in addition to their slots
//! - [`ConnectionRamp`]: when each backend gets its first connection, and when it may be selected
//!
//! All times are Unix time in ms, from one clock that does not step while a gateway runs.
//! `docs/design/cold-start.md` has the guarantees and the alternatives.

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
pub use slot_schedule::{Slot, SlotSchedule};
pub use start_batches::{StartBatches, StartTurn};
