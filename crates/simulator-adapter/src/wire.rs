//! Frames and records of the bench's wire, to and from the interface's types.

use std::fmt;
use std::io::{self, Read};

use gateway_policy::interface::{
    Action, BackendEndpoint, EndpointState, Event, Outcome, Request, UpdateScope,
};

#[cfg(test)]
mod tests;

const HEADER: usize = 20;
const ENTRY: usize = 21;

/// Input that can't be read, with what is wrong.
#[derive(Debug)]
pub struct Malformed(String);

impl Malformed {
    pub fn new(what: impl Into<String>) -> Self {
        Malformed(what.into())
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Big-endian fields, read in turn.
pub struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], Malformed> {
        if self.0.len() < n {
            return Err(Malformed::new(format!("{what}: {n} bytes wanted, {} left", self.0.len())));
        }
        let (head, rest) = self.0.split_at(n);
        self.0 = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], Malformed> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N, what)?);
        Ok(bytes)
    }

    fn u8(&mut self, what: &str) -> Result<u8, Malformed> {
        Ok(self.array::<1>(what)?[0])
    }

    fn u16(&mut self, what: &str) -> Result<u16, Malformed> {
        self.array(what).map(u16::from_be_bytes)
    }

    fn u32(&mut self, what: &str) -> Result<u32, Malformed> {
        self.array(what).map(u32::from_be_bytes)
    }

    fn u64(&mut self, what: &str) -> Result<u64, Malformed> {
        self.array(what).map(u64::from_be_bytes)
    }

    fn f32(&mut self, what: &str) -> Result<f64, Malformed> {
        self.array(what).map(|b| f64::from(f32::from_be_bytes(b)))
    }

    fn f64(&mut self, what: &str) -> Result<f64, Malformed> {
        self.array(what).map(f64::from_be_bytes)
    }

    fn load(&mut self) -> Result<Vec<f32>, Malformed> {
        let n = usize::from(self.u8("stats")?);
        (0..n).map(|_| self.array("stats").map(f32::from_be_bytes)).collect()
    }
}

/// A batch as it came.
pub struct Frame {
    pub number: u32,
    pub now: f64,
    count: u32,
    body: Vec<u8>,
}

impl Frame {
    /// Reads the next batch; `None` at the end of the input.
    pub fn read(input: &mut dyn Read) -> Result<Option<Frame>, Malformed> {
        let mut header = Vec::with_capacity(HEADER);
        read_up_to(input, HEADER, &mut header)?;
        if header.is_empty() {
            return Ok(None);
        }
        let mut fields = Fields(&header);
        let number = fields.u32("batch header")?;
        let count = fields.u32("batch header")?;
        let length = fields.u32("batch header")? as usize;
        let now = fields.f64("batch header")?;
        if !now.is_finite() {
            return Err(Malformed::new(format!("batch {number}: the clock is not a number")));
        }
        let mut body = Vec::new();
        read_up_to(input, length, &mut body)?;
        if body.len() < length {
            let got = body.len();
            return Err(Malformed::new(format!("batch {number}: ends after {got} of {length} bytes")));
        }
        Ok(Some(Frame { number, now, count, body }))
    }

    /// Its records: code and fields.
    pub fn records(&self) -> impl Iterator<Item = Result<(u8, Fields<'_>), Malformed>> {
        let mut rest = Fields(&self.body);
        (0..=self.count).filter_map(move |i| {
            if i == self.count {
                let left = rest.0.len();
                return (left > 0)
                    .then(|| Err(Malformed::new(format!("{left} bytes after the last record"))));
            }
            Some(record_header(&mut rest))
        })
    }
}

fn record_header<'a>(rest: &mut Fields<'a>) -> Result<(u8, Fields<'a>), Malformed> {
    let code = rest.u8("record header")?;
    let length = rest.u32("record header")? as usize;
    Ok((code, Fields(rest.take(length, "record")?)))
}

fn read_up_to(input: &mut dyn Read, n: usize, into: &mut Vec<u8>) -> Result<(), Malformed> {
    let read: io::Result<usize> = input.take(n as u64).read_to_end(into);
    read.map(|_| ()).map_err(|e| Malformed::new(format!("input: {e}")))
}

