//! Basic operation of the built gateway on loopback sockets: requests, the endpoint list and configuration
//! errors.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::Duration;

use gateway_rig::*;
use serde_json::json;

#[test]
fn request_is_forwarded_unchanged_except_for_deadline() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    let request = request_args(7, "keyed", "free", 2, 7000);
    client.send(&as_strs(&request));
    let (_, mut arrived) = rig.next_request();
    let wait = deadline_ms_of(&arrived.words[3]);
    assert!((1..7000).contains(&wait), "{wait}");
    let restored = arrived.words[3].replace(&format!("d={wait},"), "d=7000,");
    assert_eq!(arrived.words[..3], request[..3]);
    assert_eq!((restored, &arrived.words[4]), (request[3].clone(), &request[4]));
    arrived.serve("a value");
    assert_eq!(client.read(), "a value");
}

#[test]
fn pipelined_commands_are_answered_in_order() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    let all: Vec<u8> = [1, 2, 3]
        .iter()
        .flat_map(|i| command(&as_strs(&request_args(*i, "safe", "free", 1, 8000))))
        .collect();
    client.write(&[all, command(&["PING"])].concat());
    for id in 1..=3 {
        let (_, mut arrived) = rig.next_request();
        assert_eq!(arrived.words[2], format!("{id:016x}"));
        // The next one is forwarded only when this one is answered.
        assert!(rig.backends_idle());
        arrived.serve(&format!("{id:016x}"));
    }
    let answers: Vec<String> = (0..4).map(|_| client.read()).collect();
    assert_eq!(
        answers,
        [format!("{:016x}", 1), format!("{:016x}", 2), format!("{:016x}", 3), "+PONG".into()]
    );
}

#[test]
fn customer_over_quota_is_rejected_with_retry_time() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "paid", 4, 8000)));
    let mut counter_call = rig.counter.next();
    assert_eq!(counter_call.words[0], "bump");
    assert_eq!(counter_call.words[2], "4");
    // Other gateways have charged more than the token bucket holds plus a whole window's refill.
    counter_call.reply("ok 100\r\n");
    let answer = client.read();
    let ms: u32 =
        answer.strip_prefix("-BUSY ").expect("rejection with a retry time").parse().expect("number");
    assert!((1..=2000).contains(&ms), "{ms}");
    assert!(rig.backends_idle(), "a rejected request was sent to a backend");
}

#[test]
fn draining_backend_only_finishes_open_requests() {
    let rig = Rig::with_two_backends();
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (drained, mut held) = rig.next_request();
    let draining = endpoint(&format!("s-{drained}"), rig.backends[drained].address, 1, "DRAINING", 0.0);
    rig.agent.deliver(&list(42, false, &[draining]));
    let mut other = rig.gateway.client();
    for id in 2..12 {
        assert_ne!(rig.serve_one(&mut other, id).0, drained);
    }
    held.serve("finished");
    assert_eq!(client.read(), "finished");
    let calls = rig.agent.calls();
    // Each call asks only for changes after the version that the gateway has.
    assert!(calls[0].contains("after=1&wait_ms="), "{calls:?}");
    assert!(calls[1].contains("after=41&wait_ms="), "{calls:?}");
    assert!(calls[2].contains("after=42&wait_ms="), "{calls:?}");
}

/// Guards against a fleet that requests the snapshot again and again while discovery rejects its calls.
#[test]
fn rejected_discovery_call_is_repeated_from_current_version() {
    let rig = Rig::with_config(2, |_| {});
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    for _ in 0..3 {
        let before = rig.agent.calls().len();
        rig.agent.queue_answer(SERVICE_UNAVAILABLE);
        rig.agent.wait_for_calls(before + 1);
    }
    let calls = rig.agent.calls();
    assert!(calls[1..].iter().all(|call| call.contains("after=41&wait_ms=")), "{calls:?}");
    // The list stays in force meanwhile, and later updates are applied.
    rig.agent.deliver(&list(42, false, &[endpoint("s-0", rig.backends[0].address, 1, "DELETED", 0.0)]));
    let mut client = rig.gateway.client();
    for id in 1..6 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}

/// Guards against applying a delta of a restarted discovery agent to the list from before its restart.
#[test]
fn version_regression_triggers_snapshot_request() {
    let rig = Rig::with_config(2, |_| {});
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    let deleted = endpoint("s-1", rig.backends[1].address, 1, "DELETED", 0.0);
    rig.agent.deliver(&list(3, false, &[deleted]));
    let calls = rig.agent.calls();
    assert!(calls.last().is_some_and(|call| call.contains("/discovery/hosts HTTP")), "{calls:?}");
    // The delta, which belongs to another list, is not applied; the snapshot is.
    rig.agent.deliver(&list(3, true, &[serving(1, &rig.backends[1])]));
    let mut client = rig.gateway.client();
    for id in 1..6 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}

