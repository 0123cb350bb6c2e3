//! Races between requests in progress and the end of a connection, a deduplication window or the process, on
//! loopback sockets. Each test forces the critical order of events. `docs/design/endings.md` lists the paths.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::json;

/// A listener whose accept queue is full: new connections stay half open until [`StalledBackend::open`].
struct StalledBackend {
    listener: TcpListener,
    address: SocketAddr,
    _fillers: Vec<TcpStream>,
}

impl StalledBackend {
    fn new() -> StalledBackend {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
        let listener = runtime.block_on(async {
            refusing_address().0.listen(1).expect("listen").into_std().expect("convert the listener")
        });
        listener.set_nonblocking(false).expect("set the listener blocking");
        let address = listener.local_addr().expect("socket address");
        let fillers =
            (0..2).map(|_| TcpStream::connect(address).expect("space in the accept queue")).collect();
        StalledBackend { listener, address, _fillers: fillers }
    }

    /// Starts to accept connections, and returns the backend once the gateway's connection is established.
    fn open(self, gateway: &Gateway) -> StandIn {
        let backend = StandIn::backend_on(self.listener);
        let port = format!(":{:04X}", self.address.port());
        let begun = Instant::now();
        // Waits until the connection is established on the gateway's side.
        while !has_established(gateway.pid(), &port) {
            assert!(begun.elapsed() < MESSAGE_TIMEOUT, "the gateway's connection was never established");
            sleep(Duration::from_millis(5));
        }
        backend
    }
}

/// Returns whether a process has an established connection to a port.
fn has_established(pid: u32, port: &str) -> bool {
    has_connection_in_state(pid, port, "01")
}

/// Returns whether a process has a connection to a port that is still being opened.
fn is_connecting(pid: u32, port: &str) -> bool {
    has_connection_in_state(pid, port, "02")
}

/// Returns whether a process has a connection to a port in a state, given as in `/proc/net/tcp` (`01` is
/// established, `02` is SYN sent).
fn has_connection_in_state(pid: u32, port: &str, state: &str) -> bool {
    let open: Vec<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
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
            && columns.get(9).is_some_and(|inode| open.contains(&format!("socket:[{inode}]")))
    })
}

/// How long a test waits for a message that must not arrive.
const NO_MESSAGE_WAIT: Duration = Duration::from_millis(300);

/// Sends a request whose first attempt waits for a connection to `stalled`, the only backend.
fn send_to_stalled(stalled: &StalledBackend, cancel: bool) -> (Rig, Client) {
    let only = [endpoint("s-0", stalled.address, 1, "SERVING", 0.0)];
    let rig = Rig::with_config(1, |config| {
        config["known"]["endpoints"] = json!(only);
        config["settings"]["policy-limits"]["cancel"] = json!(cancel);
        config["settings"]["policy-limits"]["connect-timeout-ms"] = json!(20_000.0);
        config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0);
    });
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 600_000)));
    // The gateway handles the list after the request, so the request has been accepted when this returns.
    rig.send_snapshot(&only);
    (rig, client)
}

/// Guards against a retry that was decided within the deduplication window but is written after it, because
/// its connection was established late. By then the backends of the cell no longer know that the request ran.
#[test]
fn keyed_retry_connected_after_window_is_not_written() {
    let stalled = StalledBackend::new();
    let rig = Rig::with_config(1, |config| {
        config["settings"]["profiles"][1]["window-ms"] = json!(600.0);
        config["settings"]["policy-limits"]["connect-timeout-ms"] = json!(20_000.0);
    });
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "keyed", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    let begun = Instant::now();
    // Another backend of the cell is added and the attempt fails: the retry goes there and waits for a
    // connection.
    let other = endpoint("s-1", stalled.address, 1, "SERVING", 0.0);
    rig.agent.deliver(&list(42, true, &[serving(0, &rig.backends[0]), other]));
    assert!(begun.elapsed() < Duration::from_millis(500), "the machine stalled, so no retry was attempted");
    arrived.reply("-ERR failed\r\n");
    sleep(Duration::from_millis(700).saturating_sub(begun.elapsed()));
    let late = stalled.open(&rig.gateway);
    assert!(client.read().starts_with("-ERR"));
    assert!(late.next_within(NO_MESSAGE_WAIT).is_none(), "retried after the window");
    assert!(rig.backends_idle());
}

