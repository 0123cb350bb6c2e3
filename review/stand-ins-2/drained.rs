//! Clients take long values slowly, and send on, while their gateway is drained.

use crate::base::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

const VALUE_BYTES: usize = 400 * 1024;
/// A client reads so much at a time, and rests.
const READ_BYTES: usize = 8 * 1024;
const REST_MS: u64 = 70;
const DRAIN_AT_MS: u64 = 700;
/// When each client sends its next request, on the connection on which the value is still coming.
const SENDS_ON_AT_MS: f64 = 2_300.0;
const CLIENTS: u64 = 4;
/// What a drained gateway still holds may be ended so long after the call.
const DRAINED_WITHIN_MS: f64 = 4_000.0;

/// How a first value ended.
enum End {
    Whole,
    /// Cut off in the value, at this time.
    Cut(f64),
    /// Refused or failed.
    Line,
}

pub fn run(mut case: Case) -> ! {
    let management = free_address();
    case.management = Some(management);
    // Values that backends have written whole.
    let written = Arc::new(AtomicU64::new(0));
    let list: Vec<Listed> = (0..4)
        .map(|number| {
            let (record, written) = (Arc::clone(&case.record), Arc::clone(&written));
            let address = backend(move |request, out| {
                record.line(&format!("s-{number}: runs {}", request.id));
                thread::sleep(ms(50));
                out.write_all(&served(&vec![b'v'; VALUE_BYTES], 1.0))?;
                written.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("s-{number}: has written the value of {}", request.id));
                Ok(())
            });
            Listed::new(&format!("s-{number}"), address, number as u32 / 2)
        })
        .collect();
    let known = list_json(&list);
    let (discovery, counter, listen) = (Discovery::start(list), Counter::start(), free_address());
    let config = Config {
        name: "n0".into(),
        listen,
        discovery: discovery.address,
        counter: counter.address,
        memory_mb: 128,
        sockets: 1024,
        me: 0,
        gateways: 2,
        deadlines_ms: [8_000; 3],
        chain: [11.0, 32.0, 25.0, 70.0, 8.0],
        known,
        lists: "push",
    };
    let path = case.folder.join("n0.json");
    config.write(&path);
    let mut gateway = case.gateway("n0", &path, "");
    case.wait_ready(listen);
    let ids = Arc::new(Ids::new());
    let begin = case.record.now_ms();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, ids) = (Arc::clone(&case.record), Arc::clone(&ids));
            thread::spawn(move || {
                let request = |id: &str, customer: u64| {
                    let terms = "c=card-charge,t=standard,d=8000,units=1,spread=2,first=0";
                    let customer = format!("{customer:016x}");
                    command(&[b"API.WRITE", customer.as_bytes(), id.as_bytes(), terms.as_bytes(), b"body"])
                };
                let mut stream = TcpStream::connect(listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
                small_receive_buffer(&stream);
                let _ = stream.set_read_timeout(Some(ms(8_000)));
                let (first, second) = (ids.next(), ids.next());
                let _ = stream.write_all(&request(&first, 0xc000 + number));
                let (mut got, mut sent, mut line, mut bytes) = (0, false, false, vec![0; READ_BYTES]);
                // The head of the value, the value and the end of its line.
                let whole = format!("${VALUE_BYTES}\r\n").len() + VALUE_BYTES + 2;
                while got < whole {
                    if !sent && record.now_ms() - begin > SENDS_ON_AT_MS {
                        sent = true;
                        record.line(&format!(
                            "client {number}: sends {second}, {got} bytes of {whole} have come"
                        ));
                        let _ = stream.write_all(&request(&second, 0xd000 + number));
                    }
                    match stream.read(&mut bytes) {
                        Ok(n) if n > 0 => {
                            line |= got == 0 && bytes[0] == b'-';
                            got += n;
                        }
                        end => {
                            record.line(&format!(
                                "client {number}: {first} ends with {got} of {whole} bytes: {end:?}"
                            ));
                            return if line { End::Line } else { End::Cut(record.now_ms()) };
                        }
                    }
                    thread::sleep(ms(REST_MS));
                }
                record.line(&format!("client {number}: {first} is whole"));
                End::Whole
            })
        })
        .collect();
    thread::sleep(ms(DRAIN_AT_MS));
    let mut called = case.record.now_ms();
    if case.trouble {
        called = case.record.now_ms();
        let answer = manage(management, "DRAIN");
        case.record.line(&format!("operator: DRAIN is answered {answer:?}"));
        if !answer.is_ok_and(|answer| answer.starts_with("SUCCESS")) {
            cannot_run("DRAIN is not answered with SUCCESS");
        }
    }
    let ends: Vec<End> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let whole = ends.iter().filter(|end| matches!(end, End::Whole)).count();
    let cut =
        ends.iter().filter(|end| matches!(end, End::Cut(at) if *at < called + DRAINED_WITHIN_MS)).count();
    if cut == 0 && whole == 0 {
        cannot_run("no value came whole, and none was cut off in time");
    }
    case.end(
        cut > 0,
        &format!(
            "backends wrote {} values whole; of the first {CLIENTS}, {whole} came whole, {cut} were cut off; gateway ended: {:?}",
            written.load(Ordering::Relaxed),
            gateway.ended()
        ),
    )
}
