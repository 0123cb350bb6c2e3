//! Decoding of backends' answers to requests and probes. No I/O.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use gateway_policy::interface::Outcome;
use redis_protocol::resp2::types::BytesFrame;

use crate::memory::MemoryPermit;
use crate::resp::{self, BufferedValue};

/// Scale of a customer's reported use, which is in percent of its rate.
const USED_SCALE: f64 = 100.0;

/// Measurements that a backend reports with an answer.
#[derive(Debug, Default)]
pub struct BackendReport {
    /// The customer's use, as a fraction of its rate.
    pub metered: Option<f64>,
    /// Units that the request took.
    pub charged: Option<f64>,
    /// Values of the load fields named in the settings, in that order, with NaN for a missing field; empty if
    /// none is reported.
    pub load: Vec<f32>,
}

/// The result of an exchange with a backend.
#[derive(Debug)]
pub enum Reply {
    /// A value.
    Served(BufferedValue, BackendReport),
    /// No value. The outcome is never [`Outcome::Ok`].
    Failed(Outcome, BackendReport),
}

impl Reply {
    /// Creates the answer to a probe, which has no value.
    pub fn without_value(report: BackendReport) -> Reply {
        Reply::Served(BufferedValue { bytes: Bytes::new(), memory_permit: None }, report)
    }

    /// Creates a failure without a report from the backend.
    pub fn failed(outcome: Outcome) -> Reply {
        Reply::Failed(outcome, BackendReport::default())
    }
}

/// Decodes the answer to a request; `None` if it is not a valid one. Corrupt data that happens to be RESP
/// must not be served as a value.
pub fn decode_call(
    frame: BytesFrame,
    memory_permit: Option<MemoryPermit>,
    load_fields: &[String],
) -> Option<Reply> {
    let BytesFrame::Array(elements) = frame else { return decode_error(frame, load_fields) };
    let mut elements = elements.into_iter();
    let Some(BytesFrame::BulkString(bytes)) = elements.next() else { return None };
    let mut report = BackendReport::default();
    // Unreadable elements after a valid value are ignored, and the value is still served.
    elements.for_each(|element| report.read(&element, load_fields));
    Some(Reply::Served(BufferedValue { bytes, memory_permit }, report))
}

/// Decodes the answer to a probe; `None` if it is not a valid one.
pub fn decode_probe(frame: BytesFrame, load_fields: &[String]) -> Option<Reply> {
    let mut report = BackendReport::default();
    match frame {
        BytesFrame::SimpleString(_) => {}
        BytesFrame::BulkString(_) => report.read(&frame, load_fields),
        _ => return decode_error(frame, load_fields),
    }
    Some(Reply::without_value(report))
}

/// Decodes an error answer; `None` if it is not one that backends send.
fn decode_error(frame: BytesFrame, load_fields: &[String]) -> Option<Reply> {
    let BytesFrame::Error(line) = frame else { return None };
    let mut words = line.split(' ');
    let outcome = match words.next() {
        Some("BUSY") => Outcome::Rejected,
        Some("ERR") => Outcome::Error,
        _ => return None,
    };
    let mut report = BackendReport::default();
    words.for_each(|word| report.read_pairs(word, load_fields));
    Some(Reply::Failed(outcome, report))
}

impl BackendReport {
    /// Reads the measurements in an element of an answer, if it holds any.
    fn read(&mut self, element: &BytesFrame, load_fields: &[String]) {
        let BytesFrame::BulkString(text) = element else { return };
        if let Ok(text) = std::str::from_utf8(text) {
            self.read_pairs(text, load_fields);
        }
    }

    /// Reads measurements of use or load from text such as `used=37,cost=4`. Ignores other names and text.
    fn read_pairs(&mut self, text: &str, load_fields: &[String]) {
        let mut load = vec![f32::NAN; load_fields.len()];
        for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
            let Some(value) = resp::parse_decimal(value) else { continue };
            match name {
                "used" => self.metered = Some(value / USED_SCALE),
                "cost" if value > 0.0 => self.charged = Some(value),
                _ => {
                    if let Some(index) = load_fields.iter().position(|field| field == name) {
                        load[index] = value as f32;
                    }
                }
            }
        }
        if load.iter().any(|value| value.is_finite()) {
            self.load = load;
        }
    }
}
