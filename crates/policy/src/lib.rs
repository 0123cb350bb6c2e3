//! Decisions of an admission gateway for a service that is sold by plan.
//!
//! [`Gateway`] takes [`interface::Event`]s and answers with [`interface::Action`]s. It does no
//! input or output, reads no clock and holds no thread: the program around it does.
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
