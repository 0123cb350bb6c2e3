//! Listen addresses of admin listeners and agents.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Placeholder for a gateway's name in the path of its socket.
pub const NAME_PLACEHOLDER: &str = "{name}";

/// A Unix socket, `unix:PATH`, or an address with a port, `tcp:ADDRESS:PORT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Address {
    /// A Unix socket, which only its owner can connect to.
    Unix(PathBuf),
    /// TCP with mutual TLS.
    Tcp(SocketAddr),
}

impl Address {
    /// Returns whether it is a TCP address.
    #[must_use]
    pub fn is_tcp(&self) -> bool {
        matches!(self, Address::Tcp(_))
    }

    /// Returns the address of the gateway `name`. Slashes and null characters in the name become underscores,
    /// so that the name cannot change the directory.
    #[must_use]
    pub fn for_gateway(&self, name: &str) -> Address {
        match self {
            Address::Unix(path) => {
                let path = path.to_string_lossy().replace(NAME_PLACEHOLDER, &name.replace(['/', '\0'], "_"));
                Address::Unix(path.into())
            }
            Address::Tcp(address) => Address::Tcp(*address),
        }
    }
}

/// Error for a text that is not a valid address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidAddress;

impl fmt::Display for InvalidAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unix:PATH or tcp:ADDRESS:PORT is wanted")
    }
}

impl std::error::Error for InvalidAddress {}

impl FromStr for Address {
    type Err = InvalidAddress;

    fn from_str(text: &str) -> Result<Self, InvalidAddress> {
        match text.split_once(':') {
            Some(("unix", path)) if !path.is_empty() => Ok(Address::Unix(path.into())),
            Some(("tcp", address)) => address.parse().map(Address::Tcp).map_err(|_| InvalidAddress),
            _ => Err(InvalidAddress),
        }
    }
}

impl TryFrom<String> for Address {
    type Error = InvalidAddress;

    fn try_from(text: String) -> Result<Self, InvalidAddress> {
        text.parse()
    }
}

impl From<Address> for String {
    fn from(address: Address) -> String {
        address.to_string()
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Unix(path) => write!(f, "unix:{}", path.display()),
            Address::Tcp(address) => write!(f, "tcp:{address}"),
        }
    }
}
