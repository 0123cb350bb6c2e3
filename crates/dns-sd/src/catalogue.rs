//! The list: from services to instances to addresses, and who leaves it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

use hickory_proto::rr::Name;

use crate::answer::{QueryType, Question, RecordData, SrvRecord};
use crate::cache::{Cache, CacheState, CachedAnswer};
use crate::metadata::{InstanceMetadata, TxtError};

/// The most instances of a list: an answer must not fill the memory. Further ones are dropped.
pub const MAX_INSTANCES: usize = 20_000;
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
    fn is_listed_as(&self, other: &Endpoint) -> bool {
        self.address == other.address
            && self.priority == other.priority
            && self.weight == other.weight
            && self.instance == other.instance
            && self.metadata == other.metadata
    }
}

/// Why an instance is not on the list, or not by what it says now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its name is not under the service that points to it.
    NotOfService(Name),
    /// Its name has no label, or a label that is too long.
    NoName,
    /// Its name is not UTF-8.
    NameNotUtf8,
    /// Its name has control characters.
    NameHasControls,
    /// Another instance has its name.
    DuplicateName,
    /// There are [`MAX_INSTANCES`] already.
    TooManyInstances,
    /// Its SRV target is the root (RFC 2782).
    TargetIsRoot,
    /// Its SRV port is 0.
    PortIsZero,
    /// A value of its TXT record is not allowed.
    Txt(TxtError),
    /// Its SRV target has no address.
    NoAddress(Name),
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DropReason::NotOfService(service) => write!(f, "it is no instance of {service}"),
            DropReason::NoName => f.write_str("it has no name"),
            DropReason::NameNotUtf8 => f.write_str("its name is no UTF-8"),
            DropReason::NameHasControls => f.write_str("its name has control characters"),
            DropReason::DuplicateName => f.write_str("another instance has that name"),
            DropReason::TooManyInstances => write!(f, "there are {MAX_INSTANCES} already"),
            DropReason::TargetIsRoot => f.write_str("its SRV target is the root: not available here"),
            DropReason::PortIsZero => f.write_str("its SRV port is 0"),
            DropReason::Txt(error) => error.fmt(f),
            DropReason::NoAddress(target) => write!(f, "{target} has no address"),
        }
    }
}

impl std::error::Error for DropReason {}

/// An instance that was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DroppedInstance {
    /// Its name.
    pub instance: Name,
    /// Why.
    pub reason: DropReason,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The instance of this name joined.
    Joined(String),
    /// The instance of this name changed.
    Changed(String),
    /// The instance of this name left by the answer to this question.
    Left(String, Question),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Joined(name) => write!(f, "+ {name}"),
            Change::Changed(name) => write!(f, "~ {name}"),
            Change::Left(name, question) => write!(f, "- {name} by {question}"),
        }
    }
}

/// Result of [`Catalogue::read`].
#[derive(Clone, Debug, Default)]
pub struct CatalogueUpdate {
    /// Questions that are to be followed from now on.
    pub wanted: BTreeSet<Question>,
    /// Questions that are to be asked again at once, as too large a part of the list depends on them.
    pub confirm: BTreeSet<Question>,
    /// What changed.
    pub changes: Vec<Change>,
    /// Which instances are not on the list, and why.
    pub dropped: Vec<DroppedInstance>,
    /// How many instances would leave by the present answers and stay until the next ones.
    pub held: usize,
    /// How many instances have records that are not known.
    pub pending: usize,
    /// How many services are not known.
    pub unknown: usize,
}

#[derive(Debug)]
struct ListedInstance {
    endpoint: Endpoint,
    doubt: Option<Doubt>,
}

/// An answer that would take an instance off the list and is to be confirmed.
#[derive(Debug)]
struct Doubt {
    question: Question,
    /// How many answers to the question there were when it was doubted.
    answers_seen: u64,
}

/// Why an instance gives no endpoint.
enum Unlisted {
    /// Something is not known.
    Pending,
    /// It is not there, or says something of itself that is not allowed.
    Gone(Box<Departure>),
}

/// The question whose answer takes an instance off the list, and what is not allowed about it.
struct Departure {
    question: Question,
    reason: Option<DropReason>,
}

impl Unlisted {
    fn gone(question: Question, reason: Option<DropReason>) -> Unlisted {
        Unlisted::Gone(Box::new(Departure { question, reason }))
    }
}

/// The list of some services.
#[derive(Debug)]
pub struct Catalogue {
    services: Vec<Name>,
    max_shrink: f64,
    listed: BTreeMap<String, ListedInstance>,
}

