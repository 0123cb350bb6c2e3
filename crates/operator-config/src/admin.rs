//! `[admin]`: the admin listener of a gateway and its certificates.

use std::path::PathBuf;

use serde::Deserialize;

use crate::problems::Problems;
use crate::Address;

/// Settings of the admin listener of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Admin", expecting = "struct Admin")]
pub struct AdminConfig {
    /// Listen address. [`NAME_PLACEHOLDER`](crate::NAME_PLACEHOLDER) in a path stands for the gateway's name.
    /// TCP requires `tls`.
    pub listen: Address,
    /// Address of the agent's registration listener, [`AgentConfig::register`](crate::AgentConfig::register).
    /// `None`: the gateway does not register.
    pub agent: Option<Address>,
    /// Certificates for TCP.
    pub tls: Option<TlsConfig>,
}

/// PEM files for mutual TLS: the own certificate and key, and the trusted authorities.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Tls", expecting = "struct Tls")]
pub struct TlsConfig {
    /// Own certificate chain.
    pub certificate: PathBuf,
    /// Own private key.
    pub key: PathBuf,
    /// Authorities that sign the peer's certificate.
    pub authorities: PathBuf,
}

impl AdminConfig {
    /// Requires certificates for TCP: without them, anyone who can reach the port could order drains.
    pub(crate) fn validate(&self, problems: &mut Problems) {
        if self.tls.is_some() {
            return;
        }
        if self.listen.is_tcp() {
            let problem = "TCP needs [admin.tls]; or name a Unix socket, as in unix:/run/{name}.sock";
            problems.add("admin.listen", problem);
        }
        if self.agent.as_ref().is_some_and(Address::is_tcp) {
            problems.add("admin.agent", "TCP needs [admin.tls]");
        }
    }
}
