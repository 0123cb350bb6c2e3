//! `--output json` of each command, exit codes, names of commands and options, and lines of an older tool:
//! what others read and write stays as it was recorded under `tests/data`.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::Ipv4Addr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::{json, Map, Value};
use support::recorded::{compare, Normalizer, VOLATILE};
use support::{own_loopback, wait_until, Fleet, Process, Ran, PROGRAM, TIMEOUT};
use testbed::dns::{Dns, Instance};
use testbed::scripted::{config, endpoint, DiscoveryStandIn, StandIn};

/// What was seen of each command, by its words.
struct Transcript<'a> {
    normalizer: Normalizer<'a>,
    seen: Map<String, Value>,
}

impl<'a> Transcript<'a> {
    fn new(dir: &'a Path, volatile: &'a [&'a str]) -> Transcript<'a> {
        Transcript { normalizer: Normalizer { dir, volatile }, seen: Map::new() }
    }

    /// Adds what a command came to, under its words.
    fn add(&mut self, words: &[&str], ran: &Ran) {
        self.add_as(&words.join(" "), ran);
    }

    fn add_as(&mut self, name: &str, ran: &Ran) {
        let name = name.replace(&self.normalizer.dir.display().to_string(), "<DIR>");
        let before = self.seen.insert(name.clone(), self.normalizer.outcome(ran));
        assert!(before.is_none(), "{name} twice");
    }

    fn compare(self, name: &str) {
        compare(name, &Value::Object(self.seen));
    }
}

fn run(words: &[&str]) -> Ran {
    let mut command = Command::new(PROGRAM);
    command.args(words).stdin(Stdio::null()).env_remove("GW_CONFIG").env_remove("BEECHRUDDER_AGENT");
    support::ended(command)
}

/// Waits until the agent has heard from each gateway that it lists all backends, that none of them waits for
/// its first connection, and that it took in this order last.
fn settled(fleet: &Fleet, last_order: Option<&str>) {
    fleet.wait_until_healthy();
    wait_until("the agent has heard that all is settled", || {
        let status = fleet.json(&["status"]).json();
        status["gateways"].as_array().expect("a list").iter().all(|gateway| {
            let state = &gateway["state"];
            let figures = &state["figures"];
            figures["listed"] == 4 && figures["waiting"] == 0 && state["last_order"] == json!(last_order)
        })
    });
}

#[test]
fn fleet_commands_print_recorded_json() {
    let mut fleet = Fleet::start(2, 4);
    settled(&fleet, None);
    let dir = fleet.dir.path().to_path_buf();
    let mut transcript = Transcript::new(&dir, VOLATILE);
    let nobody = format!("unix:{}/nobody.sock", dir.display());
    let mut watch = Command::new(PROGRAM)
        .args(["--agent", &fleet.agent_address().to_string(), "-o", "json", "watch"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut events = BufReader::new(watch.stdout.take().expect("its output"));
    let mut event = || {
        let mut line = String::new();
        events.read_line(&mut line).expect("a line");
        serde_json::from_str::<Value>(&line).expect("JSON")
    };
    let first = event();
    let all: &[&[&str]] = &[
        &["status"],
        &["drain", "till-0", "--id", "a1", "--wait"],
        &["drain", "till-0", "--id", "a1"],
        &["drain", "till-1", "--id", "a1"],
        &["status", "--backends"],
        &["drain", "nobody"],
        &["drain", "nobody", "--force", "--id", "a2"],
        &["drain", "zone/a"],
        &["drain", "till-0", "--id", "a b"],
        &["drain", "gateway/n0", "--id", "a3"],
        &["drain", "gateway/n1", "--id", "a4"],
        &["undrain", "gateway/n0", "--id", "a5"],
        &["undrain", "till-0", "--id", "a6"],
        &["weight", "till-1", "0.5", "--id", "a7"],
        &["weight", "till-1", "0", "--id", "a8"],
        &["drain", "group/0", "--id", "a9"],
        &["drain", "type/m", "--id", "a10", "--force"],
        &["orders"],
        &["orders", "-n", "1"],
        &["gateways", "add", "extra", &nobody],
        &["gateways", "remove", "extra"],
        &["gateways", "remove", "n0"],
        &["sources"],
    ];
    for words in all {
        transcript.add(words, &fleet.json(words));
    }
    let second = event();
    watch.kill().expect("it runs");
    watch.wait().expect("it ends");
    let events = transcript.normalizer.value(&json!([first, second]));
    transcript.seen.insert("watch".to_string(), events);
    settled(&fleet, Some("a10"));
    fleet.gateways[1].process.kill();
    let known = |ran: &Ran| ran.json()["gateways"][1]["health"].get("unreachable").is_some();
    wait_until("the agent knows", || known(&fleet.json(&["status"])));
    transcript.add_as("status, one unreachable", &fleet.json(&["status"]));
    let words = ["undrain", "type/m", "--id", "a11", "--deadline", "1s"];
    transcript.add(&words, &fleet.json(&words));
    fleet.kill_agent();
    let words = ["orders", "-n", "2"];
    transcript.add(&words, &fleet.json(&words));
    transcript.compare("fleet.json");
}

#[test]
fn lists_from_dns_print_recorded_json() {
    let service = "_till._tcp.ub-room.test";
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let dns = runtime.block_on(Dns::start(1, 1)).expect("a port");
    for (port, label) in [(7001, "till-0"), (7002, "till-1")] {
        let text = ["zone=a", "type=m", "group=3"].map(String::from).to_vec();
        let instance =
            Instance { label: label.to_string(), service: (0, 10, port), text, address: Ipv4Addr::LOCALHOST };
        dns.put_instance(service, &instance);
    }
    let resolver = dns.address.to_string();
    let settings = format!(
        "\n[sources]\nlisten = \"127.0.0.1:0\"\nservices = [\"{service}\"]\nresolvers = [\"{resolver}\"]\n\
         answer_ms = 200\n"
    );
    let fleet = Fleet::with(0, 1, &[], &settings);
    wait_until("the records are known", || fleet.json(&["sources"]).code == 0);
    let dir = fleet.dir.path();
    let mut transcript = Transcript::new(dir, VOLATILE);
    for words in [&["sources"][..], &["sources", "--records"]] {
        transcript.add(words, &fleet.json(words));
    }
    let none = "_none._tcp.ub-room.test";
    for (name, words) in [
        ("resolve", &["resolve", service, "--server", &resolver][..]),
        ("resolve --records", &["resolve", service, "--server", &resolver, "--records"]),
        ("resolve, no such service", &["resolve", none, "--server", &resolver]),
        ("resolve, no service", &["resolve", "till", "--server", &resolver]),
    ] {
        transcript.add_as(name, &run(&[&["-o", "json"], words].concat()));
    }
    transcript.compare("lists.json");
}

#[test]
fn gateway_calls_print_recorded_json() {
    let (agent, counter, backend) = (DiscoveryStandIn::start(), StandIn::counter(), StandIn::backend());
    let known = [endpoint("s-0", backend.address, 1, "SERVING", 0.0)];
    let mut told = config(agent.address, counter.address, &known);
    // An address of this process's own: nobody else takes its ports.
    let host = own_loopback();
    let (at, none) = (&*format!("{host}:7099"), &*format!("{host}:7098"));
    told["management"] = json!(at);
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("gateway.json");
    std::fs::write(&file, told.to_string()).expect("room");
    let log = dir.path().join("gateway.log");
    let (_gateway, _) = Process::start(&["gateway"], Some(&file), &log, &["listening on "]);
    wait_until("it is ready", || run(&["gateway", "ready", "--at", at]).code == 0);
    let mut transcript = Transcript::new(dir.path(), &[]);
    let all: &[&[&str]] = &[
        &["gateway", "ready", "--at", at],
        &["gateway", "disable", "s-0", "--at", at],
        &["gateway", "enable", "s-0", "--at", at],
        &["gateway", "enable", "s-1", "--at", at],
        &["gateway", "disable", "two words", "--at", at],
        &["gateway", "drain", "--at", at, "--at", none],
        &["gateway", "ready", "--at", at, "--deadline", "1s"],
        &["gateway", "undrain", "--at", at],
        &["gateway", "ready", "--at", none],
    ];
    for words in all {
        transcript.add(words, &run(&[*words, &["-o", "json"][..]].concat()));
    }
    let seen = Value::Object(transcript.seen).to_string().replace(&host, "127.77.1.1");
    compare("calls.json", &serde_json::from_str(&seen).expect("JSON"));
}

#[test]
fn file_commands_print_recorded_json() {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let file = |name: &str| data.join(name).display().to_string();
    let mut transcript = Transcript::new(&data, &[]);
    let customer = ["--customer", "00000000b4d65521"];
    let all: &[(&[&str], &[&str])] = &[
        (&["check"], &["operator.toml", "operator_wrong.toml", "gateway_wrong.json"]),
        (&["check"], &["operator.toml"]),
        (&["check"], &["none.json"]),
        (&["check"], &["plans.txt"]),
        (&["plans", "check"], &["plans.toml", "plans_wrong.toml"]),
        (&["plans", "check"], &["plans.toml"]),
        (&["plans", "show"], &["plans.toml"]),
        (&["plans", "show"], &["plans_wrong.toml"]),
        (&["plans", "show", customer[0], customer[1]], &["plans.toml"]),
        (&["plans", "show", customer[0], "0000000000000001"], &["plans.toml"]),
        (&["plans", "show", customer[0], "b4d65521"], &["plans.toml"]),
        (&["plans", "change", customer[0], customer[1]], &["plans.toml"]),
        (&["plans", "change", customer[0], customer[1], "--level", "20", "--late", "5s"], &["plans.toml"]),
    ];
    for (words, names) in all {
        let files: Vec<String> = names.iter().map(|name| file(name)).collect();
        let words: Vec<&str> = words.iter().copied().chain(files.iter().map(String::as_str)).collect();
        transcript.add(&words, &run(&[&words[..], &["-o", "json"]].concat()));
    }
    transcript.compare("files.json");
}

#[test]
fn up_prints_recorded_json() {
    let ran =
        run(&["up", "--gateways", "1", "--backends", "2", "--load", "40", "--for", "700ms", "-o", "json"]);
    let agent = ran.out.lines().next().map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    let agent = agent.expect("a line")["up"]["agent"].as_str().expect("an agent").to_string();
    let dir = Path::new(agent.strip_prefix("unix:").expect("a Unix socket")).parent().expect("a directory");
    let mut transcript = Transcript::new(dir, VOLATILE);
    transcript.add_as("up", &ran);
    transcript.compare("up.json");
}

/// Commands, options, placeholders and environment variables in a help text.
fn names(help: &str) -> Vec<String> {
    let (mut all, mut section) = (Vec::new(), "");
    for line in help.lines() {
        if !line.starts_with(' ') {
            section = line;
            continue;
        }
        if section == "Commands:" && !line.starts_with("   ") {
            all.extend(line.split_whitespace().next().map(String::from));
        }
        let line = line.trim_start();
        if line.starts_with(['-', '<']) || line.starts_with("[possible values") {
            all.push(
                line.split("  ")
                    .next()
                    .unwrap_or_default()
                    .split(": T")
                    .next()
                    .unwrap_or_default()
                    .to_string(),
            );
        }
        if let Some((_, rest)) = line.split_once("[env: ") {
            all.push(format!("env {}", rest.split(['=', ']']).next().unwrap_or_default()));
        }
        if let Some((_, rest)) = line.split_once("[default: ") {
            all.push(format!("default {}", rest.split(']').next().unwrap_or_default()));
        }
    }
    all
}

#[test]
fn names_of_commands_and_options_are_the_recorded_ones() {
    let commands = [
        "",
        "up",
        "check",
        "status",
        "drain",
        "undrain",
        "weight",
        "orders",
        "watch",
        "sources",
        "resolve",
        "plans",
        "plans check",
        "plans show",
        "plans change",
        "gateways",
        "gateways add",
        "gateways remove",
        "agent",
        "gateway",
        "gateway ready",
        "gateway disable",
        "gateway enable",
        "gateway drain",
        "gateway undrain",
        "completions",
        "man",
    ];
    let mut all = Map::new();
    for command in commands {
        let words: Vec<&str> = command.split_whitespace().chain(["--help"]).collect();
        let ran = run(&words);
        assert_eq!(ran.code, 0, "{command}: {}", ran.err);
        all.insert(command.to_string(), names(&ran.out).into());
    }
    // The man page names each command after the program, as in PROGRAM-status(1).
    let man = run(&["man"]).out;
    let program = man.lines().find_map(|line| line.strip_prefix(".TH ")).expect("a title");
    let prefix = format!("{}\\-", program.split_whitespace().next().expect("a name"));
    let listed = man.lines().filter_map(|line| line.strip_prefix(&prefix));
    let listed: Vec<&str> = listed.map(|line| line.split('(').next().unwrap_or_default()).collect();
    let options: Vec<&str> = man.lines().filter(|line| line.starts_with("\\fB\\-")).collect();
    all.insert("man page".to_string(), json!({"commands": listed, "options": options}));
    compare("names.json", &Value::Object(all));
}

#[test]
fn request_lines_of_an_older_tool_are_answered_as_recorded() {
    let fleet = Fleet::start(1, 4);
    settled(&fleet, None);
    let mut stream = UnixStream::connect(fleet.dir.path().join("agent.sock")).expect("it listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    let mut answers = BufReader::new(stream.try_clone().expect("a socket"));
    let requests =
        include_str!("data/tool_requests.jsonl").replace("<DIR>", &fleet.dir.path().display().to_string());
    let normalizer = Normalizer { dir: fleet.dir.path(), volatile: VOLATILE };
    let mut all = Vec::new();
    for request in requests.lines() {
        writeln!(stream, "{request}").expect("it reads");
        let asked: Value = serde_json::from_str(request).expect("a record is JSON");
        // Several answers follow an order, and a status with backends; the last is "done" or "fault".
        let many = asked["op"] == "order" || asked["backends"] == true;
        loop {
            let mut line = String::new();
            answers.read_line(&mut line).expect("an answer");
            let answer: Value = serde_json::from_str(&line).expect("JSON");
            all.push(json!({"asked": asked["n"], "answer": normalizer.value(&answer)}));
            if !many || answer.get("done").is_some() || answer.get("fault").is_some() {
                break;
            }
        }
    }
    compare("tool_answers.json", &all.into());
}
