//! The list: from services to instances to addresses, and who leaves it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

use hickory_proto::rr::Name;

use crate::answer::{QueryType, Question, RecordData, SrvRecord};
use crate::cache::{Cache, CacheState, CachedAnswer};
use crate::metadata::InstanceMetadata;

/// The most instances of a list. Danger: an answer that fills the memory; what is above is dropped.
pub const MAX_INSTANCES: usize = 20_000;
/// The longest name of an instance, bytes: a label of DNS.
const MAX_LABEL_BYTES: usize = 63;

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Where it takes work.
    pub address: SocketAddr,
    /// Its SRV priority: less is used first.
    pub priority: u16,
    /// Its SRV weight among those of its priority; 0 means very little of it (RFC 2782).
    pub weight: u16,
    /// What its TXT record tells.
    pub traits: InstanceMetadata,
    /// Its name as an instance.
    pub instance: Name,
    /// Since when some record of it is stale, ms; none while all are fresh.
    pub stale_since: Option<f64>,
}

impl Endpoint {
    /// Whether the list says the same by both; age aside.
    fn same(&self, other: &Endpoint) -> bool {
        let of = |e: &Endpoint| (e.address, e.priority, e.weight, e.instance.clone());
        of(self) == of(other) && self.traits == other.traits
    }
}

/// An instance that is not on the list, or not on it by what it says now, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DroppedInstance {
    /// The instance.
    pub instance: Name,
    /// What is wrong with it.
    pub why: String,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It joined.
    Joined(String),
    /// It tells something else of itself.
    Changed(String),
    /// It left by the answer to this question.
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

/// What one reading came to.
#[derive(Clone, Debug, Default)]
pub struct CatalogueUpdate {
    /// What is to be followed from now on.
    pub wanted: BTreeSet<Question>,
    /// What is to be asked again at once, as a part of the list that is too large hangs on it.
    pub confirm: BTreeSet<Question>,
    /// What changed.
    pub changes: Vec<Change>,
    /// Who is not on the list, and why.
    pub dropped: Vec<DroppedInstance>,
    /// How many would leave by what is answered now, and are held until it is answered once more.
    pub held: usize,
    /// Instances of which something is not known yet, or not any more.
    pub pending: usize,
    /// Services of which nothing is known.
    pub unknown: usize,
}

#[derive(Debug)]
struct Listed {
    endpoint: Endpoint,
    /// The question whose answer would take it off, and the answers to it when that was seen first.
    doubt: Option<(Question, u64)>,
}

/// What the records say of an instance.
enum Verdict {
    Here(Endpoint),
    /// Something is not known yet, or not any more.
    Pending,
    /// An authority says that it is not there, or it says of itself what can't be used.
    Gone(Question, Option<String>),
}

/// The list, and how it came to be.
#[derive(Debug)]
pub struct Catalogue {
    services: Vec<Name>,
    shrink_most: f64,
    listed: BTreeMap<String, Listed>,
}

impl Catalogue {
    /// An empty list of these services. Where more than `shrink_most` of the list, 0 to 1, would leave at
    /// once, each leaves only when a second answer says so.
    #[must_use]
    pub fn new(services: Vec<Name>, shrink_most: f64) -> Catalogue {
        let whole = |mut name: Name| {
            name.set_fqdn(true);
            name
        };
        let services = services.into_iter().map(whole).collect();
        Catalogue { services, shrink_most, listed: BTreeMap::new() }
    }

    /// The list, by the names of the instances.
    pub fn list(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        self.listed.iter().map(|(name, listed)| (name.as_str(), &listed.endpoint))
    }

