//! The lines between tools, agent and gateways, as recorded: what was written once is read and written again
//! byte for byte, and what other versions send is read, or refused, as it was when it was recorded.

use std::collections::BTreeSet;

use fleet::wire::{Envelope, GatewayRequest, GatewayResponse, ToolRequest, ToolResponse};
use serde::{de::DeserializeOwned, Serialize};
use serde_json::Value;

const GATEWAY_REQUESTS: &str = include_str!("data/gateway-requests.jsonl");
const GATEWAY_RESPONSES: &str = include_str!("data/gateway-responses.jsonl");
const TOOL_REQUESTS: &str = include_str!("data/tool-requests.jsonl");
const TOOL_RESPONSES: &str = include_str!("data/tool-responses.jsonl");
/// On each line, parted by tabs: the kind of message, the line as it comes, and the line that is written for
/// it again, or the text of the error.
const OTHER_VERSIONS: &str = include_str!("data/other-versions.txt");

fn read_and_write<T: DeserializeOwned + Serialize>(line: &str) -> Result<String, serde_json::Error> {
    let message: Envelope<T> = serde_json::from_str(line)?;
    serde_json::to_string(&message)
}

fn assert_round_trips<T: DeserializeOwned + Serialize>(lines: &str) {
    for line in lines.lines() {
        let written = read_and_write::<T>(line).unwrap_or_else(|e| panic!("{line}: {e}"));
        assert_eq!(written, line);
    }
}

/// The values of a field, or where there is none the names of all fields but the number.
fn kinds(lines: &str, tag: Option<&str>) -> BTreeSet<String> {
    let mut kinds = BTreeSet::new();
    for line in lines.lines() {
        let Ok(Value::Object(fields)) = serde_json::from_str(line) else { panic!("no object: {line}") };
        match tag {
            Some(tag) => drop(kinds.insert(fields[tag].as_str().expect("a text").to_string())),
            None => kinds.extend(fields.keys().filter(|key| *key != "n").cloned()),
        }
    }
    kinds
}

fn names(all: &[&str]) -> BTreeSet<String> {
    all.iter().map(std::string::ToString::to_string).collect()
}

#[test]
fn gateway_requests_keep_their_bytes() {
    assert_eq!(kinds(GATEWAY_REQUESTS, Some("op")), names(&["state", "apply", "adopt", "inflight"]));
    assert_round_trips::<GatewayRequest>(GATEWAY_REQUESTS);
}

#[test]
fn gateway_responses_keep_their_bytes() {
    assert_eq!(kinds(GATEWAY_RESPONSES, None), names(&["state", "applied", "inflight", "fault"]));
    assert_round_trips::<GatewayResponse>(GATEWAY_RESPONSES);
}

#[test]
fn tool_requests_keep_their_bytes() {
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
    assert_eq!(kinds(TOOL_REQUESTS, Some("op")), names(&all));
    assert_round_trips::<ToolRequest>(TOOL_REQUESTS);
}

#[test]
fn tool_responses_keep_their_bytes() {
    let all = [
        "accepted", "instance", "done", "status", "backends", "orders", "inflight", "sources", "starting",
        "event", "fault",
    ];
    assert_eq!(kinds(TOOL_RESPONSES, None), names(&all));
    assert_round_trips::<ToolResponse>(TOOL_RESPONSES);
}

#[test]
fn lines_of_other_versions_are_read_or_refused_as_recorded() {
    for row in OTHER_VERSIONS.lines() {
        let columns: Vec<&str> = row.split('\t').collect();
        let [kind, line, expected] = columns[..] else { panic!("three columns are wanted: {row}") };
        let written = match kind {
            "gateway-request" => read_and_write::<GatewayRequest>(line),
            "gateway-response" => read_and_write::<GatewayResponse>(line),
            "tool-request" => read_and_write::<ToolRequest>(line),
            "tool-response" => read_and_write::<ToolResponse>(line),
            other => panic!("unknown kind {other}"),
        };
        assert_eq!(written.unwrap_or_else(|e| format!("error: {e}")), expected, "{row}");
    }
}
