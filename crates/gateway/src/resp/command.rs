//! Commands of clients.

use std::ops::RangeInclusive;

use bytes::{Bytes, BytesMut};
use gateway_policy::interface::{Idempotency, Settings};
use gateway_policy::settings::SettingNames;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::OwnedSemaphorePermit;

use super::frame::put;

/// What a request takes beside its words, bytes: its records here and in the policy.
const RECORD_BYTES: usize = 1024;
/// The longest time that a client can sensibly say it waits, ms: a day.
const MAX_WAIT_MS: u32 = 86_400_000;
/// Customers' numbers are below this.
const CUSTOMERS_END: u64 = 1 << 33;

/// A command that is none of this service, with what is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidCommand(pub &'static str);

/// What a client asks for.
#[derive(Debug)]
pub enum Command {
    /// Whether the gateway serves.
    Ping,
    /// A request of a customer.
    Call(Box<Call>),
}

/// A customer's request as it came.
#[derive(Debug)]
pub struct Call {
    pub customer: u64,
    /// The client's id for the request.
    pub id: u64,
    pub plan: usize,
    pub class: usize,
    pub units: f64,
    /// Gateways through which the customer's requests may come.
    pub fan_out: f64,
    pub wait_ms: f64,
    /// Whether the client says that it is a retry.
    pub retry: bool,
    forwarded: Forwarded,
    /// Its part of the memory budget of requests and answers.
    pub room: Option<OwnedSemaphorePermit>,
}

/// What goes on to backends: all as it came but for the waiting time, which stands between two parts of the
/// list of terms.
#[derive(Debug)]
struct Forwarded {
    /// Verb, customer and id.
    words: [Bytes; 3],
    terms_before_wait: Bytes,
    terms_after_wait: Bytes,
    body: Option<Bytes>,
}

impl Call {
    /// About the bytes that it takes.
    pub fn size(&self) -> usize {
        let Forwarded { words, terms_before_wait, terms_after_wait, body } = &self.forwarded;
        let parts = words.iter().chain([terms_before_wait, terms_after_wait]).chain(body);
        RECORD_BYTES + parts.map(Bytes::len).sum::<usize>()
    }

    /// The command for a backend that is given so long to answer.
    pub fn encode(&self, wait_ms: u64) -> Bytes {
        let Forwarded { words, terms_before_wait, terms_after_wait, body } = &self.forwarded;
        let terms = [terms_before_wait, wait_ms.to_string().as_bytes(), terms_after_wait].concat();
        let words = words.iter().cloned().chain([Bytes::from(terms)]).chain(body.clone());
        let mut buffer = BytesMut::new();
        put(&mut buffer, &BytesFrame::Array(words.map(BytesFrame::BulkString).collect()));
        buffer.freeze()
    }
}

impl Command {
    /// Reads a client's command by the names of the settings.
    pub fn read(
        frame: BytesFrame,
        settings: &Settings,
        names: &SettingNames,
    ) -> Result<Command, InvalidCommand> {
        let mut words = words_of(frame)?.into_iter();
        let verb = words.next().ok_or(InvalidCommand("empty command"))?;
        let writes = match () {
            () if verb.eq_ignore_ascii_case(b"PING") && words.len() == 0 => return Ok(Command::Ping),
            () if verb.eq_ignore_ascii_case(b"API.READ") => false,
            () if verb.eq_ignore_ascii_case(b"API.WRITE") => true,
            () => return Err(InvalidCommand("unknown command")),
        };
        let (Some(customer), Some(id), Some(terms), body, None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            return Err(InvalidCommand("wrong number of arguments"));
        };
        let customer_number =
            hex(&customer).filter(|n| *n < CUSTOMERS_END).ok_or(InvalidCommand("bad customer"))?;
        let id_number = hex(&id).ok_or(InvalidCommand("bad request id"))?;
        let text = std::str::from_utf8(&terms).map_err(|_| InvalidCommand("bad terms"))?;
        let RequestTerms { class, plan, wait, units, fan_out, keyed, retry } =
            RequestTerms::read(text, settings, names)?;
        let class_settings = &settings.classes[class];
        // A command that says safe of a class that is not might be run twice by a backend.
        if (class_settings.idempotency == Idempotency::Idempotent) == writes {
            return Err(InvalidCommand("wrong command for the class"));
        }
        if class_settings.idempotency == Idempotency::Keyed && !keyed {
            return Err(InvalidCommand("no idempotency key"));
        }
        let wait_at = wait.digits.as_ptr() as usize - text.as_ptr() as usize;
        // Copies: a few bytes would keep the whole buffer they came in.
        let own = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
        let forwarded = Forwarded {
            words: [own(&verb), own(&customer), own(&id)],
            terms_before_wait: own(&terms[..wait_at]),
            terms_after_wait: own(&terms[wait_at + wait.digits.len()..]),
            body: body.as_deref().map(own),
        };
        Ok(Command::Call(Box::new(Call {
            customer: customer_number,
            id: id_number,
            plan,
            class,
            units,
            fan_out,
            // Nobody waits longer than the class allows.
            wait_ms: f64::from(wait.ms).min(class_settings.deadline_ms),
            retry,
            forwarded,
            room: None,
        })))
    }
}

/// The words of a command.
fn words_of(frame: BytesFrame) -> Result<Vec<Bytes>, InvalidCommand> {
    let BytesFrame::Array(words) = frame else { return Err(InvalidCommand("a command is an array")) };
    let word = |word| match word {
        BytesFrame::BulkString(bytes) => Ok(bytes),
        _ => Err(InvalidCommand("a command holds bulk strings alone")),
    };
    words.into_iter().map(word).collect()
}

/// The time that a client waits, and its digits as they came.
#[derive(Clone, Copy)]
struct Wait<'a> {
    ms: u32,
    digits: &'a str,
}

/// The terms of a request, as in `c=safe,t=free,d=8000,units=1,spread=2,first=0`.
struct RequestTerms<'a> {
    class: usize,
    plan: usize,
    wait: Wait<'a>,
    units: f64,
    fan_out: f64,
    /// Whether there is an idempotency key.
    keyed: bool,
    retry: bool,
}

impl<'a> RequestTerms<'a> {
    /// Reads the terms; of one that stands twice the last counts, and others than these are passed over.
    fn read(
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
                "d" => wait = whole(value, 1..=MAX_WAIT_MS).map(|ms| Wait { ms, digits: value }),
                "k" => keyed = !value.is_empty(),
                "r" => retry = value == "1",
                "units" => units = amount(value).filter(|n| *n > 0.0 && *n <= settings.max_request_units),
                "spread" => spread = whole(value, 1..=settings.gateway_count),
                "first" => first = whole(value, 0..=settings.gateway_count - 1),
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

/// Sixteen hex digits.
fn hex(word: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(word).ok().filter(|t| t.len() == 16 && !t.starts_with('+'))?;
    u64::from_str_radix(text, 16).ok()
}

/// A whole number in decimal digits, within bounds.
fn whole(text: &str, bounds: RangeInclusive<u32>) -> Option<u32> {
    let plain = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| plain && bounds.contains(n))
}

/// A decimal number of 0 or more.
pub fn amount(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| plain && n.is_finite())
}
