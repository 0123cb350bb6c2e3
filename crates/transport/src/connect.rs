//! The connecting side: checks the owner of a Unix socket, or the server's certificate.

use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
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
use crate::{Stream, ROOT_USER};

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// The system's or the TLS library's error, e.g. because no process listens at the address.
    Io(Address, io::Error),
    /// The connection was not established within the timeout.
    TimedOut(Address),
    /// The Unix socket belongs to another user, with this id, who can't be trusted.
    Owner(Address, u32),
    /// The address is TCP, and no client certificate is configured.
    NoCertificate(Address),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Io(address, error) => write!(f, "{address}: {error}"),
            ConnectError::TimedOut(address) => write!(f, "{address}: no connection in time"),
            ConnectError::Owner(address, user) => {
                write!(f, "{address}: the socket belongs to user {user}, not to root or the current user")
            }
            ConnectError::NoCertificate(address) => write!(f, "{address}: no certificate to show"),
        }
    }
}

impl std::error::Error for ConnectError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConnectError::Io(_, error) => Some(error),
            _ => None,
        }
    }
}

/// Opens connections, with a client certificate if one is configured.
#[derive(Clone, Default)]
pub struct Connector {
    tls: Option<Arc<ClientConfig>>,
}

impl fmt::Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connector").field("tls", &self.tls.is_some()).finish()
    }
}

impl Connector {
    /// Reads the certificate files, if any are configured.
    ///
    /// # Errors
    /// A [`TlsError`] if the files can't be read or used.
    pub fn new(tls: Option<&TlsConfig>) -> Result<Connector, TlsError> {
        let client_config = |config: &TlsConfig| TlsFiles::read(config)?.client();
        Ok(Connector { tls: tls.map(client_config).transpose()? })
    }

    /// Connects within `connect_timeout`; longer lines than `max_line_bytes` are errors.
    ///
    /// # Errors
    /// See [`ConnectError`].
    pub async fn connect(
        &self,
        address: &Address,
        connect_timeout: Duration,
        max_line_bytes: usize,
    ) -> Result<JsonLines, ConnectError> {
        let connecting = async {
            let stream = match address {
                Address::Unix(path) => connect_unix(path, address).await?,
                Address::Tcp(socket_address) => self.connect_tls(*socket_address, address).await?,
            };
            Ok(JsonLines::new(stream, max_line_bytes))
        };
        timeout(connect_timeout, connecting)
            .await
            .unwrap_or_else(|_| Err(ConnectError::TimedOut(address.clone())))
    }

    async fn connect_tls(
        &self,
        socket_address: SocketAddr,
        address: &Address,
    ) -> Result<Box<dyn Stream>, ConnectError> {
        let tls = self.tls.clone().ok_or_else(|| ConnectError::NoCertificate(address.clone()))?;
        let failed = |error| ConnectError::Io(address.clone(), error);
        let stream = TcpStream::connect(socket_address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let name = ServerName::IpAddress(socket_address.ip().into());
        let stream = TlsConnector::from(tls).connect(name, stream).await.map_err(failed)?;
        Ok(Box::new(stream))
    }
}

/// Connects without a client certificate, which suffices for Unix sockets only.
///
/// # Errors
/// See [`ConnectError`]; for a TCP address always [`ConnectError::NoCertificate`].
pub async fn connect(
    address: &Address,
    connect_timeout: Duration,
    max_line_bytes: usize,
) -> Result<JsonLines, ConnectError> {
    Connector::default().connect(address, connect_timeout, max_line_bytes).await
}

async fn connect_unix(path: &Path, address: &Address) -> Result<Box<dyn Stream>, ConnectError> {
    check_owner(path, address)?;
    let stream = UnixStream::connect(path).await.map_err(|error| ConnectError::Io(address.clone(), error))?;
    Ok(Box::new(stream))
}

/// Rejects a socket that another user may have put in place of the agent's or gateway's: that user would
/// receive every order and could forge responses.
fn check_owner(path: &Path, address: &Address) -> Result<(), ConnectError> {
    let owner = fs::metadata(path).map_err(|error| ConnectError::Io(address.clone(), error))?.uid();
    // /proc/self belongs to the effective user of this process.
    let user = fs::metadata("/proc/self").map(|metadata| metadata.uid()).unwrap_or(owner);
    if owner == user || owner == ROOT_USER {
        Ok(())
    } else {
        Err(ConnectError::Owner(address.clone(), owner))
    }
}
