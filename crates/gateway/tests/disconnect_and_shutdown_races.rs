//! What is still owed when something ends, on loopback sockets: each test forces the bad order every time.
//! `docs/design/endings.md` has the paths, one by one.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::json;

/// A listener whose line is full: connections to it stay half open until somebody accepts.
struct Stuck {
    listener: TcpListener,
    address: SocketAddr,
    _fillers: Vec<TcpStream>,
}

impl Stuck {
    fn new() -> Stuck {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
        let listener =
            runtime.block_on(async { refusing().0.listen(1).expect("listen").into_std().expect("listener") });
        listener.set_nonblocking(false).expect("set the listener blocking");
        let address = listener.local_addr().expect("socket address");
        let fillers =
            (0..2).map(|_| TcpStream::connect(address).expect("space in the accept queue")).collect();
        Stuck { listener, address, _fillers: fillers }
    }

    /// Accepts from now on; gives the backend once the gateway's connection is up.
    fn opens(self, gateway: &Gateway) -> StandIn {
        let backend = StandIn::backend_on(self.listener);
        let port = format!(":{:04X}", self.address.port());
        let begun = Instant::now();
        // Established, as the gateway's process holds it.
        while !connected(gateway.pid(), &port) {
            assert!(begun.elapsed() < PATIENCE, "the gateway's connection never came up");
            sleep(Duration::from_millis(5));
        }
        backend
    }
}

/// Whether a process has an established connection to a port.
fn connected(pid: u32, port: &str) -> bool {
    has(pid, port, "01")
}

/// Whether a process waits for a connection to a port to come up.
fn dials(pid: u32, port: &str) -> bool {
    has(pid, port, "02")
}

/// Whether a process has a connection to a port in a state, as the system numbers them.
fn has(pid: u32, port: &str, state: &str) -> bool {
    let held: Vec<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .expect("read procfs of the gateway process")
        .filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok())
        .map(|to| to.to_string_lossy().into_owned())
        .collect();
    let text =
        std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).expect("read procfs of the gateway process");
    text.lines().skip(1).any(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns.get(2).is_some_and(|to| to.ends_with(port))
            && columns.get(3) == Some(&state)
            && columns.get(9).is_some_and(|inode| held.contains(&format!("socket:[{inode}]")))
    })
}

/// Some time for something that must not come.
const QUIET: Duration = Duration::from_millis(300);

/// A request whose first attempt waits for a connection to `stuck`, the only backend.
fn waits_for(stuck: &Stuck, cancel: bool) -> (Rig, Client) {
    let only = [endpoint("s-0", stuck.address, 1, "SERVING", 0.0)];
    let rig = Rig::with_config(1, |config| {
        config["known"]["endpoints"] = json!(only);
        config["settings"]["policy-limits"]["cancel"] = json!(cancel);
        config["settings"]["policy-limits"]["connect-timeout-ms"] = json!(20_000.0);
        config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0);
    });
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 600_000)));
    // Behind it in the gateway's inbox, so it was taken in.
    rig.send_snapshot(&only);
    (rig, client)
}

/// Guards against a repeat that was chosen within the window, and begins after it as its connection came up
/// late. The backends of its group have forgotten by then that it ran.
#[test]
fn a_keyed_repeat_whose_connection_comes_up_after_the_window_is_not_written() {
    let stuck = Stuck::new();
    let rig = Rig::with_config(1, |config| {
        config["settings"]["profiles"][1]["window-ms"] = json!(600.0);
        config["settings"]["policy-limits"]["connect-timeout-ms"] = json!(20_000.0);
    });
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "keyed", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    let begun = Instant::now();
    // Another of its cell, and a failure: the repeat goes there, and waits for a connection.
    let other = endpoint("s-1", stuck.address, 1, "SERVING", 0.0);
    rig.agent.tell(&list(42, true, &[serving(0, &rig.backends[0]), other]));
    assert!(begun.elapsed() < Duration::from_millis(500), "this machine stood still: no repeat is chosen");
    arrived.say("-ERR failed\r\n");
    sleep(Duration::from_millis(700).saturating_sub(begun.elapsed()));
    let late = stuck.opens(&rig.gateway);
    assert!(client.read().starts_with("-ERR"));
    assert!(late.within(QUIET).is_none(), "repeated after the window");
    assert!(rig.backends_idle());
}

