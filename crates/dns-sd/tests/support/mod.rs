//! An in-memory zone with a cache and a catalogue that follow it on a simulated clock.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::IpAddr;

use dns_sd::{
    Answer, Cache, CacheLimits, Catalogue, CatalogueUpdate, Change, Name, NegativeAnswer, QueryType,
    Question, RecordData, SrvRecord,
};

pub const SERVICE: &str = "_till._tcp.example.org.";

pub fn name(text: &str) -> Name {
    Name::from_ascii(text).expect("valid name")
}

pub fn instance(label: &str) -> Name {
    name(&format!("{label}.{SERVICE}"))
}

pub fn question(name: Name, kind: QueryType) -> Question {
    Question { name, kind }
}

pub struct Harness {
    pub cache: Cache,
    pub catalogue: Catalogue,
    /// Records by question. A question that is missing is answered with NODATA.
    pub zone: BTreeMap<Question, Vec<RecordData>>,
    pub ttl_s: u32,
    pub now: f64,
    /// Failure reason of all queries while set.
    pub resolver_error: Option<&'static str>,
    /// Types whose queries fail.
    pub failing_kinds: Vec<QueryType>,
    pub queries: u64,
    pub confirmation_queries: u64,
}

impl Harness {
    pub fn new(limits: CacheLimits, max_shrink: f64) -> Harness {
        Harness {
            cache: Cache::new(limits, 7),
            catalogue: Catalogue::new(vec![name(SERVICE)], max_shrink),
            zone: BTreeMap::new(),
            ttl_s: 60,
            now: 0.0,
            resolver_error: None,
            failing_kinds: Vec::new(),
            queries: 0,
            confirmation_queries: 0,
        }
    }

    /// Adds all records of an instance.
    pub fn add_instance(&mut self, label: &str, priority: u16, port: u16, txt: &[&str]) {
        let target = name(&format!("{label}.hosts.example.org."));
        let srv = SrvRecord { priority, weight: 1, port, target: target.clone() };
        self.zone.insert(question(instance(label), QueryType::Srv), vec![RecordData::Srv(srv)]);
        let txt = txt.iter().map(|s| s.as_bytes().into()).collect();
        self.zone.insert(question(instance(label), QueryType::Txt), vec![RecordData::Txt(txt)]);
        let address = IpAddr::from([127, 0, 0, 1]);
        self.zone.insert(question(target, QueryType::A), vec![RecordData::Address(address)]);
        self.add_pointer(label);
    }

    /// Adds a PTR record for an instance.
    pub fn add_pointer(&mut self, label: &str) {
        let pointers = self.zone.entry(question(name(SERVICE), QueryType::Ptr)).or_default();
        pointers.push(RecordData::Ptr(instance(label)));
        pointers.sort();
        pointers.dedup();
    }

    /// Removes the PTR record of an instance.
    pub fn remove_pointer(&mut self, label: &str) {
        let pointers = self.zone.entry(question(name(SERVICE), QueryType::Ptr)).or_default();
        pointers.retain(|data| *data != RecordData::Ptr(instance(label)));
    }

    /// Answers the due queries and updates the list until no query is due.
    pub fn settle(&mut self) -> (Vec<Change>, CatalogueUpdate) {
        let mut changes = Vec::new();
        loop {
            let mut update = self.catalogue.update(self.now, &self.cache);
            changes.append(&mut update.changes);
            self.cache.follow(self.now, &update.followed);
            update.to_confirm.iter().for_each(|q| self.cache.request_confirmation(self.now, q));
            let due = self.cache.take_due(self.now);
            if due.is_empty() {
                return (changes, update);
            }
            for due in due {
                self.queries += 1;
                self.confirmation_queries += u64::from(due.needs_confirmation);
                if let Some(reason) = self.resolver_error {
                    self.cache.record_failure(self.now, &due.question, reason);
                    continue;
                }
                if self.failing_kinds.contains(&due.question.kind) {
                    self.cache.record_failure(self.now, &due.question, "no answer in time");
                    continue;
                }
                let records = self.zone.get(&due.question).cloned().unwrap_or_default();
                let ttl_s = self.ttl_s;
                let answer = if records.is_empty() {
                    Answer::Negative { kind: NegativeAnswer::NoData, ttl_s }
                } else {
                    Answer::Records { records, ttl_s }
                };
                self.cache.record_answer(self.now, &due.question, answer);
            }
        }
    }

    /// Advances the clock and answers queries as they become due.
    pub fn advance(&mut self, ms: f64) -> Vec<Change> {
        let (until, mut changes) = (self.now + ms, Vec::new());
        while let Some(next) = self.cache.next_due_ms().filter(|due_ms| *due_ms <= until) {
            self.now = self.now.max(next);
            changes.extend(self.settle().0);
        }
        self.now = until;
        changes.extend(self.settle().0);
        changes
    }

    pub fn names(&self) -> Vec<String> {
        self.catalogue.list().map(|(name, _)| name.to_string()).collect()
    }
}