/// Guards against a request that is written when its backend connection is established although its client
/// has disconnected, if the settings do not allow attempts to be cancelled.
#[test]
fn request_of_disconnected_client_is_not_written_after_connect() {
    for cancel in [true, false] {
        let stalled = StalledBackend::new();
        let (rig, client) = send_to_stalled(&stalled, cancel);
        drop(client);
        // The gateway reads this command after the end of the first connection.
        assert_eq!(rig.gateway.client().request(&["PING"]), "+PONG");
        sleep(Duration::from_millis(100));
        let late = stalled.open(&rig.gateway);
        assert!(
            late.next_within(NO_MESSAGE_WAIT).is_none(),
            "forwarded after its client disconnected (cancel: {cancel})"
        );
    }
}

/// Guards against an unnoticed disconnect of a client that wrote more commands than the gateway queues: the
/// end of the stream is behind commands that are not read yet.
#[test]
fn disconnect_is_detected_behind_unread_commands() {
    // Within what the gateway reads ahead, and more than that.
    for commands in [33, 400] {
        let rig =
            Rig::with_config(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
        let mut client = rig.gateway.client();
        let all: Vec<u8> = (1..=commands)
            .flat_map(|id| command(&as_strs(&request_args(id, "safe", "free", 1, 600_000))))
            .collect();
        client.write(&all);
        let (_, arrived) = rig.next_request();
        drop(client);
        arrived.wait_until_closed();
        assert!(rig.backends_idle(), "a later command was forwarded");
    }
}

/// Guards against an unnoticed disconnect while a command of the client waits for the memory budget.
#[test]
fn disconnect_is_detected_while_command_waits_for_memory() {
    // The memory budget is 256 KiB, and most of it is in use.
    let rig = Rig::with_config(1, |config| {
        config["limits"]["memory_mb"] = json!(1);
        config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0);
        config["settings"]["profiles"][2]["deadline-ms"] = json!(600_000.0);
    });
    let mut large: Vec<_> = (1..5).map(|_| rig.gateway.client()).collect();
    for (id, client) in (1..).zip(&mut large) {
        let mut request = request_args(id, "unsafe", "free", 1, 600_000);
        request[4] = "x".repeat(60_000);
        client.send(&as_strs(&request));
    }
    let mut held: Vec<IncomingMessage> = (1..5).map(|_| rig.next_request().1).collect();
    // There is no memory for this one, for which it waits 0.25 s.
    let mut client = rig.gateway.client();
    let mut request = request_args(5, "unsafe", "free", 1, 600_000);
    request[4] = "x".repeat(30_000);
    client.send(&as_strs(&request));
    sleep(Duration::from_millis(50));
    drop(client);
    sleep(Duration::from_millis(20));
    for request in &mut held {
        request.serve("fine");
    }
    sleep(NO_MESSAGE_WAIT);
    assert!(rig.backends_idle(), "forwarded after its client disconnected");
}

/// Guards against a request that waits for a total of the counter and is forwarded when the total arrives
/// although its client has disconnected.
#[test]
fn request_of_disconnected_client_is_not_forwarded_on_total() {
    let rig = Rig::with_config(1, |config| {
        set_large_burst(config);
        config["settings"]["family-info"]["count-wait-ms"] = json!(20_000.0);
        for class in config["settings"]["profiles"].as_array_mut().expect("JSON array") {
            (class["aim-ms"], class["deadline-ms"]) = (json!(600_000.0), json!(600_000.0));
        }
    });
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "paid", 60, 600_000)));
    let mut counter_call = rig.counter.next();
    assert!(rig.backends_idle(), "the request did not wait for the total");
    drop(client);
    assert_eq!(rig.gateway.client().request(&["PING"]), "+PONG");
    sleep(Duration::from_millis(100));
    counter_call.reply("ok 60\r\n");
    assert!(
        rig.backends[0].next_within(NO_MESSAGE_WAIT).is_none(),
        "forwarded after its client disconnected"
    );
}

