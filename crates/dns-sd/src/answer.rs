//! Encodes queries and decodes answers. hickory-proto implements the wire format.

use std::fmt;
use std::net::IpAddr;

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};

/// UDP payload size that queries advertise, bytes (RFC 6891). Answers of this size pass most paths
/// unfragmented.
pub const MAX_UDP_PAYLOAD: u16 = 1_232;
/// Maximum number of CNAME records that are followed. A chain of them may be a loop.
pub const MAX_ALIAS_CHAIN: usize = 8;
/// Maximum TTL, s. A greater one counts as 0 (RFC 2181, section 8).
const MAX_TTL_SECONDS: u32 = i32::MAX as u32;

/// Record type of a query.
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

    /// Returns the data of a record if the record has this type.
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

/// A question in class IN. Names are compared case-insensitively (RFC 4343).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Question {
    /// Fully qualified domain name.
    pub name: Name,
    /// Record type.
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
    /// Priority; the lowest value is preferred.
    pub priority: u16,
    /// Weight among records of the same priority.
    pub weight: u16,
    /// Port of the service.
    pub port: u16,
    /// Host name of the service.
    pub target: Name,
}

/// Data of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordData {
    /// Domain name of a PTR record.
    Ptr(Name),
    /// Data of an SRV record.
    Srv(SrvRecord),
    /// Strings of a TXT record.
    Txt(Vec<Box<[u8]>>),
    /// Address of an A or AAAA record.
    Address(IpAddr),
}

/// Kind of a negative answer.
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
    /// Records of the queried type.
    Records {
        /// Data of the records, sorted and without duplicates; not empty.
        records: Vec<RecordData>,
        /// Lowest TTL of the records and of the CNAME records that lead to them, s.
        ttl_s: u32,
    },
    /// An authoritative server states that there are no such records.
    Negative {
        /// Whether the name or only the record type does not exist.
        kind: NegativeAnswer,
        /// TTL of the negative answer, s (RFC 2308, section 5); 0 if the answer has no SOA record.
        ttl_s: u32,
    },
    /// The answer did not fit into a datagram; the query has to be repeated over TCP.
    Truncated,
}

/// Reason for which bytes are not a usable answer. No instance may be removed from the list because of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The bytes are not a valid DNS message; contains the decoder's error text.
    Malformed(String),
    /// The transaction id differs. The message may be forged (RFC 5452), and the genuine answer may follow.
    IdMismatch,
    /// The question differs. The genuine answer may follow.
    QuestionMismatch,
    /// The message is not a response to a query.
    NotAResponse,
    /// The resolver failed or refused; contains its response code.
    ResponseCode(String),
    /// The answer only refers to other servers and is not authoritative.
    Referral,
    /// The answer has more than [`MAX_ALIAS_CHAIN`] CNAME records in a chain, or a loop of them.
    AliasChain,
}

impl AnswerError {
    /// Returns whether the message does not belong to the query and must be ignored, as the genuine answer
    /// may follow.
    #[must_use]
    pub fn is_unrelated(&self) -> bool {
        matches!(self, AnswerError::IdMismatch | AnswerError::QuestionMismatch | AnswerError::NotAResponse)
    }
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerError::Malformed(reason) => write!(f, "no DNS message: {reason}"),
            AnswerError::IdMismatch => write!(f, "an answer with another id"),
            AnswerError::QuestionMismatch => write!(f, "an answer to another question"),
            AnswerError::NotAResponse => write!(f, "no answer to a query"),
            AnswerError::ResponseCode(code) => write!(f, "the resolver says {code}"),
            AnswerError::Referral => write!(f, "a referral, and no answer"),
            AnswerError::AliasChain => write!(f, "more than {MAX_ALIAS_CHAIN} aliases, or a loop of them"),
        }
    }
}

impl std::error::Error for AnswerError {}

/// Encodes a query with the transaction id `id` and an EDNS0 record (RFC 6891).
///
/// # Errors
/// [`AnswerError::Malformed`] if the encoder fails.
pub fn encode_query(id: u16, question: &Question) -> Result<Vec<u8>, AnswerError> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(question.name.clone(), question.kind.record_type()));
    let mut edns = Edns::new();
    edns.set_max_payload(MAX_UDP_PAYLOAD);
    message.set_edns(edns);
    message.to_vec().map_err(|e| AnswerError::Malformed(e.to_string()))
}

