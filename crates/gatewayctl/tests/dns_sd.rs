//! Gateways under load that get their endpoint list from the agent, which gets it from DNS-SD records.

mod support;

use std::net::Ipv4Addr;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use support::{wait_until, CommandOutput, Fleet, PROGRAM};
use testbed::backend::Backend;
use testbed::dns::{Dns, Instance};
use testbed::journal::Event;
use testbed::switch::Fault;
use tokio::runtime::Runtime;

const SERVICE: &str = "_till._tcp.ub-room.test";

/// DNS resolver stand-in with a runtime of its own, because it must exist before the fleet.
struct Zone {
    dns: Dns,
    _runtime: Runtime,
}

impl Zone {
    fn start() -> Zone {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let dns = runtime.block_on(Dns::start(1, 1)).expect("the resolver starts");
        Zone { dns, _runtime: runtime }
    }

    /// Adds or replaces the records of a backend.
    fn put(&self, backend: &Backend) {
        let spec = &backend.spec;
        let group = format!("group={}", spec.group);
        let text = vec![format!("zone={}", spec.zone), format!("type={}", spec.kind), group];
        let service = (0, 10, backend.address.port());
        let (label, address) = (spec.name.clone(), Ipv4Addr::LOCALHOST);
        self.dns.put_instance(SERVICE, &Instance { label, service, text, address });
    }
}

/// Returns the `[sources]` section of the operators' file.
fn sources_section(dns: &Dns) -> String {
    let resolver = dns.address;
    format!(
        "\n[sources]\nlisten = \"127.0.0.1:0\"\nservices = [\"{SERVICE}\"]\nresolvers = [\"{resolver}\"]\n\
         answer_ms = 200\n"
    )
}

/// Starts a fleet whose gateways use the agent's list service.
fn start_fleet(zone: &Zone, gateways: usize, backends: usize) -> Fleet {
    let fleet = Fleet::start_with(gateways, backends, &[], &sources_section(&zone.dns));
    fleet.backends.iter().for_each(|backend| zone.put(backend));
    fleet.wait_until_healthy();
    wait_until("the records are known", || listed_count(&fleet.cli_json(&["sources"])) == backends);
    fleet.set_list_service(fleet.list.expect("the agent serves a list"));
    fleet
}

/// Number of endpoints in the output of `sources`.
fn listed_count(output: &CommandOutput) -> usize {
    output.json()["list"].as_array().map_or(0, Vec::len)
}

