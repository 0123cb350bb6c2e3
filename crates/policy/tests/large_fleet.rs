//! Quotas, ceilings and counter calls in a fleet of sixty gateways, each of which rarely sees a customer.

mod support;

use gateway_policy::interface::*;
use support::*;

const GATEWAYS: u32 = 60;

/// Plan 0 has a ceiling. Requests beyond the quota have no penalty in plan 1 and one of their full weight in
/// plan 2.
fn fleet(seed: u64) -> Vec<Rig> {
    println!("seed {seed}");
    let plan = Plan { rate: 16.0, burst: 32.0, weight_factor: 1.0, ..Plan::default() };
    let ceiling = Plan { ceiling_rate: 40.0, ceiling_burst: 80.0, over_quota_penalty: 0.8, ..plan.clone() };
    let (without_penalty, full_penalty) =
        (Plan { over_quota_penalty: 0.0, ..plan.clone() }, Plan { over_quota_penalty: 1.0, ..plan });
    let plans = vec![ceiling, without_penalty, full_penalty];
    let rig = |index| {
        let settings = Settings {
            gateway_index: index,
            gateway_count: GATEWAYS,
            shared_counter: true,
            plans: plans.clone(),
            ..settings()
        };
        Rig::seeded(settings, 20, seed * 1_000 + u64::from(index))
    };
    (0..GATEWAYS).map(rig).collect()
}

fn fleet_wide_request(id: u64, plan: usize, units: f64, now: f64) -> Request {
    Request { fan_out: f64::from(GATEWAYS), deadline_ms: now + 4_000.0, ..request(id, 0, plan, units) }
}

/// Sends a request of `units` each 20 ms for 20 s, all of one customer, to one gateway after another. The
/// answers report `actual_units`; with `lost`, no counter call is answered. Returns the units that were sent.
fn sent_units(seed: u64, units: f64, actual_units: f64, lost: bool) -> f64 {
    let (mut fleet, mut counter, mut sum) = (fleet(seed), Counter::default(), 0.0);
    for id in 0..1_000u64 {
        let rig = &mut fleet[(id * 37 % u64::from(GATEWAYS)) as usize];
        rig.now = T0 + id as f64 * 20.0;
        let request = fleet_wide_request(id, 0, units, rig.now);
        let actions = if lost {
            let actions = rig.submit(request);
            match counter_call(&actions) {
                Some((key, _)) => {
                    rig.handle(Event::CounterReplied { key, outcome: Outcome::Timeout, total: 0.0 })
                }
                None => actions,
            }
        } else {
            counter.submit(rig, request)
        };
        let Some(backend) = sent_to(&actions) else { continue };
        sum += units;
        let ended = rig.handle(Event::AttemptEnded {
            id,
            attempt: 0,
            backend,
            outcome: Outcome::Ok,
            latency_ms: 20.0,
            answered: true,
            metered_use: None,
            actual_units: Some(actual_units),
            load: &[],
        });
        if !lost {
            counter.answer_calls(rig, ended);
        }
    }
    sum
}

/// A gateway's even share of the ceiling can be less than one request, so that none would be admitted without
/// totals.
#[test]
fn totals_admit_the_whole_quota_under_a_ceiling() {
    let quota = 32.0 + 16.0 * 20.0;
    for seed in 1..4 {
        let sum = sent_units(seed, 2.0, 2.0, false);
        assert!(sum >= 0.9 * quota && sum <= 1.1 * quota, "{sum} units of {quota}");
    }
}

#[test]
fn ceiling_holds_without_totals_and_with_high_estimates() {
    let ceiling = 80.0 + 40.0 * 20.0;
    for seed in 1..4 {
        let sum = sent_units(seed, 4.0, 4.0, true);
        assert!(sum <= ceiling, "{sum} units sent without totals, of {ceiling}");
        assert!(sum > 0.0, "shares below one request are admitted at random");
        let sum = sent_units(seed, 8.0, 0.5, false);
        assert!(sum <= ceiling, "{sum} estimated units, of {ceiling}");
    }
}

/// Sends requests of new customers, 20 of each plan at each gateway. Returns for each plan the counter calls,
/// the units reported and the units sent. Before that, `rejected_calls` calls of each gateway are rejected.
fn new_customers(rejected_calls: usize) -> [(usize, f64, f64); 3] {
    let mut results = [(0, 0.0, 0.0); 3];
    for rig in &mut fleet(7) {
        let mut rejected = 0;
        for id in 0..1_000u64 {
            if rejected == rejected_calls {
                break;
            }
            rig.now += 10.0;
            let request =
                Request { customer: 500_000 + id, ..fleet_wide_request(id, (id % 3) as usize, 2.0, rig.now) };
            if let Some((key, _)) = counter_call(&rig.submit(request)) {
                rig.handle(Event::CounterReplied { key, outcome: Outcome::Rejected, total: 0.0 });
                rejected += 1;
            }
        }
        for id in 2_000..2_060u64 {
            let plan = (id % 3) as usize;
            let (calls, reported, sent) = &mut results[plan];
            let actions = rig.submit(Request { customer: id, ..fleet_wide_request(id, plan, 2.0, rig.now) });
            *sent += if sent_to(&actions).is_some() { 2.0 } else { 0.0 };
            if let Some((key, amount)) = counter_call(&actions) {
                (*calls, *reported) = (*calls + 1, *reported + amount);
                let actions = rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total: amount });
                *sent += if sent_to(&actions).is_some() { 2.0 } else { 0.0 };
            }
        }
    }
    results
}

#[test]
fn throttled_calls_skip_plans_with_the_lowest_penalty_first() {
    let all = 20 * GATEWAYS as usize;
    let unthrottled = new_customers(0).map(|(calls, ..)| calls);
    assert_eq!(unthrottled, [all; 3], "a healthy counter is called for each");
    let [_, without_penalty, full_penalty] = new_customers(1).map(|(calls, ..)| calls);
    assert!(
        without_penalty * 2 < full_penalty && full_penalty < all,
        "{without_penalty} and {full_penalty} of {all}"
    );
}

/// Charges of requests without a counter call would otherwise be missing in the totals.
#[test]
fn calls_report_the_charges_of_skipped_calls() {
    let [_, _, (calls, reported, sent)] = new_customers(1);
    assert!(calls < 20 * GATEWAYS as usize);
    assert!((0.85..1.15).contains(&(reported / sent)), "{reported} reported of {sent}");
}
