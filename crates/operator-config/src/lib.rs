//! The operator's file, `operator.toml`: read and validated. Errors name the file, and line and key.
//!
//! The platform's own configuration says nothing of what is in here, and a gateway that is given no such
//! file opens no admin listener.

mod address;
mod admin;
mod agent;
mod error;
mod problems;
mod routing;
mod sources;
mod start;

use std::path::Path;

use serde::Deserialize;

use problems::Problems;

pub use address::{Address, InvalidAddress, NAME_MARK};
pub use admin::{AdminConfig, TlsConfig};
pub use agent::{AgentConfig, GatewayConfig};
pub use error::OperatorConfigError;
pub use routing::RoutingConfig;
pub use sources::SourcesConfig;
pub use start::StartConfig;

/// The most gateways that an agent oversees.
pub const MAX_GATEWAYS: usize = 10_000;

/// The operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Operator", expecting = "struct Operator")]
pub struct OperatorConfig {
    /// The admin listener of each gateway. None: there is none.
    pub admin: Option<AdminConfig>,
    /// How many backends each gateway considers.
    #[serde(default)]
    pub routing: RoutingConfig,
    /// How gateways start as a fleet. None: each one starts as if it were alone.
    pub start: Option<StartConfig>,
    /// The agent.
    pub agent: Option<AgentConfig>,
    /// The sources of the endpoint list that the agent serves. None: it serves no list.
    pub sources: Option<SourcesConfig>,
    /// The gateways that the agent oversees from its start.
    #[serde(default, rename = "gateway")]
    pub gateways: Vec<GatewayConfig>,
}

impl OperatorConfig {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// An [`OperatorConfigError`].
    pub fn read(path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| OperatorConfigError::Unreadable(path.to_path_buf(), error))?;
        OperatorConfig::parse(path, &text)
    }

    /// Parses and validates the text of a file; `path` is only named in errors.
    ///
    /// # Errors
    /// An [`OperatorConfigError`].
    pub fn parse(path: &Path, text: &str) -> Result<OperatorConfig, OperatorConfigError> {
        let config: OperatorConfig = toml::from_str(text)
            .map_err(|error| OperatorConfigError::Toml(path.to_path_buf(), error.to_string()))?;
        let problems = config.validate();
        if problems.is_empty() {
            Ok(config)
        } else {
            Err(OperatorConfigError::Values(path.to_path_buf(), problems))
        }
    }

    /// What does not fit: key and what is wanted, for each.
    fn validate(&self) -> Vec<(String, String)> {
        let mut problems = Problems::default();
        if let Some(admin) = &self.admin {
            admin.validate(&mut problems);
        }
        self.routing.validate(&mut problems);
        if let Some(start) = &self.start {
            start.validate(self.has_agent(), &mut problems);
        }
        if let Some(agent) = &self.agent {
            agent.validate(&mut problems);
        }
        if let Some(sources) = &self.sources {
            sources.validate(&mut problems);
        }
        let has_tls = self.agent.as_ref().is_some_and(|agent| agent.tls.is_some());
        agent::validate_gateways(&self.gateways, has_tls, &mut problems);
        problems.into_vec()
    }

    /// Whether gateways know an agent; in a file of the agent alone, whether there is one.
    fn has_agent(&self) -> bool {
        match &self.admin {
            Some(admin) => admin.agent.is_some(),
            None => self.agent.is_some(),
        }
    }
}
