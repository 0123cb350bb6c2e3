//! Orders to a fleet of gateways: their merging, the guard that rejects dangerous ones, the wire format, and
//! the health of each gateway. No I/O, no clock, no tasks.
//!
//! ```text
//!  Order ─▶ guard ─▶ DesiredState (agent) ── Snapshot, Order ──▶ DesiredState (gateway) ─▶ EffectiveState
//!             ▲                                                         │
//!             └────────── Backend, as listed by the gateways ◀──────────┘
//! ```
//!
//! [`DesiredState`] is a state-based replicated data type (CRDT): a last-writer-wins register per subject and
//! aspect, with a floor below which all orders are settled. Orders and snapshots may arrive in any sequence
//! and any number of times; replicas that have received the same ones hold the same state.

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
