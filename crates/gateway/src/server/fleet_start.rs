//! How a fleet shares out what its gateways do when they start.

use cold_start::{CallBudget, ConnectionRamp, SlotSchedule};
use gateway_policy::interface::Routing;
use gateway_policy::reload::ServiceSettings;
use operator_config::StartConfig;
use routing::Subset;

use super::readiness::FirstBackend;
use crate::event_loop::StartRamp;

/// How a fleet shares out what its gateways do when they start; each part is off where operators left it out.
#[derive(Default)]
pub(super) struct FleetStart {
    /// This gateway's slots for calls for the list.
    pub slots: Option<SlotSchedule>,
    /// First connections to backends.
    pub ramp: Option<ConnectionRamp>,
    /// PollSchedule to the counter.
    pub counter_calls: Option<CallBudget>,
}

impl FleetStart {
    pub fn new(start: Option<StartConfig>, service_settings: &ServiceSettings, now_ms: f64) -> FleetStart {
        let Some(start) = start else { return FleetStart::default() };
        let settings = &service_settings.settings;
        let (me, gateways) = (settings.gateway_index, settings.gateway_count);
        let Routing { subset_size: subset, coverage, .. } = settings.routing;
        let ramp = |per_s| {
            let subset = Subset::new(me, gateways, subset, coverage);
            ConnectionRamp::new(me, gateways, subset, per_s, now_ms)
        };
        let counter_calls = |per_s| CallBudget::new(me, gateways, per_s, now_ms);
        FleetStart {
            slots: Some(SlotSchedule::new(me, gateways, start.list_calls_per_s)),
            ramp: start.backend_connections_per_s.map(ramp),
            counter_calls: start.counter_calls_per_s.map(counter_calls),
        }
    }
}

/// The ramp of first connections, with what the start waits for.
pub(super) fn with_first_backend(ramp: ConnectionRamp) -> (StartRamp, FirstBackend) {
    let within = ramp.first_timeout();
    let (ramp, reached) = StartRamp::new(ramp);
    (ramp, FirstBackend { reached, within })
}
