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

use crate::listing::List;

/// Names the second address, where the configuration does not.
const MANAGEMENT: &str = "GW_MANAGEMENT";

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
    /// The second address, for operators' calls.
    pub management: Option<SocketAddr>,
    pub peers: Peers,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: List,
    pub terms: ServiceSettings,
    /// The text of it but for `known`; a later one may lack none of its keys.
    told: Value,
}

/// Keys that a later configuration may lack.
const MAY_LACK: [&str; 2] = ["name", "management"];

/// The text of a configuration. Danger: a list of thousands of backends as a tree of values, which takes ten
/// times what the list does, and more than all else at the start.
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
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read(path).map_err(|e| ConfigError::File(path.to_path_buf(), e))?;
        let mut config = Config::parse(&text)?;
        if config.management.is_none() {
            config.management = match std::env::var(MANAGEMENT).ok().filter(|told| !told.is_empty()) {
                Some(told) => Some(told.parse().map_err(|_| {
                    let problem = "an address with a port is wanted";
                    SettingsError { field: MANAGEMENT.to_string(), problem }
                })?),
                None => None,
            };
        }
        Ok(config)
    }

    pub fn parse(text: &[u8]) -> Result<Config, SettingsError> {
        let (known, json) = Text::read(text)?;
        let config = Config::from(known, &SettingsReader::new("configuration", &json))?;
        Ok(Config { told: json, ..config })
    }

    /// Whether this configuration has all the keys that one before it has.
    ///
    /// # Errors
    /// The first that it lacks.
    pub fn has_all_of(&self, before: &Config) -> Result<(), SettingsError> {
        match reload::first_missing_key(&before.told, &self.told, "configuration", &MAY_LACK) {
            Some(field) => Err(SettingsError { field, problem: "missing; the file before has it" }),
            None => Ok(()),
        }
    }

    /// All that is wrong with a configuration, not the first alone.
    pub fn wrong(text: &[u8]) -> Vec<SettingsError> {
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
        let listed = known.and_then(|text| List::read(text.get().as_bytes()).ok());
        all.extend(listed.into_iter().flat_map(|list| list.wrong).map(|wrong| SettingsError {
            field: format!("configuration.known.endpoints[{}]", wrong.place),
            problem: "a backend is wanted, each name once; the gateway leaves this line out",
        }));
        all
    }

    fn from(known: Option<&RawValue>, top: &SettingsReader<'_>) -> Result<Config, SettingsError> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = |key: &str| {
            let parsed = top.get(key).and_then(|value| {
                let parsed = value.as_str().and_then(|text| text.parse().ok());
                parsed.ok_or_else(|| top.invalid(key, "an address with a port is wanted"))
            });
            top.recover(parsed, nowhere)
        };
        let told = top.section("settings")?;
        let settings = settings::read_settings(&told)?;
        // What stands in for a value that is wrong may fit no other.
        if top.is_valid() {
            top.recover(settings.validate(), ())?;
        }
        let seed = top.get("seed").and_then(|value| {
            let seed = value.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
            seed.ok_or_else(|| top.invalid("seed", "a hex number is wanted"))
        });
        let known = known.ok_or_else(|| top.invalid("known", "missing")).and_then(|text| {
            List::read(text.get().as_bytes())
                .map_err(|_| top.invalid("known", "a list of backends is wanted"))
        });
        Ok(Config {
            name: top.get("name").ok().and_then(|name| name.as_str()).unwrap_or_default().to_string(),
            listen: address("listen")?,
            management: top.value("management").map(|_| address("management")).transpose()?,
            peers: Peers {
                discovery: address("discovery")?,
                counter: if settings.shared_counter { Some(address("counter")?) } else { None },
            },
            seed: top.recover(seed, 0)?,
            sockets: top.section("limits")?.integer("sockets")? as usize,
            memory_mb: top.section("limits")?.integer("memory_mb")? as usize,
            known: top.recover(known, List::empty())?,
            terms: ServiceSettings { names: settings::read_names(&told)?, settings },
            told: Value::Null,
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
