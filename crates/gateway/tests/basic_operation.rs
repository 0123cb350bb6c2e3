//! The built gateway on loopback sockets: the ordinary paths, the list of backends, the configuration.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::Duration;

use gateway_rig::*;
use serde_json::json;

#[test]
fn a_request_is_served_with_the_value_and_goes_on_unchanged_but_for_the_wait() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    let asked = call(7, "keyed", "free", 2, 7000);
    client.send(&words(&asked));
    let (_, mut arrived) = rig.next_request();
    let wait = wait_of(&arrived.words[3]);
    assert!((1..7000).contains(&wait), "{wait}");
    let restored = arrived.words[3].replace(&format!("d={wait},"), "d=7000,");
    assert_eq!(arrived.words[..3], asked[..3]);
    assert_eq!((restored, &arrived.words[4]), (asked[3].clone(), &asked[4]));
    arrived.serve("a value");
    assert_eq!(client.read(), "a value");
}

#[test]
fn answers_of_pipelined_commands_come_in_their_order() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    let all: Vec<u8> =
        [1, 2, 3].iter().flat_map(|i| command(&words(&call(*i, "safe", "free", 1, 8000)))).collect();
    client.write(&[all, command(&["PING"])].concat());
    let mut arrived: Vec<Arrived> = (0..3).map(|_| rig.next_request().1).collect();
    arrived.sort_by_key(|a| std::cmp::Reverse(a.words[2].clone()));
    for a in &mut arrived {
        let id = a.words[2].clone();
        a.serve(&id);
    }
    let said: Vec<String> = (0..4).map(|_| client.read()).collect();
    assert_eq!(said, [format!("{:016x}", 1), format!("{:016x}", 2), format!("{:016x}", 3), "+PONG".into()]);
}

#[test]
fn a_customer_beyond_its_quota_is_refused_at_once_and_told_when_to_come_again() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "paid", 4, 8000)));
    let mut bump = rig.counter.next();
    assert_eq!(bump.words[0], "bump");
    assert_eq!(bump.words[2], "4");
    // Others have spent more than the store holds and a whole window fills.
    bump.say("ok 100\r\n");
    let said = client.read();
    let ms: u32 = said.strip_prefix("-BUSY ").expect("rejection with a retry time").parse().expect("number");
    assert!((1..=2000).contains(&ms), "{ms}");
    assert!(rig.backends_idle(), "a refused request went to a backend");
}

#[test]
fn a_draining_backend_gets_nothing_new_but_finishes_what_it_has() {
    let rig = Rig::with_two_backends();
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (drained, mut held) = rig.next_request();
    let draining = endpoint(&format!("s-{drained}"), rig.backends[drained].address, 1, "DRAINING", 0.0);
    rig.agent.tell(&list(42, false, &[draining]));
    let mut other = rig.gateway.client();
    for id in 2..12 {
        assert_ne!(rig.serve_one(&mut other, id).0, drained);
    }
    held.serve("finished");
    assert_eq!(client.read(), "finished");
    let calls = rig.agent.calls();
    // What it knows already is not asked for again.
    assert!(calls[0].contains("after=1&wait_ms="), "{calls:?}");
    assert!(calls[1].contains("after=41&wait_ms="), "{calls:?}");
    assert!(calls[2].contains("after=42&wait_ms="), "{calls:?}");
}

/// A fleet that is turned away must not ask for the whole list, over and over.
#[test]
fn a_discovery_that_turns_calls_away_is_asked_again_from_the_version_held() {
    let rig = Rig::with_config(2, |_| {});
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    for _ in 0..3 {
        let before = rig.agent.calls().len();
        rig.agent.answer(TURNED_AWAY);
        rig.agent.asked(before + 1);
    }
    let calls = rig.agent.calls();
    assert!(calls[1..].iter().all(|call| call.contains("after=41&wait_ms=")), "{calls:?}");
    // The list stays in force meanwhile, and news is taken in when it comes.
    rig.agent.tell(&list(42, false, &[endpoint("s-0", rig.backends[0].address, 1, "DELETED", 0.0)]));
    let mut client = rig.gateway.client();
    for id in 1..6 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}

/// Guards against a discovery that began anew, whose changes are read as those of the list held.
#[test]
fn a_version_that_goes_back_has_the_whole_list_asked_for() {
    let rig = Rig::with_config(2, |_| {});
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    let gone = endpoint("s-1", rig.backends[1].address, 1, "DELETED", 0.0);
    rig.agent.tell(&list(3, false, &[gone]));
    let calls = rig.agent.calls();
    assert!(calls.last().is_some_and(|call| call.contains("/discovery/hosts HTTP")), "{calls:?}");
    // What that change said of another list is not in force; the whole list is.
    rig.agent.tell(&list(3, true, &[serving(1, &rig.backends[1])]));
    let mut client = rig.gateway.client();
    for id in 1..6 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}

