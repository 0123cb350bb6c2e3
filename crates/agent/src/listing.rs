//! The server list that gateways take from the agent: its source, its listener, and what is told of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dns_sd::{CacheLimits, Name};
use endpoint_sources::{follow, serve, EndpointTable, Resolver, Settings, StatusRequest};
use fleet::wire::EndpointListStatus;
use operator_config::SourcesConfig;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// Questions of tools that may wait.
const MAX_QUEUED_REQUESTS: usize = 16;

/// A list that is followed and served. It ends with the value.
#[derive(Debug)]
pub struct Listing {
    /// Where gateways read it.
    pub address: SocketAddr,
    asks: mpsc::Sender<StatusRequest>,
    tasks: [JoinHandle<()>; 2],
}

impl Listing {
    /// Begins to follow the services, and to serve what is known of them.
    pub async fn start(
        config: &SourcesConfig,
        events: &broadcast::Sender<String>,
    ) -> Result<Listing, String> {
        let name = |s: &String| Name::from_ascii(s).map_err(|e| format!("{s}: {e}"));
        let services = config.services.iter().map(name).collect::<Result<Vec<_>, _>>()?;
        let ms = |s: u32| f64::from(s) * 1_000.0;
        let (life_least, life_most) = (ms(config.ttl_least_s), ms(config.ttl_most_s));
        let plain = CacheLimits::default();
        let bounds = CacheLimits {
            min_ttl_ms: life_least,
            max_ttl_ms: life_most,
            max_negative_ttl_ms: plain.max_negative_ttl_ms.clamp(life_least, life_most),
            max_stale_ms: ms(config.stale_most_s),
            max_queries_in_flight: config.questions,
            ..plain
        };
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = started.as_nanos() as u64 ^ u64::from(std::process::id());
        let settings = Settings { services, bounds, shrink_most: config.shrink_most, seed };
        let resolver = Resolver::new(config.resolvers.clone(), Duration::from_millis(config.answer_ms));
        let failed = |e: std::io::Error| format!("{}: {e}", config.listen);
        let listener = TcpListener::bind(config.listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        // Versions go on where an earlier life of the agent can't have come to.
        let (table, tables) = watch::channel(Arc::new(EndpointTable::new(started.as_millis() as u64)));
        let (asks, asked) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let events = events.clone();
        let say = move |line: String| {
            let line = format!("list: {line}");
            eprintln!("agent: {line}");
            // Fails only where nobody watches.
            let _ = events.send(line);
        };
        let following = tokio::spawn(follow(settings, resolver, table, asked, say));
        let tasks = [following, tokio::spawn(serve(listener, tables))];
        Ok(Listing { address, asks, tasks })
    }

    /// Asks how the list stands. The answer comes at once, but for a reading that is under way; none, if too
    /// many ask already.
    pub fn ask(&self, records: bool) -> Option<oneshot::Receiver<EndpointListStatus>> {
        let (answer, told) = oneshot::channel();
        self.asks.try_send(StatusRequest { records, answer }).ok().map(|()| told)
    }
}

impl Drop for Listing {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
