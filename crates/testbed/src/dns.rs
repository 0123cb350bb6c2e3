//! A DNS resolver with a zone of its own, over UDP and TCP. Its bytes are written by hand from RFC 1035,
//! 2308, 2782 and 6891, so that a mistake of the library that reads them shows.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::switch::{Fault, Switch};

/// Types of records.
const A: u16 = 1;
const SOA: u16 = 6;
const PTR: u16 = 12;
const TXT: u16 = 16;
const SRV: u16 = 33;
const OPT: u16 = 41;
/// What fits a datagram where the question does not say (RFC 1035, section 4.2.1).
const MAX_PLAIN_ANSWER_BYTES: usize = 512;
/// Questions that are worked on at once.
const MAX_TASKS: usize = 1_024;
/// How long a TCP connection may say nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How answers of an otherwise sound resolver are wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// They are right.
    #[default]
    None,
    /// Each is preceded by one with another id and another one to another question, which say "no such name".
    Forged,
    /// Each has another id, and nothing follows.
    WrongId,
    /// Each name is said not to exist.
    NameError,
    /// All are truncated, over TCP as well.
    Truncated,
}

/// An instance of a service.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its first label.
    pub label: String,
    /// Its SRV priority, weight and port.
    pub service: (u16, u16, u16),
    /// Its TXT strings.
    pub text: Vec<String>,
    /// Its address.
    pub address: Ipv4Addr,
}

#[derive(Debug, Default)]
struct Zone {
    /// Data of records by name, in lower case with the last dot, and type.
    records: BTreeMap<(String, u16), Vec<Vec<u8>>>,
    ttl_s: u32,
    negative_ttl_s: u32,
    answer_fault: AnswerFault,
}

/// A running resolver. It ends with the value.
#[derive(Debug)]
pub struct Dns {
    /// Where it listens, by UDP and TCP.
    pub address: SocketAddr,
    /// What is wrong with it; [`Fault::Failing`] is SERVFAIL, [`Fault::Refusing`] REFUSED, and
    /// [`Fault::Garbled`] bytes that are no message.
    pub switch: Switch,
    zone: Arc<Mutex<Zone>>,
    question_counts: Arc<(AtomicU64, AtomicU64)>,
    tasks: [JoinHandle<()>; 2],
}

impl Dns {
    /// Starts one whose zone is empty, with lifetimes of records and of "there is none", s.
    ///
    /// # Errors
    /// The system's, if there is no port.
    pub async fn start(ttl_s: u32, negative_ttl_s: u32) -> std::io::Result<Dns> {
        let (udp, tcp) = bind_udp_and_tcp().await?;
        let address = udp.local_addr()?;
        let zone = Arc::new(Mutex::new(Zone { ttl_s, negative_ttl_s, ..Zone::default() }));
        let (switch, question_counts) = (Switch::default(), Arc::<(AtomicU64, AtomicU64)>::default());
        let shared = Shared {
            zone: Arc::clone(&zone),
            switch: switch.clone(),
            question_counts: Arc::clone(&question_counts),
        };
        let tasks = [tokio::spawn(by_udp(udp, shared.clone())), tokio::spawn(by_tcp(tcp, shared))];
        Ok(Dns { address, switch, zone, question_counts, tasks })
    }

