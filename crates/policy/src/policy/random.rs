//! Seeded random numbers. The number and the order of the draws are part of the reproducible behaviour.

/// A deterministic generator: its sequence depends only on the seed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// Returns the next number in [0, 1).
    pub(crate) fn next_f64(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(1);
        unit_fraction(splitmix64(self.0))
    }
}

/// Maps the upper 53 bits of a number to [0, 1).
pub(crate) fn unit_fraction(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// The output function of SplitMix64 (Steele, Lea and Flood, 2014).
pub(crate) fn splitmix64(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
