//! A DNS resolver stand-in with its own zone, over UDP and TCP. It encodes messages itself, after RFC 1035,
//! 2308, 2782 and 6891, so that tests find errors of the library that reads them.

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

// Record types.
const A: u16 = 1;
const SOA: u16 = 6;
const PTR: u16 = 12;
const TXT: u16 = 16;
const SRV: u16 = 33;
const OPT: u16 = 41;
/// Maximum length of a UDP answer to a question without EDNS, bytes (RFC 1035, section 4.2.1).
const MAX_PLAIN_ANSWER_BYTES: usize = 512;
/// Maximum number of UDP questions being answered, and of open TCP connections.
const MAX_TASKS: usize = 1_024;
/// Time after which an idle TCP connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A fault in the content of the answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// Correct answers.
    #[default]
    None,
    /// Precedes each answer with two forged NXDOMAIN answers: one with another id, one to another question.
    Forged,
    /// Sends only an NXDOMAIN answer with another id.
    WrongId,
    /// Answers that no name exists (NXDOMAIN).
    NameError,
    /// Truncates all answers, over TCP as well.
    Truncated,
    /// Answers no question for a TXT record.
    NoTextAnswer,
}

/// A service instance (RFC 6763).
#[derive(Clone, Debug)]
pub struct Instance {
    /// First label of its name.
    pub label: String,
    /// SRV priority, weight and port.
    pub service: (u16, u16, u16),
    /// TXT strings.
    pub text: Vec<String>,
    /// Address of its host.
    pub address: Ipv4Addr,
}

#[derive(Debug, Default)]
struct Zone {
    /// Record data by name (lower case, with the final dot) and type.
    records: BTreeMap<(String, u16), Vec<Vec<u8>>>,
    ttl_s: u32,
    negative_ttl_s: u32,
    answer_fault: AnswerFault,
}

/// A running resolver, stopped when dropped.
#[derive(Debug)]
pub struct Dns {
    /// Listen address for UDP and TCP.
    pub address: SocketAddr,
    /// Sets the resolver's fault: [`Fault::Failing`] and [`Fault::Busy`] answer SERVFAIL, [`Fault::Refusing`]
    /// answers REFUSED, and [`Fault::Garbled`] answers bytes that are not a DNS message.
    pub switch: Switch,
    zone: Arc<Mutex<Zone>>,
    /// Numbers of questions received over UDP and over TCP.
    question_counts: Arc<(AtomicU64, AtomicU64)>,
    tasks: [JoinHandle<()>; 2],
}

