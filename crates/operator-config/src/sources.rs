//! `[sources]`: the endpoint list that the agent serves, from DNS-SD.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::problems::Problems;

/// Maximum number of services.
const MAX_SERVICES: usize = 64;
/// Maximum number of resolvers.
const MAX_RESOLVERS: usize = 16;
/// Maximum lifetime of an answer, s.
const MAX_TTL_S: u32 = 86_400;
/// Maximum lengths of a label and of a domain name, bytes (RFC 1035, section 2.3.4).
const MAX_LABEL_BYTES: usize = 63;
const MAX_DOMAIN_NAME_BYTES: usize = 253;

/// Settings of the endpoint list that the agent builds from DNS-SD (RFC 6763) and serves to gateways by the
/// discovery protocol.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Sources", expecting = "struct Sources")]
pub struct SourcesConfig {
    /// Listen address. The configurations of gateways name it as `discovery`.
    pub listen: SocketAddr,
    /// Services, such as `_till._tcp.ub-room.example.org`: 1 to 64.
    pub services: Vec<String>,
    /// Resolvers, each of which can answer queries for all services: 1 to 16.
    pub resolvers: Vec<SocketAddr>,
    /// Timeout of a query at each resolver, ms: 10 to 60,000.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// Maximum fraction of the list that is removed at once without a second answer, 0 to 1.
    #[serde(default = "default_shrink_most")]
    pub shrink_most: f64,
    /// Lower limit of the lifetime of an answer, s, whatever its TTL: 1 to 86,400.
    #[serde(default = "default_ttl_least_s")]
    pub ttl_least_s: u32,
    /// Upper limit of the lifetime of an answer, s, whatever its TTL: `ttl_least_s` to 86,400.
    #[serde(default = "default_ttl_most_s")]
    pub ttl_most_s: u32,
    /// How long records are used as stale records, before they count as unknown, while no resolver answers,
    /// s: 1 to 604,800.
    #[serde(default = "default_stale_most_s")]
    pub stale_most_s: u32,
    /// Maximum number of queries in flight: 1 to 1,024.
    #[serde(default = "default_questions")]
    pub questions: usize,
}

fn default_answer_ms() -> u64 {
    1_000
}

fn default_shrink_most() -> f64 {
    0.5
}

fn default_ttl_least_s() -> u32 {
    1
}

fn default_ttl_most_s() -> u32 {
    3_600
}

fn default_stale_most_s() -> u32 {
    86_400
}

fn default_questions() -> usize {
    64
}

impl SourcesConfig {
    pub(crate) fn validate(&self, problems: &mut Problems) {
        if !(1..=MAX_SERVICES).contains(&self.services.len()) {
            problems.add("sources.services", format!("1 to {MAX_SERVICES} are wanted"));
        }
        for (index, service) in self.services.iter().enumerate() {
            if !is_service(service) {
                let problem = "a service is wanted, as in _till._tcp.ub-room.example.org";
                problems.add(format!("sources.services[{index}]"), problem);
            }
        }
        if !(1..=MAX_RESOLVERS).contains(&self.resolvers.len()) {
            let problem = format!("1 to {MAX_RESOLVERS} are wanted, as in 127.0.0.1:53");
            problems.add("sources.resolvers", problem);
        }
        problems.check_range("sources.answer_ms", self.answer_ms, 10..=60_000);
        problems.check_range("sources.shrink_most", self.shrink_most, 0.0..=1.0);
        problems.check_range("sources.ttl_least_s", self.ttl_least_s, 1..=MAX_TTL_S);
        if !(self.ttl_least_s..=MAX_TTL_S).contains(&self.ttl_most_s) {
            problems.add("sources.ttl_most_s", format!("ttl_least_s to {MAX_TTL_S} is wanted"));
        }
        problems.check_range("sources.stale_most_s", self.stale_most_s, 1..=604_800);
        problems.check_range("sources.questions", self.questions, 1..=1_024);
    }
}

/// Returns whether a name has the form of a DNS-SD service: two labels that begin with an underscore, and a
/// domain.
fn is_service(name: &str) -> bool {
    let labels: Vec<&str> = name.trim_end_matches('.').split('.').collect();
    let is_domain_name = name.len() <= MAX_DOMAIN_NAME_BYTES
        && labels.iter().all(|label| (1..=MAX_LABEL_BYTES).contains(&label.len()));
    is_domain_name && labels.len() > 2 && labels[..2].iter().all(|label| label.starts_with('_'))
}
