//! Quotas, ceilings and calls of a fleet of sixty gateways, of which each meets a customer seldom.

mod support;

use gateway_policy::interface::*;
use support::*;

const GATEWAYS: u32 = 60;

/// Plan 0 has a ceiling, plan 1 costs nothing beyond its quota, plan 2 as much as it is worth.
fn fleet(seed: u64) -> Vec<Rig> {
    println!("seed {seed}");
    let plan = Plan { rate: 16.0, burst: 32.0, weight_factor: 1.0, ..Plan::default() };
    let ceiling = Plan { ceiling_rate: 40.0, ceiling_burst: 80.0, over_quota_penalty: 0.8, ..plan.clone() };
    let (cheap, dear) =
        (Plan { over_quota_penalty: 0.0, ..plan.clone() }, Plan { over_quota_penalty: 1.0, ..plan });
    let plans = vec![ceiling, cheap, dear];
    let of = |me| {
        let settings = Settings {
            gateway_index: me,
            gateway_count: GATEWAYS,
            shared_counter: true,
            plans: plans.clone(),
            ..settings()
        };
        Rig::seeded(settings, 20, seed * 1_000 + u64::from(me))
    };
    (0..GATEWAYS).map(of).collect()
}

fn wide(id: u64, plan: usize, units: f64, now: f64) -> Request {
    Request { fan_out: f64::from(GATEWAYS), deadline_ms: now + 4_000.0, ..request(id, 0, plan, units) }
}

/// A customer that asks for `units` each 20 ms for 20 s, at one gateway after another, and whose requests
/// turn out to take `true_units`; `lost` has no call answered. Gives the units that were sent on.
fn passed(seed: u64, units: f64, true_units: f64, lost: bool) -> f64 {
    let (mut fleet, mut counter, mut sum) = (fleet(seed), Counter::default(), 0.0);
    for id in 0..1_000u64 {
        let rig = &mut fleet[(id * 37 % u64::from(GATEWAYS)) as usize];
        rig.now = T0 + id as f64 * 20.0;
        let asked = wide(id, 0, units, rig.now);
        let actions = if lost {
            let actions = rig.ask(asked);
            match counted(&actions) {
                Some((name, _)) => {
                    rig.on(Event::CounterReplied { key: name, outcome: Outcome::Timeout, total: 0.0 })
                }
                None => actions,
            }
        } else {
            counter.ask(rig, asked)
        };
        let Some(backend) = sent_to(&actions) else { continue };
        sum += units;
        let ended = rig.on(Event::AttemptEnded {
            id,
            attempt: 0,
            backend,
            outcome: Outcome::Ok,
            latency_ms: 20.0,
            answered: true,
            metered_use: None,
            actual_units: Some(true_units),
            load: &[],
        });
        if !lost {
            counter.settle(rig, ended);
        }
    }
    sum
}

/// An even share of the ceiling may be under one request, and none would pass.
#[test]
fn totals_let_the_whole_quota_pass_under_a_ceiling() {
    let quota = 32.0 + 16.0 * 20.0;
    for seed in 1..4 {
        let sum = passed(seed, 2.0, 2.0, false);
        assert!(sum >= 0.9 * quota && sum <= 1.1 * quota, "{sum} units of {quota}");
    }
}

#[test]
fn ceiling_holds_without_totals_and_for_high_estimates() {
    let ceiling = 80.0 + 40.0 * 20.0;
    for seed in 1..4 {
        let sum = passed(seed, 4.0, 4.0, true);
        assert!(sum <= ceiling, "{sum} units sent on without a total, of {ceiling}");
        assert!(sum > 0.0, "shares under one request pass by chance");
        let sum = passed(seed, 8.0, 0.5, false);
        assert!(sum <= ceiling, "{sum} units guessed, of {ceiling}");
    }
}

/// What became of customers seen for the first time, 20 of each plan at each gateway, by plan: calls made,
/// units told, units sent on. `busy` calls were turned away before.
fn newcomers(busy: usize) -> [(usize, f64, f64); 3] {
    let mut of = [(0, 0.0, 0.0); 3];
    for rig in &mut fleet(7) {
        let mut turned = 0;
        for id in 0..1_000u64 {
            if turned == busy {
                break;
            }
            rig.now += 10.0;
            let asked = Request { customer: 500_000 + id, ..wide(id, (id % 3) as usize, 2.0, rig.now) };
            if let Some((name, _)) = counted(&rig.ask(asked)) {
                rig.on(Event::CounterReplied { key: name, outcome: Outcome::Rejected, total: 0.0 });
                turned += 1;
            }
        }
        for id in 2_000..2_060u64 {
            let plan = (id % 3) as usize;
            let (calls, told, sent) = &mut of[plan];
            let actions = rig.ask(Request { customer: id, ..wide(id, plan, 2.0, rig.now) });
            *sent += if sent_to(&actions).is_some() { 2.0 } else { 0.0 };
            if let Some((name, amount)) = counted(&actions) {
                (*calls, *told) = (*calls + 1, *told + amount);
                let actions =
                    rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total: amount });
                *sent += if sent_to(&actions).is_some() { 2.0 } else { 0.0 };
            }
        }
    }
    of
}

#[test]
fn throttled_calls_skip_cheapest_over_quota_plans_first() {
    let all = 20 * GATEWAYS as usize;
    let well = newcomers(0).map(|(calls, ..)| calls);
    assert_eq!(well, [all; 3], "a counter that is well is asked for all");
    let [_, cheap, dear] = newcomers(1).map(|(calls, ..)| calls);
    assert!(cheap * 2 < dear && dear < all, "{cheap} and {dear} of {all}");
}

/// Charges of requests without a call would be in no total.
#[test]
fn made_calls_report_for_skipped_ones() {
    let [_, _, (calls, told, sent)] = newcomers(1);
    assert!(calls < 20 * GATEWAYS as usize);
    assert!((0.85..1.15).contains(&(told / sent)), "{told} told of {sent}");
}
