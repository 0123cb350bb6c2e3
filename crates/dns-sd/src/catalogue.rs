//! The endpoint list: resolves services to instances and instances to endpoints, and decides which instances
//! are removed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hickory_proto::rr::Name;

use crate::answer::{QueryType, Question, RecordData};
use crate::cache::{Cache, CachedAnswer};
use crate::drop_reason::{DropReason, DroppedInstance};
use crate::instance::{add_instance_questions, instance_name, Endpoint, InstanceReader, Removal, Unlisted};
use crate::listed_metadata::{withhold_unreadable, ListedMetadata};

/// Maximum number of instances on the list; further ones are dropped. It bounds the memory that answers can
/// make the process use.
pub const MAX_INSTANCES: usize = 20_000;

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The instance with this name was added.
    Added(String),
    /// The endpoint of the instance with this name changed.
    Changed(String),
    /// The instance with this name was removed because of the answer to this question.
    Removed(String, Question),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(name) => write!(f, "+ {name}"),
            Change::Changed(name) => write!(f, "~ {name}"),
            Change::Removed(name, question) => write!(f, "- {name} by {question}"),
        }
    }
}

/// Result of [`Catalogue::update`].
#[derive(Clone, Debug, Default)]
pub struct CatalogueUpdate {
    /// Questions that the cache has to follow from now on.
    pub followed: BTreeSet<Question>,
    /// Questions whose answers would remove too large a part of the list and need confirmation by a second
    /// answer.
    pub to_confirm: BTreeSet<Question>,
    /// Changes of the list.
    pub changes: Vec<Change>,
    /// Instances whose records are not used, with the reasons.
    pub dropped: Vec<DroppedInstance>,
    /// Number of instances that the current answers would remove and that stay listed until a second answer
    /// confirms it.
    pub awaiting_confirmation: usize,
    /// Number of instances with an unknown record.
    pub pending_instances: usize,
    /// Number of services whose instances are unknown.
    pub unknown_services: usize,
}

#[derive(Debug)]
struct ListedInstance {
    endpoint: Endpoint,
    pending_removal: Option<PendingRemoval>,
}

/// An answer that would remove an instance and needs confirmation by another one.
#[derive(Debug)]
struct PendingRemoval {
    question: Question,
    /// Number of answers to the question when the removal was deferred.
    answer_count: u64,
}

/// The endpoint list of a set of services.
#[derive(Debug)]
pub struct Catalogue {
    services: Vec<Name>,
    max_shrink: f64,
    listed: BTreeMap<String, ListedInstance>,
}

impl Catalogue {
    /// Creates an empty list of these services. If more than the fraction `max_shrink` of the list, 0 to 1,
    /// would be removed at once, each of these removals needs a second answer.
    #[must_use]
    pub fn new(services: Vec<Name>, max_shrink: f64) -> Catalogue {
        let fully_qualified = |mut name: Name| {
            name.set_fqdn(true);
            name
        };
        let services = services.into_iter().map(fully_qualified).collect();
        Catalogue { services, max_shrink, listed: BTreeMap::new() }
    }

    /// Returns the list, ordered by instance name.
    pub fn list(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        self.listed.iter().map(|(name, listed)| (name.as_str(), &listed.endpoint))
    }

    /// Updates the list from the cache.
    pub fn update(&mut self, now_ms: f64, cache: &Cache) -> CatalogueUpdate {
        let mut pass = Pass::new(now_ms, cache, &self.listed);
        for service in &self.services {
            pass.read_service(service);
        }
        pass.find_unreferenced();
        let Pass { mut update, mut present, removed, refreshed, .. } = pass;
        self.remove_instances(cache, removed, &mut update);
        self.add_refreshed(refreshed, &mut present);
        let mut metadata: Vec<&mut ListedMetadata> =
            present.values_mut().map(|endpoint| &mut endpoint.metadata).collect();
        withhold_unreadable(&mut metadata);
        self.add_or_update_instances(present, &mut update.changes);
        update
    }

