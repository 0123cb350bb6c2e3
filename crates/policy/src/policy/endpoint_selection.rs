//! Selection of the backend for an attempt: the one that is expected to complete it first, among a few
//! candidates drawn at random.

use routing::Scope;

use super::backend::Backend;
use super::fleet_load::PRIOR_REQUESTS;
use super::random::Random;
use super::request::OpenRequest;
use super::Policy;
use crate::interface::{DeduplicationScope, Idempotency, Request};

/// Maximum ejected fraction of a group. Beyond it, either the failure rates mislead or all backends share the
/// fault.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Time for which a backend that rejected a plan and class as full is avoided for them, as a multiple of the
/// longest deadline.
const AVOID_AFTER_REJECTION_DEADLINES: f64 = 4.0;
/// Random scatter of the scores, so that gateways with the same knowledge do not all choose the same backend.
const SCORE_NOISE: f64 = 0.1;
/// Maximum fraction by which a backend without observations may be assumed faster than the fleet.
const MAX_OPTIMISM: f64 = 0.5;
/// Attempts that a backend with a few cores serves concurrently with little slowdown.
const BASE_CONCURRENCY: f64 = 6.0;
/// Preference for a backend that is avoided, relative to 1 for the others.
const AVOIDED_PREFERENCE: f64 = 0.2;
/// Maximum reduction of the preference for a backend by its failure rate.
const MAX_FAILURE_DISCOUNT: f64 = 0.9;

/// A selected backend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selection {
    /// The backend's slot in the index.
    pub(super) slot: usize,
    /// Expected completion time, as a multiple of that of an idle backend; 0 if the backend is idle.
    pub(super) slowness: f64,
}

/// A backend that a request may be sent to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    selection: Selection,
    /// Whether an attempt of the request was already sent there.
    tried: bool,
    /// Lower is better.
    score: f64,
}

impl Candidate {
    /// Returns whether this candidate is preferred to another. A backend is never tried again while there is
    /// one that has not been tried.
    fn is_better_than(&self, other: &Candidate) -> bool {
        (self.tried, self.score) < (other.tried, other.score)
    }
}

/// Data shared by all candidates of one draw.
#[derive(Clone, Copy, Debug)]
struct DrawContext {
    now: f64,
    /// Expected latency of the request on an idle backend, ms.
    work_ms: f64,
    /// Work recently sent to each warm backend of the subset, ms.
    mean_warm_work: f64,
    /// Number of backends drawn.
    drawn_count: usize,
    /// Whether only some of the available backends were drawn.
    partial: bool,
}

/// A backend's slowness, and the fraction of the estimate that comes from the fleet: 1 if nothing is known
/// about the backend.
#[derive(Clone, Copy, Debug)]
struct SlownessEstimate {
    slowness: f64,
    fleet_fraction: f64,
}

/// Whether a backend may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eligibility {
    /// Not at present.
    Excluded,
    /// If it has the best score.
    ByScore,
    /// In preference to all others.
    Preferred,
}

impl Policy {
    /// Selects the backend that is expected to complete another attempt of a request first.
    pub(super) fn select_backend(&mut self, now: f64, id: u64) -> Option<Selection> {
        self.backends.advance(now);
        let mut random = self.random;
        let mut drawn = std::mem::take(&mut self.drawn_slots);
        drawn.clear();
        let open = self.requests.get(&id);
        let best = open.and_then(|open| self.best_candidate(now, open, &mut random, &mut drawn));
        self.random = random;
        self.drawn_slots = drawn;
        best.map(|best| best.selection)
    }

    /// Draws candidates, group by group, until one is eligible, and returns the best. `drawn` receives their
    /// slots.
    fn best_candidate(
        &self,
        now: f64,
        open: &OpenRequest,
        random: &mut Random,
        drawn: &mut Vec<usize>,
    ) -> Option<Candidate> {
        let ignore_ejection = self.is_mostly_ejected(Scope::Fleet);
        let work_ms = self.latency.work_ms(open.request.class, open.request.units);
        let mean_warm_work = self.backends.mean_warm_work(now);
        let mut best: Option<Candidate> = None;
        for group in self.groups_to_draw_from(open)? {
            let start = drawn.len();
            self.backends.draw(group, ignore_ejection, &mut || random.next_f64(), drawn);
            let drawn = &drawn[start..];
            let counts = self.backends.counts(group);
            let partial = drawn.len() < counts.ready - counts.ejected;
            let draw = DrawContext { now, work_ms, mean_warm_work, drawn_count: drawn.len(), partial };
            for slot in drawn {
                let candidate = self.candidate(open, *slot, &draw, random);
                best = match (best, candidate) {
                    (Some(best), Some(candidate)) if candidate.is_better_than(&best) => Some(candidate),
                    (best, candidate) => best.or(candidate),
                };
            }
            if best.as_ref().is_some_and(|best| !best.tried) {
                break;
            }
        }
        best
    }

