//! The configuration that a gateway starts with.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use gateway_policy::interface::SettingsError;
use gateway_policy::reload::{self, ServiceSettings};
use gateway_policy::settings::{self, SettingsReader};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::endpoint_list::EndpointList;

/// Names the second address, where the configuration does not.
const MANAGEMENT_VARIABLE: &str = "GW_MANAGEMENT";
/// What is wrong with a value that is no address.
const ADDRESS_WANTED: &str = "an address with a port is wanted";

/// Whom the gateway calls; a new configuration may name others.
#[derive(Clone, Copy, Debug)]
pub struct Peers {
    pub discovery: SocketAddr,
    /// `None` where the settings know no counter.
    pub counter: Option<SocketAddr>,
}

/// What a configuration says.
pub struct Config {
    /// Its name, by which operators call it; empty where the configuration has none.
    pub name: String,
    pub listen: SocketAddr,
    /// The second address, for operators' calls.
    pub management: Option<SocketAddr>,
    pub peers: Peers,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: EndpointList,
    pub service_settings: ServiceSettings,
    /// The text of it but for `known`; a later one may lack none of its keys.
    source: Value,
}

/// Keys that a later configuration may lack.
const OPTIONAL_KEYS: [&str; 2] = ["name", "management"];

/// The text of a configuration. A list of thousands of backends is kept as text: as a tree of values it takes
/// ten times what the list does, and more than all else at the start.
#[derive(Deserialize)]
struct Text<'a> {
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

impl<'a> Text<'a> {
    fn read(text: &'a [u8]) -> Result<(Option<&'a RawValue>, Value), SettingsError> {
        match serde_json::from_slice::<Text<'a>>(text) {
            Ok(Text { known, rest }) => Ok((known, Value::Object(rest))),
            // Other JSON, whose keys are all missing, or none at all.
            Err(_) => Ok((None, settings::from_json("configuration", text)?)),
        }
    }
}

impl Config {
    /// Reads a file; the second address may come from a variable.
    ///
    /// # Errors
    /// What the file system says, or the first key that is wrong.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read(path).map_err(|e| ConfigError::File(path.to_path_buf(), e))?;
        let mut config = Config::parse(&text)?;
        if config.management.is_none() {
            config.management = management_of_environment()?;
        }
        Ok(config)
    }

    /// Reads a text.
    ///
    /// # Errors
    /// The first key that is wrong.
    pub fn parse(text: &[u8]) -> Result<Config, SettingsError> {
        let (known, json) = Text::read(text)?;
        let config = Config::from(known, &SettingsReader::new("configuration", &json))?;
        Ok(Config { source: json, ..config })
    }

    /// Whether this configuration has all the keys that one before it has.
    ///
    /// # Errors
    /// The first that it lacks.
    pub fn has_all_of(&self, before: &Config) -> Result<(), SettingsError> {
        match reload::first_missing_key(&before.source, &self.source, "configuration", &OPTIONAL_KEYS) {
            Some(field) => Err(SettingsError { field, problem: "missing; the file before has it" }),
            None => Ok(()),
        }
    }

    /// All that is wrong with a configuration, not the first alone.
    pub fn problems(text: &[u8]) -> Vec<SettingsError> {
        let (known, json) = match Text::read(text) {
            Ok(read) => read,
            Err(e) => return vec![e],
        };
        let all = RefCell::new(Vec::new());
        let last = Config::from(known, &SettingsReader::collecting("configuration", &json, &all)).err();
        let mut all = all.into_inner();
        // What is found by looking at all of it counts only where its parts are right.
        if all.is_empty() {
            all.extend(last);
        }
        // A gateway starts without these lines; whoever checks wants to know.
        let listed = known.and_then(|text| EndpointList::parse(text.get().as_bytes()).ok());
        all.extend(listed.into_iter().flat_map(|list| list.rejected).map(|endpoint| SettingsError {
            field: format!("configuration.known.endpoints[{}]", endpoint.index),
            problem: "a backend is wanted, each name once; the gateway leaves this line out",
        }));
        all
    }

    fn from(known: Option<&RawValue>, top: &SettingsReader<'_>) -> Result<Config, SettingsError> {
        let section = top.section("settings")?;
        let settings = settings::read_settings(&section)?;
        // What stands in for a value that is wrong may fit no other.
        if top.is_valid() {
            top.recover(settings.validate(), ())?;
        }
        Ok(Config {
            name: top.get("name").ok().and_then(|name| name.as_str()).unwrap_or_default().to_string(),
            listen: read_address(top, "listen")?,
            management: top.value("management").map(|_| read_address(top, "management")).transpose()?,
            peers: Peers {
                discovery: read_address(top, "discovery")?,
                counter: settings.shared_counter.then(|| read_address(top, "counter")).transpose()?,
            },
            seed: read_seed(top)?,
            sockets: top.section("limits")?.integer("sockets")? as usize,
            memory_mb: top.section("limits")?.integer("memory_mb")? as usize,
            known: read_known(top, known)?,
            service_settings: ServiceSettings { names: settings::read_names(&section)?, settings },
            source: Value::Null,
        })
    }
}

fn read_address(top: &SettingsReader<'_>, key: &str) -> Result<SocketAddr, SettingsError> {
    let stand_in = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = top.get(key).and_then(|value| {
        let address = value.as_str().and_then(|text| text.parse().ok());
        address.ok_or_else(|| top.invalid(key, ADDRESS_WANTED))
    });
    top.recover(address, stand_in)
}

fn read_seed(top: &SettingsReader<'_>) -> Result<u64, SettingsError> {
    let seed = top.get("seed").and_then(|value| {
        let seed = value.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
        seed.ok_or_else(|| top.invalid("seed", "a hex number is wanted"))
    });
    top.recover(seed, 0)
}

fn read_known(top: &SettingsReader<'_>, known: Option<&RawValue>) -> Result<EndpointList, SettingsError> {
    let known = known.ok_or_else(|| top.invalid("known", "missing")).and_then(|text| {
        let list = EndpointList::parse(text.get().as_bytes());
        list.map_err(|_| top.invalid("known", "a list of backends is wanted"))
    });
    top.recover(known, EndpointList::empty())
}

/// The second address, as the variable names it.
fn management_of_environment() -> Result<Option<SocketAddr>, SettingsError> {
    let value = std::env::var(MANAGEMENT_VARIABLE).ok().filter(|value| !value.is_empty());
    let address = value.map(|value| value.parse()).transpose();
    address.map_err(|_| SettingsError { field: MANAGEMENT_VARIABLE.to_string(), problem: ADDRESS_WANTED })
}

/// Why a configuration can't be had.
#[derive(Debug)]
pub enum ConfigError {
    /// The file can't be read.
    File(PathBuf, std::io::Error),
    /// A key is missing or wrong.
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

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConfigError::File(_, e) => Some(e),
            ConfigError::Settings(e) => Some(e),
        }
    }
}
