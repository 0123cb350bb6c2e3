//! Gateways that take their list from the agent, and the agent from DNS-SD records, under load.

mod support;

use std::net::Ipv4Addr;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use support::{wait_until, Fleet, Ran, PROGRAM};
use testbed::backend::Backend;
use testbed::dns::{Dns, Instance};
use testbed::journal::Event;
use testbed::switch::Fault;
use tokio::runtime::Runtime;

const SERVICE: &str = "_till._tcp.ub-room.test";

/// A resolver, in a runtime of its own: it is there before the fleet.
struct Zone {
    dns: Dns,
    _runtime: Runtime,
}

impl Zone {
    fn start() -> Zone {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let dns = runtime.block_on(Dns::start(1, 1)).expect("a port");
        Zone { dns, _runtime: runtime }
    }

    fn put(&self, backend: &Backend) {
        let spec = &backend.spec;
        let group = format!("group={}", spec.group);
        let text = vec![format!("zone={}", spec.zone), format!("type={}", spec.kind), group];
        let service = (0, 10, backend.address.port());
        let (label, address) = (spec.name.clone(), Ipv4Addr::LOCALHOST);
        self.dns.put_instance(SERVICE, &Instance { label, service, text, address });
    }
}

fn sources(dns: &Dns) -> String {
    let resolver = dns.address;
    format!(
        "\n[sources]\nlisten = \"127.0.0.1:0\"\nservices = [\"{SERVICE}\"]\nresolvers = [\"{resolver}\"]\n\
         answer_ms = 200\n"
    )
}

/// A fleet whose gateways all have the list of the records.
fn fleet(zone: &Zone, gateways: usize, backends: usize) -> Fleet {
    let fleet = Fleet::with(gateways, backends, &[], &sources(&zone.dns));
    fleet.backends.iter().for_each(|backend| zone.put(backend));
    fleet.wait_until_healthy();
    wait_until("the records are known", || listed(&fleet.json(&["sources"])) == backends);
    fleet.discover(fleet.list.expect("it serves one"));
    fleet
}

fn listed(ran: &Ran) -> usize {
    ran.json()["list"].as_array().map_or(0, Vec::len)
}

#[test]
fn backend_without_record_gets_no_new_requests() {
    let zone = Zone::start();
    let fleet = fleet(&zone, 2, 5);
    let loading = fleet.load(2, 200.0);
    zone.dns.remove_pointer(SERVICE, "till-0");
    wait_until("both gateways were told", || (0..2).all(|g| !fleet.lists(g).contains(&"till-0".to_string())));
    fleet.journal.note(Event::BackendDrained { backend: "till-0".to_string(), gateway: None });
    sleep(Duration::from_millis(600));
    let then = fleet.backends[0].arrived();
    let served = loading.load.counts().served;
    wait_until("the others have the work", || loading.load.counts().served > served + 200);
    assert_eq!(fleet.backends[0].arrived(), then);
    // It comes back at its address.
    fleet.journal.note(Event::BackendUndrained { backend: "till-0".to_string() });
    zone.put(&fleet.backends[0]);
    wait_until("it has work again", || fleet.backends[0].arrived() > then + 20);
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn resolver_outage_changes_no_list_and_fails_no_request() {
    let zone = Zone::start();
    let fleet = fleet(&zone, 2, 4);
    let loading = fleet.load(2, 200.0);
    wait_until("both have the list", || (0..2).all(|g| fleet.lists(g).len() == 4));
    for fault in [Fault::Silent, Fault::Failing, Fault::Garbled] {
        zone.dns.switch.set(fault);
        wait_until("it is told", || {
            let ran = fleet.json(&["sources"]);
            let all = ran.json()["list"].as_array().expect("a list").clone();
            ran.code == 3 && all.len() == 4 && all.iter().all(|l| l["stale_ms"].as_f64() > Some(500.0))
        });
        assert!((0..2).all(|g| fleet.lists(g).len() == 4));
        zone.dns.switch.set(Fault::None);
        wait_until("all is fresh", || fleet.json(&["sources"]).code == 0);
    }
    let log = fleet.agent.as_ref().expect("it runs").log_text();
    assert!(log.contains("ALARM") && log.contains("answered again"), "{log}");
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn agent_without_resolvers_leaves_gateways_their_list() {
    let zone = Zone::start();
    let mut fleet = fleet(&zone, 1, 3);
    wait_until("it has the list", || fleet.lists(0).len() == 3);
    zone.dns.switch.set(Fault::Silent);
    fleet.kill_agent();
    fleet.start_agent();
    fleet.discover(fleet.list.expect("it serves one"));
    let ran = || fleet.json(&["sources"]);
    wait_until("it knows that it knows nothing", || {
        !ran().json()["unanswered"].as_array().expect("a list").is_empty()
    });
    assert_eq!((ran().code, ran().json()["known"].as_bool()), (3, Some(false)));
    sleep(Duration::from_millis(500));
    assert_eq!(fleet.lists(0).len(), 3);
    let loading = fleet.load(1, 100.0);
    zone.dns.switch.set(Fault::None);
    wait_until("it is known", || ran().json()["known"].as_bool() == Some(true));
    zone.dns.remove_pointer(SERVICE, "till-1");
    wait_until("and followed", || fleet.lists(0) == ["till-0", "till-2"]);
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
}

#[test]
fn resolve_explains_the_list_and_sets_exit_codes() {
    let zone = Zone::start();
    let run = |words: &[&str]| -> Ran {
        let server = zone.dns.address.to_string();
        let mut command = Command::new(PROGRAM);
        command.args(["resolve", "--server", &server, "--each", "200ms", "--deadline", "3s"]).args(words);
        command.output().expect("it runs").into()
    };
    let put = |label: &str, text: &[&str]| {
        let text = text.iter().map(ToString::to_string).collect();
        let (label, service, address) = (label.to_string(), (3, 7, 9_000), Ipv4Addr::LOCALHOST);
        zone.dns.put_instance(SERVICE, &Instance { label, service, text, address });
    };
    assert_eq!(run(&[SERVICE]).code, 1, "nobody is there");
    put("Till 1. by the door", &["zone=room"]);
    put("till-2", &["group=x"]);
    let ran = run(&[SERVICE, "-o", "json"]);
    assert_eq!(ran.code, 0, "{}", ran.err);
    let list = ran.json()["list"].clone();
    assert_eq!((list.as_array().map(Vec::len), &list[0]["name"]), (Some(1), &"Till 1. by the door".into()));
    assert_eq!((&list[0]["priority"], &list[0]["weight"]), (&3.into(), &7.into()));
    let ran = run(&[SERVICE, "--records"]);
    for part in ["127.0.0.1:9000", "TXT group", "DROPPED", "QUESTION", "SRV", "1 listed"] {
        assert!(ran.out.contains(part), "{part}: {}", ran.out);
    }
    zone.dns.switch.set(Fault::Refusing);
    let ran = run(&[SERVICE]);
    assert!(
        ran.code == 1 && ran.out.contains("Refused") && ran.err.contains("in time"),
        "{} {}",
        ran.out,
        ran.err
    );
    assert_eq!(run(&["till.test"]).code, 2);
}

#[test]
fn agent_without_sources_rejects_the_request() {
    let fleet = Fleet::start(1, 1);
    let ran = fleet.json(&["sources"]);
    assert!(ran.code == 4 && ran.err.contains("[sources]"), "{} {}", ran.code, ran.err);
}
