//! Simulation of gateways that share a quota by the totals of the shared counter, compared with exact token
//! buckets: units that pass beyond the quota, and units that are rejected within it.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use gateway_policy::interface::*;
use support::{settings, Counter, T0};

const GATEWAYS: u32 = 3;
/// One-way latency between gateway and counter, ms.
const ONE_WAY_MS: u64 = 2;
const SECONDS: u64 = 70;

/// Fault of the shared counter. Times are seconds from the start.
#[derive(Clone, Copy)]
enum CounterFault {
    None,
    /// The counter neither adds nor answers. Afterwards it has its former totals, or none if `empty`.
    Silent {
        from: u64,
        to: u64,
        empty: bool,
    },
    /// One of each gateway's four connections at a time stops answering for 160 ms. Calls in the first 50 ms
    /// are added, later ones are not.
    Connections,
}

/// An exact token bucket.
struct Bucket {
    level: f64,
    updated_at: f64,
}

impl Bucket {
    fn refill(&mut self, plan: &Plan, now: f64) {
        self.level = (self.level + plan.rate * (now - self.updated_at) / 1000.0).min(plan.burst);
        self.updated_at = now;
    }

    /// Takes the units of a request if it is within the quota, and returns whether it is.
    fn take(&mut self, plan: &Plan, now: f64, units: f64) -> bool {
        self.refill(plan, now);
        let within = self.level >= units;
        self.level -= if within { units } else { 0.0 };
        within
    }
}

enum FutureEvent {
    Request { customer: u64 },
    CallArrived { gateway: usize, key: u64, amount: f64 },
    CallEnded { gateway: usize, key: u64, outcome: Outcome, total: f64 },
    TimerExpired { gateway: usize, token: u64 },
}

/// Customers from this number on send one request each.
const FIRST_NEW_CUSTOMER: u64 = 1_000;

#[derive(Default)]
struct Tally {
    /// Units that were sent.
    sent: f64,
    /// Of these, the units beyond the quota.
    beyond: f64,
    /// Units that an exact bucket admits.
    exact: f64,
    calls: u64,
    requests: u64,
    /// Requests of new customers, and of these the ones that were sent.
    new_customers: (u64, u64),
}

struct Simulation {
    now: u64,
    last_id: u64,
    /// Time and number of each scheduled event.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, FutureEvent>,
    gateways: Vec<gateway_policy::Policy>,
    counter: Counter,
    fault: CounterFault,
    plan: Plan,
    /// Two buckets of each customer: one for the units that were sent, and one for all requests.
    buckets: BTreeMap<u64, (Bucket, Bucket)>,
    /// Customer and units of each request.
    requests: BTreeMap<u64, (u64, f64)>,
    /// Whether answers have the metered use of the customer.
    metered: bool,
    /// Units of each customer in each second.
    used: BTreeMap<(u64, u64), f64>,
    tally: Tally,
    random_state: u64,
}

