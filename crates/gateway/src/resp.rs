//! The RESP2 protocol of clients and backends: framing with bounds on message sizes, and the service's
//! commands.

mod answer;
mod command;
mod frame;
mod header;

pub use answer::Answer;
pub use command::{parse_decimal, Call, Command};
pub use frame::{next_frame, reserve_for_read};
pub use header::{read_header, remainder_prefix, Header, NO_PREFIX};
