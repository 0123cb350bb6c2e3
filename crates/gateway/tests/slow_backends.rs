//! Backends that take seconds to read requests or to write answers.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::json;

/// How late after a request's time its answer may come.
const LATE_BY: Duration = Duration::from_millis(200);

/// Guards against a final answer that comes after the request's time, as the backend reads the request slowly
/// or not at all.
#[test]
fn answer_comes_in_time_while_backend_reads_request_slowly() {
    for (class, deadline_ms) in [("unsafe", 1_500), ("keyed", 1_500), ("unsafe", 7_000), ("keyed", 7_000)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        socket2::SockRef::from(&listener).set_recv_buffer_size(4096).expect("set the receive buffer");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            let held: Vec<TcpStream> = listener.incoming().flatten().collect();
            drop(held);
        });
        let rig = Rig::with_config(1, |config| {
            config["known"]["endpoints"] = json!([endpoint("s-0", address, 1, "SERVING", 0.0)]);
        });
        let mut words = request_args(1, class, "free", 1, deadline_ms);
        words[4] = "x".repeat(64 * 1024);
        let mut client = rig.gateway.client();
        let begun = Instant::now();
        client.send(&as_strs(&words));
        let answer = client.read();
        println!("{class}, {deadline_ms} ms: {answer:?} after {:?}", begun.elapsed());
        assert!(answer.starts_with('-'), "{answer}");
        assert!(begun.elapsed() < Duration::from_millis(u64::from(deadline_ms)) + LATE_BY);
    }
}

/// Guards against cutting off a value that its backend writes slowly, long after the deadline of its request.
#[test]
fn value_written_slowly_beyond_the_deadline_arrives_whole() {
    const PIECES: usize = 10;
    const PIECE: usize = 10_000;
    let rig = Rig::with_config(1, |config| config["settings"]["profiles"][2]["deadline-ms"] = json!(2_000.0));
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "unsafe", "free", 1, 2_000)));
    let (_, mut arrived) = rig.next_request();
    arrived.reply(&format!("*3\r\n${}\r\n", PIECES * PIECE));
    let begun = Instant::now();
    for _ in 0..PIECES {
        arrived.reply(&"x".repeat(PIECE));
        thread::sleep(Duration::from_millis(600));
    }
    arrived.reply("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    assert!(begun.elapsed() > Duration::from_secs(5));
    assert_eq!(client.read().len(), PIECES * PIECE);
}

/// Guards against cutting off a value when its backend begins to drain, or is removed from the list.
#[test]
fn value_written_slowly_arrives_whole_while_its_backend_leaves() {
    let rig = Rig::with_config(2, |_| {});
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "unsafe", "free", 1, 8_000)));
    let (_, mut arrived) = rig.next_request();
    arrived.reply(&format!("*3\r\n${}\r\n", 100_000));
    arrived.reply(&"x".repeat(50_000));
    let at = |status| endpoint("s-0", rig.backends[0].address, 1, status, 0.0);
    rig.agent.deliver(&list(42, false, &[at("DRAINING")]));
    thread::sleep(Duration::from_millis(1_000));
    rig.agent.deliver(&list(43, false, &[at("DELETED")]));
    thread::sleep(Duration::from_millis(1_000));
    arrived.reply(&"x".repeat(50_000));
    arrived.reply("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    assert_eq!(client.read().len(), 100_000);
    let _ = std::io::stdout().flush();
}
