//! A DNS-SD source from its resolvers to the list that gateways poll, over loopback sockets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dns_sd::{CacheLimits, Name};
use endpoint_sources::{follow, serve, EndpointTable, Resolver, Settings, StatusRequest};
use serde_json::Value;
use testbed::dns::{AnswerFault, Dns, Instance};
use testbed::switch::Fault;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const SERVICE: &str = "_till._tcp.ub-room.test";
const TIMEOUT: Duration = Duration::from_secs(20);

struct Source {
    address: SocketAddr,
    table: watch::Receiver<Arc<EndpointTable>>,
    lines: Arc<Mutex<Vec<String>>>,
    status_requests: mpsc::Sender<StatusRequest>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Source {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Source {
    async fn start(servers: &[&Dns], services: &[&str]) -> Source {
        let name = |s: &&str| Name::from_ascii(s).expect("valid name");
        let cache_limits = CacheLimits {
            min_ttl_ms: 100.0,
            min_retry_ms: 50.0,
            max_retry_ms: 200.0,
            ..CacheLimits::default()
        };
        let services = services.iter().map(name).collect();
        let settings = Settings { services, cache_limits, max_shrink: 0.5, seed: 1 };
        let servers = servers.iter().map(|d| d.address).collect();
        let resolver = Resolver::new(servers, Duration::from_millis(150));
        let (sender, table) = watch::channel(Arc::new(EndpointTable::new(1_000)));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
        let address = listener.local_addr().expect("bound");
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let log_lines = Arc::clone(&lines);
        let log = move |line: String| log_lines.lock().expect("not poisoned").push(line);
        let (status_requests, receiver) = mpsc::channel(1);
        let following = tokio::spawn(follow(settings, resolver, sender, receiver, log));
        let tasks = [following, tokio::spawn(serve(listener, table.clone()))];
        Source { address, table, lines, status_requests, tasks }
    }

    fn names(&self) -> Vec<String> {
        self.table.borrow().updates_after(None).endpoints.iter().map(|l| l.name.clone()).collect()
    }

    fn has_logged(&self, text: &str) -> bool {
        self.lines.lock().expect("not poisoned").iter().any(|line| line.contains(text))
    }

    /// Waits until the list satisfies a condition.
    async fn until(&mut self, condition: &str, holds: impl Fn(&EndpointTable) -> bool) {
        let result = timeout(TIMEOUT, self.table.wait_for(|t| t.is_known() && holds(t))).await;
        assert!(result.is_ok(), "timed out: {condition}; {:?}", self.lines);
    }

    async fn until_logged(&self, text: &str) {
        let waiting = async {
            while !self.has_logged(text) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(timeout(TIMEOUT, waiting).await.is_ok(), "timed out: {text}; {:?}", self.lines);
    }

    /// Sends a request as a gateway does. Returns the status and the body.
    async fn get(&self, path: &str) -> (u16, Value) {
        let mut stream = TcpStream::connect(self.address).await.expect("connected");
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut text = String::new();
        timeout(TIMEOUT, stream.read_to_string(&mut text)).await.expect("in time").expect("a response");
        let status = text.split(' ').nth(1).expect("a status").parse().expect("a number");
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        (status, serde_json::from_str(body).unwrap_or(Value::Null))
    }
}

fn instance(i: u16) -> Instance {
    let text = ["zone=room", "type=m", "group=4"].map(str::to_string).to_vec();
    Instance { label: format!("t{i}"), service: (i % 2, 10, 9_000 + i), text, address: Ipv4Addr::LOCALHOST }
}

async fn zone(instances: u16) -> Dns {
    let dns = Dns::start(1, 1).await.expect("listening");
    (0..instances).for_each(|i| dns.put_instance(SERVICE, &instance(i)));
    dns
}

#[tokio::test]
async fn gateways_poll_a_snapshot_and_then_changes() {
    let dns = zone(3).await;
    let mut source = Source::start(&[&dns], &[SERVICE]).await;
    source.until("three endpoints", |t| t.updates_after(None).endpoints.len() == 3).await;
    let (status, snapshot) = source.get("/discovery/hosts").await;
    assert_eq!((status, snapshot["snapshot"].as_bool()), (200, Some(true)));
    let first = &snapshot["endpoints"][1];
    for (key, value) in
        [("name", "t1"), ("address", "127.0.0.1:9001"), ("zone", "room"), ("status", "SERVING")]
    {
        assert_eq!(first[key], value, "{first}");
    }
    assert_eq!((first["group"].as_u64(), first["priority"].as_u64()), (Some(4), Some(1)));
    let index = snapshot["index"].as_u64().expect("a number");
    let path = format!("/discovery/hosts?after={index}&wait_ms=20000");
    let (delta, ()) = tokio::join!(source.get(&path), async {
        sleep(Duration::from_millis(50)).await;
        dns.put_instance(SERVICE, &instance(7));
        dns.remove_pointer(SERVICE, "t0");
    });
    let names = |update: &Value| -> Vec<String> {
        let endpoints = update["endpoints"].as_array().expect("an array").iter();
        endpoints
            .map(|e| format!("{} {}", e["name"].as_str().unwrap_or(""), e["status"].as_str().unwrap_or("")))
            .collect()
    };
    assert_eq!(delta.1["snapshot"].as_bool(), Some(false));
    assert!(names(&delta.1).iter().all(|n| n == "t0 DELETED" || n == "t7 SERVING"), "{}", delta.1);
    source
        .until("the changed list", |t| {
            t.updates_after(None).endpoints.iter().map(|l| &l.name[..]).eq(["t1", "t2", "t7"])
        })
        .await;
    assert_eq!(source.get("/discovery/hosts?after=x").await.0, 400);
    assert_eq!(source.get("/").await.0, 404);
    // A reader that is up to date waits as long as it asked for and gets an empty delta.
    let index = source.table.borrow().index();
    let (status, unchanged) = source.get(&format!("/discovery/hosts?after={index}&wait_ms=1")).await;
    assert_eq!((status, unchanged["endpoints"].as_array().map(Vec::len)), (200, Some(0)));
}

#[tokio::test]
async fn serves_nothing_until_the_whole_list_is_known() {
    let (dns, silent) = (zone(3).await, zone(0).await);
    silent.switch.set(Fault::Silent);
    let source = Source::start(&[&silent], &[SERVICE]).await;
    source.until_logged("ALARM").await;
    assert_eq!(source.get("/discovery/hosts").await.0, 503);
    // Of two services one is not answered: an incomplete list is not served.
    let mut source = Source::start(&[&dns], &[SERVICE, "_till._tcp.hall.test"]).await;
    dns.switch.set(Fault::Failing);
    source.until_logged("ALARM").await;
    assert_eq!(source.get("/discovery/hosts").await.0, 503);
    dns.switch.set(Fault::None);
    source.until("the list", |t| t.updates_after(None).endpoints.len() == 3).await;
    assert!(source.has_logged("answered again"));
}

#[tokio::test]
async fn failing_resolvers_remove_nothing_and_raise_an_alarm() {
    let dns = zone(4).await;
    let mut source = Source::start(&[&dns], &[SERVICE]).await;
    source.until("four endpoints", |t| t.updates_after(None).endpoints.len() == 4).await;
    for fault in [Fault::Silent, Fault::Failing, Fault::Refusing, Fault::Garbled] {
        source.lines.lock().expect("not poisoned").clear();
        dns.switch.set(fault);
        source.until_logged("ALARM").await;
        // Longer than the lifetime of any record.
        sleep(Duration::from_millis(1_300)).await;
        assert_eq!(source.names(), ["t0", "t1", "t2", "t3"], "{fault:?}");
        dns.switch.set(Fault::None);
        source.until_logged("answered again").await;
    }
    assert!(!source.lines.lock().expect("not poisoned").iter().any(|line| line.starts_with('-')));
    dns.switch.set(Fault::Failing);
    source.until_logged("ALARM").await;
    sleep(Duration::from_millis(1_300)).await;
    let (response, status) = oneshot::channel();
    source
        .status_requests
        .send(StatusRequest { include_records: true, response })
        .await
        .expect("a running follower");
    let status = status.await.expect("a status");
    assert_eq!((status.list.len(), status.known), (4, true));
    assert!(status.list.iter().all(|l| l.stale_ms.is_some_and(|ms| ms > 0.0)), "{status:?}");
    assert!(status.unanswered.iter().any(|u| u.reason.contains("Server Failure")), "{status:?}");
    // One PTR question, and an SRV, a TXT, an A and an AAAA question for each instance.
    assert_eq!(status.records.len(), 1 + 4 * 4);
}

/// Guards against unknown values that gateways take for known ones, and against a log line at each update.
#[tokio::test]
async fn unknown_values_are_marked_and_logged_once() {
    let dns = zone(4).await;
    let complete =
        ["zone=room", "type=m", "group=4", "status=serving", "since=7"].map(str::to_string).to_vec();
    let set_texts = |records: &[Vec<String>]| {
        (0..4).for_each(|i| dns.set_text(SERVICE, &format!("t{i}"), records));
    };
    set_texts(std::slice::from_ref(&complete));
    let mut source = Source::start(&[&dns], &[SERVICE]).await;
    let all = |table: &EndpointTable, holds: &dyn Fn(&[&str], u32, f64) -> bool| {
        let endpoints = table.updates_after(None).endpoints;
        endpoints.len() == 4 && endpoints.iter().all(|e| holds(&e.unknown, e.group, e.since_ms))
    };
    source.until("complete entries", |t| all(t, &|unknown, _, _| unknown.is_empty())).await;
    let complete_entry = source.get("/discovery/hosts").await.1["endpoints"][0].clone();
    assert!(complete_entry.get("unknown").is_none(), "{complete_entry}");
    set_texts(&[]);
    let keys = ["zone", "type", "group", "status", "since"];
    source
        .until("marked entries", |t| {
            all(t, &|unknown, group, since_ms| unknown == keys && (group, since_ms) == (4, 7.0))
        })
        .await;
    // Several updates of the list.
    sleep(Duration::from_millis(2_500)).await;
    let count = |source: &Source, text: &str| {
        source.lines.lock().expect("not poisoned").iter().filter(|line| line.contains(text)).count()
    };
    for key in keys {
        let lines =
            (1..=4).map(|n| count(&source, &format!("{key} unknown of {n} instances: t"))).sum::<usize>();
        assert!((1..=4).contains(&lines), "{key}: {lines} lines: {:?}", source.lines);
    }
    let named: usize = (0..4).map(|i| count(&source, &format!("~ t{i}"))).sum();
    assert_eq!(named, 4, "one change each: {:?}", source.lines);
    // An instance of unknown start that joins the known list may be cold.
    dns.put_instance(SERVICE, &Instance { text: Vec::new(), ..instance(8) });
    let is_now = |since_ms: f64| since_ms > 1.7e12;
    source
        .until("a new instance", |t| {
            t.updates_after(None).endpoints.iter().any(|e| e.name == "t8" && is_now(e.since_ms))
        })
        .await;
    let (response, status) = oneshot::channel();
    let request = StatusRequest { include_records: false, response };
    source.status_requests.send(request).await.expect("a running follower");
    let status = status.await.expect("a status");
    let t8 = status.list.iter().find(|e| e.name == "t8").expect("listed");
    assert!(is_now(t8.since_ms) && t8.unknown.iter().all(|u| u.reason == "missing"), "{t8:?}");
    set_texts(std::slice::from_ref(&complete));
    dns.set_text(SERVICE, "t8", &[vec!["group=1".to_string()]]);
    source.until_logged("group is known of all instances again").await;
}

/// Guards against an empty list that removes all backends when an agent starts while no TXT query is
/// answered.
#[tokio::test]
async fn list_is_not_served_empty_while_its_instances_are_unknown() {
    let dns = zone(2).await;
    dns.set_answer_fault(AnswerFault::NoTextAnswer);
    let mut source = Source::start(&[&dns], &[SERVICE]).await;
    source.until_logged("ALARM").await;
    // Longer than the wait for the first list.
    sleep(Duration::from_millis(10_500)).await;
    assert_eq!(source.get("/discovery/hosts").await.0, 503);
    dns.set_answer_fault(AnswerFault::None);
    source.until("the list", |t| t.updates_after(None).endpoints.len() == 2).await;
}

#[tokio::test]
async fn empty_zone_of_one_resolver_removes_nothing() {
    let (outdated, healthy) = (zone(4).await, zone(4).await);
    let mut source = Source::start(&[&outdated, &healthy], &[SERVICE]).await;
    source.until("four endpoints", |t| t.updates_after(None).endpoints.len() == 4).await;
    outdated.set_answer_fault(AnswerFault::NameError);
    source.until_logged("ALARM 4 instances would leave at once").await;
    source.until_logged("no instance is held any more").await;
    assert_eq!(source.names(), ["t0", "t1", "t2", "t3"]);
    // If both resolvers agree, the instances are removed.
    healthy.set_answer_fault(AnswerFault::NameError);
    source.until("an empty list", |t| t.updates_after(None).endpoints.is_empty()).await;
}
