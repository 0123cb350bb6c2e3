//! The gateway's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Unix time in milliseconds that never runs backwards: all gateways name the same windows, and the
/// starts of backends that discovery tells can be compared with it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_ms: f64,
    origin: Instant,
}

impl Clock {
    /// Reads the wall clock, this once.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_ms: unix.as_secs_f64() * 1000.0, origin: Instant::now() }
    }

    /// Unix time now, ms.
    pub fn now_ms(self) -> f64 {
        self.unix_ms + self.origin.elapsed().as_secs_f64() * 1000.0
    }

    /// The moment of a time, at most a day from the start of a wait for it.
    pub fn instant(self, at_ms: f64) -> Instant {
        let from_origin = (at_ms - self.unix_ms) / 1000.0;
        let most = self.origin.elapsed().as_secs_f64() + 86_400.0;
        self.origin + Duration::from_secs_f64(from_origin.clamp(0.0, most))
    }
}
