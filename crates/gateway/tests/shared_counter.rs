//! How the built gateway handles failures of the shared counter, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::Duration;

use gateway_rig::*;
use serde_json::json;

/// Wait that exceeds the gateway's backoff after one broken connection to the counter.
const COUNTER_BACKOFF_WAIT: Duration = Duration::from_millis(300);

/// Wait that exceeds the time for which the gateway keeps a silent connection to the counter, if counter
/// calls time out after 30 ms.
const SILENT_CONNECTION_WAIT: Duration = Duration::from_millis(400);

/// Serves requests until one leads to a counter call, and returns that call. While calls fail, the gateway
/// skips some at random.
fn serve_until_counter_call(rig: &Rig, client: &mut Client) -> IncomingMessage {
    for id in 100..150 {
        client.send(&as_strs(&request_args(id, "safe", "paid", 60, 8000)));
        let all: Vec<&StandIn> = rig.backends.iter().chain([&rig.counter]).collect();
        let (index, mut arrived) = next_from_any(&all);
        if index == rig.backends.len() {
            return arrived;
        }
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
    }
    panic!("no counter call");
}

/// Runs a scenario that needs two counter calls with the same key. Keys contain a window of the wall clock.
/// If it ends between the calls, the scenario returns `None` and is repeated; the next window lasts 30 s.
fn within_one_window(scenario: impl Fn() -> Option<()>) {
    assert!((0..3).any(|_| scenario().is_some()), "no two counter calls had the same key");
}

#[test]
fn silent_counter_delays_nothing_and_late_answer_is_ignored() {
    within_one_window(|| {
        let rig = Rig::with_config(1, set_large_burst);
        let mut client = rig.gateway.client();
        client.send(&as_strs(&request_args(1, "safe", "paid", 60, 8000)));
        let mut late = rig.counter.next();
        // No answer in time: the token bucket decides alone.
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        let mut counter_call = serve_until_counter_call(&rig, &mut client);
        if late.words[1] != counter_call.words[1] {
            return None;
        }
        assert_eq!(late.connection, counter_call.connection);
        late.reply("ok 5000\r\n");
        counter_call.reply("ok 180\r\n");
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        Some(())
    });
}

#[test]
fn silent_counter_connection_is_replaced() {
    within_one_window(|| {
        let rig = Rig::with_config(1, |config| {
            set_large_burst(config);
            config["settings"]["family-info"]["count-wait-ms"] = json!(30.0);
        });
        let mut client = rig.gateway.client();
        client.send(&as_strs(&request_args(1, "safe", "paid", 60, 8000)));
        let silent = rig.counter.next();
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        sleep(SILENT_CONNECTION_WAIT);
        // Calls made now queue behind the unanswered one.
        for id in 2..6 {
            client.send(&as_strs(&request_args(id, "safe", "paid", 60, 8000)));
            rig.next_request().1.serve("fine");
            assert_eq!(client.read(), "fine");
        }
        while let Some(counter_call) = rig.counter.try_next() {
            if counter_call.words[1] != silent.words[1] {
                return None;
            }
        }
        silent.wait_until_closed();
        sleep(COUNTER_BACKOFF_WAIT);
        assert_ne!(serve_until_counter_call(&rig, &mut client).connection, silent.connection);
        Some(())
    });
}

#[test]
fn charge_rejected_by_busy_counter_is_sent_again() {
    let rig = Rig::with_config(1, set_large_burst);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "paid", 60, 8000)));
    rig.counter.next().reply("busy\r\n");
    rig.next_request().1.serve("fine");
    assert_eq!(client.read(), "fine");
    let amount: f64 = serve_until_counter_call(&rig, &mut client).words[2].parse().expect("number");
    assert!(amount >= 120.0, "{amount}");
}

