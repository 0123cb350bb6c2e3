//! The subset of backends that a gateway prefers, by rendezvous hashing (Thaler and Ravishankar, 1998). Each
//! backend ranks the gateways by hash and takes the first ones, so that all backends have the same number
//! of gateways.

/// Parameters of a gateway's subset: the number of the gateway, the size of the fleet, and the subset size.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    /// Number of this gateway, from 0.
    gateway: u32,
    gateways: u32,
    /// Number of backends in a subset, without those added for `coverage`.
    size: f64,
    /// Smallest number of gateways of each backend, if there are as many.
    coverage: f64,
}

impl Subset {
    /// Creates the subset of gateway number `gateway` (from 0) of `gateways`. It has `size` backends, and
    /// enough more that each backend has `coverage` gateways, or all if there are fewer.
    #[must_use]
    pub fn new(gateway: u32, gateways: u32, size: u32, coverage: u32) -> Subset {
        let gateways = gateways.max(1);
        let coverage = f64::from(coverage.clamp(1, gateways));
        Subset { gateway, gateways, size: f64::from(size.max(1)), coverage }
    }

    /// Returns the number of gateways of each backend while `ready` backends are ready. It is fractional:
    /// some backends have one gateway more than others, so that one more backend changes few subsets.
    ///
    /// A subset is large enough to learn from answers which backends are slow, and to serve its part of the
    /// load. If a hundred gateways with little traffic used all backends, each would send to each backend
    /// only once in several seconds: most requests would need a new connection, and slow backends would not
    /// be recognized in time. The cost of a subset is that a gateway observes less of the fleet and spills
    /// over sooner.
    #[must_use]
    pub fn degree(&self, ready: usize) -> f64 {
        let all = f64::from(self.gateways);
        (self.size * all / ready.max(1) as f64 + self.coverage).min(all)
    }

    /// Returns the degree above which a backend belongs to the subset of this gateway: the number of
    /// gateways that rank before it for this backend, plus a fraction that depends on the backend.
    ///
    /// `backend` is the key of the backend, which is the same at all gateways; the numbers of gateways are
    /// unique. The result depends on the number of gateways only, and takes time linear in it.
    #[must_use]
    pub fn threshold(&self, backend: u64) -> f64 {
        let key = mix(backend);
        let weight = |gateway: u32| (mix(key ^ u64::from(gateway)), gateway);
        let own = weight(self.gateway);
        let before = (0..self.gateways).filter(|g| weight(*g) > own).count();
        before as f64 + fraction(mix(!key))
    }
}

/// Converts the upper 53 bits to a number in [0, 1).
fn fraction(x: u64) -> f64 {
    (x >> 11) as f64 / (1u64 << 53) as f64
}

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
