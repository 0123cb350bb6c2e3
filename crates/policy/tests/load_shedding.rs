//! Load shedding with widely varying service times, whose mean is only a few times below the latency
//! objectives: it must not reject requests while the backends are as fast as usual.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use gateway_policy::interface::*;
use support::*;

/// Seeded pseudo-random generator.
struct Random(u64);

impl Random {
    /// Returns a number in (0, 1].
    fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 11) as f64 + 1.0) / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.fraction().ln()
    }
}

/// Simulates two classes with mean service times of 95 and 215 ms, multiplied by `slowdown` from the tenth
/// second on. Returns the fraction of the requests that is rejected.
fn rejected_fraction(seed: u64, requests_per_s: f64, seconds: f64, slowdown: f64) -> f64 {
    let mut settings = settings();
    (settings.classes[0].latency_objective_ms, settings.classes[0].deadline_ms) = (750.0, 3_000.0);
    (settings.classes[1].latency_objective_ms, settings.classes[1].deadline_ms) = (1_500.0, 6_000.0);
    let mut rig = Rig::seeded(settings, 13, seed);
    let mut random = Random(seed);
    let (mut ends, mut in_flight) = (BinaryHeap::new(), BTreeMap::new());
    let (mut requests, mut rejections, mut next) = (0u64, 0u64, T0);
    // Ends an attempt at its time in microseconds.
    let end = |rig: &mut Rig,
               in_flight: &mut BTreeMap<(u64, u32), (u32, f64)>,
               (at, id, attempt): (u64, u64, u32)| {
        rig.now = at as f64 / 1000.0;
        let Some((backend, latency_ms)) = in_flight.remove(&(id, attempt)) else { return };
        let answered = true;
        let (outcome, load) = (Outcome::Ok, &[][..]);
        let (metered_use, actual_units) = (None, None);
        rig.handle(Event::AttemptEnded {
            id,
            attempt,
            backend,
            outcome,
            latency_ms,
            answered,
            metered_use,
            actual_units,
            load,
        });
    };
    while next < T0 + seconds * 1000.0 {
        while let Some(Reverse((at, id, attempt))) = ends.peek().copied() {
            if at as f64 / 1000.0 > next {
                break;
            }
            ends.pop();
            end(&mut rig, &mut in_flight, (at, id, attempt));
        }
        rig.now = next;
        let class = usize::from(random.fraction() < 0.32);
        let mut request = request(requests, class, 3, 1.0);
        request.deadline_ms = rig.now + [3_000.0, 6_000.0][class];
        let actions = rig.submit(request);
        match sent_to(&actions) {
            Some(backend) => {
                // The latency does not depend on the load of the backend, so the rejections depend only on
                // how the gateway estimates the slowness of the fleet.
                let latency_ms = random.exponential([95.0, 215.0][class])
                    * if next > T0 + 10_000.0 { slowdown } else { 1.0 };
                in_flight.insert((requests, 0), (backend, latency_ms));
                ends.push(Reverse((((rig.now + latency_ms) * 1000.0) as u64, requests, 0)));
            }
            None => rejections += u64::from(is_rejected(&actions)),
        }
        requests += 1;
        next += random.exponential(1000.0 / requests_per_s);
    }
    rejections as f64 / requests as f64
}

#[test]
fn varying_service_times_cause_no_rejections() {
    let fractions: Vec<f64> = (1..=8).map(|seed| rejected_fraction(seed, 33.0, 50.0, 1.0)).collect();
    let mean = fractions.iter().sum::<f64>() / fractions.len() as f64;
    assert!(mean < 0.01, "{fractions:?}");
}

#[test]
fn rejections_grow_with_the_slowdown() {
    let mean =
        |slowdown: f64| (1..=8).map(|seed| rejected_fraction(seed, 33.0, 50.0, slowdown)).sum::<f64>() / 8.0;
    let means = [1.5, 6.0].map(mean);
    assert!(means[0] < 0.05 && means[1] > 0.3, "{means:?}");
}
