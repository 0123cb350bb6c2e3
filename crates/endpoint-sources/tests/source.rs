//! A source from resolvers to the list as gateways read it, over loopback sockets.

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
const PATIENCE: Duration = Duration::from_secs(20);

struct Source {
    address: SocketAddr,
    table: watch::Receiver<Arc<EndpointTable>>,
    said: Arc<Mutex<Vec<String>>>,
    asks: mpsc::Sender<StatusRequest>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Source {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Source {
    async fn start(servers: &[&Dns], services: &[&str]) -> Source {
        let name = |s: &&str| Name::from_ascii(s).expect("a name");
        let bounds = CacheLimits {
            min_ttl_ms: 100.0,
            min_retry_ms: 50.0,
            max_retry_ms: 200.0,
            ..CacheLimits::default()
        };
        let services = services.iter().map(name).collect();
        let settings = Settings { services, bounds, shrink_most: 0.5, seed: 1 };
        let servers = servers.iter().map(|d| d.address).collect();
        let resolver = Resolver::new(servers, Duration::from_millis(150));
        let (sender, table) = watch::channel(Arc::new(EndpointTable::new(1_000)));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let said = Arc::<Mutex<Vec<String>>>::default();
        let lines = Arc::clone(&said);
        let say = move |line: String| lines.lock().expect("whole").push(line);
        let (asks, asked) = mpsc::channel(1);
        let following = tokio::spawn(follow(settings, resolver, sender, asked, say));
        let tasks = [following, tokio::spawn(serve(listener, table.clone()))];
        Source { address, table, said, asks, tasks }
    }

    fn names(&self) -> Vec<String> {
        self.table.borrow().updates_after(None).endpoints.iter().map(|l| l.name.clone()).collect()
    }

    fn said(&self, what: &str) -> bool {
        self.said.lock().expect("whole").iter().any(|line| line.contains(what))
    }

    /// Waits until the list holds.
    async fn until(&mut self, what: &str, holds: impl Fn(&EndpointTable) -> bool) {
        let held = timeout(PATIENCE, self.table.wait_for(|t| t.known() && holds(t))).await;
        assert!(held.is_ok(), "not in time: {what}; {:?}", self.said);
    }

    async fn until_said(&self, what: &str) {
        let waiting = async {
            while !self.said(what) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(timeout(PATIENCE, waiting).await.is_ok(), "not in time: {what}; {:?}", self.said);
    }

    /// Asks as a gateway does; gives status and body.
    async fn get(&self, path: &str) -> (u16, Value) {
        let mut stream = TcpStream::connect(self.address).await.expect("it listens");
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("room");
        let mut text = String::new();
        timeout(PATIENCE, stream.read_to_string(&mut text)).await.expect("in time").expect("an answer");
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
    let dns = Dns::start(1, 1).await.expect("a port");
    (0..instances).for_each(|i| dns.put_instance(SERVICE, &instance(i)));
    dns
}

#[tokio::test]
async fn gateways_poll_a_snapshot_and_then_changes() {
    let dns = zone(3).await;
    let mut source = Source::start(&[&dns], &[SERVICE]).await;
    source.until("three", |t| t.updates_after(None).endpoints.len() == 3).await;
    let (status, whole) = source.get("/discovery/hosts").await;
    assert_eq!((status, whole["snapshot"].as_bool()), (200, Some(true)));
    let first = &whole["endpoints"][1];
    for (key, value) in
        [("name", "t1"), ("address", "127.0.0.1:9001"), ("zone", "room"), ("status", "SERVING")]
    {
        assert_eq!(first[key], value, "{first}");
    }
    assert_eq!((first["group"].as_u64(), first["priority"].as_u64()), (Some(4), Some(1)));
    let index = whole["index"].as_u64().expect("a number");
    let path = format!("/discovery/hosts?after={index}&wait_ms=20000");
    let (waited, ()) = tokio::join!(source.get(&path), async {
        sleep(Duration::from_millis(50)).await;
        dns.put_instance(SERVICE, &instance(7));
        dns.remove_pointer(SERVICE, "t0");
    });
    let names = |news: &Value| -> Vec<String> {
        let all = news["endpoints"].as_array().expect("lines").iter();
        all.map(|e| format!("{} {}", e["name"].as_str().unwrap_or(""), e["status"].as_str().unwrap_or("")))
            .collect()
    };
    assert_eq!(waited.1["snapshot"].as_bool(), Some(false));
    assert!(names(&waited.1).iter().all(|n| n == "t0 DELETED" || n == "t7 SERVING"), "{}", waited.1);
    source
        .until("the change", |t| {
            t.updates_after(None).endpoints.iter().map(|l| &l.name[..]).eq(["t1", "t2", "t7"])
        })
        .await;
    assert_eq!(source.get("/discovery/hosts?after=x").await.0, 400);
    assert_eq!(source.get("/").await.0, 404);
    // One that has all waits for as long as it says, and hears that nothing changed.
    let index = source.table.borrow().index();
    let (status, same) = source.get(&format!("/discovery/hosts?after={index}&wait_ms=1")).await;
    assert_eq!((status, same["endpoints"].as_array().map(Vec::len)), (200, Some(0)));
}

#[tokio::test]
async fn serves_nothing_until_the_whole_list_is_known() {
    let (dns, silent) = (zone(3).await, zone(0).await);
    silent.switch.set(Fault::Silent);
    let source = Source::start(&[&silent], &[SERVICE]).await;
    source.until_said("ALARM").await;
    assert_eq!(source.get("/discovery/hosts").await.0, 503);
    // Two services, of which one goes unanswered: the half is no list.
    let mut source = Source::start(&[&dns], &[SERVICE, "_till._tcp.hall.test"]).await;
    dns.switch.set(Fault::Failing);
    source.until_said("ALARM").await;
    assert_eq!(source.get("/discovery/hosts").await.0, 503);
    dns.switch.set(Fault::None);
    source.until("the list", |t| t.updates_after(None).endpoints.len() == 3).await;
    assert!(source.said("answered again"));
}

#[tokio::test]
async fn failing_resolvers_remove_nothing_and_raise_an_alarm() {
    let dns = zone(4).await;
    let mut source = Source::start(&[&dns], &[SERVICE]).await;
    source.until("four", |t| t.updates_after(None).endpoints.len() == 4).await;
    for fault in [Fault::Silent, Fault::Failing, Fault::Refusing, Fault::Garbled] {
        source.said.lock().expect("whole").clear();
        dns.switch.set(fault);
        source.until_said("ALARM").await;
        // Longer than any record lives.
        sleep(Duration::from_millis(1_300)).await;
        assert_eq!(source.names(), ["t0", "t1", "t2", "t3"], "{fault:?}");
        dns.switch.set(Fault::None);
        source.until_said("answered again").await;
    }
    assert!(!source.said.lock().expect("whole").iter().any(|line| line.starts_with('-')));
    dns.switch.set(Fault::Failing);
    source.until_said("ALARM").await;
    sleep(Duration::from_millis(1_300)).await;
    let (answer, told) = oneshot::channel();
    source.asks.send(StatusRequest { records: true, answer }).await.expect("it runs");
    let report = told.await.expect("told");
    assert_eq!((report.list.len(), report.known), (4, true));
    assert!(report.list.iter().all(|l| l.stale_ms.is_some_and(|ms| ms > 0.0)), "{report:?}");
    assert!(report.unanswered.iter().any(|u| u.reason.contains("Server Failure")), "{report:?}");
    // A pointer; a service, a text and two kinds of address for each.
    assert_eq!(report.records.len(), 1 + 4 * 4);
}

#[tokio::test]
async fn empty_zone_of_one_resolver_is_not_believed() {
    let (old, good) = (zone(4).await, zone(4).await);
    let mut source = Source::start(&[&old, &good], &[SERVICE]).await;
    source.until("four", |t| t.updates_after(None).endpoints.len() == 4).await;
    old.set_answer_fault(AnswerFault::NameError);
    source.until_said("ALARM 4 instances would leave at once").await;
    source.until_said("no instance is held any more").await;
    assert_eq!(source.names(), ["t0", "t1", "t2", "t3"]);
    // Where both say so, it is so.
    good.set_answer_fault(AnswerFault::NameError);
    source.until("nobody", |t| t.updates_after(None).endpoints.is_empty()).await;
}