/// A client that shuts down only its sending side counts as disconnected: a fully closed connection looks the
/// same to the gateway.
#[test]
fn client_that_shuts_down_sending_counts_as_disconnected() {
    let rig =
        Rig::with_config(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    stream
        .write_all(&command(&as_strs(&request_args(1, "safe", "free", 1, 600_000))))
        .expect("write to the socket");
    let (_, arrived) = rig.next_request();
    stream.shutdown(std::net::Shutdown::Write).expect("socket is open");
    arrived.wait_until_closed();
}

/// Guards against an unnoticed disconnect of a client that does not read a response, while its other requests
/// wait behind that response.
#[test]
fn disconnect_is_detected_while_response_is_written() {
    let rig =
        Rig::with_config(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    for id in 1..3 {
        stream
            .write_all(&command(&as_strs(&request_args(id, "safe", "free", 1, 600_000))))
            .expect("write to the socket");
    }
    let (_, mut first) = rig.next_request();
    // Far more than the socket buffers hold. The write blocks until the gateway closes the connection, so it
    // runs in a separate thread.
    let writer = std::thread::spawn(move || {
        let value = "x".repeat(64 << 20);
        let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| first.serve(&value)));
    });
    let mut first_bytes = [0; 16];
    stream.read_exact(&mut first_bytes).expect("read the start of the response");
    sleep(NO_MESSAGE_WAIT);
    let disconnected = Instant::now();
    stream.shutdown(std::net::Shutdown::Write).expect("socket is open");
    writer.join().expect("writer thread");
    // Without that detection, a client that does not read is disconnected after 10 s.
    assert!(disconnected.elapsed() < Duration::from_secs(5), "{:?}", disconnected.elapsed());
    sleep(NO_MESSAGE_WAIT);
    assert!(rig.backends_idle(), "the second request was forwarded");
}

/// Guards against a duplicate response that arrives some milliseconds after the first and is used as that to
/// the next request.
#[test]
fn connection_is_not_reused_at_once_after_response() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let mut reused_at_once = 0;
    let mut last: Option<(usize, Instant)> = None;
    for id in 0..50 {
        client.send(&as_strs(&request_args(id, "safe", "free", 1, 8000)));
        let (_, mut arrived) = rig.next_request();
        // Measured from before the response to after the next request, so it exceeds the gateway's own pause.
        if last.is_some_and(|(connection, at)| {
            connection == arrived.connection && at.elapsed() < Duration::from_millis(20)
        }) {
            reused_at_once += 1;
        }
        last = Some((arrived.connection, Instant::now()));
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
    }
    assert_eq!(reused_at_once, 0, "requests out of 50 were written at once after a response");
}

/// Guards against a duplicate response that arrives while the next request waits for the connection's pause
/// to end and is used as its response.
#[test]
fn duplicate_response_during_pause_does_not_answer_next_request() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let mut duplicates_in_pause = 0;
    for id in 0..20 {
        client.send(&as_strs(&request_args(2 * id, "safe", "free", 1, 8000)));
        let (_, mut first) = rig.next_request();
        first.serve("first");
        assert_eq!(client.read(), "first");
        client.send(&as_strs(&request_args(2 * id + 1, "safe", "free", 1, 8000)));
        first.serve("first");
        let (_, mut second) = rig.next_request();
        second.serve("second");
        let answer = client.read();
        // If the machine stalled, the duplicate arrived after the next request was written.
        if second.connection != first.connection {
            assert_eq!(answer, "second");
            duplicates_in_pause += 1;
        }
    }
    assert!(duplicates_in_pause > 0, "no duplicate response arrived during the pause");
}

