//! Answers of up to 64 KiB that their backends write in pieces, as many at once as clients may have open.

use crate::base::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1_024;
/// A third of the descriptors, as clients hold at most.
const CONNECTIONS: usize = 330;
const REQUESTS_PER_S: f64 = 140.0;
const VALUE_BYTES: usize = 64 * 1024;
/// How long a backend takes to write an answer.
const WRITING_MS: u64 = 3_000;
const RUN_MS: u64 = 12_000;

pub fn run(case: &Case) -> ! {
    let slow = case.trouble;
    let mut list = Vec::new();
    for number in 0..10 {
        let address = backend(move |request, out| {
            let answer = served(&vec![b'v'; VALUE_BYTES], request.term("units").parse().unwrap_or(1.0));
            thread::sleep(ms(20));
            if !slow {
                return out.write_all(&answer);
            }
            let pieces = WRITING_MS / 100;
            let last = 400;
            let (first, rest) = answer.split_at(answer.len() - last);
            out.write_all(first)?;
            for piece in rest.chunks(last.div_ceil(pieces as usize)) {
                thread::sleep(ms(100));
                out.write_all(piece)?;
            }
            Ok(())
        });
        list.push(Listed::new(&format!("s-{number}"), address, number / 5));
    }
    let known = list_json(&list);
    let (discovery, counter, listen) = (Discovery::start(list), Counter::start(), free_address());
    let config = Config {
        name: "n0".into(),
        listen,
        discovery: discovery.address,
        counter: counter.address,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        me: 0,
        gateways: 2,
        deadlines_ms: [8_000; 3],
        chain: [11.0, 32.0, 25.0, 70.0, 8.0],
        known,
        lists: "push",
    };
    let path = case.folder.join("n0.json");
    config.write(&path);
    let gateway = case.gateway("n0", &path, "");
    case.wait_ready(listen);
    case.record.line(&format!("platform: resident {} KiB at the start", gateway.resident_kib().unwrap_or(0)));

    let killed = Arc::new(Mutex::new(None));
    let most = Arc::new(AtomicU64::new(0));
    let watched = Arc::new(Mutex::new(gateway));
    {
        let (killed, most, record, watched) =
            (Arc::clone(&killed), Arc::clone(&most), Arc::clone(&case.record), Arc::clone(&watched));
        thread::spawn(move || loop {
            thread::sleep(ms(10));
            let gateway = watched.lock().unwrap();
            let Some(resident) = gateway.resident_kib() else { return };
            let before = most.fetch_max(resident, Ordering::Relaxed);
            if resident / 1024 > before / 1024 {
                record.line(&format!("platform: resident {resident} KiB"));
            }
            if resident > MEMORY_MB * 1024 {
                record.line(&format!("platform: {resident} KiB are over {MEMORY_MB} MB: kills the gateway"));
                gateway.signal(SIGKILL);
                *killed.lock().unwrap() = Some(resident);
                return;
            }
        });
    }

    let (ids, open) = (Arc::new(Ids::new()), Arc::new(AtomicU64::new(0)));
    let counts: Arc<[AtomicU64; 4]> = Arc::default();
    let pool: Arc<Mutex<Vec<Client>>> = Arc::default();
    let (begin, mut clients) = (Instant::now(), Vec::new());
    let mut number = 0_u64;
    while begin.elapsed() < ms(RUN_MS) && killed.lock().unwrap().is_none() {
        number += 1;
        let at = begin + Duration::from_secs_f64(number as f64 / REQUESTS_PER_S);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if open.load(Ordering::Relaxed) >= CONNECTIONS as u64 {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (ids, open, counts, pool, record) = (
            Arc::clone(&ids),
            Arc::clone(&open),
            Arc::clone(&counts),
            Arc::clone(&pool),
            Arc::clone(&case.record),
        );
        clients.push(thread::spawn(move || {
            let id = ids.next();
            let customer = format!("{:016x}", 0x1000 + number);
            let terms = "c=basket-price,t=standard,d=8000,units=1,spread=2,first=0";
            let bytes = command(&[b"API.READ", customer.as_bytes(), id.as_bytes(), terms.as_bytes()]);
            let idle = pool.lock().unwrap().pop();
            let client = idle.map_or_else(|| Client::open(listen), Ok);
            let answer = client.and_then(|mut client| {
                let _ = client.stream.set_read_timeout(Some(ms(8_500)));
                client.send(&bytes)?;
                let answer = client.read()?;
                pool.lock().unwrap().push(client);
                Ok(answer)
            });
            let (kind, text) = match &answer {
                Ok(Answer::Value(value)) => (0, format!("{} bytes", value.len())),
                Ok(Answer::Line(line)) if line.starts_with("-BUSY") => (1, line.clone()),
                Ok(Answer::Line(line)) => (2, line.clone()),
                Err(e) => (3, format!("no answer: {e}")),
            };
            counts[kind].fetch_add(1, Ordering::Relaxed);
            open.fetch_sub(1, Ordering::Relaxed);
            record.line(&format!("client: {id} {text}"));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let count = |kind: usize| counts[kind].load(Ordering::Relaxed);
    let ended = watched.lock().unwrap().ended();
    let summary =
        format!(
        "served {}, refused {}, failed {}, no answer {}; resident at most {} KiB; gateway ended: {ended:?}",
        count(0), count(1), count(2), count(3), most.load(Ordering::Relaxed)
    );
    let broken = killed.lock().unwrap().is_some() || ended.is_some();
    case.end(broken, &summary)
}
