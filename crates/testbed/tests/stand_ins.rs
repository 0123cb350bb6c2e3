//! The stand-ins behave as their switches say. They are spoken to here as a gateway would.

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

const SHORT: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(20);

/// Runs stand-ins on threads of their own, so that a test may block.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime")
}

fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    BufReader::new(stream)
}

fn line(from: &mut BufReader<TcpStream>) -> String {
    let mut line = String::new();
    match from.read_line(&mut line) {
        Ok(0) | Err(_) => "(end)".to_string(),
        Ok(_) => line.trim_end().to_string(),
    }
}

/// The first line of the answer to a request of this id.
fn ask(from: &mut BufReader<TcpStream>, id: u64) -> String {
    let request = request_args(id, "unsafe", "free", 1, 8000);
    match from.get_mut().write_all(&command(&as_strs(&request))) {
        Ok(()) => line(from),
        Err(_) => "(end)".to_string(),
    }
}

fn rest(from: &mut BufReader<TcpStream>) {
    (0..5).for_each(|_| drop(line(from)));
}

#[test]
fn a_backend_serves_and_fails_as_its_switch_says_and_counts_each_request() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let backend = runtime.block_on(Backend::start(Spec::plain(0), journal.clone())).expect("it starts");
    let mut client = connect(backend.address);
    assert_eq!(ask(&mut client, 1), "*3");
    rest(&mut client);
    for (fault, said) in
        [(Fault::Busy, "-BUSY"), (Fault::Failing, "-ERR failed"), (Fault::Garbled, "\u{1}\u{2}noise")]
    {
        backend.switch.set(fault);
        assert_eq!(ask(&mut client, 2), said, "{fault:?}");
    }
    backend.switch.set(Fault::Resetting);
    assert_eq!(ask(&mut client, 3), "(end)");
    backend.switch.set(Fault::None);
    let mut client = connect(backend.address);
    assert_eq!(ask(&mut client, 4), "*3");
    assert_eq!((backend.arrived(), backend.served()), (6, 2));
    let ran = |e: &Event| matches!(e, Event::AttemptReceived { ran: true, .. });
    assert_eq!(journal.events().iter().filter(|(_, e)| ran(e)).count(), 5, "one was turned away");
}

#[test]
fn a_silent_backend_says_nothing_until_it_is_well_and_one_that_refuses_comes_back_at_its_address() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let backend = runtime.block_on(Backend::start(Spec::plain(0), journal.clone())).expect("it starts");
    let mut client = connect(backend.address);
    backend.switch.set(Fault::Silent);
    client.get_mut().set_read_timeout(Some(SHORT)).expect("a time-out");
    assert_eq!(ask(&mut client, 1), "(end)", "nothing came in time");
    client.get_mut().set_read_timeout(Some(PATIENCE)).expect("a time-out");
    backend.switch.set(Fault::None);
    assert_eq!(line(&mut client), "*3");
    rest(&mut client);
    backend.switch.set(Fault::Refusing);
    assert_eq!(ask(&mut client, 2), "(end)", "open connections break");
    // Until its listener is closed, the system may still take one.
    let refused = std::iter::repeat_with(|| TcpStream::connect(backend.address).is_err());
    assert!(refused.take(1_000).any(|refused| refused));
    backend.switch.set(Fault::None);
    let back = std::iter::repeat_with(|| {
        std::thread::sleep(Duration::from_millis(5));
        TcpStream::connect(backend.address).is_ok()
    });
    assert!(back.take(1_000).any(|up| up));
    assert_eq!(ask(&mut connect(backend.address), 3), "*3");
}

#[test]
fn a_request_that_its_gateway_gives_up_is_noted_as_broken() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let backend = runtime.block_on(Backend::start(Spec::plain(0), journal.clone())).expect("it starts");
    backend.switch.set(Fault::Silent);
    let mut client = connect(backend.address);
    client
        .get_mut()
        .write_all(&command(&as_strs(&request_args(1, "safe", "free", 1, 8000))))
        .expect("it reads");
    let mut wait = 0;
    while backend.arrived() < 1 && wait < 4_000 {
        std::thread::sleep(Duration::from_millis(5));
        wait += 1;
    }
    drop(client);
    let broken = |e: &Event| matches!(e, Event::AttemptEnded { result: AttemptResult::Aborted, .. });
    while !journal.events().iter().any(|(_, e)| broken(e)) && wait < 8_000 {
        std::thread::sleep(Duration::from_millis(5));
        wait += 1;
    }
    assert!(journal.events().iter().any(|(_, e)| broken(e)));
}

#[test]
fn more_than_its_slots_and_as_many_waiting_are_turned_away() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let spec = Spec { slots: 1, service_time: Duration::from_secs(5), ..Spec::plain(0) };
    let backend = runtime.block_on(Backend::start(spec, journal)).expect("it starts");
    let mut all: Vec<_> = (0..3).map(|_| connect(backend.address)).collect();
    for (id, client) in (1..).zip(&mut all) {
        client
            .get_mut()
            .write_all(&command(&as_strs(&request_args(id, "safe", "free", 1, 8000))))
            .expect("it reads");
        while backend.arrived() < id {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    assert_eq!(line(&mut all[2]), "-BUSY");
}

fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").expect("it reads");
    let mut from = BufReader::new(stream);
    let mut length = 0;
    loop {
        let head = line(&mut from);
        if let Some(n) = head.strip_prefix("Content-Length: ") {
            length = n.parse().expect("a number");
        }
        if head.is_empty() || head == "(end)" {
            break;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).expect("the body");
    String::from_utf8(body).expect("text")
}

#[test]
fn discovery_tells_the_whole_list_and_to_a_watch_what_changed() {
    let (runtime, journal) = (runtime(), Journal::new(1_000));
    let discovery = runtime.block_on(Discovery::start()).expect("it starts");
    let start = |i| runtime.block_on(Backend::start(Spec::plain(i), journal.clone())).expect("it starts");
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
    let news = watch.join().expect("it ends");
    assert!(news.contains("DRAINING") && !news.contains("till-2"), "{news}");
    discovery.delete(&two);
    assert!(!get(discovery.address, "/discovery/hosts").contains("till-2"));
    assert!(get(discovery.address, "/discovery/hosts?after=3&wait_ms=1").contains("DELETED"));
}

#[test]
fn the_counter_keeps_the_truth_beside_what_it_tells() {
    let runtime = runtime();
    let counter = runtime.block_on(Counter::start()).expect("it starts");
    let mut client = connect(counter.address);
    let mut bump = |text: &str| {
        client.get_mut().write_all(format!("{text}\r\n").as_bytes()).expect("it reads");
        line(&mut client)
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
fn a_script_is_its_seed() {
    let (one, two) = (Script::generate(7, 3, 20), Script::generate(7, 3, 20));
    assert_eq!(one, two);
    assert_ne!(one.steps, Script::generate(8, 3, 20).steps);
    assert!(one.steps.iter().all(|s| s.stand_in < 3));
    assert!(one.steps.windows(2).all(|w| w[0].at + w[0].duration <= w[1].at), "two at once");
    assert!(one.to_string().starts_with("seed 0x7:"));
    let (switches, runtime) = ([Switch::default()], runtime());
    runtime.block_on(Script::generate(7, 1, 1).play(&switches));
    assert_eq!(switches[0].now(), Fault::None);
}
