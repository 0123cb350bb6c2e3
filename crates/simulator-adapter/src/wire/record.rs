//! Records of a batch, decoded.

use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, Outcome, Request, UpdateScope};

use super::fields::Fields;
use super::{Malformed, LISTS};

/// Codes of the records that the simulator writes, by its names.
mod code {
    pub const PROBED: u8 = 0;
    pub const BACKENDS_CHANGED: u8 = 1;
    pub const RESULT: u8 = 2;
    pub const CREATE: u8 = 3;
    pub const RECKONED: u8 = 4;
    pub const POWER_OFF: u8 = 5;
    pub const CONTEXT: u8 = 6;
    pub const DIRECTORY: u8 = 7;
    pub const FLOWING: u8 = 8;
    pub const NEIGHBOUR_SAYS: u8 = 9;
    pub const NEW_REQUEST: u8 = 10;
    pub const DROPPED: u8 = 11;
    pub const RING: u8 = 12;
}

/// Bytes of an endpoint in a list.
const ENDPOINT_BYTES: usize = 21;
/// The bit of a request's flags that marks a client's retry.
const RETRY_FLAG: u8 = 2;
/// Metered use comes in hundredths, and one above so that 0 is none.
const METERED_UNIT: f64 = 100.0;

/// A record of a batch.
pub enum Record<'a> {
    /// The records that follow are for this gateway.
    Context(u16),
    /// An endpoint list, to be referred to by its number.
    Directory(usize, Vec<BackendEndpoint>),
    /// The gateway starts.
    Create {
        seed: u64,
        settings: &'a [u8],
    },
    /// The gateway is killed.
    PowerOff,
    Event(DecodedEvent<'a>),
}

/// An event that owns what the interface's [`Event`] borrows, or refers to it.
pub enum DecodedEvent<'a> {
    Backends { scope: UpdateScope, list: usize },
    Ended(EndedAttempt),
    Probed { backend: u32, outcome: Outcome, load: Vec<f32> },
    Peer { from: u32, body: &'a [u8] },
    Plain(Event<'static>),
}

/// How an attempt ended, and what its answer says.
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
    /// The event, with its endpoint list.
    pub fn resolve<'a>(&'a self, lists: &'a [Vec<BackendEndpoint>]) -> Result<Event<'a>, Malformed> {
        Ok(match self {
            DecodedEvent::Backends { scope: UpdateScope::Failed, .. } => {
                Event::EndpointsUpdated { scope: UpdateScope::Failed, endpoints: &[] }
            }
            DecodedEvent::Backends { scope, list } => {
                let endpoints = lists.get(*list).ok_or_else(|| Malformed::new(format!("no list {list}")))?;
                Event::EndpointsUpdated { scope: *scope, endpoints }
            }
            DecodedEvent::Ended(ended) => ended.event(),
            DecodedEvent::Probed { backend, outcome, load } => {
                Event::ProbeEnded { backend: *backend, outcome: *outcome, load }
            }
            DecodedEvent::Peer { from, body } => Event::PeerMessage { from: *from, body },
            DecodedEvent::Plain(event) => event.clone(),
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
            code::DIRECTORY => directory(fields)?,
            code::CREATE => create(fields)?,
            code::POWER_OFF => Record::PowerOff,
            _ => Record::Event(event(code, fields)?),
        })
    }
}

fn directory<'a>(fields: &mut Fields<'a>) -> Result<Record<'a>, Malformed> {
    let list = usize::from(fields.u8("Directory")?);
    if list >= LISTS {
        return Err(Malformed::new(format!("Directory: no list {list}")));
    }
    let count = fields.u32("Directory")? as usize;
    let bytes = fields.bytes(count.saturating_mul(ENDPOINT_BYTES), "Directory")?;
    let endpoints = bytes.chunks_exact(ENDPOINT_BYTES).map(|bytes| endpoint(&mut Fields::new(bytes)));
    Ok(Record::Directory(list, endpoints.collect::<Result<_, _>>()?))
}

fn create<'a>(fields: &mut Fields<'a>) -> Result<Record<'a>, Malformed> {
    let seed = fields.u64("Create")?;
    let length = fields.u32("Create")? as usize;
    Ok(Record::Create { seed, settings: fields.bytes(length, "Create")? })
}

