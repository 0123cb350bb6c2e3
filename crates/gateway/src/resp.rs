//! RESP2 as clients and backends speak it: bounds on what is read, and the commands of the service.

mod answer;
mod command;
mod frame;
mod header;

pub use answer::Answer;
pub use command::{amount, Call, Command};
pub use frame::{make_room, next_frame};
pub use header::{read_header, remainder_prefix, Header, WHOLE};
