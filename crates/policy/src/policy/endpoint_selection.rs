//! Which backend takes a request: the one of least expected finish among a few that are drawn.

use routing::Scope;

use super::backend::Backend;
use super::fleet_load::PRIOR_REQUESTS;
use super::random::Random;
use super::request::OpenRequest;
use super::Policy;
use crate::interface::{DeduplicationScope, Idempotency, Request};

/// Part of a group that may be ejected; beyond it the estimate is wrong or the trouble is shared.
const MOST_EJECTED_FRACTION: f64 = 0.5;
/// Longest deadlines for which a backend that turned a plan and class away as full comes last for it.
const AVOIDED_FOR_DEADLINES: f64 = 4.0;
/// Scatter of scores, lest gateways that know the same all choose the same.
const SCORE_NOISE: f64 = 0.1;
/// Part by which a backend of which nothing is known may be taken for faster than the fleet.
const UNKNOWN_MAY_BE_FASTER: f64 = 0.5;
/// Attempts that a backend of a few cores serves at once with little slowing.
const SERVED_AT_ONCE: f64 = 6.0;
/// What a backend that is to come last counts for, against one that is not.
const AVOIDED_TRUST: f64 = 0.2;
/// The most of its failures that counts against a backend.
const MOST_DISTRUST: f64 = 0.9;

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
struct Draw {
    now: f64,
    /// Expected latency of the request on an idle backend, ms.
    work_ms: f64,
    /// Work that was sent lately to each warm backend of the subset.
    warm_push: f64,
    /// Backends that were drawn.
    drawn: usize,
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
    First,
}

