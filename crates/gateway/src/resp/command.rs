//! Parsing of client commands, and encoding of the commands that are forwarded to backends.

use std::io::IoSlice;
use std::ops::RangeInclusive;

use bytes::{Buf, Bytes, BytesMut};
use gateway_policy::interface::{Idempotency, Settings};
use gateway_policy::settings::SettingNames;
use redis_protocol::resp2::types::BytesFrame;
use tokio::time::Instant;

use super::frame::{encode_frame, LINE_END};
use crate::memory::MemoryPermit;

/// Memory that a request takes in addition to its arguments, bytes: its records here and in the policy.
const RECORD_BYTES: usize = 1024;
/// Number of parts of an encoded command.
const ENCODED_PARTS: usize = 7;
/// Commands of up to this length are copied into one buffer, bytes. [`RECORD_BYTES`] covers it.
const MAX_JOINED_BYTES: usize = 512;
/// Maximum time that a client may allow for an answer, ms: one day.
const MAX_WAIT_MS: u32 = 86_400_000;
/// Exclusive upper bound of customer numbers.
const CUSTOMERS_END: u64 = 1 << 33;

/// The reason why a command is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidCommand(pub &'static str);

/// A client's command.
#[derive(Debug)]
pub enum Command {
    /// A health check.
    Ping,
    /// A customer's request.
    Call(Box<Call>),
}

/// A customer's request, parsed.
#[derive(Debug)]
pub struct Call {
    /// Number of the customer.
    pub customer: u64,
    /// The client's id of the request.
    pub id: u64,
    /// Index of the plan in the settings.
    pub plan: usize,
    /// Index of the class in the settings.
    pub class: usize,
    /// Units that the request takes.
    pub units: f64,
    /// Number of gateways over which the customer's requests are spread.
    pub fan_out: f64,
    /// Time that the client waits for the answer, at most the deadline of the class, ms.
    pub wait_ms: f64,
    /// Whether the client marks the request as a retry.
    pub retry: bool,
    /// When the last byte of the request was read.
    pub received_at: Instant,
    forwarded: Forwarded,
    /// Permit of the memory budget of requests and answers.
    pub memory_permit: Option<MemoryPermit>,
}

/// The arguments forwarded to backends: unchanged except for the waiting time, which is replaced within the
/// terms.
#[derive(Debug)]
struct Forwarded {
    /// Verb, customer and id.
    head: [Bytes; 3],
    terms_before_wait: Bytes,
    terms_after_wait: Bytes,
    body: Option<Bytes>,
}

impl Call {
    /// Returns the approximate memory that the request takes, bytes.
    pub fn size(&self) -> usize {
        let Forwarded { head, terms_before_wait, terms_after_wait, body } = &self.forwarded;
        let parts = head.iter().chain([terms_before_wait, terms_after_wait]).chain(body);
        RECORD_BYTES + parts.map(Bytes::len).sum::<usize>()
    }

    /// Encodes the command for a backend, which is given `wait_ms` to answer.
    pub fn encode(&self, wait_ms: u64) -> EncodedCall {
        let Forwarded { head, terms_before_wait, terms_after_wait, body } = &self.forwarded;
        let wait = wait_ms.to_string();
        let elements = head.len() + 1 + usize::from(body.is_some());
        let terms_length = terms_before_wait.len() + wait.len() + terms_after_wait.len();
        let mut before = BytesMut::new();
        before.extend_from_slice(format!("*{elements}\r\n").as_bytes());
        for argument in head {
            encode_frame(&mut before, &BytesFrame::BulkString(argument.clone()));
        }
        before.extend_from_slice(format!("${terms_length}\r\n").as_bytes());
        let body_header = body.as_ref().map(|body| format!("\r\n${}\r\n", body.len()));
        let parts = [
            before.freeze(),
            terms_before_wait.clone(),
            Bytes::from(wait),
            terms_after_wait.clone(),
            Bytes::from(body_header.unwrap_or_default()),
            body.clone().unwrap_or_default(),
            Bytes::from_static(LINE_END),
        ];
        EncodedCall::new(parts)
    }
}

