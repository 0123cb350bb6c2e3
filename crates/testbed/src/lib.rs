//! The project's own stand-ins on loopback sockets, for its tests and for `gatewayctl up`.
//!
//! ```text
//!  client::Load ──▶ gateways ──▶ backend::Backend      each with a Switch: well, slow, silent, refusing, ...
//!                      │  └────▶ counter::Counter      a true store beside what it tells
//!                      └───────▶ discovery::Discovery
//!                 dns::Dns: a resolver with a zone, for sources of the list
//!        everything that passes on the sockets ──▶ journal::Journal ──▶ audit::audit: which request broke
//!        script::Script: faults by a seed                                which of the five rules
//! ```
//!
//! [`gateway_stand_in`] has gateways that are nothing but an admin listener, for an agent with a thousand of them;
//! [`scripted`] has the older stand-ins, whose every message a test answers by hand.
//!
//! [`harness`] starts many processes of the program, with links between them that can fail.
//!
//! [`rig`] has many gateways' decisions before thousands of backends, in simulated time.
//!
//! Nothing here is part of a gateway, and nothing listens on any address but loopback.

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

/// Multiplier and increment of the generator that scripts and loads draw from (Knuth, MMIX).
pub(crate) const LCG: (u64, u64) = (6_364_136_223_846_793_005, 1_442_695_040_888_963_407);

/// A small seeded source of chance, the same on every machine.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Begins with a seed.
    #[must_use]
    pub fn new(seed: u64) -> Rng {
        let mut rng = Rng(seed ^ 0x9e37_79b9_7f4a_7c15);
        rng.next_u64();
        rng
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(LCG.0).wrapping_add(LCG.1);
        let x = self.0 ^ (self.0 >> 33);
        x.wrapping_mul(0xff51_afd7_ed55_8ccd) >> 11
    }

    /// The next number below `n`; 0 if that is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next_u64().checked_rem(n).unwrap_or(0)
    }

    /// The next number in [0, 1).
    pub fn next_f64(&mut self) -> f64 {
        self.next_u64() as f64 / (1u64 << 53) as f64
    }
}
