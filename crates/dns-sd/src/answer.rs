//! Encodes queries and decodes answers. The wire format is hickory-proto's.

use std::fmt;
use std::net::IpAddr;

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};

/// The largest answer over UDP that a query asks for, bytes (RFC 6891): it passes most paths unfragmented.
pub const PAYLOAD: u16 = 1_232;
/// The most aliases that are followed: a chain may lead back to itself.
pub const MAX_ALIAS_CHAIN: usize = 8;
/// The longest TTL, s; a greater one counts as 0 (RFC 2181, section 8).
const MAX_TTL_SECONDS: u32 = i32::MAX as u32;

/// Type of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueryType {
    /// Instances of a service.
    Ptr,
    /// Target and port of an instance.
    Srv,
    /// Metadata of an instance.
    Txt,
    /// IPv4 addresses.
    A,
    /// IPv6 addresses.
    Aaaa,
}

impl QueryType {
    fn record_type(self) -> RecordType {
        match self {
            QueryType::Ptr => RecordType::PTR,
            QueryType::Srv => RecordType::SRV,
            QueryType::Txt => RecordType::TXT,
            QueryType::A => RecordType::A,
            QueryType::Aaaa => RecordType::AAAA,
        }
    }

    /// The data of a record if it is of this type.
    fn data_of(self, data: &RData) -> Option<RecordData> {
        Some(match (self, data) {
            (QueryType::Ptr, RData::PTR(to)) => RecordData::Ptr(to.0.clone()),
            (QueryType::Srv, RData::SRV(srv)) => RecordData::Srv(SrvRecord {
                priority: srv.priority,
                weight: srv.weight,
                port: srv.port,
                target: srv.target.clone(),
            }),
            (QueryType::Txt, RData::TXT(txt)) => RecordData::Txt(txt.txt_data.to_vec()),
            (QueryType::A, RData::A(a)) => RecordData::Address(IpAddr::V4(a.0)),
            (QueryType::Aaaa, RData::AAAA(a)) => RecordData::Address(IpAddr::V6(a.0)),
            _ => return None,
        })
    }
}

impl fmt::Display for QueryType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.record_type().fmt(f)
    }
}

/// A question in class IN. Names are compared without case (RFC 4343).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Question {
    /// The fully qualified name.
    pub name: Name,
    /// The type.
    pub kind: QueryType,
}

impl fmt::Display for Question {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.name, self.kind)
    }
}

/// The data of an SRV record (RFC 2782).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SrvRecord {
    /// The least is used first.
    pub priority: u16,
    /// Weight among records of the same priority.
    pub weight: u16,
    /// Its port.
    pub port: u16,
    /// The name of its host.
    pub target: Name,
}

/// Data of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordData {
    /// Of a PTR record.
    Ptr(Name),
    /// Of an SRV record.
    Srv(SrvRecord),
    /// The strings of a TXT record.
    Txt(Vec<Box<[u8]>>),
    /// Of an A or AAAA record.
    Address(IpAddr),
}

/// In which sense there is no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NegativeAnswer {
    /// The name does not exist: NXDOMAIN.
    NoSuchName,
    /// The name has no record of the type: NODATA (RFC 2308, section 2.2).
    NoData,
}

/// A decoded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// There are such records.
    Records {
        /// Their data, sorted and without duplicates; not empty.
        records: Vec<RecordData>,
        /// The least TTL of the records and of the aliases that led to them, s.
        ttl_s: u32,
    },
    /// An authority says that there are none.
    None {
        /// In which sense.
        why: NegativeAnswer,
        /// Lifetime of the negative answer, s (RFC 2308, section 5); 0 if it has none.
        ttl_s: u32,
    },
    /// It did not fit: the question is to be asked over TCP.
    Truncated,
}

/// Why bytes are no answer. No instance may leave the list because of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// They are no DNS message, with the reason of the library.
    Garbled(String),
    /// The transaction id differs: it may be forged (RFC 5452), and the true answer may follow.
    OtherId,
    /// The question differs; the true answer may follow.
    OtherQuestion,
    /// The message is no response to a query.
    NoAnswer,
    /// The resolver failed or refused, with its response code.
    Code(String),
    /// It refers to other servers, which is no answer of an authority.
    Referral,
    /// There are more than [`MAX_ALIAS_CHAIN`] aliases, or a loop of them.
    Chain,
}

impl AnswerError {
    /// Whether it is not meant for the query and is to be ignored: the true answer may follow.
    #[must_use]
    pub fn is_unrelated(&self) -> bool {
        matches!(self, AnswerError::OtherId | AnswerError::OtherQuestion | AnswerError::NoAnswer)
    }
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerError::Garbled(why) => write!(f, "no DNS message: {why}"),
            AnswerError::OtherId => write!(f, "an answer with another id"),
            AnswerError::OtherQuestion => write!(f, "an answer to another question"),
            AnswerError::NoAnswer => write!(f, "no answer to a query"),
            AnswerError::Code(code) => write!(f, "the resolver says {code}"),
            AnswerError::Referral => write!(f, "a referral, and no answer"),
            AnswerError::Chain => write!(f, "more than {MAX_ALIAS_CHAIN} aliases, or a loop of them"),
        }
    }
}

