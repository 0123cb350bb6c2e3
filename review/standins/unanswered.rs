//! Case 2: a backend's connection ends in the middle of a long value. Checks that a request which the client
//! had sent behind it on the same connection gets its answer.

mod common;

use std::io::{ErrorKind, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BACKENDS: usize = 8;
const GATEWAYS: usize = 2;
/// Clients, one after another. Each sends two requests at once.
const CLIENTS: u64 = 6;
/// Length of the long value, bytes: over 64 KiB, under 4 MiB.
const LONG_VALUE: usize = 1 << 20;
/// Time from a request to the first bytes of its answer, ms: for a price, and for a charge.
const PRICE_MS: u64 = 200;
const CHARGE_MS: u64 = 300;
/// Time between the two halves of the long value, ms.
const PAUSE_MS: u64 = 600;
/// Time that a client waits for an answer, and for how long after it an answer is still read, ms.
const DEADLINE_MS: u64 = 8_000;
const SLACK_MS: u64 = 500;

fn main() {
    finish(run)
}

fn run(root: &Path, _case: &Path, record: &Arc<Record>) -> i32 {
    let folder = Folder::create();
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let backends = start_backends(BACKENDS, backend(record, &ran));
    let site = Site::start(&backends);
    let gateways = start_gateways(root, &folder.0, &site, GATEWAYS);
    let mut unanswered = 0;
    for number in 0..CLIENTS {
        let gateway = &gateways[number as usize % GATEWAYS];
        let charge = client(number, gateway, record);
        if !charge.answered {
            let times = ran.lock().unwrap().iter().filter(|id| **id == charge.id).count();
            let id = &charge.id;
            record.line(format!("BROKEN: card-charge {id} was run {times} times and never answered"));
            unanswered += 1;
        }
    }
    let summary = format!("{unanswered} of {CLIENTS} charges were never answered");
    record.line(&summary);
    println!("{summary}");
    if unanswered > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// A backend whose prices are long values, given in two halves.
fn backend(record: &Arc<Record>, ran: &Arc<Mutex<Vec<String>>>) -> Arc<Handler> {
    let (record, ran) = (Arc::clone(record), Arc::clone(ran));
    Arc::new(move |backend, command, connection: &mut BackendConnection| {
        let (verb, id) = (&command[0], &command[2]);
        ran.lock().unwrap().push(id.clone());
        record.line(format!("till-{backend} runs {verb} {id}"));
        if verb == "API.WRITE" {
            thread::sleep(Duration::from_millis(CHARGE_MS));
            connection.write_all(&encode_answer(&value_of(id)))?;
            record.line(format!("till-{backend} has answered {id}"));
            return Ok(());
        }
        thread::sleep(Duration::from_millis(PRICE_MS));
        let answer = encode_answer(&vec![b'x'; LONG_VALUE]);
        let (first, second) = answer.split_at(answer.len() / 2);
        connection.write_all(first)?;
        thread::sleep(Duration::from_millis(PAUSE_MS));
        if trouble() {
            record.line(format!("till-{backend} ends the connection in the middle of the value for {id}"));
            return Err(ErrorKind::ConnectionReset.into());
        }
        connection.write_all(second)
    })
}

struct Charge {
    id: String,
    answered: bool,
}

/// Sends a price and a charge in one write, and reads both answers.
fn client(number: u64, gateway: &Gateway, record: &Record) -> Charge {
    let mut client = Client::connect(gateway.listen).expect("connect to a gateway");
    let price = request("basket-price", 1 + 2 * number, DEADLINE_MS);
    let charge = request("card-charge", 2 + 2 * number, DEADLINE_MS);
    client.stream.write_all(&[&price.bytes[..], &charge.bytes].concat()).expect("send the requests");
    record.line(format!("client {number} sent basket-price {} and card-charge {}", price.id, charge.id));
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS + SLACK_MS);
    let mut read = |class: &str, id: &str| {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let answer = client.answer(left);
        let text = match &answer {
            Ok(reply) => reply.kind().to_string(),
            Err(error) => format!("no whole answer: {error}"),
        };
        record.line(format!("client {number} got for {class} {id}: {text}"));
        answer.is_ok()
    };
    read("basket-price", &price.id);
    let answered = read("card-charge", &charge.id);
    Charge { id: charge.id, answered }
}
