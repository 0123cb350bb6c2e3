//! Case 3: a gateway is drained, undrained soon after, and drained again later. Checks that its clients'
//! connections are closed 4 s after the last call.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BACKENDS: usize = 8;
const GATEWAYS: usize = 2;
/// Time that a backend works on a request.
const WORK: Duration = Duration::from_millis(50);
/// Time from the first DRAIN to its UNDRAIN.
const TAKEN_BACK_AFTER: Duration = Duration::from_millis(100);
/// Time from the UNDRAIN to the second DRAIN.
const NEXT_DRAIN_AFTER: Duration = Duration::from_secs(3);
/// Time after a DRAIN from which no connection may be held idle or with a recent request.
const LIMIT: Duration = Duration::from_secs(4);
/// Time that the limits of the rules are longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// Interval of the requests of the client that goes on sending.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
const DEADLINE_MS: u64 = 8_000;
const ANSWER_LIMIT: Duration = Duration::from_millis(8_500);

fn main() {
    finish(run)
}

fn run(root: &Path, _case: &Path, record: &Arc<Record>) -> i32 {
    let folder = Folder::create();
    let handler: Arc<Handler> = Arc::new(|_, command, stream: &mut TcpStream| {
        thread::sleep(WORK);
        stream.write_all(&encode_answer(&value_of(&command[2])))
    });
    let backends = start_backends(BACKENDS, handler);
    let site = Site::start(&backends);
    let gateways = start_gateways(root, &folder.0, &site, GATEWAYS);
    let gateway = &gateways[0];
    let mut idle = Client::connect(gateway.listen).expect("connect to a gateway");
    let mut sending = Client::connect(gateway.listen).expect("connect to a gateway");
    assert!(exchange("idle", &mut idle, record) && exchange("sending", &mut sending, record));
    if trouble() {
        call(gateway, "DRAIN", record);
        thread::sleep(TAKEN_BACK_AFTER);
        call(gateway, "UNDRAIN", record);
        thread::sleep(NEXT_DRAIN_AFTER);
    }
    // Both clients send once more, so that neither connection is old.
    for (name, client) in [("idle", &mut idle), ("sending", &mut sending)] {
        // After a drain the gateway may have closed the connection; clients then open another one.
        if !exchange(name, client, record) {
            *client = Client::connect(gateway.listen).expect("connect to a gateway");
            assert!(exchange(name, client, record));
        }
    }
    call(gateway, "DRAIN", record);
    let drained_at = Instant::now();
    let mut is_open = true;
    while is_open && drained_at.elapsed() < LIMIT + SLACK {
        thread::sleep(REQUEST_INTERVAL);
        is_open = exchange("sending", &mut sending, record);
    }
    let after = drained_at.elapsed();
    if after < LIMIT + SLACK {
        thread::sleep(LIMIT + SLACK - after);
    }
    let yes = gateway.ping().is_ok_and(|answer| answer == "+PONG");
    let idle_open = !is_closed(&mut idle.stream, Duration::from_millis(100));
    let sending_open = is_open && !is_closed(&mut sending.stream, Duration::from_millis(100));
    let after_s = drained_at.elapsed().as_secs_f64();
    record.line(format!(
        "{after_s:.2} s after the last DRAIN: PING answered with yes: {yes}; the idle connection is open: \
         {idle_open}; the one with a request in the last 2 s is open: {sending_open}"
    ));
    if yes || idle_open || sending_open {
        record.line("BROKEN: the gateway is not drained");
        println!("yes: {yes}, held idle: {idle_open}, held with a recent request: {sending_open}");
        return BROKEN;
    }
    HELD
}

fn call(gateway: &Gateway, line: &str, record: &Record) {
    let answer = gateway.call(line).expect("an answer to an operator's call");
    record.line(format!("{line}: {answer}"));
    assert!(answer.starts_with("SUCCESS"));
}

/// Sends a request and reads its answer. Returns whether it was answered on this connection.
fn exchange(name: &str, client: &mut Client, record: &Record) -> bool {
    let request = request("card-charge", 1, DEADLINE_MS);
    let answer = client.send(&request).and_then(|()| client.answer(ANSWER_LIMIT));
    let text = match &answer {
        Ok(reply) => reply.kind().to_string(),
        Err(error) => format!("the connection is closed: {error}"),
    };
    record.line(format!("client {name} sent card-charge {}: {text}", request.id));
    answer.is_ok()
}
