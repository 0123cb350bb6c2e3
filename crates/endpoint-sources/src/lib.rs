//! Follows the sources of the endpoint list and serves the list to gateways.
//!
//! - `resolver`: DNS queries over UDP and TCP to several resolvers
//! - `follow`: keeps a `dns_sd` cache and catalogue up to date
//! - `entries`: entries on the list and in the status
//! - `unknown_values`: the log of values that records do not state
//! - `table`: the versioned list
//! - `serve`: `GET /discovery/hosts`, which gateways poll for the list
//!
//! A gateway uses it by naming the address of [`serve`] as `discovery` in its configuration. Nothing is
//! served until all services are known, so that an unknown list is never mistaken for an empty one; gateways
//! keep their cached list until then.

mod entries;
mod follow;
mod resolver;
mod serve;
mod table;
mod unknown_values;

pub use follow::{follow, Follower, Settings, StatusRequest};
pub use resolver::{AttemptError, FailedAttempt, QueryAnswer, QueryFailure, Resolver};
pub use serve::serve;
pub use table::{EndpointTable, ListedEndpoint, ListedStatus, MAX_TOMBSTONES};
