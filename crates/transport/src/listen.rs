//! The listening side.

use std::fmt;
use std::fs;
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

use operator_config::{Address, TlsConfig};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;

use crate::json_lines::JsonLines;
use crate::tls::{TlsError, TlsFiles};

/// How long a handshake may take. Danger: one that connects and says nothing holds up no one but itself, but
/// it holds a place.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// A listener that can't be had.
#[derive(Debug)]
pub enum BindError {
    /// Something else listens there, or the path is no socket.
    Taken(PathBuf, &'static str),
    /// The system refuses.
    Io(Address, io::Error),
    /// Certificates that can't be used.
    Tls(TlsError),
}

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BindError::Taken(path, why) => write!(f, "unix:{}: {why}", path.display()),
            BindError::Io(address, e) => write!(f, "{address}: {e}"),
            BindError::Tls(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for BindError {}

enum Kind {
    Unix { listener: UnixListener, path: PathBuf, owner: u32 },
    Tls { listener: TcpListener, acceptor: TlsAcceptor },
}

/// A listener. A Unix socket is taken away with it.
pub struct Listener {
    kind: Kind,
    most: usize,
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener").field("most", &self.most).finish_non_exhaustive()
    }
}

/// A connection that came, and may not be allowed to speak.
pub struct IncomingConnection {
    kind: ArrivalKind,
    most: usize,
}

enum ArrivalKind {
    Unix(UnixStream, u32),
    Tls(tokio::net::TcpStream, TlsAcceptor),
}

impl Listener {
    /// Listens at an address for lines of at most so many bytes. TCP needs certificates. A socket that
    /// nobody listens on any more is replaced.
    ///
    /// # Errors
    /// A [`BindError`].
    pub async fn bind(
        address: &Address,
        tls: Option<&TlsConfig>,
        most: usize,
    ) -> Result<Listener, BindError> {
        let failed = |e| BindError::Io(address.clone(), e);
        let kind = match address {
            Address::Unix(path) => {
                let listener = private_socket(path).await?;
                let owner = fs::metadata(path).map_err(failed)?.uid();
                Kind::Unix { listener, path: path.clone(), owner }
            }
            Address::Tcp(at) => {
                let missing = || TlsError::Unfit("TCP needs them, and none are named".to_string());
                let files = tls.ok_or_else(|| BindError::Tls(missing()))?;
                let server = TlsFiles::read(files).and_then(|f| f.server()).map_err(BindError::Tls)?;
                let listener = TcpListener::bind(at).await.map_err(failed)?;
                Kind::Tls { listener, acceptor: TlsAcceptor::from(server) }
            }
        };
        Ok(Listener { kind, most })
    }

    /// Where it listens, with the port that the system gave.
    ///
    /// # Errors
    /// The system's.
    pub fn address(&self) -> io::Result<Address> {
        Ok(match &self.kind {
            Kind::Unix { path, .. } => Address::Unix(path.clone()),
            Kind::Tls { listener, .. } => Address::Tcp(listener.local_addr()?),
        })
    }

    /// The next connection. Cancelling loses none.
    ///
    /// # Errors
    /// The system's; worth another try after a pause.
    pub async fn accept(&self) -> io::Result<IncomingConnection> {
        let kind = match &self.kind {
            Kind::Unix { listener, owner, .. } => ArrivalKind::Unix(listener.accept().await?.0, *owner),
            Kind::Tls { listener, acceptor } => {
                ArrivalKind::Tls(listener.accept().await?.0, acceptor.clone())
            }
        };
        Ok(IncomingConnection { kind, most: self.most })
    }
}

impl IncomingConnection {
    /// Finds out whether it may speak. This waits for the other side and so belongs in a task of its own.
    ///
    /// # Errors
    /// `PermissionDenied` for another user's process, the handshake's own error for a certificate that is
    /// missing or that no authority signed, `TimedOut` for one that says nothing.
    pub async fn open(self) -> io::Result<JsonLines> {
        match self.kind {
            ArrivalKind::Unix(stream, owner) => {
                let user = stream.peer_cred()?.uid();
                // The socket's mode says the same; this also holds where a file system knows no modes.
                if user != owner && user != 0 {
                    let text = format!("user {user} is not the owner, {owner}");
                    return Err(io::Error::new(io::ErrorKind::PermissionDenied, text));
                }
                Ok(JsonLines::new(Box::new(stream), self.most))
            }
            ArrivalKind::Tls(stream, acceptor) => {
                stream.set_nodelay(true)?;
                let stream = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await??;
                Ok(JsonLines::new(Box::new(stream), self.most))
            }
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Kind::Unix { path, .. } = &self.kind {
            let _ = fs::remove_file(path);
        }
    }
}

/// A Unix socket that only its owner can connect to. Danger: a moment in which it stands there for all. It
/// gets its mode under another name, and then the name.
async fn private_socket(path: &Path) -> Result<UnixListener, BindError> {
    let failed = |e| BindError::Io(Address::Unix(path.to_path_buf()), e);
    match fs::symlink_metadata(path) {
        Ok(there) => {
            use std::os::unix::fs::FileTypeExt;
            // Danger: a file of somebody's, deleted as its name was mistaken for a socket's.
            if !there.file_type().is_socket() {
                return Err(BindError::Taken(path.to_path_buf(), "is there and no socket"));
            }
            if UnixStream::connect(path).await.is_ok() {
                return Err(BindError::Taken(path.to_path_buf(), "something listens there already"));
            }
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(failed(e)),
    }
    let mut hidden = path.as_os_str().to_os_string();
    hidden.push(format!(".{}", std::process::id()));
    let hidden = PathBuf::from(hidden);
    let _ = fs::remove_file(&hidden);
    let listener = UnixListener::bind(&hidden).map_err(failed)?;
    let named = fs::set_permissions(&hidden, fs::Permissions::from_mode(0o600))
        .and_then(|()| fs::rename(&hidden, path));
    if named.is_err() {
        let _ = fs::remove_file(&hidden);
    }
    named.map_err(failed)?;
    Ok(listener)
}
