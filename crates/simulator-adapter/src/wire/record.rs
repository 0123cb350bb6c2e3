//! Decodes the records of a batch.

use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, Outcome, Request, UpdateScope};

use super::fields::Fields;
use super::{Malformed, LISTS};

/// Codes of the records that the simulator writes. Errors use the simulator's names of the records.
mod code {
    /// `Probed`.
    pub const PROBE_ENDED: u8 = 0;
    /// `BackendsChanged`.
    pub const ENDPOINTS_UPDATED: u8 = 1;
    /// `Result`.
    pub const ATTEMPT_ENDED: u8 = 2;
    /// `Create`.
    pub const CREATE: u8 = 3;
    /// `Reckoned`.
    pub const COUNTER_REPLIED: u8 = 4;
    /// `PowerOff`.
    pub const KILL: u8 = 5;
    /// `Context`.
    pub const CONTEXT: u8 = 6;
    /// `Directory`.
    pub const ENDPOINT_LIST: u8 = 7;
    /// `Flowing`.
    pub const STREAM_STARTED: u8 = 8;
    /// `NeighbourSays`.
    pub const PEER_MESSAGE: u8 = 9;
    /// `NewRequest`.
    pub const REQUEST: u8 = 10;
    /// `Dropped`.
    pub const CLIENT_DISCONNECTED: u8 = 11;
    /// `Ring`.
    pub const TIMER_EXPIRED: u8 = 12;
}

/// Size of an endpoint in a list.
const ENDPOINT_BYTES: usize = 21;
/// Flag of a request that the client marked as a retry.
const RETRY_FLAG: u8 = 2;
/// Metered use is sent in hundredths plus one; 0 means that there is none.
const METERED_USE_SCALE: f64 = 100.0;

/// A decoded record of a batch.
pub enum Record<'a> {
    /// The following records are for the gateway with this instance number.
    Context(u16),
    /// Stores an endpoint list under a number that later events refer to.
    EndpointList(usize, Vec<BackendEndpoint>),
    /// Starts the gateway.
    Create {
        seed: u64,
        settings: &'a [u8],
    },
    /// Kills the gateway.
    Kill,
    Event(DecodedEvent<'a>),
}

/// An event with owned data where the interface's [`Event`] borrows, or with the number of its endpoint list.
pub enum DecodedEvent<'a> {
    EndpointsUpdated { scope: UpdateScope, list: usize },
    AttemptEnded(EndedAttempt),
    ProbeEnded { backend: u32, outcome: Outcome, load: Vec<f32> },
    PeerMessage { from: u32, body: &'a [u8] },
    Owned(Event<'static>),
}

/// Result of an attempt, with the data of its answer.
pub struct EndedAttempt {
    id: u64,
    attempt: u32,
    backend: u32,
    outcome: Outcome,
    latency_ms: f64,
    answered: bool,
    metered_use: Option<f64>,
    actual_units: Option<f64>,
    load: Vec<f32>,
}

impl DecodedEvent<'_> {
    /// Converts to the interface's event, with its endpoint list from `lists`.
    pub fn resolve<'a>(&'a self, lists: &'a [Vec<BackendEndpoint>]) -> Result<Event<'a>, Malformed> {
        Ok(match self {
            DecodedEvent::EndpointsUpdated { scope: UpdateScope::Failed, .. } => {
                Event::EndpointsUpdated { scope: UpdateScope::Failed, endpoints: &[] }
            }
            DecodedEvent::EndpointsUpdated { scope, list } => {
                let endpoints = lists.get(*list).ok_or_else(|| {
                    Malformed::new(format!("BackendsChanged: endpoint list {list} does not exist"))
                })?;
                Event::EndpointsUpdated { scope: *scope, endpoints }
            }
            DecodedEvent::AttemptEnded(ended) => ended.event(),
            DecodedEvent::ProbeEnded { backend, outcome, load } => {
                Event::ProbeEnded { backend: *backend, outcome: *outcome, load }
            }
            DecodedEvent::PeerMessage { from, body } => Event::PeerMessage { from: *from, body },
            DecodedEvent::Owned(event) => event.clone(),
        })
    }
}

