//! What backends answer to calls and probes. No I/O.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use gateway_policy::interface::Outcome;
use redis_protocol::resp2::types::BytesFrame;

use crate::resp;

/// Percent of its rate in which a customer's use is reported.
const USED_SCALE: f64 = 100.0;

/// What a backend reports beside its answer.
#[derive(Debug, Default)]
pub struct BackendReport {
    /// The customer's use, as a part of its rate.
    pub metered: Option<f64>,
    /// Units that the request took.
    pub charged: Option<f64>,
    /// The load fields that the settings name, in their order; empty where none is reported.
    pub load: Vec<f32>,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum Reply {
    /// With a value.
    Served(Bytes, BackendReport),
    /// Without; never [`Outcome::Ok`].
    Failed(Outcome, BackendReport),
}

impl Reply {
    /// One that ended without a word of the backend.
    pub fn failed(outcome: Outcome) -> Reply {
        Reply::Failed(outcome, BackendReport::default())
    }
}

/// Reads the answer to a call; `None` if it is none. Noise that is RESP by chance must not be served as a
/// value.
pub fn decode_call(frame: BytesFrame, load_fields: &[String]) -> Option<Reply> {
    let BytesFrame::Array(parts) = frame else { return decode_error(frame, load_fields) };
    let mut parts = parts.into_iter();
    let Some(BytesFrame::BulkString(value)) = parts.next() else { return None };
    let mut report = BackendReport::default();
    // What stands beside a good value and can't be read is no reason to throw that away.
    parts.for_each(|part| report.read(&part, load_fields));
    Some(Reply::Served(value, report))
}

/// Reads the answer to a probe; `None` if it is none.
pub fn decode_probe(frame: BytesFrame, load_fields: &[String]) -> Option<Reply> {
    let mut report = BackendReport::default();
    match frame {
        BytesFrame::SimpleString(_) => {}
        BytesFrame::BulkString(_) => report.read(&frame, load_fields),
        _ => return decode_error(frame, load_fields),
    }
    Some(Reply::Served(Bytes::new(), report))
}

/// Reads an error line; `None` if it is none that backends say.
fn decode_error(frame: BytesFrame, load_fields: &[String]) -> Option<Reply> {
    let BytesFrame::Error(line) = frame else { return None };
    let mut words = line.split(' ');
    let outcome = match words.next() {
        Some("BUSY") => Outcome::Rejected,
        Some("ERR") => Outcome::Error,
        _ => return None,
    };
    let mut report = BackendReport::default();
    words.for_each(|word| report.read_word(word, load_fields));
    Some(Reply::Failed(outcome, report))
}

impl BackendReport {
    /// Reads a part of an answer, if it is one that reports something.
    fn read(&mut self, part: &BytesFrame, load_fields: &[String]) {
        let BytesFrame::BulkString(text) = part else { return };
        if let Ok(text) = std::str::from_utf8(text) {
            self.read_word(text, load_fields);
        }
    }

    /// Reads figures on use or a load report out of a word such as `used=37,cost=4`; passes over others.
    fn read_word(&mut self, word: &str, load_fields: &[String]) {
        let mut load = vec![f32::NAN; load_fields.len()];
        for (name, value) in word.split(',').filter_map(|pair| pair.split_once('=')) {
            let Some(value) = resp::amount(value) else { continue };
            match name {
                "used" => self.metered = Some(value / USED_SCALE),
                "cost" if value > 0.0 => self.charged = Some(value),
                _ => {
                    if let Some(place) = load_fields.iter().position(|field| field == name) {
                        load[place] = value as f32;
                    }
                }
            }
        }
        if load.iter().any(|value| value.is_finite()) {
            self.load = load;
        }
    }
}