#[test]
fn backend_without_record_gets_no_new_requests() {
    let zone = Zone::start();
    let fleet = start_fleet(&zone, 2, 5);
    let running_load = fleet.start_load(2, 200.0);
    zone.dns.remove_pointer(SERVICE, "till-0");
    wait_until("both gateways drop the backend", || {
        (0..2).all(|g| !fleet.listed_backends(g).contains(&"till-0".to_string()))
    });
    fleet.journal.note(Event::BackendDrained { backend: "till-0".to_string(), gateway: None });
    sleep(Duration::from_millis(600));
    let earlier = fleet.backends[0].arrived();
    let served = running_load.load.counts().served;
    wait_until("the other backends serve requests", || running_load.load.counts().served > served + 200);
    assert_eq!(fleet.backends[0].arrived(), earlier);
    // The backend returns at the same address.
    fleet.journal.note(Event::BackendUndrained { backend: "till-0".to_string() });
    zone.put(&fleet.backends[0]);
    wait_until("the backend receives requests again", || fleet.backends[0].arrived() > earlier + 20);
    let counts = fleet.finish_load(running_load);
    assert_eq!((counts.lost, counts.failed), (0, 0), "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn resolver_outage_changes_no_list_and_fails_no_request() {
    let zone = Zone::start();
    let fleet = start_fleet(&zone, 2, 4);
    let running_load = fleet.start_load(2, 200.0);
    wait_until("both have the list", || (0..2).all(|g| fleet.listed_backends(g).len() == 4));
    for fault in [Fault::Silent, Fault::Failing, Fault::Garbled] {
        zone.dns.switch.set(fault);
        wait_until("stale entries are reported", || {
            let output = fleet.cli_json(&["sources"]);
            let list = output.json()["list"].as_array().expect("a list").clone();
            output.code == 3 && list.len() == 4 && list.iter().all(|l| l["stale_ms"].as_f64() > Some(500.0))
        });
        assert!((0..2).all(|g| fleet.listed_backends(g).len() == 4));
        zone.dns.switch.set(Fault::None);
        wait_until("all entries are fresh", || fleet.cli_json(&["sources"]).code == 0);
    }
    let log = fleet.agent.as_ref().expect("the agent was started").log_text();
    assert!(log.contains("ALARM") && log.contains("answered again"), "{log}");
    let counts = fleet.finish_load(running_load);
    assert_eq!((counts.lost, counts.failed), (0, 0), "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn gateways_keep_their_list_while_agent_has_none() {
    let zone = Zone::start();
    let mut fleet = start_fleet(&zone, 1, 3);
    wait_until("the gateway has the list", || fleet.listed_backends(0).len() == 3);
    zone.dns.switch.set(Fault::Silent);
    fleet.kill_agent();
    fleet.start_agent();
    fleet.set_list_service(fleet.list.expect("the agent serves a list"));
    let sources = || fleet.cli_json(&["sources"]);
    wait_until("the agent reports unanswered queries", || {
        !sources().json()["unanswered"].as_array().expect("a list").is_empty()
    });
    assert_eq!((sources().code, sources().json()["known"].as_bool()), (3, Some(false)));
    sleep(Duration::from_millis(500));
    assert_eq!(fleet.listed_backends(0).len(), 3);
    let running_load = fleet.start_load(1, 100.0);
    zone.dns.switch.set(Fault::None);
    wait_until("the list is known", || sources().json()["known"].as_bool() == Some(true));
    zone.dns.remove_pointer(SERVICE, "till-1");
    wait_until("the gateway follows the change", || fleet.listed_backends(0) == ["till-0", "till-2"]);
    let counts = fleet.finish_load(running_load);
    assert_eq!((counts.lost, counts.failed), (0, 0), "{counts:?}");
}

#[test]
fn resolve_explains_the_list_and_sets_exit_codes() {
    let zone = Zone::start();
    let run = |args: &[&str]| -> CommandOutput {
        let server = zone.dns.address.to_string();
        let mut command = Command::new(PROGRAM);
        command.args(["resolve", "--server", &server, "--each", "200ms", "--deadline", "3s"]).args(args);
        command.output().expect("the program runs").into()
    };
    let put = |label: &str, text: &[&str]| {
        let text = text.iter().map(ToString::to_string).collect();
        let (label, service, address) = (label.to_string(), (3, 7, 9_000), Ipv4Addr::LOCALHOST);
        zone.dns.put_instance(SERVICE, &Instance { label, service, text, address });
    };
    assert_eq!(run(&[SERVICE]).code, 1, "the service has no instances");
    put("Till 1. by the door", &["zone=room"]);
    put("till-2", &["group=x"]);
    let (label, service, text) = ("till-3".to_string(), (3, 7, 0), Vec::new());
    zone.dns.put_instance(SERVICE, &Instance { label, service, text, address: Ipv4Addr::LOCALHOST });
    let output = run(&[SERVICE, "-o", "json"]);
    assert_eq!(output.code, 0, "{}", output.stderr);
    let list = output.json()["list"].clone();
    assert_eq!((list.as_array().map(Vec::len), &list[0]["name"]), (Some(2), &"Till 1. by the door".into()));
    assert_eq!((&list[0]["priority"], &list[0]["weight"]), (&3.into(), &7.into()));
    let output = run(&[SERVICE, "--records"]);
    for part in
        ["127.0.0.1:9000", "UNKNOWN", "TXT group", "DROPPED", "port is 0", "QUESTION", "SRV", "2 listed"]
    {
        assert!(output.stdout.contains(part), "{part}: {}", output.stdout);
    }
    zone.dns.switch.set(Fault::Refusing);
    let output = run(&[SERVICE]);
    assert!(
        output.code == 1 && output.stdout.contains("Refused") && output.stderr.contains("in time"),
        "{} {}",
        output.stdout,
        output.stderr
    );
    assert_eq!(run(&["till.test"]).code, 2);
}

#[test]
fn agent_without_sources_rejects_the_request() {
    let fleet = Fleet::start(1, 1);
    let output = fleet.cli_json(&["sources"]);
    assert!(output.code == 4 && output.stderr.contains("[sources]"), "{} {}", output.code, output.stderr);
}
