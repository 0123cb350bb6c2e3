//! Gateways under load while the TXT records of their backends no longer state a value that a decision needs.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::thread::sleep;
use std::time::Duration;

use serde_json::Value;
use support::{wait_until, Fleet, RunningLoad};
use testbed::backend::Backend;
use testbed::client::{Load, LoadProfile};
use testbed::dns::{Dns, Instance};
use testbed::journal::Event;
use testbed::switch::Fault;
use tokio::runtime::Runtime;

const SERVICE: &str = "_till._tcp.ub-room.test";
/// Backends, two in each group.
const BACKENDS: usize = 4;
/// Rounds of lost answers; in each, every backend resets connections once for a while.
const ROUNDS: usize = 3;
/// Time for which a backend resets connections after it has run the requests.
const RESET_TIME: Duration = Duration::from_millis(60);
/// Time between two backends that reset connections, in which failure rates fall.
const RECOVERY_TIME: Duration = Duration::from_millis(200);
/// Index of the keyed class in the settings.
const KEYED: usize = 1;

/// A fleet of one gateway that takes its list from DNS-SD records.
struct Site {
    fleet: Fleet,
    dns: Dns,
    /// Outlives the resolver, which runs on it.
    _runtime: Runtime,
}

/// Returns the complete strings of a backend's TXT record.
fn complete_text(backend: &Backend) -> Vec<String> {
    let spec = &backend.spec;
    vec![
        format!("zone={}", spec.zone),
        format!("type={}", spec.kind),
        format!("group={}", spec.group),
        "status=serving".to_string(),
    ]
}

impl Site {
    /// Starts the fleet; backends drop repeats of a keyed request within their group. `text` returns the
    /// strings of a backend's TXT record.
    fn start(text: impl Fn(&Backend) -> Vec<String>) -> Site {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let dns = runtime.block_on(Dns::start(1, 1)).expect("the resolver starts");
        let sources = format!(
            "\n[sources]\nlisten = \"127.0.0.1:0\"\nservices = [\"{SERVICE}\"]\nresolvers = [\"{}\"]\n\
             answer_ms = 200\n",
            dns.address
        );
        let fleet = Fleet::start_with(1, BACKENDS, &[], &sources);
        for backend in &fleet.backends {
            let service = (0, 10, backend.address.port());
            let (label, address) = (backend.spec.name.clone(), Ipv4Addr::LOCALHOST);
            dns.put_instance(SERVICE, &Instance { label, service, text: text(backend), address });
        }
        fleet.wait_until_healthy();
        let site = Site { fleet, dns, _runtime: runtime };
        wait_until("the agent lists all backends", || site.sources().len() == BACKENDS);
        site.fleet.reconfigure(|config| config["settings"]["profiles"][KEYED]["group"] = "cell".into());
        site.fleet.set_list_service(site.fleet.list.expect("the agent serves a list"));
        site.wait_for_gateway();
        site
    }

    /// Waits until the gateway polls the agent's list: a new address is called at once.
    fn wait_for_gateway(&self) {
        sleep(Duration::from_millis(500));
        wait_until("the gateway has the agent's list", || self.fleet.listed_backends(0).len() == BACKENDS);
    }

    /// Starts the agent again, which knows nothing of earlier records, and has the gateway use its list.
    fn restart_agent(&mut self) {
        self.fleet.kill_agent();
        self.fleet.start_agent();
        wait_until("the agent lists all backends", || self.sources().len() == BACKENDS);
        self.fleet.set_list_service(self.fleet.list.expect("the agent serves a list"));
        self.wait_for_gateway();
    }

    /// Returns the numbers of requests that reached the backends of the last group.
    fn arrived_in_last_group(&self) -> u64 {
        self.fleet.backends[2..].iter().map(Backend::arrived).sum()
    }

    /// Returns the endpoints that the agent lists.
    fn sources(&self) -> Vec<Value> {
        self.fleet.cli_json(&["sources"]).json()["list"].as_array().cloned().unwrap_or_default()
    }

    /// Replaces the TXT records of all backends.
    fn set_texts(&self, records: impl Fn(&Backend) -> Vec<Vec<String>>) {
        for backend in &self.fleet.backends {
            self.dns.set_text(SERVICE, &backend.spec.name, &records(backend));
        }
    }