impl Simulation {
    fn new(seed: u64, fault: CounterFault) -> Simulation {
        let mut settings = settings();
        (settings.gateway_count, settings.shared_counter, settings.counter_timeout_ms) =
            (GATEWAYS, true, 80.0);
        (settings.limits.hedges, settings.limits.probes) = (false, false);
        settings.plans[0] = Plan { rate: 4.0, burst: 10.0, weight_factor: 1.0, ..Plan::default() };
        let plan = settings.plans[0].clone();
        let gateway = |index: u32| {
            let settings = Settings { gateway_index: index, ..settings.clone() };
            let mut gateway =
                gateway_policy::Policy::new(settings, seed * 10 + u64::from(index), T0).expect("settings");
            let entries = support::backends(8);
            let list = Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &entries };
            gateway.handle(T0, list, &mut Vec::new());
            gateway
        };
        Simulation {
            now: 0,
            last_id: 0,
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            gateways: (0..GATEWAYS).map(gateway).collect(),
            counter: Counter::default(),
            fault,
            plan,
            buckets: BTreeMap::new(),
            requests: BTreeMap::new(),
            metered: false,
            used: BTreeMap::new(),
            tally: Tally::default(),
            random_state: seed,
        }
    }

    /// Returns a pseudo-random number in (0, 1].
    fn random(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.random_state >> 11) as f64 + 1.0) / (1u64 << 53) as f64
    }

    fn schedule(&mut self, at: u64, event: FutureEvent) {
        self.last_id += 1;
        self.schedule.push(Reverse((at.max(self.now), self.last_id)));
        self.events.insert(self.last_id, event);
    }

    /// Returns the demand of a customer as a multiple of its rate: low, near the rate, far above it, or with
    /// spikes.
    fn demand(&self, customer: u64) -> f64 {
        let spike = (self.now / 1000 + customer) % 15 < 2;
        match customer % 4 {
            _ if customer >= FIRST_NEW_CUSTOMER => 1e-6,
            0 => 0.3,
            1 => 0.9,
            2 => 2.5,
            _ if spike => 6.0,
            _ => 0.3,
        }
    }

    /// Returns whether the counter is silent at the current time. The first call after the end of a silent
    /// fault with `empty` clears all totals.
    fn is_silent(&mut self) -> bool {
        let CounterFault::Silent { from, to, empty } = self.fault else { return false };
        let second = self.now / 1000;
        if empty && second >= to {
            (self.counter, self.fault) = (Counter::default(), CounterFault::None);
        }
        (from..to).contains(&second)
    }

    /// Returns whether a call on a connection that is silent now is added; `None` if its connection works.
    fn added_on_silent_connection(&self, gateway: usize, key: u64) -> Option<bool> {
        let (period, elapsed) = (self.now / 160, self.now % 160);
        let silent = (period * 7 + gateway as u64 * 3) % 4;
        (matches!(self.fault, CounterFault::Connections) && key % 4 == silent).then_some(elapsed < 50)
    }

    fn run(mut self, customers: u64) -> Tally {
        for customer in 0..customers {
            self.schedule(0, FutureEvent::Request { customer });
        }
        while let Some(Reverse((at, number))) = self.schedule.pop() {
            if at >= SECONDS * 1000 {
                break;
            }
            self.now = at;
            match self.events.remove(&number).expect("scheduled") {
                FutureEvent::Request { customer } => self.submit(customer),
                FutureEvent::CallArrived { gateway, key, amount }
                    if self.added_on_silent_connection(gateway, key).is_some() =>
                {
                    if self.added_on_silent_connection(gateway, key) == Some(true) {
                        self.counter.add(key, amount);
                    }
                    let (outcome, total) = (Outcome::Reset, 0.0);
                    self.schedule(
                        at + 80 - ONE_WAY_MS,
                        FutureEvent::CallEnded { gateway, key, outcome, total },
                    );
                }
                FutureEvent::CallArrived { gateway, key, amount } if !self.is_silent() => {
                    let (outcome, total) = (Outcome::Ok, self.counter.add(key, amount));
                    self.schedule(at + ONE_WAY_MS, FutureEvent::CallEnded { gateway, key, outcome, total });
                }
                FutureEvent::CallArrived { gateway, key, .. } => {
                    let (outcome, total) = (Outcome::Timeout, 0.0);
                    self.schedule(
                        at + 80 - ONE_WAY_MS,
                        FutureEvent::CallEnded { gateway, key, outcome, total },
                    );
                }
                FutureEvent::CallEnded { gateway, key, outcome, total } => {
                    self.handle(gateway, Event::CounterReplied { key, outcome, total });
                }
                FutureEvent::TimerExpired { gateway, token } => {
                    self.handle(gateway, Event::TimerExpired { token });
                }
            }
        }
        self.tally
    }

    fn submit(&mut self, customer: u64) {
        let units = 1.0 + (self.random() * 2.0).floor();
        // Most of a customer's requests arrive at one gateway, which changes every five seconds.
        let main = (customer + self.now / 5_000) % u64::from(GATEWAYS);
        let gateway = if self.random() < 0.5 { main } else { (self.random() * 2.99) as u64 } as usize;
        let (id, now) = (self.last_id, T0 + self.now as f64);
        self.requests.insert(id, (customer, units));
        let new = || Bucket { level: self.plan.burst, updated_at: now };
        let (_, exact) = self.buckets.entry(customer).or_insert_with(|| (new(), new()));
        self.tally.exact += if exact.take(&self.plan, now, units) { units } else { 0.0 };
        self.tally.requests += 1;
        self.tally.new_customers.0 += u64::from(customer >= FIRST_NEW_CUSTOMER);
        let (fan_out, deadline_ms) = (f64::from(GATEWAYS), now + 4_000.0);
        let (class, plan, retry) = (0, 0, false);
        self.handle(
            gateway,
            Event::Request(Request { id, customer, plan, class, units, fan_out, deadline_ms, retry }),
        );
        let mean_ms = 1.5 * 1000.0 / (self.plan.rate * self.demand(customer));
        let wait = (-mean_ms * self.random().ln()) as u64;
        self.schedule(self.now + wait, FutureEvent::Request { customer });
    }

    fn handle(&mut self, gateway: usize, event: Event<'_>) {
        let (mut actions, now) = (Vec::new(), T0 + self.now as f64);
        self.gateways[gateway].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::IncrementCounter { key, amount, .. } => {
                    self.tally.calls += 1;
                    self.schedule(self.now + ONE_WAY_MS, FutureEvent::CallArrived { gateway, key, amount });
                }
                Action::SendAttempt { id, backend, .. } => {
                    let (customer, units) = self.requests[&id];
                    let (sent, _) = self.buckets.get_mut(&customer).expect("a customer with requests");
                    let within_quota = sent.take(&self.plan, now, units);
                    self.tally.sent += units;
                    // The meter reports the last full second half a second late.
                    let second = self.now.saturating_sub(1_500) / 1000;
                    let used = self.used.get(&(customer, second)).copied().unwrap_or(0.0);
                    let metered = self.metered.then_some(used / self.plan.rate);
                    *self.used.entry((customer, self.now / 1000)).or_default() += units;
                    self.tally.new_customers.1 += u64::from(customer >= FIRST_NEW_CUSTOMER);
                    self.tally.beyond += if within_quota { 0.0 } else { units };
                    self.handle(
                        gateway,
                        Event::AttemptEnded {
                            id,
                            attempt: 0,
                            backend,
                            outcome: Outcome::Ok,
                            latency_ms: 50.0,
                            answered: true,
                            metered_use: metered,
                            actual_units: None,
                            load: &[],
                        },
                    );
                }
                Action::ScheduleTimer { token, at_ms } => {
                    self.schedule((at_ms - T0).ceil() as u64, FutureEvent::TimerExpired { gateway, token });
                }
                _ => {}
            }
        }
    }
}

