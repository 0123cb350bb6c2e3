//! A customer's terms over time, and what a change of them does to what was counted.
//!
//! What was counted stays counted: the state of a store is its debt, the units that it lacks of full, and a
//! change touches no debt. So a level moves by the difference of the bursts at the instant of the change,
//! and two gateways that read one total read one level, with no call of their own (`docs/design/plans.md`
//! has the rules that were not taken).

/// What a plan's version grants. Rates are units a second; units are those that requests are charged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanLimits {
    /// Units that fill the store each second, 0 or more.
    pub rate: f64,
    /// Units that the store holds, 0 or more.
    pub burst: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Units that the ceiling's store holds.
    pub ceiling_burst: f64,
}

impl PlanLimits {
    /// The bounds that a reservation may not pass: the ceiling's, or the quota's where there is no ceiling.
    fn most(&self) -> (f64, f64) {
        if self.ceiling_rate > 0.0 {
            (self.ceiling_rate, self.ceiling_burst)
        } else {
            (self.rate, self.burst)
        }
    }
}

/// Terms from their instants on, in order. There is at least one, in force since ever.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanTimeline {
    /// The first is in force before its instant too.
    steps: Vec<(u64, PlanLimits)>,
}

impl PlanTimeline {
    /// Terms that never change.
    #[must_use]
    pub fn always(terms: PlanLimits) -> PlanTimeline {
        PlanTimeline { steps: vec![(0, terms)] }
    }

    /// Adds terms from an instant (Unix ms) on. Of two for one instant the later call wins, so that a
    /// change and its change back in one instant are no change.
    #[must_use]
    pub fn then(mut self, from_ms: u64, terms: PlanLimits) -> PlanTimeline {
        let place = self.steps.partition_point(|(at, _)| *at < from_ms);
        match self.steps.get_mut(place).filter(|(at, _)| *at == from_ms) {
            Some(step) => step.1 = terms,
            None => self.steps.insert(place, (from_ms, terms)),
        }
        self
    }

    /// The terms in force at an instant.
    #[must_use]
    pub fn at(&self, ms: u64) -> &PlanLimits {
        &self.steps[self.place(ms)].1
    }

    fn place(&self, ms: u64) -> usize {
        self.steps.partition_point(|(from, _)| *from <= ms).saturating_sub(1)
    }

    /// The next instant after this one at which terms change.
    #[must_use]
    pub fn next_change(&self, after_ms: u64) -> Option<u64> {
        // The first one is in force before its instant.
        self.steps[1..].iter().map(|(from, _)| *from).find(|from| *from > after_ms)
    }

    /// The terms between two instants, each with the ms for which they are in force.
    fn between(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = (f64, &PlanLimits)> {
        let (first, last) = (self.place(from_ms), self.place(to_ms));
        (first..=last).map(move |i| {
            let begins = if i == first { from_ms } else { self.steps[i].0 };
            let ends = if i == last { to_ms } else { self.steps[i + 1].0 };
            (ends.saturating_sub(begins) as f64, &self.steps[i].1)
        })
    }

    /// Units that the rates give between two instants (Unix ms); 0 if the second is not later.
    #[must_use]
    pub fn refill(&self, from_ms: u64, to_ms: u64) -> f64 {
        if to_ms <= from_ms {
            return 0.0;
        }
        self.between(from_ms, to_ms).map(|(ms, terms)| terms.rate * ms / 1000.0).sum()
    }

    /// The level of a store at `now_ms` by a total that holds, since its window began, all charges and all
    /// refill that was lost. It may be below 0 after a plan was lowered: nothing passes until that is made
    /// good.
    #[must_use]
    pub fn level(&self, total: f64, window_ms: u64, now_ms: u64) -> f64 {
        self.at(now_ms).burst + self.refill(window_ms, now_ms) - total
    }

    /// What a level at one instant is by the terms at a later one, before refill: the debt is the same.
    #[must_use]
    pub fn carried(&self, level: f64, from_ms: u64, to_ms: u64) -> f64 {
        level + self.at(to_ms).burst - self.at(from_ms).burst
    }

    /// How many units a level can be off at a gateway that goes by `heard`, an older timeline, at `now_ms`,
    /// in a window that began then: too much (above 0: it may pass that many beyond) or too little.
    #[must_use]
    pub fn error_of(&self, heard: &PlanTimeline, window_ms: u64, now_ms: u64) -> f64 {
        heard.level(0.0, window_ms, now_ms) - self.level(0.0, window_ms, now_ms)
    }

    /// The most units that may be sent on between two instants, so many ms apart: what reservations for that
    /// time have to stay within. Across a change the lesser burst counts.
    #[must_use]
    pub fn most_between(&self, from_ms: u64, to_ms: u64) -> f64 {
        let to_ms = to_ms.max(from_ms);
        let (mut burst, mut refill) = (f64::MAX, 0.0);
        for (ms, terms) in self.between(from_ms, to_ms) {
            let (rate, most) = terms.most();
            (burst, refill) = (burst.min(most), refill + rate * ms / 1000.0);
        }
        burst + refill
    }
}
