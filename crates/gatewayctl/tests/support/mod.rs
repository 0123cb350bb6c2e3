//! Helpers of the tests with real processes.
#![allow(dead_code, unused_imports)]

pub mod cold_fleet;
pub mod fleet;
pub mod load;
pub mod process;
pub mod recorded;

use std::time::{Duration, Instant};

pub use self::fleet::{ask_on, Fleet, Gateway};
pub use self::load::RunningLoad;
pub use self::process::{ended, Process, Ran};

/// How long anything that must come may take; long, so that a slow machine gives the same verdict.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// The built program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_gatewayctl");

/// Waits until something holds; a test fails without it.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A loopback address that no other process of this machine uses, so that its ports are free.
pub fn own_loopback() -> String {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    format!("127.{}.{middle}.{low}", 64 + (high & 63))
}
