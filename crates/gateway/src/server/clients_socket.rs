//! The clients' listening socket: inherited from the platform, which keeps it open across processes, or
//! opened by this process.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::error::StartError;

/// Environment variable with the file descriptor of an inherited socket.
const SOCKET_VARIABLE: &str = "GW_SOCKET_FD";

/// An error that makes the inherited socket unusable.
#[derive(Debug)]
pub struct SocketError {
    /// Value of [`SOCKET_VARIABLE`].
    descriptor: String,
    problem: Problem,
}

#[derive(Debug)]
enum Problem {
    /// The value is not the number of a file descriptor.
    InvalidNumber,
    /// There is no socket with this number.
    NoSocket,
    Io(io::Error),
}

impl fmt::Display for SocketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{SOCKET_VARIABLE}: {:?}: ", self.descriptor)?;
        match &self.problem {
            Problem::InvalidNumber => f.write_str("not a valid file descriptor number"),
            Problem::NoSocket => f.write_str("not an open socket"),
            Problem::Io(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for SocketError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.problem {
            Problem::InvalidNumber | Problem::NoSocket => None,
            Problem::Io(e) => Some(e),
        }
    }
}

/// Opens the clients' socket: the inherited one if [`SOCKET_VARIABLE`] is set, otherwise a new one at
/// `address`.
pub(super) async fn open(address: SocketAddr) -> Result<TcpListener, StartError> {
    match std::env::var(SOCKET_VARIABLE) {
        Ok(descriptor) => inherited(&descriptor)
            .map_err(|problem| StartError::InheritedSocket(SocketError { descriptor, problem })),
        Err(_) => TcpListener::bind(address).await.map_err(StartError::Listen),
    }
}

fn inherited(descriptor: &str) -> Result<TcpListener, Problem> {
    descriptor.parse::<u16>().map_err(|_| Problem::InvalidNumber)?;
    // `listenfd` reads the variables of systemd's socket activation. Setting them is safe, as no other thread
    // is running yet that could read the environment.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor);
    std::env::remove_var("LISTEN_PID");
    let listener = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let socket = listener.map_err(Problem::Io)?.ok_or(Problem::NoSocket)?;
    socket.set_nonblocking(true).map_err(Problem::Io)?;
    TcpListener::from_std(socket).map_err(Problem::Io)
}
