//! Records and arithmetic that the decisions of `src/policy` use; nothing is decided here.

use routing::{Facts, Filed, Listing};

use crate::interface::{BackendEndpoint, EndpointState, Outcome, Request};

/// A decayed sum of observed over expected.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ratio {
    pub(crate) seen: f64,
    pub(crate) expected: f64,
}

impl Ratio {
    pub(crate) fn add(&mut self, seen: f64, expected: f64, keep: f64) {
        self.seen = self.seen * keep + seen;
        self.expected = self.expected * keep + expected;
    }

    pub(crate) fn with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.seen + prior * weight) / (self.expected + weight)
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    pub(crate) request: Request,
    /// Attempts that it may have.
    pub(crate) most: u32,
    pub(crate) charge: f64,
    /// What was told beside the charge for others that were not, or below 0, what was not told of it.
    pub(crate) beside: f64,
    pub(crate) counting: bool,
    pub(crate) streaming: bool,
    pub(crate) done: bool,
    pub(crate) attempts: Vec<Attempt>,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: u32,
    pub(crate) cell: u32,
    pub(crate) zone: u32,
    pub(crate) sent: f64,
    /// Time after which an answer is overdue.
    pub(crate) patience: f64,
    pub(crate) out_then: (f64, f64),
    pub(crate) pending: bool,
    pub(crate) overdue: bool,
    pub(crate) may_have_run: bool,
}

impl Attempt {
    pub(crate) fn new(to: &BackendEndpoint, sent: f64, patience: f64, out_then: (f64, f64)) -> Self {
        let (backend, cell, zone) = (to.id, to.cell, to.zone);
        let (pending, overdue, may_have_run) = (true, false, true);
        Attempt { backend, cell, zone, sent, patience, out_then, pending, overdue, may_have_run }
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct End {
    pub(crate) id: u64,
    pub(crate) attempt: u32,
    pub(crate) outcome: Outcome,
    pub(crate) latency: f64,
    pub(crate) charged: Option<f64>,
    pub(crate) metered: Option<f64>,
}

#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: u64,
    pub(crate) customer: u64,
    pub(crate) window: u64,
    /// What it tells: charges, and refill that was lost at the brim.
    pub(crate) charge: f64,
    pub(crate) lost: f64,
    /// Charges that it stands for, of requests for which no call was made.
    pub(crate) beside: f64,
    pub(crate) made: f64,
}

/// What all of this gateway's answers tell of the fleet.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) latency: Ratio,
    /// The same over a few answers only.
    pub(crate) lately: Ratio,
    pub(crate) at: f64,
    /// How many were served.
    pub(crate) answers: f64,
    /// Attempts out that are not overdue, and the sum of their starts.
    pub(crate) waiting: (f64, f64),
    /// Their usual time, when answers came.
    pub(crate) open_mean: f64,
    /// Part of the late requests that found no room.
    pub(crate) refused: f64,
    /// Requests waiting at a backend by all reports.
    pub(crate) queue: f64,
    /// Least slowness of late.
    pub(crate) calm: f64,
    /// Expected latency of a mean request on an idle backend.
    pub(crate) mean_work: f64,
    /// Own attempts out, and their mean when those that make up `latency` were sent.
    pub(crate) out: f64,
    pub(crate) out_mean: f64,
    /// Slowness that the class with the tightest aim can bear.
    pub(crate) bearable: f64,
}

impl Fleet {
    pub(crate) fn waits(&mut self, sent: f64, count: f64) {
        self.waiting = (self.waiting.0 + count, self.waiting.1 + sent * count);
    }

    /// Time spent so far by the attempts that are out and not overdue.
    pub(crate) fn open(&self, now: f64) -> f64 {
        self.waiting.0 * now - self.waiting.1
    }

    pub(crate) fn slowness(&self) -> f64 {
        self.latency.with_prior(1.0, self.mean_work)
    }
}

/// A backend as this gateway knows it.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) entry: BackendEndpoint,
    /// Last start that was told, or re-entry after silence.
    pub(crate) started: f64,
    /// It is warm after this time from then.
    pub(crate) warm_up: f64,
    pub(crate) out: f64,
    pub(crate) latency: Ratio,
    pub(crate) judged: f64,
    /// Own attempts out when those that make up `latency` were sent.
    pub(crate) out_mean: f64,
    pub(crate) failures: f64,
    pub(crate) heard: f64,
    pub(crate) ejected: bool,
    pub(crate) pause: f64,
    pub(crate) trial_at: f64,
    /// Requests waiting there by its last report, and when that came.
    pub(crate) waiting: f64,
    pub(crate) reported: f64,
    /// When it last turned away each plan, then each class, as full.
    pub(crate) full: Vec<f64>,
}

impl Filed for Backend {
    fn facts(&self) -> Facts {
        let BackendEndpoint { id, key, zone, cell, kind, weight_share: share, .. } = self.entry;
        let listing = match self.entry.state {
            EndpointState::Ready => Listing::Ready,
            EndpointState::Draining => Listing::Draining,
            EndpointState::Removed => Listing::Gone,
        };
        // One that started long ago, or says nothing, is warm.
        let warm_from = if self.started > 0.0 { self.started + self.warm_up } else { 0.0 };
        Facts { id, key, zone, cell, kind, listing, ejected: self.ejected, warm_from, share }
    }
}

/// A backend that a request may be sent to.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) place: usize,
    /// The request was there before.
    pub(crate) tried: bool,
    /// Less is better.
    pub(crate) score: f64,
    /// Expected finish, as a multiple of an idle backend's.
    pub(crate) slow: f64,
}

impl Choice {
    /// Whether this one is to be taken before another. Never the same backend while another is there.
    pub(crate) fn before(&self, other: &Choice) -> bool {
        (self.tried, self.score) < (other.tried, other.score)
    }
}

pub(crate) fn part(x: u64) -> f64 {
    (x >> 11) as f64 / (1u64 << 53) as f64
}

/// Seeded chance: the next number in [0, 1).
pub(crate) fn roll(dice: &mut u64) -> f64 {
    *dice = dice.wrapping_add(1);
    part(mix(*dice))
}

pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
