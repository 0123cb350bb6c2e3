//! Case 3: a gateway is told to end while long values are on their way. Checks that each value whose backend
//! gives all of it before the platform may kill the gateway reaches its client whole.

mod common;

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BACKENDS: usize = 8;
const GATEWAYS: usize = 2;
const CLIENTS: u64 = 6;
/// Length of a value, bytes: over 64 KiB, under 4 MiB.
const LONG_VALUE: usize = 1 << 20;
/// Time from a request to the first bytes of its value.
const FIRST_BYTES: Duration = Duration::from_millis(200);
/// Number of pieces in which a backend gives a value, at even intervals.
const PIECES: u32 = 80;
/// Time from the requests to SIGTERM.
const TERM_AFTER: Duration = Duration::from_millis(700);
/// Time from SIGTERM to the last bytes of the first value that ends, and the further time of each next value.
const FIRST_END: Duration = Duration::from_millis(3_400);
const NEXT_END: Duration = Duration::from_millis(40);
/// Time from SIGTERM to the earliest SIGKILL: the longest deadline, at most 3 s, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
const DEADLINE_MS: u64 = 8_000;

fn main() {
    finish(run)
}

fn run(root: &Path, _case: &Path, record: &Arc<Record>) -> i32 {
    let folder = Folder::create();
    let term_at: Arc<OnceLock<Instant>> = Arc::default();
    let backends = start_backends(BACKENDS, backend(record, &term_at));
    let site = Site::start(&backends);
    let mut gateways = start_gateways(root, &folder.0, &site, GATEWAYS);
    let planned = Instant::now() + TERM_AFTER;
    let _ = term_at.set(planned);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, listen) = (Arc::clone(record), gateways[0].listen);
            thread::spawn(move || client(number, listen, planned, &record))
        })
        .collect();
    sleep_until(planned);
    if trouble() {
        record.line("platform: SIGTERM to gateway 0");
        gateways[0].signal("TERM");
        let left = (planned + KILL_AFTER).saturating_duration_since(Instant::now());
        let ended = gateways[0].wait(left);
        let after_s = planned.elapsed().as_secs_f64();
        match ended {
            Some(status) => record.line(format!("gateway 0 ended {after_s:.2} s after SIGTERM: {status}")),
            None => {
                record.line(format!("platform: SIGKILL to gateway 0, {after_s:.2} s after SIGTERM"));
                gateways[0].signal("KILL");
            }
        }
    }
    let results: Vec<Outcome> =
        clients.into_iter().map(|client| client.join().unwrap_or(Outcome::NotSent)).collect();
    let count = |outcome: Outcome| results.iter().filter(|result| **result == outcome).count();
    let (whole, cut) = (count(Outcome::Whole), count(Outcome::CutOff));
    let summary = format!("{whole} of {CLIENTS} values were whole, {cut} were cut off by the gateway");
    record.line(&summary);
    println!("{summary}");
    if cut > 0 {
        BROKEN
    } else if whole as u64 == CLIENTS {
        HELD
    } else {
        NOT_RUN
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A backend that gives each value steadily and whole, the last bytes at a set time after SIGTERM.
fn backend(record: &Arc<Record>, term_at: &Arc<OnceLock<Instant>>) -> Arc<Handler> {
    let (record, term_at, requests) = (Arc::clone(record), Arc::clone(term_at), AtomicU64::new(0));
    Arc::new(move |backend, command, connection: &mut BackendConnection| {
        let id = &command[2];
        let number = requests.fetch_add(1, Ordering::Relaxed) as u32;
        record.line(format!("till-{backend} runs {id}"));
        let first = Instant::now() + FIRST_BYTES;
        let last = *term_at.get().expect("SIGTERM is planned") + FIRST_END + NEXT_END * number;
        let interval = last.saturating_duration_since(first) / (PIECES - 1);
        let answer = encode_answer(&vec![b'x'; LONG_VALUE]);
        for (piece, bytes) in (0..).zip(answer.chunks(answer.len().div_ceil(PIECES as usize))) {
            sleep_until(first + interval * piece);
            if let Err(error) = connection.write_all(bytes) {
                record.line(format!("till-{backend} can't give more of the value for {id}: {error}"));
                return Err(error);
            }
        }
        record.line(format!("till-{backend} has given the whole value for {id}"));
        Ok(())
    })
}

/// What became of a request.
#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Whole,
    /// The gateway ended the connection before the value was whole and before the earliest SIGKILL.
    CutOff,
    /// The value was not whole at the earliest SIGKILL.
    Late,
    /// No value was begun.
    NotSent,
}

fn client(number: u64, listen: SocketAddr, term_at: Instant, record: &Record) -> Outcome {
    let Ok(mut client) = Client::connect(listen) else { return Outcome::NotSent };
    let request = request("basket-price", 1 + number, DEADLINE_MS);
    let id = &request.id;
    if client.send(&request).is_err() {
        return Outcome::NotSent;
    }
    record.line(format!("client {number} sent basket-price {id}"));
    let _ = client.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    // The header of the value and its end.
    let expected = format!("${LONG_VALUE}\r\n").len() + LONG_VALUE + 2;
    let (mut read, mut buffer) = (0, vec![0; 1 << 16]);
    while read < expected {
        match client.stream.read(&mut buffer) {
            Ok(n) if n > 0 => read += n,
            end => {
                let at = Instant::now();
                let after_s = at.saturating_duration_since(term_at).as_secs_f64();
                let early = at < term_at + KILL_AFTER;
                let text = if early { "BROKEN: " } else { "" };
                record.line(format!(
                    "{text}client {number}: the connection ended {after_s:.2} s after SIGTERM with {read} of \
                     {expected} bytes of the answer to {id} ({end:?})"
                ));
                return match (read > 0, early) {
                    (false, _) => Outcome::NotSent,
                    (true, true) => Outcome::CutOff,
                    (true, false) => Outcome::Late,
                };
            }
        }
    }
    let after_s = Instant::now().saturating_duration_since(term_at).as_secs_f64();
    record.line(format!(
        "client {number} has the whole answer to {id}, {after_s:.2} s after the time of SIGTERM"
    ));
    Outcome::Whole
}
