//! Builds the components of a gateway from its configuration and the operator's file.

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
use crate::sent_requests::SentRequests;
use crate::upstream::ConnectionPool;

/// Capacity of the channel of inputs to the event loop. Senders wait while it is full.
const INBOX_CAPACITY: usize = 1024;
/// Capacity of the channels for operators' commands and control requests, which are few and sequential.
const COMMANDS_CAPACITY: usize = 32;
/// Maximum time that the start waits for the endpoint list if the configuration has none.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that the start waits for an update of the configuration's endpoint list.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(50);
/// Upper bound of the time for which a gateway may continue to send to a backend that was told to stop, s.
const MAX_STOP_SENDING_S: f64 = 60.0;

/// The components of a gateway, built but not running. Only the management address is already served; it
/// answers that the gateway is starting.
pub(super) struct Components {
    pub event_loop: EventLoop,
    pub inputs: mpsc::Receiver<Input>,
    pub control: mpsc::Receiver<ControlRequest>,
    pub readiness: Readiness,
    pub reload: Reload,
    pub client_side: ClientSide,
    pub shutdown: Shutdown,
}

/// The listeners that are opened when the gateway is ready.
pub(super) struct ClientSide {
    /// Name of the gateway.
    pub name: String,
    pub admin: Option<AdminConfig>,
    pub clients: Arc<Clients>,
    pub listener: TcpListener,
    /// Permits for client connections.
    pub permits: Arc<Semaphore>,
    /// Total number of these permits.
    pub connections: usize,
    /// Number of other processes of this gateway that were running when it started.
    pub other_processes: usize,
}

