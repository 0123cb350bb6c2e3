//! The built gateway on loopback sockets: the ordinary paths, and one test for each danger.

#[path = "support/net.rs"]
mod net;

use std::thread::sleep;
use std::time::Duration;

use net::*;
use serde_json::{json, Value};

/// A gateway with its stand-ins; discovery is silent unless a test tells something.
struct Rig {
    gateway: Gateway,
    agent: Agent,
    counter: StandIn,
    backends: Vec<StandIn>,
}

impl Rig {
    /// Two backends of one cell.
    fn new() -> Rig {
        Rig::with(2, |_| {})
    }

    fn with(backends: usize, change: impl FnOnce(&mut Value)) -> Rig {
        let (agent, counter) = (Agent::start(), StandIn::counter());
        let backends: Vec<StandIn> = (0..backends).map(|_| StandIn::backend()).collect();
        let known: Vec<Value> = (0..).zip(&backends).map(|(i, b)| serving(i, b)).collect();
        let mut config = config(agent.address, counter.address, &known);
        change(&mut config);
        Rig { gateway: Gateway::start(&config), agent, counter, backends }
    }

    fn next(&self) -> (usize, Arrived) {
        next_of(&self.backends.iter().collect::<Vec<_>>())
    }

    fn idle(&self) -> bool {
        self.backends.iter().all(StandIn::idle)
    }

    /// Tells the whole list, so that watches follow.
    fn told(&self, endpoints: &[Value]) {
        self.agent.tell(&list(41, true, endpoints));
    }

    /// Sends a request through and serves it.
    fn serve_one(&self, client: &mut Client, id: u64) -> (usize, Arrived) {
        client.send(&words(&call(id, "safe", "free", 1, 8000)));
        let (place, mut arrived) = self.next();
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        (place, arrived)
    }
}

fn serving(i: usize, backend: &StandIn) -> Value {
    endpoint(&format!("s-{i}"), backend.address, 1, "SERVING", 0.0)
}

fn wait_of(terms: &str) -> u32 {
    let wait = terms.split(',').find_map(|t| t.strip_prefix("d=")).expect("d");
    wait.parse().expect("a whole number")
}

#[test]
fn a_request_is_served_with_the_value_and_goes_on_unchanged_but_for_the_wait() {
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    let asked = call(7, "keyed", "free", 2, 7000);
    client.send(&words(&asked));
    let (_, mut arrived) = rig.next();
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
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    let all: Vec<u8> =
        [1, 2, 3].iter().flat_map(|i| command(&words(&call(*i, "safe", "free", 1, 8000)))).collect();
    client.write(&[all, command(&["PING"])].concat());
    let mut arrived: Vec<Arrived> = (0..3).map(|_| rig.next().1).collect();
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
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "paid", 4, 8000)));
    let mut bump = rig.counter.next();
    assert_eq!(bump.words[0], "bump");
    assert_eq!(bump.words[2], "4");
    // Others have spent more than the store holds and a whole window fills.
    bump.say("ok 100\r\n");
    let said = client.read();
    let ms: u32 = said.strip_prefix("-BUSY ").expect("a refusal with advice").parse().expect("a number");
    assert!((1..=2000).contains(&ms), "{ms}");
    assert!(rig.idle(), "a refused request went to a backend");
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 8000)));
    rig.next().1.say("-ERR failed used=0,cost=2\r\n");
    assert!(client.read().starts_with("-ERR"));
    client.send(&words(&call(2, "unsafe", "free", 1, 8000)));
    // Read whole, then the connection ends.
    rig.next().1.close();
    assert!(client.read().starts_with("-ERR"));
    assert!(rig.idle(), "it went out a second time");
}