impl Catalogue {
    /// An empty list of these services. If more than `max_shrink` of the list, 0 to 1, would leave at once,
    /// each instance leaves only by a second answer.
    #[must_use]
    pub fn new(services: Vec<Name>, max_shrink: f64) -> Catalogue {
        let fully_qualified = |mut name: Name| {
            name.set_fqdn(true);
            name
        };
        let services = services.into_iter().map(fully_qualified).collect();
        Catalogue { services, max_shrink, listed: BTreeMap::new() }
    }

    /// The list, in the order of the instances' names.
    pub fn list(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        self.listed.iter().map(|(name, listed)| (name.as_str(), &listed.endpoint))
    }

    /// Brings the list up to date with the cache.
    pub fn read(&mut self, now_ms: f64, cache: &Cache) -> CatalogueUpdate {
        let mut pass = Pass::new(now_ms, cache, &self.listed);
        for service in &self.services {
            pass.read_service(service);
        }
        pass.find_unnamed();
        let Pass { mut update, present, gone, .. } = pass;
        self.remove_gone(cache, gone, &mut update);
        self.add_present(present, &mut update.changes);
        update
    }

    /// Takes instances that are gone off the list.
    ///
    /// A resolver may serve an old or an empty zone. So if too many would leave at once, each waits for another
    /// answer. A true loss of most of a service is believed one answer later; until then gateways find by
    /// themselves which backends do not answer.
    fn remove_gone(&mut self, cache: &Cache, gone: BTreeMap<String, Question>, update: &mut CatalogueUpdate) {
        let leaving: BTreeMap<String, Question> =
            gone.into_iter().filter(|(name, _)| self.listed.contains_key(name)).collect();
        let too_many = leaving.len() as f64 > self.listed.len() as f64 * self.max_shrink;
        for (name, listed) in &mut self.listed {
            if !leaving.contains_key(name) {
                listed.doubt = None;
            }
        }
        for (name, question) in leaving {
            let Some(listed) = self.listed.get_mut(&name) else { continue };
            if too_many && !is_confirmed(listed, &question, cache.answers(&question)) {
                update.held += 1;
                // The cache is not to forget it while the instance is listed.
                update.wanted.insert(question.clone());
                update.confirm.insert(question);
            } else {
                self.listed.remove(&name);
                update.changes.push(Change::Left(name, question));
            }
        }
    }

    fn add_present(&mut self, present: BTreeMap<String, Endpoint>, changes: &mut Vec<Change>) {
        for (name, endpoint) in present {
            let Some(listed) = self.listed.get_mut(&name) else {
                changes.push(Change::Joined(name.clone()));
                self.listed.insert(name, ListedInstance { endpoint, doubt: None });
                continue;
            };
            if !listed.endpoint.is_listed_as(&endpoint) {
                changes.push(Change::Changed(name));
            }
            listed.endpoint = endpoint;
        }
    }
}

/// Whether a question was answered again since it was first doubted; if not, the doubt is noted.
fn is_confirmed(listed: &mut ListedInstance, question: &Question, answers: u64) -> bool {
    match &listed.doubt {
        Some(doubt) if doubt.question == *question => answers > doubt.answers_seen,
        _ => {
            listed.doubt = Some(Doubt { question: question.clone(), answers_seen: answers });
            false
        }
    }
}

/// One pass over all services.
struct Pass<'a> {
    now_ms: f64,
    cache: &'a Cache,
    listed: &'a BTreeMap<String, ListedInstance>,
    update: CatalogueUpdate,
    /// Instances with an endpoint.
    present: BTreeMap<String, Endpoint>,
    /// Instances that are gone, each with the question whose answer says so.
    gone: BTreeMap<String, Question>,
    /// Instances that a service names, or would if it were known.
    named: BTreeSet<String>,
}