/// A command as it is written to a backend. Long arguments are shared with the call, not copied.
#[derive(Debug)]
pub struct EncodedCall {
    parts: [Bytes; ENCODED_PARTS],
    /// The first part that is not written completely.
    next: usize,
}

impl EncodedCall {
    /// Joins the parts of a short command, so that it is written at once.
    fn new(parts: [Bytes; ENCODED_PARTS]) -> EncodedCall {
        if parts.iter().map(Bytes::len).sum::<usize>() > MAX_JOINED_BYTES {
            return EncodedCall { parts, next: 0 };
        }
        let mut joined: [Bytes; ENCODED_PARTS] = Default::default();
        joined[0] = Bytes::from(parts.concat());
        EncodedCall { parts: joined, next: 0 }
    }

    /// Moves to the next part that is not empty.
    fn skip_empty_parts(&mut self) {
        while self.next + 1 < ENCODED_PARTS && self.parts[self.next].is_empty() {
            self.next += 1;
        }
    }
}

impl Buf for EncodedCall {
    fn remaining(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    fn chunk(&self) -> &[u8] {
        &self.parts[self.next]
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let parts = self.parts.iter().filter(|part| !part.is_empty());
        let pairs = slices.iter_mut().zip(parts);
        pairs.map(|(slice, part)| *slice = IoSlice::new(part)).count()
    }

    fn advance(&mut self, mut count: usize) {
        while count > 0 {
            let part = &mut self.parts[self.next];
            let written = count.min(part.len());
            part.advance(written);
            count -= written;
            self.skip_empty_parts();
        }
    }
}

impl Command {
    /// Parses a client's command. Class and plan are looked up by their names in the settings.
    pub fn parse(
        frame: BytesFrame,
        received_at: Instant,
        settings: &Settings,
        names: &SettingNames,
    ) -> Result<Command, InvalidCommand> {
        let mut args = arguments_of(frame)?.into_iter();
        let verb = args.next().ok_or(InvalidCommand("empty command"))?;
        let writes = match () {
            () if verb.eq_ignore_ascii_case(b"PING") && args.len() == 0 => return Ok(Command::Ping),
            () if verb.eq_ignore_ascii_case(b"API.READ") => false,
            () if verb.eq_ignore_ascii_case(b"API.WRITE") => true,
            () => return Err(InvalidCommand("unknown command")),
        };
        let (Some(customer), Some(id), Some(terms), body, None) =
            (args.next(), args.next(), args.next(), args.next(), args.next())
        else {
            return Err(InvalidCommand("wrong number of arguments"));
        };
        let customer_number =
            parse_hex(&customer).filter(|n| *n < CUSTOMERS_END).ok_or(InvalidCommand("bad customer"))?;
        let id_number = parse_hex(&id).ok_or(InvalidCommand("bad request id"))?;
        let text = std::str::from_utf8(&terms).map_err(|_| InvalidCommand("bad terms"))?;
        let RequestTerms { class, plan, wait, units, fan_out, keyed, retry } =
            RequestTerms::parse(text, settings, names)?;
        let class_settings = &settings.classes[class];
        // A backend might run a request twice if a class that is not idempotent came with the read command.
        if (class_settings.idempotency == Idempotency::Idempotent) == writes {
            return Err(InvalidCommand("wrong command for the class"));
        }
        if class_settings.idempotency == Idempotency::Keyed && !keyed {
            return Err(InvalidCommand("no idempotency key"));
        }
        let wait_at = wait.digits.as_ptr() as usize - text.as_ptr() as usize;
        // Copied, as even a few bytes would otherwise keep the whole read buffer alive.
        let copy = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
        let forwarded = Forwarded {
            head: [copy(&verb), copy(&customer), copy(&id)],
            terms_before_wait: copy(&terms[..wait_at]),
            terms_after_wait: copy(&terms[wait_at + wait.digits.len()..]),
            body: body.as_deref().map(copy),
        };
        Ok(Command::Call(Box::new(Call {
            customer: customer_number,
            id: id_number,
            plan,
            class,
            units,
            fan_out,
            wait_ms: f64::from(wait.ms).min(class_settings.deadline_ms),
            retry,
            received_at,
            forwarded,
            memory_permit: None,
        })))
    }
}

/// Returns the elements of a command, which must all be bulk strings.
fn arguments_of(frame: BytesFrame) -> Result<Vec<Bytes>, InvalidCommand> {
    let BytesFrame::Array(elements) = frame else { return Err(InvalidCommand("a command is an array")) };
    let argument = |element| match element {
        BytesFrame::BulkString(bytes) => Ok(bytes),
        _ => Err(InvalidCommand("a command holds bulk strings alone")),
    };
    elements.into_iter().map(argument).collect()
}

/// The time that a client waits, and the digits from which it was parsed.
#[derive(Clone, Copy)]
struct Wait<'a> {
    ms: u32,
    digits: &'a str,
}

