//! Gateways that are silent, stopped or answer under another name; registration; repeated orders.

mod support;

use std::io::Read;
use std::os::unix::net::UnixListener;
use std::time::Instant;

use fleet::wire::{Envelope, ToolRequest, ToolResponse, MAX_LINE_BYTES};
use fleet::Change;
use support::{wait_until, Fleet, TIMEOUT};
use transport::Connector;

#[test]
fn unreachable_gateways_are_named_and_converge() {
    let mut fleet = Fleet::start_with(3, 4, &["n3"], "least_ready = 0.0");
    // Gateway n3 accepts connections and never answers.
    let silent_socket = fleet.dir.path().join("n3.sock");
    let listener = UnixListener::bind(&silent_socket).expect("a socket");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || std::io::copy(&mut stream.by_ref(), &mut std::io::sink()));
        }
    });
    wait_until("three gateways are ok", || {
        let status = fleet.cli_json(&["status"]).json();
        status["gateways"].as_array().expect("a list").iter().filter(|g| g["health"] == "ok").count() == 3
    });
    let running_load = fleet.start_load(1, 100.0);
    fleet.gateways[1].process.signal("-STOP");
    fleet.gateways[2].process.kill();
    let start = Instant::now();
    let output = fleet.cli_json(&["drain", "till-0", "--deadline", "8s"]);
    assert!(start.elapsed() < TIMEOUT, "the deadline is 8 s");
    assert_eq!(output.code, 3, "{} {}", output.stdout, output.stderr);
    assert_eq!(output.report_on("n0")["outcome"], "applied");
    for name in ["n1", "n2", "n3"] {
        let report = output.report_on(name);
        assert_eq!(report["did"], "unreachable", "{report}");
        assert!(!report["why"].as_str().expect("a reason").is_empty());
    }
    let status = fleet.cli_json(&["status"]);
    assert_eq!(status.code, 3);
    let table = fleet.cli(&["status"]);
    assert_eq!(table.stdout.matches("unreachable").count(), 3, "{}", table.stdout);
    // A second order, so that the unreachable gateways miss more than one.
    assert_eq!(fleet.cli_json(&["weight", "till-1", "0.5"]).code, 3);
    // All gateways become reachable again; the agent is not notified.
    fleet.gateways[1].process.signal("-CONT");
    fleet.restart(2);
    std::fs::remove_file(&silent_socket).expect("the socket is removed");
    let started = fleet.start_gateway("n3", 3, 4);
    fleet.gateways.push(started);
    fleet.wait_until_healthy();
    for index in 0..4 {
        assert!(fleet.is_drained(index, "till-0"), "gateway {index}");
        let backends = fleet.state(index).backends.expect("the backends are included");
        assert_eq!(backends.iter().find(|b| b.name == "till-1").expect("the backend is listed").weight, 0.5);
    }
    let counts = fleet.finish_load(running_load);
    assert_eq!(counts.lost, 0, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn gateways_keep_their_state_without_an_agent() {
    let mut fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    assert_eq!(fleet.cli_json(&["drain", "till-0"]).code, 0);
    fleet.kill_agent();
    let status = fleet.cli_json(&["status"]);
    assert_eq!(status.code, 5, "{}", status.stderr);
    assert!(status.stderr.contains("no agent: unix:"), "{}", status.stderr);
    let running_load = fleet.start_load(2, 200.0);
    wait_until("requests are served", || running_load.load.counts().served > 200);
    assert!(fleet.is_drained(0, "till-0") && fleet.is_drained(1, "till-0"));
    assert_eq!(fleet.backends[0].arrived(), 0);
    // A gateway that restarts without an agent has no orders until the agent sends them.
    fleet.restart(1);
    assert!(!fleet.is_drained(1, "till-0"));
    fleet.start_agent();
    fleet.wait_until_healthy();
    assert!(fleet.is_drained(1, "till-0"));
    fleet.finish_load(running_load);
}

#[test]
fn rejects_gateway_that_answers_under_another_name() {
    let fleet = Fleet::start(1, 2);
    let address = fleet.gateways[0].admin.to_string();
    assert_eq!(fleet.cli_json(&["gateways", "add", "other", &address]).code, 0);
    wait_until("the name mismatch is reported", || {
        let status = fleet.cli_json(&["status"]).json();
        let other =
            status["gateways"].as_array().expect("a list").iter().find(|g| g["name"] == "other").cloned();
        other.expect("the gateway is listed")["health"]["unreachable"]["why"] == "gateway n0 answers there"
    });
    assert_eq!(fleet.cli_json(&["gateways", "remove", "other"]).code, 0);
    fleet.wait_until_healthy();
    let configured = fleet.cli_json(&["gateways", "remove", "n0"]);
    assert_eq!(configured.code, 4);
    assert!(configured.stderr.contains("operator's file"), "{}", configured.stderr);
    assert_eq!(fleet.cli_json(&["gateways", "remove", "none"]).code, 4);
    assert_eq!(fleet.cli_json(&["gateways", "add", "n0", "unix:/elsewhere"]).code, 4);
}

#[test]
fn gateway_registers_only_under_an_unused_name() {
    let agent_settings = "register = \"unix:REGISTER\"";
    let dir = tempfile::Builder::new().prefix("br-").tempdir().expect("a temporary directory");
    let register = dir.path().join("register.sock").display().to_string();
    let mut fleet = Fleet::start_with(1, 4, &[], &agent_settings.replace("REGISTER", &register));
    fleet.wait_until_healthy();
    let file = dir.path().join("own.toml");
    let write_operator_config = |socket: &str| {
        let admin = dir.path().join(socket).display().to_string();
        let text = format!("[admin]\nlisten = \"unix:{admin}\"\nagent = \"unix:{register}\"\n");
        std::fs::write(&file, text).expect("the file is written");
    };
    let start = |fleet: &Fleet, name: &str, socket: &str| {
        write_operator_config(socket);
        let text = std::fs::read_to_string(fleet.dir.path().join("n0.json")).expect("the file is readable");
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        (config["listen"], config["name"]) = ("127.0.0.1:0".into(), name.into());
        let path = dir.path().join(format!("{socket}.json"));
        std::fs::write(&path, config.to_string()).expect("the file is written");
        let args = ["gateway", "--operator", &file.display().to_string()];
        let log = dir.path().join(format!("{socket}.log"));
        support::Process::start(&args, Some(&path), &log, &["admin on ", "listening on "]).0
    };
    let healthy_gateway = |fleet: &Fleet, name: &str| {
        let status = fleet.cli_json(&["status"]).json();
        let gateways = status["gateways"].as_array().expect("a list").clone();
        gateways.into_iter().find(|g| g["name"] == name && g["health"] == "ok")
    };
    let _registered = start(&fleet, "own", "own");
    wait_until("the gateway is registered", || healthy_gateway(&fleet, "own").is_some());
    let address = healthy_gateway(&fleet, "own").expect("the gateway is listed")["address"].clone();
    // While the first gateway answers, another one with the same name is rejected, and the agent keeps the
    // address of the first.
    let duplicate = start(&fleet, "own", "duplicate");
    wait_until("the rejection is logged", || duplicate.log_text().contains("own answers at unix:"));
    assert_eq!(healthy_gateway(&fleet, "own").expect("the gateway is listed")["address"], address);
    // The registration listener accepts no other requests.
    let agent = format!("unix:{register}");
    let output =
        std::process::Command::new(support::PROGRAM).args(["--agent", &agent, "drain", "till-0"]).output();
    let output = support::CommandOutput::from(output.expect("the program runs"));
    assert_eq!(output.code, 4);
    assert!(output.stderr.contains("gateways register here"), "{}", output.stderr);
    // The registration is stored and survives a restart of the agent.
    fleet.kill_agent();
    fleet.start_agent();
    wait_until("the gateway is still registered", || healthy_gateway(&fleet, "own").is_some());
}

#[test]
fn repeated_order_id_creates_one_order() {
    let fleet = Fleet::start(3, 4);
    fleet.wait_until_healthy();
    let address = fleet.agent_address();
    let answers: Vec<(bool, u64, u32)> = fleet.runtime.block_on(async {
        let mut tools = tokio::task::JoinSet::new();
        for _ in 0..40 {
            let address = address.clone();
            tools.spawn(async move {
                let connected = Connector::default().connect(&address, TIMEOUT, MAX_LINE_BYTES).await;
                let (mut lines, mut answers) = (connected.expect("the peer is reachable"), Vec::new());
                for n in 0..25 {
                    let (id, subject) = ("one".parse().expect("an id"), "till-0".parse().expect("a subject"));
                    let (change, forced, deadline_ms) = (Change::Drain, false, 20_000);
                    let body = ToolRequest::Order { id, subject, change, forced, deadline_ms };
                    lines.send(&Envelope { request_id: n, body }).await.expect("the peer is reachable");
                    let mut accepted = None;
                    loop {
                        let response: Option<Envelope<ToolResponse>> = lines.next().await.expect("a line");
                        match response.expect("a response").body {
                            ToolResponse::Accepted(a) => accepted = Some((a.repeated, a.revision.seq)),
                            ToolResponse::Done(done) => {
                                let (repeated, seq) =
                                    accepted.expect("the order is accepted before it is done");
                                answers.push((repeated, seq, done.succeeded));
                                break;
                            }
                            ToolResponse::Instance(_) => {}
                            other => panic!("unexpected response: {other:?}"),
                        }
                    }
                }
                answers
            });
        }
        tools.join_all().await.concat()
    });
    assert_eq!(answers.len(), 1_000);
    assert_eq!(answers.iter().filter(|(repeated, ..)| !repeated).count(), 1);
    assert!(answers.iter().all(|(_, seq, done)| (*seq, *done) == (1, 3)), "{answers:?}");
    let orders = fleet.cli_json(&["orders"]);
    assert_eq!(orders.stdout.lines().count(), 1, "{}", orders.stdout);
    // The backend was drained once, so a single undrain cancels it.
    assert_eq!(fleet.cli_json(&["undrain", "till-0"]).code, 0);
    assert!((0..3).all(|index| !fleet.is_drained(index, "till-0")));
    // Repeating the first order returns its result and does not drain again.
    let repeated = fleet.cli_json(&["drain", "till-0", "--id", "one"]);
    assert_eq!((repeated.code, &repeated.json()["accepted"]["repeated"]), (0, &true.into()));
    assert!(!fleet.is_drained(0, "till-0"));
    let reused = fleet.cli_json(&["drain", "till-1", "--id", "one"]);
    assert_eq!(reused.code, 4);
    assert!(reused.stderr.contains("was given to drain backend/till-0"), "{}", reused.stderr);
}
