//! A gateway that is nothing but its admin listener: it takes orders in as a real one does, and serves
//! nobody.

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

/// A running one. It ends with the value.
#[derive(Debug)]
pub struct GatewayStandIn {
    /// What is wrong with it: slow and silent are known here.
    pub switch: Switch,
    held: Arc<Mutex<Held>>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Held {
    name: String,
    boot: u64,
    desired: DesiredState,
    backends: Vec<BackendState>,
}

impl GatewayStandIn {
    /// Starts one that lists so many backends, `till-0` and on.
    ///
    /// # Errors
    /// A [`BindError`], if its socket can't be had.
    pub async fn start(
        name: &str,
        boot: u64,
        at: &Address,
        backends: usize,
    ) -> Result<GatewayStandIn, BindError> {
        let listener = Listener::bind(at, None, MAX_LINE_BYTES).await?;
        let row = |i: usize| BackendState {
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
        let backends = (0..backends).map(row).collect();
        let (name, desired) = (name.to_string(), DesiredState::default());
        let held = Arc::new(Mutex::new(Held { name, boot, desired, backends }));
        let (switch, serving) = (Switch::default(), Arc::clone(&held));
        let faults = switch.clone();
        let task = tokio::spawn(async move {
            let mut talks = tokio::task::JoinSet::new();
            while let Ok(arrival) = listener.accept().await {
                let (held, faults) = (Arc::clone(&serving), faults.clone());
                talks.spawn(async move {
                    if let Ok(lines) = arrival.open().await {
                        talk(lines, &held, &faults).await;
                    }
                });
                while talks.try_join_next().is_some() {}
            }
        });
        Ok(GatewayStandIn { switch, held, task })
    }

    /// Whether an order drains a backend here.
    #[must_use]
    pub fn drained(&self, backend: &str) -> bool {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.desired.effective_state(backend, u32::MAX, "").drained_by.is_some()
    }
}

impl Drop for GatewayStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn talk(mut lines: JsonLines, held: &Mutex<Held>, faults: &Switch) {
    while let Ok(Some(Envelope { request_id: n, body })) = lines.next::<Envelope<GatewayRequest>>().await {
        faults.delay().await;
        let body = held.lock().unwrap_or_else(PoisonError::into_inner).answer(body);
        if lines.send(&Envelope { request_id: n, body }).await.is_err() {
            return;
        }
    }
}

impl Held {
    fn answer(&mut self, ask: GatewayRequest) -> GatewayResponse {
        match ask {
            GatewayRequest::Inflight { .. } => GatewayResponse::Inflight(0),
            GatewayRequest::Adopt { snapshot } => {
                self.desired.adopt(&snapshot);
                self.applied(Vec::new())
            }
            GatewayRequest::Apply { orders } => {
                let verdict = |order: &fleet::Order| OrderResult {
                    id: order.id.clone(),
                    outcome: self.desired.apply(order),
                    matched: 1,
                };
                let verdicts = orders.iter().map(verdict).collect();
                self.applied(verdicts)
            }
            GatewayRequest::State { backends } => GatewayResponse::State(GatewayState {
                name: self.name.clone(),
                version: env!("CARGO_PKG_VERSION").to_string(),
                incarnation: self.boot,
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

    fn applied(&self, verdicts: Vec<OrderResult>) -> GatewayResponse {
        GatewayResponse::Applied(Applied {
            incarnation: self.boot,
            applied_revision: self.desired.revision(),
            results: verdicts,
        })
    }
}
