//! The backends' side: pools of connections, and exchanges on them, one request at a time on each.

mod connection;
mod exchange;
mod pool;
mod reply;

pub use connection::Connection;
pub use exchange::Deadlines;
pub use pool::{Checkout, ConnectionPool};
pub use reply::{decode_call, decode_probe, BackendReport, Reply};