/// Decodes the answer to a query with the transaction id `id`. Records that do not match the question are
/// ignored.
///
/// # Errors
/// An [`AnswerError`]. The caller has to ignore [unrelated](AnswerError::is_unrelated) ones and go on
/// reading.
pub fn decode_answer(bytes: &[u8], id: u16, question: &Question) -> Result<Answer, AnswerError> {
    let message = Message::from_vec(bytes).map_err(|e| AnswerError::Malformed(e.to_string()))?;
    check_related(&message, id, question)?;
    if message.metadata.truncation {
        return Ok(Answer::Truncated);
    }
    let no_such_name = match message.metadata.response_code {
        ResponseCode::NoError => false,
        ResponseCode::NXDomain => true,
        code => return Err(AnswerError::ResponseCode(code.to_string())),
    };
    let AliasTarget { name, ttl_s } = follow_aliases(&message.answers, &question.name)?;
    let matching = message
        .answers
        .iter()
        .filter(|record| record.dns_class == DNSClass::IN && record.name == *name)
        .filter_map(|record| Some((question.kind.data_of(&record.data)?, valid_ttl_s(record.ttl))));
    let (mut records, ttls): (Vec<RecordData>, Vec<u32>) = matching.unzip();
    if records.is_empty() {
        return decode_negative_answer(&message, name, no_such_name);
    }
    if no_such_name {
        return Err(AnswerError::Malformed("NXDOMAIN, and records of the name".to_string()));
    }
    records.sort_unstable();
    records.dedup();
    Ok(Answer::Records { records, ttl_s: ttls.into_iter().fold(ttl_s, u32::min) })
}

/// Checks that a message is the response to the query.
fn check_related(message: &Message, id: u16, question: &Question) -> Result<(), AnswerError> {
    let header = &message.metadata;
    if header.id != id {
        return Err(AnswerError::IdMismatch);
    }
    if header.message_type != MessageType::Response || header.op_code != OpCode::Query {
        return Err(AnswerError::NotAResponse);
    }
    let matches_question = |query: &Query| {
        query.name == question.name
            && query.query_type == question.kind.record_type()
            && query.query_class == DNSClass::IN
    };
    match &message.queries[..] {
        [query] if matches_question(query) => Ok(()),
        _ => Err(AnswerError::QuestionMismatch),
    }
}

fn valid_ttl_s(ttl_s: u32) -> u32 {
    if ttl_s > MAX_TTL_SECONDS {
        0
    } else {
        ttl_s
    }
}

/// Name that a CNAME chain leads to, and the lowest TTL in the chain.
struct AliasTarget<'a> {
    name: &'a Name,
    ttl_s: u32,
}

fn follow_aliases<'a>(answers: &'a [Record], from: &'a Name) -> Result<AliasTarget<'a>, AnswerError> {
    let mut alias = AliasTarget { name: from, ttl_s: MAX_TTL_SECONDS };
    for _ in 0..=MAX_ALIAS_CHAIN {
        let next = answers.iter().find_map(|record| match &record.data {
            RData::CNAME(to) if record.name == *alias.name && record.dns_class == DNSClass::IN => {
                Some(AliasTarget { name: &to.0, ttl_s: valid_ttl_s(record.ttl) })
            }
            _ => None,
        });
        let Some(next) = next else { return Ok(alias) };
        alias = AliasTarget { name: next.name, ttl_s: alias.ttl_s.min(next.ttl_s) };
    }
    Err(AnswerError::AliasChain)
}

/// Decodes an answer without matching records. A referral is an error: its server is not authoritative for
/// the name.
fn decode_negative_answer(message: &Message, name: &Name, no_such_name: bool) -> Result<Answer, AnswerError> {
    let soa_ttl_s = message.authorities.iter().find_map(|record| match &record.data {
        RData::SOA(soa) if record.name.zone_of(name) => Some(valid_ttl_s(record.ttl).min(soa.minimum)),
        _ => None,
    });
    let is_referral = message.authorities.iter().any(|record| matches!(record.data, RData::NS(_)));
    if soa_ttl_s.is_none() && is_referral && !no_such_name {
        return Err(AnswerError::Referral);
    }
    let kind = if no_such_name { NegativeAnswer::NoSuchName } else { NegativeAnswer::NoData };
    Ok(Answer::Negative { kind, ttl_s: soa_ttl_s.unwrap_or(0) })
}
