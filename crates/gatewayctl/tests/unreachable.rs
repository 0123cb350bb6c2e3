//! Gateways that are silent, gone or not what they say; orders that come again and again.

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
    let mut fleet = Fleet::with(3, 4, &["n3"], "least_ready = 0.0");
    // One that accepts and never answers.
    let hole = fleet.dir.path().join("n3.sock");
    let listener = UnixListener::bind(&hole).expect("a socket");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || std::io::copy(&mut stream.by_ref(), &mut std::io::sink()));
        }
    });
    wait_until("three are well", || {
        let all = fleet.json(&["status"]).json();
        all["gateways"].as_array().expect("a list").iter().filter(|g| g["health"] == "ok").count() == 3
    });
    let loading = fleet.load(1, 100.0);
    fleet.gateways[1].process.signal("-STOP");
    fleet.gateways[2].process.kill();
    let start = Instant::now();
    let ran = fleet.json(&["drain", "till-0", "--deadline", "8s"]);
    assert!(start.elapsed() < TIMEOUT, "the deadline is 8 s");
    assert_eq!(ran.code, 3, "{} {}", ran.out, ran.err);
    assert_eq!(ran.did("n0")["outcome"], "applied");
    for name in ["n1", "n2", "n3"] {
        let did = ran.did(name);
        assert_eq!(did["did"], "unreachable", "{did}");
        assert!(!did["why"].as_str().expect("why").is_empty());
    }
    let status = fleet.json(&["status"]);
    assert_eq!(status.code, 3);
    let shown = fleet.cli(&["status"]);
    assert_eq!(shown.out.matches("unreachable").count(), 3, "{}", shown.out);
    // Another order on the way, so that what they missed is more than one.
    assert_eq!(fleet.json(&["weight", "till-1", "0.5"]).code, 3);
    // Each is back, without a word to the agent.
    fleet.gateways[1].process.signal("-CONT");
    fleet.restart(2);
    std::fs::remove_file(&hole).expect("the hole is closed");
    let late = fleet.gateway("n3", 3, 4);
    fleet.gateways.push(late);
    fleet.wait_until_healthy();
    for place in 0..4 {
        assert!(fleet.drained(place, "till-0"), "gateway {place}");
        let all = fleet.state(place).backends.expect("asked for");
        assert_eq!(all.iter().find(|b| b.name == "till-1").expect("listed").weight, 0.5);
    }
    let tally = fleet.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn gateways_keep_their_state_without_an_agent() {
    let mut fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    assert_eq!(fleet.json(&["drain", "till-0"]).code, 0);
    fleet.kill_agent();
    let gone = fleet.json(&["status"]);
    assert_eq!(gone.code, 5, "{}", gone.err);
    assert!(gone.err.contains("no agent: unix:"), "{}", gone.err);
    let loading = fleet.load(2, 200.0);
    wait_until("there is work", || loading.load.counts().served > 200);
    assert!(fleet.drained(0, "till-0") && fleet.drained(1, "till-0"));
    assert_eq!(fleet.backends[0].arrived(), 0);
    // One that starts anew meanwhile is empty; the agent brings it up to date before anything else.
    fleet.restart(1);
    assert!(!fleet.drained(1, "till-0"));
    fleet.start_agent();
    fleet.wait_until_healthy();
    assert!(fleet.drained(1, "till-0"));
    fleet.finish(loading);
}

#[test]
fn rejects_gateway_that_answers_under_another_name() {
    let fleet = Fleet::start(1, 2);
    let own = fleet.gateways[0].admin.to_string();
    assert_eq!(fleet.json(&["gateways", "add", "other", &own]).code, 0);
    wait_until("it is told apart", || {
        let all = fleet.json(&["status"]).json();
        let other =
            all["gateways"].as_array().expect("a list").iter().find(|g| g["name"] == "other").cloned();
        other.expect("named")["health"]["unreachable"]["why"] == "gateway n0 answers there"
    });
    assert_eq!(fleet.json(&["gateways", "remove", "other"]).code, 0);
    fleet.wait_until_healthy();
    let fixed = fleet.json(&["gateways", "remove", "n0"]);
    assert_eq!(fixed.code, 4);
    assert!(fixed.err.contains("operator's file"), "{}", fixed.err);
    assert_eq!(fleet.json(&["gateways", "remove", "none"]).code, 4);
    assert_eq!(fleet.json(&["gateways", "add", "n0", "unix:/elsewhere"]).code, 4);
}