/// The terms of a request, for example `c=safe,t=free,d=8000,units=1,spread=2,first=0`.
struct RequestTerms<'a> {
    class: usize,
    plan: usize,
    wait: Wait<'a>,
    units: f64,
    fan_out: f64,
    /// Whether the request has an idempotency key.
    keyed: bool,
    retry: bool,
}

impl<'a> RequestTerms<'a> {
    /// Parses the terms. If a term is repeated, the last one counts. Unknown terms are ignored.
    fn parse(
        text: &'a str,
        settings: &Settings,
        names: &SettingNames,
    ) -> Result<RequestTerms<'a>, InvalidCommand> {
        let (mut class, mut plan, mut wait, mut units) = (None, None, None, None);
        let (mut spread, mut first) = (None, None);
        let (mut keyed, mut retry) = (false, false);
        for term in text.split(',') {
            let (name, value) = term.split_once('=').ok_or(InvalidCommand("bad terms"))?;
            match name {
                "c" => class = names.classes.iter().position(|n| n.as_deref() == Some(value)),
                "t" => plan = names.plans.iter().position(|n| n == value),
                "d" => wait = parse_integer(value, 1..=MAX_WAIT_MS).map(|ms| Wait { ms, digits: value }),
                "k" => keyed = !value.is_empty(),
                "r" => retry = value == "1",
                "units" => {
                    units = parse_decimal(value).filter(|n| *n > 0.0 && *n <= settings.max_request_units);
                }
                "spread" => spread = parse_integer(value, 1..=settings.gateway_count),
                "first" => first = parse_integer(value, 0..=settings.gateway_count - 1),
                _ => {}
            }
        }
        let class = class.ok_or(InvalidCommand("unknown class"))?;
        let plan = plan.ok_or(InvalidCommand("unknown plan"))?;
        let wait = wait.ok_or(InvalidCommand("bad d"))?;
        let units = units.ok_or(InvalidCommand("bad units"))?;
        let fan_out = f64::from(spread.ok_or(InvalidCommand("bad spread"))?);
        first.ok_or(InvalidCommand("bad first"))?;
        Ok(RequestTerms { class, plan, wait, units, fan_out, keyed, retry })
    }
}

/// Parses sixteen hex digits.
fn parse_hex(argument: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(argument).ok().filter(|t| t.len() == 16 && !t.starts_with('+'))?;
    u64::from_str_radix(text, 16).ok()
}

/// Parses an integer within bounds, written in decimal digits only.
fn parse_integer(text: &str, bounds: RangeInclusive<u32>) -> Option<u32> {
    let only_digits = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| only_digits && bounds.contains(n))
}

/// Parses a finite decimal number without sign or exponent.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let only_digits = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| only_digits && n.is_finite())
}
