//! The simulator's wire, to and from the interface's types.
//!
//! A frame is a batch of records of one moment. Each record has a code, a length and fields; a record may be
//! longer than the fields that are read, as later versions add some. All numbers are big-endian.
//!
//! | module | job |
//! | --- | --- |
//! | `fields` | reads numbers and bytes in turn |
//! | `frame` | reads a batch and its records |
//! | `record` | decodes a record |
//! | `reply` | encodes the actions that answer a batch |

mod fields;
mod frame;
mod record;
mod reply;

#[cfg(test)]
mod tests;

use std::fmt;

pub use frame::Frame;
pub use record::{DecodedEvent, Record};
pub use reply::Reply;

/// Endpoint lists that the simulator may keep at an adapter.
pub const LISTS: usize = 16;

/// Input that can't be read, with what is wrong.
#[derive(Debug)]
pub struct Malformed(String);

impl Malformed {
    /// Says what is wrong.
    pub fn new(problem: impl Into<String>) -> Self {
        Malformed(problem.into())
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
