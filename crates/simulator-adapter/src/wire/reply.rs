//! The reply to a batch: what the gateways want done, in order.

use gateway_policy::interface::Action;

/// Codes of the records that an adapter writes.
mod code {
    pub const REJECT: u8 = 0;
    pub const PROBE: u8 = 1;
    pub const TIMER: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const CONTEXT: u8 = 4;
    pub const BUG: u8 = 5;
    pub const SEND: u8 = 6;
    pub const CANCEL: u8 = 7;
    pub const TELL: u8 = 10;
    pub const COUNT: u8 = 12;
    pub const WATCH: u8 = 13;
}

/// Bytes before the records: the number of the batch and the length of the records.
const HEADER_BYTES: usize = 8;
/// The wait before an attempt begins: none, it waits until the client gives up.
const NO_WAIT_MS: f64 = 0.0;
/// The receiver of a message that is for all other gateways.
const ALL_PEERS: u16 = u16::MAX;
/// The advice to a rejected client when to come again, where there is none.
const NO_ADVICE_MS: f64 = 0.0;

/// A reply in the making.
pub struct Reply {
    bytes: Vec<u8>,
    instance: Option<u16>,
}

impl Reply {
    /// An empty reply to the batch of a number.
    pub fn new(number: u32) -> Reply {
        let mut bytes = number.to_be_bytes().to_vec();
        bytes.resize(HEADER_BYTES, 0);
        Reply { bytes, instance: None }
    }

    /// Writes a record for an instance, and before it whom it is for if that changed.
    fn put(&mut self, instance: u16, code: u8, fields: &[&[u8]]) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.record(code::CONTEXT, &[&instance.to_be_bytes()]);
        }
        self.record(code, fields);
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.bytes.push(code);
        self.bytes.extend((length as u32).to_be_bytes());
        for field in fields {
            self.bytes.extend(*field);
        }
    }

    /// Reports a panic.
    pub fn bug(&mut self, instance: u16, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(instance, code::BUG, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    /// Writes what an instance wants done.
    pub fn action(&mut self, instance: u16, action: &Action) {
        match action {
            // The simulator has no write deadline: what is sent begins at once.
            Action::SendAttempt { id, backend, write_deadline_ms: _ } => {
                let fields: [&[u8]; 3] =
                    [&id.to_be_bytes(), &backend.to_be_bytes(), &NO_WAIT_MS.to_be_bytes()];
                self.put(instance, code::SEND, &fields);
            }
            Action::CancelAttempt { id, attempt } => {
                let attempt = *attempt as u16;
                self.put(instance, code::CANCEL, &[&id.to_be_bytes(), &attempt.to_be_bytes()]);
            }
            Action::Reject { id, retry_after_ms } => {
                let advice_ms = retry_after_ms.unwrap_or(NO_ADVICE_MS);
                self.put(instance, code::REJECT, &[&id.to_be_bytes(), &advice_ms.to_be_bytes()]);
            }
            Action::Fail { id } => self.put(instance, code::FAIL, &[&id.to_be_bytes()]),
            Action::Probe { backend } => self.put(instance, code::PROBE, &[&backend.to_be_bytes()]),
            Action::IncrementCounter { key, amount, ttl_ms } => {
                let amount = *amount as f32;
                let fields: [&[u8]; 3] = [&key.to_be_bytes(), &amount.to_be_bytes(), &ttl_ms.to_be_bytes()];
                self.put(instance, code::COUNT, &fields);
            }
            Action::ScheduleTimer { token, at_ms } => {
                self.put(instance, code::TIMER, &[&token.to_be_bytes(), &at_ms.to_be_bytes()]);
            }
            Action::BroadcastToPeers { body } => {
                let length = body.len() as u16;
                self.put(instance, code::TELL, &[&ALL_PEERS.to_be_bytes(), &length.to_be_bytes(), body]);
            }
            Action::PollEndpoints => self.put(instance, code::WATCH, &[&[1]]),
        }
    }

    /// The bytes to write.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - HEADER_BYTES) as u32;
        self.bytes[4..HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }
}
