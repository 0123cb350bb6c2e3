//! Events that the agent announces for failed sessions.

use serde_json::json;

use crate::support::{accept, gateway_state, listen_as_gateway, request, AgentFixture, Connection};

/// Registers a gateway that sends `response` to the first request; an empty one closes the connection, `None`
/// sends nothing. Returns the reason in the event that the gateway is unreachable.
async fn failure_reason(agent: &AgentFixture, watcher: &mut Connection, response: Option<&str>) -> String {
    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let (listener, address) = listen_as_gateway(agent, "n1");
    request(&mut tool, json!({"n": 1, "op": "register", "name": "n1", "address": address})).await;
    assert_eq!(watcher.receive_event().await, format!("gateway n1 is overseen, at {address}"));
    let mut gateway = accept(&listener).await;
    gateway.receive().await;
    match response {
        Some("") => gateway.shut_down().await,
        Some(response) => gateway.send_text(response).await,
        None => {}
    }
    let event = watcher.receive_event().await;
    request(&mut tool, json!({"n": 1, "op": "deregister", "name": "n1"})).await;
    assert_eq!(watcher.receive_event().await, "gateway n1 is overseen no more");
    std::fs::remove_file(agent.path("n1.sock")).expect("socket exists");
    event.strip_prefix("gateway n1 is unreachable: ").expect("event for an unreachable gateway").to_string()
}

#[tokio::test]
async fn announces_failed_sessions_as_recorded() {
    let agent = AgentFixture::start(20_000).await;
    let mut watcher = Connection::connect(&agent.path("agent.sock")).await;
    request(&mut watcher, json!({"n": 9, "op": "watch"})).await;
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
    for (response, reason) in cases {
        assert_eq!(failure_reason(&agent, &mut watcher, Some(response)).await, reason);
    }
    agent.shut_down().await;
}

#[tokio::test]
async fn announces_silent_and_misnamed_gateways_as_recorded() {
    let agent = AgentFixture::start(2_000).await;
    let mut watcher = Connection::connect(&agent.path("agent.sock")).await;
    request(&mut watcher, json!({"n": 9, "op": "watch"})).await;
    assert_eq!(failure_reason(&agent, &mut watcher, None).await, "no answer within 2000 ms");

    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let (listener, address) = listen_as_gateway(&agent, "n2");
    request(&mut tool, json!({"n": 1, "op": "register", "name": "n2", "address": address})).await;
    watcher.receive_event().await;
    let mut gateway = accept(&listener).await;
    gateway.receive().await;
    let holds = json!({"term": 1, "seq": 0});
    gateway.send(json!({"n": 1, "applied": {"boot": 7, "holds": holds, "verdicts": []}})).await;
    gateway.receive().await;
    gateway.send(json!({"n": 2, "state": gateway_state(7, 0, 1, true)})).await;
    assert_eq!(watcher.receive_event().await, "gateway n2 is unreachable: gateway n1 answers there");
    agent.shut_down().await;
}
