//! Orders to a fleet of gateways: what they are, how they merge, which of them the guard rejects, and what
//! is known of each gateway. No I/O, no clock, no tasks.
//!
//! ```text
//!  Order ─▶ guard ─▶ DesiredState (agent) ─▶ Snapshot, Order ─▶ DesiredState (each gateway) ─▶
//! EffectiveState ▲                                                          │
//!             └───── Backend, as gateways list them ◀────────────────────┘    GatewayRecord: ok, unreachable
//! ```
//!
//! [`DesiredState`] is a state-based replicated data type: a register for each subject and aspect, in which
//! the newest revision wins, with a floor below which all is settled. Orders and snapshots may arrive in any
//! sequence and any number of times; whoever has received the same ones holds the same state.

mod desired;
mod gateway_record;
mod guard;
mod name;
mod order;
pub mod wire;

pub use desired::{Aspect, DesiredState, EffectiveState, Register, Snapshot, Value, MAX_REGISTERS};
pub use gateway_record::{GatewayRecord, Health, Observation};
pub use guard::{guard, Backend, GuardCounts, TooFewReady};
pub use name::{InvalidName, Name, OrderId, MAX_NAME_BYTES, MAX_ORDER_ID_BYTES};
pub use order::{ApplyOutcome, Change, InvalidOrder, Order, Revision, Subject, MAX_WEIGHT, MIN_WEIGHT};