#[test]
fn what_a_backend_turned_away_unseen_goes_to_another() {
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 8000)));
    let (first, mut arrived) = rig.next();
    arrived.say("-BUSY\r\n");
    let (second, mut arrived) = rig.next();
    assert_ne!(first, second);
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn a_refused_connection_never_ran_and_the_request_goes_to_another_backend() {
    let (_held, gone) = refusing();
    let rig = Rig::with(1, |config| {
        let known = config["known"]["endpoints"].as_array_mut().expect("a list");
        known.push(endpoint("s-9", gone, 1, "SERVING", 0.0));
    });
    let mut client = rig.gateway.client();
    for id in 1..=6 {
        client.send(&words(&call(id, "unsafe", "free", 1, 8000)));
        rig.next().1.serve("fine");
        assert_eq!(client.read(), "fine");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_sent_again_within_its_cell_only() {
    let rig = Rig::with(3, |config| config["known"]["endpoints"][2]["group"] = json!(2));
    let mut client = rig.gateway.client();
    for id in 1..=8 {
        client.send(&words(&call(id, "keyed", "free", 1, 8000)));
        let (first, arrived) = rig.next();
        arrived.close();
        if first == 2 {
            // No other backend remembers it.
            assert!(client.read().starts_with("-ERR"));
        } else {
            let (second, mut arrived) = rig.next();
            assert_ne!(second, 2, "sent to a backend that does not know the key");
            arrived.serve("fine");
            assert_eq!(client.read(), "fine");
        }
    }
}

#[test]
fn a_silent_backend_costs_a_request_its_time_and_no_more() {
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 1500)));
    let (_, arrived) = rig.next();
    assert!(client.read().starts_with("-ERR"), "no promise for what may run yet");
    // Giving up closes the connection.
    arrived.closed();
    assert!(rig.idle());
}

#[test]
fn the_attempt_of_a_client_that_left_is_given_up() {
    // Far more time than the test waits, so that no deadline ends the attempt.
    let rig = Rig::with(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 600_000)));
    let (_, arrived) = rig.next();
    drop(client);
    arrived.closed();
}

#[test]
fn connections_are_used_again_and_not_after_their_backend_closed_them() {
    let rig = Rig::with(1, |_| {});
    let mut client = rig.gateway.client();
    let (_, first) = rig.serve_one(&mut client, 1);
    let (_, second) = rig.serve_one(&mut client, 2);
    assert_eq!((first.connection, second.connection), (0, 0));
    second.close();
    // Unsafe: a write to the closed connection would be a reset that may have run.
    client.send(&words(&call(3, "unsafe", "free", 1, 8000)));
    let (_, mut third) = rig.next();
    assert_eq!(third.connection, 1);
    third.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn a_draining_backend_gets_nothing_new_but_finishes_what_it_has() {
    let rig = Rig::new();
    rig.told(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (drained, mut held) = rig.next();
    let draining = endpoint(&format!("s-{drained}"), rig.backends[drained].address, 1, "DRAINING", 0.0);
    rig.agent.tell(&list(42, false, &[draining]));
    let mut other = rig.gateway.client();
    for id in 2..12 {
        assert_ne!(rig.serve_one(&mut other, id).0, drained);
    }
    held.serve("finished");
    assert_eq!(client.read(), "finished");
    let calls = rig.agent.calls();
    assert!(calls[0].starts_with("GET /discovery/hosts HTTP"), "{calls:?}");
    assert!(calls[1].contains("after=41&wait_ms="), "{calls:?}");
    assert!(calls[2].contains("after=42&wait_ms="), "{calls:?}");
}

#[test]
fn deleted_backends_and_those_a_whole_list_leaves_out_get_nothing() {
    let rig = Rig::with(3, |_| {});
    let gone = endpoint("s-0", rig.backends[0].address, 1, "DELETED", 0.0);
    rig.told(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    rig.agent.tell(&list(42, false, &[gone]));
    let mut client = rig.gateway.client();
    for id in 0..10 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}

#[test]
fn an_attempt_still_connecting_when_its_backend_drains_is_never_written() {
    // A backend whose line of connections is full: the gateway's waits.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let slow =
        runtime.block_on(async { refusing().0.listen(1).expect("listens").into_std().expect("a listener") });
    slow.set_nonblocking(false).expect("a blocking listener");
    let address = slow.local_addr().expect("an address");
    let fillers: Vec<_> = (0..2).map(|_| std::net::TcpStream::connect(address).expect("room")).collect();
    let only = [endpoint("s-0", address, 1, "SERVING", 0.0)];
    let rig = Rig::with(1, |config| config["known"]["endpoints"] = json!(only));
    rig.told(&only);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 8000)));
    // Behind the request on the same connection, so it was taken in.
    rig.agent.tell(&list(42, false, &[endpoint("s-1", rig.backends[0].address, 1, "SERVING", 0.0)]));
    rig.agent.tell(&list(43, false, &[endpoint("s-0", address, 1, "DRAINING", 0.0)]));
    let slow = StandIn::backend_on(slow);
    let (_, mut arrived) = rig.next();
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    drop(fillers);
    assert!(slow.idle(), "written to a backend that drains");
}

