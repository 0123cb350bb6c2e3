//! Orders carried out by three gateways under a steady load.

mod support;

use std::thread::sleep;
use std::time::Duration;

use fleet::wire::{Applied, GatewayRequest, GatewayResponse};
use fleet::{ApplyOutcome, Change, Order, Revision};
use support::{wait_until, Fleet};
use testbed::journal::Event;

#[test]
fn drained_backend_gets_nothing_new_until_undrained() {
    let fleet = Fleet::start(3, 4);
    fleet.wait_until_healthy();
    let loading = fleet.load(3, 300.0);
    wait_until("it has work", || fleet.backends[0].arrived() > 5);
    let ran = fleet.json(&["drain", "till-0", "--wait"]);
    // Told by now to all, so whatever begins half a second on is too late at each.
    fleet.journal.note(Event::BackendDrained { backend: "till-0".to_string(), gateway: None });
    assert_eq!(ran.code, 0, "{}", ran.err);
    for name in ["n0", "n1", "n2"] {
        assert_eq!((&ran.did(name)["outcome"], &ran.did(name)["matched"]), (&"applied".into(), &1.into()));
    }
    let waited = ran.json()["in_flight"].as_array().expect("waited for").clone();
    assert!(waited.iter().all(|i| i["in_flight"] == 0) && waited.len() == 3, "{waited:?}");
    // Nothing was in flight any more on any of them, so nothing comes from here on.
    let then = fleet.backends[0].arrived();
    sleep(Duration::from_millis(900));
    assert_eq!(fleet.backends[0].arrived(), then, "sent to after --wait was over");
    let others = || fleet.backends[1..].iter().map(testbed::backend::Backend::arrived).sum::<u64>();
    let now = others();
    wait_until("the others have the work", || others() > now + 100);
    assert_eq!(fleet.backends[0].arrived(), then, "sent to while the others had the work");
    // Before it is ordered: a gateway may send as soon as it is told, and that is before the tool has ended.
    fleet.journal.note(Event::BackendUndrained { backend: "till-0".to_string() });
    assert_eq!(fleet.json(&["undrain", "till-0"]).code, 0);
    wait_until("it has work again", || fleet.backends[0].arrived() > then + 20);
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn drains_groups_and_types_and_discovery_overrides_undrain() {
    let fleet = Fleet::start(2, 6);
    fleet.wait_until_healthy();
    assert_eq!(fleet.json(&["drain", "group/1"]).did("n0")["matched"], 2);
    for place in 0..2 {
        assert!(fleet.drained(place, "till-2") && fleet.drained(place, "till-3"));
        assert!(!fleet.drained(place, "till-0"));
    }
    // Four of six are ready: two more would leave too few, and all of a type as well.
    let refused = fleet.json(&["drain", "type/m"]);
    assert_eq!(refused.code, 4);
    assert!(refused.err.contains("would leave 0 of 6 backends ready (4 are now); 3"), "{}", refused.err);
    assert!(!fleet.drained(0, "till-0"), "refused, and carried out");
    let forced = fleet.json(&["drain", "type/m", "--force"]);
    assert_eq!((forced.code, &forced.did("n1")["matched"]), (0, &6.into()));
    assert_eq!(fleet.json(&["undrain", "type/m"]).code, 0);
    assert!(fleet.drained(1, "till-2") && !fleet.drained(1, "till-0"), "its group is drained still");
    // Discovery says that it drains; an undrain does not change that.
    fleet.discovery.list(&fleet.backends[0], "DRAINING");
    let serving = |place| {
        let all = fleet.state(place).backends.expect("asked for");
        all.iter().find(|b| b.name == "till-0").expect("listed").serving
    };
    wait_until("both were told", || !serving(0) && !serving(1));
    assert_eq!(fleet.json(&["undrain", "till-0", "--force"]).code, 0);
    let loading = fleet.load(2, 200.0);
    let then = fleet.backends[0].arrived();
    sleep(Duration::from_millis(300));
    assert_eq!(fleet.backends[0].arrived(), then);
    fleet.finish(loading);
    fleet.assert_no_breach();
}

#[test]
fn weight_reduces_work_of_a_backend() {
    let fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    assert_eq!(fleet.json(&["weight", "till-0", "0.2"]).code, 0);
    let loading = fleet.load(2, 400.0);
    wait_until("there is enough", || loading.load.counts().served > 1_200);
    fleet.finish(loading);
    let [few, others @ ..] = &fleet.backends[..] else { panic!("four") };
    let mean = others.iter().map(testbed::backend::Backend::arrived).sum::<u64>() as f64 / 3.0;
    let part = few.arrived() as f64 / mean;
    // Not how little: one slow answer at first keeps any backend without work for some seconds, and how much
    // a share gives is tested where there is no clock.
    assert!(part < 0.45, "{part}");
    let bad = fleet.cli(&["weight", "till-0", "0"]);
    assert_eq!(bad.code, 2);
    assert!(bad.err.contains("0.01 to 100"), "{}", bad.err);
    fleet.assert_no_breach();
}

/// What a gateway says to `PING` on a new connection.
fn ping(address: std::net::SocketAddr) -> String {
    use std::io::{BufRead, BufReader, Write};
    let mut stream = std::net::TcpStream::connect(address).expect("it listens");
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it reads");
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).expect("an answer");
    line
}

