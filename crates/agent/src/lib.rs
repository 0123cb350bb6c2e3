//! The agent: stores the operators' orders in a durable log, and has every gateway apply them.
//!
//! ```text
//!  tools ── tool_listener ─ IncomingRequest ─▶ control_loop ─ append ─▶ log (redb, synced first)
//!                 ◀─── ToolResponse ───         │  order_ledger: repeated, rejected or accepted
//!                                               │  gateways, backend_catalog, pending_orders
//!                                               ▼ watch: PublishedState
//!                      session, one for each gateway ── adopt, apply, state ──▶ admin listener
//!                                               └─ SessionReport ─▶ control_loop
//!  gateways ◀─ GET /discovery/hosts ─ endpoint_list ◀─ resolvers
//! ```
//!
//! An order is written to disk before it is acknowledged and published to the sessions. An agent that was
//! killed therefore continues from its log: the log holds every order that was acknowledged or sent to a
//! gateway. A session begins each connection with a snapshot, so gateways that were unreachable converge
//! without help. While no agent runs, gateways continue with the last state that they received.

mod backend_catalog;
mod control_loop;
mod endpoint_list;
mod gateway_queries;
mod gateways;
mod log;
mod order_ledger;
mod pending_orders;
mod publication;
mod responder;
mod session;
mod session_error;
mod start_coordinator;
mod tool_listener;

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use fleet::wire::{MAX_LINE_BYTES, MAX_TOOL_LINE_BYTES};
use fleet::InvalidName;
use operator_config::{AgentConfig, GatewayConfig, SourcesConfig, StartConfig};
use tokio::sync::{mpsc, watch, Semaphore};
use transport::{BindError, Connector, Listener, TlsError};

use control_loop::{ConfiguredGateway, ControlLoop, ControlLoopConfig};
use endpoint_list::EndpointList;
use publication::PublishedState;
use responder::EventSender;
use session::{SessionContext, MAX_CONCURRENT_CONNECTS};
use start_coordinator::StartCoordinator;
use tool_listener::Scope;

pub use endpoint_list::EndpointListError;
pub use log::{Contents, Log, LogError, RegisteredGateway, MAX_RETAINED_ORDERS};

/// Capacity of the control loop's queues for requests and for reports. Senders wait while a queue is full.
const MAX_QUEUED_INPUTS: usize = 4_096;
/// Maximum number of events that a watcher may lag behind before it misses some.
const MAX_WATCHER_LAG: usize = 1_024;

/// Why the agent can't run.
#[derive(Debug)]
pub enum AgentError {
    /// The log can't be used.
    Log(LogError),
    /// A listener can't be opened.
    Bind(BindError),
    /// The certificates can't be used.
    Tls(TlsError),
    /// The endpoint list can't be served.
    Sources(EndpointListError),
    /// A gateway in the operator's file has an invalid name.
    Name(InvalidName),
}

impl fmt::Display for AgentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgentError::Log(error) => error.fmt(f),
            AgentError::Bind(error) => error.fmt(f),
            AgentError::Tls(error) => error.fmt(f),
            AgentError::Sources(error) => write!(f, "sources: {error}"),
            AgentError::Name(error) => write!(f, "gateway: {error}"),
        }
    }
}

impl std::error::Error for AgentError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            AgentError::Log(error) => Some(error),
            AgentError::Bind(error) => Some(error),
            AgentError::Tls(error) => Some(error),
            AgentError::Sources(error) => Some(error),
            AgentError::Name(error) => Some(error),
        }
    }
}

/// Runs the agent until `shutdown` completes.
///
/// With `sources`, the agent serves the endpoint list that it builds from them. `ready` is called once all
/// listeners are open, with the address of the endpoint list, if there is one. If `start` enables it, the
/// agent also coordinates the first calls of starting gateways.
///
/// Cancelling is equivalent to killing the process: no acknowledged order is lost.
///
/// # Errors
/// An [`AgentError`] if the agent can't start, or when the log can't be written.
pub async fn run(
    config: &AgentConfig,
    gateways: &[GatewayConfig],
    sources: Option<&SourcesConfig>,
    start: Option<&StartConfig>,
    ready: impl FnOnce(Option<SocketAddr>),
    shutdown: impl Future<Output = ()>,
) -> Result<(), AgentError> {
    let connector = Connector::new(config.tls.as_ref()).map_err(AgentError::Tls)?;
    let gateways = configured_gateways(gateways).map_err(AgentError::Name)?;
    // The log comes first: a second agent on the same log fails here, before it contacts any gateway.
    let (log, contents) = Log::open(&config.log).map_err(AgentError::Log)?;
    let listeners = Listeners::bind(config).await.map_err(AgentError::Bind)?;
    let (published, receiver) = watch::channel(PublishedState::default());
    let (report_sender, reports) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (request_sender, requests) = mpsc::channel(MAX_QUEUED_INPUTS);
    let events = EventSender::new(MAX_WATCHER_LAG);
    let context = SessionContext {
        connector,
        heartbeat: config.heartbeat_interval(),
        response_timeout: config.response_timeout(),
        request_permits: Arc::new(Semaphore::new(config.fan_out)),
        connect_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CONNECTS)),
        published: receiver,
        reports: report_sender,
    };
    let endpoint_list = match sources {
        Some(sources) => {
            let started = EndpointList::start(sources, events.clone()).await;
            Some(started.map_err(AgentError::Sources)?)
        }
        None => None,
    };
    let list_address = endpoint_list.as_ref().map(|list| list.address);
    let coordinated_start = start.filter(|start| start.ordered_by_agent);
    let config = ControlLoopConfig {
        gateways,
        min_ready_fraction: config.least_ready,
        endpoint_list,
        start_coordinator: coordinated_start.map(|start| StartCoordinator::new(start.list_calls_per_s)),
    };
    let control_loop = ControlLoop::new(config, log, contents, published, context, events.clone());
    let serving = listeners.serve(request_sender, events);
    ready(list_address);
    let result = tokio::select! {
        result = control_loop.run(requests, reports) => result.map_err(AgentError::Log),
        () = shutdown => Ok(()),
    };
    serving.iter().for_each(tokio::task::JoinHandle::abort);
    result
}

fn configured_gateways(gateways: &[GatewayConfig]) -> Result<Vec<ConfiguredGateway>, InvalidName> {
    let parse = |gateway: &GatewayConfig| {
        Ok(ConfiguredGateway { name: gateway.name.parse()?, address: gateway.admin.clone() })
    };
    gateways.iter().map(parse).collect()
}

/// The agent's listeners.
struct Listeners {
    tools: Listener,
    /// For gateways that register and start, if configured.
    gateways: Option<Listener>,
}

impl Listeners {
    async fn bind(config: &AgentConfig) -> Result<Listeners, BindError> {
        let tools = Listener::bind(&config.listen, None, MAX_TOOL_LINE_BYTES).await?;
        let gateways = match &config.register {
            // A line may carry an endpoint list that a gateway has fetched.
            Some(address) => Some(Listener::bind(address, config.tls.as_ref(), MAX_LINE_BYTES).await?),
            None => None,
        };
        Ok(Listeners { tools, gateways })
    }

    fn serve(
        self,
        requests: mpsc::Sender<control_loop::IncomingRequest>,
        events: EventSender,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();
        if let Some(listener) = self.gateways {
            let serving = tool_listener::serve(listener, Scope::Gateways, requests.clone(), events.clone());
            tasks.push(tokio::spawn(serving));
        }
        tasks.push(tokio::spawn(tool_listener::serve(self.tools, Scope::All, requests, events)));
        tasks
    }
}
