//! Server lists from DNS-SD records (RFC 6763): no I/O, no clock, no chance but a seed.
//!
//! ```text
//!  bytes of an answer ─▶ answer.rs: is it ours, what does it say
//!                             │ Answer, or why it is none
//!                             ▼
//!  due questions ◀───── cache.rs: lifetimes, re-asks, what is stale
//!                             │ State of each question
//!                             ▼
//!                       catalogue.rs: PTR ─▶ SRV, TXT ─▶ A, AAAA; the list, and who leaves it
//!                             └─ traits.rs: the keys of TXT
//! ```
//!
//! What is known leaves the list on an authority's word alone: on an answer that says NXDOMAIN or NODATA, or
//! that lacks it. A resolver that is silent, refuses, fails or lies garbage changes nothing but what is said
//! of the age of the list. All times are ms of the caller's clock, which never runs backwards.

mod answer;
mod cache;
mod catalogue;
mod metadata;

pub use answer::{
    decode_answer, encode_query, Answer, AnswerError, NegativeAnswer, QueryType, Question, RecordData,
    SrvRecord, MAX_ALIAS_CHAIN, PAYLOAD,
};
pub use cache::{Cache, CacheLimits, CacheState, CachedAnswer, DueQuery};
pub use catalogue::{Catalogue, CatalogueUpdate, Change, DroppedInstance, Endpoint, MAX_INSTANCES};
pub use hickory_proto::rr::Name;
pub use metadata::{InstanceMetadata, Status, TxtError};
