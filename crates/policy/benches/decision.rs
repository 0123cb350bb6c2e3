//! The cost of one decision, a request with its answer, as the list grows: `cargo bench -p gateway-policy`.
//!
//! `subset` is a gateway of sixty with the routing of the defaults; `whole` looks at every backend.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::VecDeque;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use gateway_policy::interface::*;
use support::{backends, request, sent_to, settings, Rig};

/// Requests that are out at any time.
const OUT: usize = 32;

struct World {
    rig: Rig,
    last: u64,
    out: VecDeque<(u64, u32)>,
}

impl World {
    fn new(listed: u32, whole: usize) -> World {
        let mut settings = settings();
        settings.gateway_count = 60;
        settings.routing.scan_all_up_to = whole;
        if whole > 10_000 {
            settings.routing.subset_size = u32::MAX;
        }
        let mut rig = Rig::new(settings, 0);
        rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &backends(listed) });
        World { rig, last: 0, out: VecDeque::new() }
    }

    /// One request comes, and the oldest that is out has its answer.
    fn step(&mut self) {
        self.last += 1;
        self.rig.now += 0.1;
        let (customer, expires_ms) = (self.last % 1_000, self.rig.now + 4_000.0);
        let asked = Request { customer, deadline_ms: expires_ms, ..request(self.last, 0, 3, 1.0) };
        let actions = self.rig.submit(asked);
        self.out.extend(sent_to(&actions).map(|to| (self.last, to)));
        if self.out.len() > OUT {
            let (id, to) = self.out.pop_front().expect("some");
            self.rig.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for listed in [8, 80, 800, 4_000, 10_000] {
        for (name, whole) in [("subset", Routing::default().scan_all_up_to), ("whole", usize::MAX)] {
            let mut world = World::new(listed, whole);
            (0..2_000).for_each(|_| world.step());
            assert!(world.out.len() >= OUT, "the work goes out");
            group.bench_function(BenchmarkId::new(name, listed), |b| b.iter(|| world.step()));
        }
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
