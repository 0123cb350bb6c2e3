//! Every decision of the gateway, one module each. The settings, events and actions are the plain types of
//! `src/interface`; `docs/design.md` says what comes from the design and what was added.
//!
//! A request's way through the modules:
//!
//! ```text
//!  request ─▶ arrival ─▶ admission: quota, ceiling ─▶ load_shedding: room ─▶ attempts: send, hedge, retry
//!                          │        ▲                    │                        │           ▲
//!                          ▼        │                    ▼                        ▼           │
//!                     counter_calls ┘            endpoint_selection       attempt_results ────┘
//!                                                        │
//!                                                        ▼
//!                                              final_answer: reject, fail
//! ```
//!
//! | module | decides or knows |
//! | --- | --- |
//! | `quota` | a customer's token bucket, ceiling and demand, and what a counter total says of them |
//! | `call_throttle` | how many counter calls are made |
//! | `endpoint_list`, `backend` | which backends there are, and what is known of each |
//! | `outlier_ejection` | which backends get no work until a trial succeeds |
//! | `latency`, `fleet_load` | expected latency by class; how slow and loaded the fleet is |
//! | `repeat_safety` | whether another attempt or a rejection is safe: the one place that says so |
//! | `retry_budget` | how many attempts beyond the first ones there may be |
//! | `handover` | what passes from one process of a gateway to the next |

mod admission;
mod arrival;
mod attempt_results;
mod attempts;
mod backend;
mod call_throttle;
mod counter_calls;
mod endpoint_list;
mod endpoint_selection;
mod final_answer;
mod fleet_load;
mod handover;
mod latency;
mod load_shedding;
mod outlier_ejection;
mod quota;
mod random;
mod ratio;
mod repeat_safety;
mod request;
mod retry_budget;
mod timers;

use std::collections::HashMap;

use bounded_cache::BoundedCache;
use routing::{Index, Sampling, Subset};

use self::attempt_results::AttemptResult;
use self::backend::Backend;
use self::call_throttle::CallThrottle;
use self::counter_calls::CallsInFlight;
use self::fleet_load::FleetLoad;
use self::latency::{LatencyEstimates, LongestTimes};
use self::random::Random;
use self::request::OpenRequest;
use self::retry_budget::RetryBudget;
use self::timers::TimerKind;
use crate::interface::{Action, Event, Settings, SettingsError};

pub(crate) use self::quota::CustomerQuota;

/// Decides for one gateway.
#[derive(Debug)]
pub struct Policy {
    pub(crate) settings: Settings,
    /// When this incarnation started.
    started_at: f64,
    random: Random,
    requests: HashMap<u64, OpenRequest>,
    pub(crate) customers: BoundedCache<CustomerQuota>,
    counter_calls: CallsInFlight,
    call_throttle: CallThrottle,
    pub(crate) backends: Index<Backend>,
    /// Slots of the candidates of the selection that is being made; its memory is reused.
    drawn: Vec<usize>,
    longest: LongestTimes,
    latency: LatencyEstimates,
    fleet: FleetLoad,
    retry_budget: RetryBudget,
    /// Processes that serve as this gateway by now.
    processes: f64,
}

impl Policy {
    /// A gateway that starts at `now` with nothing known.
    ///
    /// # Errors
    /// A [`SettingsError`] if the settings can't be worked with.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let routing = &settings.routing;
        let subset = Subset::new(
            settings.gateway_index,
            settings.gateway_count,
            routing.subset_size,
            routing.coverage,
        );
        let sampling = Sampling { scan_all_up_to: routing.scan_all_up_to, choices: routing.choices };
        Ok(Policy {
            started_at: now,
            random: Random::new(seed),
            requests: HashMap::new(),
            customers: BoundedCache::new(settings.max_customers),
            counter_calls: CallsInFlight::default(),
            call_throttle: CallThrottle::new(now),
            backends: Index::new(subset, sampling, settings.slow_start.overload_window_ms),
            drawn: Vec::new(),
            longest: LongestTimes::of(&settings),
            latency: LatencyEstimates::new(&settings.classes),
            fleet: FleetLoad::new(now, latency::unseen_fleet_work_ms(&settings.classes)),
            retry_budget: RetryBudget::new(),
            processes: 1.0,
            settings,
        })
    }

    /// Changes the classes, limits and slow-start figures. A class at the place that it had before is the
    /// same one; what was learned of a class that changed goes with its name, and `before` maps the place
    /// of each new class to its earlier one. Open requests keep the class and the attempts they came with.
    pub fn update_settings(&mut self, settings: Settings, before: impl Fn(usize) -> Option<usize>) {
        self.latency.change_classes(&self.settings.classes, &settings.classes, before);
        self.longest = LongestTimes::of(&settings);
        self.settings = settings;
    }

    /// Whether a request that is open came with the class at a place.
    #[must_use]
    pub fn has_request_of_class(&self, place: usize) -> bool {
        self.requests.values().any(|open| open.request.class == place)
    }

    /// The request that a timer is for, if any. When that has its final answer and no attempt in flight,
    /// the timer need not fire.
    #[must_use]
    pub fn request_of_timer(token: u64) -> Option<u64> {
        let (kind, request) = TimerKind::of(token);
        (kind != TimerKind::PollEndpoints).then_some(request)
    }

    /// Handles an event, and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { scope, endpoints } => {
                self.update_list(now, scope, endpoints, actions);
            }
            Event::Request(request) => self.request_arrived(now, request, actions),
            Event::AttemptEnded {
                id,
                attempt,
                backend,
                outcome,
                latency_ms,
                answered,
                metered_use,
                actual_units,
                load,
            } => {
                self.learn_load(now, backend, load);
                self.attempt_finished(
                    now,
                    &AttemptResult { id, attempt, outcome, latency_ms, actual_units, metered_use },
                );
                self.forget_if_removed(now, backend);
                self.continue_request(now, id, answered, actions);
            }
            Event::StreamStarted { id, attempt, backend } => {
                self.stream_started(now, id, attempt, backend, actions);
            }
            Event::ClientDisconnected { id } => self.finish(id, actions),
            Event::ProbeEnded { backend, outcome, load } => {
                self.learn_load(now, backend, load);
                self.probe_finished(now, backend, outcome);
            }
            Event::CounterReplied { key, outcome, total } => {
                self.counter_call_finished(now, key, outcome, total, actions);
            }
            Event::PeerMessage { .. } => {}
            Event::TimerExpired { token } => self.timer_fired(now, token, actions),
        }
    }

    fn timer_fired(&mut self, now: f64, token: u64, actions: &mut Vec<Action>) {
        let (kind, id) = TimerKind::of(token);
        match kind {
            TimerKind::Deadline => self.give_up(id, actions),
            TimerKind::Hedge => self.overdue_timer_fired(now, id, actions),
            TimerKind::CounterWait => self.counter_wait_expired(now, id, actions),
            TimerKind::PollEndpoints => actions.push(Action::PollEndpoints),
        }
    }
}