#[test]
fn a_restarted_backend_gets_new_connections() {
    let rig = Rig::with(1, |_| {});
    rig.told(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    assert_eq!(rig.serve_one(&mut client, 1).1.connection, 0);
    rig.agent.tell(&list(42, false, &[endpoint("s-0", rig.backends[0].address, 1, "SERVING", 1000.0)]));
    assert_eq!(rig.serve_one(&mut client, 2).1.connection, 1);
}

#[test]
fn odd_answers_of_discovery_are_passed_over() {
    let rig = Rig::with(1, |_| {});
    rig.agent.answer("{\"index\": 4");
    rig.agent.answer(&list(5, true, &[json!({"name": "s-0"})]).to_string());
    rig.agent.asked(3);
    rig.serve_one(&mut rig.gateway.client(), 1);
}

#[test]
fn odd_answers_of_a_backend_are_that_attempts_failure() {
    let rig = Rig::with(1, |_| {});
    let mut client = rig.gateway.client();
    for (id, odd) in
        (1..).zip(["*1\r\n$-1\r\n", "*2\r\n:1\r\n$-1\r\n", "nonsense\r\n", "$-1\r\n", "*99999\r\n"])
    {
        client.send(&words(&call(id, "unsafe", "free", 1, 8000)));
        let (_, mut arrived) = rig.next();
        arrived.say(odd);
        assert!(client.read().starts_with("-ERR"), "{odd:?}");
        arrived.closed();
    }
}

/// A store that needs a call for each request of 60 units, and holds many.
fn roomy(config: &mut Value) {
    config["settings"]["tariffs"][1]["store-size"] = json!(1000.0);
}

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
        let rig = Rig::with(1, roomy);
        let mut client = rig.gateway.client();
        client.send(&words(&call(1, "safe", "paid", 60, 8000)));
        let mut late = rig.counter.next();
        // No answer in time: the store decides alone.
        rig.next().1.serve("fine");
        assert_eq!(client.read(), "fine");
        let mut bump = until_called(&rig, &mut client);
        if late.words[1] != bump.words[1] {
            return None;
        }
        assert_eq!(late.connection, bump.connection);
        late.say("ok 5000\r\n");
        bump.say("ok 180\r\n");
        rig.next().1.serve("fine");
        assert_eq!(client.read(), "fine");
        Some(())
    });
}

#[test]
fn a_connection_on_which_the_counter_stays_silent_is_replaced() {
    within_a_window(|| {
        let rig = Rig::with(1, |config| {
            roomy(config);
            config["settings"]["family-info"]["count-wait-ms"] = json!(30.0);
        });
        let mut client = rig.gateway.client();
        client.send(&words(&call(1, "safe", "paid", 60, 8000)));
        let silent = rig.counter.next();
        rig.next().1.serve("fine");
        assert_eq!(client.read(), "fine");
        sleep(STALLED);
        // Calls that come now find the silent one before them.
        for id in 2..6 {
            client.send(&words(&call(id, "safe", "paid", 60, 8000)));
            rig.next().1.serve("fine");
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
    let rig = Rig::with(1, roomy);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "paid", 60, 8000)));
    rig.counter.next().say("busy\r\n");
    rig.next().1.serve("fine");
    assert_eq!(client.read(), "fine");
    let amount: f64 = until_called(&rig, &mut client).words[2].parse().expect("a number");
    assert!(amount >= 120.0, "{amount}");
}

#[test]
fn what_a_counter_may_have_added_is_not_told_again() {
    // A connection that breaks after the call, and an answer that can't be read.
    for odd in ["", "ok NaN\r\n"] {
        let rig = Rig::with(1, roomy);
        let mut client = rig.gateway.client();
        client.send(&words(&call(1, "safe", "paid", 60, 8000)));
        let mut bump = rig.counter.next();
        bump.say(odd);
        bump.close();
        rig.next().1.serve("fine");
        assert_eq!(client.read(), "fine");
        sleep(KEEP_OFF);
        let amount: f64 = until_called(&rig, &mut client).words[2].parse().expect("a number");
        assert!(amount < 120.0, "{amount}");
    }
}

#[test]
fn requests_pass_by_the_store_alone_while_the_counter_refuses_connections() {
    let (_held, gone) = refusing();
    let rig = Rig::with(1, |config| {
        roomy(config);
        config["counter"] = json!(gone.to_string());
    });
    let mut client = rig.gateway.client();
    for id in 1..4 {
        client.send(&words(&call(id, "safe", "paid", 60, 8000)));
        rig.next().1.serve("fine");
        assert_eq!(client.read(), "fine");
    }
}

