//! The part of its rounds that a gateway takes, by what the service does.

/// The least part. Danger: a service that was away for long, and a fleet that asks no more. Harm: a service
/// that bears less than this part of what operators say is called more than it bears.
pub const MIN_SHARE: f64 = 1.0 / 16.0;
/// What an answer adds, of the whole.
const RISE: f64 = 1.0 / 128.0;
/// What one that came at once leaves, of the part: the service has room.
const QUICK: f64 = 2.0;
/// What is left after a call that was too much.
const FALL: f64 = 0.5;
/// An answer that took so long, ms, came at once, and one that took longer than this stood in a queue.
const QUEUE_MS: (f64, f64) = (100.0, 1_000.0);

/// The part of its rounds that a gateway takes, from [`MIN_SHARE`] to 1. Additive rise and multiplicative
/// fall come to rest at what is borne, evenly, without anybody's being told (Chiu and Jain, 1989); where an
/// answer's time tells more, the part follows sooner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveShare {
    fraction: f64,
    /// The least time that an answer took, ms: what the way there and back takes.
    least_ms: Option<f64>,
    /// Calls in a row that were too much.
    record_rejection: u32,
}

impl Default for AdaptiveShare {
    fn default() -> Self {
        AdaptiveShare { fraction: 1.0, least_ms: None, record_rejection: 0 }
    }
}

impl AdaptiveShare {
    /// One that begins with a part, [`MIN_SHARE`] to 1.
    #[must_use]
    pub fn starting_at(part: f64) -> AdaptiveShare {
        AdaptiveShare { fraction: part.clamp(MIN_SHARE, 1.0), ..AdaptiveShare::default() }
    }

    /// The part now.
    #[must_use]
    pub fn part(&self) -> f64 {
        self.fraction
    }

    /// A call was answered, so long after it was made, ms, where it was to be answered at once.
    pub fn record_response(&mut self, took_ms: Option<f64>) {
        self.record_rejection = 0;
        let Some(took_ms) = took_ms else {
            self.fraction = (self.fraction + RISE).min(1.0);
            return;
        };
        let least = self.least_ms.map_or(0.0, |least| least.min(took_ms));
        self.least_ms = Some(self.least_ms.map_or(took_ms, |least| least.min(took_ms)));
        let stood = took_ms - least;
        if stood < QUEUE_MS.0 {
            self.fraction = (self.fraction * QUICK + RISE).min(1.0);
        } else if stood > QUEUE_MS.1 {
            self.fall();
        }
    }

    /// A call was turned away, or not answered in time. The first in a row changes nothing for one that was
    /// never told: a service that was away for less than a round turns everybody away once.
    pub fn refused(&mut self, told: bool) {
        self.record_rejection = self.record_rejection.saturating_add(1);
        if told || self.record_rejection > 1 {
            self.fall();
        }
    }

    fn fall(&mut self) {
        self.fraction = (self.fraction * FALL).max(MIN_SHARE);
    }
}
