//! The list: from services to instances to addresses, and who leaves it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hickory_proto::rr::Name;

use crate::answer::{QueryType, Question, RecordData};
use crate::cache::{Cache, CachedAnswer};
use crate::drop_reason::{DropReason, DroppedInstance};
use crate::instance::{follow_instance, instance_name, Departure, Endpoint, InstanceReader, Unlisted};

/// The most instances of a list: an answer must not fill the memory. Further ones are dropped.
pub const MAX_INSTANCES: usize = 20_000;

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
    pub followed: BTreeSet<Question>,
    /// Questions that are to be asked again at once, as too large a part of the list depends on them.
    pub confirm: BTreeSet<Question>,
    /// What changed.
    pub changes: Vec<Change>,
    /// Which instances are not on the list, and why.
    pub dropped: Vec<DroppedInstance>,
    /// How many instances would leave by the present answers, and are listed until another one confirms it.
    pub awaiting_confirmation: usize,
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
        let Pass { mut update, present, removed, .. } = pass;
        self.remove_departed(cache, removed, &mut update);
        self.add_present(present, &mut update.changes);
        update
    }

    /// Takes instances that are gone off the list.
    ///
    /// A resolver may serve an old or an empty zone. So if too many would leave at once, each waits for
    /// another answer. A true loss of most of a service is believed one answer later; until then gateways
    /// find by themselves which backends do not answer.
    fn remove_departed(
        &mut self,
        cache: &Cache,
        removed: BTreeMap<String, Question>,
        update: &mut CatalogueUpdate,
    ) {
        let leaving: BTreeMap<String, Question> =
            removed.into_iter().filter(|(name, _)| self.listed.contains_key(name)).collect();
        let too_many = leaving.len() as f64 > self.listed.len() as f64 * self.max_shrink;
        for (name, listed) in &mut self.listed {
            if !leaving.contains_key(name) {
                listed.doubt = None;
            }
        }
        for (name, question) in leaving {
            let Some(listed) = self.listed.get_mut(&name) else { continue };
            if too_many && !is_confirmed(listed, &question, cache.answers(&question)) {
                update.awaiting_confirmation += 1;
                // The cache is not to forget it while the instance is listed.
                update.followed.insert(question.clone());
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
    /// Instances that are removed, each with the question whose answer says so.
    removed: BTreeMap<String, Question>,
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
            removed: BTreeMap::new(),
            named: BTreeSet::new(),
        }
    }

    fn read_service(&mut self, service: &Name) {
        let question = Question { name: service.clone(), kind: QueryType::Ptr };
        let state = self.cache.get(self.now_ms, &question);
        self.update.followed.insert(question);
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
            follow_instance(instance, self.now_ms, self.cache, &mut self.update.followed);
        }
    }

    fn read_instance(&mut self, service: &Name, instance: &Name, stale_since: Option<f64>) {
        let name = match self.accept_name(service, instance) {
            Ok(name) => name,
            Err(reason) => return self.drop_instance(instance, reason),
        };
        follow_instance(instance, self.now_ms, self.cache, &mut self.update.followed);
        self.named.insert(name.clone());
        let last_address = self.listed.get(&name).map(|listed| listed.endpoint.address);
        let reader = InstanceReader { now_ms: self.now_ms, cache: self.cache, instance, stale_since };
        match reader.read(last_address) {
            Ok(endpoint) => {
                self.present.insert(name, endpoint);
            }
            Err(Unlisted::Pending) => self.update.pending += 1,
            Err(Unlisted::Removed(departure)) => {
                let Departure { question, reason } = *departure;
                if let Some(reason) = reason {
                    self.drop_instance(instance, reason);
                }
                self.removed.insert(name, question);
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
                self.removed.insert(name.clone(), Question { name: service, kind: QueryType::Ptr });
            }
        }
    }
}
