//! Backends and counters that hand every message to the test.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use super::resp::message;
use super::MESSAGE_TIMEOUT;

/// A message received by a stand-in, and the connection to answer on.
pub struct IncomingMessage {
    /// The arguments of a command, or the words of a line.
    pub words: Vec<String>,
    /// Index of the connection, in order of acceptance.
    pub connection: usize,
    stream: TcpStream,
}

impl IncomingMessage {
    /// Writes raw text.
    pub fn reply(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("write the reply");
    }

    /// Answers as a backend that served the request at the cost of its estimated units.
    pub fn serve(&mut self, value: &str) {
        let units = self.words[3]
            .split(',')
            .find_map(|t| t.strip_prefix("units="))
            .expect("the request has a units term");
        let used = format!("used=0,cost={units}");
        let (value_length, used_length) = (value.len(), used.len());
        self.reply(&format!("*3\r\n${value_length}\r\n{value}\r\n${used_length}\r\n{used}\r\n$-1\r\n"));
    }

    /// Lets the system hold small replies back until earlier ones are acknowledged, as it does by default.
    pub fn allow_held_back_replies(&self) {
        self.stream.set_nodelay(false).expect("clear TCP_NODELAY");
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Waits until the gateway closes the connection.
    pub fn wait_until_closed(&self) {
        self.stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
        let mut byte = [0];
        match self.stream.peek(&mut byte) {
            Ok(n) => assert_eq!(n, 0, "more data on the connection"),
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{e}"),
        }
    }
}

/// A server that hands every message to the test.
pub struct StandIn {
    /// Listen address.
    pub address: SocketAddr,
    messages: Receiver<IncomingMessage>,
}

impl StandIn {
    fn start(read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        StandIn::start_on(listener, read)
    }

    fn start_on(
        listener: TcpListener,
        read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    ) -> StandIn {
        let address = listener.local_addr().expect("an address");
        let (sender, messages) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                // Without this an answer could be delayed until the gateway sends its next bytes.
                stream.set_nodelay(true).expect("set TCP_NODELAY");
                let sender: Sender<IncomingMessage> = sender.clone();
                thread::spawn(move || {
                    let mut from = BufReader::new(stream.try_clone().expect("clone the socket"));
                    while let Some(words) = read(&mut from) {
                        let Ok(stream) = stream.try_clone() else { return };
                        if sender.send(IncomingMessage { words, connection, stream }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        StandIn { address, messages }
    }

    /// Starts a backend on a port of the system's choice.
    pub fn backend() -> StandIn {
        StandIn::start(message)
    }

    /// Starts a backend on a listener that has not accepted connections so far.
    pub fn backend_on(listener: TcpListener) -> StandIn {
        StandIn::start_on(listener, message)
    }

    /// Starts a shared counter, whose messages are lines.
    pub fn counter() -> StandIn {
        StandIn::start(|from| {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            Some(line.split_whitespace().map(str::to_string).collect())
        })
    }

    /// Waits for the next message; panics if none arrives within [`MESSAGE_TIMEOUT`].
    pub fn next(&self) -> IncomingMessage {
        self.messages.recv_timeout(MESSAGE_TIMEOUT).expect("a message arrives")
    }

    /// Waits up to `time` for the next message.
    pub fn next_within(&self, time: Duration) -> Option<IncomingMessage> {
        self.messages.recv_timeout(time).ok()
    }

    /// Returns the next message if it has already arrived.
    pub fn try_next(&self) -> Option<IncomingMessage> {
        self.messages.try_recv().ok()
    }

    /// Returns whether no message is waiting; a waiting one is consumed.
    pub fn idle(&self) -> bool {
        self.try_next().is_none()
    }
}

/// Returns an address that refuses connections while the returned socket is held.
pub fn refusing_address() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().expect("create a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bind a port");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

/// Waits for the next message at any of several backends, and returns it with the backend's index.
pub fn next_from_any(backends: &[&StandIn]) -> (usize, IncomingMessage) {
    let start = Instant::now();
    while start.elapsed() < MESSAGE_TIMEOUT {
        for (index, backend) in backends.iter().enumerate() {
            if let Ok(message) = backend.messages.recv_timeout(Duration::from_millis(2)) {
                return (index, message);
            }
        }
    }
    panic!("no message arrived");
}
