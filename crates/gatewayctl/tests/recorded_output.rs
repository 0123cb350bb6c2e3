//! JSON output and exit codes of each command, names of commands and options, and answers to an older tool:
//! what other programs read and write must stay as recorded under `tests/data`.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::Ipv4Addr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::{json, Map, Value};
use support::recorded::{compare, Normalizer, VOLATILE};
use support::{own_loopback, wait_until, CommandOutput, Fleet, Process, PROGRAM, TIMEOUT};
use testbed::dns::{Dns, Instance};
use testbed::scripted::{config, endpoint, DiscoveryStandIn, StandIn};

/// Normalized outcome of each command, by its arguments.
struct Transcript<'a> {
    normalizer: Normalizer<'a>,
    outcomes: Map<String, Value>,
}

impl<'a> Transcript<'a> {
    fn new(dir: &'a Path, volatile: &'a [&'a str]) -> Transcript<'a> {
        Transcript { normalizer: Normalizer { dir, volatile }, outcomes: Map::new() }
    }

    /// Adds the outcome of a command under its arguments.
    fn add(&mut self, args: &[&str], output: &CommandOutput) {
        self.add_as(&args.join(" "), output);
    }

    /// Adds the outcome of a command under a name.
    fn add_as(&mut self, name: &str, output: &CommandOutput) {
        let name = name.replace(&self.normalizer.dir.display().to_string(), "<DIR>");
        let previous = self.outcomes.insert(name.clone(), self.normalizer.outcome(output));
        assert!(previous.is_none(), "{name} is recorded twice");
    }

    fn compare(self, name: &str) {
        compare(name, &Value::Object(self.outcomes));
    }
}

/// Runs a command without settings from the environment.
fn run(args: &[&str]) -> CommandOutput {
    let mut command = Command::new(PROGRAM);
    command.args(args).stdin(Stdio::null()).env_remove("GW_CONFIG").env_remove("BEECHRUDDER_AGENT");
    support::run_to_exit(command)
}

/// Waits until the agent's status shows for each gateway that it lists all backends, that none of them waits
/// for its first connection, and that this order is its last.
fn wait_until_settled(fleet: &Fleet, last_order: Option<&str>) {
    fleet.wait_until_healthy();
    wait_until("the agent's status shows all gateways as settled", || {
        let status = fleet.cli_json(&["status"]).json();
        status["gateways"].as_array().expect("a list").iter().all(|gateway| {
            let state = &gateway["state"];
            let statistics = &state["figures"];
            statistics["listed"] == 4
                && statistics["waiting"] == 0
                && state["last_order"] == json!(last_order)
        })
    });
}

#[test]
fn fleet_commands_print_recorded_json() {
    let mut fleet = Fleet::start(2, 4);
    wait_until_settled(&fleet, None);
    let dir = fleet.dir.path().to_path_buf();
    let mut transcript = Transcript::new(&dir, VOLATILE);
    let nobody = format!("unix:{}/nobody.sock", dir.display());
    let mut watch = Command::new(PROGRAM)
        .args(["--agent", &fleet.agent_address().to_string(), "-o", "json", "watch"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the start succeeds");
    let mut events = BufReader::new(watch.stdout.take().expect("stdout is piped"));
    let mut next_event = || {
        let mut line = String::new();
        events.read_line(&mut line).expect("a line");
        serde_json::from_str::<Value>(&line).expect("JSON")
    };
    let first = next_event();
    let commands: &[&[&str]] = &[
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
    for args in commands {
        transcript.add(args, &fleet.cli_json(args));
    }
    let second = next_event();
    watch.kill().expect("the process is killed");
    watch.wait().expect("the wait succeeds");
    let events = transcript.normalizer.value(&json!([first, second]));
    transcript.outcomes.insert("watch".to_string(), events);
    wait_until_settled(&fleet, Some("a10"));
    fleet.gateways[1].process.kill();
    let is_unreachable =
        |output: &CommandOutput| output.json()["gateways"][1]["health"].get("unreachable").is_some();
    wait_until("the agent reports the gateway as unreachable", || {
        is_unreachable(&fleet.cli_json(&["status"]))
    });
    transcript.add_as("status, one unreachable", &fleet.cli_json(&["status"]));
    let args = ["undrain", "type/m", "--id", "a11", "--deadline", "1s"];
    transcript.add(&args, &fleet.cli_json(&args));
    fleet.kill_agent();
    let args = ["orders", "-n", "2"];
    transcript.add(&args, &fleet.cli_json(&args));
    transcript.compare("fleet.json");
}

#[test]
fn endpoint_list_commands_print_recorded_json() {
    let service = "_till._tcp.ub-room.test";
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let dns = runtime.block_on(Dns::start(1, 1)).expect("the resolver starts");
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
    let fleet = Fleet::start_with(0, 1, &[], &settings);
    wait_until("the records are known", || fleet.cli_json(&["sources"]).code == 0);
    let dir = fleet.dir.path();
    let mut transcript = Transcript::new(dir, VOLATILE);
    for args in [&["sources"][..], &["sources", "--records"]] {
        transcript.add(args, &fleet.cli_json(args));
    }
    let missing = "_none._tcp.ub-room.test";
    for (name, args) in [
        ("resolve", &["resolve", service, "--server", &resolver][..]),
        ("resolve --records", &["resolve", service, "--server", &resolver, "--records"]),
        ("resolve, no such service", &["resolve", missing, "--server", &resolver]),
        ("resolve, no service", &["resolve", "till", "--server", &resolver]),
    ] {
        transcript.add_as(name, &run(&[&["-o", "json"], args].concat()));
    }
    transcript.compare("lists.json");
}

#[test]
fn gateway_commands_print_recorded_json() {
    let (agent, counter, backend) = (DiscoveryStandIn::start(), StandIn::counter(), StandIn::backend());
    let known = [endpoint("s-0", backend.address, 1, "SERVING", 0.0)];
    let mut gateway_config = config(agent.address, counter.address, &known);
    // No other test process binds ports of this address.
    let host = own_loopback();
    let (address, unused) = (&*format!("{host}:7099"), &*format!("{host}:7098"));
    gateway_config["management"] = json!(address);
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("gateway.json");
    std::fs::write(&file, gateway_config.to_string()).expect("the file is written");
    let log = dir.path().join("gateway.log");
    let (_gateway, _) = Process::start(&["gateway"], Some(&file), &log, &["listening on "]);
    wait_until("the gateway is ready", || run(&["gateway", "ready", "--at", address]).code == 0);
    let mut transcript = Transcript::new(dir.path(), &[]);
    let commands: &[&[&str]] = &[
        &["gateway", "ready", "--at", address],
        &["gateway", "disable", "s-0", "--at", address],
        &["gateway", "enable", "s-0", "--at", address],
        &["gateway", "enable", "s-1", "--at", address],
        &["gateway", "disable", "two words", "--at", address],
        &["gateway", "drain", "--at", address, "--at", unused],
        &["gateway", "ready", "--at", address, "--deadline", "1s"],
        &["gateway", "undrain", "--at", address],
        &["gateway", "ready", "--at", unused],
    ];
    for args in commands {
        transcript.add(args, &run(&[*args, &["-o", "json"][..]].concat()));
    }
    let outcomes = Value::Object(transcript.outcomes).to_string().replace(&host, "127.77.1.1");
    compare("calls.json", &serde_json::from_str(&outcomes).expect("JSON"));
}

#[test]
fn file_commands_print_recorded_json() {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let file = |name: &str| data.join(name).display().to_string();
    let mut transcript = Transcript::new(&data, &[]);
    let customer = ["--customer", "00000000b4d65521"];
    let commands: &[(&[&str], &[&str])] = &[
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
    for (args, names) in commands {
        let files: Vec<String> = names.iter().map(|name| file(name)).collect();
        let args: Vec<&str> = args.iter().copied().chain(files.iter().map(String::as_str)).collect();
        transcript.add(&args, &run(&[&args[..], &["-o", "json"]].concat()));
    }
    transcript.compare("files.json");
}

#[test]
fn up_prints_recorded_json() {
    let output =
        run(&["up", "--gateways", "1", "--backends", "2", "--load", "40", "--for", "700ms", "-o", "json"]);
    let agent = output.stdout.lines().next().map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    let agent = agent.expect("a line")["up"]["agent"].as_str().expect("an agent").to_string();
    let dir = Path::new(agent.strip_prefix("unix:").expect("a Unix socket")).parent().expect("a directory");
    let mut transcript = Transcript::new(dir, VOLATILE);
    transcript.add_as("up", &output);
    transcript.compare("up.json");
}

/// Returns the commands, options, placeholders, environment variables and defaults in a help text.
fn names_in_help(help: &str) -> Vec<String> {
    let (mut names, mut section) = (Vec::new(), "");
    for line in help.lines() {
        if !line.starts_with(' ') {
            section = line;
            continue;
        }
        if section == "Commands:" && !line.starts_with("   ") {
            names.extend(line.split_whitespace().next().map(String::from));
        }
        let line = line.trim_start();
        if line.starts_with(['-', '<']) || line.starts_with("[possible values") {
            names.push(
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
            names.push(format!("env {}", rest.split(['=', ']']).next().unwrap_or_default()));
        }
        if let Some((_, rest)) = line.split_once("[default: ") {
            names.push(format!("default {}", rest.split(']').next().unwrap_or_default()));
        }
    }
    names
}

#[test]
fn command_and_option_names_match_recorded_ones() {
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
    let mut recorded = Map::new();
    for command in commands {
        let args: Vec<&str> = command.split_whitespace().chain(["--help"]).collect();
        let output = run(&args);
        assert_eq!(output.code, 0, "{command}: {}", output.stderr);
        recorded.insert(command.to_string(), names_in_help(&output.stdout).into());
    }
    // The man page lists each command with the program name as prefix, such as PROGRAM-status(1).
    let man = run(&["man"]).stdout;
    let program = man.lines().find_map(|line| line.strip_prefix(".TH ")).expect("a title");
    let prefix = format!("{}\\-", program.split_whitespace().next().expect("a name"));
    let subcommands = man.lines().filter_map(|line| line.strip_prefix(&prefix));
    let subcommands: Vec<&str> = subcommands.map(|line| line.split('(').next().unwrap_or_default()).collect();
    let options: Vec<&str> = man.lines().filter(|line| line.starts_with("\\fB\\-")).collect();
    recorded.insert("man page".to_string(), json!({"commands": subcommands, "options": options}));
    compare("names.json", &Value::Object(recorded));
}

#[test]
fn older_tool_requests_get_recorded_answers() {
    let fleet = Fleet::start(1, 4);
    wait_until_settled(&fleet, None);
    let mut stream = UnixStream::connect(fleet.dir.path().join("agent.sock")).expect("the peer is reachable");
    stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is set");
    let mut responses = BufReader::new(stream.try_clone().expect("a socket"));
    let requests =
        include_str!("data/tool_requests.jsonl").replace("<DIR>", &fleet.dir.path().display().to_string());
    let normalizer = Normalizer { dir: fleet.dir.path(), volatile: VOLATILE };
    let mut answers = Vec::new();
    for request in requests.lines() {
        writeln!(stream, "{request}").expect("the write succeeds");
        let sent: Value = serde_json::from_str(request).expect("the recording is JSON");
        // An order, or a status with backends, gets several answers, of which the last is "done" or "fault".
        let has_several_answers = sent["op"] == "order" || sent["backends"] == true;
        loop {
            let mut line = String::new();
            responses.read_line(&mut line).expect("a response");
            let answer: Value = serde_json::from_str(&line).expect("JSON");
            answers.push(json!({"asked": sent["n"], "answer": normalizer.value(&answer)}));
            if !has_several_answers || answer.get("done").is_some() || answer.get("fault").is_some() {
                break;
            }
        }
    }
    compare("tool_answers.json", &answers.into());
}