    /// Returns whether so many backends of a group are ejected that their ejection is not meaningful.
    fn is_mostly_ejected(&self, group: Scope) -> bool {
        let counts = self.backends.counts(group);
        counts.ejected as f64 > counts.ready as f64 * MAX_EJECTED_FRACTION
    }

    /// Returns the groups to draw candidates from, in order. A repeat of a keyed request stays in the
    /// deduplication scope in which its first attempt may have run. If the subset is mostly ejected, work
    /// spills over to the whole fleet, because the remaining backends of the subset would be overloaded.
    /// Ejections are ignored only if most of the fleet is ejected: a gateway's view of its subset is not
    /// representative of the fleet. There is none if the deduplication scope is unknown.
    fn groups_to_draw_from(&self, open: &OpenRequest) -> Option<[Scope; 3]> {
        let class = &self.settings.classes[open.request.class];
        let earlier_attempt =
            open.attempts_that_may_have_run().next().filter(|_| class.idempotency == Idempotency::Keyed);
        match (earlier_attempt, class.deduplication_scope) {
            (Some(attempt), DeduplicationScope::Cell) => Some([Scope::Cell(attempt.cell?); 3]),
            (Some(attempt), DeduplicationScope::Zone) => Some([Scope::Zone(attempt.zone?); 3]),
            _ if self.is_mostly_ejected(Scope::Subset) => Some([Scope::Fleet; 3]),
            _ => Some([Scope::Subset, Scope::Subset, Scope::Fleet]),
        }
    }

    /// Evaluates a drawn backend. Returns `None` if the attempt must not be sent there.
    fn candidate(
        &self,
        open: &OpenRequest,
        slot: usize,
        draw: &DrawContext,
        random: &mut Random,
    ) -> Option<Candidate> {
        let noise = 1.0 + SCORE_NOISE * random.next_f64();
        let backend = self.backends.get(slot);
        if !self.may_attempt(open, backend, draw.now) {
            return None;
        }
        let capacity_fraction = backend.capacity_fraction(draw.now, &self.settings);
        let eligibility = self.eligibility_while_warming_up(slot, capacity_fraction, draw, random);
        if eligibility == Eligibility::Excluded {
            return None;
        }
        let slowness = self.optimistic_slowness(backend, draw.now, random) / capacity_fraction;
        let load = self.estimated_load(backend, draw.now);
        let zone_cost = self.zone_cost(backend);
        let preference = self.preference(slot, &open.request, draw);
        let score = match eligibility {
            Eligibility::Preferred => 0.0,
            _ => slowness * load * noise * zone_cost / preference,
        };
        let selection = Selection { slot, slowness: self.expected_completion(backend, slowness) };
        let tried = open.attempts.iter().any(|attempt| attempt.backend == backend.entry.id);
        Some(Candidate { selection, tried, score })
    }

    /// Returns whether a backend with the given capacity fraction may take this request.
    ///
    /// A backend that is warming up would stay idle if each gateway's share of its capacity is less than one
    /// request, if a faster backend is always drawn with it, or if operators re-enabled it while there are
    /// always idle warm backends. In these cases it gets its capacity fraction of an even share at random,
    /// which leaves the sum over all gateways the same. Its answers are slower, so this does not apply to
    /// every backend that starts.
    fn eligibility_while_warming_up(
        &self,
        slot: usize,
        capacity_fraction: f64,
        draw: &DrawContext,
        random: &mut Random,
    ) -> Eligibility {
        if capacity_fraction >= 1.0 {
            return Eligibility::ByScore;
        }
        let sharing_gateways = self.backends.degree() * self.process_count;
        let budget_ms =
            self.warm_up_budget_ms(capacity_fraction, sharing_gateways, draw.mean_warm_work + draw.work_ms);
        let recent_work_ms = self.backends.recent_work(slot, draw.now);
        let below_one_request = budget_ms < draw.work_ms;
        let within_budget = recent_work_ms + draw.work_ms <= budget_ms;
        let rarely_chosen = draw.partial || self.backends.get(slot).returned_from_ban();
        let chosen_by_chance = (below_one_request || rarely_chosen && within_budget)
            && random.next_f64() * draw.drawn_count as f64 <= capacity_fraction;
        // Gateways whose subset does not contain the backend would each add a share of their own.
        let allowed =
            self.backends.is_in_subset(slot) && (within_budget || below_one_request && chosen_by_chance);
        match (allowed, chosen_by_chance) {
            (false, _) => Eligibility::Excluded,
            (true, false) => Eligibility::ByScore,
            (true, true) => Eligibility::Preferred,
        }
    }

