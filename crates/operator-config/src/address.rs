//! Where an admin listener or an agent listens.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Stands for a gateway's name in the path of its socket.
pub const NAME_MARK: &str = "{name}";

/// A Unix socket, `unix:PATH`, or an address with a port, `tcp:ADDRESS:PORT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Address {
    /// A socket in the file system, which only its owner can connect to.
    Unix(PathBuf),
    /// TCP, with certificates of both sides.
    Tcp(SocketAddr),
}

impl Address {
    /// Whether it is TCP.
    #[must_use]
    pub fn is_tcp(&self) -> bool {
        matches!(self, Address::Tcp(_))
    }

    /// The address of a gateway of this name. A slash in the name becomes an underscore, so that the path
    /// can't lead elsewhere.
    #[must_use]
    pub fn for_gateway(&self, name: &str) -> Address {
        match self {
            Address::Unix(path) => {
                let path = path.to_string_lossy().replace(NAME_MARK, &name.replace(['/', '\0'], "_"));
                Address::Unix(path.into())
            }
            Address::Tcp(address) => Address::Tcp(*address),
        }
    }
}

/// The error for a text that is no address.
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
