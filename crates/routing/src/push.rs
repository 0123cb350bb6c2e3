//! Work that was pushed to backends lately, as sums that fade with time.

/// Work that fades to 1/e in a window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FadingWork {
    work: f64,
    /// When it was that much, ms.
    at: f64,
}

impl FadingWork {
    pub(crate) fn none(now: f64) -> FadingWork {
        FadingWork { work: 0.0, at: now }
    }

    pub(crate) fn now(&self, now: f64, window_ms: f64) -> f64 {
        self.work * (-(now - self.at) / window_ms).exp()
    }

    pub(crate) fn add(&mut self, now: f64, window_ms: f64, work: f64) {
        self.work = self.now(now, window_ms) + work;
        self.at = now;
    }
}

/// Work pushed lately to the warm backends of the subset.
#[derive(Debug, Default)]
pub(crate) struct WarmPush {
    sum: FadingWork,
    /// Sum of their shares of new work.
    shares: f64,
    backends: usize,
}

/// What one backend adds to the sums.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contribution {
    pub(crate) pushed: f64,
    pub(crate) share: f64,
}

impl WarmPush {
    /// Work pushed to a backend with a share of 1, on the mean; 0 without any.
    pub(crate) fn mean(&self, now: f64, window_ms: f64) -> f64 {
        if self.backends > 0 {
            self.sum.now(now, window_ms).max(0.0) / self.shares
        } else {
            0.0
        }
    }

    /// Adds work that is pushed to one of the backends.
    pub(crate) fn push(&mut self, now: f64, window_ms: f64, work: f64) {
        self.sum.add(now, window_ms, work);
    }

    pub(crate) fn add_backend(&mut self, now: f64, window_ms: f64, one: Contribution) {
        self.backends += 1;
        self.add_signed(now, window_ms, 1.0, one);
    }

    pub(crate) fn remove_backend(&mut self, now: f64, window_ms: f64, one: Contribution) {
        self.backends -= 1;
        self.add_signed(now, window_ms, -1.0, one);
        // What rounding left goes with the last.
        if self.backends == 0 {
            self.sum = FadingWork::none(now);
            self.shares = 0.0;
        }
    }

    fn add_signed(&mut self, now: f64, window_ms: f64, sign: f64, one: Contribution) {
        self.sum.add(now, window_ms, sign * one.pushed);
        self.shares += sign * one.share;
    }
}
