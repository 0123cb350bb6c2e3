//! `[admin]`: the admin listener of a gateway, and certificates.

use std::path::PathBuf;

use serde::Deserialize;

use crate::problems::Problems;
use crate::Address;

/// The admin listener of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Admin", expecting = "struct Admin")]
pub struct AdminConfig {
    /// Where it listens; [`NAME_MARK`](crate::NAME_MARK) in a path stands for the gateway's name. Over TCP
    /// only with `tls`.
    pub listen: Address,
    /// Where the agent takes registrations, [`AgentConfig::register`](crate::AgentConfig::register), if the
    /// gateway is to register.
    pub agent: Option<Address>,
    /// Certificates, for TCP.
    pub tls: Option<TlsConfig>,
}

/// Certificates of one side, PEM files. Each side shows its own, and names the authorities that it trusts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Tls", expecting = "struct Tls")]
pub struct TlsConfig {
    /// Its own chain.
    pub certificate: PathBuf,
    /// Its own key.
    pub key: PathBuf,
    /// The authorities that sign the certificates of the other side.
    pub authorities: PathBuf,
}

impl AdminConfig {
    /// Without certificates, whoever reaches a TCP port could order drains.
    pub(crate) fn validate(&self, problems: &mut Problems) {
        if self.tls.is_some() {
            return;
        }
        if self.listen.is_tcp() {
            let wanted = "TCP needs [admin.tls]; or name a Unix socket, as in unix:/run/{name}.sock";
            problems.add("admin.listen", wanted);
        }
        if self.agent.as_ref().is_some_and(Address::is_tcp) {
            problems.add("admin.agent", "TCP needs [admin.tls]");
        }
    }
}
