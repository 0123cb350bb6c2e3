//! Loopback addresses that a test can name before anything listens on them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that a test process hands out.
const FIRST_PORT: u16 = 20_000;
/// Offset of the second address byte. It keeps the addresses out of 127.0.0.0/16, which other programs use.
const BLOCK_OFFSET: u32 = 64;

/// Returns an address on which another process can listen later, such as a gateway's management address.
///
/// No other process can take the address in the meantime, unlike a port that was bound and released: the host
/// is unique to this process (127.64.0.0 to 127.127.255.255, derived from the process ID, which has at most
/// 22 bits on Linux), and each port is returned once.
///
/// # Panics
/// If the process has used up all ports, or if its ID has more than 22 bits.
pub fn unused_loopback_address() -> SocketAddr {
    static ISSUED: AtomicU16 = AtomicU16::new(0);
    let port = FIRST_PORT.checked_add(ISSUED.fetch_add(1, Ordering::Relaxed)).expect("unused port");
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    assert!(u32::from(high) < BLOCK_OFFSET, "process ID has more than 22 bits");
    let block = BLOCK_OFFSET as u8 + high;
    SocketAddr::from((Ipv4Addr::new(127, block, middle, low), port))
}
