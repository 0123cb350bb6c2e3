//! Helpers for tests that run real processes.
#![allow(dead_code, unused_imports)]

pub mod cold_fleet;
pub mod fleet;
pub mod load;
pub mod process;
pub mod recorded;

use std::time::{Duration, Instant};

pub use self::fleet::{request_on, Fleet, Gateway};
pub use self::load::RunningLoad;
pub use self::process::{run_to_exit, CommandOutput, Process};

/// Timeout for expected events; generous, so that tests also pass on a slow machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Path of the built executable.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_gatewayctl");

/// Polls a condition until it holds; panics after [`TIMEOUT`].
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {condition}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns a loopback address derived from the process id, on which no other test process binds ports.
pub fn own_loopback() -> String {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    format!("127.{}.{middle}.{low}", 64 + (high & 63))
}
