//! Limits on the load that the gateways of a fleet cause when they start, shared between them.

use cold_start::{CallBudget, ConnectionRamp, SlotSchedule};
use gateway_policy::interface::Routing;
use gateway_policy::reload::ServiceSettings;
use operator_config::StartConfig;
use routing::Subset;

use super::readiness::FirstBackend;
use crate::event_loop::StartRamp;

/// This gateway's share of the fleet's start limits. Each limit is absent if operators did not configure it.
#[derive(Default)]
pub(super) struct FleetStart {
    /// Slots for calls to discovery.
    pub slots: Option<SlotSchedule>,
    /// Ramp of first connections to backends.
    pub ramp: Option<ConnectionRamp>,
    /// Budget of calls to the shared counter.
    pub counter_calls: Option<CallBudget>,
}

impl FleetStart {
    pub fn new(start: Option<StartConfig>, service_settings: &ServiceSettings, now_ms: f64) -> FleetStart {
        let Some(start) = start else { return FleetStart::default() };
        let settings = &service_settings.settings;
        let (index, gateways) = (settings.gateway_index, settings.gateway_count);
        let Routing { subset_size: subset, coverage, .. } = settings.routing;
        let ramp = |per_s| {
            let subset = Subset::new(index, gateways, subset, coverage);
            ConnectionRamp::new(index, gateways, subset, per_s, now_ms)
        };
        let counter_calls = |per_s| CallBudget::new(index, gateways, per_s, now_ms);
        FleetStart {
            slots: Some(SlotSchedule::new(index, gateways, start.list_calls_per_s)),
            ramp: start.backend_connections_per_s.map(ramp),
            counter_calls: start.counter_calls_per_s.map(counter_calls),
        }
    }
}

/// Prepares a connection ramp for the event loop. Also returns the first backend for which the start waits.
pub(super) fn with_first_backend(ramp: ConnectionRamp) -> (StartRamp, FirstBackend) {
    let timeout = ramp.readiness_timeout();
    let (ramp, reached) = StartRamp::new(ramp);
    (ramp, FirstBackend { reached, timeout })
}