impl<'a> Pass<'a> {
    fn new(now_ms: f64, cache: &'a Cache, listed: &'a BTreeMap<String, ListedInstance>) -> Pass<'a> {
        Pass {
            now_ms,
            cache,
            listed,
            update: CatalogueUpdate::default(),
            present: BTreeMap::new(),
            gone: BTreeMap::new(),
            named: BTreeSet::new(),
        }
    }

    fn read_service(&mut self, service: &Name) {
        let question = Question { name: service.clone(), kind: QueryType::Ptr };
        let state = self.cache.get(self.now_ms, &question);
        self.update.wanted.insert(question);
        match state.known() {
            None => self.keep_instances_of(service),
            Some(CachedAnswer::None(_)) => {}
            Some(CachedAnswer::Records(records)) => {
                for record in records.iter() {
                    if let RecordData::Ptr(instance) = record {
                        self.read_instance(service, instance, state.stale_since());
                    }
                }
            }
        }
    }

    /// The service is unknown: that says nothing of its listed instances, which are followed on.
    fn keep_instances_of(&mut self, service: &Name) {
        self.update.unknown += 1;
        let instances = self.listed.values().map(|listed| &listed.endpoint.instance);
        for instance in instances.filter(|instance| instance.base_name() == *service) {
            if let Ok(name) = instance_name(instance) {
                self.named.insert(name);
            }
            follow_instance(instance, self.now_ms, self.cache, &mut self.update.wanted);
        }
    }

    fn read_instance(&mut self, service: &Name, instance: &Name, stale_since: Option<f64>) {
        let name = match self.accept_name(service, instance) {
            Ok(name) => name,
            Err(reason) => return self.drop_instance(instance, reason),
        };
        follow_instance(instance, self.now_ms, self.cache, &mut self.update.wanted);
        self.named.insert(name.clone());
        let last_address = self.listed.get(&name).map(|listed| listed.endpoint.address);
        let reader = InstanceReader { now_ms: self.now_ms, cache: self.cache, instance, stale_since };
        match reader.read(last_address) {
            Ok(endpoint) => {
                self.present.insert(name, endpoint);
            }
            Err(Unlisted::Pending) => self.update.pending += 1,
            Err(Unlisted::Gone(departure)) => {
                let Departure { question, reason } = *departure;
                if let Some(reason) = reason {
                    self.drop_instance(instance, reason);
                }
                self.gone.insert(name, question);
            }
        }
    }

    fn accept_name(&self, service: &Name, instance: &Name) -> Result<String, DropReason> {
        let name = instance_name(instance)?;
        if instance.base_name() != *service {
            return Err(DropReason::NotOfService(service.clone()));
        }
        if self.named.contains(&name) {
            return Err(DropReason::DuplicateName);
        }
        if self.named.len() >= MAX_INSTANCES && !self.listed.contains_key(&name) {
            return Err(DropReason::TooManyInstances);
        }
        Ok(name)
    }

    fn drop_instance(&mut self, instance: &Name, reason: DropReason) {
        self.update.dropped.push(DroppedInstance { instance: instance.clone(), reason });
    }

    /// Listed instances that no service names are gone.
    fn find_unnamed(&mut self) {
        for (name, listed) in self.listed {
            if !self.named.contains(name) {
                let service = listed.endpoint.instance.base_name();
                self.gone.insert(name.clone(), Question { name: service, kind: QueryType::Ptr });
            }
        }
    }
}

/// The first label of an instance's name, which is text (RFC 6763, section 4.1.1).
fn instance_name(instance: &Name) -> Result<String, DropReason> {
    let label = instance.iter().next().filter(|label| label.len() <= MAX_LABEL_BYTES);
    let text = std::str::from_utf8(label.ok_or(DropReason::NoName)?).map_err(|_| DropReason::NameNotUtf8)?;
    if text.chars().any(char::is_control) {
        return Err(DropReason::NameHasControls);
    }
    Ok(text.to_string())
}

/// Adds the questions about an instance.
fn follow_instance(instance: &Name, now_ms: f64, cache: &Cache, wanted: &mut BTreeSet<Question>) {
    let srv = Question { name: instance.clone(), kind: QueryType::Srv };
    let state = cache.get(now_ms, &srv);
    wanted.insert(srv);
    wanted.insert(Question { name: instance.clone(), kind: QueryType::Txt });
    let Some(CachedAnswer::Records(records)) = state.known() else { return };
    if let Some(srv) = preferred_srv(records) {
        wanted.insert(Question { name: srv.target.clone(), kind: QueryType::A });
        wanted.insert(Question { name: srv.target.clone(), kind: QueryType::Aaaa });
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
struct InstanceReader<'a> {
    now_ms: f64,
    cache: &'a Cache,
    instance: &'a Name,
    /// Since when one of the records read so far is stale, ms.
    stale_since: Option<f64>,
}

impl InstanceReader<'_> {
    /// The endpoint; an address that it had is kept while the target has it, as it is the same backend.
    fn read(mut self, last_address: Option<SocketAddr>) -> Result<Endpoint, Unlisted> {
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
            Some(CachedAnswer::None(_)) => return Err(Unlisted::gone(question, None)),
            Some(CachedAnswer::Records(records)) => preferred_srv(records).cloned(),
        };
        let srv = srv.ok_or(Unlisted::Pending)?;
        if srv.target.is_root() {
            return Err(Unlisted::gone(question, Some(DropReason::TargetIsRoot)));
        }
        if srv.port == 0 {
            return Err(Unlisted::gone(question, Some(DropReason::PortIsZero)));
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
            .map_err(|error| Unlisted::gone(question, Some(DropReason::Txt(error))))
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
        Err(Unlisted::gone(question, Some(DropReason::NoAddress(target.clone()))))
    }
}