    /// Removes instances from the list.
    ///
    /// A resolver may serve an outdated or empty zone. If too many instances would be removed at once, each
    /// removal therefore needs a second answer. A genuine loss of most of a service takes effect one answer
    /// later; until then gateways detect by themselves which backends do not respond.
    fn remove_instances(
        &mut self,
        cache: &Cache,
        removed: BTreeMap<String, Question>,
        update: &mut CatalogueUpdate,
    ) {
        let removals: BTreeMap<String, Question> =
            removed.into_iter().filter(|(name, _)| self.listed.contains_key(name)).collect();
        let too_many = removals.len() as f64 > self.listed.len() as f64 * self.max_shrink;
        for (name, listed) in &mut self.listed {
            if !removals.contains_key(name) {
                listed.pending_removal = None;
            }
        }
        for (name, question) in removals {
            let Some(listed) = self.listed.get_mut(&name) else { continue };
            if too_many && !confirm_or_defer(listed, &question, cache.answer_count(&question)) {
                update.awaiting_confirmation += 1;
                // The cache must keep the answer while the instance is listed.
                update.followed.insert(question.clone());
                update.to_confirm.insert(question);
            } else {
                self.listed.remove(&name);
                update.changes.push(Change::Removed(name, question));
            }
        }
    }

    /// Adds the instances that stay listed without a valid endpoint, with their current metadata.
    fn add_refreshed(
        &self,
        refreshed: BTreeMap<String, ListedMetadata>,
        present: &mut BTreeMap<String, Endpoint>,
    ) {
        for (name, metadata) in refreshed {
            if let Some(listed) = self.listed.get(&name) {
                present.insert(name, Endpoint { metadata, ..listed.endpoint.clone() });
            }
        }
    }

    fn add_or_update_instances(&mut self, present: BTreeMap<String, Endpoint>, changes: &mut Vec<Change>) {
        for (name, endpoint) in present {
            let Some(listed) = self.listed.get_mut(&name) else {
                changes.push(Change::Added(name.clone()));
                self.listed.insert(name, ListedInstance { endpoint, pending_removal: None });
                continue;
            };
            if !listed.endpoint.equals_ignoring_staleness(&endpoint) {
                changes.push(Change::Changed(name));
            }
            listed.endpoint = endpoint;
        }
    }
}

/// Returns `true` if the question was answered again since the removal was deferred. Otherwise the removal
/// stays deferred, or is deferred from now on.
fn confirm_or_defer(listed: &mut ListedInstance, question: &Question, answer_count: u64) -> bool {
    match &listed.pending_removal {
        Some(pending) if pending.question == *question => answer_count > pending.answer_count,
        _ => {
            listed.pending_removal = Some(PendingRemoval { question: question.clone(), answer_count });
            false
        }
    }
}

/// State of one pass over all services.
struct Pass<'a> {
    now_ms: f64,
    cache: &'a Cache,
    listed: &'a BTreeMap<String, ListedInstance>,
    update: CatalogueUpdate,
    /// Instances with a valid endpoint.
    present: BTreeMap<String, Endpoint>,
    /// Current metadata of listed instances without a valid endpoint.
    refreshed: BTreeMap<String, ListedMetadata>,
    /// Instances to remove, each with the question whose answer is the reason.
    removed: BTreeMap<String, Question>,
    /// Names of instances that a service's PTR records reference. Those of an unknown service count as
    /// referenced.
    referenced: BTreeSet<String>,
}