    /// Waits until the agent has resolved changed TXT records of all backends: their TTL is 1 s, and the
    /// agent asks again within it.
    fn wait_for_change(&self) {
        let before = self.dns.question_counts().0;
        // Per refresh: a PTR, and for each backend an SRV, a TXT, an A and an AAAA question.
        let questions = 2 * (1 + 4 * BACKENDS as u64);
        wait_until("the records were asked for again", || self.dns.question_counts().0 >= before + questions);
        sleep(Duration::from_millis(300));
    }

    fn start_keyed_load(&self) -> RunningLoad {
        let load = Load::new(vec![self.fleet.gateways[0].address], 1 << 40, self.fleet.journal.clone());
        let profile = LoadProfile { rate: 200.0, paid: 0.0, classes: [0, 1, 0], ..LoadProfile::default() };
        let running = RunningLoad::start(&self.fleet.runtime, load, profile);
        wait_until("the load is served", || running.counts().served > 20);
        running
    }

    /// Loses answers of requests that have run, at one backend after another.
    fn lose_answers(&self) {
        for _ in 0..ROUNDS {
            for backend in &self.fleet.backends {
                backend.switch.set(Fault::Resetting);
                sleep(RESET_TIME);
                backend.switch.set(Fault::None);
                sleep(RECOVERY_TIME);
            }
        }
    }

    /// Returns, for each request that ran more than once, the groups in which it ran.
    fn repeated(&self) -> Vec<BTreeSet<u32>> {
        let mut runs: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
        for (_, event) in self.fleet.journal.events() {
            if let Event::AttemptReceived { id, group, ran: true, .. } = event {
                runs.entry(id).or_default().push(group);
            }
        }
        let repeated = runs.into_values().filter(|groups| groups.len() > 1);
        repeated.map(|groups| groups.into_iter().collect()).collect()
    }

    /// Asserts that lost answers lead to no run in a second group, while requests are still served by all
    /// listed backends.
    fn assert_no_repeat_across_groups(&self, load: &RunningLoad) {
        let (served, arrived) = (load.counts().served, self.fleet.backends.iter().map(Backend::arrived));
        let arrived: Vec<u64> = arrived.collect();
        self.lose_answers();
        let repeated = self.repeated();
        let across = repeated.iter().filter(|groups| groups.len() > 1).count();
        assert_eq!(across, 0, "of {} repeated requests; list: {:#?}", repeated.len(), self.sources());
        assert!(load.counts().served > served + 100, "requests are served: {:?}", load.counts());
        assert_eq!(self.sources().len(), BACKENDS, "the list is not emptied");
        let still_used = self.fleet.backends.iter().zip(arrived).all(|(b, before)| b.arrived() > before);
        assert!(still_used, "all backends are used");
    }
}

/// Starts with complete records, under which repeats stay in their group, and then changes the records.
fn check_change(records: impl Fn(&Backend) -> Vec<Vec<String>>) {
    let site = Site::start(complete_text);
    let load = site.start_keyed_load();
    site.lose_answers();
    let repeated = site.repeated();
    assert!(!repeated.is_empty(), "requests are repeated in a known group");
    assert!(repeated.iter().all(|groups| groups.len() == 1), "{repeated:?}");
    site.set_texts(records);
    site.wait_for_change();
    site.assert_no_repeat_across_groups(&load);
    site.fleet.finish_load(load);
}

/// Guards against a keyed request that runs in two groups after the TXT records vanished: NODATA was read as
/// group 0 for every backend.
#[test]
fn vanished_txt_records_allow_no_repeat_across_groups() {
    check_change(|_| Vec::new());
}

/// Guards against the same where only the key `group` is gone, or the record is empty.
#[test]
fn missing_group_allows_no_repeat_across_groups() {
    check_change(|backend| {
        let without_group = complete_text(backend).into_iter().filter(|text| !text.starts_with("group="));
        vec![if backend.spec.group == 0 { Vec::new() } else { without_group.collect() }]
    });
}

/// Guards against a list without any backend when no value of `group` is valid.
#[test]
fn invalid_groups_keep_all_backends_and_allow_no_repeat_across_groups() {
    check_change(|backend| {
        let mut text = complete_text(backend);
        text[2] = "group=many".to_string();
        vec![text]
    });
}

