//! The clients' socket: one that the platform holds across processes, or one of this process.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::error::StartError;

/// Names the descriptor of the clients' socket, where the platform holds it.
const SOCKET_VARIABLE: &str = "GW_SOCKET_FD";

/// Why the socket that the platform holds can't be used.
#[derive(Debug)]
pub struct SocketError {
    /// The value of the variable.
    descriptor: String,
    problem: Problem,
}

#[derive(Debug)]
enum Problem {
    NoNumber,
    NoSocket,
    Io(io::Error),
}

impl fmt::Display for SocketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{SOCKET_VARIABLE}: {:?}: ", self.descriptor)?;
        match &self.problem {
            Problem::NoNumber => f.write_str("the number of a descriptor is wanted"),
            Problem::NoSocket => f.write_str("no socket"),
            Problem::Io(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for SocketError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.problem {
            Problem::NoNumber | Problem::NoSocket => None,
            Problem::Io(e) => Some(e),
        }
    }
}

/// Opens the clients' socket: the one that the platform holds, if it names a descriptor, else one of its own.
pub(super) async fn open(address: SocketAddr) -> Result<TcpListener, StartError> {
    match std::env::var(SOCKET_VARIABLE) {
        Ok(descriptor) => inherited(&descriptor)
            .map_err(|problem| StartError::InheritedSocket(SocketError { descriptor, problem })),
        Err(_) => TcpListener::bind(address).await.map_err(StartError::Listen),
    }
}

fn inherited(descriptor: &str) -> Result<TcpListener, Problem> {
    descriptor.parse::<u16>().map_err(|_| Problem::NoNumber)?;
    // `listenfd` goes by the names that systemd gives; no other thread runs yet that could read them.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor);
    std::env::remove_var("LISTEN_PID");
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let socket = taken.map_err(Problem::Io)?.ok_or(Problem::NoSocket)?;
    socket.set_nonblocking(true).map_err(Problem::Io)?;
    TcpListener::from_std(socket).map_err(Problem::Io)
}
