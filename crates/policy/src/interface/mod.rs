//! Settings, events and actions of a [`Policy`](crate::Policy), as plain types.
//!
//! Times are milliseconds on the caller's clock, which never runs backwards.

mod actions;
mod endpoints;
mod events;
mod settings;

pub use actions::Action;
pub use endpoints::{BackendEndpoint, EndpointState, UpdateScope};
pub use events::{Event, Outcome, Request, UnreportedCharge};
pub use settings::{
    Class, DeduplicationScope, Idempotency, Limits, LoadField, Plan, Routing, Settings, SettingsError,
    SlowStart,
};
