//! Shares of new work that operators set for backends.

#[path = "support/mod.rs"]
mod support;

use gateway_policy::interface::*;
use support::*;

/// Returns the requests of each of ten backends, the first of which has a share of a quarter. `in_flight`
/// requests are in flight for each backend at any time.
fn distribution(in_flight: usize) -> Vec<usize> {
    let mut rig = Rig::new(settings(), 10);
    let mut entries = backends(10);
    entries[0].weight_share = 0.25;
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &entries });
    let (mut requests, mut open) = (vec![0; 10], std::collections::VecDeque::new());
    for id in 0..8_000 {
        rig.now += 1.0;
        if let Some(to) = sent_to(&rig.submit(request(id, 0, 3, 1.0))) {
            requests[to as usize] += 1;
            open.push_back((id, to));
        }
        while open.len() > in_flight * 10 {
            let (id, to) = open.pop_front().expect("not empty");
            rig.end_attempt(id, 0, to, Outcome::Ok);
        }
    }
    requests
}

#[test]
fn quarter_share_gets_about_a_quarter_of_the_work() {
    for in_flight in [0, 1, 4] {
        let requests = distribution(in_flight);
        let others: usize = requests[1..].iter().sum();
        let ratio = requests[0] as f64 / (others as f64 / 9.0);
        assert!(others > 6_000, "{requests:?}");
        assert!((0.15..0.35).contains(&ratio), "{in_flight} in flight: {ratio} of {requests:?}");
    }
}

#[test]
fn only_backend_serves_all_despite_a_small_share() {
    let mut rig = Rig::new(settings(), 1);
    let mut entries = backends(1);
    entries[0].weight_share = 0.0001;
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &entries });
    for id in 0..50 {
        assert_eq!(sent_to(&rig.submit(request(id, 0, 3, 1.0))), Some(0));
        rig.end_attempt(id, 0, 0, Outcome::Ok);
    }
}
