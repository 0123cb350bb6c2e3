//! Lines of JSON between tools, agent and gateways.
//!
//! ```text
//!  Listener::bind ─ accept ─▶ Lines ◀─ connect
//!       │ unix: mode 0600, the peer's user checked      owner of the socket checked │
//!       └ tcp:  certificates of both sides (tls)  ──────────────────────────────────┘
//! ```
//!
//! Whoever can't show that it may speak here is turned away before a byte of it is read as a message.

mod connect;
mod json_lines;
mod listen;
mod tls;

use tokio::io::{AsyncRead, AsyncWrite};

pub use connect::{connect, ConnectError, Connector};
pub use json_lines::{JsonLines, JsonLinesError};
pub use listen::{BindError, Listener};
pub use tls::{TlsError, TlsFiles};

/// A stream of either kind.
pub(crate) trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}