#[test]
fn malformed_commands_are_told_so_and_end_the_connection() {
    let mut rig = Rig::with(1, |_| {});
    let long = format!("*5\r\n$9\r\nAPI.WRITE\r\n$65537\r\n{}", "x".repeat(65_537));
    let many = format!("*5\r\n$60000\r\n{0}\r\n$60000\r\n{0}", "x".repeat(60_000));
    let deep = "*1\r\n".repeat(16_000);
    for bytes in
        ["GET / HTTP/1.1\r\n\r\n", "*1\r\n$-5\r\n", "*1\r\n$1\r\nxyz", "*99999999\r\n", &long, &many, &deep]
    {
        let mut client = rig.gateway.client();
        client.write(bytes.as_bytes());
        assert!(client.read().starts_with("-ERR"), "{:?}", &bytes[..16]);
        assert_eq!(client.read(), "(end)");
    }
    assert!(rig.gateway.runs() && rig.idle());
}

#[test]
fn commands_that_are_none_of_the_service_are_refused_one_by_one() {
    let rig = Rig::with(1, |_| {});
    let mut client = rig.gateway.client();
    let good = call(1, "safe", "free", 1, 8000);
    let with = |place: usize, from: &str, to: &str| {
        let mut changed = good.clone();
        changed[place] = changed[place].replace(from, to);
        changed
    };
    let bad = [
        with(0, "API.READ", "API.DELETE"),
        with(0, "API.READ", "API.WRITE"),
        with(1, "00000000", "ffffffff"),
        with(1, "b4d65521", "nonsense"),
        with(2, "0001", "1"),
        with(3, "c=safe", "c=other"),
        with(3, "t=free", "t=other"),
        with(3, "d=8000", "d=soon"),
        with(3, "d=8000,", ""),
        with(3, "units=1", "units=NaN"),
        with(3, "units=1", "units=-1"),
        with(3, "spread=2", "spread="),
        with(3, ",", ";"),
        good[..3].to_vec(),
        vec!["SUBSCRIBE".to_string()],
    ];
    for words in bad {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        assert!(client.ask(&words).starts_with("-ERR"), "{words:?}");
    }
    // A keyed class without its key.
    let mut keyless = call(2, "keyed", "free", 1, 8000);
    keyless[3] = keyless[3].replace(",k=5c0f6e1a2b3d4c59", "");
    assert!(client.ask(&words(&keyless)).starts_with("-ERR"));
    assert!(rig.idle(), "something was sent on");
    rig.serve_one(&mut client, 9);
}

#[test]
fn a_bad_configuration_is_named_in_one_line() {
    let some = "127.0.0.1:9".parse().expect("an address");
    let good = config(some, some, &[]);
    let mut cases = vec![("{".to_string(), "not JSON")];
    for key in ["listen", "discovery", "counter", "seed", "known", "settings", "limits"] {
        let mut bad = good.clone();
        bad.as_object_mut().expect("a section").remove(key);
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
        let (child, _file) = process(&text);
        let output = child.wait_with_output().expect("it ends");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{field}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(field), "{field}: {said}");
    }
}

#[test]
fn connections_beyond_the_descriptors_are_told_to_come_again() {
    // Room for one client.
    let rig = Rig::with(1, |config| config["limits"]["sockets"] = json!(50));
    // The one that asked whether it is ready may still be closing.
    let mut kept = rig.gateway.client();
    while kept.ask_or_end(&["PING"]) != "+PONG" {
        kept = rig.gateway.client();
    }
    assert_eq!(rig.gateway.client().read(), "-BUSY");
    assert_eq!(kept.ask(&["PING"]), "+PONG");
}

#[test]
fn sigterm_lets_what_was_taken_finish_and_closes_idle_connections() {
    let mut rig = Rig::with(1, |_| {});
    let (mut client, mut idle) = (rig.gateway.client(), rig.gateway.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next();
    rig.gateway.terminate();
    assert_eq!(idle.read(), "(end)");
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert_eq!(client.read(), "(end)");
    assert!(rig.gateway.wait().success());
}

#[test]
fn what_does_not_finish_after_sigterm_fails_before_the_kill() {
    let mut rig = Rig::with(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let _silent = rig.next();
    rig.gateway.terminate();
    assert!(client.read().starts_with("-ERR"));
    assert!(rig.gateway.wait().success());
}
