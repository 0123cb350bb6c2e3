//! The RESP2 protocol of clients and backends: framing with bounds on message sizes, and the service's
//! commands.

mod answer;
mod command;
mod frame;
mod header;

pub use answer::{Answer, Body, BufferedValue};
pub use command::{parse_decimal, Call, Command};
pub use frame::{next_frame, progress, CommandSkipper, Malformed, Progress, FIRST_READ_BYTES, LINE_END};
pub use header::{read_header, remainder_prefix, Header, NO_PREFIX};