/// Runs four seeds. Returns the fraction of the sent units beyond the quota, the fraction of the units within
/// the quota that was not sent, and the counter calls per request.
fn simulate(fault: CounterFault) -> (f64, f64, f64) {
    let runs: Vec<Tally> = (1..=4).map(|seed| Simulation::new(seed, fault).run(24)).collect();
    let sum = |part: fn(&Tally) -> f64| runs.iter().map(part).sum::<f64>();
    let (sent, beyond, exact) = (sum(|t| t.sent), sum(|t| t.beyond), sum(|t| t.exact));
    (beyond / sent, 1.0 - (sent - beyond) / exact, sum(|t| t.calls as f64) / sum(|t| t.requests as f64))
}

#[test]
fn shared_totals_keep_close_to_the_quota() {
    let (beyond, missing, calls) = simulate(CounterFault::None);
    println!("{beyond:.4} beyond, {missing:.4} missing, {calls:.2} calls a request");
    assert!(beyond < 0.015 && missing < 0.02, "{beyond} beyond, {missing} missing");
    assert!(calls < 1.2, "{calls} calls a request");
}

#[test]
fn counter_outage_or_restart_keeps_the_quota() {
    for empty in [false, true] {
        let (from, to) = (25, 37);
        let (beyond, missing, _) = simulate(CounterFault::Silent { from, to, empty });
        println!("{empty}: {beyond:.4} beyond, {missing:.4} missing");
        assert!(beyond < 0.05 && missing < 0.03, "{empty}: {beyond} beyond, {missing} missing");
    }
}

/// Charges on a connection that stops answering may be missing in the total, and must be reported again only
/// then.
#[test]
fn only_charges_lost_with_a_connection_are_reported_again() {
    let (beyond, missing, _) = simulate(CounterFault::Connections);
    println!("connections: {beyond:.4} beyond, {missing:.4} missing");
    // A quarter of all calls is affected. If uncertain charges are not tracked, 12 % are beyond the quota; if
    // all are reported again, 5 % are missing.
    assert!(beyond < 0.07 && missing < 0.02, "{beyond} beyond, {missing} missing");
}

/// Many new customers during and after an outage of the counter must not be rejected for lack of totals, and
/// must not displace the calls for customers that are near their quotas.
#[test]
fn new_customers_after_an_outage_do_not_weaken_quotas() {
    for (seed, empty) in [(1, false), (2, true), (3, false)] {
        let (from, to) = (25, 32);
        let mut simulation = Simulation::new(seed, CounterFault::Silent { from, to, empty });
        for number in 0..400 {
            simulation.schedule(
                (from + 2) * 1000 + number * 25,
                FutureEvent::Request { customer: FIRST_NEW_CUSTOMER + number },
            );
        }
        let tally = simulation.run(24);
        let beyond = tally.beyond / tally.sent;
        println!("seed {seed}, empty {empty}: {beyond:.4} beyond, new {:?}", tally.new_customers);
        let (submitted, sent) = tally.new_customers;
        assert!(submitted >= 400 && sent * 100 >= submitted * 97, "{sent} of {submitted} sent");
        assert!(beyond < 0.05, "{beyond} beyond");
    }
}

/// During an outage of the counter, learned shares become wrong for customers whose traffic moves to another
/// gateway.
#[test]
fn usage_meter_corrects_shares_during_an_outage() {
    let beyond = |metered: bool| {
        let runs = (1..=4).map(|seed| {
            let mut simulation =
                Simulation::new(seed, CounterFault::Silent { from: 20, to: 50, empty: false });
            simulation.metered = metered;
            simulation.run(24)
        });
        let (sent, beyond, exact) = runs.fold((0.0, 0.0, 0.0), |(sent, beyond, exact), t| {
            (sent + t.sent, beyond + t.beyond, exact + t.exact)
        });
        let fractions = (beyond / sent, 1.0 - (sent - beyond) / exact);
        println!("metered {metered}: {:.4} beyond, {:.4} missing", fractions.0, fractions.1);
        fractions
    };
    let (without, with) = (beyond(false), beyond(true));
    assert!(with.0 + with.1 < without.0 + without.1, "{with:?} with a meter, {without:?} without");
}
