//! A client that sends small or invalid commands at full speed on one connection, and the clients beside it.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::json;

/// The memory limit, MiB.
const MEMORY_MB: u64 = 32;
/// How long the client floods.
const FLOOD: Duration = Duration::from_secs(3);
/// Time within which other clients must get their answers.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// The customer of the other clients.
const OTHER_CUSTOMER: &str = "00000001ffffffff";

/// Starts a gateway under the limits, with a backend that serves each request at once.
fn rig() -> (Rig, std::net::SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("an address");
    let backend = StandIn::backend_on(listener);
    thread::spawn(move || loop {
        let Some(mut arrived) = backend.next_within(MESSAGE_TIMEOUT) else { return };
        if arrived.words.first().is_some_and(|word| word.starts_with("API")) {
            arrived.serve("fine");
        } else {
            arrived.reply("+PONG\r\n");
        }
    });
    let rig = Rig::with_config(1, |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024});
        config["known"]["endpoints"] = json!([endpoint("s-0", address, 1, "SERVING", 0.0)]);
        config["settings"]["family-info"]["shared-counter"] = json!(false);
    });
    (rig, address)
}

/// Floods the gateway with commands, each of which is made by `next` from its number, while another client
/// sends a request every 50 ms. Prints and checks the latencies of these, and the memory of the gateway.
fn flood(name: &str, next: impl Fn(u64) -> Vec<u8> + Send + 'static) {
    let (mut rig, _) = rig();
    let address = rig.gateway.address;
    let flooding = thread::spawn(move || {
        let begun = Instant::now();
        let mut sent = 0;
        while begun.elapsed() < FLOOD {
            let mut stream = TcpStream::connect(address).expect("connect to the gateway");
            let mut reading = stream.try_clone().expect("clone the socket");
            let reader = thread::spawn(move || {
                let mut buffer = vec![0; 64 * 1024];
                while matches!(reading.read(&mut buffer), Ok(n) if n > 0) {}
            });
            while begun.elapsed() < FLOOD {
                let batch: Vec<u8> = (sent..sent + 50).flat_map(&next).collect();
                if stream.write_all(&batch).is_err() {
                    break;
                }
                sent += 50;
            }
            let _ = stream.shutdown(Shutdown::Both);
            reader.join().expect("reader thread");
        }
        sent
    });
    let mut other = rig.gateway.client();
    let mut slowest = Duration::ZERO;
    let mut id = 1 << 40;
    let begun = Instant::now();
    while begun.elapsed() < FLOOD {
        id += 1;
        let asked = Instant::now();
        let mut words = request_args(id, "safe", "free", 1, 8000);
        words[1] = OTHER_CUSTOMER.to_string();
        let answer = other.request(&as_strs(&words));
        assert_eq!(answer, "fine", "{name}, after {:?}", begun.elapsed());
        slowest = slowest.max(asked.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
    let sent = flooding.join().expect("flooding thread");
    let peak = rig.gateway.peak_memory_kb();
    println!("{name}: {sent} commands sent; slowest other answer {slowest:?}; peak memory {peak} kB");
    assert!(rig.gateway.is_running());
    assert!(slowest < ANSWER_WITHIN, "{slowest:?}");
    assert!(peak < MEMORY_MB << 10, "{peak} kB");
}

/// A request of a customer of its own, with an id of its own.
fn request_of_new_customer(number: u64, class: &str, plan: &str) -> Vec<u8> {
    let mut words = request_args(number, class, plan, 1, 8000);
    words[1] = format!("{:016x}", number % (1 << 32));
    command(&as_strs(&words))
}

/// Guards against health checks that crowd out requests.
#[test]
fn pings_do_not_delay_other_clients() {
    flood("pings", |_| command(&["PING"]));
}

/// Guards against invalid commands that crowd out requests.
#[test]
fn invalid_commands_do_not_delay_other_clients() {
    flood("unknown commands", |number| command(&["NOISE", &number.to_string()]));
    flood("requests of unknown classes", |number| {
        command(&as_strs(&request_args(number, &format!("class-{number}"), "free", 1, 8000)))
    });
}

/// Guards against malformed input, behind which connections are closed and opened anew.
#[test]
fn malformed_input_does_not_delay_other_clients() {
    flood("malformed input", |_| b"*1\r\n$x\r\n".to_vec());
}

/// Guards against requests of ever new customers that crowd out others, or fill the memory.
#[test]
fn requests_of_new_customers_do_not_delay_other_clients() {
    flood("new customers", |number| request_of_new_customer(number, "safe", "free"));
    flood("new customers of a plan with a quota", |number| request_of_new_customer(number, "unsafe", "paid"));
}

/// Guards against requests that are rejected at once and crowd out others.
#[test]
fn rejected_requests_do_not_delay_other_clients() {
    flood("requests beyond a quota", |number| {
        command(&as_strs(&request_args(number, "safe", "paid", 8, 8000)))
    });
}
