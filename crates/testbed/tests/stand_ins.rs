//! Answers of the stand-ins under each fault, and their counts and journal events.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use testbed::backend::{Backend, Spec};
use testbed::counter::Counter;
use testbed::discovery::Discovery;
use testbed::journal::{AttemptResult, Event, Journal};
use testbed::script::Script;
use testbed::scripted::{as_strs, command, request_args};
use testbed::switch::{Fault, Switch};

/// Read timeout where no answer is expected.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Read timeout where an answer is expected.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a runtime that runs stand-ins on another thread, so that a test may block.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("build a runtime")
}

fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set the read timeout");
    BufReader::new(stream)
}

/// Reads a line; `(end)` at the end of the connection or on a timeout.
fn read_line(from: &mut BufReader<TcpStream>) -> String {
    let mut line = String::new();
    match from.read_line(&mut line) {
        Ok(0) | Err(_) => "(end)".to_string(),
        Ok(_) => line.trim_end().to_string(),
    }
}

/// Sends a request with this id and returns the first line of the answer.
fn send_request(from: &mut BufReader<TcpStream>, id: u64) -> String {
    let request = request_args(id, "unsafe", "free", 1, 8000);
    match from.get_mut().write_all(&command(&as_strs(&request))) {
        Ok(()) => read_line(from),
        Err(_) => "(end)".to_string(),
    }
}

/// Reads the other lines of a served answer.
fn read_rest(from: &mut BufReader<TcpStream>) {
    (0..5).for_each(|_| drop(read_line(from)));
}

#[test]
fn backend_answers_by_its_fault_and_counts_requests() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let backend = runtime.block_on(Backend::start(Spec::plain(0), journal.clone())).expect("start");
    let mut client = connect(backend.address);
    assert_eq!(send_request(&mut client, 1), "*3");
    read_rest(&mut client);
    for (fault, answer) in
        [(Fault::Busy, "-BUSY"), (Fault::Failing, "-ERR failed"), (Fault::Garbled, "\u{1}\u{2}noise")]
    {
        backend.switch.set(fault);
        assert_eq!(send_request(&mut client, 2), answer, "{fault:?}");
    }
    backend.switch.set(Fault::Resetting);
    assert_eq!(send_request(&mut client, 3), "(end)");
    backend.switch.set(Fault::None);
    let mut client = connect(backend.address);
    assert_eq!(send_request(&mut client, 4), "*3");
    assert_eq!((backend.arrived(), backend.served()), (6, 2));
    let ran = |e: &Event| matches!(e, Event::AttemptReceived { ran: true, .. });
    assert_eq!(journal.events().iter().filter(|(_, e)| ran(e)).count(), 5, "one was rejected");
}

#[test]
fn silent_backend_answers_later_and_refusing_one_returns() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let backend = runtime.block_on(Backend::start(Spec::plain(0), journal.clone())).expect("start");
    let mut client = connect(backend.address);
    backend.switch.set(Fault::Silent);
    client.get_mut().set_read_timeout(Some(SHORT_TIMEOUT)).expect("set the read timeout");
    assert_eq!(send_request(&mut client, 1), "(end)", "no answer while silent");
    client.get_mut().set_read_timeout(Some(TIMEOUT)).expect("set the read timeout");
    backend.switch.set(Fault::None);
    assert_eq!(read_line(&mut client), "*3");
    read_rest(&mut client);
    backend.switch.set(Fault::Refusing);
    assert_eq!(send_request(&mut client, 2), "(end)", "open connections are closed");
    // The system may still accept connections until the listener is closed.
    let refused = std::iter::repeat_with(|| TcpStream::connect(backend.address).is_err());
    assert!(refused.take(1_000).any(|refused| refused));
    backend.switch.set(Fault::None);
    let accepted = std::iter::repeat_with(|| {
        std::thread::sleep(Duration::from_millis(5));
        TcpStream::connect(backend.address).is_ok()
    });
    assert!(accepted.take(1_000).any(|accepted| accepted));
    assert_eq!(send_request(&mut connect(backend.address), 3), "*3");
}