/// Sends a request and answers it with a value of its own. Returns the request as the backend received it.
fn exchange_own_value(rig: &Rig, client: &mut Client, id: u64) -> IncomingMessage {
    let value = format!("value of {id}");
    client.send(&as_strs(&request_args(id, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    arrived.allow_held_back_replies();
    arrived.serve(&value);
    assert_eq!(client.read(), value);
    arrived
}

/// Guards against a duplicate response that the backend's system holds back until the first one is
/// acknowledged: it arrived right behind the next request, and was used as the response to it.
#[test]
fn duplicate_response_held_back_by_system_does_not_answer_next_request() {
    /// Exchanges without a duplicate; a system delays acknowledgements only once both sides have sent.
    const PLAIN_EXCHANGES: u64 = 10;
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    for round in 0..8 {
        let first_id = round * (PLAIN_EXCHANGES + 1);
        let mut last = exchange_own_value(&rig, &mut client, first_id);
        for id in 1..PLAIN_EXCHANGES {
            sleep(Duration::from_millis(21));
            last = exchange_own_value(&rig, &mut client, first_id + id);
        }
        last.serve("duplicate");
        // Longer than the gateway's pause, and shorter than an acknowledgement is delayed.
        sleep(Duration::from_millis(25));
        let next = exchange_own_value(&rig, &mut client, first_id + PLAIN_EXCHANGES);
        assert_ne!(next.connection, last.connection, "the connection with a duplicate was reused");
    }
}

/// Guards against commands that are read at the end of the drain, forwarded, and lost when the process exits.
#[test]
fn command_at_drain_end_is_answered_or_not_forwarded() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    assert_eq!(client.request(&["PING"]), "+PONG");
    rig.gateway.terminate();
    // The first one is never answered, and the others wait for that.
    let all: Vec<u8> =
        (1..=64).flat_map(|id| command(&as_strs(&request_args(id, "safe", "free", 1, 8000)))).collect();
    client.write(&all);
    let mut answers = 0;
    while client.read() != "(end)" {
        answers += 1;
    }
    assert!(rig.gateway.wait_for_exit().success());
    let forwarded = std::iter::from_fn(|| rig.backends[0].try_next()).count();
    assert!(forwarded <= answers, "{forwarded} forwarded, {answers} answered");
    assert_eq!(forwarded, 1);
}

/// Guards against a backend that processes a request long after its gateway has exited.
#[test]
fn request_deadline_is_limited_to_remaining_shutdown_time() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    assert_eq!(client.request(&["PING"]), "+PONG");
    let begun = Instant::now();
    rig.gateway.terminate();
    let wait_ms = loop {
        client.send(&as_strs(&request_args(begun.elapsed().as_micros() as u64 + 1, "safe", "free", 1, 8000)));
        let (_, mut arrived) = rig.next_request();
        let wait_ms = deadline_ms_of(&arrived.words[3]);
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        // The gateway may handle the signal after the first requests.
        if wait_ms < 7_900 || begun.elapsed() > Duration::from_secs(1) {
            break wait_ms;
        }
    };
    assert!(wait_ms <= 3_300, "{wait_ms} ms");
    assert!(rig.gateway.wait_for_exit().success());
}

/// Limits the file descriptors to one client and one backend.
fn limit_to_one_client(config: &mut serde_json::Value) {
    config["limits"]["sockets"] = json!(34);
}

/// Starts a gateway whose only client connection is in use by an open request.
fn rig_at_client_limit() -> (Rig, Client, IncomingMessage) {
    let rig = Rig::with_config(1, limit_to_one_client);
    let mut kept = rig.gateway.client();
    while kept.request_or_end(&["PING"]) != "+PONG" {
        kept = rig.gateway.client();
    }
    kept.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, arrived) = rig.next_request();
    (rig, kept, arrived)
}

/// Guards against connections in the kernel's accept queue that are reset, with the requests written to them,
/// when the gateway exits without accepting them.
#[test]
fn queued_connections_at_drain_end_are_answered() {
    let (mut rig, _kept, _arrived) = rig_at_client_limit();
    rig.gateway.terminate();
    // Each waits 0.1 s for a descriptor, so these are more than the drain has time for.
    let mut queued: Vec<Client> = (0..60)
        .map(|id| {
            let mut client = rig.gateway.client();
            client.send(&as_strs(&request_args(100 + id, "safe", "free", 1, 8000)));
            client
        })
        .collect();
    let answers: Vec<String> = queued.iter_mut().map(Client::read).collect();
    assert!(answers.iter().all(|a| a == "-BUSY"), "{answers:?}");
    assert!(rig.gateway.wait_for_exit().success());
}

/// Guards against a rejected connection that is closed with its first request unread: the kernel then resets
/// it, and the response is lost.
#[test]
fn rejected_connection_closes_after_response_without_reset() {
    let (rig, _kept, _arrived) = rig_at_client_limit();
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    stream
        .write_all(&command(&as_strs(&request_args(2, "safe", "free", 1, 8000))))
        .expect("write to the socket");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("end of stream without a reset");
    assert_eq!(response, "-BUSY\r\n");
}

