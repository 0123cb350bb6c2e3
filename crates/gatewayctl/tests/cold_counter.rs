//! Gateways that start together before a counter that bears fifty calls a second, as real processes.

mod many;

use std::time::Duration;

use many::{Many, Shape};
use testbed::client::Plan;
use testbed::switch::Fault;

/// Customers with quotas ask so often, requests a second: six times what the counter bears.
const RATE: f64 = 300.0;

fn shape(seed: u64) -> Shape {
    let operator = "[start]\nlist_calls_per_s = 10\ncounter_calls_per_s = 50\n".to_string();
    Shape { seed, operator, counter_takes: Duration::from_millis(20), ..Shape::default() }
}

fn plan() -> Plan {
    Plan { rate: RATE, paid: 1.0, customers: 100, ..Plan::default() }
}

/// Calls that came to the counter in a stretch of its time.
fn calls(many: &Many, from: Duration, time: Duration) -> usize {
    many.counter.waits().iter().filter(|(at, _)| (from..from + time).contains(at)).count()
}

#[test]
fn all_start_again_and_call_the_counter_no_more_than_it_bears_at_first() {
    let mut many = Many::new(shape(0x41_41));
    many.start(many.all());
    many.ready(many.all());
    let loading = many.load_of(plan());
    many.served(&loading, 200);
    many.kill(many.all());
    // What stood before the counter is done.
    many.pass(Duration::from_secs(2));
    let since = many.counter.now();
    many.start(many.all());
    many.ready(many.all());
    many.served(&loading, 100);
    many.until("calls grow to what it bears", |many| {
        calls(many, since + Duration::from_secs(2), Duration::from_secs(60)) > 100
    });
    // A call of each in its slot, and half of what it bears, growing: sixty in the first second, where three
    // hundred are wanted.
    let first = calls(&many, since, Duration::from_secs(1));
    assert!(first <= 100, "{first} calls in the first second");
    let tally = many.finish(loading);
    assert!(tally.served > 300, "{tally:?}");
    many.judge();
}

#[test]
fn all_start_while_the_counter_is_down_and_call_it_again_when_it_is_back() {
    let mut many = Many::new(shape(0x41_42));
    many.counter.switch.set(Fault::Refusing);
    many.start(many.all());
    many.ready(many.all());
    let loading = many.load_of(plan());
    many.served(&loading, 100);
    assert_eq!(many.counter.calls(), 0);
    many.timeline.note("the counter is back");
    many.counter.switch.set(Fault::Well);
    many.until("it is called", |many| many.counter.calls() > 100);
    let tally = many.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    many.judge();
}