/// Guards against a request of a client that has gone, written when its connection comes up, where the
/// settings do not let attempts be cancelled.
#[test]
fn a_request_whose_client_left_is_not_written_when_its_connection_comes_up() {
    for cancel in [true, false] {
        let stuck = Stuck::new();
        let (rig, client) = waits_for(&stuck, cancel);
        drop(client);
        // Another connection's command, read after the end of the first one's.
        assert_eq!(rig.gateway.client().ask(&["PING"]), "+PONG");
        sleep(Duration::from_millis(100));
        let late = stuck.opens(&rig.gateway);
        assert!(late.within(QUIET).is_none(), "sent on for nobody (cancel: {cancel})");
    }
}

/// Guards against a client that writes more commands than may wait, and goes; its end stands behind what is
/// not read.
#[test]
fn the_end_of_a_client_shows_behind_commands_that_nobody_reads_yet() {
    // A few more than may wait, and more than is read ahead.
    for commands in [33, 400] {
        let rig =
            Rig::with_config(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
        let mut client = rig.gateway.client();
        let all: Vec<u8> =
            (1..=commands).flat_map(|id| command(&words(&call(id, "safe", "free", 1, 600_000)))).collect();
        client.write(&all);
        let arrived: Vec<Arrived> = (0..32).map(|_| rig.next_request().1).collect();
        drop(client);
        arrived.iter().for_each(Arrived::closed);
        assert!(rig.backends_idle(), "a command behind them was sent on");
    }
}

/// Guards against a client that goes while one of its commands waits for room in the memory.
#[test]
fn the_end_of_a_client_shows_while_a_command_waits_for_room() {
    // Room for 256 KiB, and most of it taken.
    let rig = Rig::with_config(1, |config| {
        config["limits"]["memory_mb"] = json!(1);
        config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0);
        config["settings"]["profiles"][2]["deadline-ms"] = json!(600_000.0);
    });
    let mut large = rig.gateway.client();
    for id in 1..5 {
        let mut words_of = call(id, "unsafe", "free", 1, 600_000);
        words_of[4] = "x".repeat(60_000);
        large.send(&words(&words_of));
    }
    let _held: Vec<Arrived> = (1..5).map(|_| rig.next_request().1).collect();
    // Some find room, and each of the others waits for a quarter of a second.
    let mut client = rig.gateway.client();
    let all: Vec<u8> =
        (10..42).flat_map(|id| command(&words(&call(id, "safe", "free", 1, 600_000)))).collect();
    client.write(&all);
    let (_, first) = rig.next_request();
    drop(client);
    let gone = Instant::now();
    first.closed();
    assert!(gone.elapsed() < Duration::from_millis(1_500), "{:?}", gone.elapsed());
}

/// Guards against a request that waits for a total, and is sent on when that comes though its client has
/// gone.
#[test]
fn a_request_whose_client_left_is_not_sent_on_when_its_total_comes() {
    let rig = Rig::with_config(1, |config| {
        roomy(config);
        config["settings"]["family-info"]["count-wait-ms"] = json!(20_000.0);
        for class in config["settings"]["profiles"].as_array_mut().expect("JSON array") {
            (class["aim-ms"], class["deadline-ms"]) = (json!(600_000.0), json!(600_000.0));
        }
    });
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "paid", 60, 600_000)));
    let mut owed = rig.counter.next();
    assert!(rig.backends_idle(), "it did not wait for the total");
    drop(client);
    assert_eq!(rig.gateway.client().ask(&["PING"]), "+PONG");
    sleep(Duration::from_millis(100));
    owed.say("ok 60\r\n");
    assert!(rig.backends[0].within(QUIET).is_none(), "sent on for nobody");
}

/// A client's end of sending alone is its end: the other side of a connection that was closed looks the same.
#[test]
fn a_client_that_ends_its_sending_has_gone() {
    let rig =
        Rig::with_config(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    stream.write_all(&command(&words(&call(1, "safe", "free", 1, 600_000)))).expect("write to the socket");
    let (_, arrived) = rig.next_request();
    stream.shutdown(std::net::Shutdown::Write).expect("socket is open");
    arrived.closed();
}

/// Guards against a client that goes while it takes none of an answer, and its other requests that wait
/// behind that.
#[test]
fn the_end_of_a_client_shows_while_an_answer_is_written() {
    let rig =
        Rig::with_config(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    for id in 1..3 {
        stream
            .write_all(&command(&words(&call(id, "safe", "free", 1, 600_000))))
            .expect("write to the socket");
    }
    let (first, second) = (rig.next_request().1, rig.next_request().1);
    let (mut first, second) = if first.words[2].ends_with('1') { (first, second) } else { (second, first) };
    // Far more than fits between the two; who writes it is held up, so it is a thread of its own.
    std::thread::spawn(move || {
        let value = "x".repeat(64 << 20);
        let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| first.serve(&value)));
    });
    let mut begun = [0; 16];
    stream.read_exact(&mut begun).expect("the answer begins");
    sleep(QUIET);
    let gone = Instant::now();
    stream.shutdown(std::net::Shutdown::Write).expect("socket is open");
    second.closed();
    // A client that takes nothing is given up after 10 s.
    assert!(gone.elapsed() < Duration::from_secs(5), "{:?}", gone.elapsed());
}

