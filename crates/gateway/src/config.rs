//! The gateway's configuration file.

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

/// Environment variable with the management address, used if the configuration has none.
const MANAGEMENT_VARIABLE: &str = "GW_MANAGEMENT";
/// Error message for a value that is not a socket address.
const ADDRESS_EXPECTED: &str = "an address with a port is wanted";

/// Addresses of the services that the gateway calls. A reload may change them.
#[derive(Clone, Copy, Debug)]
pub struct ServiceAddresses {
    pub discovery: SocketAddr,
    /// `None` if the settings use no shared counter.
    pub counter: Option<SocketAddr>,
}

/// A parsed configuration file.
pub struct Config {
    /// Name of the gateway, as operators use it; empty if the configuration has none.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Management address, for operators' commands.
    pub management: Option<SocketAddr>,
    pub addresses: ServiceAddresses,
    /// Seed of the random numbers of the policy and of backoffs.
    pub seed: u64,
    /// Number of sockets that the process may have open.
    pub sockets: usize,
    /// Memory that the process may use, MiB.
    pub memory_mb: usize,
    /// Endpoint list to start with.
    pub known_list: EndpointList,
    pub service_settings: ServiceSettings,
    /// The parsed JSON without `known`. A reloaded configuration must have all of its keys.
    json: Value,
}

/// Keys that a reloaded configuration may leave out.
const OPTIONAL_KEYS: [&str; 2] = ["name", "management"];

/// A configuration with its endpoint list left unparsed: with thousands of backends, a tree of JSON values
/// takes ten times the memory of the list itself, and more than everything else at the start.
#[derive(Deserialize)]
#[serde(rename = "Text", expecting = "struct Text")]
struct RawConfig<'a> {
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

impl<'a> RawConfig<'a> {
    /// Returns the endpoint list and the rest of a configuration.
    fn parse(text: &'a [u8]) -> Result<(Option<&'a RawValue>, Value), SettingsError> {
        match serde_json::from_slice::<RawConfig<'a>>(text) {
            Ok(RawConfig { known, rest }) => Ok((known, Value::Object(rest))),
            // JSON that is not an object, so that every key is missing, or text that is not JSON.
            Err(_) => Ok((None, settings::from_json("configuration", text)?)),
        }
    }
}

impl Config {
    /// Reads a configuration file. A management address that it lacks is taken from the environment.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, or else the first key that is missing or invalid.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read(path).map_err(|e| ConfigError::File(path.to_path_buf(), e))?;
        let mut config = Config::parse(&text)?;
        if config.management.is_none() {
            config.management = management_from_env()?;
        }
        Ok(config)
    }

    /// Parses the text of a configuration.
    ///
    /// # Errors
    /// Returns the first key that is missing or invalid.
    pub fn parse(text: &[u8]) -> Result<Config, SettingsError> {
        let (known, json) = RawConfig::parse(text)?;
        let config = Config::from_sections(known, &SettingsReader::new("configuration", &json))?;
        Ok(Config { json, ..config })
    }

    /// Checks that this configuration has all the keys of an earlier one.
    ///
    /// # Errors
    /// Returns the first key that is missing.
    pub fn check_keys_of(&self, earlier: &Config) -> Result<(), SettingsError> {
        match reload::first_missing_key(&earlier.json, &self.json, "configuration", &OPTIONAL_KEYS) {
            Some(field) => {
                Err(SettingsError { field, problem: "missing; the previous configuration has it" })
            }
            None => Ok(()),
        }
    }

    /// Returns all errors in the text of a configuration, not only the first.
    pub fn find_errors(text: &[u8]) -> Vec<SettingsError> {
        let (known, json) = match RawConfig::parse(text) {
            Ok(parsed) => parsed,
            Err(e) => return vec![e],
        };
        let errors = RefCell::new(Vec::new());
        let reader = SettingsReader::collecting("configuration", &json, &errors);
        let last = Config::from_sections(known, &reader).err();
        let mut errors = errors.into_inner();
        // An error found by validating the settings as a whole is meaningful only if each value is valid.
        if errors.is_empty() {
            errors.extend(last);
        }
        // The gateway starts without these endpoints, but a check of the file reports them.
        let list = known.and_then(|text| EndpointList::parse(text.get().as_bytes()).ok());
        errors.extend(list.into_iter().flat_map(|list| list.rejected).map(|endpoint| SettingsError {
            field: format!("configuration.known.endpoints[{}]", endpoint.index),
            problem: "a backend is wanted, each name once; the gateway leaves this line out",
        }));
        errors
    }

    fn from_sections(known: Option<&RawValue>, top: &SettingsReader<'_>) -> Result<Config, SettingsError> {
        let section = top.section("settings")?;
        let settings = settings::read_settings(&section)?;
        // Skipped after an error, as the placeholder for an invalid value may contradict other settings.
        if top.is_valid() {
            top.recover(settings.validate(), ())?;
        }
        Ok(Config {
            name: top.get("name").ok().and_then(|name| name.as_str()).unwrap_or_default().to_string(),
            listen: read_address(top, "listen")?,
            management: top.value("management").map(|_| read_address(top, "management")).transpose()?,
            addresses: ServiceAddresses {
                discovery: read_address(top, "discovery")?,
                counter: settings.shared_counter.then(|| read_address(top, "counter")).transpose()?,
            },
            seed: read_seed(top)?,
            sockets: top.section("limits")?.integer("sockets")? as usize,
            memory_mb: top.section("limits")?.integer("memory_mb")? as usize,
            known_list: read_known_list(top, known)?,
            service_settings: ServiceSettings { names: settings::read_names(&section)?, settings },
            json: Value::Null,
        })
    }
}

fn read_address(top: &SettingsReader<'_>, key: &str) -> Result<SocketAddr, SettingsError> {
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = top.get(key).and_then(|value| {
        let address = value.as_str().and_then(|text| text.parse().ok());
        address.ok_or_else(|| top.invalid(key, ADDRESS_EXPECTED))
    });
    top.recover(address, placeholder)
}

fn read_seed(top: &SettingsReader<'_>) -> Result<u64, SettingsError> {
    let seed = top.get("seed").and_then(|value| {
        let seed = value.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
        seed.ok_or_else(|| top.invalid("seed", "a hex number is wanted"))
    });
    top.recover(seed, 0)
}

fn read_known_list(
    top: &SettingsReader<'_>,
    known: Option<&RawValue>,
) -> Result<EndpointList, SettingsError> {
    let list = known.ok_or_else(|| top.invalid("known", "missing")).and_then(|text| {
        let list = EndpointList::parse(text.get().as_bytes());
        list.map_err(|_| top.invalid("known", "a list of backends is wanted"))
    });
    top.recover(list, EndpointList::empty())
}

/// Reads the management address from the environment; `None` if the variable is unset or empty.
fn management_from_env() -> Result<Option<SocketAddr>, SettingsError> {
    let value = std::env::var(MANAGEMENT_VARIABLE).ok().filter(|value| !value.is_empty());
    let address = value.map(|value| value.parse()).transpose();
    address.map_err(|_| SettingsError { field: MANAGEMENT_VARIABLE.to_string(), problem: ADDRESS_EXPECTED })
}

/// An error that makes a configuration unusable.
#[derive(Debug)]
pub enum ConfigError {
    /// The file can't be read.
    File(PathBuf, std::io::Error),
    /// A key is missing or invalid.
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