impl<'a> Pass<'a> {
    fn new(now_ms: f64, cache: &'a Cache, listed: &'a BTreeMap<String, ListedInstance>) -> Pass<'a> {
        Pass {
            now_ms,
            cache,
            listed,
            update: CatalogueUpdate::default(),
            present: BTreeMap::new(),
            refreshed: BTreeMap::new(),
            removed: BTreeMap::new(),
            referenced: BTreeSet::new(),
        }
    }

    fn read_service(&mut self, service: &Name) {
        let question = Question { name: service.clone(), kind: QueryType::Ptr };
        let state = self.cache.get(self.now_ms, &question);
        self.update.followed.insert(question);
        match state.answer() {
            None => self.keep_instances_of(service),
            Some(CachedAnswer::Negative(_)) => {}
            Some(CachedAnswer::Records(records)) => {
                for record in records.iter() {
                    if let RecordData::Ptr(instance) = record {
                        self.read_instance(service, instance, state.stale_since_ms());
                    }
                }
            }
        }
    }

    /// Keeps the listed instances of a service whose instances are unknown, and continues to follow their
    /// records.
    fn keep_instances_of(&mut self, service: &Name) {
        self.update.unknown_services += 1;
        let instances = self.listed.values().map(|listed| &listed.endpoint.instance);
        for instance in instances.filter(|instance| instance.base_name() == *service) {
            if let Ok(name) = instance_name(instance) {
                self.refresh_metadata(&name, instance);
                self.referenced.insert(name);
            }
            add_instance_questions(instance, self.now_ms, self.cache, &mut self.update.followed);
        }
    }

    fn read_instance(&mut self, service: &Name, instance: &Name, stale_since_ms: Option<f64>) {
        let name = match self.validate_name(service, instance) {
            Ok(name) => name,
            Err(reason) => return self.drop_instance(instance, reason),
        };
        add_instance_questions(instance, self.now_ms, self.cache, &mut self.update.followed);
        self.referenced.insert(name.clone());
        let last = self.listed.get(&name).map(|listed| &listed.endpoint);
        let reader = InstanceReader { now_ms: self.now_ms, cache: self.cache, instance, stale_since_ms };
        match reader.read(last) {
            Ok(endpoint) => {
                self.present.insert(name, endpoint);
            }
            Err(Unlisted::Pending) => {
                self.update.pending_instances += 1;
                self.refresh_metadata(&name, instance);
            }
            Err(Unlisted::Removed(removal)) => {
                self.refresh_metadata(&name, instance);
                let Removal { question, reason } = *removal;
                if let Some(reason) = reason {
                    self.drop_instance(instance, reason);
                }
                self.removed.insert(name, question);
            }
        }
    }

    /// Reads the metadata of an instance that stays listed without a valid endpoint: its other records may
    /// be unknown, or its removal may await confirmation.
    fn refresh_metadata(&mut self, name: &str, instance: &Name) {
        let Some(listed) = self.listed.get(name) else { return };
        let (now_ms, cache) = (self.now_ms, self.cache);
        let reader = InstanceReader { now_ms, cache, instance, stale_since_ms: None };
        let metadata = reader.refreshed_metadata(&listed.endpoint.metadata);
        self.refreshed.insert(name.to_string(), metadata);
    }

    fn validate_name(&self, service: &Name, instance: &Name) -> Result<String, DropReason> {
        let name = instance_name(instance)?;
        if instance.base_name() != *service {
            return Err(DropReason::NotOfService(service.clone()));
        }
        if self.referenced.contains(&name) {
            return Err(DropReason::DuplicateName);
        }
        if self.referenced.len() >= MAX_INSTANCES && !self.listed.contains_key(&name) {
            return Err(DropReason::TooManyInstances);
        }
        Ok(name)
    }

    fn drop_instance(&mut self, instance: &Name, reason: DropReason) {
        self.update.dropped.push(DroppedInstance { instance: instance.clone(), reason });
    }

    /// Marks listed instances that no service references as removed.
    fn find_unreferenced(&mut self) {
        for (name, listed) in self.listed {
            if !self.referenced.contains(name) {
                let service = listed.endpoint.instance.base_name();
                self.removed.insert(name.clone(), Question { name: service, kind: QueryType::Ptr });
            }
        }
    }
}
