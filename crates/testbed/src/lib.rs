//! Stand-ins on loopback sockets for everything around a gateway, used by tests and by `gatewayctl up`.
//!
//! ```text
//!  client::Load ──▶ gateways ──▶ backend::Backend      each with a Switch: slow, silent, refusing, ...
//!                      │  └────▶ counter::Counter      keeps correct totals under faults
//!                      └───────▶ discovery::Discovery
//!                 dns::Dns: a resolver with its own zone, for DNS endpoint lists
//!        every message on the sockets ──▶ journal::Journal ──▶ audit::audit: requests that break one
//!        script::Script: seeded faults                          of the five rules
//! ```
//!
//! - [`gateway_stand_in`]: gateways reduced to their admin listener, to run an agent against a thousand of
//!   them.
//! - [`scripted`]: servers that hand every message to the test, which writes the answer.
//! - [`harness`]: gateway and agent processes, with links between them that can fail.
//! - [`rig`]: a simulation of many gateways' policies in front of thousands of backends.
//!
//! No gateway contains this code. All sockets listen on loopback only.

pub mod audit;
pub mod backend;
pub mod client;
pub mod counter;
pub mod discovery;
pub mod dns;
pub mod gateway_stand_in;
pub mod harness;
pub mod journal;
pub mod platform;
mod resp;
pub mod rig;
pub mod script;
pub mod scripted;
pub mod switch;

/// Multiplier and increment of the linear congruential generator behind [`Rng`] (Knuth's MMIX).
pub(crate) const LCG: (u64, u64) = (6_364_136_223_846_793_005, 1_442_695_040_888_963_407);

/// A small seeded random number generator with the same sequence on every machine.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Rng {
        let mut rng = Rng(seed ^ 0x9e37_79b9_7f4a_7c15);
        rng.next_u64();
        rng
    }

    /// Returns the next number, from 0 to 2^53 - 1.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(LCG.0).wrapping_add(LCG.1);
        let x = self.0 ^ (self.0 >> 33);
        x.wrapping_mul(0xff51_afd7_ed55_8ccd) >> 11
    }

    /// Returns the next number below `n`, or 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next_u64().checked_rem(n).unwrap_or(0)
    }

    /// Returns the next number in [0, 1).
    pub fn next_f64(&mut self) -> f64 {
        self.next_u64() as f64 / (1u64 << 53) as f64
    }
}
