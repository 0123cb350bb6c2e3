//! Which backend takes a request: the one of least expected finish among a few that are drawn.

use routing::Scope;

use super::backend::Backend;
use super::fleet_load::PRIOR_REQUESTS;
use super::random::Random;
use super::request::OpenRequest;
use super::Policy;
use crate::interface::{DeduplicationScope, Idempotency, Request};

/// Part of a group that may be ejected; beyond it the estimate is wrong or the trouble is shared.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Longest deadlines for which a backend that turned a plan and class away as full comes last for it.
const AVOID_AFTER_REJECTION_DEADLINES: f64 = 4.0;
/// Scatter of scores, lest gateways that know the same all choose the same.
const SCORE_NOISE: f64 = 0.1;
/// Part by which a backend of which nothing is known may be taken for faster than the fleet.
const MAX_OPTIMISM: f64 = 0.5;
/// Attempts that a backend of a few cores serves at once with little slowing.
const BASE_CONCURRENCY: f64 = 6.0;
/// What a backend that is to come last counts for, against one that is not.
const AVOIDED_PREFERENCE: f64 = 0.2;
/// The most of its failures that counts against a backend.
const MAX_FAILURE_DISCOUNT: f64 = 0.9;

/// A backend that was selected.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selection {
    /// Its slot in the index.
    pub(super) slot: usize,
    /// Expected finish, as a multiple of an idle backend's.
    pub(super) slowness: f64,
}

/// A backend that a request may be sent to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    selection: Selection,
    /// The request was there before.
    tried: bool,
    /// Less is better.
    score: f64,
}

impl Candidate {
    /// Whether this one is to be taken before another. Never the same backend while another is there.
    fn is_better_than(&self, other: &Candidate) -> bool {
        (self.tried, self.score) < (other.tried, other.score)
    }
}

/// What all candidates of a draw are looked at for.
#[derive(Clone, Copy, Debug)]
struct DrawContext {
    now: f64,
    /// Expected latency of the request on an idle backend, ms.
    work_ms: f64,
    /// Work that was sent lately to each warm backend of the subset.
    warm_push: f64,
    /// Backends that were drawn.
    drawn_count: usize,
    /// They are some of those that there are.
    partial: bool,
}

/// A backend's slowness, and how much of that is the fleet's: 1 where nothing is known of it.
#[derive(Clone, Copy, Debug)]
struct SlownessEstimate {
    slowness: f64,
    fleet_fraction: f64,
}

/// Whether a backend takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eligibility {
    /// Not now.
    Excluded,
    /// If its score is best.
    ByScore,
    /// Before all others.
    Preferred,
}

impl Policy {
    /// The backend of least expected finish for a further attempt of a request.
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

    /// Draws candidates until one may be taken, and returns the best. `drawn` holds their slots.
    fn best_candidate(
        &self,
        now: f64,
        open: &OpenRequest,
        random: &mut Random,
        drawn: &mut Vec<usize>,
    ) -> Option<Candidate> {
        let ignore_ejection = self.is_mostly_ejected(Scope::Fleet);
        let work_ms = self.latency.work_ms(open.request.class, open.request.units);
        let warm_push = self.backends.warm_push(now);
        let mut best: Option<Candidate> = None;
        for group in self.groups_to_draw_from(open) {
            let start = drawn.len();
            self.backends.draw(group, ignore_ejection, &mut || random.next_f64(), drawn);
            let drawn = &drawn[start..];
            let counts = self.backends.counts(group);
            let partial = drawn.len() < counts.ready - counts.ejected;
            let draw = DrawContext { now, work_ms, warm_push, drawn_count: drawn.len(), partial };
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

    /// Whether so many backends of a group are ejected that ejection means nothing.
    fn is_mostly_ejected(&self, group: Scope) -> bool {
        let counts = self.backends.counts(group);
        counts.ejected as f64 > counts.ready as f64 * MAX_EJECTED_FRACTION
    }

    /// Where candidates are drawn from, one group after another. A repeat of a keyed request stays where
    /// its first attempt may have run. A subset that is mostly ejected would push over what is left of it,
    /// so work spills over to the whole fleet. Ejections are passed over only where most of the fleet has
    /// them: one gateway's view of its subset is no view of the fleet.
    fn groups_to_draw_from(&self, open: &OpenRequest) -> [Scope; 3] {
        let class = &self.settings.classes[open.request.class];
        let earlier_attempt =
            open.attempts_that_may_have_run().next().filter(|_| class.idempotency == Idempotency::Keyed);
        match (earlier_attempt, class.deduplication_scope) {
            (Some(attempt), DeduplicationScope::Cell) => [Scope::Cell(attempt.cell); 3],
            (Some(attempt), DeduplicationScope::Zone) => [Scope::Zone(attempt.zone); 3],
            _ if self.is_mostly_ejected(Scope::Subset) => [Scope::Fleet; 3],
            _ => [Scope::Subset, Scope::Subset, Scope::Fleet],
        }
    }

    /// What is expected of a backend that was drawn; none if nothing may be sent there.
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
        let selection = Selection { slot, slowness: self.expected_finish(backend, slowness) };
        let tried = open.attempts.iter().any(|attempt| attempt.backend == backend.entry.id);
        Some(Candidate { selection, tried, score })
    }

    /// What a backend of some warmth may get of this request.
    ///
    /// A backend that warms up would stay idle where each gateway's part of it is under a request, or where
    /// one of those that are drawn with it is always faster; or one that operators gave back, as warm ones
    /// are always free beside it. So it gets the warm part of an even share by chance; the sum over
    /// gateways is the same. Its answers are slower, so it is not done for each that starts.
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
            self.warm_up_budget_ms(capacity_fraction, sharing_gateways, draw.warm_push + draw.work_ms);
        let pushed_ms = self.backends.pushed(slot, draw.now);
        let below_one_request = budget_ms < draw.work_ms;
        let within_budget = pushed_ms + draw.work_ms <= budget_ms;
        let rarely_chosen = draw.partial || self.backends.get(slot).returned_from_ban();
        let chosen_by_chance = (below_one_request || rarely_chosen && within_budget)
            && random.next_f64() * draw.drawn_count as f64 <= capacity_fraction;
        // Gateways of whose subset it is none would each have a part of their own.
        let allowed =
            self.backends.is_in_subset(slot) && (within_budget || below_one_request && chosen_by_chance);
        match (allowed, chosen_by_chance) {
            (false, _) => Eligibility::Excluded,
            (true, false) => Eligibility::ByScore,
            (true, true) => Eligibility::Preferred,
        }
    }

