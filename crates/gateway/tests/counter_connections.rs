//! The built gateway and connections to the counter that fall silent one by one.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::collections::HashSet;
use std::thread::sleep;
use std::time::Duration;

use gateway_rig::*;
use serde_json::json;

/// Requests on one connection of a client, and such connections.
const EACH: u64 = 10;
const CLIENTS: u64 = 4;

/// Sends one request each for customers that were never seen before, all at once.
fn wave(clients: &mut [Client], first: u64) {
    for (i, client) in (0..).zip(clients) {
        for id in first + i * EACH..first + (i + 1) * EACH {
            let mut words = call(id, "safe", "paid", 60, 60_000);
            words[1] = format!("{id:016x}");
            client.send(&gateway_rig::words(&words));
        }
    }
}

/// Has the backend serve all of a wave, and the clients read it.
fn served(rig: &Rig, clients: &mut [Client]) {
    let all = EACH * clients.len() as u64;
    (0..all).for_each(|_| rig.next_request().1.serve("fine"));
    for client in clients {
        (0..EACH).for_each(|_| assert_eq!(client.read(), "fine"));
    }
}

/// Guards against calls behind a connection that fell silent, which fail one by one until hardly any is made,
/// though the counter answers on all others.
#[test]
fn one_silent_connection_is_replaced_and_no_call_is_left_out_for_it() {
    // Long enough that what is answered is answered in time, however slow the machine.
    let wait = Duration::from_millis(2_000);
    let rig = Rig::with_config(1, |config| {
        roomy(config);
        config["settings"]["family-info"]["count-wait-ms"] = json!(wait.as_millis() as f64);
        config["settings"]["profiles"][0]["aim-ms"] = json!(40_000.0);
        config["settings"]["profiles"][0]["deadline-ms"] = json!(60_000.0);
    });
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| rig.gateway.client()).collect();
    let calls = || -> Vec<Arrived> { (0..EACH * CLIENTS).map(|_| rig.counter.next()).collect() };
    wave(&mut clients, 100);
    let mut first = calls();
    for bump in &mut first {
        bump.say("ok 60\r\n");
    }
    served(&rig, &mut clients);
    let silent = first[0].connection;
    assert_eq!(first.iter().map(|bump| bump.connection).collect::<HashSet<_>>().len(), 4);

    wave(&mut clients, 200);
    let mut out = calls();
    // The others are heard well after the calls were made.
    sleep(wait / 3);
    let (unheard, answered): (Vec<_>, Vec<_>) = out.iter_mut().partition(|b| b.connection == silent);
    assert!(!unheard.is_empty() && !answered.is_empty());
    for bump in answered.into_iter() {
        bump.say("ok 60\r\n");
    }
    served(&rig, &mut clients);

    // Each calls as before, and none on the silent one.
    wave(&mut clients, 300);
    let mut last = calls();
    assert!(last.iter().all(|bump| bump.connection != silent));
    for bump in &mut last {
        bump.say("ok 60\r\n");
    }
    served(&rig, &mut clients);
    first[0].closed();
}
