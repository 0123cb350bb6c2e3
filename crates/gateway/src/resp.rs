//! RESP2 as clients and backends speak it: bounds on what is read, and the commands of the service.

use std::ops::RangeInclusive;

use bytes::{Bytes, BytesMut};
use gateway_policy::interface::{Idempotency, Settings};
use gateway_policy::settings::SettingNames;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::OwnedSemaphorePermit;

use crate::long::Long;

/// The longest value or body.
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The longest value that is passed on as it comes: the longest that RESP has (Redis, "Protocol").
const MAX_STREAMED_VALUE_BYTES: usize = 512 << 20;
/// The longest line that is no value.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// The most elements of an array.
const MAX_ARRAY_ELEMENTS: usize = 16;
/// The most bytes of one message; more than this and one further reading is never buffered.
const MAX_MESSAGE_BYTES: usize = MAX_VALUE_BYTES + 2 * MAX_LINE_BYTES;
/// What a request takes beside its words: its records here and in the decisions.
const CALL_BYTES: usize = 1024;
/// The longest time that a client can sensibly say it waits: a day.
const MAX_WAIT_MS: u32 = 86_400_000;
/// Room for one reading: most messages come in one, and so small a buffer costs little to take and to let go.
const READING: usize = 1024 - 32;
/// Room for each further reading of a message.
const READING_ON: usize = 16 * 1024;

/// Bytes that no message can begin with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Makes room for one reading behind what is there of a message.
pub fn make_room(buffer: &mut BytesMut) {
    buffer.reserve(if buffer.is_empty() { READING } else { READING_ON });
}

/// How a backend's answer begins.
#[derive(Debug, PartialEq, Eq)]
pub enum Lead {
    /// More bytes are needed to tell.
    Unknown,
    /// It is one that is read whole.
    Whole,
    /// An array of so many parts, of which the first is a value of so many bytes; its head is so long.
    Long { parts: usize, length: usize, head: usize },
}

/// Tells how a backend's answer begins.
pub fn lead(buffer: &[u8]) -> Lead {
    if buffer.first().is_some_and(|kind| *kind != b'*') {
        return Lead::Whole;
    }
    let line = |from: usize| {
        let rest = buffer.get(from..).unwrap_or_default();
        rest.windows(2).take(MAX_LINE_BYTES).position(|w| w == b"\r\n").map(|n| (&rest[..n], from + n + 2))
    };
    let (Some((array, at)), tail) = (line(0), buffer.len()) else {
        return if buffer.len() > MAX_LINE_BYTES { Lead::Whole } else { Lead::Unknown };
    };
    match buffer.get(at) {
        None => return Lead::Unknown,
        Some(b'$') => {}
        Some(_) => return Lead::Whole,
    }
    let Some((value, head)) = line(at) else {
        return if tail > at + MAX_LINE_BYTES { Lead::Whole } else { Lead::Unknown };
    };
    let parts = number(&array[1..], MAX_ARRAY_ELEMENTS).ok().flatten();
    match (parts, number(&value[1..], MAX_STREAMED_VALUE_BYTES)) {
        (Some(parts), Ok(Some(length))) if length > MAX_VALUE_BYTES => Lead::Long { parts, length, head },
        _ => Lead::Whole,
    }
}

/// Stands before an answer that is read whole.
pub const WHOLE: &[u8] = b"";

/// Stands before what is left of an answer of so many parts whose first, a value, was passed on.
pub fn rest(parts: usize) -> Option<&'static [u8]> {
    Some(match parts {
        1 => b"*1\r\n$0\r\n",
        2 => b"*2\r\n$0\r\n",
        3 => b"*3\r\n$0\r\n",
        4 => b"*4\r\n$0\r\n",
        _ => return None,
    })
}

/// Takes the next whole message off the buffer; `None` if more bytes are needed.
pub fn next(buffer: &mut BytesMut) -> Result<Option<BytesFrame>, Malformed> {
    if measure(buffer)?.is_none() {
        return Ok(None);
    }
    let decoded = decode_bytes_mut(buffer).map_err(|_| Malformed("not RESP"))?;
    Ok(decoded.map(|(frame, _, _)| frame))
}

