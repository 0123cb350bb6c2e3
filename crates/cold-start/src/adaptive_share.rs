//! The part of its rounds that a gateway uses, by what the service does.

/// The least share: a fleet goes on asking, however long a service was away. A service with less than this
/// part of its stated capacity is called more than it can take.
pub const MIN_SHARE: f64 = 1.0 / 16.0;
/// What a response adds, as a part of the whole.
const ADDITIVE_INCREASE: f64 = 1.0 / 128.0;
/// Factor of the share after a response that came at once: the service has capacity left.
const FAST_INCREASE_FACTOR: f64 = 2.0;
/// Factor of the share after a call that was too much.
const DECREASE_FACTOR: f64 = 0.5;
/// A response that was queued for less than this, ms, came at once.
const FAST_RESPONSE_MS: f64 = 100.0;
/// A response that was queued for longer than this, ms, counts as a rejection.
const QUEUED_RESPONSE_MS: f64 = 1_000.0;

/// The part of its rounds that a gateway uses, from [`MIN_SHARE`] to 1.
///
/// Additive increase and multiplicative decrease settle at the service's capacity, evenly among gateways that
/// do not know of each other (Chiu and Jain, 1989). Where a response time tells more, the share follows
/// sooner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveShare {
    fraction: f64,
    /// The least response time, ms: what the network takes.
    min_response_ms: Option<f64>,
    consecutive_rejections: u32,
}

impl Default for AdaptiveShare {
    fn default() -> Self {
        AdaptiveShare { fraction: 1.0, min_response_ms: None, consecutive_rejections: 0 }
    }
}

impl AdaptiveShare {
    /// A share that begins with a fraction of [`MIN_SHARE`] to 1.
    #[must_use]
    pub fn starting_at(fraction: f64) -> AdaptiveShare {
        AdaptiveShare { fraction: fraction.clamp(MIN_SHARE, 1.0), ..AdaptiveShare::default() }
    }

    /// The share now.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Records a response, and the response time, ms, of a call that was to be answered at once.
    pub fn record_response(&mut self, response_ms: Option<f64>) {
        self.consecutive_rejections = 0;
        let Some(response_ms) = response_ms else {
            self.fraction = (self.fraction + ADDITIVE_INCREASE).min(1.0);
            return;
        };
        // The first response tells nothing of the network yet.
        let network_ms = self.min_response_ms.map_or(0.0, |least| least.min(response_ms));
        self.min_response_ms = Some(self.min_response_ms.map_or(response_ms, |least| least.min(response_ms)));
        let queued_ms = response_ms - network_ms;
        if queued_ms < FAST_RESPONSE_MS {
            self.fraction = (self.fraction * FAST_INCREASE_FACTOR + ADDITIVE_INCREASE).min(1.0);
        } else if queued_ms > QUEUED_RESPONSE_MS {
            self.decrease();
        }
    }

    /// Records a call that was rejected or timed out.
    ///
    /// The first in a row changes nothing for a gateway that has no list confirmed yet: a service that was
    /// away for less than a round rejects every gateway once.
    pub fn record_rejection(&mut self, list_confirmed: bool) {
        self.consecutive_rejections = self.consecutive_rejections.saturating_add(1);
        if list_confirmed || self.consecutive_rejections > 1 {
            self.decrease();
        }
    }

    fn decrease(&mut self) {
        self.fraction = (self.fraction * DECREASE_FACTOR).max(MIN_SHARE);
    }
}