#[test]
fn gateway_registers_itself_under_a_free_name_only() {
    let settings = "register = \"unix:REGISTER\"";
    let dir = tempfile::Builder::new().prefix("br-").tempdir().expect("a folder");
    let at = dir.path().join("register.sock").display().to_string();
    let mut fleet = Fleet::with(1, 4, &[], &settings.replace("REGISTER", &at));
    fleet.wait_until_healthy();
    let file = dir.path().join("own.toml");
    let admin = |socket: &str| {
        let own = dir.path().join(socket).display().to_string();
        let text = format!("[admin]\nlisten = \"unix:{own}\"\nagent = \"unix:{at}\"\n");
        std::fs::write(&file, text).expect("room");
    };
    let start = |fleet: &Fleet, name: &str, socket: &str| {
        admin(socket);
        let text = std::fs::read_to_string(fleet.dir.path().join("n0.json")).expect("there");
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        (config["listen"], config["name"]) = ("127.0.0.1:0".into(), name.into());
        let path = dir.path().join(format!("{socket}.json"));
        std::fs::write(&path, config.to_string()).expect("room");
        let words = ["gateway", "--operator", &file.display().to_string()];
        let log = dir.path().join(format!("{socket}.log"));
        support::Process::start(&words, Some(&path), &log, &["admin on ", "listening on "]).0
    };
    let known = |fleet: &Fleet, name: &str| {
        let all = fleet.json(&["status"]).json();
        let all = all["gateways"].as_array().expect("a list").clone();
        all.into_iter().find(|g| g["name"] == name && g["health"] == "ok")
    };
    let _own = start(&fleet, "own", "own");
    wait_until("it is overseen", || known(&fleet, "own").is_some());
    let address = known(&fleet, "own").expect("it is")["address"].clone();
    // Another under its name is refused while it answers, and its orders stay its own.
    let imposter = start(&fleet, "own", "imposter");
    wait_until("it is told why", || imposter.log_text().contains("own answers at unix:"));
    assert_eq!(known(&fleet, "own").expect("it is")["address"], address);
    // On that listener nothing else can be asked.
    let agent = format!("unix:{at}");
    let output =
        std::process::Command::new(support::PROGRAM).args(["--agent", &agent, "drain", "till-0"]).output();
    let ran = support::Ran::from(output.expect("it runs"));
    assert_eq!(ran.code, 4);
    assert!(ran.err.contains("gateways register here"), "{}", ran.err);
    // It is written down.
    fleet.kill_agent();
    fleet.start_agent();
    wait_until("it is overseen still", || known(&fleet, "own").is_some());
}

#[test]
fn repeated_order_id_is_one_order() {
    let fleet = Fleet::start(3, 4);
    fleet.wait_until_healthy();
    let address = fleet.agent_address();
    let answers: Vec<(bool, u64, u32)> = fleet.runtime.block_on(async {
        let mut tools = tokio::task::JoinSet::new();
        for _ in 0..40 {
            let address = address.clone();
            tools.spawn(async move {
                let connected = Connector::default().connect(&address, TIMEOUT, MAX_LINE_BYTES).await;
                let (mut lines, mut answers) = (connected.expect("it listens"), Vec::new());
                for n in 0..25 {
                    let (id, subject) = ("one".parse().expect("an id"), "till-0".parse().expect("one"));
                    let (change, forced, deadline_ms) = (Change::Drain, false, 20_000);
                    let body = ToolRequest::Order { id, subject, change, forced, deadline_ms };
                    lines.send(&Envelope { request_id: n, body }).await.expect("it listens");
                    let mut accepted = None;
                    loop {
                        let said: Option<Envelope<ToolResponse>> = lines.next().await.expect("a line");
                        match said.expect("an answer").body {
                            ToolResponse::Accepted(a) => accepted = Some((a.repeated, a.revision.seq)),
                            ToolResponse::Done(done) => {
                                let (repeated, seq) = accepted.expect("accepted first");
                                answers.push((repeated, seq, done.succeeded));
                                break;
                            }
                            ToolResponse::Instance(_) => {}
                            other => panic!("{other:?}"),
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
    let orders = fleet.json(&["orders"]);
    assert_eq!(orders.out.lines().count(), 1, "{}", orders.out);
    // Drained once: an undrain takes it back whole.
    assert_eq!(fleet.json(&["undrain", "till-0"]).code, 0);
    assert!((0..3).all(|place| !fleet.drained(place, "till-0")));
    // The first order again is told as what it was, and does not drain.
    let again = fleet.json(&["drain", "till-0", "--id", "one"]);
    assert_eq!((again.code, &again.json()["accepted"]["repeated"]), (0, &true.into()));
    assert!(!fleet.drained(0, "till-0"));
    let reused = fleet.json(&["drain", "till-1", "--id", "one"]);
    assert_eq!(reused.code, 4);
    assert!(reused.err.contains("was given to drain backend/till-0"), "{}", reused.err);
}