#[test]
fn deleted_backends_and_those_a_whole_list_leaves_out_get_nothing() {
    let rig = Rig::with_config(3, |_| {});
    let gone = endpoint("s-0", rig.backends[0].address, 1, "DELETED", 0.0);
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    rig.agent.tell(&list(42, false, &[gone]));
    let mut client = rig.gateway.client();
    for id in 0..10 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}

#[test]
fn an_attempt_still_connecting_when_its_backend_drains_is_never_written() {
    // A backend whose line of connections is full: the gateway's waits.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let slow =
        runtime.block_on(async { refusing().0.listen(1).expect("listen").into_std().expect("listener") });
    slow.set_nonblocking(false).expect("set the listener blocking");
    let address = slow.local_addr().expect("socket address");
    let fillers: Vec<_> =
        (0..2).map(|_| std::net::TcpStream::connect(address).expect("space in the accept queue")).collect();
    let only = [endpoint("s-0", address, 1, "SERVING", 0.0)];
    let rig = Rig::with_config(1, |config| config["known"]["endpoints"] = json!(only));
    rig.send_snapshot(&only);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 8000)));
    // Behind the request on the same connection, so it was taken in.
    rig.agent.tell(&list(42, false, &[endpoint("s-1", rig.backends[0].address, 1, "SERVING", 0.0)]));
    rig.agent.tell(&list(43, false, &[endpoint("s-0", address, 1, "DRAINING", 0.0)]));
    let slow = StandIn::backend_on(slow);
    let (_, mut arrived) = rig.next_request();
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    drop(fillers);
    assert!(slow.idle(), "written to a backend that drains");
}

#[test]
fn odd_answers_of_discovery_are_passed_over() {
    let rig = Rig::with_config(1, |_| {});
    rig.agent.answer("{\"index\": 4");
    rig.agent.answer(&list(5, true, &[json!({"name": "s-0"})]).to_string());
    rig.agent.asked(3);
    rig.serve_one(&mut rig.gateway.client(), 1);
}

#[test]
fn a_bad_configuration_is_named_in_one_line() {
    let some = "127.0.0.1:9".parse().expect("socket address");
    let good = config(some, some, &[]);
    let mut cases = vec![("{".to_string(), "not JSON")];
    for key in ["listen", "discovery", "counter", "seed", "known", "settings", "limits"] {
        let mut bad = good.clone();
        bad.as_object_mut().expect("JSON object").remove(key);
        cases.push((bad.to_string(), key));
    }
    for (key, odd) in
        [("listen", json!("here")), ("seed", json!("xyz")), ("known", json!([])), ("counter", json!(7))]
    {
        let mut bad = good.clone();
        bad[key] = odd;
        cases.push((bad.to_string(), key));
    }
    let mut bad = good.clone();
    bad["settings"]["profiles"][1]["aim-ms"] = json!("long");
    cases.push((bad.to_string(), "profiles[1].aim-ms"));
    for (text, field) in cases {
        let (child, _file) = spawn_gateway(&text);
        let output = child.wait_with_output().expect("wait for the gateway to exit");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{field}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(field), "{field}: {said}");
    }
}

/// Guards against the key of a timer that rang, which another timer has by now, taken out with its request.
#[test]
fn a_request_that_ends_silences_no_timer_of_another() {
    let rig = Rig::with_config(2, |config| {
        roomy(config);
        config["settings"]["policy-limits"]["second-copies"] = json!(true);
        config["settings"]["profiles"][0]["aim-ms"] = json!(8000.0);
    });
    let ask = |id, plan| {
        let mut client = rig.gateway.client();
        client.send(&words(&call(id, "safe", plan, 60, 30_000)));
        client
    };
    // The timers on their calls ring while their attempts are out.
    let counted: Vec<(Client, Arrived)> = (1..4)
        .map(|id| {
            let client = ask(id, "paid");
            rig.counter.next().say(&format!("ok {}\r\n", id * 60));
            (client, rig.next_request().1)
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    let slow = ask(10, "free");
    let (first, _) = rig.next_request();
    for (mut client, mut arrived) in counted {
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
    }
    // It is overdue after a while, and a second copy goes to the other backend.
    let name = format!("{:016x}", 10);
    let copy =
        std::iter::repeat_with(|| rig.next_request()).find(|(_, a)| a.words[2] == name).expect("comes");
    assert_ne!(copy.0, first);
    drop(slow);
}