impl EndedAttempt {
    fn event(&self) -> Event<'_> {
        Event::AttemptEnded {
            id: self.id,
            attempt: self.attempt,
            backend: self.backend,
            outcome: self.outcome,
            latency_ms: self.latency_ms,
            answered: self.answered,
            metered_use: self.metered_use,
            actual_units: self.actual_units,
            load: &self.load,
        }
    }
}

impl<'a> Record<'a> {
    /// Decodes the fields of a record.
    pub fn decode(code: u8, fields: &mut Fields<'a>) -> Result<Record<'a>, Malformed> {
        Ok(match code {
            code::CONTEXT => Record::Context(fields.u16("Context")?),
            code::ENDPOINT_LIST => endpoint_list(fields)?,
            code::CREATE => create(fields)?,
            code::KILL => Record::Kill,
            _ => Record::Event(event(code, fields)?),
        })
    }
}

fn endpoint_list<'a>(fields: &mut Fields<'a>) -> Result<Record<'a>, Malformed> {
    let list = usize::from(fields.u8("Directory")?);
    if list >= LISTS {
        return Err(Malformed::new(format!("Directory: list number {list} is above {}", LISTS - 1)));
    }
    let count = fields.u32("Directory")? as usize;
    let bytes = fields.bytes(count.saturating_mul(ENDPOINT_BYTES), "Directory")?;
    let endpoints = bytes.chunks_exact(ENDPOINT_BYTES).map(|bytes| endpoint(&mut Fields::new(bytes)));
    Ok(Record::EndpointList(list, endpoints.collect::<Result<_, _>>()?))
}

fn create<'a>(fields: &mut Fields<'a>) -> Result<Record<'a>, Malformed> {
    let seed = fields.u64("Create")?;
    let length = fields.u32("Create")? as usize;
    Ok(Record::Create { seed, settings: fields.bytes(length, "Create")? })
}

fn event<'a>(code: u8, fields: &mut Fields<'a>) -> Result<DecodedEvent<'a>, Malformed> {
    Ok(match code {
        code::ENDPOINTS_UPDATED => endpoints_updated(fields)?,
        code::REQUEST => DecodedEvent::Owned(Event::Request(request(fields)?)),
        code::ATTEMPT_ENDED => DecodedEvent::AttemptEnded(attempt_ended(fields)?),
        code::PEER_MESSAGE => peer_message(fields)?,
        code::COUNTER_REPLIED => counter_replied(fields)?,
        code::CLIENT_DISCONNECTED => {
            DecodedEvent::Owned(Event::ClientDisconnected { id: fields.u64("Dropped")? })
        }
        code::PROBE_ENDED => probe_ended(fields)?,
        code::STREAM_STARTED => stream_started(fields)?,
        code::TIMER_EXPIRED => DecodedEvent::Owned(Event::TimerExpired { token: fields.u64("Ring")? }),
        other => return Err(Malformed::new(format!("unknown event code {other}"))),
    })
}

fn endpoints_updated(fields: &mut Fields<'_>) -> Result<DecodedEvent<'static>, Malformed> {
    let scope = match fields.u8("BackendsChanged")? {
        0 => UpdateScope::Delta,
        1 => UpdateScope::Full,
        2 => UpdateScope::Cached,
        3 => UpdateScope::Failed,
        other => return Err(Malformed::new(format!("BackendsChanged: unknown scope {other}"))),
    };
    let _version = fields.u32("BackendsChanged")?;
    Ok(DecodedEvent::EndpointsUpdated { scope, list: usize::from(fields.u8("BackendsChanged")?) })
}

fn peer_message<'a>(fields: &mut Fields<'a>) -> Result<DecodedEvent<'a>, Malformed> {
    let from = fields.u32("NeighbourSays")?;
    let length = usize::from(fields.u16("NeighbourSays")?);
    Ok(DecodedEvent::PeerMessage { from, body: fields.bytes(length, "NeighbourSays")? })
}

