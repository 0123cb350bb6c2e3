//! A zone in memory, and what follows it, on a clock of the test's.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::IpAddr;

use dns_sd::{
    Answer, Cache, CacheLimits, Catalogue, CatalogueUpdate, Change, Name, NegativeAnswer, QueryType,
    Question, RecordData, SrvRecord,
};

pub const SERVICE: &str = "_till._tcp.example.org.";

pub fn name(text: &str) -> Name {
    Name::from_ascii(text).expect("a name")
}

pub fn instance(label: &str) -> Name {
    name(&format!("{label}.{SERVICE}"))
}

pub fn of(name: Name, kind: QueryType) -> Question {
    Question { name, kind }
}

pub struct World {
    pub cache: Cache,
    pub catalogue: Catalogue,
    /// What is asked for and not in it has no record.
    pub zone: BTreeMap<Question, Vec<RecordData>>,
    pub ttl_s: u32,
    pub now: f64,
    /// What the resolver says in place of an answer.
    pub broken: Option<&'static str>,
    pub asked: u64,
    pub doubted: u64,
}

impl World {
    pub fn new(bounds: CacheLimits, shrink_most: f64) -> World {
        World {
            cache: Cache::new(bounds, 7),
            catalogue: Catalogue::new(vec![name(SERVICE)], shrink_most),
            zone: BTreeMap::new(),
            ttl_s: 60,
            now: 0.0,
            broken: None,
            asked: 0,
            doubted: 0,
        }
    }

    pub fn put(&mut self, label: &str, priority: u16, port: u16, text: &[&str]) {
        let target = name(&format!("{label}.hosts.example.org."));
        let service = SrvRecord { priority, weight: 1, port, target: target.clone() };
        self.zone.insert(of(instance(label), QueryType::Srv), vec![RecordData::Srv(service)]);
        let text = text.iter().map(|s| s.as_bytes().into()).collect();
        self.zone.insert(of(instance(label), QueryType::Txt), vec![RecordData::Txt(text)]);
        let address = IpAddr::from([127, 0, 0, 1]);
        self.zone.insert(of(target, QueryType::A), vec![RecordData::Address(address)]);
        self.point(label);
    }

    pub fn point(&mut self, label: &str) {
        let all = self.zone.entry(of(name(SERVICE), QueryType::Ptr)).or_default();
        all.push(RecordData::Ptr(instance(label)));
        all.sort();
        all.dedup();
    }

    /// Takes an instance's pointer away.
    pub fn unpoint(&mut self, label: &str) {
        let all = self.zone.entry(of(name(SERVICE), QueryType::Ptr)).or_default();
        all.retain(|data| *data != RecordData::Ptr(instance(label)));
    }

    /// Asks what is due now and reads the list, until nothing is due.
    pub fn settle(&mut self) -> (Vec<Change>, CatalogueUpdate) {
        let mut changes = Vec::new();
        loop {
            let mut reading = self.catalogue.read(self.now, &self.cache);
            changes.append(&mut reading.changes);
            self.cache.follow(self.now, &reading.followed);
            reading.confirm.iter().for_each(|q| self.cache.doubt(self.now, q));
            let due = self.cache.due(self.now);
            if due.is_empty() {
                return (changes, reading);
            }
            for due in due {
                self.asked += 1;
                self.doubted += u64::from(due.doubted);
                if let Some(why) = self.broken {
                    self.cache.failed(self.now, &due.question, why);
                    continue;
                }
                let records = self.zone.get(&due.question).cloned().unwrap_or_default();
                let ttl_s = self.ttl_s;
                let answer = if records.is_empty() {
                    Answer::None { why: NegativeAnswer::NoData, ttl_s }
                } else {
                    Answer::Records { records, ttl_s }
                };
                self.cache.answered(self.now, &due.question, answer);
            }
        }
    }

    /// Lets time pass, asking as it falls due.
    pub fn pass(&mut self, ms: f64) -> Vec<Change> {
        let (until, mut changes) = (self.now + ms, Vec::new());
        while let Some(next) = self.cache.next().filter(|at| *at <= until) {
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
