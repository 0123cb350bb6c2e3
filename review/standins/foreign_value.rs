//! Case 1: backends write some answers twice. Checks that each served value was made for its request.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BACKENDS: usize = 8;
const GATEWAYS: usize = 2;
/// Clients of each gateway. Each keeps its connection and has one request open at a time.
const CLIENTS: u64 = 40;
/// Mean time from an answer to the client's next request, ms.
const THINK_MS: f64 = 700.0;
/// Mean time that a backend works on a request, ms.
const WORK_MS: f64 = 160.0;
/// One good answer in so many is followed by a second copy.
const ANSWERS_PER_COPY: u64 = 50;
const DURATION: Duration = Duration::from_secs(60);
/// Time that a client waits for an answer, and for how long after it an answer is still read, ms.
const DEADLINE_MS: u64 = 8_000;
const SLACK_MS: u64 = 500;
/// Customers, so many that each stays within its quota.
const CUSTOMERS: u64 = 400;
/// Answers without which the run says nothing.
const MIN_SERVED: u64 = 500;

type Counts = Mutex<BTreeMap<&'static str, u64>>;

fn main() {
    finish(run)
}

fn run(root: &Path, _case: &Path, record: &Arc<Record>) -> i32 {
    let folder = Folder::create();
    let copies = Arc::new(AtomicU64::new(0));
    let backends = start_backends(BACKENDS, backend(record, &copies));
    let site = Site::start(&backends);
    let gateways = start_gateways(root, &folder.0, &site, GATEWAYS);
    let counts: Arc<Counts> = Arc::default();
    let until = Instant::now() + DURATION;
    let mut clients = Vec::new();
    for (me, gateway) in gateways.iter().enumerate() {
        for number in 0..CLIENTS {
            let (record, counts, listen) = (Arc::clone(record), Arc::clone(&counts), gateway.listen);
            let seed = me as u64 * CLIENTS + number;
            clients.push(thread::spawn(move || client(seed, listen, until, &record, &counts)));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let counts = counts.lock().unwrap();
    let summary = format!("second copies: {}; answers: {counts:?}", copies.load(Ordering::Relaxed));
    record.line(&summary);
    println!("{summary}");
    match (counts.get("served of another request"), counts.get("served")) {
        (Some(_), _) => BROKEN,
        (None, Some(served)) if *served >= MIN_SERVED => HELD,
        _ => NOT_RUN,
    }
}

/// A backend that serves every request. It leaves `TCP_NODELAY` off, as systems do by default, and writes the
/// second copy of an answer right behind the first, and only if no other request waits on the connection then.
fn backend(record: &Arc<Record>, copies: &Arc<AtomicU64>) -> Arc<Handler> {
    let (record, copies, random) = (Arc::clone(record), Arc::clone(copies), Mutex::new(Random(7)));
    Arc::new(move |backend, command, connection: &mut BackendConnection| {
        let id = &command[2];
        let (work_ms, copied) = {
            let mut random = random.lock().unwrap();
            (random.exponential(WORK_MS), random.next() % ANSWERS_PER_COPY == 0)
        };
        thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
        let answer = encode_answer(&value_of(id));
        record.line(format!("till-{backend} ran {id}"));
        let may_copy = copied && trouble() && connection.nothing_waits()?;
        connection.write_all(&answer)?;
        if may_copy && connection.nothing_waits()? {
            copies.fetch_add(1, Ordering::Relaxed);
            record.line(format!("till-{backend} wrote a second copy of its answer to {id}"));
            connection.write_all(&answer)?;
        }
        Ok(())
    })
}

/// Sends requests one after another, and checks that each value was made for its request.
fn client(seed: u64, listen: SocketAddr, until: Instant, record: &Record, counts: &Counts) {
    let mut random = Random(seed);
    let mut connection = None;
    while Instant::now() < until {
        thread::sleep(Duration::from_secs_f64(random.exponential(THINK_MS) / 1000.0));
        let class = match random.next() % 100 {
            0..60 => "basket-price",
            60..82 => "sale-record",
            _ => "card-charge",
        };
        let request = request(class, 1 + random.next() % CUSTOMERS, DEADLINE_MS);
        let id = &request.id;
        let Some(mut client) = connection.take().or_else(|| Client::connect(listen).ok()) else { continue };
        if client.send(&request).is_err() {
            continue;
        }
        record.line(format!("client {seed} sent {class} {id}"));
        let kind = match client.answer(Duration::from_millis(DEADLINE_MS + SLACK_MS)) {
            Ok(reply) => {
                connection = Some(client);
                match reply.value().filter(|value| *value != value_of(id)) {
                    Some(value) => {
                        let value = String::from_utf8_lossy(value);
                        record.line(format!("BROKEN: {class} {id} was served \"{value}\""));
                        "served of another request"
                    }
                    None => reply.kind(),
                }
            }
            Err(_) => "no answer",
        };
        record.line(format!("client {seed} got for {id}: {kind}"));
        *counts.lock().unwrap().entry(kind).or_default() += 1;
    }
}
