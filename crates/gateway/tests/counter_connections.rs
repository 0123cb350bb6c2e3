//! The built gateway with one silent connection among several to the shared counter.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::collections::HashSet;
use std::thread::sleep;
use std::time::Duration;

use gateway_rig::*;
use serde_json::json;

/// Number of client connections, with one request each at a time.
const CLIENTS: u64 = 40;

/// Sends one request each for new customers on all connections, without waiting for answers. The IDs of the
/// requests and customers start at `first`.
fn send_requests(clients: &mut [Client], first: u64) {
    for (id, client) in (first..).zip(clients) {
        let mut words = request_args(id, "safe", "paid", 60, 60_000);
        words[1] = format!("{id:016x}");
        client.send(&gateway_rig::as_strs(&words));
    }
}

/// Lets the backend serve the requests of one [`send_requests`] call, and the clients read the values.
fn serve_all(rig: &Rig, clients: &mut [Client]) {
    for _ in 0..clients.len() {
        rig.next_request().1.serve("fine");
    }
    for client in clients {
        assert_eq!(client.read(), "fine");
    }
}

/// Guards against calls that queue behind a silent connection and time out one after another, until the
/// gateway makes hardly any call although the counter answers on all other connections.
#[test]
fn silent_counter_connection_is_replaced_without_skipped_calls() {
    // Long enough for each answer to arrive in time even on a slow machine.
    let wait = Duration::from_millis(2_000);
    let rig = Rig::with_config(1, |config| {
        set_large_burst(config);
        config["settings"]["family-info"]["count-wait-ms"] = json!(wait.as_millis() as f64);
        config["settings"]["profiles"][0]["aim-ms"] = json!(40_000.0);
        config["settings"]["profiles"][0]["deadline-ms"] = json!(60_000.0);
    });
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| rig.gateway.client()).collect();
    let take_calls = || -> Vec<IncomingMessage> { (0..CLIENTS).map(|_| rig.counter.next()).collect() };
    send_requests(&mut clients, 100);
    let mut first = take_calls();
    for counter_call in &mut first {
        counter_call.reply("ok 60\r\n");
    }
    serve_all(&rig, &mut clients);
    let silent = first[0].connection;
    assert_eq!(first.iter().map(|counter_call| counter_call.connection).collect::<HashSet<_>>().len(), 4);

    send_requests(&mut clients, 200);
    let mut pending = take_calls();
    // The other connections answer well after the calls were made.
    sleep(wait / 3);
    let (unanswered, answered): (Vec<_>, Vec<_>) =
        pending.iter_mut().partition(|call| call.connection == silent);
    assert!(!unanswered.is_empty() && !answered.is_empty());
    for counter_call in answered.into_iter() {
        counter_call.reply("ok 60\r\n");
    }
    serve_all(&rig, &mut clients);

    // Each request makes a call as before, none of them on the silent connection.
    send_requests(&mut clients, 300);
    let mut last = take_calls();
    assert!(last.iter().all(|counter_call| counter_call.connection != silent));
    for counter_call in &mut last {
        counter_call.reply("ok 60\r\n");
    }
    serve_all(&rig, &mut clients);
    first[0].wait_until_closed();
}