/// A record of a batch.
pub enum Record<'a> {
    Context(u16),
    Directory(usize, Vec<BackendEndpoint>),
    Create { seed: u64, settings: &'a [u8] },
    PowerOff,
    Event(Pending<'a>),
}

/// An event whose list may still have to be looked up.
pub enum Pending<'a> {
    List(UpdateScope, usize),
    Ended { id: u64, attempt: u32, backend: u32, outcome: Outcome, took: f64, closed: bool, facts: Facts },
    Probed { backend: u32, outcome: Outcome, load: Vec<f32> },
    Peer { from: u32, body: &'a [u8] },
    Plain(Event<'static>),
}

/// What an outcome tells beside how it ended.
pub struct Facts {
    metered: Option<f64>,
    charged: Option<f64>,
    load: Vec<f32>,
}

impl Pending<'_> {
    /// The event, with its list.
    pub fn resolve<'a>(&'a self, lists: &'a [Vec<BackendEndpoint>]) -> Result<Event<'a>, Malformed> {
        Ok(match self {
            Pending::List(scope, bank) => {
                let entries: &[BackendEndpoint] = match scope {
                    UpdateScope::Failed => &[],
                    _ => lists.get(*bank).ok_or_else(|| Malformed::new(format!("no list {bank}")))?,
                };
                Event::EndpointsUpdated { scope: *scope, endpoints: entries }
            }
            Pending::Ended { id, attempt, backend, outcome, took, closed, facts } => Event::AttemptEnded {
                id: *id,
                attempt: *attempt,
                backend: *backend,
                outcome: *outcome,
                latency_ms: *took,
                answered: *closed,
                metered_use: facts.metered,
                actual_units: facts.charged,
                load: &facts.load,
            },
            Pending::Probed { backend, outcome, load } => {
                Event::ProbeEnded { backend: *backend, outcome: *outcome, load }
            }
            Pending::Peer { from, body } => Event::PeerMessage { from: *from, body },
            Pending::Plain(event) => event.clone(),
        })
    }
}

/// Reads the fields of a record.
pub fn record<'a>(code: u8, f: &mut Fields<'a>) -> Result<Record<'a>, Malformed> {
    let event = match code {
        6 => return Ok(Record::Context(f.u16("Context")?)),
        5 => return Ok(Record::PowerOff),
        7 => {
            let bank = usize::from(f.u8("Directory")?);
            if bank >= crate::LISTS {
                return Err(Malformed::new(format!("Directory: no list {bank}")));
            }
            let n = f.u32("Directory")? as usize;
            let bytes = f.take(n.saturating_mul(ENTRY), "Directory")?;
            let entries = bytes.chunks_exact(ENTRY).map(|e| entry(&mut Fields(e)));
            return Ok(Record::Directory(bank, entries.collect::<Result<_, _>>()?));
        }
        3 => {
            let seed = f.u64("Create")?;
            let n = f.u32("Create")? as usize;
            return Ok(Record::Create { seed, settings: f.take(n, "Create")? });
        }
        1 => {
            let scope = match f.u8("BackendsChanged")? {
                0 => UpdateScope::Delta,
                1 => UpdateScope::Full,
                2 => UpdateScope::Cached,
                3 => UpdateScope::Failed,
                other => return Err(Malformed::new(format!("BackendsChanged: unknown scope {other}"))),
            };
            f.u32("BackendsChanged")?;
            Pending::List(scope, usize::from(f.u8("BackendsChanged")?))
        }
        10 => Pending::Plain(Event::Request(request(f)?)),
        2 => ended(f)?,
        9 => {
            let from = f.u32("NeighbourSays")?;
            let n = usize::from(f.u16("NeighbourSays")?);
            Pending::Peer { from, body: f.take(n, "NeighbourSays")? }
        }
        4 => {
            let name = f.u64("Reckoned")?;
            let outcome = outcome(f.u8("Reckoned")?)?;
            Pending::Plain(Event::CounterReplied { key: name, outcome, total: f.f32("Reckoned")? })
        }
        11 => Pending::Plain(Event::ClientDisconnected { id: f.u64("Dropped")? }),
        0 => {
            let backend = f.u32("Probed")?;
            f.f64("Probed")?;
            let outcome = outcome(f.u8("Probed")?)?;
            Pending::Probed { backend, outcome, load: f.load()? }
        }
        8 => Pending::Plain(Event::StreamStarted {
            id: f.u64("Flowing")?,
            attempt: u32::from(f.u16("Flowing")?),
            backend: f.u32("Flowing")?,
        }),
        12 => Pending::Plain(Event::TimerExpired { token: f.u64("Ring")? }),
        other => return Err(Malformed::new(format!("unknown event code {other}"))),
    };
    Ok(Record::Event(event))
}