/// Length of the first message. Danger: lengths that fill the memory, and arrays in arrays, on which
/// the decoder calls itself until the stack is gone. Neither is any message of this service.
fn measure(buffer: &[u8]) -> Result<Option<usize>, Malformed> {
    let (mut at, mut left) = (0, 1);
    while left > 0 {
        let rest = buffer.get(at..).unwrap_or_default();
        // Danger: noise that holds no line, and is waited for to become one.
        if rest.first().is_some_and(|kind| !b"*$+-:".contains(kind)) {
            return Err(Malformed("unexpected type"));
        }
        let Some(length) = rest.windows(2).take(MAX_LINE_BYTES).position(|w| w == b"\r\n") else {
            return if rest.len() > MAX_LINE_BYTES { Err(Malformed("line too long")) } else { Ok(None) };
        };
        let (kind, line) = rest[..length].split_first().ok_or(Malformed("empty line"))?;
        let first = at == 0;
        (at, left) = (at + length + 2, left - 1);
        if at > MAX_MESSAGE_BYTES {
            return Err(Malformed("too long"));
        }
        match kind {
            b'*' if first => left = number(line, MAX_ARRAY_ELEMENTS)?.unwrap_or(0),
            b'$' => {
                let Some(value) = number(line, MAX_VALUE_BYTES)? else { continue };
                match buffer.get(at + value..at + value + 2) {
                    None if at + value > MAX_MESSAGE_BYTES => return Err(Malformed("too long")),
                    None => return Ok(None),
                    Some(b"\r\n") => at += value + 2,
                    Some(_) => return Err(Malformed("value longer than announced")),
                }
            }
            b'+' | b'-' | b':' => {}
            // An array in an array.
            _ => return Err(Malformed("unexpected type")),
        }
    }
    Ok(Some(at))
}

/// A length; `None` for null.
fn number(line: &[u8], most: usize) -> Result<Option<usize>, Malformed> {
    if line == b"-1" {
        return Ok(None);
    }
    let digits = !line.is_empty() && line.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(line).ok().filter(|_| digits).ok_or(Malformed("bad length"))?;
    match text.parse() {
        Ok(n) if n <= most => Ok(Some(n)),
        _ => Err(Malformed("too long")),
    }
}

/// Appends a message. Encoding into a buffer that grows can't fail.
fn put(buffer: &mut BytesMut, frame: &BytesFrame) {
    let _ = extend_encode(buffer, frame, false);
}

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
    /// The client's name for the request.
    pub id: u64,
    pub plan: usize,
    pub class: usize,
    pub units: f64,
    pub width: f64,
    pub wait_ms: f64,
    pub retry: bool,
    forward: Forward,
    /// Its part of the memory that requests and answers may take.
    pub room: Option<OwnedSemaphorePermit>,
}

/// What goes on to backends: all as it came but for the waiting time, which stands between two parts
/// of the list of terms.
#[derive(Debug)]
struct Forward {
    words: [Bytes; 3],
    terms: (Bytes, Bytes),
    body: Option<Bytes>,
}

impl Call {
    /// About the bytes that it takes.
    pub fn size(&self) -> usize {
        let (words, terms) = (&self.forward.words, &self.forward.terms);
        let parts = words.iter().chain([&terms.0, &terms.1]).chain(&self.forward.body);
        CALL_BYTES + parts.map(Bytes::len).sum::<usize>()
    }

    /// The command for a backend that is given so long to answer.
    pub fn encode(&self, wait_ms: u64) -> Bytes {
        let (before, after) = &self.forward.terms;
        let terms = [before, wait_ms.to_string().as_bytes(), after].concat();
        let words = self.forward.words.iter().cloned().chain([Bytes::from(terms)]);
        let words = words.chain(self.forward.body.clone());
        let mut buffer = BytesMut::new();
        put(&mut buffer, &BytesFrame::Array(words.map(BytesFrame::BulkString).collect()));
        buffer.freeze()
    }
}

/// A command that is none of this service, with what is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown(pub &'static str);