    /// Reads the list anew from what is known.
    pub fn read(&mut self, now: f64, cache: &Cache) -> CatalogueUpdate {
        let mut reading = CatalogueUpdate::default();
        let mut here: BTreeMap<String, Endpoint> = BTreeMap::new();
        let mut gone: BTreeMap<String, Question> = BTreeMap::new();
        let mut named: BTreeSet<String> = BTreeSet::new();
        let mut aside = |instance: &Name, why: String| {
            reading.dropped.push(DroppedInstance { instance: instance.clone(), why });
        };
        for service in &self.services {
            let question = Question { name: service.clone(), kind: QueryType::Ptr };
            let state = cache.get(now, &question);
            reading.wanted.insert(question.clone());
            let Some(known) = state.known() else {
                reading.unknown += 1;
                // Unknown says nothing of those that are listed, and follows them on.
                let of = self.listed.values().map(|l| l.endpoint.instance.clone());
                for instance in of.filter(|i| i.base_name() == *service) {
                    if let Ok(name) = label(&instance) {
                        named.insert(name);
                    }
                    follow(&instance, now, cache, &mut reading.wanted);
                }
                continue;
            };
            let instances: &[RecordData] = match known {
                CachedAnswer::Records(records) => records,
                CachedAnswer::None(_) => &[],
            };
            for data in instances {
                let RecordData::Ptr(instance) = data else { continue };
                let name = match label(instance) {
                    Ok(name) if instance.base_name() == *service => name,
                    Ok(_) => {
                        aside(instance, format!("it is no instance of {service}"));
                        continue;
                    }
                    Err(why) => {
                        aside(instance, why.to_string());
                        continue;
                    }
                };
                if here.contains_key(&name) || named.contains(&name) {
                    aside(instance, "another instance has that name".to_string());
                    continue;
                }
                if named.len() >= MAX_INSTANCES && !self.listed.contains_key(&name) {
                    aside(instance, format!("there are {MAX_INSTANCES} already"));
                    continue;
                }
                follow(instance, now, cache, &mut reading.wanted);
                named.insert(name.clone());
                let before = self.listed.get(&name).map(|l| l.endpoint.address);
                match judge(instance, now, cache, before, since(&state)) {
                    Verdict::Here(endpoint) => {
                        here.insert(name, endpoint);
                    }
                    Verdict::Pending => reading.pending += 1,
                    Verdict::Gone(question, why) => {
                        why.into_iter().for_each(|why| aside(instance, why));
                        gone.insert(name, question);
                    }
                }
            }
        }
        for (name, listed) in &self.listed {
            if !named.contains(name) {
                let service = listed.endpoint.instance.base_name();
                gone.insert(name.clone(), Question { name: service, kind: QueryType::Ptr });
            }
        }
        self.leave(cache, gone, &mut reading);
        self.join(here, &mut reading.changes);
        reading
    }

    /// Takes those off the list that left. Danger: a resolver that serves an old or an empty zone. What would
    /// take too much at once is asked for once more. Harm: a true loss of most of a service is believed one
    /// answer later; gateways find those that don't answer by themselves.
    fn leave(&mut self, cache: &Cache, gone: BTreeMap<String, Question>, reading: &mut CatalogueUpdate) {
        let leaving: Vec<(String, Question)> =
            gone.into_iter().filter(|(name, _)| self.listed.contains_key(name)).collect();
        let many = leaving.len() as f64 > self.listed.len() as f64 * self.shrink_most;
        let names: BTreeSet<String> = leaving.iter().map(|(name, _)| name.clone()).collect();
        for (name, listed) in &mut self.listed {
            if !names.contains(name) {
                listed.doubt = None;
            }
        }
        for (name, question) in leaving {
            let Some(listed) = self.listed.get_mut(&name) else { continue };
            let answers = cache.answers(&question);
            let (known, first) = match listed.doubt.take() {
                Some((by, first)) if by == question => (true, first),
                _ => (false, answers),
            };
            if many && !(known && answers > first) {
                listed.doubt = Some((question.clone(), first));
                reading.held += 1;
                // It is not to be forgotten by the cache while it is listed.
                reading.wanted.insert(question.clone());
                reading.confirm.insert(question);
            } else {
                self.listed.remove(&name);
                reading.changes.push(Change::Left(name, question));
            }
        }
    }

    fn join(&mut self, here: BTreeMap<String, Endpoint>, changes: &mut Vec<Change>) {
        for (name, endpoint) in here {
            match self.listed.get_mut(&name) {
                Some(listed) => {
                    if !listed.endpoint.same(&endpoint) {
                        changes.push(Change::Changed(name));
                    }
                    listed.endpoint = endpoint;
                }
                None => {
                    changes.push(Change::Joined(name.clone()));
                    self.listed.insert(name, Listed { endpoint, doubt: None });
                }
            }
        }
    }
}

fn since(state: &CacheState) -> Option<f64> {
    match state {
        CacheState::Stale { since, .. } => Some(*since),
        _ => None,
    }
}

