//! Sources of the server list, and the list as gateways read it.
//!
//! ```text
//!  resolvers ◀─ UDP, TCP ─ resolver.rs ◀─ due ─ follow.rs ─ list ─▶ table.rs ─▶ serve.rs ◀─ gateways
//!                                │ answer, or why    │             versions    GET /discovery/hosts
//!                                └─────────────────▶ │ cache and catalogue of dns-sd
//! ```
//!
//! A gateway needs no change to take its list from here: its configuration names [`serve`]'s address as its
//! discovery. Until a source knows its whole list nothing is served, so that gateways go on with what they
//! have: silence never looks like an empty fleet.

mod follow;
mod resolver;
mod serve;
mod table;

pub use follow::{follow, Follower, Settings, StatusRequest};
pub use resolver::{QueryAnswer, QueryFailure, Resolver};
pub use serve::serve;
pub use table::{EndpointTable, ListedEndpoint, MAX_TOMBSTONES};
