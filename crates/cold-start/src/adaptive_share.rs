//! The fraction of its rounds that a gateway uses, adapted to the responses of the service.

/// Minimum share: gateways go on calling a service during an outage, however long it lasts. A service that
/// has less than this fraction of its stated capacity gets more calls than it can handle.
pub const MIN_SHARE: f64 = 1.0 / 16.0;
/// Added to the share by each response.
const ADDITIVE_INCREASE: f64 = 1.0 / 128.0;
/// Factor of the share after a fast response, which shows that the service has spare capacity.
const FAST_INCREASE_FACTOR: f64 = 2.0;
/// Factor of the share after a rejection, a timeout or a response that was queued for too long.
const DECREASE_FACTOR: f64 = 0.5;
/// A response that was queued for less than this, ms, is fast.
const FAST_RESPONSE_MS: f64 = 100.0;
/// A response that was queued for longer than this, ms, counts as a rejection.
const QUEUED_RESPONSE_MS: f64 = 1_000.0;

/// Fraction of its rounds that a gateway uses, from [`MIN_SHARE`] to 1.
///
/// Additive increase and multiplicative decrease converge on the service's capacity and on equal shares,
/// without communication between the gateways (Chiu and Jain, 1989). Where a response time is known, it
/// changes the share faster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveShare {
    fraction: f64,
    /// Minimum response time so far, ms: an estimate of the network's latency.
    min_response_ms: Option<f64>,
    consecutive_rejections: u32,
}

impl Default for AdaptiveShare {
    fn default() -> Self {
        AdaptiveShare { fraction: 1.0, min_response_ms: None, consecutive_rejections: 0 }
    }
}

impl AdaptiveShare {
    /// Returns a share that starts at `fraction`, limited to the range from [`MIN_SHARE`] to 1.
    #[must_use]
    pub fn starting_at(fraction: f64) -> AdaptiveShare {
        AdaptiveShare { fraction: fraction.clamp(MIN_SHARE, 1.0), ..AdaptiveShare::default() }
    }

    /// Returns the current share.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Records a response. `response_ms` is the response time, ms, of a call that was to be answered
    /// immediately, and `None` for other calls.
    pub fn record_response(&mut self, response_ms: Option<f64>) {
        self.consecutive_rejections = 0;
        let Some(response_ms) = response_ms else {
            self.fraction = (self.fraction + ADDITIVE_INCREASE).min(1.0);
            return;
        };
        // The first response alone does not separate network latency from queueing, so all of its time counts
        // as queueing.
        let network_ms = self.min_response_ms.map_or(0.0, |min_ms| min_ms.min(response_ms));
        self.min_response_ms =
            Some(self.min_response_ms.map_or(response_ms, |min_ms| min_ms.min(response_ms)));
        let queued_ms = response_ms - network_ms;
        if queued_ms < FAST_RESPONSE_MS {
            self.fraction = (self.fraction * FAST_INCREASE_FACTOR + ADDITIVE_INCREASE).min(1.0);
        } else if queued_ms > QUEUED_RESPONSE_MS {
            self.decrease();
        }
    }

    /// Records a call that was rejected or timed out.
    ///
    /// The first of consecutive rejections does not change the share of a gateway whose list is not
    /// confirmed: an outage of less than a round rejects every gateway once.
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