    fn with<R>(&self, change: impl FnOnce(&mut Zone) -> R) -> R {
        change(&mut self.zone.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts an instance of a service there, or replaces it.
    pub fn put_instance(&self, service: &str, instance: &Instance) {
        let (service, name) = (fold_case(service), instance_name(&instance.label, service));
        let host = format!("{}.hosts.test.", instance.label.to_lowercase().replace([' ', '.'], "-"));
        let (priority, weight, port) = instance.service;
        let srv = [priority, weight, port].iter().flat_map(|n| n.to_be_bytes()).chain(wire(&host)).collect();
        let text = instance.text.iter().flat_map(|s| {
            let bytes = &s.as_bytes()[..s.len().min(255)];
            std::iter::once(bytes.len() as u8).chain(bytes.iter().copied())
        });
        let text: Vec<u8> = if instance.text.is_empty() { vec![0] } else { text.collect() };
        let pointer = instance_wire(&instance.label, &service);
        self.with(|zone| {
            zone.records.insert((name.clone(), SRV), vec![srv]);
            zone.records.insert((name, TXT), vec![text]);
            zone.records.insert((host, A), vec![instance.address.octets().to_vec()]);
            let pointers = zone.records.entry((service, PTR)).or_default();
            if !pointers.contains(&pointer) {
                pointers.push(pointer);
            }
        });
    }

    /// Takes an instance's pointer away, and nothing else.
    pub fn remove_pointer(&self, service: &str, label: &str) {
        let (service, pointer) = (fold_case(service), instance_wire(label, service));
        self.with(|zone| {
            zone.records.entry((service, PTR)).or_default().retain(|other| *other != pointer);
        });
    }

    /// Sets how its answers are wrong.
    pub fn set_answer_fault(&self, fault: AnswerFault) {
        self.with(|zone| zone.answer_fault = fault);
    }

    /// Sets the lifetime of records, s.
    pub fn set_ttl(&self, ttl_s: u32) {
        self.with(|zone| zone.ttl_s = ttl_s);
    }

    /// Questions that came so far, by UDP and by TCP.
    #[must_use]
    pub fn question_counts(&self) -> (u64, u64) {
        (self.question_counts.0.load(Ordering::Relaxed), self.question_counts.1.load(Ordering::Relaxed))
    }
}

impl Drop for Dns {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A UDP and a TCP socket on one port.
async fn bind_udp_and_tcp() -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut last = None;
    for _ in 0..16 {
        let tcp = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((udp, tcp)),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

fn fold_case(name: &str) -> String {
    format!("{}.", name.trim_end_matches('.').to_lowercase())
}

fn instance_name(label: &str, service: &str) -> String {
    format!("{}.{}", label.to_lowercase(), fold_case(service))
}

/// A name of plain labels.
fn wire(name: &str) -> Vec<u8> {
    let labels = name.split('.').filter(|l| !l.is_empty());
    let bytes = labels.flat_map(|l| std::iter::once(l.len() as u8).chain(l.bytes()));
    bytes.chain([0]).collect()
}

/// A name whose first label may hold dots and spaces (RFC 6763, section 4.1.1).
fn instance_wire(label: &str, service: &str) -> Vec<u8> {
    std::iter::once(label.len() as u8).chain(label.bytes()).chain(wire(service)).collect()
}

#[derive(Clone)]
struct Shared {
    zone: Arc<Mutex<Zone>>,
    switch: Switch,
    question_counts: Arc<(AtomicU64, AtomicU64)>,
}

async fn by_udp(socket: UdpSocket, shared: Shared) {
    let (socket, mut tasks, mut buffer) = (Arc::new(socket), JoinSet::new(), vec![0; 4_096]);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer), if tasks.len() < MAX_TASKS => {
                let Ok((length, from)) = received else { continue };
                let (question, socket) = (buffer[..length].to_vec(), Arc::clone(&socket));
                let shared = shared.clone();
                shared.question_counts.0.fetch_add(1, Ordering::Relaxed);
                tasks.spawn(async move {
                    for answer in shared.answers(&question, true).await {
                        // Fails only where nobody waits for it.
                        let _ = socket.send_to(&answer, from).await;
                    }
                });
            }
            Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

async fn by_tcp(listener: TcpListener, shared: Shared) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if tasks.len() < MAX_TASKS => match accepted {
                Ok((stream, _)) => {
                    tasks.spawn(talk(stream, shared.clone()));
                }
                Err(_) => sleep(Duration::from_millis(20)).await,
            },
            Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

async fn talk(mut stream: TcpStream, shared: Shared) -> Option<()> {
    loop {
        let length = timeout(IDLE_TIMEOUT, stream.read_u16()).await.ok()?.ok()?;
        let mut question = vec![0; usize::from(length)];
        timeout(IDLE_TIMEOUT, stream.read_exact(&mut question)).await.ok()?.ok()?;
        shared.question_counts.1.fetch_add(1, Ordering::Relaxed);
        let answer = shared.answers(&question, false).await.pop()?;
        let length = u16::try_from(answer.len()).ok()?;
        stream.write_all(&[&length.to_be_bytes()[..], &answer].concat()).await.ok()?;
    }
}

impl Shared {
    /// The answers to a question, in the order in which they are sent.
    async fn answers(&self, bytes: &[u8], datagram: bool) -> Vec<Vec<u8>> {
        self.switch.delay().await;
        let fault = self.switch.now();
        if matches!(fault, Fault::Silent | Fault::Resetting) {
            return Vec::new();
        }
        if fault == Fault::Garbled {
            return vec![vec![0xff; 40]];
        }
        let Some(question) = Question::read(bytes) else { return Vec::new() };
        let code = match fault {
            Fault::Failing | Fault::Busy => Some(2),
            Fault::Refusing => Some(5),
            _ => None,
        };
        if let Some(code) = code {
            return vec![question.answer(question.id, code, &[], &[], false)];
        }
        let zone = self.zone.lock().unwrap_or_else(PoisonError::into_inner);
        let truth = question.answer_from_zone(&zone, datagram);
        let other = question.id.wrapping_add(1);
        match zone.answer_fault {
            AnswerFault::None | AnswerFault::NameError | AnswerFault::Truncated => vec![truth],
            AnswerFault::WrongId => vec![question.answer(other, 3, &[], &[], false)],
            AnswerFault::Forged => {
                let strange = Question { wire: wire("other.test."), ..question.clone() };
                let forged = [(other, &question), (question.id, &strange)];
                let forged = forged.map(|(id, q)| q.answer(id, 3, &[], &[], false));
                forged.into_iter().chain([truth]).collect()
            }
        }
    }
}

#[derive(Clone)]
struct Question {
    id: u16,
    /// The name as it came, and folded.
    wire: Vec<u8>,
    name: String,
    kind: u16,
    /// The longest answer that it takes by UDP.
    most: usize,
}

impl Question {
    fn read(bytes: &[u8]) -> Option<Question> {
        let word = |at: usize| Some(u16::from_be_bytes([*bytes.get(at)?, *bytes.get(at + 1)?]));
        let (id, questions, additional) = (word(0)?, word(4)?, word(10)?);
        if questions != 1 {
            return None;
        }
        let (mut at, mut name) = (12, String::new());
        loop {
            let length = usize::from(*bytes.get(at)?);
            at += 1;
            match length {
                0 => break,
                1..=63 => {
                    name += &String::from_utf8_lossy(bytes.get(at..at + length)?).to_lowercase();
                    name.push('.');
                    at += length;
                }
                _ => return None,
            }
        }
        let (wire, kind) = (bytes[12..at].to_vec(), word(at)?);
        let opt = additional > 0 && bytes.get(at + 4) == Some(&0) && word(at + 5) == Some(OPT);
        let most =
            if opt { usize::from(word(at + 7)?).max(MAX_PLAIN_ANSWER_BYTES) } else { MAX_PLAIN_ANSWER_BYTES };
        Some(Question { id, wire, name, kind, most })
    }

    /// What the zone says of it.
    fn answer_from_zone(&self, zone: &Zone, datagram: bool) -> Vec<u8> {
        if zone.answer_fault == AnswerFault::Truncated {
            return self.answer(self.id, 0, &[], &[], true);
        }
        let none = Vec::new();
        let key = (self.name.clone(), self.kind);
        let records = if zone.answer_fault == AnswerFault::NameError {
            &none
        } else {
            zone.records.get(&key).unwrap_or(&none)
        };
        if records.is_empty() {
            let known = zone.answer_fault != AnswerFault::NameError
                && zone.records.keys().any(|(name, _)| *name == self.name);
            let soa = self.soa(zone.negative_ttl_s);
            return self.answer(self.id, if known { 0 } else { 3 }, &[], &[soa], false);
        }
        let record = |data: &Vec<u8>| {
            let mut bytes = vec![0xc0, 12];
            bytes.extend([self.kind, 1].iter().flat_map(|n| n.to_be_bytes()));
            bytes.extend(zone.ttl_s.to_be_bytes());
            // A pointer's last labels are those that were question_counts for.
            let short = data.strip_suffix(&self.wire[..]).filter(|_| self.kind == PTR);
            let data = short.map_or(data.clone(), |first| [first, &[0xc0, 12]].concat());
            bytes.extend((data.len() as u16).to_be_bytes());
            bytes.extend(data);
            bytes
        };
        let records: Vec<Vec<u8>> = records.iter().map(record).collect();
        let whole = self.answer(self.id, 0, &records, &[], false);
        let most = if datagram { self.most } else { usize::from(u16::MAX) };
        if whole.len() > most {
            return self.answer(self.id, 0, &[], &[], true);
        }
        whole
    }

    /// A start of authority at the root: of all names.
    fn soa(&self, negative_ttl_s: u32) -> Vec<u8> {
        let mut bytes = vec![0];
        bytes.extend([SOA, 1].iter().flat_map(|n| n.to_be_bytes()));
        bytes.extend(negative_ttl_s.to_be_bytes());
        bytes.extend(22u16.to_be_bytes());
        bytes.extend([0, 0]);
        bytes.extend([1, 60, 60, 60, negative_ttl_s].iter().flat_map(|n: &u32| n.to_be_bytes()));
        bytes
    }

    fn answer(&self, id: u16, code: u16, answers: &[Vec<u8>], authorities: &[Vec<u8>], cut: bool) -> Vec<u8> {
        let flags = 0x8180 | code | if cut { 0x0200 } else { 0 };
        let counts = [id, flags, 1, answers.len() as u16, authorities.len() as u16, 0];
        let mut bytes: Vec<u8> = counts.iter().flat_map(|n| n.to_be_bytes()).collect();
        bytes.extend(&self.wire);
        bytes.extend([self.kind, 1].iter().flat_map(|n| n.to_be_bytes()));
        answers.iter().chain(authorities).for_each(|record| bytes.extend(record));
        bytes
    }
}

#[cfg(test)]
mod tests;
