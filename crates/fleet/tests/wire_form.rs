//! Compatibility of the wire format with recorded lines: messages are parsed and serialized again byte for
//! byte, and lines of other versions are still parsed or rejected as recorded.

use std::collections::BTreeSet;

use fleet::wire::{Envelope, GatewayRequest, GatewayResponse, ToolRequest, ToolResponse};
use serde::{de::DeserializeOwned, Serialize};
use serde_json::Value;

const GATEWAY_REQUESTS: &str = include_str!("data/gateway-requests.jsonl");
const GATEWAY_RESPONSES: &str = include_str!("data/gateway-responses.jsonl");
const TOOL_REQUESTS: &str = include_str!("data/tool-requests.jsonl");
const TOOL_RESPONSES: &str = include_str!("data/tool-responses.jsonl");
/// Tab-separated columns: kind of message, received line, and the line after parsing and serializing it, or
/// the error text.
const OTHER_VERSIONS: &str = include_str!("data/other-versions.txt");

fn reserialize<T: DeserializeOwned + Serialize>(line: &str) -> Result<String, serde_json::Error> {
    let message: Envelope<T> = serde_json::from_str(line)?;
    serde_json::to_string(&message)
}

fn assert_round_trips<T: DeserializeOwned + Serialize>(lines: &str) {
    for line in lines.lines() {
        let serialized = reserialize::<T>(line).unwrap_or_else(|e| panic!("{line}: {e}"));
        assert_eq!(serialized, line);
    }
}

/// The values of the field `tag` in all lines; without `tag`, the names of all fields except the request id.
fn message_kinds(lines: &str, tag: Option<&str>) -> BTreeSet<String> {
    let mut kinds = BTreeSet::new();
    for line in lines.lines() {
        let Ok(Value::Object(fields)) = serde_json::from_str(line) else { panic!("not an object: {line}") };
        match tag {
            Some(tag) => drop(kinds.insert(fields[tag].as_str().expect("a string").to_string())),
            None => kinds.extend(fields.keys().filter(|key| *key != "n").cloned()),
        }
    }
    kinds
}

fn names(all: &[&str]) -> BTreeSet<String> {
    all.iter().map(std::string::ToString::to_string).collect()
}

#[test]
fn gateway_requests_match_recorded_lines() {
    assert_eq!(message_kinds(GATEWAY_REQUESTS, Some("op")), names(&["state", "apply", "adopt", "inflight"]));
    assert_round_trips::<GatewayRequest>(GATEWAY_REQUESTS);
}

#[test]
fn gateway_responses_match_recorded_lines() {
    assert_eq!(message_kinds(GATEWAY_RESPONSES, None), names(&["state", "applied", "inflight", "fault"]));
    assert_round_trips::<GatewayResponse>(GATEWAY_RESPONSES);
}

#[test]
fn tool_requests_match_recorded_lines() {
    let all = [
        "order",
        "status",
        "orders",
        "inflight",
        "sources",
        "watch",
        "register",
        "start",
        "started",
        "deregister",
    ];
    assert_eq!(message_kinds(TOOL_REQUESTS, Some("op")), names(&all));
    assert_round_trips::<ToolRequest>(TOOL_REQUESTS);
}

#[test]
fn tool_responses_match_recorded_lines() {
    let all = [
        "accepted", "instance", "done", "status", "backends", "orders", "inflight", "sources", "starting",
        "event", "fault",
    ];
    assert_eq!(message_kinds(TOOL_RESPONSES, None), names(&all));
    assert_round_trips::<ToolResponse>(TOOL_RESPONSES);
}

#[test]
fn other_versions_are_parsed_or_rejected_as_recorded() {
    for row in OTHER_VERSIONS.lines() {
        let columns: Vec<&str> = row.split('\t').collect();
        let [kind, line, expected] = columns[..] else { panic!("expected three columns: {row}") };
        let reserialized = match kind {
            "gateway-request" => reserialize::<GatewayRequest>(line),
            "gateway-response" => reserialize::<GatewayResponse>(line),
            "tool-request" => reserialize::<ToolRequest>(line),
            "tool-response" => reserialize::<ToolResponse>(line),
            other => panic!("unknown kind {other}"),
        };
        assert_eq!(reserialized.unwrap_or_else(|e| format!("error: {e}")), expected, "{row}");
    }
}
