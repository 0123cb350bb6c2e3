//! Answers to `GET /discovery/hosts` as gateways of released versions read them, byte for byte.

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

const PATIENCE: Duration = Duration::from_secs(20);

fn data() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/answers.txt")
}

/// What a server answers, but for the header that tells the time.
async fn ask(address: SocketAddr, head: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let request = format!("{head} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("room");
    let mut text = String::new();
    timeout(PATIENCE, stream.read_to_string(&mut text)).await.expect("in time").expect("an answer");
    let lines = text.split("\r\n").filter(|line| !line.starts_with("date: "));
    lines.collect::<Vec<_>>().join("\n")
}

fn entry(name: &str, address: &str) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_string(),
        address: address.parse().expect("an address"),
        zone: String::new(),
        instance_type: String::new(),
        group: 0,
        status: ListedStatus::Serving,
        weight: 1.0,
        priority: 0,
        since_ms: 0.0,
    }
}

fn list(entries: impl IntoIterator<Item = ListedEndpoint>) -> BTreeMap<String, ListedEndpoint> {
    entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect()
}

/// A list with each field set and unset, and one that follows it: changed, gone, new.
fn lists() -> [BTreeMap<String, ListedEndpoint>; 2] {
    let full = ListedEndpoint {
        zone: "room \"1\"".to_string(),
        instance_type: "größe".to_string(),
        group: u32::MAX,
        status: ListedStatus::Draining,
        weight: 0.25,
        priority: u16::MAX,
        since_ms: 1_800_000_000_000.0,
        ..entry("b", "[::1]:65535")
    };
    let plain = entry("a", "127.0.0.1:9000");
    let changed = ListedEndpoint { weight: 65_535.0, since_ms: 0.5, ..plain.clone() };
    [
        list([full, plain, entry("c", "10.0.0.3:1")]),
        list([changed, entry("c", "10.0.0.3:1"), entry("d", "10.0.0.4:1")]),
    ]
}

async fn answers() -> String {
    let (sender, table) = watch::channel(Arc::new(EndpointTable::new(1_000)));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let serving = tokio::spawn(serve(listener, table));
    let mut all = String::new();
    let mut note =
        |head: &str, answer: String| writeln!(all, "> {head}\n{answer}\n").expect("a string takes all");
    let unknown = "GET /discovery/hosts";
    note(unknown, ask(address, unknown).await);
    let [first, second] = lists();
    let mut table = EndpointTable::new(1_000);
    for list in [first, second] {
        assert!(table.replace(list));
        sender.send(Arc::new(table.clone())).expect("it is served");
        for head in [
            "GET /discovery/hosts",
            "GET /discovery/hosts?after=1000",
            "GET /discovery/hosts?after=1001",
            "GET /discovery/hosts?after=1002&wait_ms=1",
            "GET /discovery/hosts?wait_ms=1&after=7&other=x",
        ] {
            note(head, ask(address, head).await);
        }
    }
    for head in [
        "GET /",
        "GET /discovery/hosts/",
        "POST /discovery/hosts",
        "GET /discovery/hosts?after=x",
        "GET /discovery/hosts?after=",
        "GET /discovery/hosts?after=1&wait_ms=-1",
    ] {
        note(head, ask(address, head).await);
    }
    table.replace(BTreeMap::new());
    sender.send(Arc::new(table)).expect("it is served");
    for head in ["GET /discovery/hosts", "GET /discovery/hosts?after=1002"] {
        note(head, ask(address, head).await);
    }
    serving.abort();
    all
}

#[tokio::test]
async fn responses_are_the_recorded_ones() {
    assert_eq!(answers().await, std::fs::read_to_string(data()).expect("recorded"));
}