#[test]
fn deleted_or_unlisted_backends_get_no_requests() {
    let rig = Rig::with_config(3, |_| {});
    let deleted = endpoint("s-0", rig.backends[0].address, 1, "DELETED", 0.0);
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    rig.agent.deliver(&list(42, false, &[deleted]));
    let mut client = rig.gateway.client();
    for id in 0..10 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}

#[test]
fn attempt_connecting_when_backend_drains_is_not_written() {
    // The accept queue of this backend is full, so the gateway's connection waits.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let slow = runtime.block_on(async {
        refusing_address().0.listen(1).expect("listen").into_std().expect("convert the listener")
    });
    slow.set_nonblocking(false).expect("set the listener blocking");
    let address = slow.local_addr().expect("socket address");
    let fillers: Vec<_> =
        (0..2).map(|_| std::net::TcpStream::connect(address).expect("space in the accept queue")).collect();
    let only = [endpoint("s-0", address, 1, "SERVING", 0.0)];
    let rig = Rig::with_config(1, |config| config["known"]["endpoints"] = json!(only));
    rig.send_snapshot(&only);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "unsafe", "free", 1, 8000)));
    // The gateway handles these updates after the request, so the request has been accepted.
    rig.agent.deliver(&list(42, false, &[endpoint("s-1", rig.backends[0].address, 1, "SERVING", 0.0)]));
    rig.agent.deliver(&list(43, false, &[endpoint("s-0", address, 1, "DRAINING", 0.0)]));
    let slow = StandIn::backend_on(slow);
    let (_, mut arrived) = rig.next_request();
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    drop(fillers);
    assert!(slow.idle(), "request written to a draining backend");
}

#[test]
fn malformed_discovery_responses_are_ignored() {
    let rig = Rig::with_config(1, |_| {});
    rig.agent.queue_answer("{\"index\": 4");
    rig.agent.queue_answer(&list(5, true, &[json!({"name": "s-0"})]).to_string());
    rig.agent.wait_for_calls(3);
    rig.serve_one(&mut rig.gateway.client(), 1);
}

#[test]
fn configuration_error_is_reported_in_one_line() {
    let address = "127.0.0.1:9".parse().expect("socket address");
    let good = config(address, address, &[]);
    let mut cases = vec![("{".to_string(), "not JSON")];
    for key in ["listen", "discovery", "counter", "seed", "known", "settings", "limits"] {
        let mut bad = good.clone();
        bad.as_object_mut().expect("JSON object").remove(key);
        cases.push((bad.to_string(), key));
    }
    for (key, wrong) in
        [("listen", json!("here")), ("seed", json!("xyz")), ("known", json!([])), ("counter", json!(7))]
    {
        let mut bad = good.clone();
        bad[key] = wrong;
        cases.push((bad.to_string(), key));
    }
    let mut bad = good.clone();
    bad["settings"]["profiles"][1]["aim-ms"] = json!("long");
    cases.push((bad.to_string(), "profiles[1].aim-ms"));
    for (text, field) in cases {
        let (child, _file) = spawn_gateway(&text);
        let output = child.wait_with_output().expect("wait for the gateway to exit");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{field}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains(field), "{field}: {stderr}");
    }
}

/// Guards against a finished request that removes a timer by the key of its own expired timer, when the key
/// has been reused for the timer of another request.
#[test]
fn finished_request_does_not_cancel_timer_of_another() {
    let rig = Rig::with_config(2, |config| {
        set_large_burst(config);
        config["settings"]["policy-limits"]["second-copies"] = json!(true);
        config["settings"]["profiles"][0]["aim-ms"] = json!(8000.0);
    });
    let send_request = |id, plan| {
        let mut client = rig.gateway.client();
        client.send(&as_strs(&request_args(id, "safe", plan, 60, 30_000)));
        client
    };
    // The timers of the counter calls expire while the attempts are in flight.
    let counted: Vec<(Client, IncomingMessage)> = (1..4)
        .map(|id| {
            let client = send_request(id, "paid");
            rig.counter.next().reply(&format!("ok {}\r\n", id * 60));
            (client, rig.next_request().1)
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    let slow = send_request(10, "free");
    let (first, _) = rig.next_request();
    for (mut client, mut arrived) in counted {
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
    }
    // After a while the slow request is hedged: a second copy goes to the other backend.
    let name = format!("{:016x}", 10);
    let hedge = std::iter::repeat_with(|| rig.next_request())
        .find(|(_, a)| a.words[2] == name)
        .expect("hedge arrives");
    assert_ne!(hedge.0, first);
    drop(slow);
}
