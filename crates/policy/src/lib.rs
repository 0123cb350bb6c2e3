//! The decisions of an admission gateway for a service that is sold by plan.
//!
//! [`Policy`] handles [`interface::Event`]s and answers with [`interface::Action`]s. It does no I/O, reads no
//! clock and starts no threads; the surrounding program does. The same seed, events and times always give
//! the same actions.
//!
//! Where to start reading: `src/policy/mod.rs` shows the path of a request through the modules, one for each
//! decision. [`interface`] has the plain types of the input and output, [`settings`] reads the settings, and
//! [`reload`] defines which of them can change in service.
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
