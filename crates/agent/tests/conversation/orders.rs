//! Orders, queries and rejected requests, with one gateway from its registration to its removal.

use serde_json::{json, Value};
use tokio::net::UnixListener;

use crate::support::{accept, gateway_state, listen_as_gateway, request, AgentFixture, Connection};

/// Handles the first requests on a new connection, as a gateway that has applied no orders.
async fn synchronize(gateway: &mut Connection, boot: u64, term: u64, snapshot: &Value) {
    let adopt = gateway.receive().await;
    assert_eq!(adopt, json!({"n": 1, "op": "adopt", "snapshot": snapshot}));
    let holds = json!({"term": term, "seq": 0});
    gateway.send(json!({"n": 1, "applied": {"boot": boot, "holds": holds, "verdicts": []}})).await;
    assert_eq!(gateway.receive().await, json!({"n": 2, "op": "state", "backends": true}));
    gateway.send(json!({"n": 2, "state": gateway_state(boot, 0, term, true)})).await;
    // The first heartbeat is sent at once.
    assert_eq!(gateway.receive().await, json!({"n": 3, "op": "state", "backends": false}));
    gateway.send(json!({"n": 3, "state": gateway_state(boot, 0, term, false)})).await;
}

/// Removes a field whose value differs between runs.
fn without(mut value: Value, object: &str, field: &str) -> Value {
    let removed = value[object].as_object_mut().expect("an object").remove(field);
    assert!(removed.is_some(), "{field} is missing in {value}");
    value
}

/// An agent with a gateway, a tool and a watcher.
struct Scenario {
    agent: AgentFixture,
    watcher: Connection,
    tool: Connection,
    listener: UnixListener,
    gateway: Connection,
    term: u64,
}

impl Scenario {
    /// Starts an agent, and registers a gateway.
    async fn start() -> Scenario {
        let agent = AgentFixture::start(20_000).await;
        let mut watcher = Connection::connect(&agent.path("agent.sock")).await;
        assert_eq!(
            request(&mut watcher, json!({"n": 9, "op": "watch"})).await,
            json!({"n": 9, "event": "watching"})
        );
        let mut tool = Connection::connect(&agent.path("agent.sock")).await;
        let status = request(&mut tool, json!({"n": 1, "op": "status"})).await;
        let term = status["status"]["revision"]["term"].as_u64().expect("a term");
        let revision = |seq: u64| json!({"term": term, "seq": seq});
        let none = json!({"n": 1, "status": {"revision": revision(0), "gateways": [], "ordered": []}});
        assert_eq!(status, none);

        let (listener, address) = listen_as_gateway(&agent, "n1");
        let register = json!({"n": 2, "op": "register", "name": "n1", "address": address});
        assert_eq!(
            request(&mut tool, register.clone()).await,
            json!({"n": 2, "done": {"done": 1, "failed": 0}})
        );
        assert_eq!(watcher.receive_event().await, format!("gateway n1 is overseen, at {address}"));
        let mut gateway = accept(&listener).await;
        let empty = json!({"since": revision(0), "floor": {"term": 0, "seq": 0}, "registers": []});
        synchronize(&mut gateway, 7, term, &empty).await;
        assert_eq!(watcher.receive_event().await, "gateway n1 is ok");
        Scenario { agent, watcher, tool, listener, gateway, term }
    }

    fn revision(&self, seq: u64) -> Value {
        json!({"term": self.term, "seq": seq})
    }

    /// The first order of the scenario, and the guard's counts for it.
    fn first_order() -> (Value, Value) {
        let order = json!({"n": 3, "op": "order", "id": "o-1", "subject": {"backend": "s-1"},
            "change": "drain", "deadline_ms": 20_000});
        let counts = json!({"covered": 1, "serving": 4, "ready": 4, "left": 3});
        (order, counts)
    }

    /// Sends an order: the gateway receives it, and its outcome is reported to the tool and the watcher.
    async fn send_order(&mut self) {
        let (order, counts) = Scenario::first_order();
        let accepted =
            json!({"revision": self.revision(1), "repeated": false, "counts": counts, "instances": 1});
        assert_eq!(request(&mut self.tool, order).await, json!({"n": 3, "accepted": accepted}));
        assert_eq!(
            self.watcher.receive_event().await,
            format!("order o-1 drain backend/s-1 at revision {}.1", self.term)
        );
        let revision = self.revision(1);
        let sent =
            json!({"id": "o-1", "revision": revision, "subject": {"backend": "s-1"}, "change": "drain"});
        assert_eq!(self.gateway.receive().await, json!({"n": 4, "op": "apply", "orders": [sent]}));
        let verdict = json!({"id": "o-1", "outcome": "applied", "matched": 1});
        let applied = json!({"boot": 7, "holds": self.revision(1), "verdicts": [verdict]});
        self.gateway.send(json!({"n": 4, "applied": applied})).await;
        let instance = json!({"gateway": "n1", "did": "answered", "outcome": "applied", "matched": 1});
        let answered = without(self.tool.receive().await, "instance", "took_ms");
        assert_eq!(answered, json!({"n": 3, "instance": instance}));
        assert_eq!(self.tool.receive().await, json!({"n": 3, "done": {"done": 1, "failed": 0}}));
        assert_eq!(self.gateway.receive().await, json!({"n": 5, "op": "state", "backends": false}));
        self.gateway.send(json!({"n": 5, "state": gateway_state(7, 1, self.term, false)})).await;
    }

