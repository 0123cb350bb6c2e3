//! Lines of JSON between tools, agent and gateways.
//!
//! ```text
//!  Listener::bind ─ accept ─▶ JsonLines ◀─ connect
//!       │ unix: mode 0600, the peer's user checked      owner of the socket checked │
//!       └ tcp:  certificates of both sides (tls)  ──────────────────────────────────┘
//! ```
//!
//! A peer that can't prove that it may speak is rejected before a byte of it is read as a message.

mod connect;
mod json_lines;
mod listen;
mod serve;
mod tls;

use tokio::io::{AsyncRead, AsyncWrite};

pub use connect::{connect, ConnectError, Connector};
pub use json_lines::{JsonLines, JsonLinesError};
pub use listen::{BindError, IncomingConnection, Listener, PathOccupant};
pub use serve::serve;
pub use tls::{TlsError, TlsFiles};

/// The user id of root.
pub(crate) const ROOT_USER: u32 = 0;

/// A stream of either kind.
pub(crate) trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}
