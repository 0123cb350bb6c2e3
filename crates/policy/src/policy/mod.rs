//! Every decision of the gateway, by concern. Its settings, events and actions are the plain types of
//! `src/interface.rs`, its records those of `src/state.rs`. `docs/design.md` says what comes from
//! the design and what was added.
//!
//! ```text
//!  request ─▶ admission: quota, ceiling, room ─▶ counting: a total decides ─▶ choice: backend, attempts
//!                             ▲                                                  │ outcome
//!                             └───────────── health: backends, slowness ◀────────┘
//! ```

mod admission;
mod choice;
mod counting;
mod health;

use crate::interface::{Action, Class, Event, Outcome, Request, Settings, SettingsError, UnreportedCharge};
use crate::state::{Backend, Call, End, Fleet, Held, Ratio};
use crate::store::{Customer, MEMORY_FILLS};
use bounded_cache::BoundedCache;
use routing::{Index, Reach, Subset};
use std::collections::{HashMap, VecDeque};

/// Least chance of a call, so that a counter that is back shows.
const MIN_CALL_PROBABILITY: f64 = 0.05;
/// Latency of a mean request before any was seen, as a part of the aim.
const UNSEEN_LATENCY: f64 = 0.125;
/// Weight of the past in a backend's, the fleet's and a class's latency, for each answer.
const KEEP: (f64, f64, f64) = (0.9, 0.98, 0.998);
/// A backend is judged as the fleet until it has answered about this many mean requests.
const PRIOR: f64 = 2.0;
/// Failures (weighted to the recent) above which a backend is ejected, and the weight of one.
const EJECT: (f64, f64) = (0.5, 0.2);
/// Part of the aim that an expected finish may take; the rest is for the scatter of the work. Where that is
/// exponential, 6 in 7 are in time at this limit. Danger: a quarter, which 49 in 50 would keep. Where aims
/// are few times the work, a fleet half busy is as slow as that, and refuses what it has room for.
const HEADROOM: f64 = 0.5;
/// Answers that the latency assumed of a class is worth, so that a flood at the start shows as slowness.
const UNSEEN_WEIGHT: f64 = 20.0;
/// Up to so many gateways, what one of them has out shows the load of all.
const FEW: f64 = 2.0;
/// Slowness against the calm that is always borne, lest a misjudged class shut the gateway.
const MIN_BEARABLE_SLOWNESS: f64 = 1.5;
/// Further attempts earned by each request, and the most that can be saved up.
const RETRY_BUDGET: (f64, f64) = (0.1, 10.0);
/// What a timer is for, in the low bits of its token.
const DEADLINE: u64 = 0;
const HEDGE: u64 = 1;
const COUNT_WAIT: u64 = 2;
const WATCH: u64 = 3;

/// Decides for one gateway.
#[derive(Debug)]
pub struct Policy {
    pub(crate) settings: Settings,
    born: f64,
    rng: u64,
    requests: HashMap<u64, Held>,
    pub(crate) customers: BoundedCache<Customer>,
    calls: HashMap<u64, VecDeque<Call>>,
    /// Chance of calls to the counter: less while they fail or wait.
    call_chance: f64,
    /// What it is to be again at once when a counter that was gone answers, and whether it answered last.
    call_goal: f64,
    call_heard: bool,
    /// When it was last lessened and last changed, and the least latency of calls.
    call_eased: f64,
    call_changed: f64,
    call_least: f64,
    pub(crate) backends: Index<Backend>,
    /// Candidates of the choice that is being made.
    picks: Vec<usize>,
    /// The longest aim and deadline of all classes.
    longest: (f64, f64),
    /// Units of requests that came, and how cheap they would be beyond their quotas.
    mean_units: Ratio,
    cheap: Ratio,
    class_latency: Vec<Ratio>,
    class_work: Vec<f64>,
    fleet: Fleet,
    retry_budget: f64,
    /// Processes that serve as this gateway by now.
    processes: f64,
}

/// Latency of a mean request of a class on an idle backend before any was seen.
fn unseen(class: &Class) -> f64 {
    class.latency_objective_ms * UNSEEN_LATENCY
}

fn unseen_latency(class: &Class) -> Ratio {
    Ratio { seen: unseen(class) * UNSEEN_WEIGHT, expected: UNSEEN_WEIGHT }
}

/// The longest aim and deadline of all classes.
fn longest(settings: &Settings) -> (f64, f64) {
    let of = |time: fn(&Class) -> f64| settings.classes.iter().map(time).fold(1.0, f64::max);
    (of(|c| c.latency_objective_ms), of(|c| c.deadline_ms))
}

