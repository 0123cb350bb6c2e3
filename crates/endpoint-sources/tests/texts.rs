//! Lines that a source says, and why a question went unanswered, as logs and tools show them.

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
const PATIENCE: Duration = Duration::from_secs(20);
const EACH: Duration = Duration::from_millis(150);

fn question() -> Question {
    Question { name: Name::from_ascii(SERVICE).expect("a name"), kind: QueryType::Ptr }
}

async fn why_unanswered(servers: Vec<SocketAddr>) -> String {
    let answered = Resolver::new(servers, EACH).query(&question(), false).await;
    answered.map(|a| a.over_tcp).expect_err("nobody answers").to_string()
}

#[tokio::test]
async fn query_failures_have_recorded_texts() {
    assert_eq!(why_unanswered(vec![]).await, "no resolver is configured");
    let silent = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let first = silent.local_addr().expect("bound");
    assert_eq!(why_unanswered(vec![first]).await, format!("{first}: no answer in time"));
    let garbling = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let second = garbling.local_addr().expect("bound");
    let answering = async {
        let mut query = [0; 512];
        let (_, from) = garbling.recv_from(&mut query).await.expect("a query");
        garbling.send_to(b"\0", from).await.expect("room");
    };
    let (why, ()) = tokio::join!(why_unanswered(vec![first, second]), answering);
    let start = format!("{first}: no answer in time; {second}: no DNS message: ");
    assert!(why.starts_with(&start), "{why}");
    let strange = async {
        let mut query = [0; 512];
        let (length, from) = garbling.recv_from(&mut query).await.expect("a query");
        query[0] ^= 1;
        for _ in 0..64 {
            garbling.send_to(&query[..length], from).await.expect("room");
        }
    };
    let (why, ()) = tokio::join!(why_unanswered(vec![second]), strange);
    let wanted = "64 datagrams that were not meant for it; the last: an answer with another id";
    assert_eq!(why, format!("{second}: {wanted}"));
}

#[tokio::test]
async fn follower_says_recorded_lines() {
    let dns = Dns::start(1, 1).await.expect("a port");
    for i in 0..3 {
        let (label, address) = (format!("t{i}"), Ipv4Addr::LOCALHOST);
        dns.put_instance(
            SERVICE,
            &Instance { label, service: (0, 10, 9_000 + i), text: Vec::new(), address },
        );
    }
    let bounds =
        CacheLimits { min_ttl_ms: 100.0, min_retry_ms: 50.0, max_retry_ms: 200.0, ..CacheLimits::default() };
    let settings = Settings { services: vec![question().name], bounds, shrink_most: 0.5, seed: 1 };
    let resolver = Resolver::new(vec![dns.address], EACH);
    let (sender, _table) = watch::channel(Arc::new(EndpointTable::new(0)));
    let said = Arc::<Mutex<Vec<String>>>::default();
    let lines = Arc::clone(&said);
    let (_asks, asked) = mpsc::channel(1);
    let say = move |line: String| lines.lock().expect("whole").push(line);
    let following = tokio::spawn(follow(settings, resolver, sender, asked, say));
    let until = async |part: &str| {
        let waiting = async {
            while !said.lock().expect("whole").iter().any(|line| line.contains(part)) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(timeout(PATIENCE, waiting).await.is_ok(), "not in time: {part}; {said:?}");
    };
    until("the list is known: 3 instances").await;
    dns.remove_pointer(SERVICE, "t0");
    until("- t0 by _till._tcp.ub-room.test. PTR").await;
    dns.switch.set(Fault::Silent);
    until("ALARM").await;
    dns.switch.set(Fault::None);
    until("all questions are answered again").await;
    let mut lines = said.lock().expect("whole").clone();
    lines[..3].sort();
    assert_eq!(lines[..3], ["+ t0", "+ t1", "+ t2"]);
    let alarm = lines.iter().find(|line| line.starts_with("ALARM")).expect("one");
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
