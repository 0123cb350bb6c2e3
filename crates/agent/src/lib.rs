//! The agent: holds what operators want, and has every gateway carry it out.
//!
//! ```text
//!  tools ── tools.rs ─ Asked ─▶ owner.rs ─ append ─▶ log.rs (redb, on the disk before anybody is told)
//!                ◀──── Say ──────────     │  book.rs: repeat, refuse or write   views.rs: what gateways list
//!                                         ▼ watch: Published
//!                       link.rs, one for each gateway ── adopt, apply, state ──▶ admin listener
//!                                         └─ Report ─▶ owner.rs
//!  gateways ◀─ GET /discovery/hosts ─ listing.rs ◀─ resolvers
//! ```
//!
//! An order is acknowledged once it is on the disk, and only then published to the links. An agent that is
//! killed begins again with the log: what was acknowledged is in it, and what is not in it no gateway was
//! told. A link begins each connection with the whole state, so gateways that were away converge by
//! themselves. Without an agent, gateways go on with the last state that they had.

mod book;
mod link;
mod listing;
mod log;
mod owner;
mod starts;
mod tools;
mod views;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use fleet::wire::{MAX_LINE_BYTES, MAX_TOOL_LINE_BYTES};
use fleet::{InvalidName, Name};
use operator_config::{AgentConfig, GatewayConfig, SourcesConfig, StartConfig};
use tokio::sync::{broadcast, mpsc, watch, Semaphore};
use transport::{BindError, Connector, Listener, TlsError};

use tools::Scope;

pub use log::{Contents, Log, LogError, ORDERS_KEPT};

/// Inputs that may wait for the owner; who brings more waits.
const INBOX: usize = 4_096;
/// Events that a watcher may be behind before it misses some.
const EVENTS: usize = 1_024;

/// Why an agent can't run.
#[derive(Debug)]
pub enum AgentError {
    /// Its log can't be used.
    Log(LogError),
    /// Its socket can't be had.
    Bind(BindError),
    /// Its certificates can't be used.
    Tls(TlsError),
    /// The list can't be served: the socket, or a service.
    Sources(String),
    /// A gateway in the operator's file has a name that can't be one.
    Name(InvalidName),
}

impl fmt::Display for AgentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgentError::Log(e) => e.fmt(f),
            AgentError::Bind(e) => e.fmt(f),
            AgentError::Tls(e) => e.fmt(f),
            AgentError::Sources(e) => write!(f, "sources: {e}"),
            AgentError::Name(e) => write!(f, "gateway: {e}"),
        }
    }
}

impl std::error::Error for AgentError {}

/// Oversees gateways until `end` is over, and serves them the list of `sources`, if there are any. `ready` is
/// told where. Those that start get turns for their first call where `start` says so.
///
/// Cancelling ends it as a kill would: nothing that was acknowledged is lost.
///
/// # Errors
/// An [`AgentError`], at the start or once the log can't be written.
pub async fn run(
    config: &AgentConfig,
    gateways: &[GatewayConfig],
    sources: Option<&SourcesConfig>,
    start: Option<&StartConfig>,
    ready: impl FnOnce(Option<SocketAddr>),
    end: impl std::future::Future<Output = ()>,
) -> Result<(), AgentError> {
    let dialer = Connector::new(config.tls.as_ref()).map_err(AgentError::Tls)?;
    let named = |g: &GatewayConfig| Ok((g.name.parse::<Name>()?, g.admin.clone()));
    let fixed =
        gateways.iter().map(named).collect::<Result<Vec<_>, InvalidName>>().map_err(AgentError::Name)?;
    // The log first: two agents on one log end here, before either speaks.
    let (log, contents) = Log::open(&config.log).map_err(AgentError::Log)?;
    let listener =
        Listener::bind(&config.listen, None, MAX_TOOL_LINE_BYTES).await.map_err(AgentError::Bind)?;
    let registers = match &config.register {
        Some(at) => {
            // A list that a gateway has fetched fits.
            let listener = Listener::bind(at, config.tls.as_ref(), MAX_LINE_BYTES).await;
            Some(listener.map_err(AgentError::Bind)?)
        }
        None => None,
    };
    let (published, receiver) = watch::channel(link::Published::default());
    let (reports, told) = mpsc::channel(INBOX);
    let (inbox, inputs) = mpsc::channel(INBOX);
    let events = broadcast::Sender::new(EVENTS);
    let shared = link::Shared {
        dialer,
        heartbeat: config.heartbeat(),
        answer: config.answer(),
        fan_out: Arc::new(Semaphore::new(config.fan_out)),
        calls: Arc::new(Semaphore::new(link::MAX_CONNECTING)),
        published: receiver,
        reports,
    };
    let listing = match sources {
        Some(sources) => Some(listing::Listing::start(sources, &events).await.map_err(AgentError::Sources)?),
        None => None,
    };
    let list = listing.as_ref().map(|listing| listing.address);
    let owner =
        owner::Owner::new(log, contents, fixed, config.least_ready, published, shared, events.clone());
    let starts = start.filter(|start| start.ordered_by_agent);
    let starts = starts.map(|start| starts::Starts::new(start.list_calls_per_s));
    let owner = owner.with_list(listing).with_starts(starts);
    let registering = registers.map(|listener| {
        let (inbox, events) = (inbox.clone(), events.clone());
        tokio::spawn(tools::serve(listener, Scope::Register, inbox, events))
    });
    let tools = tokio::spawn(tools::serve(listener, Scope::All, inbox, events));
    ready(list);
    let result = tokio::select! {
        result = owner.run(inputs, told) => result.map_err(AgentError::Log),
        () = end => Ok(()),
    };
    tools.abort();
    registering.into_iter().for_each(|task| task.abort());
    result
}