fn event<'a>(code: u8, fields: &mut Fields<'a>) -> Result<DecodedEvent<'a>, Malformed> {
    Ok(match code {
        code::BACKENDS_CHANGED => backends_changed(fields)?,
        code::NEW_REQUEST => DecodedEvent::Plain(Event::Request(request(fields)?)),
        code::RESULT => DecodedEvent::Ended(ended(fields)?),
        code::NEIGHBOUR_SAYS => peer(fields)?,
        code::RECKONED => counted(fields)?,
        code::DROPPED => DecodedEvent::Plain(Event::ClientDisconnected { id: fields.u64("Dropped")? }),
        code::PROBED => probed(fields)?,
        code::FLOWING => stream_started(fields)?,
        code::RING => DecodedEvent::Plain(Event::TimerExpired { token: fields.u64("Ring")? }),
        other => return Err(Malformed::new(format!("unknown event code {other}"))),
    })
}

fn backends_changed(fields: &mut Fields<'_>) -> Result<DecodedEvent<'static>, Malformed> {
    let scope = match fields.u8("BackendsChanged")? {
        0 => UpdateScope::Delta,
        1 => UpdateScope::Full,
        2 => UpdateScope::Cached,
        3 => UpdateScope::Failed,
        other => return Err(Malformed::new(format!("BackendsChanged: unknown scope {other}"))),
    };
    let _version = fields.u32("BackendsChanged")?;
    Ok(DecodedEvent::Backends { scope, list: usize::from(fields.u8("BackendsChanged")?) })
}

fn peer<'a>(fields: &mut Fields<'a>) -> Result<DecodedEvent<'a>, Malformed> {
    let from = fields.u32("NeighbourSays")?;
    let length = usize::from(fields.u16("NeighbourSays")?);
    Ok(DecodedEvent::Peer { from, body: fields.bytes(length, "NeighbourSays")? })
}

fn counted(fields: &mut Fields<'_>) -> Result<DecodedEvent<'static>, Malformed> {
    let key = fields.u64("Reckoned")?;
    let outcome = outcome(fields.u8("Reckoned")?)?;
    let total = fields.f32("Reckoned")?;
    Ok(DecodedEvent::Plain(Event::CounterReplied { key, outcome, total }))
}

fn probed(fields: &mut Fields<'_>) -> Result<DecodedEvent<'static>, Malformed> {
    let backend = fields.u32("Probed")?;
    let _latency_ms = fields.f64("Probed")?;
    let outcome = outcome(fields.u8("Probed")?)?;
    Ok(DecodedEvent::Probed { backend, outcome, load: fields.load_report()? })
}

fn stream_started(fields: &mut Fields<'_>) -> Result<DecodedEvent<'static>, Malformed> {
    let id = fields.u64("Flowing")?;
    let attempt = u32::from(fields.u16("Flowing")?);
    let backend = fields.u32("Flowing")?;
    Ok(DecodedEvent::Plain(Event::StreamStarted { id, attempt, backend }))
}

fn endpoint(fields: &mut Fields<'_>) -> Result<BackendEndpoint, Malformed> {
    let state = match fields.u8("Directory")? {
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        3 => EndpointState::Removed,
        other => return Err(Malformed::new(format!("Directory: unknown state {other}"))),
    };
    let id = fields.u32("Directory")?;
    let cell = u32::from(fields.u16("Directory")?);
    let zone = u32::from(fields.u8("Directory")?);
    let started_ms = fields.f64("Directory")?;
    let weight = fields.f32("Directory")?;
    // Numbers are the same at all gateways here.
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

fn ended(fields: &mut Fields<'_>) -> Result<EndedAttempt, Malformed> {
    let message = "Result";
    let id = fields.u64(message)?;
    let attempt = u32::from(fields.u16(message)?);
    let backend = fields.u32(message)?;
    let outcome = outcome(fields.u8(message)?)?;
    let latency_ms = fields.f64(message)?;
    let answered = fields.u8(message)? != 0;
    let metered = fields.u16(message)?;
    let charged = fields.u16(message)?;
    Ok(EndedAttempt {
        id,
        attempt,
        backend,
        outcome,
        latency_ms,
        answered,
        metered_use: (metered > 0).then(|| f64::from(metered - 1) / METERED_UNIT),
        actual_units: (charged > 0).then(|| f64::from(charged)),
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
        other => return Err(Malformed::new(format!("unknown reason {other}"))),
    })
}
