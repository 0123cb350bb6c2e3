//! A gateway reduced to its admin listener: it applies orders like a real gateway and serves no clients.

use std::sync::{Arc, Mutex, PoisonError};

use fleet::wire::{
    Applied, BackendState, Envelope, GatewayRequest, GatewayResponse, GatewayState, GatewayStatistics,
    OrderResult, MAX_LINE_BYTES,
};
use fleet::DesiredState;
use operator_config::Address;
use tokio::task::JoinHandle;
use transport::{BindError, JsonLines, Listener};

use crate::switch::Switch;

/// A running gateway stand-in, stopped when dropped.
#[derive(Debug)]
pub struct GatewayStandIn {
    /// Sets the stand-in's fault; only [`Fault::Slow`](crate::switch::Fault::Slow) and
    /// [`Fault::Silent`](crate::switch::Fault::Silent) have an effect.
    pub switch: Switch,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    name: String,
    incarnation: u64,
    desired: DesiredState,
    backends: Vec<BackendState>,
}

impl GatewayStandIn {
    /// Starts a stand-in that lists this many backends, named `till-0` and up.
    ///
    /// # Errors
    /// Returns a [`BindError`] if its socket can't be bound.
    pub async fn start(
        name: &str,
        incarnation: u64,
        at: &Address,
        backends: usize,
    ) -> Result<GatewayStandIn, BindError> {
        let listener = Listener::bind(at, None, MAX_LINE_BYTES).await?;
        let backend = |i: usize| BackendState {
            name: format!("till-{i}"),
            address: format!("127.0.0.1:{}", 1 + i % 60_000),
            group: (i / 8) as u32,
            kind: "m".to_string(),
            zone: "room".to_string(),
            serving: true,
            drained_by: None,
            banned_ms: None,
            weight: 1.0,
            ejected: false,
            capacity_fraction: 1.0,
            in_flight: 0,
        };
        let backends = (0..backends).map(backend).collect();
        let (name, desired) = (name.to_string(), DesiredState::default());
        let state = Arc::new(Mutex::new(State { name, incarnation, desired, backends }));
        let (switch, shared) = (Switch::default(), Arc::clone(&state));
        let faults = switch.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok(arrival) = listener.accept().await {
                let (state, faults) = (Arc::clone(&shared), faults.clone());
                connections.spawn(async move {
                    if let Ok(lines) = arrival.open().await {
                        serve(lines, &state, &faults).await;
                    }
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(GatewayStandIn { switch, state, task })
    }

    /// Returns whether an applied order drains a backend.
    #[must_use]
    pub fn drained(&self, backend: &str) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.desired.effective_state(backend, u32::MAX, "").drained_by.is_some()
    }
}

impl Drop for GatewayStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut lines: JsonLines, state: &Mutex<State>, faults: &Switch) {
    while let Ok(Some(Envelope { request_id, body })) = lines.next::<Envelope<GatewayRequest>>().await {
        faults.delay().await;
        let body = state.lock().unwrap_or_else(PoisonError::into_inner).answer(body);
        if lines.send(&Envelope { request_id, body }).await.is_err() {
            return;
        }
    }
}

impl State {
    fn answer(&mut self, request: GatewayRequest) -> GatewayResponse {
        match request {
            GatewayRequest::Inflight { .. } => GatewayResponse::Inflight(0),
            GatewayRequest::Adopt { snapshot } => {
                self.desired.adopt(&snapshot);
                self.applied(Vec::new())
            }
            GatewayRequest::Apply { orders } => {
                let result = |order: &fleet::Order| OrderResult {
                    id: order.id.clone(),
                    outcome: self.desired.apply(order),
                    matched: 1,
                };
                let results = orders.iter().map(result).collect();
                self.applied(results)
            }
            GatewayRequest::State { backends } => GatewayResponse::State(GatewayState {
                name: self.name.clone(),
                version: env!("CARGO_PKG_VERSION").to_string(),
                incarnation: self.incarnation,
                applied_revision: self.desired.revision(),
                last_order: None,
                drained_by: None,
                drained_ms: None,
                list_version: 1,
                statistics: GatewayStatistics {
                    listed: self.backends.len() as u32,
                    ..GatewayStatistics::default()
                },
                backends: backends.then(|| self.backends.clone()),
            }),
        }
    }

    fn applied(&self, results: Vec<OrderResult>) -> GatewayResponse {
        GatewayResponse::Applied(Applied {
            incarnation: self.incarnation,
            applied_revision: self.desired.revision(),
            results,
        })
    }
}