fn counter_replied(fields: &mut Fields<'_>) -> Result<DecodedEvent<'static>, Malformed> {
    let key = fields.u64("Reckoned")?;
    let outcome = outcome(fields.u8("Reckoned")?)?;
    let total = fields.f32("Reckoned")?;
    Ok(DecodedEvent::Owned(Event::CounterReplied { key, outcome, total }))
}

fn probe_ended(fields: &mut Fields<'_>) -> Result<DecodedEvent<'static>, Malformed> {
    let backend = fields.u32("Probed")?;
    let _latency_ms = fields.f64("Probed")?;
    let outcome = outcome(fields.u8("Probed")?)?;
    Ok(DecodedEvent::ProbeEnded { backend, outcome, load: fields.load_report()? })
}

fn stream_started(fields: &mut Fields<'_>) -> Result<DecodedEvent<'static>, Malformed> {
    let id = fields.u64("Flowing")?;
    let attempt = u32::from(fields.u16("Flowing")?);
    let backend = fields.u32("Flowing")?;
    Ok(DecodedEvent::Owned(Event::StreamStarted { id, attempt, backend }))
}

fn endpoint(fields: &mut Fields<'_>) -> Result<BackendEndpoint, Malformed> {
    let state = match fields.u8("Directory")? {
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        3 => EndpointState::Removed,
        other => return Err(Malformed::new(format!("Directory: unknown state {other}"))),
    };
    let id = fields.u32("Directory")?;
    let cell = Some(u32::from(fields.u16("Directory")?));
    let zone = Some(u32::from(fields.u8("Directory")?));
    let started_ms = fields.f64("Directory")?;
    let weight = fields.f32("Directory")?;
    // The simulator uses the same numbers at all gateways, so the number is also the key.
    let key = u64::from(id);
    Ok(BackendEndpoint { id, key, state, cell, zone, started_ms, weight, ..BackendEndpoint::default() })
}

fn request(fields: &mut Fields<'_>) -> Result<Request, Malformed> {
    let message = "NewRequest";
    let id = fields.u64(message)?;
    let fan_out = fields.f32(message)?;
    let _unused = fields.f32(message)?;
    let retry = fields.u8(message)? & RETRY_FLAG != 0;
    let plan = usize::from(fields.u16(message)?);
    let units = fields.f32(message)?;
    let deadline_ms = fields.f64(message)?;
    let class = usize::from(fields.u8(message)?);
    let customer = fields.u64(message)?;
    Ok(Request { id, customer, plan, class, units, fan_out, deadline_ms, retry })
}

fn attempt_ended(fields: &mut Fields<'_>) -> Result<EndedAttempt, Malformed> {
    let message = "Result";
    let id = fields.u64(message)?;
    let attempt = u32::from(fields.u16(message)?);
    let backend = fields.u32(message)?;
    let outcome = outcome(fields.u8(message)?)?;
    let latency_ms = fields.f64(message)?;
    let answered = fields.u8(message)? != 0;
    let metered_use = fields.u16(message)?;
    let actual_units = fields.u16(message)?;
    Ok(EndedAttempt {
        id,
        attempt,
        backend,
        outcome,
        latency_ms,
        answered,
        metered_use: (metered_use > 0).then(|| f64::from(metered_use - 1) / METERED_USE_SCALE),
        actual_units: (actual_units > 0).then(|| f64::from(actual_units)),
        load: fields.load_report()?,
    })
}

fn outcome(code: u8) -> Result<Outcome, Malformed> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(Malformed::new(format!("unknown outcome code {other}"))),
    })
}