#[test]
fn charge_with_unknown_result_is_not_sent_again() {
    // A connection that breaks after the call, malformed answers, and an answer that is never completed.
    for answer in ["", "ok NaN\r\n", "ok 1x\r\n", "oo"] {
        let rig = Rig::with_config(1, set_large_burst);
        let mut client = rig.gateway.client();
        // The first call is answered, so the counter has responded before the failure.
        client.send(&as_strs(&request_args(1, "safe", "paid", 60, 8000)));
        rig.counter.next().reply("ok 60\r\n");
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        client.send(&as_strs(&request_args(2, "safe", "paid", 60, 8000)));
        let mut counter_call = rig.counter.next();
        counter_call.reply(answer);
        if answer.is_empty() {
            counter_call.close();
        }
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
        counter_call.wait_until_closed();
        // Each request makes a call as before, on a new connection: nothing indicates a busy counter.
        client.send(&as_strs(&request_args(3, "safe", "paid", 60, 8000)));
        let next = rig.counter.next();
        assert_ne!(next.connection, counter_call.connection, "{answer:?}");
        let amount: f64 = next.words[2].parse().expect("number");
        assert!(amount < 120.0, "{answer:?}: {amount}");
    }
}

/// Returns a request for 60 units by the given customer.
fn call_for_customer(customer: u64, id: u64) -> Vec<String> {
    let mut words = request_args(id, "safe", "paid", 60, 8000);
    words[1] = format!("{customer:016x}");
    words
}

/// Guards against counting every rejection of one burst as a separate reason to make fewer counter calls.
/// Requests of customers near their quota would then be rejected or admitted without a call.
#[test]
fn burst_rejected_by_counter_reduces_calls_only_once() {
    const BURST: u64 = 8;
    let rig = Rig::with_config(1, set_large_burst);
    let mut client = rig.gateway.client();
    let mut serve_counted = |id| {
        client.send(&as_strs(&call_for_customer(1, id)));
        let mut counter_call = rig.counter.next();
        let amount = counter_call.words[2].clone();
        counter_call.reply(&format!("ok {amount}\r\n"));
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
    };
    // The totals show that this customer exceeds its rate.
    serve_counted(1);
    serve_counted(2);
    let mut others: Vec<Client> = (0..BURST).map(|_| rig.gateway.client()).collect();
    for (customer, other) in (10..).zip(&mut others) {
        other.send(&as_strs(&call_for_customer(customer, customer)));
    }
    let pending: Vec<IncomingMessage> = (0..BURST).map(|_| rig.counter.next()).collect();
    for mut counter_call in pending.into_iter() {
        counter_call.reply("busy\r\n");
    }
    (0..BURST).for_each(|_| rig.next_request().1.serve("fine"));
    for other in &mut others {
        assert_eq!(other.read(), "fine");
    }
    (100..103).for_each(serve_counted);
}

/// Guards against charges of rejected requests that stay in the totals and empty the token buckets of all
/// gateways.
#[test]
fn charge_of_rejected_request_is_reversed_at_once() {
    within_one_window(|| {
        let rig = Rig::with_config(1, set_large_burst);
        let mut client = rig.gateway.client();
        client.send(&as_strs(&request_args(1, "safe", "paid", 60, 8000)));
        let mut counter_call = rig.counter.next();
        counter_call.reply("ok 5000\r\n");
        assert!(client.read().starts_with("-BUSY"));
        // Without a reversal the window ended in between, and the scenario is repeated.
        let reversal = rig.counter.next_within(Duration::from_secs(5))?;
        assert_eq!((&reversal.words[1], reversal.words[2].as_str()), (&counter_call.words[1], "-60"));
        Some(())
    });
}

#[test]
fn requests_pass_on_token_bucket_while_counter_refuses_connections() {
    let (_held, refusing_address) = refusing_address();
    let rig = Rig::with_config(1, |config| {
        set_large_burst(config);
        config["counter"] = json!(refusing_address.to_string());
    });
    let mut client = rig.gateway.client();
    for id in 1..4 {
        client.send(&as_strs(&request_args(id, "safe", "paid", 60, 8000)));
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
    }
}