    /// Returns the work that this gateway may recently have sent to a backend with the given capacity
    /// fraction, ms: that fraction of the work that it sends to a warm backend, or of its share of one core's
    /// work, whichever is larger. Without this limit, all gateways together would overload the backend.
    fn warm_up_budget_ms(&self, capacity_fraction: f64, gateways: f64, mean_warm_work: f64) -> f64 {
        let slow_start = &self.settings.slow_start;
        let core_budget_ms = slow_start.overload_multiple * slow_start.overload_window_ms / gateways;
        capacity_fraction * core_budget_ms.max(mean_warm_work)
    }

    /// Returns the slowness of a backend by its own answers and, as these age, increasingly by the fleet's.
    pub(super) fn slowness(&self, backend: &Backend, now: f64) -> f64 {
        self.estimate_slowness(backend, now).slowness
    }

    fn estimate_slowness(&self, backend: &Backend, now: f64) -> SlownessEstimate {
        let age_ms = now - backend.latency_updated_at;
        let keep = (-age_ms / (2.0 * self.longest.deadline_ms)).exp().max(f64::EPSILON);
        let prior = self.fleet.mean_work_ms() * PRIOR_REQUESTS / keep;
        SlownessEstimate {
            slowness: backend.latency.with_prior(self.fleet.slowness(), prior),
            fleet_fraction: prior / (backend.latency.expected + prior),
        }
    }

    /// Returns a backend's slowness, reduced at random for an idle backend, and by more the less is known
    /// about it. Otherwise backends that were never tried, or were slow once, would get no requests while one
    /// of the candidates drawn with them always answers well.
    fn optimistic_slowness(&self, backend: &Backend, now: f64, random: &mut Random) -> f64 {
        let estimate = self.estimate_slowness(backend, now);
        let idle = backend.in_flight <= 0.0;
        let speedup = if idle { MAX_OPTIMISM * estimate.fleet_fraction * random.next_f64() } else { 0.0 };
        estimate.slowness * (1.0 - speedup)
    }

    /// Estimates the attempts at a backend. A report that is old, or reports that cease as the backend
    /// becomes busy, do not indicate that it is idle.
    fn estimated_load(&self, backend: &Backend, now: f64) -> f64 {
        let freshness = (-(now - backend.load_reported_at) / self.longest.deadline_ms).exp();
        let fleet_queue = self.fleet.reported_queue();
        let queued = fleet_queue + (backend.queued - fleet_queue) * freshness;
        let by_share = backend.in_flight * self.backends.degree();
        by_share.max(backend.in_flight + queued) + BASE_CONCURRENCY
    }

    /// Returns the relative cost of an attempt by the backend's zone: 1 in the gateway's own zone.
    fn zone_cost(&self, backend: &Backend) -> f64 {
        let crosses_zone = f64::from(u8::from(backend.entry.zone != Some(self.settings.zone)));
        1.0 + crosses_zone * self.settings.cross_zone_cost
    }

    /// Returns the preference for sending a request to a backend. Avoided backends come last.
    fn preference(&self, slot: usize, request: &Request, draw: &DrawContext) -> f64 {
        let backend = self.backends.get(slot);
        // Beyond the share of work set by an operator's weight, a backend is avoided.
        let share = backend.entry.weight_share;
        let over_weight_share =
            share < 1.0 && self.backends.recent_work(slot, draw.now) > share * draw.mean_warm_work;
        let avoided =
            backend.ejected || self.recently_rejected(backend, request, draw.now) || over_weight_share;
        let preference = if avoided { AVOIDED_PREFERENCE } else { 1.0 };
        preference * (1.0 - backend.failure_rate.min(MAX_FAILURE_DISCOUNT))
    }

    /// Returns whether a backend recently rejected, as full, both the plan and the class of a request. It may
    /// have capacity for other plans and classes, which are still sent there.
    fn recently_rejected(&self, backend: &Backend, request: &Request, now: f64) -> bool {
        let avoid_ms = self.longest.deadline_ms * AVOID_AFTER_REJECTION_DEADLINES;
        let recently = |at: Option<&f64>| at.is_some_and(|at| now - at < avoid_ms);
        let indices = self.rejection_indices(request);
        !backend.rejected_at.is_empty()
            && indices.iter().all(|index| recently(backend.rejected_at.get(*index)))
    }

    /// Returns the indices of a request's plan and class in [`Backend::rejected_at`], which holds the plans,
    /// one entry for unknown plans, and the classes.
    pub(super) fn rejection_indices(&self, request: &Request) -> [usize; 2] {
        let plans = self.settings.plans.len();
        [request.plan.min(plans), plans + 1 + request.class]
    }

    /// Returns the expected completion time at a backend with the given slowness, as a multiple of that of an
    /// idle backend; 0 if the backend is idle.
    fn expected_completion(&self, backend: &Backend, slowness: f64) -> f64 {
        if backend.in_flight <= 0.0 {
            return 0.0;
        }
        let queueing = (slowness / self.fleet.baseline() - 1.0).max(0.0);
        1.0 + queueing * (backend.in_flight + 1.0) / (backend.mean_in_flight + 1.0)
    }
}
