//! Builds the parts of a gateway from its configuration and the operator's file.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use cold_start::{ConnectionRamp, PollSchedule, SlotSchedule};
use gateway_policy::interface::{Routing, UpdateScope};
use gateway_policy::reload::ServiceSettings;
use gateway_policy::Policy;
use operator_config::{AdminConfig, OperatorConfig, StartConfig};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use transport::Connector;

use super::capacity::{Budgets, Capacity};
use super::clients_socket;
use super::fleet_start::{with_first_backend, FleetStart};
use super::readiness::Readiness;
use super::reload::Reload;
use super::shutdown::Shutdown;
use crate::client::Clients;
use crate::clock::Clock;
use crate::config::Config;
use crate::counter::Counter;
use crate::discovery::{self, CoordinatedStart, EndpointUpdate, FollowOptions};
use crate::endpoint_list::EndpointList;
use crate::error::StartError;
use crate::event_loop::{ControlPlane, EventLoop, Resources};
use crate::input::Input;
use crate::maintenance::{self, ControlRequest, Controller, PendingCommand, ProcessStatus, StateDirectory};
use crate::upstream::ConnectionPool;

/// Inputs that may wait for the event loop; whoever brings more waits.
const INBOX_CAPACITY: usize = 1024;
/// Requests of the maintenance controller, and commands, that may wait; there are few, one after another.
const COMMANDS_CAPACITY: usize = 32;
/// How long the start waits for the list of backends where none is known.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the start waits for an update of a list that is known.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(50);
/// The longest time that a gateway may go on sending to a backend that was told to stop, s.
const MAX_STOP_SENDING_S: f64 = 60.0;

/// The parts of a gateway, built but not running. The second address is served already, and says that the
/// gateway starts.
pub(super) struct Parts {
    pub event_loop: EventLoop,
    pub inputs: mpsc::Receiver<Input>,
    pub control: mpsc::Receiver<ControlRequest>,
    pub readiness: Readiness,
    pub reload: Reload,
    pub client_side: ClientSide,
    pub shutdown: Shutdown,
}

/// What is opened when the gateway is ready.
pub(super) struct ClientSide {
    /// The gateway's name.
    pub name: String,
    pub admin: Option<AdminConfig>,
    pub clients: Arc<Clients>,
    pub listener: TcpListener,
    /// Permits for connections of clients.
    pub permits: Arc<Semaphore>,
    /// How many of those there are.
    pub connections: usize,
    /// Other processes of this gateway that lived when it started.
    pub other_processes: usize,
}