#[test]
fn drained_gateway_rejects_clients_and_finishes_requests() {
    let fleet = Fleet::start(3, 4);
    fleet.wait_until_healthy();
    let loading = fleet.load(3, 200.0);
    let ran = fleet.json(&["drain", "gateway/n1", "--wait"]);
    assert_eq!(ran.code, 0, "{}", ran.err);
    let address = fleet.gateways[1].address;
    wait_until("it says no", || ping(address).starts_with("-ERR"));
    let state = fleet.state(1);
    assert!(state.drained_by.is_some());
    wait_until("its connections have closed", || fleet.state(1).statistics.client_connections == 0);
    // The others take what would have come to it.
    let then = loading.load.counts().served;
    wait_until("the load goes on", || loading.load.counts().served > then + 100);
    let too_few = fleet.json(&["drain", "gateway/n0"]);
    assert_eq!(too_few.code, 4);
    assert!(too_few.err.contains("1 of 3 gateways"), "{}", too_few.err);
    assert_eq!(fleet.json(&["undrain", "gateway/n1"]).code, 0);
    wait_until("it says yes", || ping(address).starts_with("+PONG"));
    wait_until("it has work", || fleet.state(1).statistics.client_connections > 0);
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn late_drain_is_superseded_by_newer_undrain() {
    let mut fleet = Fleet::start(1, 2);
    fleet.kill_agent();
    let order = |id: &str, seq: u64, change: Change| Order {
        id: id.parse().expect("an id"),
        revision: Revision { term: u64::MAX >> 12, seq },
        subject: "till-0".parse().expect("one"),
        change,
    };
    let apply =
        |orders: Vec<Order>| match fleet.ask(&fleet.gateways[0].admin, GatewayRequest::Apply { orders }) {
            GatewayResponse::Applied(Applied { results: verdicts, .. }) => verdicts,
            other => panic!("{other:?}"),
        };
    let undrain = order("new", 2, Change::Undrain);
    assert_eq!(apply(vec![undrain.clone()])[0].outcome, ApplyOutcome::Applied);
    let late = apply(vec![order("old", 1, Change::Drain)]);
    assert_eq!(late[0].outcome, ApplyOutcome::Superseded(undrain.revision));
    assert!(!fleet.drained(0, "till-0"));
    // The same id again, under a newer revision: the first result, and nothing is done.
    let again = apply(vec![order("old", 3, Change::Drain)]);
    assert_eq!(again[0].outcome, ApplyOutcome::Superseded(undrain.revision));
    assert!(!fleet.drained(0, "till-0"));
    let many = vec![undrain; fleet::wire::MAX_ORDERS_PER_REQUEST + 1];
    let said = fleet.ask(&fleet.gateways[0].admin, GatewayRequest::Apply { orders: many });
    assert!(matches!(said, GatewayResponse::Error(_)), "{said:?}");
}
