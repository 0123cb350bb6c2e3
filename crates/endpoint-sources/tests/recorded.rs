//! Responses to `GET /discovery/hosts` that gateways of released versions read, compared byte by byte.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use endpoint_sources::{serve, EndpointTable, ListedEndpoint, ListedStatus};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(20);

fn recorded_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/answers.txt")
}

/// Sends a request and returns the response without its `date` header.
async fn send_request(address: SocketAddr, request_line: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = format!("{request_line} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    timeout(TIMEOUT, stream.read_to_string(&mut text)).await.expect("in time").expect("a response");
    let lines = text.split("\r\n").filter(|line| !line.starts_with("date: "));
    lines.collect::<Vec<_>>().join("\n")
}

fn endpoint(name: &str, address: &str) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_string(),
        address: address.parse().expect("valid address"),
        zone: String::new(),
        instance_type: String::new(),
        group: 0,
        status: ListedStatus::Serving,
        weight: 1.0,
        priority: 0,
        since_ms: 0.0,
        unknown: Vec::new(),
    }
}

fn list(endpoints: impl IntoIterator<Item = ListedEndpoint>) -> BTreeMap<String, ListedEndpoint> {
    endpoints.into_iter().map(|endpoint| (endpoint.name.clone(), endpoint)).collect()
}

/// Two consecutive lists. The first has endpoints with all and with no optional fields set; the second
/// changes, removes and adds endpoints.
fn lists() -> [BTreeMap<String, ListedEndpoint>; 2] {
    let full = ListedEndpoint {
        zone: "room \"1\"".to_string(),
        instance_type: "größe".to_string(),
        group: u32::MAX,
        status: ListedStatus::Draining,
        weight: 0.25,
        priority: u16::MAX,
        since_ms: 1_800_000_000_000.0,
        ..endpoint("b", "[::1]:65535")
    };
    let plain = endpoint("a", "127.0.0.1:9000");
    let changed = ListedEndpoint { weight: 65_535.0, since_ms: 0.5, ..plain.clone() };
    [
        list([full, plain, endpoint("c", "10.0.0.3:1")]),
        list([changed, endpoint("c", "10.0.0.3:1"), endpoint("d", "10.0.0.4:1")]),
    ]
}

async fn responses() -> String {
    let (sender, table) = watch::channel(Arc::new(EndpointTable::new(1_000)));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
    let address = listener.local_addr().expect("bound");
    let serving = tokio::spawn(serve(listener, table));
    let mut all = String::new();
    let mut record = |request_line: &str, response: String| {
        writeln!(all, "> {request_line}\n{response}\n").expect("written to a string");
    };
    let unknown_list = "GET /discovery/hosts";
    record(unknown_list, send_request(address, unknown_list).await);
    let [first, second] = lists();
    let mut table = EndpointTable::new(1_000);
    for list in [first, second] {
        assert!(table.replace(list));
        sender.send(Arc::new(table.clone())).expect("a receiver");
        for request_line in [
            "GET /discovery/hosts",
            "GET /discovery/hosts?after=1000",
            "GET /discovery/hosts?after=1001",
            "GET /discovery/hosts?after=1002&wait_ms=1",
            "GET /discovery/hosts?wait_ms=1&after=7&other=x",
        ] {
            record(request_line, send_request(address, request_line).await);
        }
    }
    for request_line in [
        "GET /",
        "GET /discovery/hosts/",
        "POST /discovery/hosts",
        "GET /discovery/hosts?after=x",
        "GET /discovery/hosts?after=",
        "GET /discovery/hosts?after=1&wait_ms=-1",
    ] {
        record(request_line, send_request(address, request_line).await);
    }
    table.replace(BTreeMap::new());
    sender.send(Arc::new(table)).expect("a receiver");
    for request_line in ["GET /discovery/hosts", "GET /discovery/hosts?after=1002"] {
        record(request_line, send_request(address, request_line).await);
    }
    serving.abort();
    all
}

#[tokio::test]
async fn responses_match_the_recorded_file() {
    assert_eq!(responses().await, std::fs::read_to_string(recorded_file()).expect("recorded"));
}
