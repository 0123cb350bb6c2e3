//! What an agent says to a tool, to whoever watches, and to a gateway, as recorded: one scenario from the
//! registration of a gateway to its removal, over its sockets and line by line.

use std::path::{Path, PathBuf};
use std::time::Duration;

use operator_config::{AgentConfig, OperatorConfig};
use serde_json::{json, Value};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(20);

/// One side of a connection, a JSON value a line.
struct Connection {
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

impl Connection {
    fn new(stream: UnixStream) -> Connection {
        let (read, write) = stream.into_split();
        Connection { read: BufReader::new(read), write }
    }

    async fn connect(path: &Path) -> Connection {
        Connection::new(UnixStream::connect(path).await.expect("it listens"))
    }

    async fn send(&mut self, value: Value) {
        self.send_text(&value.to_string()).await;
    }

    async fn send_text(&mut self, text: &str) {
        self.write.write_all(format!("{text}\n").as_bytes()).await.expect("it reads");
    }

    async fn receive(&mut self) -> Value {
        let mut line = String::new();
        timeout(PATIENCE, self.read.read_line(&mut line)).await.expect("in time").expect("a line");
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"))
    }

    async fn event(&mut self) -> String {
        let line = self.receive().await;
        line["event"].as_str().expect("an event").to_string()
    }
}

/// A running agent and the folder with its sockets.
struct Fixture {
    folder: TempDir,
    end: oneshot::Sender<()>,
    agent: tokio::task::JoinHandle<()>,
}

impl Fixture {
    async fn start(answer_ms: u64) -> Fixture {
        let folder = tempfile::tempdir().expect("a folder");
        let at = folder.path().display();
        let text = format!(
            "[agent]\nlisten = \"unix:{at}/agent.sock\"\nregister = \"unix:{at}/register.sock\"\n\
             log = \"{at}/log\"\nheartbeat_ms = 60000\nanswer_ms = {answer_ms}"
        );
        let file = OperatorConfig::parse(Path::new("operator.toml"), &text).expect("a good file");
        let config: AgentConfig = file.agent.expect("an agent");
        let (end, ended) = oneshot::channel();
        let (ready, is_ready) = oneshot::channel();
        let agent = tokio::spawn(async move {
            let ready = move |list| ready.send(list).expect("somebody waits");
            let end = async { drop(ended.await) };
            agent::run(&config, &[], None, None, ready, end).await.expect("it runs");
        });
        assert_eq!(timeout(PATIENCE, is_ready).await.expect("in time"), Ok(None));
        Fixture { folder, end, agent }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    async fn end(self) {
        self.end.send(()).expect("it runs");
        timeout(PATIENCE, self.agent).await.expect("in time").expect("it ended well");
    }
}

fn gateway_state(boot: u64, seq: u64, term: u64, backends: bool) -> Value {
    let mut state = json!({
        "name": "n1", "version": "0.1.0", "boot": boot, "holds": {"term": term, "seq": seq},
        "last_order": null, "drained_by": null, "list": 1,
        "figures": {"listed": 4, "serving": 4, "drained": 0, "ejected": 0, "cold": 0, "waiting": 0,
            "requests": 1, "in_flight": 2, "idle_connections": 3, "client_connections": 4, "customers": 5,
            "forgotten": 6, "forgotten_units": 7},
    });
    if backends {
        let backend = |i: u32| {
            json!({"name": format!("s-{i}"), "address": "10.0.0.1:7", "group": i % 2, "type": "m2",
                "zone": "z", "serving": true, "drained_by": null, "weight": 1.0, "ejected": false,
                "warmth": 1.0, "in_flight": 0})
        };
        state["backends"] = (0..4).map(backend).collect();
    }
    state
}

/// Answers a new connection of the agent as a gateway that holds nothing.
async fn welcome(gateway: &mut Connection, boot: u64, term: u64, snapshot: &Value) {
    let asked = gateway.receive().await;
    assert_eq!(asked, json!({"n": 1, "op": "adopt", "snapshot": snapshot}));
    let holds = json!({"term": term, "seq": 0});
    gateway.send(json!({"n": 1, "applied": {"boot": boot, "holds": holds, "verdicts": []}})).await;
    assert_eq!(gateway.receive().await, json!({"n": 2, "op": "state", "backends": true}));
    gateway.send(json!({"n": 2, "state": gateway_state(boot, 0, term, true)})).await;
    // The first of the heartbeats comes at once.
    assert_eq!(gateway.receive().await, json!({"n": 3, "op": "state", "backends": false}));
    gateway.send(json!({"n": 3, "state": gateway_state(boot, 0, term, false)})).await;
}

async fn ask(tool: &mut Connection, question: Value) -> Value {
    tool.send(question).await;
    tool.receive().await
}

/// The value without what differs from run to run.
fn without(mut value: Value, object: &str, field: &str) -> Value {
    let removed = value[object].as_object_mut().expect("an object").remove(field);
    assert!(removed.is_some(), "{field} is missing in {value}");
    value
}

#[tokio::test]
async fn a_gateway_is_registered_ordered_lost_and_removed_in_the_recorded_words() {
    let agent = Fixture::start(20_000).await;
    let mut watcher = Connection::connect(&agent.path("agent.sock")).await;
    assert_eq!(ask(&mut watcher, json!({"n": 9, "op": "watch"})).await, json!({"n": 9, "event": "watching"}));
    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let status = ask(&mut tool, json!({"n": 1, "op": "status"})).await;
    let term = status["status"]["revision"]["term"].as_u64().expect("a term");
    let revision = |seq: u64| json!({"term": term, "seq": seq});
    let none = json!({"n": 1, "status": {"revision": revision(0), "gateways": [], "ordered": []}});
    assert_eq!(status, none);

    let socket = agent.path("n1.sock");
    let listener = UnixListener::bind(&socket).expect("it is free");
    let address = format!("unix:{}", socket.display());
    let register = json!({"n": 2, "op": "register", "name": "n1", "address": address});
    assert_eq!(ask(&mut tool, register.clone()).await, json!({"n": 2, "done": {"done": 1, "failed": 0}}));
    assert_eq!(watcher.event().await, format!("gateway n1 is overseen, at {address}"));
    let (stream, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("a connection");
    let mut gateway = Connection::new(stream);
    let empty = json!({"since": revision(0), "floor": {"term": 0, "seq": 0}, "registers": []});
    welcome(&mut gateway, 7, term, &empty).await;
    assert_eq!(watcher.event().await, "gateway n1 is ok");

    // An order: the gateway is told, and the tool and whoever watches are told what came of it.
    let order = json!({"n": 3, "op": "order", "id": "o-1", "subject": {"backend": "s-1"}, "change": "drain",
        "deadline_ms": 20_000});
    let counts = json!({"covered": 1, "serving": 4, "ready": 4, "left": 3});
    let accepted =
        json!({"revision": revision(1), "repeated": false, "counts": counts.clone(), "instances": 1});
    assert_eq!(ask(&mut tool, order.clone()).await, json!({"n": 3, "accepted": accepted}));
    assert_eq!(watcher.event().await, format!("order o-1 drain backend/s-1 at revision {term}.1"));
    let told =
        json!({"id": "o-1", "revision": revision(1), "subject": {"backend": "s-1"}, "change": "drain"});
    assert_eq!(gateway.receive().await, json!({"n": 4, "op": "apply", "orders": [told]}));
    let verdict = json!({"id": "o-1", "outcome": "applied", "matched": 1});
    let applied = json!({"boot": 7, "holds": revision(1), "verdicts": [verdict]});
    gateway.send(json!({"n": 4, "applied": applied})).await;
    let instance = json!({"gateway": "n1", "did": "answered", "outcome": "applied", "matched": 1});
    let answered = without(tool.receive().await, "instance", "took_ms");
    assert_eq!(answered, json!({"n": 3, "instance": instance}));
    assert_eq!(tool.receive().await, json!({"n": 3, "done": {"done": 1, "failed": 0}}));
    assert_eq!(gateway.receive().await, json!({"n": 5, "op": "state", "backends": false}));
    gateway.send(json!({"n": 5, "state": gateway_state(7, 1, term, false)})).await;

    // The same again, and others that are refused.
    let again = ask(&mut tool, order).await;
    let repeated = json!({"revision": revision(1), "repeated": true, "counts": counts, "instances": 1});
    assert_eq!(again, json!({"n": 3, "accepted": repeated}));
    let instance = json!({"gateway": "n1", "did": "answered", "outcome": "applied", "matched": null});
    let answered = without(tool.receive().await, "instance", "took_ms");
    assert_eq!(answered, json!({"n": 3, "instance": instance}));
    assert_eq!(tool.receive().await, json!({"n": 3, "done": {"done": 1, "failed": 0}}));
    let refusals = [
        (
            json!({"id": "o-1", "subject": {"backend": "s-2"}, "change": "drain"}),
            "id-reused",
            "id o-1 was given to drain backend/s-1",
        ),
        (
            json!({"id": "o-2", "subject": {"type": "m2"}, "change": "drain"}),
            "too-few",
            "would leave 0 of 4 backends ready (3 are now); 2 are to be left; --force orders it all the same",
        ),
        (
            json!({"id": "o-2", "subject": {"backend": "x"}, "change": "drain"}),
            "unknown-subject",
            "backend/x: no gateway lists such a backend; --force orders it all the same",
        ),
        (
            json!({"id": "o-2", "subject": {"gateway": "x"}, "change": "drain"}),
            "unknown-subject",
            "gateway/x: no gateway of that name is overseen",
        ),
        (
            json!({"id": "o-2", "subject": {"group": 1}, "change": {"weight": 2.0}}),
            "bad-request",
            "group/1 has no weight; a backend has",
        ),
    ];
    for (mut order, code, message) in refusals {
        order["n"] = json!(4);
        order["op"] = json!("order");
        order["deadline_ms"] = json!(20_000);
        let fault = json!({"n": 4, "fault": {"code": code, "message": message}});
        assert_eq!(ask(&mut tool, order).await, fault);
    }

    // Questions that are passed on to the gateway.
    tool.send(json!({"n": 5, "op": "inflight", "subject": {"group": 1}, "deadline_ms": 20_000})).await;
    let asked = json!({"n": 6, "op": "inflight", "subject": {"group": 1}});
    assert_eq!(gateway.receive().await, asked);
    gateway.send(json!({"n": 6, "inflight": 3})).await;
    let counted = json!([{"gateway": "n1", "did": "counted", "in_flight": 3}]);
    assert_eq!(tool.receive().await, json!({"n": 5, "inflight": counted}));
    tool.send(json!({"n": 6, "op": "status", "backends": true})).await;
    let status = tool.receive().await;
    let member = &status["status"]["gateways"][0];
    assert_eq!((&member["health"], &member["holds"]), (&json!("ok"), &revision(1)));
    assert_eq!(member["state"], gateway_state(7, 1, term, false));
    assert_eq!(gateway.receive().await, json!({"n": 7, "op": "state", "backends": true}));
    gateway.send(json!({"n": 7, "fault": {"code": "unavailable", "message": "not now"}})).await;
    let backends = json!({"gateway": "n1", "state": {"Err": "it says: not now"}});
    assert_eq!(tool.receive().await, json!({"n": 6, "backends": backends}));
    assert_eq!(tool.receive().await, json!({"n": 6, "done": {"done": 0, "failed": 1}}));
    tool.send(json!({"n": 7, "op": "inflight", "subject": {"group": 1}, "deadline_ms": 20_000})).await;
    gateway.receive().await;
    gateway.send(json!({"n": 8, "applied": {"boot": 7, "holds": revision(1), "verdicts": []}})).await;
    let counted = json!([{"gateway": "n1", "did": "unreachable", "why": "it answered something else"}]);
    assert_eq!(tool.receive().await, json!({"n": 7, "inflight": counted}));

    // The gateway ends, and comes back as another process.
    gateway.write.shutdown().await.expect("it can end");
    tool.send(json!({"n": 7, "op": "inflight", "subject": {"group": 1}, "deadline_ms": 20_000})).await;
    let counted = json!([{"gateway": "n1", "did": "unreachable", "why": "it ended the connection"}]);
    assert_eq!(tool.receive().await, json!({"n": 7, "inflight": counted}));
    assert_eq!(watcher.event().await, "gateway n1 is unreachable: it ended the connection");
    let (stream, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("a connection");
    let mut gateway = Connection::new(stream);
    let drained = json!({"subject": {"backend": "s-1"}, "revision": revision(1), "id": "o-1",
        "value": {"drained": true}});
    let held = json!({"since": revision(0), "floor": {"term": 0, "seq": 0}, "registers": [drained]});
    welcome(&mut gateway, 8, term, &held).await;
    assert_eq!(watcher.event().await, "gateway n1 has started anew");

    // An order while the gateway says nothing, and its removal.
    let order = json!({"n": 8, "op": "order", "id": "o-2", "subject": {"backend": "s-2"}, "change": "drain",
        "forced": true, "deadline_ms": 20_000});
    ask(&mut tool, order).await;
    assert_eq!(watcher.event().await, format!("order o-2 drain backend/s-2 at revision {term}.2, forced"));
    let mut other = Connection::connect(&agent.path("agent.sock")).await;
    let removed = ask(&mut other, json!({"n": 1, "op": "deregister", "name": "n1"})).await;
    assert_eq!(removed, json!({"n": 1, "done": {"done": 1, "failed": 0}}));
    let instance = json!({"gateway": "n1", "did": "unreachable", "why": "no longer overseen"});
    assert_eq!(tool.receive().await, json!({"n": 8, "instance": instance}));
    assert_eq!(tool.receive().await, json!({"n": 8, "done": {"done": 0, "failed": 1}}));
    assert_eq!(watcher.event().await, "gateway n1 is overseen no more");
    let removed = ask(&mut other, json!({"n": 2, "op": "deregister", "name": "n1"})).await;
    let fault = json!({"code": "unknown-subject", "message": "no gateway n1 is overseen"});
    assert_eq!(removed, json!({"n": 2, "fault": fault}));
    agent.end().await;
}

#[tokio::test]
async fn requests_that_cannot_be_met_are_refused_in_the_recorded_words() {
    let agent = Fixture::start(20_000).await;
    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let fault =
        |n: u64, code: &str, message: &str| json!({"n": n, "fault": {"code": code, "message": message}});
    tool.send_text("hello").await;
    let unreadable = "expected value at line 1 column 1";
    assert_eq!(tool.receive().await, fault(0, "bad-request", unreadable));
    let cases = [
        (
            json!({"n": 1, "op": "sources"}),
            fault(1, "bad-request", "the operator's file of the agent has no [sources]"),
        ),
        (
            json!({"n": 2, "op": "start", "name": "n1", "boot": 7, "gateways": 1}),
            fault(2, "bad-request", "the operator's file of the agent has no ordered_by_agent in [start]"),
        ),
        (
            json!({"n": 3, "op": "register", "name": "n1", "address": "here"}),
            fault(3, "bad-request", "unix:PATH or tcp:ADDRESS:PORT is wanted"),
        ),
        (
            json!({
            "n": 4, "op": "order", "id": "o-1", "subject": {"backend": "s-1"}, "change": "drain",
            "deadline_ms": 1
            }),
            fault(4, "unavailable", "no gateway has told its backends yet; --force orders it all the same"),
        ),
        (json!({"n": 5, "op": "orders", "most": 5}), json!({"n": 5, "orders": []})),
        (
            json!({"n": 6, "op": "inflight", "subject": {"group": 1}, "deadline_ms": 1}),
            json!({"n": 6, "inflight": []}),
        ),
    ];
    for (question, answer) in cases {
        assert_eq!(ask(&mut tool, question).await, answer);
    }
    // The listener for gateways takes registrations and nothing else.
    let mut gateway = Connection::connect(&agent.path("register.sock")).await;
    let forbidden = "gateways register here, and ask for turns, and nothing else";
    for question in [json!({"n": 1, "op": "status"}), json!({"n": 1, "op": "watch"})] {
        assert_eq!(ask(&mut gateway, question).await, fault(1, "forbidden", forbidden));
    }
    let nowhere = agent.path("none.sock");
    let register =
        json!({"n": 2, "op": "register", "name": "n1", "address": format!("unix:{}", nowhere.display())});
    assert_eq!(ask(&mut gateway, register).await, json!({"n": 2, "done": {"done": 1, "failed": 0}}));
    // A gateway that nobody answers for.
    let order = json!({"n": 7, "op": "order", "id": "o-1", "subject": {"backend": "s-1"}, "change": "drain",
        "forced": true, "deadline_ms": 20_000});
    let accepted = ask(&mut tool, order).await;
    assert_eq!(accepted["accepted"]["instances"], json!(1));
    let why = format!("unix:{}: No such file or directory (os error 2)", nowhere.display());
    let instance = json!({"gateway": "n1", "did": "unreachable", "why": why});
    assert_eq!(tool.receive().await, json!({"n": 7, "instance": instance}));
    assert_eq!(tool.receive().await, json!({"n": 7, "done": {"done": 0, "failed": 1}}));
    agent.end().await;
}

/// Has a gateway overseen that gives one answer to the first request, and gives what is said of it.
async fn said_of(agent: &Fixture, watcher: &mut Connection, answer: Option<&str>) -> String {
    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let socket = agent.path("n1.sock");
    let listener = UnixListener::bind(&socket).expect("it is free");
    let address = format!("unix:{}", socket.display());
    ask(&mut tool, json!({"n": 1, "op": "register", "name": "n1", "address": address})).await;
    assert_eq!(watcher.event().await, format!("gateway n1 is overseen, at {address}"));
    let (stream, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("a connection");
    let mut gateway = Connection::new(stream);
    gateway.receive().await;
    match answer {
        Some("") => gateway.write.shutdown().await.expect("it can end"),
        Some(answer) => gateway.send_text(answer).await,
        None => {}
    }
    let event = watcher.event().await;
    ask(&mut tool, json!({"n": 1, "op": "deregister", "name": "n1"})).await;
    assert_eq!(watcher.event().await, "gateway n1 is overseen no more");
    std::fs::remove_file(socket).expect("it is there");
    event.strip_prefix("gateway n1 is unreachable: ").expect("it is unreachable").to_string()
}

#[tokio::test]
async fn a_session_that_fails_is_told_of_in_the_recorded_words() {
    let agent = Fixture::start(20_000).await;
    let mut watcher = Connection::connect(&agent.path("agent.sock")).await;
    ask(&mut watcher, json!({"n": 9, "op": "watch"})).await;
    let long = "7".repeat((4 << 20) + 1);
    let cases = [
        (r#"{"n":1,"fault":{"code":"unavailable","message":"not now"}}"#, "it says: not now"),
        (r#"{"n":1,"inflight":3}"#, "it answered something else"),
        (
            r#"{"n":2,"applied":{"boot":7,"holds":{"term":1,"seq":1},"verdicts":[]}}"#,
            "it answered something else",
        ),
        (r#"{"n":2,"fault":{"code":"unavailable","message":"not now"}}"#, "it says: not now"),
        ("hello", "not a message: expected value at line 1 column 1"),
        (
            r#"{"n":1,"later":3}"#,
            "not a message: no variant of enum GatewaySay found in flattened data at line 1 column 17",
        ),
        (&long, "line too long; 4194304 bytes at most"),
        ("", "it ended the connection"),
    ];
    for (answer, why) in cases {
        assert_eq!(said_of(&agent, &mut watcher, Some(answer)).await, why);
    }
    agent.end().await;
}

#[tokio::test]
async fn a_gateway_that_is_silent_or_has_another_name_is_told_of_in_the_recorded_words() {
    let agent = Fixture::start(2_000).await;
    let mut watcher = Connection::connect(&agent.path("agent.sock")).await;
    ask(&mut watcher, json!({"n": 9, "op": "watch"})).await;
    assert_eq!(said_of(&agent, &mut watcher, None).await, "no answer within 2000 ms");

    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let socket = agent.path("n2.sock");
    let listener = UnixListener::bind(&socket).expect("it is free");
    let address = format!("unix:{}", socket.display());
    ask(&mut tool, json!({"n": 1, "op": "register", "name": "n2", "address": address})).await;
    watcher.event().await;
    let (stream, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("a connection");
    let mut gateway = Connection::new(stream);
    gateway.receive().await;
    let holds = json!({"term": 1, "seq": 0});
    gateway.send(json!({"n": 1, "applied": {"boot": 7, "holds": holds, "verdicts": []}})).await;
    gateway.receive().await;
    gateway.send(json!({"n": 2, "state": gateway_state(7, 0, 1, true)})).await;
    assert_eq!(watcher.event().await, "gateway n2 is unreachable: gateway n1 answers there");
    agent.end().await;
}
