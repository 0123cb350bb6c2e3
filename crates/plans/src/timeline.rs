//! A customer's limits over time, and the effect of a change of limits on token bucket levels.
//!
//! The state of a token bucket is its debt: the units missing to a full bucket. A change of limits keeps the
//! debt. The level therefore changes by the difference of the bursts at that instant, and two gateways that
//! read the same total compute the same level without further calls (`docs/design/plans.md` discusses the
//! alternatives).

/// Limits of a plan version. Units are those that requests are charged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanLimits {
    /// Refill of the quota's token bucket, units per second, 0 or more.
    pub rate: f64,
    /// Size of the quota's token bucket, units, 0 or more.
    pub burst: f64,
    /// Refill of the ceiling's token bucket, units per second; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Size of the ceiling's token bucket, units.
    pub ceiling_burst: f64,
}

/// An arrival curve: in a span of `t` s at most `burst + rate * t` units.
struct ArrivalCurve {
    rate: f64,
    burst: f64,
}

impl PlanLimits {
    /// Returns whether all limits are finite and not negative.
    pub(crate) fn is_valid(&self) -> bool {
        let numbers = [self.rate, self.burst, self.ceiling_rate, self.ceiling_burst];
        numbers.iter().all(|number| number.is_finite() && *number >= 0.0)
    }

    /// Returns the limit for reservations: the ceiling, or the quota if there is no ceiling.
    fn reservable(&self) -> ArrivalCurve {
        if self.ceiling_rate > 0.0 {
            ArrivalCurve { rate: self.ceiling_rate, burst: self.ceiling_burst }
        } else {
            ArrivalCurve { rate: self.rate, burst: self.burst }
        }
    }
}

/// Limits from an instant on.
#[derive(Clone, Debug, PartialEq)]
struct TimelineStep {
    /// Unix time in ms.
    from_ms: u64,
    limits: PlanLimits,
}

/// Limits that are in force for a duration.
struct TimelineSpan<'a> {
    duration_ms: f64,
    limits: &'a PlanLimits,
}

/// A customer's limits over time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanTimeline {
    /// At least one, ordered by time. The first one is also in force before its instant.
    steps: Vec<TimelineStep>,
}

impl PlanTimeline {
    /// Creates a timeline of limits that never change.
    #[must_use]
    pub fn always(limits: PlanLimits) -> PlanTimeline {
        PlanTimeline { steps: vec![TimelineStep { from_ms: 0, limits }] }
    }

    /// Adds a change of limits at an instant, Unix time in ms. It replaces another change at the same
    /// instant, so that a change and its reversal at one instant have no effect.
    #[must_use]
    pub fn then(mut self, from_ms: u64, limits: PlanLimits) -> PlanTimeline {
        let index = self.steps.partition_point(|step| step.from_ms < from_ms);
        match self.steps.get_mut(index) {
            Some(step) if step.from_ms == from_ms => step.limits = limits,
            _ => self.steps.insert(index, TimelineStep { from_ms, limits }),
        }
        self
    }

    /// Returns the limits in force at an instant, Unix time in ms.
    #[must_use]
    pub fn limits_at(&self, at_ms: u64) -> &PlanLimits {
        &self.steps[self.step_at(at_ms)].limits
    }

    fn step_at(&self, at_ms: u64) -> usize {
        self.steps.partition_point(|step| step.from_ms <= at_ms).saturating_sub(1)
    }

    /// Returns the first instant after `after_ms` at which the limits change, Unix time in ms.
    #[must_use]
    pub fn next_change(&self, after_ms: u64) -> Option<u64> {
        // The first step is in force before its instant too, so it is not a change.
        self.steps[1..].iter().map(|step| step.from_ms).find(|from_ms| *from_ms > after_ms)
    }

    /// Returns the limits in force between two instants, in order.
    fn spans(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = TimelineSpan<'_>> {
        let (first, last) = (self.step_at(from_ms), self.step_at(to_ms));
        (first..=last).map(move |i| {
            let begin_ms = if i == first { from_ms } else { self.steps[i].from_ms };
            let end_ms = if i == last { to_ms } else { self.steps[i + 1].from_ms };
            let duration_ms = end_ms.saturating_sub(begin_ms) as f64;
            TimelineSpan { duration_ms, limits: &self.steps[i].limits }
        })
    }

    /// Returns the units that the quota's rate refills between two instants, Unix time in ms; 0 if the second
    /// is not later.
    #[must_use]
    pub fn refill(&self, from_ms: u64, to_ms: u64) -> f64 {
        if to_ms <= from_ms {
            return 0.0;
        }
        self.spans(from_ms, to_ms).map(|span| span.limits.rate * span.duration_ms / 1000.0).sum()
    }

    /// Returns the level of the quota's token bucket at `now_ms` in a window that began at `window_ms`, both
    /// Unix time in ms. `total` is the sum, in units, of all charges since then and of all refill that
    /// exceeded the size of the bucket.
    ///
    /// The level may be below 0 after a plan was lowered; nothing is admitted until refill has made up for
    /// it.
    #[must_use]
    pub fn level(&self, total: f64, window_ms: u64, now_ms: u64) -> f64 {
        self.limits_at(now_ms).burst + self.refill(window_ms, now_ms) - total
    }

    /// Converts a level, units, at `from_ms` to the limits at `to_ms` with the same debt and without refill.
    /// Both times are Unix time in ms.
    #[must_use]
    pub fn carry_level(&self, level: f64, from_ms: u64, to_ms: u64) -> f64 {
        level + self.limits_at(to_ms).burst - self.limits_at(from_ms).burst
    }

    /// Returns the error of the level, units, at a gateway that still uses an older timeline `known`, at
    /// `now_ms` in a window that began at `window_ms`, both Unix time in ms. If it is above 0, that gateway
    /// may admit this many units too much.
    #[must_use]
    pub fn level_error(&self, known: &PlanTimeline, window_ms: u64, now_ms: u64) -> f64 {
        known.level(0.0, window_ms, now_ms) - self.level(0.0, window_ms, now_ms)
    }

    /// Returns the maximum number of units that may be reserved between two instants, Unix time in ms. Across
    /// a change of limits the smaller burst applies.
    #[must_use]
    pub fn max_reservable(&self, from_ms: u64, to_ms: u64) -> f64 {
        let (mut burst, mut refill) = (f64::MAX, 0.0);
        for span in self.spans(from_ms, to_ms.max(from_ms)) {
            let curve = span.limits.reservable();
            burst = burst.min(curve.burst);
            refill += curve.rate * span.duration_ms / 1000.0;
        }
        burst + refill
    }
}
