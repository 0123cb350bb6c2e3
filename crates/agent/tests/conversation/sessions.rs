//! What the agent announces of sessions that fail.

use serde_json::json;

use crate::support::{accept, ask, gateway_state, listen_as_gateway, Connection, Fixture};

/// Has a gateway overseen that gives one answer to the first request, and gives what is said of it.
async fn said_of(agent: &Fixture, watcher: &mut Connection, answer: Option<&str>) -> String {
    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let (listener, address) = listen_as_gateway(agent, "n1");
    ask(&mut tool, json!({"n": 1, "op": "register", "name": "n1", "address": address})).await;
    assert_eq!(watcher.event().await, format!("gateway n1 is overseen, at {address}"));
    let mut gateway = accept(&listener).await;
    gateway.receive().await;
    match answer {
        Some("") => gateway.shut_down().await,
        Some(answer) => gateway.send_text(answer).await,
        None => {}
    }
    let event = watcher.event().await;
    ask(&mut tool, json!({"n": 1, "op": "deregister", "name": "n1"})).await;
    assert_eq!(watcher.event().await, "gateway n1 is overseen no more");
    std::fs::remove_file(agent.path("n1.sock")).expect("it is there");
    event.strip_prefix("gateway n1 is unreachable: ").expect("it is unreachable").to_string()
}

#[tokio::test]
async fn announces_failed_sessions_as_recorded() {
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
async fn announces_silent_and_misnamed_gateways_as_recorded() {
    let agent = Fixture::start(2_000).await;
    let mut watcher = Connection::connect(&agent.path("agent.sock")).await;
    ask(&mut watcher, json!({"n": 9, "op": "watch"})).await;
    assert_eq!(said_of(&agent, &mut watcher, None).await, "no answer within 2000 ms");

    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let (listener, address) = listen_as_gateway(&agent, "n2");
    ask(&mut tool, json!({"n": 1, "op": "register", "name": "n2", "address": address})).await;
    watcher.event().await;
    let mut gateway = accept(&listener).await;
    gateway.receive().await;
    let holds = json!({"term": 1, "seq": 0});
    gateway.send(json!({"n": 1, "applied": {"boot": 7, "holds": holds, "verdicts": []}})).await;
    gateway.receive().await;
    gateway.send(json!({"n": 2, "state": gateway_state(7, 0, 1, true)})).await;
    assert_eq!(watcher.event().await, "gateway n2 is unreachable: gateway n1 answers there");
    agent.end().await;
}
