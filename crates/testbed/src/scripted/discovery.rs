//! A discovery server that gives scripted answers, and the lists that it sends.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use super::{StandIn, MESSAGE_TIMEOUT};

/// Returns an endpoint of the list.
pub fn endpoint(name: &str, address: SocketAddr, group: u32, status: &str, since_ms: f64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "room", "type": "m", "group": group,
           "status": status, "weight": 1.0, "since_ms": since_ms})
}

/// Returns a list of this version: the whole list (`snapshot`) or a delta.
pub fn list(index: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    json!({"index": index, "snapshot": snapshot, "endpoints": endpoints})
}

/// Returns a serving endpoint named `s-0` for index 0, and so on.
pub fn serving(i: usize, backend: &StandIn) -> Value {
    endpoint(&format!("s-{i}"), backend.address, 1, "SERVING", 0.0)
}

#[derive(Default)]
struct State {
    /// Answers still to be sent, in order; as text, so that malformed ones are possible.
    answers: Vec<String>,
    calls: Vec<String>,
    /// Number of answers after which the gateway has called again on the same connection.
    acknowledged: usize,
}

/// A discovery server that gives each call the next queued answer and is silent when there is none.
#[derive(Clone)]
pub struct DiscoveryStandIn {
    /// Listen address.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Interval at which a call that waits for an answer is checked for disconnection.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns whether the gateway has closed a call's connection, or the connection can't be inspected.
fn closed_by_gateway(stream: &TcpStream) -> bool {
    let ended = stream.set_nonblocking(true).is_ok() && matches!(stream.peek(&mut [0]), Ok(0));
    ended || stream.set_nonblocking(false).is_err()
}

/// An answer that rejects the call with this HTTP status instead of sending a list.
pub const SERVICE_UNAVAILABLE: &str = "503 Service Unavailable";

impl DiscoveryStandIn {
    /// Starts a server without queued answers on a port of the system's choice.
    pub fn start() -> DiscoveryStandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::<(Mutex<State>, Condvar)>::default();
        let discovery = DiscoveryStandIn { address, state };
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = shared.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut from = BufReader::new(stream.try_clone().ok()?);
        for earlier_calls in 0.. {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                from.read_line(&mut head).ok().filter(|n| *n > 0)?;
            }
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().expect("the lock is not poisoned");
            state.calls.push(head.lines().next().unwrap_or_default().to_string());
            state.acknowledged += usize::from(earlier_calls > 0);
            changed.notify_all();
            // A call whose connection was closed consumes no answer.
            while state.answers.is_empty() {
                (state, _) = changed.wait_timeout(state, POLL_INTERVAL).expect("the lock is not poisoned");
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

    /// Queues one more answer.
    pub fn queue_answer(&self, body: &str) {
        let (lock, changed) = &*self.state;
        lock.lock().expect("the lock is not poisoned").answers.push(body.to_string());
        changed.notify_all();
    }

    /// Queues an answer and waits until the gateway has processed it and called again on the same connection.
    pub fn deliver(&self, body: &Value) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the lock is not poisoned");
        let before = state.acknowledged;
        state.answers.push(body.to_string());
        changed.notify_all();
        let (state, _) = changed
            .wait_timeout_while(state, MESSAGE_TIMEOUT, |s| s.acknowledged <= before)
            .expect("the lock is not poisoned");
        assert!(state.acknowledged > before, "no call after the answer: {:?}", state.calls);
    }

    /// Returns the first line of each call so far.
    pub fn calls(&self) -> Vec<String> {
        self.state.0.lock().expect("the lock is not poisoned").calls.clone()
    }

    /// Waits until there have been this many calls.
    pub fn wait_for_calls(&self, calls: usize) {
        let (lock, changed) = &*self.state;
        let state = lock.lock().expect("the lock is not poisoned");
        let (state, _) = changed
            .wait_timeout_while(state, MESSAGE_TIMEOUT, |s| s.calls.len() < calls)
            .expect("the lock is not poisoned");
        assert!(state.calls.len() >= calls, "fewer than {calls} calls: {:?}", state.calls);
    }
}
