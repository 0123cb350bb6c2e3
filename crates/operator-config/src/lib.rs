//! The operator-owned file, `operator.toml`: read, checked, and named by file, line and key when it is wrong.
//!
//! The platform's own configuration says nothing of what is in here, and a gateway that is given no such
//! file opens no admin listener.

mod address;

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

pub use address::{Address, InvalidAddress, NAME_MARK};

/// The most gateways that an agent oversees.
pub const MAX_GATEWAYS: usize = 10_000;

/// The file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Operator", expecting = "struct Operator")]
pub struct OperatorConfig {
    /// The admin listener of each gateway; none: off.
    pub admin: Option<AdminConfig>,
    /// How many backends each gateway looks at.
    #[serde(default)]
    pub routing: RoutingConfig,
    /// How gateways start as a fleet; none: each as one alone.
    pub start: Option<StartConfig>,
    /// The agent.
    pub agent: Option<AgentConfig>,
    /// Where the agent takes the server list from for gateways; none: it serves no list.
    pub sources: Option<SourcesConfig>,
    /// The gateways that the agent oversees from its start.
    #[serde(default, rename = "gateway")]
    pub gateways: Vec<GatewayConfig>,
}

/// The admin listener of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Admin", expecting = "struct Admin")]
pub struct AdminConfig {
    /// Where it listens; [`NAME_MARK`] in a path stands for the gateway's name. Over TCP only with `tls`.
    pub listen: Address,
    /// Where an agent takes registrations, [`Agent::register`]: the gateway tells it of itself. None: it does
    /// not.
    pub agent: Option<Address>,
    /// Certificates, for TCP.
    pub tls: Option<TlsConfig>,
}

/// How many backends a gateway looks at. All gateways of a fleet are to have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[serde(rename = "Routing", expecting = "struct Routing")]
pub struct RoutingConfig {
    /// Lists of up to so many backends are looked at whole for each request: 0 to 1,000.
    pub whole: usize,
    /// So many are drawn and looked at where there are more: 1 to 64.
    pub choices: usize,
    /// Backends that a gateway keeps to while they do, beside its part of those that `coverage` calls
    /// for: 1 to 100,000.
    pub subset: u32,
    /// Gateways that each backend has for this, where there are as many: 1 to 10,000.
    pub coverage: u32,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        RoutingConfig { whole: 16, choices: 8, subset: 5, coverage: 3 }
    }
}

/// How the gateways of a fleet start together before services that they share. All are to have the same.
///
/// Danger: where each gateway has a list service of its own, as on a machine of its own, this makes it late
/// for news for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Start", expecting = "struct Start")]
pub struct StartConfig {
    /// Calls for the list that the one list service of all gateways bears, calls a second: 0.1 to 10,000.
    pub list_calls_per_s: f64,
    /// First connections that one backend takes from all gateways, connections a second: 0.1 to 10,000. None:
    /// each gateway opens them as requests need them.
    pub backend_connections_per_s: Option<f64>,
    /// Calls that the counter bears from all gateways, calls a second: 0.1 to 1,000,000. None: each gateway
    /// makes all its calls from its start on.
    pub counter_calls_per_s: Option<f64>,
    /// Whether gateways ask the agent, [`Admin::agent`], for a turn for their first call and for the list,
    /// and the agent gives both.
    #[serde(default)]
    pub ordered_by_agent: bool,
}

/// Certificates of one side, PEM files. Both sides show one; each names whose it takes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Tls", expecting = "struct Tls")]
pub struct TlsConfig {
    /// Its own chain.
    pub certificate: PathBuf,
    /// Its own key.
    pub key: PathBuf,
    /// The authorities that sign the other side's.
    pub authorities: PathBuf,
}

/// The agent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Agent", expecting = "struct Agent")]
pub struct AgentConfig {
    /// Where it listens for tools: a Unix socket.
    pub listen: Address,
    /// Where gateways register, and can do nothing else. Over TCP only with `tls`. None: they can't.
    pub register: Option<Address>,
    /// Its log of orders, a file of its own.
    pub log: PathBuf,
    /// The part of the serving backends, and of the gateways that answer, that an order has to leave ready
    /// unless it is forced: 0 to 1.
    #[serde(default = "least_ready")]
    pub least_ready: f64,
    /// How often each gateway is asked for its state, ms: 50 to 60,000.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// How long a gateway may take to connect and to answer, ms: 10 to 60,000.
    #[serde(default = "answer_ms")]
    pub answer_ms: u64,
    /// Gateways that are spoken to at the same moment, 1 to 4,096.
    #[serde(default = "fan_out")]
    pub fan_out: usize,
    /// Certificates, for gateways whose admin listener is on TCP.
    pub tls: Option<TlsConfig>,
}

