//! The endpoint list that gateways fetch from the agent: the tasks that build it from DNS-SD and serve it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dns_sd::{CacheLimits, Name};
use endpoint_sources::{follow, serve, EndpointTable, Resolver, Settings, StatusRequest};
use fleet::wire::EndpointListStatus;
use operator_config::SourcesConfig;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::responder::EventSender;

/// Maximum number of queued status requests.
const MAX_QUEUED_REQUESTS: usize = 16;

/// Why the endpoint list can't be served.
#[derive(Debug)]
pub enum EndpointListError {
    /// The name of a service is not a valid DNS name.
    ServiceName {
        /// The name in the operator's file.
        service: String,
        /// Why it is invalid.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The listener can't be opened.
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

impl fmt::Display for EndpointListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointListError::ServiceName { service, source } => write!(f, "{service}: {source}"),
            EndpointListError::Listen { address, source } => write!(f, "{address}: {source}"),
        }
    }
}

impl std::error::Error for EndpointListError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            EndpointListError::ServiceName { source, .. } => Some(&**source),
            EndpointListError::Listen { source, .. } => Some(source),
        }
    }
}

/// The tasks that update and serve the endpoint list; they end when this is dropped.
#[derive(Debug)]
pub struct EndpointList {
    /// Address from which gateways fetch the list.
    pub address: SocketAddr,
    status_requests: mpsc::Sender<StatusRequest>,
    tasks: [JoinHandle<()>; 2],
}

impl EndpointList {
    /// Starts to query the services and to serve the resulting list.
    ///
    /// # Errors
    /// See [`EndpointListError`].
    pub async fn start(
        config: &SourcesConfig,
        events: EventSender,
    ) -> Result<EndpointList, EndpointListError> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let settings = Settings {
            services: services(config)?,
            cache_limits: cache_limits(config),
            max_shrink: config.shrink_most,
            seed: started.as_nanos() as u64 ^ u64::from(std::process::id()),
        };
        let resolver = Resolver::new(config.resolvers.clone(), Duration::from_millis(config.answer_ms));
        let failed = |source| EndpointListError::Listen { address: config.listen, source };
        let listener = TcpListener::bind(config.listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        // The start time as first version is greater than any version that an earlier process reached.
        let first_table = EndpointTable::new(started.as_millis() as u64);
        let (table, tables) = watch::channel(Arc::new(first_table));
        let (status_requests, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let announce = move |line: String| events.emit(format!("list: {line}"));
        let updating = tokio::spawn(follow(settings, resolver, table, requests, announce));
        let serving = tokio::spawn(serve(listener, tables));
        Ok(EndpointList { address, status_requests, tasks: [updating, serving] })
    }

    /// Requests the status of the list, which is sent once an update in progress is done. `None` if too many
    /// requests are queued.
    pub fn request_status(&self, records: bool) -> Option<oneshot::Receiver<EndpointListStatus>> {
        let (response, status) = oneshot::channel();
        self.status_requests.try_send(StatusRequest { include_records: records, response }).ok()?;
        Some(status)
    }
}

impl Drop for EndpointList {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn services(config: &SourcesConfig) -> Result<Vec<Name>, EndpointListError> {
    let parse = |service: &String| {
        Name::from_ascii(service).map_err(|error| EndpointListError::ServiceName {
            service: service.clone(),
            source: error.into(),
        })
    };
    config.services.iter().map(parse).collect()
}

fn cache_limits(config: &SourcesConfig) -> CacheLimits {
    let milliseconds = |seconds: u32| f64::from(seconds) * 1_000.0;
    let min_ttl_ms = milliseconds(config.ttl_least_s);
    let max_ttl_ms = milliseconds(config.ttl_most_s);
    let defaults = CacheLimits::default();
    CacheLimits {
        min_ttl_ms,
        max_ttl_ms,
        max_negative_ttl_ms: defaults.max_negative_ttl_ms.clamp(min_ttl_ms, max_ttl_ms),
        max_stale_ms: milliseconds(config.stale_most_s),
        max_queries_in_flight: config.questions,
        ..defaults
    }
}
