//! The listening side: checks the user behind a Unix socket, or the client's certificate.

use std::fmt;
use std::fs;
use std::io;
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

use operator_config::{Address, TlsConfig};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;

use crate::json_lines::JsonLines;
use crate::tls::{TlsError, TlsFiles};
use crate::{Stream, ROOT_USER};

/// Timeout of TLS handshakes. A silent peer takes up one of a limited number of connections.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// File mode of Unix sockets: only the owner may connect.
const SOCKET_MODE: u32 = 0o600;

/// Why a listener can't be opened.
#[derive(Debug)]
pub enum BindError {
    /// Something else exists at the path of the Unix socket.
    PathInUse(PathBuf, PathOccupant),
    /// The system's error.
    Io(Address, io::Error),
    /// The certificates can't be used.
    Tls(TlsError),
}

/// What exists at the path of a Unix socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathOccupant {
    /// A file that is not a socket.
    File,
    /// A socket on which a process listens.
    Listener,
}

impl fmt::Display for PathOccupant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PathOccupant::File => "is there and no socket",
            PathOccupant::Listener => "something listens there already",
        })
    }
}

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BindError::PathInUse(path, occupant) => write!(f, "unix:{}: {occupant}", path.display()),
            BindError::Io(address, error) => write!(f, "{address}: {error}"),
            BindError::Tls(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for BindError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            BindError::PathInUse(..) => None,
            BindError::Io(_, error) => Some(error),
            BindError::Tls(error) => Some(error),
        }
    }
}

enum ListenerKind {
    Unix { listener: UnixListener, path: PathBuf, owner: u32 },
    Tls { listener: TcpListener, acceptor: TlsAcceptor },
}

/// A listener. Dropping it removes its Unix socket.
pub struct Listener {
    kind: ListenerKind,
    max_line_bytes: usize,
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener").field("max_line_bytes", &self.max_line_bytes).finish_non_exhaustive()
    }
}

enum IncomingKind {
    Unix { stream: UnixStream, owner: u32 },
    Tls { stream: TcpStream, acceptor: TlsAcceptor },
}

/// An accepted connection whose peer is not authorized yet.
pub struct IncomingConnection {
    kind: IncomingKind,
    max_line_bytes: usize,
}

impl Listener {
    /// Listens at an address; longer lines than `max_line_bytes` are errors. TCP requires `tls`. A Unix
    /// socket on which no process listens any more is replaced.
    ///
    /// # Errors
    /// See [`BindError`].
    pub async fn bind(
        address: &Address,
        tls: Option<&TlsConfig>,
        max_line_bytes: usize,
    ) -> Result<Listener, BindError> {
        let failed = |error| BindError::Io(address.clone(), error);
        let kind = match address {
            Address::Unix(path) => {
                let listener = bind_private_socket(path).await?;
                let owner = fs::metadata(path).map_err(failed)?.uid();
                ListenerKind::Unix { listener, path: path.clone(), owner }
            }
            Address::Tcp(socket_address) => {
                let acceptor = tls_acceptor(tls).map_err(BindError::Tls)?;
                let listener = TcpListener::bind(socket_address).await.map_err(failed)?;
                ListenerKind::Tls { listener, acceptor }
            }
        };
        Ok(Listener { kind, max_line_bytes })
    }

    /// Returns the address, with the actual port if the system has chosen it.
    ///
    /// # Errors
    /// The system's error.
    pub fn address(&self) -> io::Result<Address> {
        Ok(match &self.kind {
            ListenerKind::Unix { path, .. } => Address::Unix(path.clone()),
            ListenerKind::Tls { listener, .. } => Address::Tcp(listener.local_addr()?),
        })
    }

    /// Accepts the next connection. Cancel safe.
    ///
    /// # Errors
    /// The system's error; a retry after a delay may succeed.
    pub async fn accept(&self) -> io::Result<IncomingConnection> {
        let kind = match &self.kind {
            ListenerKind::Unix { listener, owner, .. } => {
                let (stream, _) = listener.accept().await?;
                IncomingKind::Unix { stream, owner: *owner }
            }
            ListenerKind::Tls { listener, acceptor } => {
                let (stream, _) = listener.accept().await?;
                IncomingKind::Tls { stream, acceptor: acceptor.clone() }
            }
        };
        Ok(IncomingConnection { kind, max_line_bytes: self.max_line_bytes })
    }
}

impl IncomingConnection {
    /// Checks whether the peer is authorized. This waits for the peer, so it should run in a task of its own.
    ///
    /// # Errors
    /// `PermissionDenied` for a process of another user; the handshake error for a client certificate that is
    /// missing or not signed by one of the authorities; `TimedOut` if the handshake takes too long.
    pub async fn open(self) -> io::Result<JsonLines> {
        let stream: Box<dyn Stream> = match self.kind {
            IncomingKind::Unix { stream, owner } => {
                check_peer(&stream, owner)?;
                Box::new(stream)
            }
            IncomingKind::Tls { stream, acceptor } => {
                stream.set_nodelay(true)?;
                Box::new(timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await??)
            }
        };
        Ok(JsonLines::new(stream, self.max_line_bytes))
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let ListenerKind::Unix { path, .. } = &self.kind {
            let _ = fs::remove_file(path);
        }
    }
}

fn tls_acceptor(tls: Option<&TlsConfig>) -> Result<TlsAcceptor, TlsError> {
    let config = tls.ok_or_else(|| TlsError::Invalid("required for TCP, but not configured".into()))?;
    let server_config = TlsFiles::read(config)?.server()?;
    Ok(TlsAcceptor::from(server_config))
}

/// Rejects processes of other users. The mode of the socket does so too, but not on every file system.
fn check_peer(stream: &UnixStream, owner: u32) -> io::Result<()> {
    let user = stream.peer_cred()?.uid();
    if user == owner || user == ROOT_USER {
        return Ok(());
    }
    let message = format!("user {user} is not the owner, {owner}");
    Err(io::Error::new(io::ErrorKind::PermissionDenied, message))
}

/// Binds a Unix socket that only its owner can connect to. The mode is set under a temporary name before the
/// socket is renamed to `path`, so that it is never open to others there.
async fn bind_private_socket(path: &Path) -> Result<UnixListener, BindError> {
    check_replaceable(path).await?;
    let failed = |error| BindError::Io(Address::Unix(path.to_path_buf()), error);
    let mut temporary = path.as_os_str().to_os_string();
    temporary.push(format!(".{}", std::process::id()));
    let temporary = PathBuf::from(temporary);
    let _ = fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary).map_err(failed)?;
    let renamed = fs::set_permissions(&temporary, fs::Permissions::from_mode(SOCKET_MODE))
        .and_then(|()| fs::rename(&temporary, path));
    if renamed.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    renamed.map_err(failed)?;
    Ok(listener)
}

/// Checks that the path may be replaced: nothing exists there, or a socket on which no process listens.
async fn check_replaceable(path: &Path) -> Result<(), BindError> {
    let metadata = match fs::symlink_metadata(path) {
        Ok(metadata) => metadata,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(BindError::Io(Address::Unix(path.to_path_buf()), error)),
    };
    if !metadata.file_type().is_socket() {
        return Err(BindError::PathInUse(path.to_path_buf(), PathOccupant::File));
    }
    if UnixStream::connect(path).await.is_ok() {
        return Err(BindError::PathInUse(path.to_path_buf(), PathOccupant::Listener));
    }
    Ok(())
}