/// The server list that the agent serves to gateways by the discovery protocol, from DNS-SD (RFC 6763).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Sources", expecting = "struct Sources")]
pub struct SourcesConfig {
    /// Where gateways read it: their configurations name this as `discovery`.
    pub listen: SocketAddr,
    /// Services, such as `_till._tcp.ub-room.example.org`: 1 to 64.
    pub services: Vec<String>,
    /// Resolvers, of which each answers for all: 1 to 16.
    pub resolvers: Vec<SocketAddr>,
    /// How long each resolver may take for a question, ms: 10 to 60,000.
    #[serde(default = "answer_ms")]
    pub answer_ms: u64,
    /// The part of the list that may leave by one answer, 0 to 1. More leave when a second one says so.
    #[serde(default = "shrink_most")]
    pub shrink_most: f64,
    /// The least and the most time for which an answer is believed, s, whatever it says: 1 to 86,400.
    #[serde(default = "ttl_least_s")]
    pub ttl_least_s: u32,
    /// See [`Sources::ttl_least_s`].
    #[serde(default = "ttl_most_s")]
    pub ttl_most_s: u32,
    /// For how long records count as stale and not as unknown when no resolver answers, s: 1 to 604,800.
    #[serde(default = "stale_most_s")]
    pub stale_most_s: u32,
    /// Questions that are out at once: 1 to 1,024.
    #[serde(default = "questions")]
    pub questions: usize,
}

impl SourcesConfig {
    fn wrong(&self, say: &mut impl FnMut(&str, &str)) {
        if !(1..=64).contains(&self.services.len()) {
            say("sources.services", "1 to 64 are wanted");
        }
        for (i, service) in self.services.iter().enumerate() {
            let labels: Vec<&str> = service.trim_end_matches('.').split('.').collect();
            let short = labels.iter().all(|l| (1..=63).contains(&l.len())) && service.len() < 254;
            if labels.len() < 3 || !labels[..2].iter().all(|l| l.starts_with('_')) || !short {
                let wanted = "a service is wanted, as in _till._tcp.ub-room.example.org";
                say(&format!("sources.services[{i}]"), wanted);
            }
        }
        if !(1..=16).contains(&self.resolvers.len()) {
            say("sources.resolvers", "1 to 16 are wanted, as in 127.0.0.1:53");
        }
        if !(10..=60_000).contains(&self.answer_ms) {
            say("sources.answer_ms", "10 to 60000 is wanted");
        }
        if !(0.0..=1.0).contains(&self.shrink_most) {
            say("sources.shrink_most", "0 to 1 is wanted");
        }
        if !(1..=86_400).contains(&self.ttl_least_s) {
            say("sources.ttl_least_s", "1 to 86400 is wanted");
        }
        if !(self.ttl_least_s..=86_400).contains(&self.ttl_most_s) {
            say("sources.ttl_most_s", "ttl_least_s to 86400 is wanted");
        }
        if !(1..=604_800).contains(&self.stale_most_s) {
            say("sources.stale_most_s", "1 to 604800 is wanted");
        }
        if !(1..=1_024).contains(&self.questions) {
            say("sources.questions", "1 to 1024 is wanted");
        }
    }
}

fn shrink_most() -> f64 {
    0.5
}

fn ttl_least_s() -> u32 {
    1
}

fn ttl_most_s() -> u32 {
    3_600
}

fn stale_most_s() -> u32 {
    86_400
}

fn questions() -> usize {
    64
}

/// A gateway that the agent oversees.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Gateway", expecting = "struct Gateway")]
pub struct GatewayConfig {
    /// Its name.
    pub name: String,
    /// Its admin listener.
    pub admin: Address,
}

fn least_ready() -> f64 {
    0.5
}

fn heartbeat_ms() -> u64 {
    1_000
}

fn answer_ms() -> u64 {
    1_000
}

fn fan_out() -> usize {
    256
}

impl AgentConfig {
    /// [`Agent::heartbeat_ms`] as a time.
    #[must_use]
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// [`Agent::answer_ms`] as a time.
    #[must_use]
    pub fn answer(&self) -> Duration {
        Duration::from_millis(self.answer_ms)
    }
}