/// Guards against a group that is taken from one of two records that contradict each other.
#[test]
fn contradicting_groups_allow_no_repeat_across_groups() {
    check_change(|backend| {
        vec![complete_text(backend), vec!["group=0".to_string()], vec!["group=1".to_string()]]
    });
}

/// Guards against group 0 for backends whose records never had a group.
#[test]
fn records_that_never_had_a_group_allow_no_repeat_across_groups() {
    let site = Site::start(|_| Vec::new());
    let load = site.start_keyed_load();
    site.assert_no_repeat_across_groups(&load);
    site.fleet.finish_load(load);
}

/// Guards against new requests for a draining backend whose record loses `status`.
#[test]
fn draining_backend_without_status_gets_no_new_requests() {
    let site = Site::start(|backend| {
        let mut text = complete_text(backend);
        if backend.spec.name == "till-3" {
            text[3] = "status=draining".to_string();
        }
        text
    });
    let load = site.start_keyed_load();
    sleep(Duration::from_millis(500));
    let before = site.fleet.backends[3].arrived();
    site.set_texts(|backend| vec![complete_text(backend)[..3].to_vec()]);
    site.wait_for_change();
    let served = load.counts().served;
    wait_until("requests are served", || load.counts().served > served + 200);
    assert_eq!(site.fleet.backends[3].arrived(), before, "list: {:#?}", site.sources());
    site.fleet.finish_load(load);
}

/// Guards against a drain that ends because its order no longer covers the backends: their records lose the
/// group, and then the agent starts again without having known it.
#[test]
fn drain_of_a_group_outlasts_the_group_and_the_agent() {
    let mut site = Site::start(complete_text);
    let drain = site.fleet.cli(&["drain", "group/1", "--deadline", "10s"]);
    assert_eq!(drain.code, 0, "{}", drain.stderr);
    wait_until("the group is drained", || {
        ["till-2", "till-3"].iter().all(|backend| site.fleet.is_drained(0, backend))
    });
    let load = site.start_keyed_load();
    sleep(Duration::from_millis(300));
    let before = site.arrived_in_last_group();
    let serve_more = || {
        let served = load.counts().served;
        wait_until("requests are served", || load.counts().served > served + 100);
    };
    site.set_texts(|_| Vec::new());
    site.wait_for_change();
    serve_more();
    assert_eq!(site.arrived_in_last_group(), before, "list: {:#?}", site.sources());
    let log = site.fleet.agent.as_ref().expect("the agent runs").log_text();
    assert!(log.contains("group unknown of "), "{log}");
    site.restart_agent();
    serve_more();
    assert_eq!(site.arrived_in_last_group(), before, "list: {:#?}", site.sources());
    let unknown = &site.sources()[0]["unknown"];
    assert!(
        unknown.as_array().is_some_and(|unknown| unknown.iter().any(|u| u["key"] == "group")),
        "{unknown}"
    );
    let output = site.fleet.cli(&["sources"]);
    assert!(output.stdout.contains("UNKNOWN") && output.stdout.contains("missing"), "{}", output.stdout);
    site.fleet.finish_load(load);
}

/// Guards against a drain that ends because neither the gateway nor the agent knows the group any more: both
/// have started again after the records were gone.
#[test]
#[ignore = "KNOWN-RED.txt, entry 2"]
fn drain_of_a_group_outlasts_restarts_of_the_gateway_and_the_agent() {
    let mut site = Site::start(complete_text);
    let drain = site.fleet.cli(&["drain", "group/1", "--deadline", "10s"]);
    assert_eq!(drain.code, 0, "{}", drain.stderr);
    site.set_texts(|_| Vec::new());
    site.wait_for_change();
    site.restart_agent();
    site.fleet.reconfigure(|config| config["known"]["endpoints"] = Value::Array(Vec::new()));
    site.fleet.restart(0);
    site.wait_for_gateway();
    let before = site.arrived_in_last_group();
    let load = site.start_keyed_load();
    let served = load.counts().served;
    wait_until("requests are served", || load.counts().served > served + 100);
    assert_eq!(site.arrived_in_last_group(), before, "list: {:#?}", site.sources());
    site.fleet.finish_load(load);
}
