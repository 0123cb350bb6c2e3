//! Which backends a gateway prefers: its subset. Rendezvous hashing (Thaler and Ravishankar, 1998) from the
//! backends' side: each takes the gateways that weigh most for it, so that it is the backends that get
//! equal numbers.

/// A gateway's place among all, and how many backends it wants.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    /// This gateway's number, from 0.
    me: u32,
    gateways: u32,
    /// Backends that a gateway wants.
    size: f64,
    /// Gateways that each backend has at least, where there are as many.
    coverage: f64,
}

impl Subset {
    /// For gateway `me` of `gateways`, numbered from 0: `size` backends, and as many more as give each
    /// backend `coverage` gateways, or all where there are no more.
    #[must_use]
    pub fn new(me: u32, gateways: u32, size: u32, coverage: u32) -> Subset {
        let gateways = gateways.max(1);
        let coverage = f64::from(coverage.clamp(1, gateways));
        Subset { me, gateways, size: f64::from(size.max(1)), coverage }
    }

    /// Gateways that each backend has while so many are ready. Not whole: some have one more than others,
    /// so that it moves as little with one backend as the fleet does.
    ///
    /// A subset is as large as it takes to learn from answers who is slow, and to cover a part of the load.
    /// If a hundred gateways of little traffic used all backends, each would meet each of them once in
    /// seconds: most meetings would cost a handshake, and none would show in time who is slow. With a
    /// subset a gateway sees less of the fleet, and spills over sooner.
    #[must_use]
    pub fn degree(&self, ready: usize) -> f64 {
        let all = f64::from(self.gateways);
        (self.size * all / ready.max(1) as f64 + self.coverage).min(all)
    }

    /// The degree above which a backend belongs to this gateway: how many gateways weigh more for it, and a
    /// part of its own. Takes time as there are gateways; it changes only with their number.
    ///
    /// A backend goes by what all gateways know it by, and no two gateways have one number.
    #[must_use]
    pub fn threshold(&self, backend: u64) -> f64 {
        let key = mix(backend);
        let weight = |gateway: u32| (mix(key ^ u64::from(gateway)), gateway);
        let mine = weight(self.me);
        let before = (0..self.gateways).filter(|g| weight(*g) > mine).count();
        before as f64 + part(mix(!key))
    }
}

/// A number in [0, 1) of the upper bits.
fn part(x: u64) -> f64 {
    (x >> 11) as f64 / (1u64 << 53) as f64
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
