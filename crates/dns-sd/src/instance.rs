//! Builds the endpoint of an instance from its records.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

use hickory_proto::rr::Name;

use crate::answer::{QueryType, Question, RecordData, SrvRecord};
use crate::cache::{Cache, CacheState, CachedAnswer};
use crate::drop_reason::DropReason;
use crate::listed_metadata::ListedMetadata;
use crate::metadata::{InstanceMetadata, UnknownValue};

/// Maximum length of an instance name, bytes: that of a DNS label.
const MAX_LABEL_BYTES: usize = 63;

/// An endpoint of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// SRV priority; the lowest value is preferred.
    pub priority: u16,
    /// SRV weight among endpoints of the same priority; 0 means very little (RFC 2782).
    pub weight: u16,
    /// Metadata from its TXT records.
    pub metadata: ListedMetadata,
    /// Domain name of the instance.
    pub instance: Name,
    /// When it was added to the list, ms.
    pub listed_since_ms: f64,
    /// When the first of its records became stale, ms; `None` if all are fresh.
    pub stale_since_ms: Option<f64>,
}

impl Endpoint {
    /// Returns whether both are equal apart from staleness.
    pub(crate) fn equals_ignoring_staleness(&self, other: &Endpoint) -> bool {
        self.address == other.address
            && self.priority == other.priority
            && self.weight == other.weight
            && self.instance == other.instance
            && self.metadata.lists_the_same(&other.metadata)
    }
}

/// Reason for which an instance has no endpoint.
pub(crate) enum Unlisted {
    /// A required record is unknown.
    Pending,
    /// A record does not exist or is invalid.
    Removed(Box<Removal>),
}

/// Question whose answer removes an instance from the list, and the drop reason if a record is invalid.
pub(crate) struct Removal {
    pub(crate) question: Question,
    pub(crate) reason: Option<DropReason>,
}

impl Unlisted {
    fn removed(question: Question, reason: Option<DropReason>) -> Unlisted {
        Unlisted::Removed(Box::new(Removal { question, reason }))
    }
}

/// Returns the first label of an instance's domain name, which has to be text (RFC 6763, section 4.1.1).
pub(crate) fn instance_name(instance: &Name) -> Result<String, DropReason> {
    let label = instance.iter().next().filter(|label| label.len() <= MAX_LABEL_BYTES);
    let text = std::str::from_utf8(label.ok_or(DropReason::NoName)?).map_err(|_| DropReason::NameNotUtf8)?;
    if text.chars().any(char::is_control) {
        return Err(DropReason::NameHasControls);
    }
    Ok(text.to_string())
}

/// Adds the questions for the records of an instance to `followed`.
pub(crate) fn add_instance_questions(
    instance: &Name,
    now_ms: f64,
    cache: &Cache,
    followed: &mut BTreeSet<Question>,
) {
    let srv = Question { name: instance.clone(), kind: QueryType::Srv };
    let state = cache.get(now_ms, &srv);
    followed.insert(srv);
    followed.insert(Question { name: instance.clone(), kind: QueryType::Txt });
    let Some(CachedAnswer::Records(records)) = state.answer() else { return };
    if let Some(srv) = preferred_srv(records) {
        followed.insert(Question { name: srv.target.clone(), kind: QueryType::A });
        followed.insert(Question { name: srv.target.clone(), kind: QueryType::Aaaa });
    }
}

/// Returns the SRV record with the lowest priority and, among those, the highest weight.
fn preferred_srv(records: &[RecordData]) -> Option<&SrvRecord> {
    let srv_records = records.iter().filter_map(|data| match data {
        RecordData::Srv(srv) => Some(srv),
        _ => None,
    });
    srv_records.min_by_key(|srv| (srv.priority, u16::MAX - srv.weight))
}

/// Reads the cached records of one instance.
pub(crate) struct InstanceReader<'a> {
    pub(crate) now_ms: f64,
    pub(crate) cache: &'a Cache,
    pub(crate) instance: &'a Name,
    /// When the first of the records read so far became stale, ms.
    pub(crate) stale_since_ms: Option<f64>,
}

