//! The backend side: pools of connections, each of which carries one request at a time.

mod connection;
mod exchange;
mod pool;
mod reply;

pub use connection::Connection;
pub use exchange::Deadlines;
pub use pool::{Checkout, ConnectionPool};
pub use reply::{decode_call, decode_probe, BackendReport, Reply};
