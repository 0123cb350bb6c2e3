//! Texts in logs and tools: lines that the follower logs and errors of failed queries.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dns_sd::{CacheLimits, Name, QueryType, Question};
use endpoint_sources::{follow, EndpointTable, Resolver, Settings};
use testbed::dns::{Dns, Instance};
use testbed::switch::Fault;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

const SERVICE: &str = "_till._tcp.ub-room.test";
const TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of each attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

fn question() -> Question {
    Question { name: Name::from_ascii(SERVICE).expect("valid name"), kind: QueryType::Ptr }
}

/// Error text of a query that fails at all servers.
async fn failure_text(servers: Vec<SocketAddr>) -> String {
    let result = Resolver::new(servers, ATTEMPT_TIMEOUT).query(&question(), false).await;
    result.map(|a| a.over_tcp).expect_err("no server answers").to_string()
}

#[tokio::test]
async fn query_failures_have_recorded_texts() {
    assert_eq!(failure_text(vec![]).await, "no resolver is configured");
    let silent = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let first = silent.local_addr().expect("bound");
    assert_eq!(failure_text(vec![first]).await, format!("{first}: no answer in time"));
    let server = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let second = server.local_addr().expect("bound");
    let answering = async {
        let mut query = [0; 512];
        let (_, from) = server.recv_from(&mut query).await.expect("a query");
        server.send_to(b"\0", from).await.expect("sent");
    };
    let (text, ()) = tokio::join!(failure_text(vec![first, second]), answering);
    let start = format!("{first}: no answer in time; {second}: no DNS message: ");
    assert!(text.starts_with(&start), "{text}");
    let forging = async {
        let mut query = [0; 512];
        let (length, from) = server.recv_from(&mut query).await.expect("a query");
        query[0] ^= 1;
        for _ in 0..64 {
            server.send_to(&query[..length], from).await.expect("sent");
        }
    };
    let (text, ()) = tokio::join!(failure_text(vec![second]), forging);
    let expected = "64 datagrams that were not meant for it; the last: an answer with another id";
    assert_eq!(text, format!("{second}: {expected}"));
}

#[tokio::test]
async fn follower_logs_recorded_lines() {
    let dns = Dns::start(1, 1).await.expect("a socket");
    for i in 0..3 {
        let (label, address) = (format!("t{i}"), Ipv4Addr::LOCALHOST);
        dns.put_instance(
            SERVICE,
            &Instance { label, service: (0, 10, 9_000 + i), text: Vec::new(), address },
        );
    }
    let cache_limits =
        CacheLimits { min_ttl_ms: 100.0, min_retry_ms: 50.0, max_retry_ms: 200.0, ..CacheLimits::default() };
    let settings = Settings { services: vec![question().name], cache_limits, max_shrink: 0.5, seed: 1 };
    let resolver = Resolver::new(vec![dns.address], ATTEMPT_TIMEOUT);
    let (sender, _table) = watch::channel(Arc::new(EndpointTable::new(0)));
    let logged = Arc::<Mutex<Vec<String>>>::default();
    let lines = Arc::clone(&logged);
    let (_status_requests, receiver) = mpsc::channel(1);
    let log = move |line: String| lines.lock().expect("not poisoned").push(line);
    let following = tokio::spawn(follow(settings, resolver, sender, receiver, log));
    let until_logged = async |part: &str| {
        let waiting = async {
            while !logged.lock().expect("not poisoned").iter().any(|line| line.contains(part)) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(timeout(TIMEOUT, waiting).await.is_ok(), "timed out: {part}; {logged:?}");
    };
    until_logged("the list is known: 3 instances").await;
    dns.remove_pointer(SERVICE, "t0");
    until_logged("- t0 by _till._tcp.ub-room.test. PTR").await;
    dns.switch.set(Fault::Silent);
    until_logged("ALARM").await;
    dns.switch.set(Fault::None);
    until_logged("all questions are answered again").await;
    let mut lines = logged.lock().expect("not poisoned").clone();
    lines[..3].sort();
    assert_eq!(lines[..3], ["+ t0", "+ t1", "+ t2"]);
    let alarm = lines.iter().find(|line| line.starts_with("ALARM")).expect("an alarm");
    let words: Vec<&str> = alarm.splitn(9, ' ').collect();
    assert_eq!((words[0], words[2], words[3]), ("ALARM", "questions", "unanswered,"), "{alarm}");
    assert_eq!(
        (words[6], words[8]),
        ("for", format!("s: {}: no answer in time", dns.address).as_str()),
        "{alarm}"
    );
    let (count, seconds) = (words[1].parse::<usize>(), words[7].split_once('.').expect("a fraction"));
    assert!(count.is_ok_and(|n| n > 0) && seconds.1.len() == 1, "{alarm}");
    following.abort();
}