fn entry(f: &mut Fields<'_>) -> Result<BackendEndpoint, Malformed> {
    let state = match f.u8("Directory")? {
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        3 => EndpointState::Removed,
        other => return Err(Malformed::new(format!("Directory: unknown state {other}"))),
    };
    let id = f.u32("Directory")?;
    Ok(BackendEndpoint {
        state,
        id,
        // Numbers are the same at all gateways here.
        key: u64::from(id),
        kind: 0,
        cell: u32::from(f.u16("Directory")?),
        zone: u32::from(f.u8("Directory")?),
        started_ms: f.f64("Directory")?,
        reenabled_ms: 0.0,
        weight: f.f32("Directory")?,
        weight_share: 1.0,
    })
}

fn request(f: &mut Fields<'_>) -> Result<Request, Malformed> {
    let what = "NewRequest";
    let id = f.u64(what)?;
    let width = f.f32(what)?;
    f.f32(what)?;
    let retry = f.u8(what)? & 2 != 0;
    let plan = usize::from(f.u16(what)?);
    let units = f.f32(what)?;
    let expires_ms = f.f64(what)?;
    let class = usize::from(f.u8(what)?);
    let customer = f.u64(what)?;
    Ok(Request { id, customer, plan, class, units, fan_out: width, deadline_ms: expires_ms, retry })
}

fn ended<'a>(f: &mut Fields<'a>) -> Result<Pending<'a>, Malformed> {
    let what = "Result";
    let id = f.u64(what)?;
    let attempt = u32::from(f.u16(what)?);
    let backend = f.u32(what)?;
    let outcome = outcome(f.u8(what)?)?;
    let took = f.f64(what)?;
    let closed = f.u8(what)? != 0;
    let used = f.u16(what)?;
    let charged = f.u16(what)?;
    let facts = Facts {
        metered: (used > 0).then(|| f64::from(used - 1) / 100.0),
        charged: (charged > 0).then(|| f64::from(charged)),
        load: f.load()?,
    };
    Ok(Pending::Ended { id, attempt, backend, outcome, took, closed, facts })
}

fn outcome(code: u8) -> Result<Outcome, Malformed> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(Malformed::new(format!("unknown reason {other}"))),
    })
}

/// A reply in the making.
pub struct Reply {
    bytes: Vec<u8>,
    instance: Option<u16>,
}

impl Reply {
    pub fn new(number: u32) -> Reply {
        let mut bytes = number.to_be_bytes().to_vec();
        bytes.extend([0; 4]);
        Reply { bytes, instance: None }
    }

    fn put(&mut self, instance: u16, code: u8, fields: &[&[u8]]) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.record(4, &[&instance.to_be_bytes()]);
        }
        self.record(code, fields);
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|f| f.len()).sum();
        self.bytes.push(code);
        self.bytes.extend((length as u32).to_be_bytes());
        fields.iter().for_each(|f| self.bytes.extend(*f));
    }

    pub fn bug(&mut self, instance: u16, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(instance, 5, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    pub fn action(&mut self, instance: u16, action: &Action) {
        match action {
            // What is sent there begins at once, and waits until the client gives up.
            Action::SendAttempt { id, backend, .. } => {
                let wait = 0.0f64.to_be_bytes();
                self.put(instance, 6, &[&id.to_be_bytes(), &backend.to_be_bytes(), &wait]);
            }
            Action::CancelAttempt { id, attempt } => {
                self.put(instance, 7, &[&id.to_be_bytes(), &(*attempt as u16).to_be_bytes()]);
            }
            Action::Reject { id, retry_after_ms } => {
                let wait = retry_after_ms.unwrap_or(0.0).to_be_bytes();
                self.put(instance, 0, &[&id.to_be_bytes(), &wait]);
            }
            Action::Fail { id } => self.put(instance, 3, &[&id.to_be_bytes()]),
            Action::Probe { backend } => self.put(instance, 1, &[&backend.to_be_bytes()]),
            Action::IncrementCounter { key: name, amount, ttl_ms: forget_after_ms } => {
                let amount = (*amount as f32).to_be_bytes();
                self.put(instance, 12, &[&name.to_be_bytes(), &amount, &forget_after_ms.to_be_bytes()]);
            }
            Action::ScheduleTimer { token, at_ms } => {
                self.put(instance, 2, &[&token.to_be_bytes(), &at_ms.to_be_bytes()]);
            }
            Action::BroadcastToPeers { body } => {
                let length = (body.len() as u16).to_be_bytes();
                self.put(instance, 10, &[&u16::MAX.to_be_bytes(), &length, body]);
            }
            Action::PollEndpoints => self.put(instance, 13, &[&[1]]),
        }
    }

    /// The bytes to write.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - 8) as u32;
        self.bytes[4..8].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }
}
