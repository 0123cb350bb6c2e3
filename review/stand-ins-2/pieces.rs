//! Long answers that a backend writes in pieces, with pauses.

use crate::base::*;
use std::collections::HashSet;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;

const LONG_BYTES: usize = 100 * 1024;
const SHORT_BYTES: usize = 16;
/// The first piece ends within the head of the answer.
const FIRST_PIECE: usize = 6;
const PIECE_BYTES: usize = 32 * 1024;
/// Between two pieces; an answer takes some 2 s in all.
const PAUSE_MS: u64 = 400;
const REQUESTS: u64 = 20;

pub fn run(case: &Case) -> ! {
    let slow = case.trouble;
    // Requests in whose long values backends were cut off.
    let cut: Arc<Mutex<HashSet<String>>> = Arc::default();
    let list: Vec<Listed> = (0..4)
        .map(|number| {
            let (record, cut) = (Arc::clone(&case.record), Arc::clone(&cut));
            let address = backend(move |request, out| {
                record.line(&format!("s-{number}: runs {}", request.id));
                let mut value = request.id.clone().into_bytes();
                let long = is_long(&request.id);
                value.resize(if long { LONG_BYTES } else { SHORT_BYTES }, b'v');
                let answer = served(&value, 1.0);
                thread::sleep(ms(50));
                let pause = || thread::sleep(ms(if slow && long { PAUSE_MS } else { 0 }));
                let (first, rest) = answer.split_at(FIRST_PIECE);
                let mut written = out.write_all(first);
                for piece in rest.chunks(PIECE_BYTES) {
                    pause();
                    written = written.and_then(|()| out.write_all(piece));
                }
                match &written {
                    Ok(()) => record.line(&format!("s-{number}: has written the answer of {}", request.id)),
                    Err(e) => {
                        if long {
                            cut.lock().unwrap().insert(request.id.clone());
                        }
                        record.line(&format!("s-{number}: is cut off in the answer of {}: {e}", request.id));
                    }
                }
                written
            });
            Listed::new(&format!("s-{number}"), address, number / 2)
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
    let ids = Ids::new();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (id, customer, record) =
                (ids.next(), format!("{:016x}", 0x7000 + number), Arc::clone(&case.record));
            thread::sleep(ms(100));
            thread::spawn(move || {
                let terms = "c=card-charge,t=standard,d=8000,units=1,spread=2,first=0";
                let words = [b"API.WRITE", customer.as_bytes(), id.as_bytes(), terms.as_bytes(), b"body"];
                let answer = Client::open(listen).and_then(|mut client| {
                    client.stream.set_read_timeout(Some(ms(9_000)))?;
                    client.send(&command(&words))?;
                    client.read()
                });
                let text = match &answer {
                    Ok(Answer::Value(value)) => format!("a value of {} bytes", value.len()),
                    Ok(Answer::Line(line)) => line.clone(),
                    Err(e) => format!("nothing whole: {e}"),
                };
                record.line(&format!("client: {id} gets {text}"));
                let bytes = if is_long(&id) { LONG_BYTES } else { SHORT_BYTES };
                let whole = matches!(&answer, Ok(Answer::Value(value)) if value.len() == bytes);
                (id, whole)
            })
        })
        .collect();
    let ends: Vec<(String, bool)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    // A backend sees the cut with its next pieces.
    thread::sleep(ms(2_000));
    let cut = cut.lock().unwrap();
    let whole = ends.iter().filter(|(_, whole)| *whole).count();
    let lost = ends.iter().filter(|(id, whole)| !whole && cut.contains(id)).count();
    if lost == 0 && whole == 0 {
        cannot_run("no value came whole, and no backend was cut off");
    }
    case.end(
        lost > 0,
        &format!(
            "of {REQUESTS} values {whole} came whole; backends were cut off in {} long ones, and {lost} of these \
             never came; gateway ended: {:?}",
            cut.len(),
            gateway.ended()
        ),
    )
}

/// Every second value is long.
fn is_long(id: &str) -> bool {
    id.ends_with(['1', '3', '5', '7', '9', 'b', 'd', 'f'])
}