/// Builds all parts. The second address and the clients' socket are opened, the endpoint list of the
/// configuration and the maintenance state are in force.
pub(super) async fn build(config: Config, operator: OperatorConfig) -> Result<Parts, StartError> {
    let mut builder = Builder::new(config, operator);
    let (control_sender, control) = mpsc::channel(COMMANDS_CAPACITY);
    let (command_sender, commands) = mpsc::channel(COMMANDS_CAPACITY);
    let listener = builder.open_sockets(&command_sender).await?;
    let policy = builder.policy()?;
    let (inbox, inputs) = mpsc::channel(INBOX_CAPACITY);
    let counter = builder.counter(&inbox);

    let fleet_start = FleetStart::new(builder.start, &builder.service_settings, builder.clock.now_ms());
    let pool = builder.connection_pool(fleet_start.ramp.as_ref());
    let budgets = Budgets::new(builder.capacity);
    let (connections, (drain, drained)) = (TaskTracker::new(), watch::channel(false));
    let (settings_sender, service_settings) = watch::channel(Arc::new(builder.service_settings.clone()));
    let (ramp, first_backend) = fleet_start.ramp.map(with_first_backend).unzip();
    let resources = Resources {
        partitions: budgets.partitions(builder.capacity, &pool),
        pool,
        counter,
        inbox: inbox.clone(),
        memory: Arc::clone(&budgets.memory),
        streaming_memory: budgets.streaming_memory,
        control_plane: ControlPlane::new(
            builder.config.name.clone(),
            builder.incarnation,
            connections.clone(),
            drain,
        ),
        service_settings: settings_sender,
        ramp,
        counter_budget: fleet_start.counter_calls,
    };
    let mut event_loop = EventLoop::new(policy, builder.clock, resources);
    let controller = builder.controller(control_sender.clone());
    let other_processes = adopt_maintenance_state(&controller, &mut event_loop);
    let (leaving, leave_requests) = mpsc::channel(1);
    tokio::spawn(controller.run(commands, leave_requests));
    let known = builder.adopt_known_list(&mut event_loop, fleet_start.slots);
    let coordinated_start = builder.coordinated_start()?;

    let clients = Arc::new(Clients {
        service_settings,
        inbox: inbox.clone(),
        memory: budgets.memory,
        last_request: AtomicU64::new(0),
        closing: CancellationToken::new(),
        not_accepting: CancellationToken::new(),
        drained,
        connections,
    });
    let readiness = Readiness {
        started: builder.started,
        first_list: first_list_max(known.known_version, fleet_start.slots),
        in_slots: fleet_start.slots.is_some(),
        first_backend,
    };
    let client_side = ClientSide {
        name: builder.config.name.clone(),
        admin: builder.admin,
        clients: Arc::clone(&clients),
        listener,
        permits: budgets.client_permits,
        connections: builder.capacity.connections,
        other_processes,
    };
    let shutdown = Shutdown {
        clock: builder.clock,
        status: builder.status,
        clients,
        leaving,
        _commands: command_sender,
    };
    let counter_timeout = millis(builder.service_settings.settings.counter_timeout_ms);
    let reload = Reload {
        config: builder.config,
        counter_timeout,
        known,
        coordinated_start,
        inbox,
        control: control_sender,
    };
    Ok(Parts { event_loop, inputs, control, readiness, reload, client_side, shutdown })
}

/// What the parts are built from.
struct Builder {
    config: Config,
    /// The settings of the configuration, with what the operator's file and the memory add to them.
    service_settings: ServiceSettings,
    admin: Option<AdminConfig>,
    start: Option<StartConfig>,
    capacity: Capacity,
    clock: Clock,
    started: Instant,
    incarnation: u64,
    status: ProcessStatus,
}

impl Builder {
    fn new(config: Config, operator: OperatorConfig) -> Builder {
        let OperatorConfig { admin, routing, start, .. } = operator;
        let (clock, capacity) = (Clock::start(), Capacity::of(&config));
        let mut service_settings = config.service_settings.clone();
        let operator_config::RoutingConfig { whole, choices, subset, coverage } = routing;
        service_settings.settings.routing =
            Routing { scan_all_up_to: whole, choices, subset_size: subset, coverage };
        service_settings.settings.max_customers = Policy::customers_fitting(capacity.customer_bytes);
        Builder {
            config,
            service_settings,
            admin,
            start,
            capacity,
            clock,
            started: Instant::now(),
            incarnation: incarnation(clock),
            status: ProcessStatus::default(),
        }
    }

    /// Serves the second address, and opens the clients' socket.
    async fn open_sockets(&self, commands: &mpsc::Sender<PendingCommand>) -> Result<TcpListener, StartError> {
        if let Some(address) = self.config.management {
            // Before all that may take long: asked before the gateway is ready, it says so.
            let listener = TcpListener::bind(address).await;
            let listener = listener.map_err(|source| StartError::Management { address, source })?;
            tokio::spawn(maintenance::serve(listener, commands.clone()));
        }
        clients_socket::open(self.config.listen).await
    }

    fn policy(&self) -> Result<Policy, StartError> {
        let settings = self.service_settings.settings.clone();
        Policy::new(settings, self.config.seed, self.clock.now_ms()).map_err(StartError::Settings)
    }

    fn counter(&self, inbox: &mpsc::Sender<Input>) -> Option<Counter> {
        let timeout = millis(self.service_settings.settings.counter_timeout_ms);
        self.config.peers.counter.map(|address| Counter::start(address, timeout, inbox))
    }

