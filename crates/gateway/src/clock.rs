//! The gateway's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A monotonic clock that counts Unix time in milliseconds. Unix time lets all gateways derive the same
/// counter windows, and can be compared with the start times of backends that discovery reports.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_ms: f64,
    origin: Instant,
}

impl Clock {
    /// Starts a clock. This is the only time that the wall clock is read.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_ms: unix.as_secs_f64() * 1000.0, origin: Instant::now() }
    }

    /// Returns the current Unix time, ms.
    pub fn now_ms(self) -> f64 {
        self.unix_ms + self.origin.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts Unix time in ms to an [`Instant`], clamped to between the start of the clock and one day from
    /// now.
    pub fn instant(self, at_ms: f64) -> Instant {
        let from_origin = (at_ms - self.unix_ms) / 1000.0;
        let latest = self.origin.elapsed().as_secs_f64() + 86_400.0;
        self.origin + Duration::from_secs_f64(from_origin.clamp(0.0, latest))
    }
}
