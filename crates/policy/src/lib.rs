//! Decisions of an admission gateway for a service that is sold by plan.
//!
//! [`Policy`] handles [`interface::Event`]s and answers with [`interface::Action`]s. It does no input or
//! output, reads no clock and starts no thread: the program around it does. The same events, seed and times
//! always have the same actions.
//!
//! Where to begin: `src/policy/mod.rs` shows a request's way through the modules, one for each decision;
//! [`interface`] has the plain types that go in and out; [`settings`] reads the settings, and [`reload`] says
//! what of them may change in service.
#![doc = include_str!("../../../README.md")]

pub mod interface;
mod policy;
#[cfg(feature = "settings")]
pub mod reload;
#[cfg(feature = "settings")]
pub mod settings;
mod view;

pub use policy::Policy;
pub use view::BackendView;