/// A file that can't be used.
#[derive(Debug)]
pub enum OperatorConfigError {
    /// It can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// It is not TOML, or a key is unknown, missing or of the wrong kind: the text names line and key.
    Toml(PathBuf, String),
    /// Values that don't fit: key and what is wanted, for each.
    Values(PathBuf, Vec<(String, String)>),
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorConfigError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            OperatorConfigError::Toml(path, e) => write!(f, "{}: {}", path.display(), e.trim_end()),
            OperatorConfigError::Values(path, all) => {
                let lines = all.iter().map(|(key, wanted)| format!("{}: {key}: {wanted}", path.display()));
                write!(f, "{}", lines.collect::<Vec<_>>().join("\n"))
            }
        }
    }
}

impl std::error::Error for OperatorConfigError {}

impl OperatorConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// A [`BadFile`] that names the file and, where it can be, line and key.
    pub fn read(path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| OperatorConfigError::Unreadable(path.to_path_buf(), e))?;
        OperatorConfig::parse(path, &text)
    }

    /// Reads and checks a file's text; `path` only names it.
    ///
    /// # Errors
    /// As [`Operator::read`].
    pub fn parse(path: &Path, text: &str) -> Result<OperatorConfig, OperatorConfigError> {
        let file: OperatorConfig =
            toml::from_str(text).map_err(|e| OperatorConfigError::Toml(path.to_path_buf(), e.to_string()))?;
        let wrong = file.wrong();
        if wrong.is_empty() {
            Ok(file)
        } else {
            Err(OperatorConfigError::Values(path.to_path_buf(), wrong))
        }
    }

    fn wrong(&self) -> Vec<(String, String)> {
        let mut wrong = Vec::new();
        let mut say = |key: &str, wanted: &str| wrong.push((key.to_string(), wanted.to_string()));
        if let Some(admin) = &self.admin {
            // Danger: whoever reaches the port orders drains.
            if admin.listen.is_tcp() && admin.tls.is_none() {
                say(
                    "admin.listen",
                    "TCP needs [admin.tls]; or name a Unix socket, as in unix:/run/{name}.sock",
                );
            }
        }
        let registers = self.admin.as_ref().filter(|a| a.tls.is_none()).and_then(|a| a.agent.as_ref());
        if registers.is_some_and(Address::is_tcp) {
            say("admin.agent", "TCP needs [admin.tls]");
        }
        let r = &self.routing;
        if r.whole > 1_000 {
            say("routing.whole", "0 to 1000 is wanted");
        }
        if !(1..=64).contains(&r.choices) {
            say("routing.choices", "1 to 64 is wanted");
        }
        if !(1..=100_000).contains(&r.subset) {
            say("routing.subset", "1 to 100000 is wanted");
        }
        if !(1..=10_000).contains(&r.coverage) {
            say("routing.coverage", "1 to 10000 is wanted");
        }
        if self.start.is_some_and(|start| !(0.1..=10_000.0).contains(&start.list_calls_per_s)) {
            say("start.list_calls_per_s", "0.1 to 10000 is wanted");
        }
        let connections = self.start.and_then(|start| start.backend_connections_per_s);
        if connections.is_some_and(|per_s| !(0.1..=10_000.0).contains(&per_s)) {
            say("start.backend_connections_per_s", "0.1 to 10000 is wanted");
        }
        let calls = self.start.and_then(|start| start.counter_calls_per_s);
        if calls.is_some_and(|per_s| !(0.1..=1e6).contains(&per_s)) {
            say("start.counter_calls_per_s", "0.1 to 1000000 is wanted");
        }
        let unheard = self.admin.as_ref().map_or(self.agent.is_none(), |admin| admin.agent.is_none());
        if unheard && self.start.is_some_and(|start| start.ordered_by_agent) {
            say("start.ordered_by_agent", "[admin] with agent is wanted, where gateways ask for their turns");
        }
        if let Some(agent) = &self.agent {
            if agent.tls.is_none() && agent.register.as_ref().is_some_and(Address::is_tcp) {
                say("agent.register", "TCP needs [agent.tls]");
            }
            if agent.listen.is_tcp() {
                say("agent.listen", "a Unix socket is wanted, as in unix:/run/agent.sock");
            }
            if !(0.0..=1.0).contains(&agent.least_ready) {
                say("agent.least_ready", "0 to 1 is wanted");
            }
            if !(50..=60_000).contains(&agent.heartbeat_ms) {
                say("agent.heartbeat_ms", "50 to 60000 is wanted");
            }
            if !(10..=60_000).contains(&agent.answer_ms) {
                say("agent.answer_ms", "10 to 60000 is wanted");
            }
            if !(1..=4_096).contains(&agent.fan_out) {
                say("agent.fan_out", "1 to 4096 is wanted");
            }
        }
        if let Some(sources) = &self.sources {
            sources.wrong(&mut say);
        }
        if self.gateways.len() > MAX_GATEWAYS {
            say("gateway", "too many; 10000 at most");
        }
        let mut names = BTreeSet::new();
        let tls = self.agent.as_ref().is_some_and(|a| a.tls.is_some());
        for (i, gateway) in self.gateways.iter().enumerate() {
            if !names.insert(&gateway.name) {
                say(&format!("gateway[{i}].name"), "named twice");
            }
            if gateway.admin.is_tcp() && !tls {
                say(&format!("gateway[{i}].admin"), "TCP needs [agent.tls]");
            }
        }
        wrong
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<OperatorConfig, String> {
        OperatorConfig::parse(Path::new("operator.toml"), text).map_err(|e| e.to_string())
    }

    #[test]
    fn the_file_that_is_shipped_is_good() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/operator.toml");
        let file = OperatorConfig::read(&path).expect("good");
        assert!(file.admin.is_some() && file.agent.is_some());
    }

    #[test]
    fn defaults_are_filled_in_and_an_empty_file_turns_nothing_on() {
        assert_eq!(parse(""), Ok(OperatorConfig::default()));
        let file = parse("[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"").expect("good");
        assert_eq!(file.agent.expect("an agent").heartbeat_ms, 1_000);
    }

    #[test]
    fn what_is_wrong_is_named_by_line_and_key() {
        let cases = [
            ("[admin]\nlisten = \"tcp:127.0.0.1:7\"", "admin.listen: TCP needs [admin.tls]"),
            ("[admin]\nlisten = \"/a\"", "line 2"),
            ("[admin]\nlisen = \"unix:/a\"", "unknown field `lisen`"),
            ("[admin]\n", "missing field `listen`"),
            ("[agent]\nlisten = \"unix:/a\"\nlog = 7", "line 3"),
            ("[agent]\nlisten = \"tcp:127.0.0.1:7\"\nlog = \"/b\"", "agent.listen: a Unix socket"),
            ("[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\nleast_ready = 2.0", "agent.least_ready: 0 to 1"),
            ("[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\nfan_out = 0", "agent.fan_out: 1 to 4096"),
            ("[[gateway]]\nname = \"a\"\nadmin = \"tcp:127.0.0.1:7\"", "gateway[0].admin: TCP needs"),
            (
                "[admin]\nlisten = \"unix:/a\"\nagent = \"tcp:127.0.0.1:7\"",
                "admin.agent: TCP needs [admin.tls]",
            ),
            (
                "[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\nregister = \"tcp:127.0.0.1:7\"",
                "agent.register: TCP needs [agent.tls]",
            ),
            ("[start]\nlist_calls_per_s = 0", "start.list_calls_per_s: 0.1 to 10000"),
            ("[start]\nlist_calls_per_s = nan", "start.list_calls_per_s: 0.1 to 10000"),
            ("[start]\n", "missing field `list_calls_per_s`"),
            (
                "[start]\nlist_calls_per_s = 1\ncounter_calls_per_s = 0",
                "start.counter_calls_per_s: 0.1 to 1000000",
            ),
            (
                "[start]\nlist_calls_per_s = 1\nbackend_connections_per_s = 0",
                "start.backend_connections_per_s: 0.1 to 10000",
            ),
            (
                "[admin]\nlisten = \"unix:/a\"\n[start]\nlist_calls_per_s = 1\nordered_by_agent = true",
                "start.ordered_by_agent: [admin] with agent",
            ),
            ("[start]\nlist_calls_per_s = 1\nordered_by_agent = true", "start.ordered_by_agent: [admin]"),
            ("[routing]\nsubset = 0", "routing.subset: 1 to 100000"),
            ("[routing]\nchoices = 65\nwhole = 2000", "routing.choices: 1 to 64"),
            ("[routing]\nsubsets = 64", "unknown field `subsets`"),
            ("[routing]\ncoverage = -1", "line 2"),
            ("[sources]\nlisten = \"127.0.0.1:1\"\nservices = []\nresolvers = []", "sources.resolvers: 1"),
            (
                "[sources]\nlisten = \"127.0.0.1:1\"\nservices = [\"till.org\"]\nresolvers = []",
                "sources.services[0]: a service is wanted",
            ),
            ("[sources]\nlisten = \"here\"", "line 2"),
            ("[adm", "line 1"),
        ];
        for (text, said) in cases {
            let error = parse(text).expect_err(text);
            assert!(error.contains(said) && error.starts_with("operator.toml"), "{text}: {error}");
        }
        let twice = "[[gateway]]\nname = \"a\"\nadmin = \"unix:/a\"\n";
        assert!(parse(&twice.repeat(2)).expect_err("twice").contains("gateway[1].name"));
    }
}