/// Guards against a discovery response without a length that is taken for complete although its connection
/// was reset: backends missing from the received part would be removed.
#[test]
fn discovery_response_without_length_ended_by_reset_is_ignored() {
    let agent = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let (counter, backends) = (StandIn::counter(), [StandIn::backend(), StandIn::backend()]);
    let known: Vec<_> = (0..).zip(&backends).map(|(i, b)| serving(i, b)).collect();
    let config = config(agent.local_addr().expect("socket address"), counter.address, &known);
    let gateway = Gateway::start(&config);
    let body = list(41, true, &known[..1]).to_string();
    for _ in 0..3 {
        let (mut call, _) = agent.accept().expect("accept a call from the gateway");
        // The request stays unread, so closing the connection resets it.
        call.peek(&mut [0; 8]).expect("read the request");
        call.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{body}").as_bytes()).expect("write to the socket");
    }
    // The gateway calls again, so it did not apply the response.
    let _next = agent.accept().expect("accept another call from the gateway");
    let mut client = gateway.client();
    let mut served = [0; 2];
    for id in 0..40 {
        client.send(&as_strs(&request_args(id, "safe", "free", 1, 8000)));
        let (index, mut arrived) = next_from_any(&backends.iter().collect::<Vec<_>>());
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        served[index] += 1;
    }
    assert!(served[1] > 0, "{served:?}");
}

/// Guards against a probe that is written to a draining backend because its connection was established late.
#[test]
fn probe_connected_after_drain_is_not_written() {
    let (stalled, other) = (StalledBackend::new(), StandIn::backend());
    let stalled_endpoint = |status| endpoint("s-0", stalled.address, 1, status, 0.0);
    let both = [stalled_endpoint("SERVING"), serving(1, &other)];
    let mut rig = Rig::with_config(1, |config| {
        config["known"]["endpoints"] = json!(both);
        config["settings"]["policy-limits"]["connect-timeout-ms"] = json!(2_500.0);
    });
    rig.send_snapshot(&both);
    rig.backends = vec![other];
    let pid = rig.gateway.pid();
    let port = format!(":{:04X}", stalled.address.port());
    // Requests go there and fail until it is ejected. A connection attempt after a while without any is a
    // probe.
    let (begun, mut last, mut id) = (Instant::now(), Instant::now(), 0);
    let mut clients: Vec<Client> = (0..8).map(|_| rig.gateway.client()).collect();
    loop {
        assert!(begun.elapsed() < MESSAGE_TIMEOUT, "no probe was sent");
        let connecting = is_connecting(pid, &port);
        if connecting && last.elapsed() > Duration::from_millis(1_000) {
            break;
        }
        last = if connecting { Instant::now() } else { last };
        for client in &mut clients {
            id += 1;
            client.send(&as_strs(&request_args(id, "safe", "free", 1, 8000)));
        }
        for client in &mut clients {
            while client.try_read().is_none() {
                rig.backends[0]
                    .next_within(Duration::from_millis(1))
                    .into_iter()
                    .for_each(|mut a| a.serve("fine"));
            }
        }
        sleep(Duration::from_millis(10));
    }
    rig.agent.deliver(&list(42, false, &[stalled_endpoint("DRAINING")]));
    // The gateway's connection follows the two that fill the queue, and ends with nothing written.
    stalled.listener.set_nonblocking(true).expect("set the listener nonblocking");
    let (begun, mut accepted) = (Instant::now(), Vec::new());
    while accepted.len() < 3 {
        assert!(begun.elapsed() < MESSAGE_TIMEOUT, "the gateway's connection was never established");
        match stalled.listener.accept() {
            Ok((stream, _)) => accepted.push(stream),
            Err(_) => sleep(Duration::from_millis(5)),
        }
    }
    let late = &mut accepted[2];
    late.set_nonblocking(false).expect("socket is open");
    late.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    match late.read(&mut [0; 64]) {
        Ok(n) => assert_eq!(n, 0, "probe sent to a draining backend"),
        Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{e}"),
    }
}