/// Guards against a second answer that comes some milliseconds after the first, taken for that to the next
/// request.
#[test]
fn a_connection_that_has_just_answered_rests_before_the_next_request() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let mut used_at_once = 0;
    let mut last: Option<(usize, Instant)> = None;
    for id in 0..50 {
        client.send(&words(&call(id, "safe", "free", 1, 8000)));
        let (_, mut arrived) = rig.next_request();
        // From before the answer until after the next request: longer than the gateway's own time.
        if last.is_some_and(|(on, at)| on == arrived.connection && at.elapsed() < Duration::from_millis(20)) {
            used_at_once += 1;
        }
        last = Some((arrived.connection, Instant::now()));
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
    }
    assert_eq!(used_at_once, 0, "of 50 were written behind an answer at once");
}

/// Guards against the same while the next request waits for the rest to end.
#[test]
fn a_second_answer_that_comes_while_a_connection_rests_is_not_the_next_requests() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let mut in_time = 0;
    for id in 0..20 {
        client.send(&words(&call(2 * id, "safe", "free", 1, 8000)));
        let (_, mut first) = rig.next_request();
        first.serve("first");
        assert_eq!(client.read(), "first");
        client.send(&words(&call(2 * id + 1, "safe", "free", 1, 8000)));
        first.serve("first");
        let (_, mut second) = rig.next_request();
        second.serve("second");
        let answer = client.read();
        // Where this machine stood still, it came behind the next request.
        if second.connection != first.connection {
            assert_eq!(answer, "second");
            in_time += 1;
        }
    }
    assert!(in_time > 0, "no second answer came while its connection rested");
}

/// Guards against commands that are read in the last moment, sent on, and lost as the process ends.
#[test]
fn what_comes_when_the_drain_ends_is_answered_or_not_sent_on() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    rig.gateway.terminate();
    // Twice what may wait: the second half is read as the first fails.
    let all: Vec<u8> = (1..=64).flat_map(|id| command(&words(&call(id, "safe", "free", 1, 8000)))).collect();
    client.write(&all);
    let mut answers = 0;
    while client.read() != "(end)" {
        answers += 1;
    }
    assert!(rig.gateway.wait_for_exit().success());
    let sent_on = std::iter::from_fn(|| rig.backends[0].taken()).count();
    assert!(sent_on <= answers, "{sent_on} sent on, {answers} answered");
    assert_eq!(sent_on, 32);
}

/// Guards against a backend that works on a request until long after its gateway has ended.
#[test]
fn a_request_of_a_gateway_that_ends_is_told_no_more_time_than_that_has() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    let begun = Instant::now();
    rig.gateway.terminate();
    let told = loop {
        client.send(&words(&call(begun.elapsed().as_micros() as u64 + 1, "safe", "free", 1, 8000)));
        let (_, mut arrived) = rig.next_request();
        let told = wait_of(&arrived.words[3]);
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        // The signal may come a moment after the first of them.
        if told < 7_900 || begun.elapsed() > Duration::from_secs(1) {
            break told;
        }
    };
    assert!(told <= 3_300, "{told} ms");
    assert!(rig.gateway.wait_for_exit().success());
}

/// Descriptors for one client and one backend.
fn narrow(config: &mut serde_json::Value) {
    config["limits"]["sockets"] = json!(34);
}

/// A gateway whose one place is taken by a request that is open.
fn taken() -> (Rig, Client, Arrived) {
    let rig = Rig::with_config(1, narrow);
    let mut kept = rig.gateway.client();
    while kept.ask_or_end(&["PING"]) != "+PONG" {
        kept = rig.gateway.client();
    }
    kept.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, arrived) = rig.next_request();
    (rig, kept, arrived)
}

/// Guards against connections that the machine has accepted and the gateway has not, reset with the requests
/// that were written to them.
#[test]
fn connections_in_the_line_when_the_drain_ends_are_answered() {
    let (mut rig, _kept, _arrived) = taken();
    rig.gateway.terminate();
    // Each waits a tenth of a second for a place: they are more than the drain has time for.
    let mut line: Vec<Client> = (0..60)
        .map(|id| {
            let mut client = rig.gateway.client();
            client.send(&words(&call(100 + id, "safe", "free", 1, 8000)));
            client
        })
        .collect();
    let answers: Vec<String> = line.iter_mut().map(Client::read).collect();
    assert!(answers.iter().all(|a| a == "-BUSY"), "{answers:?}");
    assert!(rig.gateway.wait_for_exit().success());
}