impl Dns {
    /// Starts a resolver with an empty zone, with the TTLs of records and of negative answers, s.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
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
        let tasks = [tokio::spawn(serve_udp(udp, shared.clone())), tokio::spawn(serve_tcp(tcp, shared))];
        Ok(Dns { address, switch, zone, question_counts, tasks })
    }

    fn update_zone<R>(&self, update: impl FnOnce(&mut Zone) -> R) -> R {
        update(&mut self.zone.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds or replaces an instance of a service.
    pub fn put_instance(&self, service: &str, instance: &Instance) {
        let (service, name) = (fold_case(service), instance_name(&instance.label, service));
        let host = format!("{}.hosts.test.", instance.label.to_lowercase().replace([' ', '.'], "-"));
        let (priority, weight, port) = instance.service;
        let srv =
            [priority, weight, port].iter().flat_map(|n| n.to_be_bytes()).chain(encode_name(&host)).collect();
        let text = encode_text(&instance.text);
        let pointer = encode_instance_name(&instance.label, &service);
        self.update_zone(|zone| {
            zone.records.insert((name.clone(), SRV), vec![srv]);
            zone.records.insert((name, TXT), vec![text]);
            zone.records.insert((host, A), vec![instance.address.octets().to_vec()]);
            let pointers = zone.records.entry((service, PTR)).or_default();
            if !pointers.contains(&pointer) {
                pointers.push(pointer);
            }
        });
    }

    /// Replaces an instance's TXT records; without any, the answer is NODATA.
    pub fn set_text(&self, service: &str, label: &str, records: &[Vec<String>]) {
        let key = (instance_name(label, &fold_case(service)), TXT);
        self.update_zone(|zone| {
            zone.records.remove(&key);
            if !records.is_empty() {
                zone.records.insert(key, records.iter().map(|strings| encode_text(strings)).collect());
            }
        });
    }

    /// Removes an instance's PTR record and keeps its other records.
    pub fn remove_pointer(&self, service: &str, label: &str) {
        let (service, pointer) = (fold_case(service), encode_instance_name(label, service));
        self.update_zone(|zone| {
            zone.records.entry((service, PTR)).or_default().retain(|other| *other != pointer);
        });
    }

    /// Sets the fault in the content of the answers.
    pub fn set_answer_fault(&self, fault: AnswerFault) {
        self.update_zone(|zone| zone.answer_fault = fault);
    }

    /// Sets the TTL of records, s.
    pub fn set_ttl(&self, ttl_s: u32) {
        self.update_zone(|zone| zone.ttl_s = ttl_s);
    }

    /// Returns the numbers of questions received over UDP and over TCP.
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

/// Binds a UDP and a TCP socket to the same port.
async fn bind_udp_and_tcp() -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut last_error = None;
    for _ in 0..16 {
        let tcp = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((udp, tcp)),
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

/// Converts a name to lower case and appends the final dot.
fn fold_case(name: &str) -> String {
    format!("{}.", name.trim_end_matches('.').to_lowercase())
}

fn instance_name(label: &str, service: &str) -> String {
    format!("{}.{}", label.to_lowercase(), fold_case(service))
}

/// Encodes the strings of a TXT record. A record without strings has one empty string (RFC 6763, section
/// 6.1).
fn encode_text(strings: &[String]) -> Vec<u8> {
    if strings.is_empty() {
        return vec![0];
    }
    let encode = |string: &String| {
        let bytes = &string.as_bytes()[..string.len().min(255)];
        [&[bytes.len() as u8], bytes].concat()
    };
    strings.iter().flat_map(encode).collect()
}

/// Encodes a name as length-prefixed labels.
fn encode_name(name: &str) -> Vec<u8> {
    let labels = name.split('.').filter(|l| !l.is_empty());
    let bytes = labels.flat_map(|l| std::iter::once(l.len() as u8).chain(l.bytes()));
    bytes.chain([0]).collect()
}

/// Encodes an instance's name. Its first label may contain dots and spaces (RFC 6763, section 4.1.1).
fn encode_instance_name(label: &str, service: &str) -> Vec<u8> {
    std::iter::once(label.len() as u8).chain(label.bytes()).chain(encode_name(service)).collect()
}

#[derive(Clone)]
struct Shared {
    zone: Arc<Mutex<Zone>>,
    switch: Switch,
    question_counts: Arc<(AtomicU64, AtomicU64)>,
}

async fn serve_udp(socket: UdpSocket, shared: Shared) {
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
                        // A failed send is like a lost datagram.
                        let _ = socket.send_to(&answer, from).await;
                    }
                });
            }
            Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

async fn serve_tcp(listener: TcpListener, shared: Shared) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if tasks.len() < MAX_TASKS => match accepted {
                Ok((stream, _)) => {
                    tasks.spawn(serve_tcp_connection(stream, shared.clone()));
                }
                Err(_) => sleep(Duration::from_millis(20)).await,
            },
            Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

async fn serve_tcp_connection(mut stream: TcpStream, shared: Shared) -> Option<()> {
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
    /// Returns the answers to a question in the order of sending.
    async fn answers(&self, bytes: &[u8], udp: bool) -> Vec<Vec<u8>> {
        self.switch.delay().await;
        let fault = self.switch.now();
        if matches!(fault, Fault::Silent | Fault::Resetting) {
            return Vec::new();
        }
        if fault == Fault::Garbled {
            return vec![vec![0xff; 40]];
        }
        let Some(question) = Question::read(bytes) else { return Vec::new() };
        // SERVFAIL is 2, REFUSED is 5.
        let code = match fault {
            Fault::Failing | Fault::Busy => Some(2),
            Fault::Refusing => Some(5),
            _ => None,
        };
        if let Some(code) = code {
            return vec![question.answer(question.id, code, &[], &[], false)];
        }
        let zone = self.zone.lock().unwrap_or_else(PoisonError::into_inner);
        let correct = question.answer_from_zone(&zone, udp);
        let wrong_id = question.id.wrapping_add(1);
        match zone.answer_fault {
            AnswerFault::None | AnswerFault::NameError | AnswerFault::Truncated => vec![correct],
            AnswerFault::NoTextAnswer if question.record_type == TXT => Vec::new(),
            AnswerFault::NoTextAnswer => vec![correct],
            AnswerFault::WrongId => vec![question.answer(wrong_id, 3, &[], &[], false)],
            AnswerFault::Forged => {
                let other_question =
                    Question { encoded_name: encode_name("other.test."), ..question.clone() };
                let forged = [(wrong_id, &question), (question.id, &other_question)];
                let forged = forged.map(|(id, q)| q.answer(id, 3, &[], &[], false));
                forged.into_iter().chain([correct]).collect()
            }
        }
    }
}

