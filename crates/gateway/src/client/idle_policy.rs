//! Idle timeouts of client connections, as a function of how many permits are taken. No I/O, no clock.
//!
//! The timeout falls continuously as more permits are taken. With a threshold, many connections would be
//! closed at once when it is crossed, and permits could run out below it. Connections that are reused are
//! kept longer than those used for a single command.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// How much a connection has been used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionUsage {
    /// No command yet.
    Unused,
    /// One command.
    UsedOnce,
    /// More than one command.
    Reused,
}

impl ConnectionUsage {
    /// All variants, in the order of their discriminants.
    pub const ALL: [ConnectionUsage; 3] =
        [ConnectionUsage::Unused, ConnectionUsage::UsedOnce, ConnectionUsage::Reused];

    /// Classifies a connection by the number of commands received on it.
    #[must_use]
    pub fn from_commands(commands: u64) -> ConnectionUsage {
        match commands {
            0 => ConnectionUsage::Unused,
            1 => ConnectionUsage::UsedOnce,
            _ => ConnectionUsage::Reused,
        }
    }

    /// Returns the longest idle timeout, which applies while no permit is taken.
    #[must_use]
    pub fn idle_max(self) -> Duration {
        match self {
            ConnectionUsage::Unused => Duration::from_millis(2_000),
            ConnectionUsage::UsedOnce | ConnectionUsage::Reused => Duration::from_secs(15),
        }
    }

    /// Returns the shortest idle timeout. A slow client must not be cut off before its first command, nor one
    /// whose next command is on its way: a command that crosses the close costs the client a new connection.
    fn idle_min(self) -> Duration {
        match self {
            ConnectionUsage::Unused | ConnectionUsage::UsedOnce => Duration::from_millis(100),
            ConnectionUsage::Reused => Duration::from_millis(2_050),
        }
    }

    /// Returns the power of the fraction of free permits to which the idle timeout is proportional.
    fn exponent(self) -> i32 {
        match self {
            ConnectionUsage::Unused | ConnectionUsage::UsedOnce => 6,
            ConnectionUsage::Reused => 3,
        }
    }

    /// Returns the idle timeout while `taken` of `total` permits are taken.
    ///
    /// Clients that use each connection once but keep it open may have a connection limit of their own, and
    /// would reach it long before permits run out here. In exchange, clients that return only after a long
    /// pause have to reconnect.
    #[must_use]
    pub fn idle_limit(self, taken: usize, total: usize) -> Duration {
        let free = total.saturating_sub(taken) as f64 / total.max(1) as f64;
        self.idle_max().mul_f64(free.powi(self.exponent())).max(self.idle_min())
    }
}
