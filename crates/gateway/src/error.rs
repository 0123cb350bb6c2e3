//! Why a gateway can't start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use fleet::InvalidName;
use gateway_policy::interface::SettingsError;
use operator_config::OperatorConfigError;
use transport::{BindError, TlsError};

use crate::config::ConfigError;
use crate::server::SocketError;

/// Why a gateway can't start. Its text is one line that names the variable, file, key or socket at fault.
#[derive(Debug)]
pub enum StartError {
    /// `GW_CONFIG` names no configuration.
    ConfigUnset,
    /// The operator's file can't be used.
    OperatorConfig(OperatorConfigError),
    /// The configuration can't be used.
    Config(ConfigError),
    /// The policy does not accept the settings.
    Settings(SettingsError),
    /// The asynchronous runtime does not start.
    Runtime(io::Error),
    /// A signal can't be listened for.
    Signal {
        /// The signal's name.
        name: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// The clients' socket can't be opened, or its address can't be told.
    Listen(io::Error),
    /// The clients' socket that the platform holds can't be used.
    InheritedSocket(SocketError),
    /// The second address can't be listened at.
    Management {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The admin listener can't be opened.
    AdminBind(BindError),
    /// The admin listener's address can't be told.
    AdminAddress(io::Error),
    /// The certificates for the agent can't be used.
    AdminTls(TlsError),
    /// The gateway's name is none that the agent takes.
    Name {
        /// What the name is needed for.
        purpose: &'static str,
        /// What is wrong with it.
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
            StartError::Name { purpose, source } => write!(f, "{purpose}: {source}"),
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
