//! Endpoint lists from DNS-SD records (RFC 6763). No I/O, no clock; chance comes from a seed.
//!
//! - `answer`: encodes queries and decodes answers
//! - `cache`: lifetimes of answers, when each question is asked again, and what is stale
//! - `catalogue`: from PTR to SRV and TXT to A and AAAA records; the list, and who leaves it
//! - `metadata`: the keys of TXT records
//!
//! An instance leaves the list only by an answer of an authority: one that says NXDOMAIN or NODATA, or that
//! lacks it. A resolver that is silent, refuses, fails or sends garbage changes only the age of the list. All
//! times are ms of the caller's clock, which never runs backwards.

mod answer;
mod cache;
mod catalogue;
mod metadata;

pub use answer::{
    decode_answer, encode_query, Answer, AnswerError, NegativeAnswer, QueryType, Question, RecordData,
    SrvRecord, MAX_ALIAS_CHAIN, PAYLOAD,
};
pub use cache::{
    Cache, CacheLimits, CacheSize, CacheState, CachedAnswer, DueQuery, FailingQuery, FollowedQuery,
};
pub use catalogue::{
    Catalogue, CatalogueUpdate, Change, DropReason, DroppedInstance, Endpoint, MAX_INSTANCES,
};
pub use hickory_proto::rr::Name;
pub use metadata::{InstanceMetadata, Status, TxtError};
