//! Connections between tools, agent and gateways that carry one JSON value per line.
//!
//! ```text
//!  Listener::bind ─ accept ─▶ IncomingConnection ─ open ─▶ JsonLines ◀─ connect
//!
//!  Unix sockets: the socket has mode 0600; the listener checks the peer's user, the connecting side checks
//!                the owner of the socket
//!  TCP:          mutual TLS; both sides check the other's certificate
//! ```
//!
//! A peer that is not authorized is rejected before any of its bytes is read as a message.

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

/// User id of root.
pub(crate) const ROOT_USER: u32 = 0;

/// A byte stream over a Unix socket or TLS.
pub(crate) trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}
