//! Questions as bytes, and what the bytes of an answer say. The wire format is hickory-proto's.

use std::fmt;
use std::net::IpAddr;

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};

/// The largest answer that is asked for by UDP, bytes (RFC 6891; what passes most paths in one piece).
pub const PAYLOAD: u16 = 1_232;
/// The longest chain of aliases that is followed. Danger: chains that lead back to themselves.
pub const MAX_ALIAS_CHAIN: usize = 8;
/// The longest TTL that is one; what is above counts as 0 (RFC 2181, section 8).
const MAX_TTL_SECONDS: u32 = i32::MAX as u32;

/// Types of records that are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueryType {
    /// Instances of a service.
    Ptr,
    /// Where an instance is.
    Srv,
    /// What else is told of it.
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

    fn of(self, data: &RData) -> Option<RecordData> {
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

/// What is asked, in class IN. Names are compared without case (RFC 4343).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Question {
    /// The name, with its last dot.
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
    /// Less is used first.
    pub priority: u16,
    /// Share of the work among those of one priority.
    pub weight: u16,
    /// Its port.
    pub port: u16,
    /// The name of its host.
    pub target: Name,
}

/// What a record holds.
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

/// Why there is no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NegativeAnswer {
    /// There is no such name: NXDOMAIN.
    NoSuchName,
    /// The name has no record of the type: NODATA (RFC 2308, section 2.2).
    NoData,
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// There are such records, in no order.
    Records {
        /// Their data; not empty.
        records: Vec<RecordData>,
        /// For how long, s: the least of the records and of the aliases that led to them.
        ttl_s: u32,
    },
    /// An authority says that there are none.
    None {
        /// In which sense.
        why: NegativeAnswer,
        /// For how long that may be believed, s (RFC 2308, section 5); 0 where it does not say.
        ttl_s: u32,
    },
    /// There is more than fits: the question is to be asked over TCP.
    Truncated,
}

/// Bytes that answer nothing. Nobody may leave the list because of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// They are no DNS message, with the library's reason.
    Garbled(String),
    /// The transaction id is another's. Danger: forged answers (RFC 5452); the true one may follow.
    OtherId,
    /// The question is another's; the true answer may follow.
    OtherQuestion,
    /// It is no answer to a query.
    NoAnswer,
    /// The resolver failed or refused, with its code.
    Code(String),
    /// It names other servers to ask, which is no answer of an authority.
    Referral,
    /// Aliases lead on for too long, or back to themselves.
    Chain,
}

impl AnswerError {
    /// Whether it is to be passed over as not meant for us, and the wait for the true one to go on.
    #[must_use]
    pub fn strange(&self) -> bool {
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

/// The bytes of a question, with EDNS0 (RFC 6891).
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

/// Reads the answer to a question that was sent with this id. Records that match no question are passed over.
///
/// # Errors
/// A [`BadAnswer`]; one that is [`strange`](BadAnswer::strange) is somebody else's.
pub fn decode_answer(bytes: &[u8], id: u16, question: &Question) -> Result<Answer, AnswerError> {
    let message = Message::from_vec(bytes).map_err(|e| AnswerError::Garbled(e.to_string()))?;
    let head = &message.metadata;
    if head.id != id {
        return Err(AnswerError::OtherId);
    }
    if head.message_type != MessageType::Response || head.op_code != OpCode::Query {
        return Err(AnswerError::NoAnswer);
    }
    let kind = question.kind;
    let asked = |q: &Query| {
        q.name == question.name && q.query_type == kind.record_type() && q.query_class == DNSClass::IN
    };
    if !matches!(&message.queries[..], [one] if asked(one)) {
        return Err(AnswerError::OtherQuestion);
    }
    if head.truncation {
        return Ok(Answer::Truncated);
    }
    let gone = match head.response_code {
        ResponseCode::NoError => false,
        ResponseCode::NXDomain => true,
        code => return Err(AnswerError::Code(code.to_string())),
    };
    let (name, alias_ttl) = aliased(&message.answers, &question.name)?;
    let ours = message.answers.iter().filter(|r| r.dns_class == DNSClass::IN && r.name == *name);
    let ours = ours.filter_map(|r| Some((kind.of(&r.data)?, ttl(r.ttl))));
    let (mut records, ttls): (Vec<RecordData>, Vec<u32>) = ours.unzip();
    if records.is_empty() {
        return none(&message, name, gone);
    }
    if gone {
        return Err(AnswerError::Garbled("NXDOMAIN, and records of the name".to_string()));
    }
    records.sort_unstable();
    records.dedup();
    Ok(Answer::Records { records, ttl_s: ttls.into_iter().fold(alias_ttl, u32::min) })
}

fn ttl(told: u32) -> u32 {
    if told > MAX_TTL_SECONDS {
        0
    } else {
        told
    }
}

/// Follows aliases; gives the last name and the least of their lifetimes.
fn aliased<'a>(answers: &'a [Record], from: &'a Name) -> Result<(&'a Name, u32), AnswerError> {
    let (mut name, mut least) = (from, MAX_TTL_SECONDS);
    for _ in 0..=MAX_ALIAS_CHAIN {
        let next = answers.iter().find_map(|r| match &r.data {
            RData::CNAME(to) if r.name == *name && r.dns_class == DNSClass::IN => Some((&to.0, r.ttl)),
            _ => None,
        });
        let Some((to, told)) = next else { return Ok((name, least)) };
        (name, least) = (to, least.min(ttl(told)));
    }
    Err(AnswerError::Chain)
}

fn none(message: &Message, name: &Name, gone: bool) -> Result<Answer, AnswerError> {
    let soa = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) if r.name.zone_of(name) => Some(ttl(r.ttl).min(soa.minimum)),
        _ => None,
    });
    // Danger: a server that knows nothing of the name and points elsewhere, taken for "there is none".
    let points = message.authorities.iter().any(|r| matches!(r.data, RData::NS(_)));
    if soa.is_none() && points && !gone {
        return Err(AnswerError::Referral);
    }
    let why = if gone { NegativeAnswer::NoSuchName } else { NegativeAnswer::NoData };
    Ok(Answer::None { why, ttl_s: soa.unwrap_or(0) })
}
