//! The endpoint of one instance, from its records.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

use hickory_proto::rr::Name;

use crate::answer::{QueryType, Question, RecordData, SrvRecord};
use crate::cache::{Cache, CacheState, CachedAnswer};
use crate::drop_reason::DropReason;
use crate::metadata::InstanceMetadata;

/// The longest name of an instance, bytes: a label of DNS.
const MAX_LABEL_BYTES: usize = 63;

/// An endpoint on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Where it takes work.
    pub address: SocketAddr,
    /// SRV priority: the least is used first.
    pub priority: u16,
    /// SRV weight among endpoints of the same priority; 0 means very little (RFC 2782).
    pub weight: u16,
    /// What its TXT record tells.
    pub metadata: InstanceMetadata,
    /// Its name as an instance.
    pub instance: Name,
    /// Since when one of its records is stale, ms; none if all are fresh.
    pub stale_since: Option<f64>,
}

impl Endpoint {
    /// Whether the list says the same of both, apart from their age.
    pub(crate) fn is_listed_as(&self, other: &Endpoint) -> bool {
        self.address == other.address
            && self.priority == other.priority
            && self.weight == other.weight
            && self.instance == other.instance
            && self.metadata == other.metadata
    }
}

/// Why an instance gives no endpoint.
pub(crate) enum Unlisted {
    /// Something is not known.
    Pending,
    /// It is not there, or says something of itself that is not allowed.
    Removed(Box<Departure>),
}

/// The question whose answer takes an instance off the list, and what is not allowed about it.
pub(crate) struct Departure {
    pub(crate) question: Question,
    pub(crate) reason: Option<DropReason>,
}

impl Unlisted {
    fn removed(question: Question, reason: Option<DropReason>) -> Unlisted {
        Unlisted::Removed(Box::new(Departure { question, reason }))
    }
}

/// The first label of an instance's name, which is text (RFC 6763, section 4.1.1).
pub(crate) fn instance_name(instance: &Name) -> Result<String, DropReason> {
    let label = instance.iter().next().filter(|label| label.len() <= MAX_LABEL_BYTES);
    let text = std::str::from_utf8(label.ok_or(DropReason::NoName)?).map_err(|_| DropReason::NameNotUtf8)?;
    if text.chars().any(char::is_control) {
        return Err(DropReason::NameHasControls);
    }
    Ok(text.to_string())
}

/// Adds the questions about an instance.
pub(crate) fn follow_instance(
    instance: &Name,
    now_ms: f64,
    cache: &Cache,
    followed: &mut BTreeSet<Question>,
) {
    let srv = Question { name: instance.clone(), kind: QueryType::Srv };
    let state = cache.get(now_ms, &srv);
    followed.insert(srv);
    followed.insert(Question { name: instance.clone(), kind: QueryType::Txt });
    let Some(CachedAnswer::Records(records)) = state.known() else { return };
    if let Some(srv) = preferred_srv(records) {
        followed.insert(Question { name: srv.target.clone(), kind: QueryType::A });
        followed.insert(Question { name: srv.target.clone(), kind: QueryType::Aaaa });
    }
}

/// The SRV record that counts: of the least priority, and among those the one of most weight.
fn preferred_srv(records: &[RecordData]) -> Option<&SrvRecord> {
    let services = records.iter().filter_map(|data| match data {
        RecordData::Srv(srv) => Some(srv),
        _ => None,
    });
    services.min_by_key(|srv| (srv.priority, u16::MAX - srv.weight))
}

/// Reads the records of one instance.
pub(crate) struct InstanceReader<'a> {
    pub(crate) now_ms: f64,
    pub(crate) cache: &'a Cache,
    pub(crate) instance: &'a Name,
    /// Since when one of the records read so far is stale, ms.
    pub(crate) stale_since: Option<f64>,
}

impl InstanceReader<'_> {
    /// The endpoint; an address that it had is kept while the target has it, as it is the same backend.
    pub(crate) fn read(mut self, last_address: Option<SocketAddr>) -> Result<Endpoint, Unlisted> {
        let srv = self.srv()?;
        let metadata = self.metadata()?;
        let last_ip = last_address.filter(|last| last.port() == srv.port).map(|last| last.ip());
        let ip = self.address_of(&srv.target, last_ip)?;
        Ok(Endpoint {
            address: SocketAddr::new(ip, srv.port),
            priority: srv.priority,
            weight: srv.weight,
            metadata,
            instance: self.instance.clone(),
            stale_since: self.stale_since,
        })
    }

    fn state(&self, question: &Question) -> CacheState {
        self.cache.get(self.now_ms, question)
    }

    fn note_age(&mut self, state: &CacheState) {
        self.stale_since = match (self.stale_since, state.stale_since()) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }

    fn srv(&mut self) -> Result<SrvRecord, Unlisted> {
        let question = Question { name: self.instance.clone(), kind: QueryType::Srv };
        let state = self.state(&question);
        self.note_age(&state);
        let srv = match state.known() {
            None => None,
            Some(CachedAnswer::None(_)) => return Err(Unlisted::removed(question, None)),
            Some(CachedAnswer::Records(records)) => preferred_srv(records).cloned(),
        };
        let srv = srv.ok_or(Unlisted::Pending)?;
        if srv.target.is_root() {
            return Err(Unlisted::removed(question, Some(DropReason::TargetIsRoot)));
        }
        if srv.port == 0 {
            return Err(Unlisted::removed(question, Some(DropReason::PortIsZero)));
        }
        Ok(srv)
    }

    fn metadata(&mut self) -> Result<InstanceMetadata, Unlisted> {
        let question = Question { name: self.instance.clone(), kind: QueryType::Txt };
        let state = self.state(&question);
        self.note_age(&state);
        let Some(answer) = state.known() else { return Err(Unlisted::Pending) };
        let CachedAnswer::Records(records) = answer else { return Ok(InstanceMetadata::default()) };
        // Of several records the first in their order counts, at all agents alike.
        let Some(RecordData::Txt(strings)) = records.first() else { return Ok(InstanceMetadata::default()) };
        InstanceMetadata::read(strings)
            .map_err(|error| Unlisted::removed(question, Some(DropReason::Txt(error))))
    }

    fn address_of(&mut self, target: &Name, last_ip: Option<IpAddr>) -> Result<IpAddr, Unlisted> {
        let question = Question { name: target.clone(), kind: QueryType::A };
        let ipv4 = self.state(&question);
        let ipv6 = self.state(&Question { name: target.clone(), kind: QueryType::Aaaa });
        let mut addresses: Vec<IpAddr> = Vec::new();
        for state in [&ipv4, &ipv6] {
            if let Some(CachedAnswer::Records(records)) = state.known() {
                self.note_age(state);
                addresses.extend(records.iter().filter_map(|data| match data {
                    RecordData::Address(address) => Some(*address),
                    _ => None,
                }));
            }
        }
        let kept = last_ip.filter(|ip| addresses.contains(ip));
        if let Some(address) = kept.or(addresses.first().copied()) {
            return Ok(address);
        }
        if ipv4.known().is_none() || ipv6.known().is_none() {
            return Err(Unlisted::Pending);
        }
        Err(Unlisted::removed(question, Some(DropReason::NoAddress(target.clone()))))
    }
}