impl Command {
    /// Reads a client's command by the names of the settings.
    pub fn read(frame: BytesFrame, settings: &Settings, names: &SettingNames) -> Result<Command, Unknown> {
        let BytesFrame::Array(words) = frame else { return Err(Unknown("a command is an array")) };
        let words = words.into_iter().map(|word| match word {
            BytesFrame::BulkString(bytes) => Ok(bytes),
            _ => Err(Unknown("a command holds bulk strings alone")),
        });
        let mut words = words.collect::<Result<Vec<Bytes>, Unknown>>()?.into_iter();
        let verb = words.next().ok_or(Unknown("empty command"))?;
        let write = match () {
            () if verb.eq_ignore_ascii_case(b"PING") && words.len() == 0 => return Ok(Command::Ping),
            () if verb.eq_ignore_ascii_case(b"API.READ") => false,
            () if verb.eq_ignore_ascii_case(b"API.WRITE") => true,
            () => return Err(Unknown("unknown command")),
        };
        let (Some(customer), Some(id), Some(terms), body, None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            return Err(Unknown("wrong number of arguments"));
        };
        let number = hex(&customer).filter(|n| *n < 1 << 33).ok_or(Unknown("bad customer"))?;
        let name = hex(&id).ok_or(Unknown("bad request id"))?;
        let text = std::str::from_utf8(&terms).map_err(|_| Unknown("bad terms"))?;
        let (mut class, mut plan, mut wait, mut units) = (None, None, None, None);
        let (mut spread, mut first) = (None, None);
        let (mut key, mut retry) = (false, false);
        for term in text.split(',') {
            let (name, value) = term.split_once('=').ok_or(Unknown("bad terms"))?;
            match name {
                "c" => class = names.classes.iter().position(|n| n.as_deref() == Some(value)),
                "t" => plan = names.plans.iter().position(|n| n == value),
                "d" => wait = whole(value, 1..=MAX_WAIT_MS).map(|ms| (ms, value)),
                "k" => key = !value.is_empty(),
                "r" => retry = value == "1",
                "units" => units = amount(value).filter(|n| *n > 0.0 && *n <= settings.max_request_units),
                "spread" => spread = whole(value, 1..=settings.gateway_count),
                "first" => first = whole(value, 0..=settings.gateway_count - 1),
                _ => {}
            }
        }
        let class = class.ok_or(Unknown("unknown class"))?;
        let plan = plan.ok_or(Unknown("unknown plan"))?;
        let (wait, digits) = wait.ok_or(Unknown("bad d"))?;
        let units = units.ok_or(Unknown("bad units"))?;
        let width = f64::from(spread.ok_or(Unknown("bad spread"))?);
        first.ok_or(Unknown("bad first"))?;
        let settings = &settings.classes[class];
        // Danger: a command that says safe of a class that is not, which a backend might run twice.
        if (settings.idempotency == Idempotency::Idempotent) == write {
            return Err(Unknown("wrong command for the class"));
        }
        if settings.idempotency == Idempotency::Keyed && !key {
            return Err(Unknown("no idempotency key"));
        }
        // Nobody waits longer than the class allows.
        let wait_ms = f64::from(wait).min(settings.deadline_ms);
        let at = digits.as_ptr() as usize - text.as_ptr() as usize;
        // Danger: a few bytes that keep the whole buffer they came in.
        let own = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
        let terms = (own(&terms[..at]), own(&terms[at + digits.len()..]));
        let words = [own(&verb), own(&customer), own(&id)];
        let forward = Forward { words, terms, body: body.as_deref().map(own) };
        Ok(Command::Call(Box::new(Call {
            customer: number,
            id: name,
            plan,
            class,
            units,
            width,
            wait_ms,
            retry,
            forward,
            room: None,
        })))
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

/// A final answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// The value as a backend gave it, and its part of the memory until it is written.
    Served(Bytes, OwnedSemaphorePermit),
    /// A value that is passed on as it comes.
    Long(Long),
    /// Trying again is harmless; when to come again, ms.
    Refused(Option<u64>),
    /// Nothing is promised.
    Failed,
    /// Not a request of this service.
    Unknown(&'static str),
    /// The gateway serves.
    Pong,
    /// It serves, but operators have drained it.
    Drained,
}

impl Answer {
    /// Appends the answer.
    pub fn put(self, buffer: &mut BytesMut) {
        let error = |text: String| BytesFrame::Error(text.into());
        let frame = match self {
            Answer::Served(value, _room) => BytesFrame::BulkString(value),
            // Its pieces follow, and the end of a value.
            Answer::Long(long) => return long.head(buffer),
            Answer::Refused(None) => error("BUSY".to_string()),
            Answer::Refused(Some(ms)) => error(format!("BUSY {ms}")),
            Answer::Failed => error("ERR failed".to_string()),
            Answer::Unknown(what) => error(format!("ERR {what}")),
            Answer::Drained => error("ERR drained".to_string()),
            Answer::Pong => BytesFrame::SimpleString(Bytes::from_static(b"PONG")),
        };
        put(buffer, &frame);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lead_is_told_from_any_cut_and_never_wrongly() {
        let long = format!("*3\r\n${}\r\nabc", MAX_VALUE_BYTES + 1);
        let head = long.len() - 3;
        for cut in 0..=long.len() {
            let wanted = match cut {
                _ if cut < head => Lead::Unknown,
                _ => Lead::Long { parts: 3, length: MAX_VALUE_BYTES + 1, head },
            };
            assert_eq!(lead(&long.as_bytes()[..cut]), wanted, "{cut}");
        }
        for whole in
            ["-BUSY\r\n", "+PONG", "*3\r\n$4\r\nfine", "*3\r\n-ERR", "*1\r\n$-1\r\n", "*x\r\n$999999\r\n"]
        {
            assert_eq!(lead(whole.as_bytes()), Lead::Whole, "{whole}");
        }
    }
}
