//! Encodes the reply to a batch: the actions of the gateways, in order.

use gateway_policy::interface::Action;

/// Codes of the records that the adapter writes.
mod code {
    pub const REJECT: u8 = 0;
    pub const PROBE: u8 = 1;
    pub const TIMER: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const CONTEXT: u8 = 4;
    pub const PANIC: u8 = 5;
    pub const SEND: u8 = 6;
    pub const CANCEL: u8 = 7;
    pub const BROADCAST: u8 = 10;
    pub const INCREMENT_COUNTER: u8 = 12;
    pub const POLL_ENDPOINTS: u8 = 13;
}

/// Size of a reply header: batch number and length of the records.
const HEADER_BYTES: usize = 8;
/// Value of the wait field of an attempt without a time limit of its own, ms: the simulator waits for its
/// answer until the client gives up.
const NO_WAIT_LIMIT_MS: f64 = 0.0;
/// Recipient number for a message to all other gateways.
const ALL_PEERS: u16 = u16::MAX;
/// Value of the retry advice of a rejection if there is none.
const NO_RETRY_ADVICE_MS: f64 = 0.0;

/// Builder of a reply.
pub struct Reply {
    bytes: Vec<u8>,
    instance: Option<u16>,
}

impl Reply {
    /// Creates an empty reply to the batch with this number.
    pub fn new(number: u32) -> Reply {
        let mut bytes = number.to_be_bytes().to_vec();
        bytes.resize(HEADER_BYTES, 0);
        Reply { bytes, instance: None }
    }

    /// Writes a record for an instance, after a context record if the instance changed.
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

    /// Writes a report of a panic, truncated to 65,535 bytes.
    pub fn panic(&mut self, instance: u16, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(instance, code::PANIC, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    /// Writes an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        match action {
            // The simulator has no write deadline: attempts are sent at once.
            Action::SendAttempt { id, backend, write_deadline_ms: _ } => {
                let fields: [&[u8]; 3] =
                    [&id.to_be_bytes(), &backend.to_be_bytes(), &NO_WAIT_LIMIT_MS.to_be_bytes()];
                self.put(instance, code::SEND, &fields);
            }
            Action::CancelAttempt { id, attempt } => {
                let attempt = *attempt as u16;
                self.put(instance, code::CANCEL, &[&id.to_be_bytes(), &attempt.to_be_bytes()]);
            }
            Action::Reject { id, retry_after_ms } => {
                let advice_ms = retry_after_ms.unwrap_or(NO_RETRY_ADVICE_MS);
                self.put(instance, code::REJECT, &[&id.to_be_bytes(), &advice_ms.to_be_bytes()]);
            }
            Action::Fail { id } => self.put(instance, code::FAIL, &[&id.to_be_bytes()]),
            Action::Probe { backend } => self.put(instance, code::PROBE, &[&backend.to_be_bytes()]),
            Action::IncrementCounter { key, amount, ttl_ms } => {
                let amount = *amount as f32;
                let fields: [&[u8]; 3] = [&key.to_be_bytes(), &amount.to_be_bytes(), &ttl_ms.to_be_bytes()];
                self.put(instance, code::INCREMENT_COUNTER, &fields);
            }
            Action::ScheduleTimer { token, at_ms } => {
                self.put(instance, code::TIMER, &[&token.to_be_bytes(), &at_ms.to_be_bytes()]);
            }
            Action::BroadcastToPeers { body } => {
                let length = body.len() as u16;
                self.put(instance, code::BROADCAST, &[&ALL_PEERS.to_be_bytes(), &length.to_be_bytes(), body]);
            }
            Action::PollEndpoints => self.put(instance, code::POLL_ENDPOINTS, &[&[1]]),
        }
    }

    /// Returns the encoded reply.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - HEADER_BYTES) as u32;
        self.bytes[4..HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }
}
