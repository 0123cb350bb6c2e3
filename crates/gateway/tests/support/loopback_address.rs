//! Addresses that a test may name before anybody listens there.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// The port of the first address of a process.
const FIRST_PORT: u16 = 20_000;
/// Added to the second byte, so that no address lies in 127.0.0.0/16, where everybody else's do.
const OWN_BLOCK: u32 = 64;

/// An address for somebody else to listen at, such as a gateway's second address.
///
/// Nobody can take it in between, unlike a port that was bound and let go of: the host is this process's
/// alone (127.64.0.0 to 127.127.255.255, by the process number, which has at most 22 bits on Linux), and each
/// port is given out once.
///
/// # Panics
/// When a process has asked for more addresses than there are ports.
pub fn own_address() -> SocketAddr {
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    let port = FIRST_PORT.checked_add(GIVEN.fetch_add(1, Ordering::Relaxed)).expect("a port is left");
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    assert!(u32::from(high) < OWN_BLOCK, "a process number of more than 22 bits");
    let block = OWN_BLOCK as u8 + high;
    SocketAddr::from((Ipv4Addr::new(127, block, middle, low), port))
}
