//! How long a client's connection is kept on which nothing is open. No I/O, no clock.
//!
//! The more permits are taken, the shorter: a continuous law, so that there is no threshold at which many are
//! closed at once, and none under which permits run out unseen. Clients that come back keep theirs for longer
//! than those that asked once and stayed.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// What a connection has been used for so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usage {
    /// Not a command yet.
    Silent,
    /// One command.
    Once,
    /// More than one.
    Steady,
}

impl Usage {
    /// All, in the order of their numbers.
    pub const ALL: [Usage; 3] = [Usage::Silent, Usage::Once, Usage::Steady];

    /// Of a connection on which so many commands came.
    #[must_use]
    pub fn of(commands: u64) -> Usage {
        match commands {
            0 => Usage::Silent,
            1 => Usage::Once,
            _ => Usage::Steady,
        }
    }

    /// The longest that it is kept, while hardly a permit is taken.
    #[must_use]
    pub fn idle_max(self) -> Duration {
        match self {
            Usage::Silent => Duration::from_millis(2_000),
            Usage::Once | Usage::Steady => Duration::from_secs(15),
        }
    }

    /// The shortest. A slow client must not be cut off before its first command, nor one whose next is on its
    /// way: what crosses the end of a connection costs it a new one.
    fn idle_min(self) -> Duration {
        match self {
            Usage::Silent | Usage::Once => Duration::from_millis(100),
            Usage::Steady => Duration::from_millis(2_050),
        }
    }

    /// How steeply the time falls with the permits that are taken.
    fn steepness(self) -> i32 {
        match self {
            Usage::Silent | Usage::Once => 6,
            Usage::Steady => 3,
        }
    }

    /// How long it is kept while so many of all permits are taken.
    ///
    /// Clients that ask once on each connection and keep it may hold only so many themselves: their next
    /// requests would find none, long before permits here run out. The price: clients that come back seldom
    /// open theirs anew.
    #[must_use]
    pub fn idle_limit(self, taken: usize, total: usize) -> Duration {
        let free = total.saturating_sub(taken) as f64 / total.max(1) as f64;
        self.idle_max().mul_f64(free.powi(self.steepness())).max(self.idle_min())
    }
}
