//! TXT records of the backends vanish while keyed requests are repeated.

use crate::base::*;
use crate::dns::{answer, fetch, operators_file, question, start_agent, zone};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const TTL_S: u32 = 4;
const TXT: u16 = 16;
const VANISH_AT_MS: u64 = 3_000;
const REQUESTS_FROM_MS: u64 = 10_000;
const END_MS: u64 = 22_000;
/// Backends of one rack drop a repeat for so long.
const WINDOW_MS: f64 = 5_000.0;

/// What the backends of one rack know together: the keys that they have seen, with the time.
type Rack = Mutex<HashMap<String, f64>>;

pub fn run(case: &Case) -> ! {
    // Each run of a sale, by its key: the backend and the time.
    let runs: Arc<Mutex<HashMap<String, Vec<(usize, f64)>>>> = Arc::default();
    let resets = Arc::new(AtomicU64::new(0));
    let racks: Arc<[Rack; 2]> = Arc::default();
    let backends: Vec<SocketAddr> = (0..4)
        .map(|number| {
            let (record, runs, racks) = (Arc::clone(&case.record), Arc::clone(&runs), Arc::clone(&racks));
            let resets = Arc::clone(&resets);
            backend(move |request, out| {
                let key = request.term("k").to_string();
                let now = record.now_ms();
                let mut rack = racks[number / 2].lock().unwrap();
                let repeat = rack.get(&key).is_some_and(|at| now - at < WINDOW_MS);
                rack.entry(key.clone()).or_insert(now);
                drop(rack);
                let first = if repeat {
                    record.line(&format!("s-{number}, rack {}: drops the repeat of {key}", number / 2));
                    false
                } else {
                    record.line(&format!("s-{number}, rack {}: runs {key}", number / 2));
                    let mut runs = runs.lock().unwrap();
                    let all = runs.entry(key.clone()).or_default();
                    all.push((number, now));
                    all.len() == 1
                };
                thread::sleep(ms(20));
                // One connection in sixteen breaks after the request has run, before the answer.
                if first && key.ends_with('0') {
                    resets.fetch_add(1, Ordering::Relaxed);
                    return Err(io::Error::other("reset"));
                }
                out.write_all(&served(request.id.as_bytes(), 1.0))
            })
        })
        .collect();
    let vanished = Arc::new(AtomicBool::new(false));
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let resolver = socket.local_addr().unwrap();
    {
        let (vanished, zone) = (Arc::clone(&vanished), zone(&backends));
        let bare: HashMap<_, _> = zone.clone().into_iter().filter(|((_, kind), _)| *kind != TXT).collect();
        thread::spawn(move || {
            let mut query = [0; 4_096];
            while let Ok((length, from)) = socket.recv_from(&mut query) {
                if question(&query[..length]).is_none() {
                    continue;
                }
                let zone = if vanished.load(Ordering::Relaxed) { &bare } else { &zone };
                if let Some(bytes) = answer(&query[..length], zone, TTL_S) {
                    let _ = socket.send_to(&bytes, from);
                }
            }
        });
    }
    let (list, listen, counter) = (free_address(), free_address(), Counter::start());
    let operator = operators_file(case, list, resolver);
    let agent = start_agent(case, &operator, list, 1);
    for _ in 0..200 {
        if fetch(list).is_some_and(|(_, backends)| backends == 4) {
            break;
        }
        thread::sleep(ms(25));
    }
    let known: Vec<Listed> = backends
        .iter()
        .enumerate()
        .map(|(n, a)| Listed::new(&format!("s-{n}"), *a, n as u32 / 2 + 1))
        .collect();
    let config = Config {
        name: "n0".into(),
        listen,
        discovery: list,
        counter: counter.address,
        memory_mb: 128,
        sockets: 1024,
        me: 0,
        gateways: 2,
        deadlines_ms: [4_000; 3],
        chain: [11.0, 32.0, 25.0, 70.0, 8.0],
        known: list_json(&known),
        lists: "ask",
    };
    let path = case.folder.join("n0.json");
    config.write(&path);
    let mut gateway = case.gateway("n0", &path, "");
    case.wait_ready(listen);
    let wait_until = |at: u64| thread::sleep(ms(at.saturating_sub(case.record.now_ms() as u64)));
    wait_until(VANISH_AT_MS);
    if case.trouble {
        vanished.store(true, Ordering::Relaxed);
        case.record.line("resolver: the TXT records have vanished");
    }
    wait_until(REQUESTS_FROM_MS);
    let ids = Ids::new();
    let mut client = Client::open(listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let _ = client.stream.set_read_timeout(Some(ms(5_000)));
    let mut number = 0_u64;
    while case.record.now_ms() < END_MS as f64 {
        number += 1;
        let (id, customer) = (ids.next(), format!("{:016x}", 0x9000 + number));
        let terms = format!("c=sale-record,t=standard,d=4000,k={id},units=1,spread=2,first=0");
        let words = [b"API.WRITE", customer.as_bytes(), id.as_bytes(), terms.as_bytes(), b"body"];
        match client.send(&command(&words)).and_then(|()| client.read()) {
            Ok(Answer::Value(_)) => {}
            Ok(Answer::Line(line)) => case.record.line(&format!("client: {id} {line}")),
            Err(e) => cannot_run(&format!("client: {e}")),
        }
        thread::sleep(ms(20));
    }
    drop(agent);
    let mut twice = 0;
    for (key, runs) in runs.lock().unwrap().iter() {
        let racks_of = |(number, _): &(usize, f64)| number / 2;
        if runs.iter().any(|run| racks_of(run) != racks_of(&runs[0])) {
            twice += 1;
            case.record.line(&format!("check: {key} ran in two racks: {runs:?}"));
        }
    }
    case.end(
        twice > 0,
        &format!(
            "{twice} of {number} sales ran twice, in two racks; {} answers were lost on the way; gateway ended: {:?}",
            resets.load(Ordering::Relaxed),
            gateway.ended()
        ),
    )
}
