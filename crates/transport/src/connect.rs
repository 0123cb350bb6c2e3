//! The calling side.

use std::fmt;
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use operator_config::{Address, TlsConfig};
use rustls::pki_types::ServerName;
use rustls::ClientConfig;
use tokio::net::{TcpStream, UnixStream};
use tokio::time::timeout;
use tokio_rustls::TlsConnector;

use crate::json_lines::JsonLines;
use crate::tls::{TlsError, TlsFiles};

/// Why the other side can't be spoken to.
#[derive(Debug)]
pub enum ConnectError {
    /// Nobody listens, or it can't be reached.
    Io(Address, io::Error),
    /// It did not come up in time.
    TimedOut(Address),
    /// The socket belongs to another user, who may be anybody.
    Owner(Address, u32),
    /// TCP, and no certificates to show.
    NoCertificate(Address),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Io(address, e) => write!(f, "{address}: {e}"),
            ConnectError::TimedOut(address) => write!(f, "{address}: no connection in time"),
            ConnectError::Owner(address, user) => {
                write!(f, "{address}: the socket belongs to user {user}, who is neither root nor you")
            }
            ConnectError::NoCertificate(address) => write!(f, "{address}: no certificate to show"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// Opens connections with one set of certificates.
#[derive(Clone, Default)]
pub struct Connector {
    tls: Option<Arc<ClientConfig>>,
}

impl fmt::Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dialer").field("tls", &self.tls.is_some()).finish()
    }
}

impl Connector {
    /// Reads the certificates, if any are named.
    ///
    /// # Errors
    /// A [`TlsError`] that names the file.
    pub fn new(tls: Option<&TlsConfig>) -> Result<Connector, TlsError> {
        let client = |files: &TlsConfig| TlsFiles::read(files).and_then(|f| f.client());
        Ok(Connector { tls: tls.map(client).transpose()? })
    }

    /// Connects within a time, for lines of at most so many bytes.
    ///
    /// # Errors
    /// A [`ConnectError`].
    pub async fn connect(
        &self,
        address: &Address,
        limit: Duration,
        most: usize,
    ) -> Result<JsonLines, ConnectError> {
        let opening = async {
            match address {
                Address::Unix(path) => {
                    foreign(path, address)?;
                    let stream = UnixStream::connect(path).await;
                    let stream = stream.map_err(|e| ConnectError::Io(address.clone(), e))?;
                    Ok(JsonLines::new(Box::new(stream), most))
                }
                Address::Tcp(at) => {
                    let tls = self.tls.clone().ok_or_else(|| ConnectError::NoCertificate(address.clone()))?;
                    let failed = |e| ConnectError::Io(address.clone(), e);
                    let stream = TcpStream::connect(at).await.map_err(failed)?;
                    stream.set_nodelay(true).map_err(failed)?;
                    let name = ServerName::IpAddress(at.ip().into());
                    let stream = TlsConnector::from(tls).connect(name, stream).await.map_err(failed)?;
                    Ok(JsonLines::new(Box::new(stream), most))
                }
            }
        };
        match timeout(limit, opening).await {
            Ok(result) => result,
            Err(_) => Err(ConnectError::TimedOut(address.clone())),
        }
    }
}

/// Connects to a Unix socket, or by TCP without any certificate, which every listener here refuses.
///
/// # Errors
/// A [`ConnectError`].
pub async fn connect(address: &Address, limit: Duration, most: usize) -> Result<JsonLines, ConnectError> {
    Connector::default().connect(address, limit, most).await
}

/// Danger: a socket that another user put where ours was to be, who then is told every order and answers as
/// it likes.
fn foreign(path: &Path, address: &Address) -> Result<(), ConnectError> {
    let owner = fs::metadata(path).map_err(|e| ConnectError::Io(address.clone(), e))?.uid();
    // Whose process this is: files in /proc/self belong to the effective user.
    let me = fs::metadata("/proc/self").map(|m| m.uid()).unwrap_or(owner);
    if owner == me || owner == 0 {
        Ok(())
    } else {
        Err(ConnectError::Owner(address.clone(), owner))
    }
}