    fn connection_pool(&self, ramp: Option<&ConnectionRamp>) -> ConnectionPool {
        let connect_timeout = millis(self.service_settings.settings.limits.connect_timeout_ms);
        let idle_close_ms = self.service_settings.names.idle_close_ms;
        let mut pool = ConnectionPool::new(self.capacity.connections, idle_close_ms, connect_timeout);
        if let Some(ramp) = ramp {
            pool.grow_after(ramp.round());
        }
        pool
    }

    fn controller(&self, control: mpsc::Sender<ControlRequest>) -> Controller {
        let directory =
            self.config.management.and_then(|_| state_directory(self.config.listen, self.incarnation));
        let warm_up_ms = self.service_settings.settings.slow_start.warm_up_ms;
        Controller::new(directory, self.clock, warm_up_ms, self.status.clone(), control)
    }

    /// Puts the endpoint list of the configuration in force, and gives what discovery is to be asked for
    /// then.
    fn adopt_known_list(&mut self, event_loop: &mut EventLoop, slots: Option<SlotSchedule>) -> FollowOptions {
        let known = std::mem::replace(&mut self.config.known, EndpointList::empty());
        discovery::log_rejected("known", &known);
        // With the list's version the start asks for what has changed since, not for the whole list.
        let known_version = Some(known.version).filter(|_| !known.endpoints.is_empty());
        event_loop.handle_input(Input::EndpointUpdate(EndpointUpdate {
            scope: UpdateScope::Cached,
            endpoints: known.endpoints,
            unreadable: Vec::new(),
        }));
        let settings = &self.service_settings.settings;
        let stop_sending_s = (settings.drain_grace_ms / 1000.0).min(MAX_STOP_SENDING_S);
        FollowOptions {
            known_version,
            gateways: settings.gateway_count,
            stop_within: Duration::from_secs_f64(stop_sending_s),
            seed: self.config.seed,
            slots: slots.map(|slots| (slots, self.clock)),
        }
    }

    /// How the agent orders this start, if it is to, and one is named.
    fn coordinated_start(&self) -> Result<Option<CoordinatedStart>, StartError> {
        let ordered = self.start.is_some_and(|start| start.ordered_by_agent);
        let Some(admin) = self.admin.as_ref().filter(|_| ordered) else { return Ok(None) };
        let Some(agent) = admin.agent.clone() else { return Ok(None) };
        let connector = Connector::new(admin.tls.as_ref()).map_err(StartError::AdminTls)?;
        let name = self.config.name.parse();
        let name = name.map_err(|source| StartError::Name { purpose: "to ask for a turn", source })?;
        let gateways = self.service_settings.settings.gateway_count;
        Ok(Some(CoordinatedStart { agent, connector, name, incarnation: self.incarnation, gateways }))
    }
}

/// Puts the state of the processes before in force, before the first request: bans hold from the start, and
/// other processes are left their shares. Returns how many of those live.
fn adopt_maintenance_state(controller: &Controller, event_loop: &mut EventLoop) -> usize {
    event_loop.adopt_maintenance_state(controller.state());
    let other_processes = controller.other_processes();
    event_loop.set_other_processes(other_processes);
    other_processes
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// A number that no other start of a gateway has: its millisecond and its process, below 2^53.
fn incarnation(clock: Clock) -> u64 {
    (((clock.now_ms() as u64) << 12) | u64::from(std::process::id() & 0xfff)) & ((1 << 53) - 1)
}

/// The directory that the processes of this gateway share. None without `$TMPDIR`; and what else can't be had
/// is no reason not to serve.
fn state_directory(listen: SocketAddr, incarnation: u64) -> Option<StateDirectory> {
    let parent = std::env::var_os("TMPDIR")?;
    StateDirectory::open(Path::new(&parent), listen, incarnation)
        .inspect_err(|e| tracing::warn!("no folder under TMPDIR: {e}; bans end with this process"))
        .ok()
}

/// How long to wait for the list as it is now: shortly for an update of one that is known, longer for the
/// first.
fn first_list_max(known: Option<u64>, slots: Option<SlotSchedule>) -> Duration {
    match (known, slots) {
        (Some(_), _) => FIRST_UPDATE_TIMEOUT,
        (None, None) => FIRST_LIST_TIMEOUT,
        (None, Some(slots)) => PollSchedule::new(slots).first_timeout(),
    }
}