impl InstanceReader<'_> {
    /// Returns the endpoint. It keeps the address of `last`, the listed one, as long as the target still has
    /// that address, so that the backend stays the same.
    pub(crate) fn read(mut self, last: Option<&Endpoint>) -> Result<Endpoint, Unlisted> {
        let srv = self.srv()?;
        let metadata = self.metadata().ok_or(Unlisted::Pending)?;
        let last_address = last.map(|last| last.address).filter(|last| last.port() == srv.port);
        let last_ip = last_address.map(|last| last.ip());
        let ip = self.select_address(&srv.target, last_ip)?;
        Ok(Endpoint {
            address: SocketAddr::new(ip, srv.port),
            priority: srv.priority,
            weight: srv.weight,
            metadata: ListedMetadata::new(metadata, last.map(|last| &last.metadata)),
            instance: self.instance.clone(),
            listed_since_ms: last.map_or(self.now_ms, |last| last.listed_since_ms),
            stale_since_ms: self.stale_since_ms,
        })
    }

    fn state(&self, question: &Question) -> CacheState {
        self.cache.get(self.now_ms, question)
    }

    fn track_staleness(&mut self, state: &CacheState) {
        self.stale_since_ms = match (self.stale_since_ms, state.stale_since_ms()) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }

    fn srv(&mut self) -> Result<SrvRecord, Unlisted> {
        let question = Question { name: self.instance.clone(), kind: QueryType::Srv };
        let state = self.state(&question);
        self.track_staleness(&state);
        let srv = match state.answer() {
            None => None,
            Some(CachedAnswer::Negative(_)) => return Err(Unlisted::removed(question, None)),
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

    /// Returns what the TXT records state; `None` if the records are unknown.
    fn metadata(&mut self) -> Option<InstanceMetadata> {
        let question = Question { name: self.instance.clone(), kind: QueryType::Txt };
        let state = self.state(&question);
        self.track_staleness(&state);
        let records: &[RecordData] = match state.answer()? {
            CachedAnswer::Negative(_) => &[],
            CachedAnswer::Records(records) => records,
        };
        Some(InstanceMetadata::read_all(records.iter().filter_map(|data| match data {
            RecordData::Txt(strings) => Some(strings.as_slice()),
            _ => None,
        })))
    }

    /// Returns the metadata of an instance that stays listed although other records of it are unknown or
    /// would remove it.
    pub(crate) fn refreshed_metadata(mut self, last: &ListedMetadata) -> ListedMetadata {
        let question = Question { name: self.instance.clone(), kind: QueryType::Txt };
        match self.metadata() {
            Some(metadata) => ListedMetadata::new(metadata, Some(last)),
            None if self.cache.is_unanswered(self.now_ms, &question) => {
                ListedMetadata::new(InstanceMetadata::unknown(UnknownValue::Unanswered), Some(last))
            }
            // The question has just been asked.
            None => last.clone(),
        }
    }

    fn select_address(&mut self, target: &Name, last_ip: Option<IpAddr>) -> Result<IpAddr, Unlisted> {
        let question = Question { name: target.clone(), kind: QueryType::A };
        let ipv4 = self.state(&question);
        let ipv6 = self.state(&Question { name: target.clone(), kind: QueryType::Aaaa });
        let mut addresses: Vec<IpAddr> = Vec::new();
        for state in [&ipv4, &ipv6] {
            if let Some(CachedAnswer::Records(records)) = state.answer() {
                self.track_staleness(state);
                addresses.extend(records.iter().filter_map(|data| match data {
                    RecordData::Address(address) => Some(*address),
                    _ => None,
                }));
            }
        }
        let unchanged = last_ip.filter(|ip| addresses.contains(ip));
        if let Some(address) = unchanged.or(addresses.first().copied()) {
            return Ok(address);
        }
        if ipv4.answer().is_none() || ipv6.answer().is_none() {
            return Err(Unlisted::Pending);
        }
        Err(Unlisted::removed(question, Some(DropReason::NoAddress(target.clone()))))
    }
}
