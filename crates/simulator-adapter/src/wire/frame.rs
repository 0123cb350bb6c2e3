//! Batches of records from the simulator.

use std::io::{self, Read};

use super::fields::Fields;
use super::Malformed;

/// Size of a frame header: batch number, number of records, length of the body, clock.
const HEADER_BYTES: usize = 20;

/// A batch of records at one time.
pub struct Frame {
    pub number: u32,
    /// The simulator's clock, ms.
    pub now: f64,
    count: u32,
    body: Vec<u8>,
}

impl Frame {
    /// Reads the next batch. Returns `None` at the end of the input.
    pub fn read(input: &mut dyn Read) -> Result<Option<Frame>, Malformed> {
        let header = read_up_to(input, HEADER_BYTES)?;
        if header.is_empty() {
            return Ok(None);
        }
        let mut fields = Fields::new(&header);
        let number = fields.u32("batch header")?;
        let count = fields.u32("batch header")?;
        let length = fields.u32("batch header")? as usize;
        let now = fields.f64("batch header")?;
        if !now.is_finite() {
            return Err(Malformed::new(format!("batch {number}: the clock is not a number")));
        }
        let body = read_up_to(input, length)?;
        if body.len() < length {
            let read = body.len();
            return Err(Malformed::new(format!("batch {number}: ends after {read} of {length} bytes")));
        }
        Ok(Some(Frame { number, now, count, body }))
    }

    /// Iterates over the records, each with its code and fields. The last item is an error if bytes are left
    /// after the last record.
    pub fn records(&self) -> impl Iterator<Item = Result<(u8, Fields<'_>), Malformed>> {
        let mut rest = Fields::new(&self.body);
        (0..=self.count).filter_map(move |number| {
            if number < self.count {
                return Some(next_record(&mut rest));
            }
            let left = rest.remaining();
            (left > 0).then(|| Err(Malformed::new(format!("{left} bytes after the last record"))))
        })
    }
}

fn next_record<'a>(rest: &mut Fields<'a>) -> Result<(u8, Fields<'a>), Malformed> {
    let code = rest.u8("record header")?;
    let length = rest.u32("record header")? as usize;
    Ok((code, Fields::new(rest.bytes(length, "record")?)))
}

/// Reads `count` bytes, or fewer if the input ends.
fn read_up_to(input: &mut dyn Read, count: usize) -> Result<Vec<u8>, Malformed> {
    let mut bytes = Vec::new();
    let read: io::Result<usize> = input.take(count as u64).read_to_end(&mut bytes);
    read.map(|_| bytes).map_err(|e| Malformed::new(format!("cannot read the input: {e}")))
}