/// Guards against a connection that is turned away with its first request unread, and is reset: the answer
/// goes with that.
#[test]
fn a_connection_that_is_turned_away_ends_behind_its_answer_and_is_not_reset() {
    let (rig, _kept, _arrived) = taken();
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
    stream.write_all(&command(&words(&call(2, "safe", "free", 1, 8000)))).expect("the machine accepts");
    let mut said = String::new();
    stream.read_to_string(&mut said).expect("an end, no reset");
    assert_eq!(said, "-BUSY\r\n");
}

/// Guards against an answer with no length whose connection is reset, taken for a whole one: a backend that
/// it does not name would be gone.
#[test]
fn an_answer_of_discovery_with_no_length_that_is_reset_is_none() {
    let agent = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let (counter, backends) = (StandIn::counter(), [StandIn::backend(), StandIn::backend()]);
    let known: Vec<_> = (0..).zip(&backends).map(|(i, b)| serving(i, b)).collect();
    let config = config(agent.local_addr().expect("socket address"), counter.address, &known);
    let gateway = Gateway::start(&config);
    let body = list(41, true, &known[..1]).to_string();
    for _ in 0..3 {
        let (mut call, _) = agent.accept().expect("accept a call from the gateway");
        // Its request is not read, so that the end is a reset.
        call.peek(&mut [0; 8]).expect("read the request");
        call.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{body}").as_bytes()).expect("write to the socket");
    }
    // Asked once more, so it was not taken.
    let _next = agent.accept().expect("accept another call from the gateway");
    let mut client = gateway.client();
    let mut met = [0; 2];
    for id in 0..40 {
        client.send(&words(&call(id, "safe", "free", 1, 8000)));
        let (place, mut arrived) = next_of(&backends.iter().collect::<Vec<_>>());
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        met[place] += 1;
    }
    assert!(met[1] > 0, "{met:?}");
}

/// Guards against a probe whose connection comes up late, written to a backend that drains by then.
#[test]
fn a_probe_whose_connection_comes_up_after_the_drain_is_not_written() {
    let (stuck, other) = (Stuck::new(), StandIn::backend());
    let ready = |status| endpoint("s-0", stuck.address, 1, status, 0.0);
    let both = [ready("SERVING"), serving(1, &other)];
    let mut rig = Rig::with_config(1, |config| {
        config["known"]["endpoints"] = json!(both);
        config["settings"]["policy-limits"]["connect-timeout-ms"] = json!(2_500.0);
    });
    rig.send_snapshot(&both);
    rig.backends = vec![other];
    let pid = rig.gateway.pid();
    let port = format!(":{:04X}", stuck.address.port());
    // Requests go there and fail until it is ejected; the dial that follows a while without one is a probe's.
    let (begun, mut last, mut id) = (Instant::now(), Instant::now(), 0);
    let mut clients: Vec<Client> = (0..8).map(|_| rig.gateway.client()).collect();
    loop {
        assert!(begun.elapsed() < PATIENCE, "no probe came");
        let dials = dials(pid, &port);
        if dials && last.elapsed() > Duration::from_millis(1_000) {
            break;
        }
        last = if dials { Instant::now() } else { last };
        for client in &mut clients {
            id += 1;
            client.send(&words(&call(id, "safe", "free", 1, 8000)));
        }
        for client in &mut clients {
            while client.try_read().is_none() {
                rig.backends[0]
                    .within(Duration::from_millis(1))
                    .into_iter()
                    .for_each(|mut a| a.serve("fine"));
            }
        }
        sleep(Duration::from_millis(10));
    }
    rig.agent.tell(&list(42, false, &[ready("DRAINING")]));
    // Behind the two that fill its line comes the gateway's, which ends with nothing written.
    stuck.listener.set_nonblocking(true).expect("listener");
    let (begun, mut accepted) = (Instant::now(), Vec::new());
    while accepted.len() < 3 {
        assert!(begun.elapsed() < PATIENCE, "the gateway's connection never came up");
        match stuck.listener.accept() {
            Ok((stream, _)) => accepted.push(stream),
            Err(_) => sleep(Duration::from_millis(5)),
        }
    }
    let late = &mut accepted[2];
    late.set_nonblocking(false).expect("socket is open");
    late.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
    match late.read(&mut [0; 64]) {
        Ok(n) => assert_eq!(n, 0, "probed while it drains"),
        Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{e}"),
    }
}
