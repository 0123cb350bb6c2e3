//! Reads and validates the operator's file, `operator.toml`. Errors name the file, and the line or the key.
//!
//! These settings are independent of the platform's own configuration. A gateway without such a file opens no
//! admin listener.

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

pub use address::{Address, InvalidAddress, NAME_PLACEHOLDER};
pub use admin::{AdminConfig, TlsConfig};
pub use agent::{AgentConfig, GatewayConfig};
pub use error::OperatorConfigError;
pub use routing::RoutingConfig;
pub use sources::SourcesConfig;
pub use start::StartConfig;

/// Maximum number of gateways that an agent manages.
pub const MAX_GATEWAYS: usize = 10_000;

/// Content of the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Operator", expecting = "struct Operator")]
pub struct OperatorConfig {
    /// Admin listener of each gateway. `None`: gateways have no admin listener.
    pub admin: Option<AdminConfig>,
    /// Number of backends that each gateway considers.
    #[serde(default)]
    pub routing: RoutingConfig,
    /// Coordinated start of the gateways of a fleet. `None`: each gateway starts independently.
    pub start: Option<StartConfig>,
    /// Settings of the agent.
    pub agent: Option<AgentConfig>,
    /// Sources of the endpoint list that the agent serves. `None`: it serves no list.
    pub sources: Option<SourcesConfig>,
    /// Gateways that the agent manages from its start on.
    #[serde(default, rename = "gateway")]
    pub gateways: Vec<GatewayConfig>,
}

impl OperatorConfig {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// An [`OperatorConfigError`] if the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| OperatorConfigError::Unreadable(path.to_path_buf(), error))?;
        OperatorConfig::parse(path, &text)
    }

    /// Parses and validates the text of a file; `path` only appears in errors.
    ///
    /// # Errors
    /// An [`OperatorConfigError`] if the text is invalid.
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

    /// Returns the invalid values, each as its key and a description of the problem.
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

    /// Returns whether gateways have the address of an agent. In a file without `[admin]`, which is for the
    /// agent alone, returns whether there is an agent.
    fn has_agent(&self) -> bool {
        match &self.admin {
            Some(admin) => admin.agent.is_some(),
            None => self.agent.is_some(),
        }
    }
}
