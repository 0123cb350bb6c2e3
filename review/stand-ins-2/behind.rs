//! A charge behind a long value, on one connection, whose backend breaks off after some seconds.

use crate::base::*;
use std::collections::HashSet;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;

const VALUE_BYTES: usize = 200 * 1024;
const PIECES: usize = 30;
/// Between two pieces; the whole value takes 3 s.
const PAUSE_MS: u64 = 100;
/// The backend breaks off behind so many pieces, after 2.4 s.
const BREAKS_AFTER: usize = 24;
const CLIENTS: u64 = 6;

pub fn run(case: &Case) -> ! {
    let trouble = case.trouble;
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let list: Vec<Listed> = (0..8)
        .map(|number| {
            let (record, ran) = (Arc::clone(&case.record), Arc::clone(&ran));
            let address = backend(move |request, out| {
                record.line(&format!("s-{number}: runs {} of {}", request.id, request.term("c")));
                thread::sleep(ms(100));
                if request.term("c") == "card-charge" {
                    ran.lock().unwrap().insert(request.id.clone());
                    return out.write_all(&served(request.id.as_bytes(), 1.0));
                }
                let answer = served(&vec![b'v'; VALUE_BYTES], 1.0);
                for (at, piece) in answer.chunks(answer.len().div_ceil(PIECES)).enumerate() {
                    if trouble && at == BREAKS_AFTER {
                        record.line(&format!("s-{number}: breaks off in the answer of {}", request.id));
                        return Err(io::Error::other("breaks off"));
                    }
                    out.write_all(piece)?;
                    thread::sleep(ms(PAUSE_MS));
                }
                Ok(())
            });
            Listed::new(&format!("s-{number}"), address, number as u32 / 4)
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, ids, ran) = (Arc::clone(&case.record), Arc::clone(&ids), Arc::clone(&ran));
            thread::sleep(ms(50));
            thread::spawn(move || {
                let (basket, charge) = (ids.next(), ids.next());
                let request = |verb: &[u8], class: &str, id: &str, customer: u64, body: Option<&[u8]>| {
                    let terms = format!("c={class},t=standard,d=8000,units=1,spread=2,first=0");
                    let customer = format!("{customer:016x}");
                    let mut words = vec![verb, customer.as_bytes(), id.as_bytes(), terms.as_bytes()];
                    words.extend(body);
                    command(&words)
                };
                let mut both = request(b"API.READ", "basket-price", &basket, 0xa000 + number, None);
                both.extend(request(b"API.WRITE", "card-charge", &charge, 0xb000 + number, Some(b"body")));
                let answers = Client::open(listen).map(|mut client| {
                    let _ = client.stream.set_read_timeout(Some(ms(8_500)));
                    let _ = client.send(&both);
                    [client.read(), client.read()]
                });
                let [first, second] = answers.unwrap_or_else(|e| cannot_run(&e.to_string()));
                for (id, answer) in [(&basket, &first), (&charge, &second)] {
                    let text = match answer {
                        Ok(Answer::Value(value)) => format!("a value of {} bytes", value.len()),
                        Ok(Answer::Line(line)) => line.clone(),
                        Err(e) => format!("no whole answer: {e}"),
                    };
                    record.line(&format!("client: {id} gets {text}"));
                }
                let charged = ran.lock().unwrap().contains(&charge);
                (charged, second.is_ok())
            })
        })
        .collect();
    let ends: Vec<(bool, bool)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let lost = ends.iter().filter(|(charged, answered)| *charged && !answered).count();
    let charged = ends.iter().filter(|(charged, _)| *charged).count();
    case.end(
        lost > 0,
        &format!(
            "{charged} of {CLIENTS} charges ran, {lost} of them got no answer; gateway ended: {:?}",
            gateway.ended()
        ),
    )
}
