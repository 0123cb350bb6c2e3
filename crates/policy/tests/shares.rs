//! Operators' weights: a backend's share of new work.

#[path = "support/mod.rs"]
mod support;

use gateway_policy::interface::*;
use support::*;

/// Requests that each of ten backends gets while so many are out on each at any time, where the first one
/// has a share of a quarter.
fn spread(out: usize) -> Vec<usize> {
    let mut rig = Rig::new(settings(), 10);
    let mut entries = backends(10);
    entries[0].weight_share = 0.25;
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &entries });
    let (mut got, mut open) = (vec![0; 10], std::collections::VecDeque::new());
    for id in 0..8_000 {
        rig.now += 1.0;
        if let Some(to) = sent_to(&rig.ask(request(id, 0, 3, 1.0))) {
            got[to as usize] += 1;
            open.push_back((id, to));
        }
        while open.len() > out * 10 {
            let (id, to) = open.pop_front().expect("some");
            rig.end(id, 0, to, Outcome::Ok);
        }
    }
    got
}

#[test]
fn quarter_share_gets_about_a_quarter_of_the_work() {
    for out in [0, 1, 4] {
        let got = spread(out);
        let others: usize = got[1..].iter().sum();
        let part = got[0] as f64 / (others as f64 / 9.0);
        assert!(others > 6_000, "{got:?}");
        assert!((0.15..0.35).contains(&part), "{out} out: {part} of {got:?}");
    }
}

#[test]
fn small_share_serves_all_where_no_other_backend_is_left() {
    let mut rig = Rig::new(settings(), 1);
    let mut entries = backends(1);
    entries[0].weight_share = 0.0001;
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &entries });
    for id in 0..50 {
        assert_eq!(sent_to(&rig.ask(request(id, 0, 3, 1.0))), Some(0));
        rig.end(id, 0, 0, Outcome::Ok);
    }
}