#[derive(Clone)]
struct Question {
    id: u16,
    /// Name as received.
    encoded_name: Vec<u8>,
    /// Name in lower case.
    name: String,
    record_type: u16,
    /// Maximum length of a UDP answer, bytes.
    max_udp_answer: usize,
}

impl Question {
    /// Parses a message with exactly one question.
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
        let (encoded_name, record_type) = (bytes[12..at].to_vec(), word(at)?);
        let has_edns = additional > 0 && bytes.get(at + 4) == Some(&0) && word(at + 5) == Some(OPT);
        let max_udp_answer = if has_edns {
            usize::from(word(at + 7)?).max(MAX_PLAIN_ANSWER_BYTES)
        } else {
            MAX_PLAIN_ANSWER_BYTES
        };
        Some(Question { id, encoded_name, name, record_type, max_udp_answer })
    }

    /// Builds the answer from the zone's records.
    fn answer_from_zone(&self, zone: &Zone, udp: bool) -> Vec<u8> {
        if zone.answer_fault == AnswerFault::Truncated {
            return self.answer(self.id, 0, &[], &[], true);
        }
        let no_records = Vec::new();
        let key = (self.name.clone(), self.record_type);
        let records = if zone.answer_fault == AnswerFault::NameError {
            &no_records
        } else {
            zone.records.get(&key).unwrap_or(&no_records)
        };
        if records.is_empty() {
            let name_exists = zone.answer_fault != AnswerFault::NameError
                && zone.records.keys().any(|(name, _)| *name == self.name);
            let soa = self.soa(zone.negative_ttl_s);
            return self.answer(self.id, if name_exists { 0 } else { 3 }, &[], &[soa], false);
        }
        let record = |data: &Vec<u8>| {
            let mut bytes = vec![0xc0, 12];
            bytes.extend([self.record_type, 1].iter().flat_map(|n| n.to_be_bytes()));
            bytes.extend(zone.ttl_s.to_be_bytes());
            // A PTR target that ends with the name in the question is shortened by a compression pointer.
            let prefix = data.strip_suffix(&self.encoded_name[..]).filter(|_| self.record_type == PTR);
            let data = prefix.map_or(data.clone(), |first| [first, &[0xc0, 12]].concat());
            bytes.extend((data.len() as u16).to_be_bytes());
            bytes.extend(data);
            bytes
        };
        let records: Vec<Vec<u8>> = records.iter().map(record).collect();
        let complete = self.answer(self.id, 0, &records, &[], false);
        let max_length = if udp { self.max_udp_answer } else { usize::from(u16::MAX) };
        if complete.len() > max_length {
            return self.answer(self.id, 0, &[], &[], true);
        }
        complete
    }

    /// Returns an SOA record of the root, which covers all names.
    fn soa(&self, negative_ttl_s: u32) -> Vec<u8> {
        let mut bytes = vec![0];
        bytes.extend([SOA, 1].iter().flat_map(|n| n.to_be_bytes()));
        bytes.extend(negative_ttl_s.to_be_bytes());
        bytes.extend(22u16.to_be_bytes());
        bytes.extend([0, 0]);
        bytes.extend([1, 60, 60, 60, negative_ttl_s].iter().flat_map(|n: &u32| n.to_be_bytes()));
        bytes
    }

    /// Encodes an answer with this response code; `truncated` sets the TC bit.
    fn answer(
        &self,
        id: u16,
        code: u16,
        answers: &[Vec<u8>],
        authorities: &[Vec<u8>],
        truncated: bool,
    ) -> Vec<u8> {
        let flags = 0x8180 | code | if truncated { 0x0200 } else { 0 };
        let counts = [id, flags, 1, answers.len() as u16, authorities.len() as u16, 0];
        let mut bytes: Vec<u8> = counts.iter().flat_map(|n| n.to_be_bytes()).collect();
        bytes.extend(&self.encoded_name);
        bytes.extend([self.record_type, 1].iter().flat_map(|n| n.to_be_bytes()));
        answers.iter().chain(authorities).for_each(|record| bytes.extend(record));
        bytes
    }
}

#[cfg(test)]
mod tests;
