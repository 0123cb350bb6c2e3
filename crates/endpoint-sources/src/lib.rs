//! Sources of the endpoint list, and the list as gateways poll it.
//!
//! - `resolver`: queries over UDP and TCP to several resolvers
//! - `follow`: keeps a `dns_sd` cache and catalogue up to date
//! - `table`: the list with versions
//! - `serve`: `GET /discovery/hosts`, by which gateways poll the list
//!
//! A gateway needs no change to use it: its configuration names [`serve`]'s address as its discovery. Until a
//! source knows its whole list nothing is served, so that gateways go on with their cached list; an unknown
//! list must not look like an empty one.

mod follow;
mod resolver;
mod serve;
mod table;

pub use follow::{follow, Follower, Settings, StatusRequest};
pub use resolver::{FailedTry, QueryAnswer, QueryFailure, Resolver, TryError};
pub use serve::serve;
pub use table::{EndpointTable, ListedEndpoint, ListedStatus, MAX_TOMBSTONES};
