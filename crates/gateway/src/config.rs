//! The configuration that a gateway starts with.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use slatelock::interface::{Settings, SettingsError};
use slatelock::settings::{self, Keys, Names};

use crate::discovery::List;

/// Whom the gateway calls; a new configuration may name others.
#[derive(Clone, Copy, Debug)]
pub struct Peers {
    pub discovery: SocketAddr,
    /// `None` where the settings know no counter.
    pub counter: Option<SocketAddr>,
}

/// What the configuration tells.
pub struct Config {
    /// Its name, by which operators call it; empty where the configuration has none.
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Peers,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: List,
    pub settings: Settings,
    pub names: Names,
}

impl Config {
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read(path).map_err(|e| ConfigError::File(path.to_path_buf(), e))?;
        Ok(Config::parse(&text)?)
    }

    pub fn parse(text: &[u8]) -> Result<Config, SettingsError> {
        let json = settings::from_json("configuration", text)?;
        let top = Keys::new("configuration", &json);
        let address = |key: &str| match top.text(key)?.parse() {
            Ok(address) => Ok(address),
            Err(_) => Err(top.wrong(key, "an address with a port is wanted")),
        };
        let told = top.section("settings")?;
        let settings = settings::read(&told)?;
        settings.check()?;
        let seed = u64::from_str_radix(top.text("seed")?, 16);
        let known = List::deserialize(top.get("known")?);
        Ok(Config {
            name: top.text("name").unwrap_or_default().to_string(),
            listen: address("listen")?,
            peers: Peers {
                discovery: address("discovery")?,
                counter: if settings.counter { Some(address("counter")?) } else { None },
            },
            seed: seed.map_err(|_| top.wrong("seed", "a hex number is wanted"))?,
            sockets: top.section("limits")?.whole("sockets")? as usize,
            memory_mb: top.section("limits")?.whole("memory_mb")? as usize,
            known: known.map_err(|_| top.wrong("known", "a list of backends is wanted"))?,
            names: settings::names(&told)?,
            settings,
        })
    }
}

/// Why a configuration can't be had.
#[derive(Debug)]
pub enum ConfigError {
    File(PathBuf, std::io::Error),
    Settings(SettingsError),
}

impl From<SettingsError> for ConfigError {
    fn from(e: SettingsError) -> Self {
        ConfigError::Settings(e)
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::File(path, e) => write!(f, "GW_CONFIG: {}: {e}", path.display()),
            ConfigError::Settings(e) => e.fmt(f),
        }
    }
}