    /// Sends the same order again: nothing is sent to the gateway.
    async fn repeat_order(&mut self) {
        let (order, counts) = Scenario::first_order();
        let again = request(&mut self.tool, order).await;
        let repeated =
            json!({"revision": self.revision(1), "repeated": true, "counts": counts, "instances": 1});
        assert_eq!(again, json!({"n": 3, "accepted": repeated}));
        let instance = json!({"gateway": "n1", "did": "answered", "outcome": "applied", "matched": null});
        let answered = without(self.tool.receive().await, "instance", "took_ms");
        assert_eq!(answered, json!({"n": 3, "instance": instance}));
        assert_eq!(self.tool.receive().await, json!({"n": 3, "done": {"done": 1, "failed": 0}}));
    }

    /// Sends orders that the agent rejects.
    async fn send_invalid_orders(&mut self) {
        let cases = [
            (
                json!({"id": "o-1", "subject": {"backend": "s-2"}, "change": "drain"}),
                "id-reused",
                "id o-1 was given to drain backend/s-1",
            ),
            (
                json!({"id": "o-2", "subject": {"type": "m2"}, "change": "drain"}),
                "too-few",
                "would leave 0 of 4 backends ready (3 are now); 2 are to be left; \
                 --force orders it all the same",
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
        for (mut order, code, message) in cases {
            order["n"] = json!(4);
            order["op"] = json!("order");
            order["deadline_ms"] = json!(20_000);
            let fault = json!({"n": 4, "fault": {"code": code, "message": message}});
            assert_eq!(request(&mut self.tool, order).await, fault);
        }
    }

    /// Sends queries that the agent forwards to the gateway.
    async fn query(&mut self) {
        self.tool
            .send(json!({"n": 5, "op": "inflight", "subject": {"group": 1}, "deadline_ms": 20_000}))
            .await;
        let forwarded = json!({"n": 6, "op": "inflight", "subject": {"group": 1}});
        assert_eq!(self.gateway.receive().await, forwarded);
        self.gateway.send(json!({"n": 6, "inflight": 3})).await;
        let counted = json!([{"gateway": "n1", "did": "counted", "in_flight": 3}]);
        assert_eq!(self.tool.receive().await, json!({"n": 5, "inflight": counted}));
        self.tool.send(json!({"n": 6, "op": "status", "backends": true})).await;
        let status = self.tool.receive().await;
        let member = &status["status"]["gateways"][0];
        assert_eq!((&member["health"], &member["holds"]), (&json!("ok"), &self.revision(1)));
        assert_eq!(member["state"], gateway_state(7, 1, self.term, false));
        assert_eq!(self.gateway.receive().await, json!({"n": 7, "op": "state", "backends": true}));
        self.gateway.send(json!({"n": 7, "fault": {"code": "unavailable", "message": "not now"}})).await;
        let backends = json!({"gateway": "n1", "state": {"Err": "it says: not now"}});
        assert_eq!(self.tool.receive().await, json!({"n": 6, "backends": backends}));
        assert_eq!(self.tool.receive().await, json!({"n": 6, "done": {"done": 0, "failed": 1}}));
        self.tool
            .send(json!({"n": 7, "op": "inflight", "subject": {"group": 1}, "deadline_ms": 20_000}))
            .await;
        self.gateway.receive().await;
        self.gateway
            .send(json!({"n": 8, "applied": {"boot": 7, "holds": self.revision(1), "verdicts": []}}))
            .await;
        let counted = json!([{"gateway": "n1", "did": "unreachable", "why": "it answered something else"}]);
        assert_eq!(self.tool.receive().await, json!({"n": 7, "inflight": counted}));
    }

    /// The gateway closes the connection, and responds to the next one as a new process.
    async fn restart_gateway(&mut self) {
        self.gateway.shut_down().await;
        self.tool
            .send(json!({"n": 7, "op": "inflight", "subject": {"group": 1}, "deadline_ms": 20_000}))
            .await;
        let counted = json!([{"gateway": "n1", "did": "unreachable", "why": "it ended the connection"}]);
        assert_eq!(self.tool.receive().await, json!({"n": 7, "inflight": counted}));
        assert_eq!(self.watcher.receive_event().await, "gateway n1 is unreachable: it ended the connection");
        self.gateway = accept(&self.listener).await;
        let drained = json!({"subject": {"backend": "s-1"}, "revision": self.revision(1), "id": "o-1",
            "value": {"drained": true}});
        let held = json!({"since": self.revision(0), "floor": {"term": 0, "seq": 0}, "registers": [drained]});
        synchronize(&mut self.gateway, 8, self.term, &held).await;
        assert_eq!(self.watcher.receive_event().await, "gateway n1 has started anew");
    }

    /// Sends an order to which the gateway does not respond, and removes the gateway.
    async fn remove_gateway(&mut self) {
        let order = json!({
            "n": 8, "op": "order", "id": "o-2", "subject": {"backend": "s-2"}, "change": "drain",
            "forced": true, "deadline_ms": 20_000});
        request(&mut self.tool, order).await;
        assert_eq!(
            self.watcher.receive_event().await,
            format!("order o-2 drain backend/s-2 at revision {}.2, forced", self.term)
        );
        let mut other_tool = Connection::connect(&self.agent.path("agent.sock")).await;
        let removed = request(&mut other_tool, json!({"n": 1, "op": "deregister", "name": "n1"})).await;
        assert_eq!(removed, json!({"n": 1, "done": {"done": 1, "failed": 0}}));
        let instance = json!({"gateway": "n1", "did": "unreachable", "why": "no longer overseen"});
        assert_eq!(self.tool.receive().await, json!({"n": 8, "instance": instance}));
        assert_eq!(self.tool.receive().await, json!({"n": 8, "done": {"done": 0, "failed": 1}}));
        assert_eq!(self.watcher.receive_event().await, "gateway n1 is overseen no more");
        let removed = request(&mut other_tool, json!({"n": 2, "op": "deregister", "name": "n1"})).await;
        let fault = json!({"code": "unknown-subject", "message": "no gateway n1 is overseen"});
        assert_eq!(removed, json!({"n": 2, "fault": fault}));
    }
}

#[tokio::test]
async fn gateway_is_served_from_registration_to_removal() {
    let mut scenario = Scenario::start().await;
    scenario.send_order().await;
    scenario.repeat_order().await;
    scenario.send_invalid_orders().await;
    scenario.query().await;
    scenario.restart_gateway().await;
    scenario.remove_gateway().await;
    scenario.agent.shut_down().await;
}

#[tokio::test]
async fn invalid_requests_are_rejected_as_recorded() {
    let agent = AgentFixture::start(20_000).await;
    let mut tool = Connection::connect(&agent.path("agent.sock")).await;
    let fault =
        |n: u64, code: &str, message: &str| json!({"n": n, "fault": {"code": code, "message": message}});
    tool.send_text("hello").await;
    let parse_error = "expected value at line 1 column 1";
    assert_eq!(tool.receive().await, fault(0, "bad-request", parse_error));
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
    for (message, response) in cases {
        assert_eq!(request(&mut tool, message).await, response);
    }
    // The listener for gateways rejects requests of tools.
    let mut gateway = Connection::connect(&agent.path("register.sock")).await;
    let forbidden = "gateways register here, and ask for turns, and nothing else";
    for message in [json!({"n": 1, "op": "status"}), json!({"n": 1, "op": "watch"})] {
        assert_eq!(request(&mut gateway, message).await, fault(1, "forbidden", forbidden));
    }
    let missing = agent.path("none.sock");
    let register =
        json!({"n": 2, "op": "register", "name": "n1", "address": format!("unix:{}", missing.display())});
    assert_eq!(request(&mut gateway, register).await, json!({"n": 2, "done": {"done": 1, "failed": 0}}));
    // An order reports a gateway whose socket does not exist as unreachable.
    let order = json!({"n": 7, "op": "order", "id": "o-1", "subject": {"backend": "s-1"}, "change": "drain",
        "forced": true, "deadline_ms": 20_000});
    let accepted = request(&mut tool, order).await;
    assert_eq!(accepted["accepted"]["instances"], json!(1));
    let reason = format!("unix:{}: No such file or directory (os error 2)", missing.display());
    let instance = json!({"gateway": "n1", "did": "unreachable", "why": reason});
    assert_eq!(tool.receive().await, json!({"n": 7, "instance": instance}));
    assert_eq!(tool.receive().await, json!({"n": 7, "done": {"done": 0, "failed": 1}}));
    agent.shut_down().await;
}
