//! Errors at the start of a gateway.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use fleet::InvalidName;
use gateway_policy::interface::SettingsError;
use operator_config::OperatorConfigError;
use transport::{BindError, TlsError};

use crate::config::ConfigError;
use crate::server::SocketError;

/// An error that keeps a gateway from starting. It is displayed as one line that names the environment
/// variable, file, key or socket at fault.
#[derive(Debug)]
pub enum StartError {
    /// `GW_CONFIG` is not set.
    ConfigUnset,
    /// The operator's file can't be read or is invalid.
    OperatorConfig(OperatorConfigError),
    /// The configuration can't be read or is invalid.
    Config(ConfigError),
    /// The policy rejects the settings.
    Settings(SettingsError),
    /// The asynchronous runtime can't be started.
    Runtime(io::Error),
    /// The handler of a signal can't be installed.
    Signal {
        /// Name of the signal.
        name: &'static str,
        source: io::Error,
    },
    /// The clients' socket can't be opened, or its address is unavailable.
    Listen(io::Error),
    /// The clients' socket that was passed to the process can't be used.
    InheritedSocket(SocketError),
    /// The management address can't be bound.
    Management { address: SocketAddr, source: io::Error },
    /// The admin listener can't be opened.
    AdminBind(BindError),
    /// The address of the admin listener is unavailable.
    AdminAddress(io::Error),
    /// The TLS certificates for connections to the agent can't be used.
    AdminTls(TlsError),
    /// The gateway's name is not valid for the agent.
    Name {
        /// What the name is needed for.
        purpose: &'static str,
        source: InvalidName,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::ConfigUnset => f.write_str("GW_CONFIG: missing"),
            StartError::OperatorConfig(e) => e.fmt(f),
            StartError::Config(e) => e.fmt(f),
            StartError::Settings(e) => e.fmt(f),
            StartError::Runtime(e) => write!(f, "runtime: {e}"),
            StartError::Signal { name, source } => write!(f, "{name}: {source}"),
            StartError::Listen(e) => write!(f, "listen: {e}"),
            StartError::InheritedSocket(e) => e.fmt(f),
            StartError::Management { address, source } => write!(f, "management: {address}: {source}"),
            StartError::AdminBind(e) => write!(f, "admin: {e}"),
            StartError::AdminAddress(e) => write!(f, "admin: {e}"),
            StartError::AdminTls(e) => write!(f, "admin: {e}"),
            StartError::Name { purpose, source } => write!(f, "gateway name, needed {purpose}: {source}"),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::ConfigUnset => None,
            StartError::OperatorConfig(e) => Some(e),
            StartError::Config(e) => Some(e),
            StartError::Settings(e) => Some(e),
            StartError::Runtime(e) | StartError::Listen(e) | StartError::AdminAddress(e) => Some(e),
            StartError::Signal { source, .. } | StartError::Management { source, .. } => Some(source),
            StartError::InheritedSocket(e) => Some(e),
            StartError::AdminBind(e) => Some(e),
            StartError::AdminTls(e) => Some(e),
            StartError::Name { source, .. } => Some(source),
        }
    }
}