    /// Work that this gateway may send lately to a backend of some warmth, ms: the warm part of what warm
    /// ones get of it, or of its part of one core's work. All gateways together would else overload it.
    fn warm_up_budget_ms(&self, capacity_fraction: f64, gateways: f64, warm_push: f64) -> f64 {
        let slow_start = &self.settings.slow_start;
        let core_budget_ms = slow_start.overload_multiple * slow_start.overload_window_ms / gateways;
        capacity_fraction * core_budget_ms.max(warm_push)
    }

    /// Slowness of a backend, by its own answers and, as they age, by the fleet's.
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

    /// The slowness that an idle backend may have by chance, the less is known of it. Backends never tried,
    /// or slow once, would get nothing while one of those drawn with them has always answered well.
    fn optimistic_slowness(&self, backend: &Backend, now: f64, random: &mut Random) -> f64 {
        let estimate = self.estimate_slowness(backend, now);
        let idle = backend.in_flight <= 0.0;
        let speedup = if idle { MAX_OPTIMISM * estimate.fleet_fraction * random.next_f64() } else { 0.0 };
        estimate.slowness * (1.0 - speedup)
    }

    /// Attempts that are taken to be at a backend. A report that is old, or that stops as the backend gets
    /// busy, is no sign of idleness.
    fn estimated_load(&self, backend: &Backend, now: f64) -> f64 {
        let freshness = (-(now - backend.load_reported_at) / self.longest.deadline_ms).exp();
        let fleet_queue = self.fleet.reported_queue();
        let queued = fleet_queue + (backend.queued - fleet_queue) * freshness;
        let by_share = backend.in_flight * self.backends.degree();
        by_share.max(backend.in_flight + queued) + BASE_CONCURRENCY
    }

    /// What an attempt costs there by its zone: 1 in the own.
    fn zone_cost(&self, backend: &Backend) -> f64 {
        let crosses_zone = f64::from(u8::from(backend.entry.zone != self.settings.zone));
        1.0 + crosses_zone * self.settings.cross_zone_cost
    }

    /// How far a backend is trusted to take the request; some come last.
    fn preference(&self, slot: usize, request: &Request, draw: &DrawContext) -> f64 {
        let backend = self.backends.get(slot);
        // An operator's weight: beyond its share of what others get, it comes last.
        let share = backend.entry.weight_share;
        let over_weight_share = share < 1.0 && self.backends.pushed(slot, draw.now) > share * draw.warm_push;
        let avoided =
            backend.ejected || self.recently_rejected(backend, request, draw.now) || over_weight_share;
        let preference = if avoided { AVOIDED_PREFERENCE } else { 1.0 };
        preference * (1.0 - backend.failure_rate.min(MAX_FAILURE_DISCOUNT))
    }

    /// Whether a backend rejected the request's plan and its class of late, as full. It may have room for
    /// others, which go on there.
    fn recently_rejected(&self, backend: &Backend, request: &Request, now: f64) -> bool {
        let avoid_ms = self.longest.deadline_ms * AVOID_AFTER_REJECTION_DEADLINES;
        let recently = |at: Option<&f64>| at.is_some_and(|at| now - at < avoid_ms);
        let indices = self.rejection_indices(request);
        !backend.rejected_at.is_empty()
            && indices.iter().all(|index| recently(backend.rejected_at.get(*index)))
    }

    /// Where a request's plan and class stand in [`Backend::rejected_at`]: the plans, one entry for plans
    /// that are not known, the classes.
    pub(super) fn rejection_indices(&self, request: &Request) -> [usize; 2] {
        let plans = self.settings.plans.len();
        [request.plan.min(plans), plans + 1 + request.class]
    }

    /// Expected finish at a backend of some slowness, as a multiple of an idle one's; 0 at an idle one.
    fn expected_finish(&self, backend: &Backend, slowness: f64) -> f64 {
        if backend.in_flight <= 0.0 {
            return 0.0;
        }
        let queueing = (slowness / self.fleet.baseline() - 1.0).max(0.0);
        1.0 + queueing * (backend.in_flight + 1.0) / (backend.mean_in_flight + 1.0)
    }
}
