//! Time of one decision (a request that arrives, and the end of an earlier attempt) by the number of listed
//! backends: `cargo bench -p gateway-policy`.
//!
//! The gateway is one of sixty. `subset` uses the default routing settings; `whole` compares all ready
//! backends for each request.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::VecDeque;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use gateway_policy::interface::*;
use support::{backends, request, sent_to, settings, Rig};

/// Number of attempts that are kept in flight.
const MAX_IN_FLIGHT: usize = 32;

/// A gateway with attempts in flight.
struct LoadedGateway {
    rig: Rig,
    last_id: u64,
    /// Request and backend of each attempt in flight, the oldest first.
    in_flight: VecDeque<(u64, u32)>,
}

impl LoadedGateway {
    fn new(listed: u32, scan_all_up_to: usize) -> LoadedGateway {
        let mut settings = settings();
        settings.gateway_count = 60;
        settings.routing.scan_all_up_to = scan_all_up_to;
        if scan_all_up_to > 10_000 {
            settings.routing.subset_size = u32::MAX;
        }
        let mut rig = Rig::new(settings, 0);
        rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &backends(listed) });
        LoadedGateway { rig, last_id: 0, in_flight: VecDeque::new() }
    }

    /// Submits a request and ends the oldest attempt if more than [`MAX_IN_FLIGHT`] are in flight.
    fn step(&mut self) {
        self.last_id += 1;
        self.rig.now += 0.1;
        let (customer, deadline_ms) = (self.last_id % 1_000, self.rig.now + 4_000.0);
        let request = Request { customer, deadline_ms, ..request(self.last_id, 0, 3, 1.0) };
        let actions = self.rig.submit(request);
        self.in_flight.extend(sent_to(&actions).map(|to| (self.last_id, to)));
        if self.in_flight.len() > MAX_IN_FLIGHT {
            let (id, to) = self.in_flight.pop_front().expect("not empty");
            self.rig.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for listed in [8, 80, 800, 4_000, 10_000] {
        for (name, scan_all_up_to) in [("subset", Routing::default().scan_all_up_to), ("whole", usize::MAX)] {
            let mut gateway = LoadedGateway::new(listed, scan_all_up_to);
            (0..2_000).for_each(|_| gateway.step());
            assert!(gateway.in_flight.len() >= MAX_IN_FLIGHT, "too few requests were sent");
            group.bench_function(BenchmarkId::new(name, listed), |b| b.iter(|| gateway.step()));
        }
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