/// Builds all components. Opens the management address and the clients' socket, and applies the endpoint list
/// of the configuration and the maintenance state to the event loop.
pub(super) async fn build(config: Config, operator: OperatorConfig) -> Result<Components, StartError> {
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
    let controller = builder.controller(control_sender.clone());
    let resources = Resources {
        sent_requests: SentRequests::new(controller.sent_requests_file()),
        partitions: budgets.partitions(builder.capacity, &pool),
        pool,
        counter,
        inbox: inbox.clone(),
        memory: budgets.memory.clone(),
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
    let other_processes = adopt_maintenance_state(&controller, &mut event_loop);
    let (handover, handover_requests) = mpsc::channel(1);
    tokio::spawn(controller.run(commands, handover_requests));
    let follow_options = builder.apply_known_list(&mut event_loop, fleet_start.slots);
    let coordinated_start = builder.coordinated_start()?;

    let clients = Arc::new(Clients {
        service_settings,
        inbox: inbox.clone(),
        memory: budgets.memory,
        last_request: AtomicU64::new(0),
        closing: CancellationToken::new(),
        not_accepting: CancellationToken::new(),
        exiting: CancellationToken::new(),
        drained,
        connections,
    });
    let readiness = Readiness {
        started: builder.started,
        list_timeout: list_timeout(follow_options.known_version, fleet_start.slots),
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
        handover,
        _commands: command_sender,
    };
    let counter_timeout = millis(builder.service_settings.settings.counter_timeout_ms);
    let reload = Reload {
        config: builder.config,
        counter_timeout,
        follow_options,
        coordinated_start,
        inbox,
        control: control_sender,
    };
    Ok(Components { event_loop, inputs, control, readiness, reload, client_side, shutdown })
}

/// The inputs from which the components are built.
struct Builder {
    config: Config,
    /// Settings of the configuration, completed by the operator's file and the memory limits.
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

    /// Starts to serve the management address, and opens the clients' socket.
    async fn open_sockets(&self, commands: &mpsc::Sender<PendingCommand>) -> Result<TcpListener, StartError> {
        if let Some(address) = self.config.management {
            // Done before any step that may take long, so that operators can query a gateway that is
            // starting.
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
        self.config.addresses.counter.map(|address| Counter::start(address, timeout, inbox))
    }

    fn connection_pool(&self, ramp: Option<&ConnectionRamp>) -> ConnectionPool {
        let connect_timeout = millis(self.service_settings.settings.limits.connect_timeout_ms);
        let idle_close_ms = self.service_settings.names.idle_close_ms;
        let mut pool = ConnectionPool::new(self.capacity.connections, idle_close_ms, connect_timeout);
        if let Some(ramp) = ramp {
            pool.limit_initial_connections(ramp.round());
        }
        pool
    }

    fn controller(&self, control: mpsc::Sender<ControlRequest>) -> Controller {
        let directory =
            self.config.management.and_then(|_| state_directory(self.config.listen, self.incarnation));
        let warm_up_ms = self.service_settings.settings.slow_start.warm_up_ms;
        Controller::new(directory, self.clock, warm_up_ms, self.status.clone(), control)
    }

    /// Applies the endpoint list of the configuration. Returns the options for following discovery from
    /// there.
    fn apply_known_list(&mut self, event_loop: &mut EventLoop, slots: Option<SlotSchedule>) -> FollowOptions {
        let known = std::mem::replace(&mut self.config.known_list, EndpointList::empty());
        discovery::log_rejected("known", &known);
        // With a version, the first call to discovery is for the changes since then, not for the whole list.
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

    /// Returns the agent that coordinates this start; `None` if that is disabled, or no agent is configured.
    fn coordinated_start(&self) -> Result<Option<CoordinatedStart>, StartError> {
        let ordered = self.start.is_some_and(|start| start.ordered_by_agent);
        let Some(admin) = self.admin.as_ref().filter(|_| ordered) else { return Ok(None) };
        let Some(agent) = admin.agent.clone() else { return Ok(None) };
        let connector = Connector::new(admin.tls.as_ref()).map_err(StartError::AdminTls)?;
        let name = self.config.name.parse();
        let purpose = "for a start slot from the agent";
        let name = name.map_err(|source| StartError::Name { purpose, source })?;
        let gateways = self.service_settings.settings.gateway_count;
        Ok(Some(CoordinatedStart { agent, connector, name, incarnation: self.incarnation, gateways }))
    }
}

/// Applies the maintenance state left by other processes of this gateway before the first request: bans are
/// in force from the start, and the resources are shared with the processes still running. Returns their
/// number.
fn adopt_maintenance_state(controller: &Controller, event_loop: &mut EventLoop) -> usize {
    event_loop.adopt_maintenance_state(controller.state());
    let other_processes = controller.other_processes();
    event_loop.set_other_processes(other_processes);
    other_processes
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Returns a number below 2^53 that is unique to this start of a gateway, from the time in ms and the process
/// id.
fn incarnation(clock: Clock) -> u64 {
    (((clock.now_ms() as u64) << 12) | u64::from(std::process::id() & 0xfff)) & ((1 << 53) - 1)
}

/// Opens the state directory that the processes of this gateway share. Returns `None` if `$TMPDIR` is unset
/// or the directory can't be opened: the gateway serves without it.
fn state_directory(listen: SocketAddr, incarnation: u64) -> Option<StateDirectory> {
    let parent = std::env::var_os("TMPDIR")?;
    StateDirectory::open(Path::new(&parent), listen, incarnation)
        .inspect_err(|e| tracing::warn!("no state directory under TMPDIR: {e}; bans end with this process"))
        .ok()
}

/// Returns how long the start waits for the current endpoint list: a short time for an update if the version
/// `known` is already loaded, and longer for the first list.
fn list_timeout(known: Option<u64>, slots: Option<SlotSchedule>) -> Duration {
    match (known, slots) {
        (Some(_), _) => FIRST_UPDATE_TIMEOUT,
        (None, None) => FIRST_LIST_TIMEOUT,
        (None, Some(slots)) => PollSchedule::new(slots).readiness_timeout(),
    }
}
