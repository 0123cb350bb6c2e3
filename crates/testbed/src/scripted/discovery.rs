//! The discovery agent: lists as it tells them, and a server that gives scripted answers.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use super::{StandIn, MESSAGE_TIMEOUT};

/// A line of the list.
pub fn endpoint(name: &str, address: SocketAddr, group: u32, status: &str, since_ms: f64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "room", "type": "m", "group": group,
           "status": status, "weight": 1.0, "since_ms": since_ms})
}

/// A list with its version; a `snapshot` is the whole one.
pub fn list(index: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    json!({"index": index, "snapshot": snapshot, "endpoints": endpoints})
}

/// The endpoint of a backend that serves, named `s-` and its number.
pub fn serving(i: usize, backend: &StandIn) -> Value {
    endpoint(&format!("s-{i}"), backend.address, 1, "SERVING", 0.0)
}

#[derive(Default)]
struct State {
    /// Answers still to be given, in order; texts, so that odd ones can be given too.
    answers: Vec<String>,
    calls: Vec<String>,
    /// Answers behind which the gateway has called again on the same connection.
    followed: usize,
}

/// A discovery agent that gives each call the next answer, and is silent when it has none.
#[derive(Clone)]
pub struct DiscoveryStandIn {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// How often a call that waits for an answer is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Whether the gateway has ended a call, or its connection can't be looked at.
fn closed_by_gateway(stream: &TcpStream) -> bool {
    let ended = stream.set_nonblocking(true).is_ok() && matches!(stream.peek(&mut [0]), Ok(0));
    ended || stream.set_nonblocking(false).is_err()
}

/// An answer of an agent's that is none: it is too busy.
pub const SERVICE_UNAVAILABLE: &str = "503 Service Unavailable";

impl DiscoveryStandIn {
    /// An agent on a port of its own, with no answer yet.
    pub fn start() -> DiscoveryStandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::<(Mutex<State>, Condvar)>::default();
        let agent = DiscoveryStandIn { address, state };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut from = BufReader::new(stream.try_clone().ok()?);
        for before in 0.. {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                from.read_line(&mut head).ok().filter(|n| *n > 0)?;
            }
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().expect("unpoisoned");
            state.calls.push(head.lines().next().unwrap_or_default().to_string());
            state.followed += usize::from(before > 0);
            changed.notify_all();
            // A call that was given up takes no answer.
            while state.answers.is_empty() {
                (state, _) = changed.wait_timeout(state, POLL_INTERVAL).expect("unpoisoned");
                if closed_by_gateway(&stream) {
                    return None;
                }
            }
            let body = state.answers.remove(0);
            if body == SERVICE_UNAVAILABLE {
                write!(stream, "HTTP/1.1 {body}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").ok()?;
                return None;
            }
            let length = body.len();
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").ok()?;
        }
        None
    }

    /// Gives the text of one more answer.
    pub fn queue_answer(&self, body: &str) {
        let (lock, changed) = &*self.state;
        lock.lock().expect("unpoisoned").answers.push(body.to_string());
        changed.notify_all();
    }

    /// Gives an answer and waits until the gateway has taken it in and asked again.
    pub fn deliver(&self, body: &Value) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("unpoisoned");
        let before = state.followed;
        state.answers.push(body.to_string());
        changed.notify_all();
        let (state, _) =
            changed.wait_timeout_while(state, MESSAGE_TIMEOUT, |t| t.followed <= before).expect("unpoisoned");
        assert!(state.followed > before, "{:?}", state.calls);
    }

    /// The first line of each call so far.
    pub fn calls(&self) -> Vec<String> {
        self.state.0.lock().expect("unpoisoned").calls.clone()
    }

    /// Waits until there were so many calls.
    pub fn wait_for_calls(&self, calls: usize) {
        let (lock, changed) = &*self.state;
        let state = lock.lock().expect("unpoisoned");
        let (state, _) = changed
            .wait_timeout_while(state, MESSAGE_TIMEOUT, |t| t.calls.len() < calls)
            .expect("unpoisoned");
        assert!(state.calls.len() >= calls, "{:?}", state.calls);
    }
}
