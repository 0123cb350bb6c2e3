//! The simulator's wire protocol, converted to and from the types of the interface.
//!
//! A frame is a batch of records at one time. Each record has a code, a length and fields. A record can be
//! longer than the fields that are read, because later versions add fields. All numbers are big-endian.
//!
//! | module | purpose |
//! | --- | --- |
//! | `fields` | reads numbers and bytes in sequence |
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

/// Number of endpoint lists that the simulator can store at an adapter.
pub const LISTS: usize = 16;

/// Error of malformed input, with a description.
#[derive(Debug)]
pub struct Malformed(String);

impl Malformed {
    /// Creates an error with a description of the problem.
    pub fn new(problem: impl Into<String>) -> Self {
        Malformed(problem.into())
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