/// The first label of an instance's name, which is text (RFC 6763, section 4.1.1).
fn label(instance: &Name) -> Result<String, &'static str> {
    let first = instance.iter().next().filter(|l| l.len() <= MAX_LABEL_BYTES).ok_or("it has no name")?;
    let text = std::str::from_utf8(first).map_err(|_| "its name is no UTF-8")?;
    if text.chars().any(char::is_control) {
        return Err("its name has control characters");
    }
    Ok(text.to_string())
}

/// What is asked of an instance.
fn follow(instance: &Name, now: f64, cache: &Cache, wanted: &mut BTreeSet<Question>) {
    let of = |kind| Question { name: instance.clone(), kind };
    wanted.extend([of(QueryType::Srv), of(QueryType::Txt)]);
    let state = cache.get(now, &of(QueryType::Srv));
    if let Some(CachedAnswer::Records(records)) = state.known() {
        if let Some(service) = first(records) {
            let of = |kind| Question { name: service.target.clone(), kind };
            wanted.extend([of(QueryType::A), of(QueryType::Aaaa)]);
        }
    }
}

/// The SRV record that counts: of the least priority, and of those the one of most weight.
fn first(records: &[RecordData]) -> Option<&SrvRecord> {
    let services = records.iter().filter_map(|data| match data {
        RecordData::Srv(service) => Some(service),
        _ => None,
    });
    services.min_by_key(|s| (s.priority, u16::MAX - s.weight))
}

fn judge(
    instance: &Name,
    now: f64,
    cache: &Cache,
    before: Option<SocketAddr>,
    mut stale: Option<f64>,
) -> Verdict {
    let ask = |name: &Name, kind| {
        let question = Question { name: name.clone(), kind };
        let state = cache.get(now, &question);
        (question, state)
    };
    let mut note = |state: &CacheState| {
        let at = since(state);
        stale = match (stale, at) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    };
    let (question, state) = ask(instance, QueryType::Srv);
    note(&state);
    let service = match state.known() {
        None => return Verdict::Pending,
        Some(CachedAnswer::None(_)) => return Verdict::Gone(question, None),
        Some(CachedAnswer::Records(records)) => first(records).cloned(),
    };
    let Some(service) = service else { return Verdict::Pending };
    if service.target.is_root() {
        return Verdict::Gone(question, Some("its SRV target is the root: not available here".to_string()));
    }
    if service.port == 0 {
        return Verdict::Gone(question, Some("its SRV port is 0".to_string()));
    }
    let (question, state) = ask(instance, QueryType::Txt);
    note(&state);
    let traits = match state.known() {
        None => return Verdict::Pending,
        Some(CachedAnswer::None(_)) => Ok(InstanceMetadata::default()),
        Some(CachedAnswer::Records(records)) => match &records[..] {
            // Of several records the least counts, at all agents alike.
            [RecordData::Txt(strings), ..] => InstanceMetadata::read(strings),
            _ => Ok(InstanceMetadata::default()),
        },
    };
    let traits = match traits {
        Ok(traits) => traits,
        Err(bad) => return Verdict::Gone(question, Some(bad.to_string())),
    };
    let (v4, four) = ask(&service.target, QueryType::A);
    let (_, six) = ask(&service.target, QueryType::Aaaa);
    let mut addresses: Vec<IpAddr> = Vec::new();
    for state in [&four, &six] {
        if let Some(CachedAnswer::Records(records)) = state.known() {
            note(state);
            addresses.extend(records.iter().filter_map(|data| match data {
                RecordData::Address(address) => Some(*address),
                _ => None,
            }));
        }
    }
    let kept = before.filter(|b| b.port() == service.port).map(|b| b.ip());
    // An address that it has had is kept while it has it: it is the same backend.
    let address = kept.filter(|ip| addresses.contains(ip)).or(addresses.first().copied());
    let Some(address) = address else {
        return match (four.known(), six.known()) {
            (Some(_), Some(_)) => Verdict::Gone(v4, Some(format!("{} has no address", service.target))),
            _ => Verdict::Pending,
        };
    };
    Verdict::Here(Endpoint {
        address: SocketAddr::new(address, service.port),
        priority: service.priority,
        weight: service.weight,
        traits,
        instance: instance.clone(),
        stale_since: stale,
    })
}