impl Policy {
    /// The backend of least expected finish for a further attempt of a request.
    pub(super) fn select_backend(&mut self, now: f64, id: u64) -> Option<Selection> {
        self.backends.advance(now);
        let mut random = self.random;
        let mut drawn = std::mem::take(&mut self.drawn);
        drawn.clear();
        let open = self.requests.get(&id);
        let best = open.and_then(|open| self.best_candidate(now, open, &mut random, &mut drawn));
        self.random = random;
        self.drawn = drawn;
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
        let warm_push = self.backends.mean_warm_work(now);
        let mut best: Option<Candidate> = None;
        for group in self.groups_to_draw_from(open) {
            let begin = drawn.len();
            self.backends.draw(group, ignore_ejection, &mut || random.fraction(), drawn);
            let drawn = &drawn[begin..];
            let counts = self.backends.counts(group);
            let partial = drawn.len() < counts.ready - counts.ejected;
            let draw = Draw { now, work_ms, warm_push, drawn: drawn.len(), partial };
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
        counts.ejected as f64 > counts.ready as f64 * MOST_EJECTED_FRACTION
    }

    /// Where candidates are drawn from, one group after another. A repeat of a keyed request stays where
    /// its first attempt may have run. A subset that is mostly ejected would push over what is left of it,
    /// so work spills over to the whole fleet. Ejections are passed over only where most of the fleet has
    /// them: one gateway's view of its subset is no view of the fleet.
    fn groups_to_draw_from(&self, open: &OpenRequest) -> [Scope; 3] {
        let class = &self.settings.classes[open.request.class];
        let ran = open.possibly_run().next().filter(|_| class.idempotency == Idempotency::Keyed);
        match (ran, class.deduplication_scope) {
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
        draw: &Draw,
        random: &mut Random,
    ) -> Option<Candidate> {
        let noise = 1.0 + SCORE_NOISE * random.fraction();
        let backend = self.backends.get(slot);
        if !self.may_attempt(open, backend, draw.now) {
            return None;
        }
        let warmth = backend.warmth(draw.now, &self.settings);
        let eligibility = self.eligibility_while_warming_up(slot, warmth, draw, random);
        if eligibility == Eligibility::Excluded {
            return None;
        }
        let slowness = self.likely_slowness(backend, draw.now, random) / warmth;
        let load = self.load_of(backend, draw.now);
        let zone_cost = self.zone_cost(backend);
        let trust = self.trust_in(slot, &open.request, draw);
        let score = match eligibility {
            Eligibility::First => 0.0,
            _ => slowness * load * noise * zone_cost / trust,
        };
        let selection = Selection { slot, slowness: self.finish_slowness(backend, slowness) };
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
        warmth: f64,
        draw: &Draw,
        random: &mut Random,
    ) -> Eligibility {
        if warmth >= 1.0 {
            return Eligibility::ByScore;
        }
        let sharing = self.backends.degree() * self.processes;
        let budget_ms = self.warm_up_budget_ms(warmth, sharing, draw.warm_push + draw.work_ms);
        let pushed_ms = self.backends.recent_work(slot, draw.now);
        let under_a_request = budget_ms < draw.work_ms;
        let within = pushed_ms + draw.work_ms <= budget_ms;
        let overlooked = draw.partial || self.backends.get(slot).returned_from_ban();
        let lucky =
            (under_a_request || overlooked && within) && random.fraction() * draw.drawn as f64 <= warmth;
        // Gateways of whose subset it is none would each have a part of their own.
        let allowed = self.backends.is_in_subset(slot) && (within || under_a_request && lucky);
        match (allowed, lucky) {
            (false, _) => Eligibility::Excluded,
            (true, false) => Eligibility::ByScore,
            (true, true) => Eligibility::First,
        }
    }

    /// Work that this gateway may send lately to a backend of some warmth, ms: the warm part of what warm
    /// ones get of it, or of its part of one core's work. All gateways together would else overload it.
    fn warm_up_budget_ms(&self, warmth: f64, gateways: f64, warm_push: f64) -> f64 {
        let slow_start = &self.settings.slow_start;
        let core_ms = slow_start.overload_multiple * slow_start.overload_window_ms / gateways;
        warmth * core_ms.max(warm_push)
    }

    /// Slowness of a backend, by its own answers and, as they age, by the fleet's.
    pub(super) fn slowness(&self, backend: &Backend, now: f64) -> f64 {
        self.estimate_slowness(backend, now).slowness
    }

    fn estimate_slowness(&self, backend: &Backend, now: f64) -> SlownessEstimate {
        let age_ms = now - backend.latency_at;
        let keep = (-age_ms / (2.0 * self.longest.deadline_ms)).exp().max(f64::EPSILON);
        let prior = self.fleet.mean_work_ms() * PRIOR_REQUESTS / keep;
        SlownessEstimate {
            slowness: backend.latency.with_prior(self.fleet.slowness(), prior),
            fleet_fraction: prior / (backend.latency.expected + prior),
        }
    }

    /// The slowness that an idle backend may have by chance, the less is known of it. Backends never tried,
    /// or slow once, would get nothing while one of those drawn with them has always answered well.
    fn likely_slowness(&self, backend: &Backend, now: f64, random: &mut Random) -> f64 {
        let estimate = self.estimate_slowness(backend, now);
        let idle = backend.in_flight <= 0.0;
        let faster =
            if idle { UNKNOWN_MAY_BE_FASTER * estimate.fleet_fraction * random.fraction() } else { 0.0 };
        estimate.slowness * (1.0 - faster)
    }

    /// Attempts that are taken to be at a backend. A report that is old, or that stops as the backend gets
    /// busy, is no sign of idleness.
    fn load_of(&self, backend: &Backend, now: f64) -> f64 {
        let freshness = (-(now - backend.reported_at) / self.longest.deadline_ms).exp();
        let usual = self.fleet.reported_queue();
        let waiting = usual + (backend.waiting - usual) * freshness;
        let by_share = backend.in_flight * self.backends.degree();
        by_share.max(backend.in_flight + waiting) + SERVED_AT_ONCE
    }

    /// What an attempt costs there by its zone: 1 in the own.
    fn zone_cost(&self, backend: &Backend) -> f64 {
        let crosses = f64::from(u8::from(backend.entry.zone != self.settings.zone));
        1.0 + crosses * self.settings.cross_zone_cost
    }

    /// How far a backend is trusted to take the request; some come last.
    fn trust_in(&self, slot: usize, request: &Request, draw: &Draw) -> f64 {
        let backend = self.backends.get(slot);
        // An operator's weight: beyond its share of what others get, it comes last.
        let share = backend.entry.weight_share;
        let sated = share < 1.0 && self.backends.recent_work(slot, draw.now) > share * draw.warm_push;
        let avoided = backend.ejected || self.rejected_of_late(backend, request, draw.now) || sated;
        let trust = if avoided { AVOIDED_TRUST } else { 1.0 };
        trust * (1.0 - backend.failures.min(MOST_DISTRUST))
    }

    /// Whether a backend rejected the request's plan and its class of late, as full. It may have room for
    /// others, which go on there.
    fn rejected_of_late(&self, backend: &Backend, request: &Request, now: f64) -> bool {
        let avoid_ms = self.longest.deadline_ms * AVOIDED_FOR_DEADLINES;
        let of_late = |at: Option<&f64>| at.is_some_and(|at| now - at < avoid_ms);
        let indices = self.rejection_indices(request);
        !backend.rejected_at.is_empty()
            && indices.iter().all(|index| of_late(backend.rejected_at.get(*index)))
    }

    /// Where a request's plan and class stand in [`Backend::rejected_at`]: the plans, one entry for plans
    /// that are not known, the classes.
    pub(super) fn rejection_indices(&self, request: &Request) -> [usize; 2] {
        let plans = self.settings.plans.len();
        [request.plan.min(plans), plans + 1 + request.class]
    }

    /// Expected finish at a backend of some slowness, as a multiple of an idle one's; 0 at an idle one.
    fn finish_slowness(&self, backend: &Backend, slowness: f64) -> f64 {
        if backend.in_flight <= 0.0 {
            return 0.0;
        }
        let queueing = (slowness / self.fleet.baseline() - 1.0).max(0.0);
        1.0 + queueing * (backend.in_flight + 1.0) / (backend.usual_in_flight + 1.0)
    }
}
