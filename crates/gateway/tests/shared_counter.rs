//! The built gateway and the shared counter's troubles, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::Duration;

use gateway_rig::*;
use serde_json::json;

/// Longer than the gateway keeps off a counter whose connection broke once.
const KEEP_OFF: Duration = Duration::from_millis(300);

/// Longer than a silent connection is kept where calls end after 30 ms.
const STALLED: Duration = Duration::from_millis(400);

/// Has requests served until one is preceded by a call to the counter; while calls fail, some are left
/// out by chance.
fn until_called(rig: &Rig, client: &mut Client) -> Arrived {
    for id in 100..150 {
        client.send(&words(&call(id, "safe", "paid", 60, 8000)));
        let all: Vec<&StandIn> = rig.backends.iter().chain([&rig.counter]).collect();
        let (place, mut arrived) = next_of(&all);
        if place == rig.backends.len() {
            return arrived;
        }
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
    }
    panic!("no call");
}

/// Plays a scenario that needs two calls of one name. The windows that name them go by the wall clock;
/// one that ends in between (`None`) says nothing, and the next is 30 s long.
fn within_a_window(scenario: impl Fn() -> Option<()>) {
    assert!((0..3).any(|_| scenario().is_some()), "no two calls had one name");
}

#[test]
fn a_silent_counter_does_not_hold_a_request_and_its_late_answer_is_nobody_elses() {
    within_a_window(|| {
        let rig = Rig::with_config(1, roomy);
        let mut client = rig.gateway.client();
        client.send(&words(&call(1, "safe", "paid", 60, 8000)));
        let mut late = rig.counter.next();
        // No answer in time: the store decides alone.
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        let mut bump = until_called(&rig, &mut client);
        if late.words[1] != bump.words[1] {
            return None;
        }
        assert_eq!(late.connection, bump.connection);
        late.say("ok 5000\r\n");
        bump.say("ok 180\r\n");
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        Some(())
    });
}

#[test]
fn a_connection_on_which_the_counter_stays_silent_is_replaced() {
    within_a_window(|| {
        let rig = Rig::with_config(1, |config| {
            roomy(config);
            config["settings"]["family-info"]["count-wait-ms"] = json!(30.0);
        });
        let mut client = rig.gateway.client();
        client.send(&words(&call(1, "safe", "paid", 60, 8000)));
        let silent = rig.counter.next();
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        sleep(STALLED);
        // Calls that come now find the silent one before them.
        for id in 2..6 {
            client.send(&words(&call(id, "safe", "paid", 60, 8000)));
            rig.next_request().1.serve("fine");
            assert_eq!(client.read(), "fine");
        }
        while let Some(bump) = rig.counter.taken() {
            if bump.words[1] != silent.words[1] {
                return None;
            }
        }
        silent.closed();
        sleep(KEEP_OFF);
        assert_ne!(until_called(&rig, &mut client).connection, silent.connection);
        Some(())
    });
}

#[test]
fn what_a_busy_counter_turned_away_is_told_again() {
    let rig = Rig::with_config(1, roomy);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "paid", 60, 8000)));
    rig.counter.next().say("busy\r\n");
    rig.next_request().1.serve("fine");
    assert_eq!(client.read(), "fine");
    let amount: f64 = until_called(&rig, &mut client).words[2].parse().expect("number");
    assert!(amount >= 120.0, "{amount}");
}

#[test]
fn what_a_counter_may_have_added_is_not_told_again_and_a_fresh_connection_asks_at_once() {
    // A connection that breaks after the call, answers that can't be read, and one that does not end.
    for odd in ["", "ok NaN\r\n", "ok 1x\r\n", "oo"] {
        let rig = Rig::with_config(1, roomy);
        let mut client = rig.gateway.client();
        // One that is answered well, so that the counter was heard before it breaks.
        client.send(&words(&call(1, "safe", "paid", 60, 8000)));
        rig.counter.next().say("ok 60\r\n");
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        client.send(&words(&call(2, "safe", "paid", 60, 8000)));
        let mut bump = rig.counter.next();
        bump.say(odd);
        if odd.is_empty() {
            bump.close();
        }
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        bump.closed();
        // Each request calls as before: nothing speaks of a busy counter.
        client.send(&words(&call(3, "safe", "paid", 60, 8000)));
        let next = rig.counter.next();
        assert_ne!(next.connection, bump.connection, "{odd:?}");
        let amount: f64 = next.words[2].parse().expect("number");
        assert!(amount < 120.0, "{odd:?}: {amount}");
    }
}

/// A request of 60 units by a customer of its own.
fn of_customer(customer: u64, id: u64) -> Vec<String> {
    let mut words = call(id, "safe", "paid", 60, 8000);
    words[1] = format!("{customer:016x}");
    words
}

/// Guards against a burst that one line of the counter turns away, taken for as many reasons to call less;
/// those who are near their quota are then refused or let through unasked.
#[test]
fn a_burst_that_is_turned_away_counts_once_and_customers_near_their_quota_are_still_asked_for() {
    const BURST: u64 = 8;
    let rig = Rig::with_config(1, roomy);
    let mut client = rig.gateway.client();
    let mut asked_for = |id| {
        client.send(&words(&of_customer(1, id)));
        let mut bump = rig.counter.next();
        let amount = bump.words[2].clone();
        bump.say(&format!("ok {amount}\r\n"));
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
    };
    // Its totals tell that it asks for more than its rate.
    asked_for(1);
    asked_for(2);
    let mut others: Vec<Client> = (0..BURST).map(|_| rig.gateway.client()).collect();
    for (customer, other) in (10..).zip(&mut others) {
        other.send(&words(&of_customer(customer, customer)));
    }
    let out: Vec<Arrived> = (0..BURST).map(|_| rig.counter.next()).collect();
    for mut bump in out.into_iter() {
        bump.say("busy\r\n");
    }
    (0..BURST).for_each(|_| rig.next_request().1.serve("fine"));
    for other in &mut others {
        assert_eq!(other.read(), "fine");
    }
    (100..103).for_each(asked_for);
}

/// Guards against refused charges that stay in the totals and empty the stores of all gateways.
#[test]
fn the_charge_of_a_request_that_the_total_refused_is_taken_back_at_once() {
    within_a_window(|| {
        let rig = Rig::with_config(1, roomy);
        let mut client = rig.gateway.client();
        client.send(&words(&call(1, "safe", "paid", 60, 8000)));
        let mut bump = rig.counter.next();
        bump.say("ok 5000\r\n");
        assert!(client.read().starts_with("-BUSY"));
        // In a window that is over nothing is taken back.
        let back = rig.counter.within(Duration::from_secs(5))?;
        assert_eq!((&back.words[1], back.words[2].as_str()), (&bump.words[1], "-60"));
        Some(())
    });
}

#[test]
fn requests_pass_by_the_store_alone_while_the_counter_refuses_connections() {
    let (_held, gone) = refusing();
    let rig = Rig::with_config(1, |config| {
        roomy(config);
        config["counter"] = json!(gone.to_string());
    });
    let mut client = rig.gateway.client();
    for id in 1..4 {
        client.send(&words(&call(id, "safe", "paid", 60, 8000)));
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
    }
}
