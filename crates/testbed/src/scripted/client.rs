//! A blocking client of the gateway, and the requests that it sends.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::resp::{command, message};
use super::MESSAGE_TIMEOUT;

/// A connection to a gateway.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a gateway.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("connect to the gateway");
        stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
        Client { stream: BufReader::new(stream) }
    }

    /// Writes raw bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("write to the gateway");
    }

    /// Writes a command.
    pub fn send(&mut self, words: &[&str]) {
        self.write(&command(words));
    }

    /// Reads the next answer: a value, or a raw line; `(end)` if the connection ends.
    pub fn read(&mut self) -> String {
        message(&mut self.stream).map_or("(end)".to_string(), |words| words.concat())
    }

    /// Reads the next answer if any of it arrives within 2 ms.
    pub fn try_read(&mut self) -> Option<String> {
        let short_timeout = Some(Duration::from_millis(2));
        self.stream.get_ref().set_read_timeout(short_timeout).expect("set the read timeout");
        let arrived = self.stream.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
        self.stream.get_ref().set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
        arrived.then(|| self.read())
    }

    /// Writes a command on a connection that the gateway may be closing, and reads its answer or `(end)`.
    pub fn request_or_end(&mut self, words: &[&str]) -> String {
        match self.stream.get_mut().write_all(&command(words)) {
            Ok(()) => self.read(),
            Err(_) => "(end)".to_string(),
        }
    }

    /// Writes a command and reads its answer.
    pub fn request(&mut self, words: &[&str]) -> String {
        self.send(words);
        self.read()
    }
}

/// Returns the arguments of a request of this class, plan and number of units; with a body if it is a write.
pub fn request_args(id: u64, class: &str, plan: &str, units: u32, deadline_ms: u32) -> Vec<String> {
    let write = class != "safe";
    let key = if class == "keyed" { ",k=5c0f6e1a2b3d4c59" } else { "" };
    let terms = format!("c={class},t={plan},d={deadline_ms}{key},units={units},spread=2,first=0");
    let verb = if write { "API.WRITE" } else { "API.READ" };
    let mut words = vec![verb.to_string(), "00000000b4d65521".to_string(), format!("{id:016x}"), terms];
    words.extend(write.then(|| "the body".to_string()));
    words
}

/// Borrows each argument.
pub fn as_strs(args: &[String]) -> Vec<&str> {
    args.iter().map(String::as_str).collect()
}

/// Returns the deadline in the terms of a request, ms.
pub fn deadline_ms_of(terms: &str) -> u32 {
    let deadline =
        terms.split(',').find_map(|t| t.strip_prefix("d=")).expect("the request has a deadline term");
    deadline.parse().expect("a whole number")
}