#[test]
fn request_whose_gateway_disconnects_is_recorded_as_aborted() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let backend = runtime.block_on(Backend::start(Spec::plain(0), journal.clone())).expect("start");
    backend.switch.set(Fault::Silent);
    let mut client = connect(backend.address);
    client.get_mut().write_all(&command(&as_strs(&request_args(1, "safe", "free", 1, 8000)))).expect("write");
    let mut polls = 0;
    while backend.arrived() < 1 && polls < 4_000 {
        std::thread::sleep(Duration::from_millis(5));
        polls += 1;
    }
    drop(client);
    let aborted = |e: &Event| matches!(e, Event::AttemptEnded { result: AttemptResult::Aborted, .. });
    while !journal.events().iter().any(|(_, e)| aborted(e)) && polls < 8_000 {
        std::thread::sleep(Duration::from_millis(5));
        polls += 1;
    }
    assert!(journal.events().iter().any(|(_, e)| aborted(e)));
}

#[test]
fn backend_rejects_requests_beyond_slots_and_queue() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let spec = Spec { slots: 1, service_time: Duration::from_secs(5), ..Spec::plain(0) };
    let backend = runtime.block_on(Backend::start(spec, journal)).expect("start");
    let mut clients: Vec<_> = (0..3).map(|_| connect(backend.address)).collect();
    for (id, client) in (1..).zip(&mut clients) {
        client
            .get_mut()
            .write_all(&command(&as_strs(&request_args(id, "safe", "free", 1, 8000))))
            .expect("write");
        while backend.arrived() < id {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    assert_eq!(read_line(&mut clients[2]), "-BUSY");
}

/// Sends a GET request and returns the body of the answer.
fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set the read timeout");
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").expect("write");
    let mut from = BufReader::new(stream);
    let mut length = 0;
    loop {
        let head = read_line(&mut from);
        if let Some(n) = head.strip_prefix("Content-Length: ") {
            length = n.parse().expect("a length");
        }
        if head.is_empty() || head == "(end)" {
            break;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).expect("read the body");
    String::from_utf8(body).expect("UTF-8 text")
}

#[test]
fn discovery_sends_the_whole_list_and_changes_to_a_watch() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let discovery = runtime.block_on(Discovery::start()).expect("start");
    let start = |i| runtime.block_on(Backend::start(Spec::plain(i), journal.clone())).expect("start");
    let (one, two) = (start(1), start(2));
    discovery.list(&one, "SERVING");
    discovery.list(&two, "SERVING");
    let whole = get(discovery.address, "/discovery/hosts");
    assert!(
        whole.contains("\"snapshot\":true") && whole.contains("till-1") && whole.contains("till-2"),
        "{whole}"
    );
    let address = discovery.address;
    let watch = std::thread::spawn(move || get(address, "/discovery/hosts?after=2&wait_ms=20000"));
    discovery.list(&one, "DRAINING");
    let changes = watch.join().expect("the thread ends");
    assert!(changes.contains("DRAINING") && !changes.contains("till-2"), "{changes}");
    discovery.delete(&two);
    assert!(!get(discovery.address, "/discovery/hosts").contains("till-2"));
    assert!(get(discovery.address, "/discovery/hosts?after=3&wait_ms=1").contains("DELETED"));
}

#[test]
fn counter_total_includes_garbled_but_not_busy_calls() {
    let runtime = runtime();
    let counter = runtime.block_on(Counter::start()).expect("start");
    let mut client = connect(counter.address);
    let mut bump = |text: &str| {
        client.get_mut().write_all(format!("{text}\r\n").as_bytes()).expect("write");
        read_line(&mut client)
    };
    assert_eq!(bump("bump a 2.5 60000"), "ok 2.5");
    assert_eq!(bump("bump a 1 60000"), "ok 3.5");
    assert_eq!(bump("nonsense"), "error");
    counter.clear();
    assert_eq!(bump("bump a 1 60000"), "ok 1");
    counter.switch.set(Fault::Busy);
    assert_eq!(bump("bump a 1 60000"), "busy");
    counter.switch.set(Fault::Garbled);
    assert_eq!(bump("bump a 1 60000"), "ok 1x");
    assert_eq!((counter.added(), counter.calls()), (5.5, 4));
}

#[test]
fn script_depends_only_on_its_seed() {
    let (one, two) = (Script::generate(7, 3, 20), Script::generate(7, 3, 20));
    assert_eq!(one, two);
    assert_ne!(one.steps, Script::generate(8, 3, 20).steps);
    assert!(one.steps.iter().all(|s| s.stand_in < 3));
    assert!(one.steps.windows(2).all(|w| w[0].at + w[0].duration <= w[1].at), "two faults at once");
    assert!(one.to_string().starts_with("seed 0x7:"));
    let (switches, runtime) = ([Switch::default()], runtime());
    runtime.block_on(Script::generate(7, 1, 1).play(&switches));
    assert_eq!(switches[0].now(), Fault::None);
}