impl std::error::Error for AnswerError {}

/// Encodes a query with that transaction id, with EDNS0 (RFC 6891).
///
/// # Errors
/// A [`BadAnswer::Garbled`] if the library can't write it.
pub fn encode_query(id: u16, question: &Question) -> Result<Vec<u8>, AnswerError> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(question.name.clone(), question.kind.record_type()));
    let mut edns = Edns::new();
    edns.set_max_payload(PAYLOAD);
    message.set_edns(edns);
    message.to_vec().map_err(|e| AnswerError::Garbled(e.to_string()))
}

/// Decodes the answer to a query with that transaction id. Records that do not match it are ignored.
///
/// # Errors
/// A [`BadAnswer`]; one that is [`strange`](BadAnswer::strange) is somebody else's.
pub fn decode_answer(bytes: &[u8], id: u16, question: &Question) -> Result<Answer, AnswerError> {
    let message = Message::from_vec(bytes).map_err(|e| AnswerError::Garbled(e.to_string()))?;
    check_related(&message, id, question)?;
    if message.metadata.truncation {
        return Ok(Answer::Truncated);
    }
    let no_such_name = match message.metadata.response_code {
        ResponseCode::NoError => false,
        ResponseCode::NXDomain => true,
        code => return Err(AnswerError::Code(code.to_string())),
    };
    let Alias { name, ttl_s } = follow_aliases(&message.answers, &question.name)?;
    let matching = message
        .answers
        .iter()
        .filter(|record| record.dns_class == DNSClass::IN && record.name == *name)
        .filter_map(|record| Some((question.kind.data_of(&record.data)?, valid_ttl_s(record.ttl))));
    let (mut records, ttls): (Vec<RecordData>, Vec<u32>) = matching.unzip();
    if records.is_empty() {
        return negative_answer(&message, name, no_such_name);
    }
    if no_such_name {
        return Err(AnswerError::Garbled("NXDOMAIN, and records of the name".to_string()));
    }
    records.sort_unstable();
    records.dedup();
    Ok(Answer::Records { records, ttl_s: ttls.into_iter().fold(ttl_s, u32::min) })
}

/// Checks that a message is the response to a query.
fn check_related(message: &Message, id: u16, question: &Question) -> Result<(), AnswerError> {
    let header = &message.metadata;
    if header.id != id {
        return Err(AnswerError::OtherId);
    }
    if header.message_type != MessageType::Response || header.op_code != OpCode::Query {
        return Err(AnswerError::NoAnswer);
    }
    let is_ours = |query: &Query| {
        query.name == question.name
            && query.query_type == question.kind.record_type()
            && query.query_class == DNSClass::IN
    };
    match &message.queries[..] {
        [query] if is_ours(query) => Ok(()),
        _ => Err(AnswerError::OtherQuestion),
    }
}

fn valid_ttl_s(ttl_s: u32) -> u32 {
    if ttl_s > MAX_TTL_SECONDS {
        0
    } else {
        ttl_s
    }
}

/// The name that aliases lead to, and the least of their TTLs.
struct Alias<'a> {
    name: &'a Name,
    ttl_s: u32,
}

fn follow_aliases<'a>(answers: &'a [Record], from: &'a Name) -> Result<Alias<'a>, AnswerError> {
    let mut alias = Alias { name: from, ttl_s: MAX_TTL_SECONDS };
    for _ in 0..=MAX_ALIAS_CHAIN {
        let next = answers.iter().find_map(|record| match &record.data {
            RData::CNAME(to) if record.name == *alias.name && record.dns_class == DNSClass::IN => {
                Some(Alias { name: &to.0, ttl_s: valid_ttl_s(record.ttl) })
            }
            _ => None,
        });
        let Some(next) = next else { return Ok(alias) };
        alias = Alias { name: next.name, ttl_s: alias.ttl_s.min(next.ttl_s) };
    }
    Err(AnswerError::Chain)
}

/// An answer without records. One that only refers to other servers is none: its server knows nothing of the
/// name.
fn negative_answer(message: &Message, name: &Name, no_such_name: bool) -> Result<Answer, AnswerError> {
    let soa_ttl_s = message.authorities.iter().find_map(|record| match &record.data {
        RData::SOA(soa) if record.name.zone_of(name) => Some(valid_ttl_s(record.ttl).min(soa.minimum)),
        _ => None,
    });
    let refers = message.authorities.iter().any(|record| matches!(record.data, RData::NS(_)));
    if soa_ttl_s.is_none() && refers && !no_such_name {
        return Err(AnswerError::Referral);
    }
    let why = if no_such_name { NegativeAnswer::NoSuchName } else { NegativeAnswer::NoData };
    Ok(Answer::None { why, ttl_s: soa_ttl_s.unwrap_or(0) })
}
