//! Endpoint lists from DNS-SD records (RFC 6763). No I/O and no clock; jitter comes from a seeded generator.
//!
//! - `answer`: encodes queries and decodes answers
//! - `cache`: lifetimes of answers, the refresh schedule, and stale records
//! - `catalogue`: the list of instances that PTR records name, and when an instance is removed from it
//! - `instance`: the endpoint of an instance, from its SRV, TXT, A and AAAA records
//! - `metadata`: the keys of TXT records
//! - `listed_metadata`: what is listed where a record does not state a value
//!
//! An instance is removed from the list only because of an authoritative answer: NXDOMAIN, NODATA, or records
//! that do not include it. A resolver that times out, refuses, fails or sends malformed messages only makes
//! the list stale. All times are ms of the caller's clock, which must be monotonic.

mod answer;
mod cache;
mod catalogue;
mod drop_reason;
mod instance;
mod listed_metadata;
mod metadata;

pub use answer::{
    decode_answer, encode_query, Answer, AnswerError, NegativeAnswer, QueryType, Question, RecordData,
    SrvRecord, MAX_ALIAS_CHAIN, MAX_UDP_PAYLOAD,
};
pub use cache::{
    Cache, CacheLimits, CacheSize, CacheState, CachedAnswer, DueQuery, FailingQuery, FollowedQuery,
};
pub use catalogue::{Catalogue, CatalogueUpdate, Change, MAX_INSTANCES};
pub use drop_reason::{DropReason, DroppedInstance};
pub use hickory_proto::rr::Name;
pub use instance::Endpoint;
pub use listed_metadata::ListedMetadata;
pub use metadata::{InstanceMetadata, Status, TxtError, TxtKey, TxtValue, UnknownValue};