impl Policy {
    /// A gateway that starts at `now` with nothing known.
    ///
    /// # Errors
    /// A [`SettingsError`] if the settings can't be worked with.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let class_work: Vec<f64> = settings.classes.iter().map(unseen).collect();
        let (mean_work, bearable) = (class_work[0], HEADROOM / UNSEEN_LATENCY);
        let r = &settings.routing;
        let subset = Subset::new(settings.gateway_index, settings.gateway_count, r.subset_size, r.coverage);
        let reach = Reach { whole: r.scan_all_up_to, choices: r.choices };
        Ok(Policy {
            customers: BoundedCache::new(settings.max_customers),
            backends: Index::new(subset, reach, settings.slow_start.overload_window_ms),
            longest: longest(&settings),
            class_latency: settings.classes.iter().map(unseen_latency).collect(),
            class_work,
            cheap: Ratio::default(),
            mean_units: Ratio::default(),
            settings,
            born: now,
            rng: seed,
            requests: HashMap::new(),
            calls: HashMap::new(),
            call_chance: 1.0,
            call_goal: 1.0,
            call_heard: true,
            call_eased: now,
            call_changed: now,
            call_least: f64::MAX,
            picks: Vec::new(),
            fleet: Fleet { at: now, calm: 1.0, mean_work, bearable, ..Fleet::default() },
            retry_budget: RETRY_BUDGET.1,
            processes: 1.0,
        })
    }

    /// Goes by other classes, bounds and figures on cold backends from now on. A class at the place that it
    /// had before is the same one; what was learned of a class that changed goes with its name, which
    /// `before` tells as the place of each that is new. Open requests keep the class and the attempts they
    /// came with.
    pub fn update_settings(&mut self, settings: Settings, before: impl Fn(usize) -> Option<usize>) {
        let known = self.settings.classes.len();
        for (place, class) in settings.classes.iter().enumerate() {
            if self.settings.classes.get(place).is_some_and(|old| old.same_rules(class)) {
                continue;
            }
            let (latency, work) = match before(place).filter(|old| *old < known) {
                Some(old) => (self.class_latency[old], self.class_work[old]),
                None => (unseen_latency(class), unseen(class)),
            };
            if place < self.class_latency.len() {
                (self.class_latency[place], self.class_work[place]) = (latency, work);
            } else {
                self.class_latency.push(latency);
                self.class_work.push(work);
            }
        }
        self.longest = longest(&settings);
        self.settings = settings;
    }

    /// So many processes serve as this gateway from now on, this one among them: while one takes over from
    /// another, all that a gateway may do without asking is shared between them.
    pub fn set_process_count(&mut self, now: f64, processes: u32) {
        let processes = f64::from(processes.max(1));
        self.customers.for_each_mut(|c| {
            c.refill(now);
            c.shared_by(processes);
        });
        self.processes = processes;
    }

    /// Takes off the charges that the counter was not told, so that another process tells them: of each plan
    /// that the settings have, of all customers.
    pub fn take_unreported_charges(&mut self) -> Vec<UnreportedCharge> {
        let (plans, mut all) = (&self.settings.plans, Vec::new());
        self.customers.for_each_mut(|c| {
            let plan = plans.iter().position(|plan| *plan == c.plan);
            let units = c.unreported - c.withdrawn;
            if let Some(plan) = plan.filter(|_| units.is_finite() && units > 0.0) {
                (c.unreported, c.withdrawn) = (0.0, 0.0);
                all.push(UnreportedCharge { customer: c.key, plan, fan_out: c.width, units });
            }
        });
        all
    }

    /// Tells the counter charges that another process did not, each with the next call for its customer. What
    /// can't be charges is passed over.
    pub fn adopt_unreported_charges(&mut self, now: f64, untold: &[UnreportedCharge]) {
        for u in untold.iter().filter(|u| u.units.is_finite() && u.units > 0.0 && u.fan_out >= 1.0) {
            let Some(plan) = self.settings.plans.get(u.plan).cloned() else { continue };
            if self.customers.get(u.customer).is_none() {
                let mut new =
                    Customer::new(u.customer, plan, u.fan_out, now, self.born, self.settings.shared_counter);
                new.shared_by(self.processes);
                // Danger: more of them than there is room for. What is lost may pass again.
                let _ = self.customers.insert(now, u.customer, new);
            }
            if let Some(c) = self.customers.get_mut(u.customer) {
                c.refill(now);
                c.level -= u.units;
                c.unreported += u.units;
            }
        }
    }

    /// Whether a request that is open came with the class at a place.
    #[must_use]
    pub fn has_request_of_class(&self, place: usize) -> bool {
        self.requests.values().any(|held| held.request.class == place)
    }

    /// The request that a timer is for, if any. When that has its final answer and no attempt out, the
    /// timer need not ring.
    #[must_use]
    pub fn request_of_timer(token: u64) -> Option<u64> {
        (token & 3 != WATCH).then_some(token >> 2)
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { scope, endpoints: entries } => self.list(now, scope, entries, actions),
            Event::Request(request) => self.arrive(now, request, actions),
            Event::AttemptEnded {
                id,
                attempt,
                backend,
                outcome,
                latency_ms,
                answered: closed,
                metered_use: metered,
                actual_units: charged,
                load,
            } => {
                self.report(now, backend, load);
                self.ended(now, &End { id, attempt, outcome, latency: latency_ms, charged, metered });
                self.forget(now, backend);
                self.after(now, id, closed, actions);
            }
            Event::StreamStarted { id, attempt, backend } => {
                self.backend(backend).into_iter().for_each(|b| b.heard = now);
                self.requests.get_mut(&id).into_iter().for_each(|h| h.streaming = true);
                self.cancel(id, Some(attempt), actions);
            }
            Event::ClientDisconnected { id } => self.finish(id, actions),
            Event::ProbeEnded { backend, outcome, load } => {
                self.report(now, backend, load);
                let restart = self.settings.slow_start.overload_window_ms;
                let place = self.backends.find(backend).filter(|p| self.backends.get(*p).ejected);
                if let Some(place) = place.filter(|_| outcome == Outcome::Ok) {
                    self.backends.update(now, place, |b| b.readmit(now, restart));
                    self.backends.watch(place, now);
                }
            }
            Event::CounterReplied { key: name, outcome, total } => {
                self.counted(now, name, outcome, total, actions)
            }
            Event::PeerMessage { .. } => {}
            Event::TimerExpired { token } => self.timer(now, token, actions),
        }
    }

    fn timer(&mut self, now: f64, token: u64, actions: &mut Vec<Action>) {
        let id = token >> 2;
        match token & 3 {
            // Danger: a request nobody answers. Each has this timer, whatever else it waits for.
            DEADLINE => self.give_up(now, id, actions),
            HEDGE => self.overdue(now, id, actions),
            // Danger: a silent counter takes the request's time. It goes on without the total.
            COUNT_WAIT if self.requests.get(&id).is_some_and(|h| h.counting && !h.done) => {
                self.uncounted(now, id, actions);
            }
            COUNT_WAIT => {}
            _ => actions.push(Action::PollEndpoints),
        }
    }

    fn arrive(&mut self, now: f64, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        let sound = request.units.is_finite() && request.units >= 0.0;
        request.units = if sound { request.units } else { self.settings.max_request_units.max(1.0) };
        // A class that the settings don't know, or no time left: refused, as nothing was done.
        if request.class >= self.settings.classes.len() || request.deadline_ms.max(now) <= now {
            return actions.push(Action::Reject { id, retry_after_ms: None });
        }
        // Danger: a saving of each of many gateways adds up to a storm. All together save for a few.
        let most = (RETRY_BUDGET.1 * FEW / f64::from(self.settings.gateway_count)).max(1.0);
        self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(most);
        self.mean_units.add(request.units.max(1.0), 1.0, KEEP.1);
        self.sweep(now);
        self.watch_silence(now, actions);
        let at_ms = request.deadline_ms - self.settings.clock_granularity_ms;
        actions.push(Action::ScheduleTimer { token: id << 2 | DEADLINE, at_ms: at_ms.max(now) });
        let most = self.settings.limits.max_attempts;
        self.requests.insert(id, Held { request, most, ..Held::default() });
        self.admit(now, id, actions);
    }

    /// Ends a request with the best answer that is legal.
    fn give_up(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id).filter(|h| !h.done && !h.streaming) else { return };
        if self.legal(held, None, now) {
            let c = self.customers.get(held.request.customer).filter(|c| c.plan.rate > 0.0);
            let wait = c.map_or(0.0, |c| (held.request.units - c.level) / c.plan.rate * 1000.0);
            let advised = self.settings.limits.retry_advice && wait > 0.0;
            let retry_after_ms = advised.then_some(wait.min(self.settings.limits.max_retry_after_ms));
            actions.push(Action::Reject { id, retry_after_ms });
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish(id, actions);
    }

    fn finish(&mut self, id: u64, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.done = true;
        if let (true, Some(c)) = (held.attempts.is_empty(), self.customers.get_mut(held.request.customer)) {
            // What was never sent on is not charged; the next call of the window tells the counter.
            c.spend(-held.charge);
            c.unreported += held.charge;
            c.withdrawn += held.charge + held.beside;
        }
        if held.attempts.iter().all(|a| !a.pending) {
            self.requests.remove(&id);
        }
        self.cancel(id, None, actions);
    }

    /// Cancels what is still out for a request, but for one attempt.
    fn cancel(&mut self, id: u64, but: Option<u32>, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        for (attempt, a) in (0..).zip(&held.attempts) {
            if a.pending && Some(attempt) != but {
                actions.push(Action::CancelAttempt { id, attempt });
            }
        }
    }

    /// Danger: customers seen once fill the memory. Each arrival looks at two stores and drops
    /// those that hold nothing a new one would not.
    fn sweep(&mut self, now: f64) {
        self.customers.sweep(2, |c| {
            c.refill(now);
            let full = c.level >= c.plan.burst && !c.spent();
            let known = (now - c.heard) * c.plan.rate < c.plan.burst * MEMORY_FILLS * 1000.0;
            full && !known && c.open == 0 && c.calls == 0
        });
    }
}
