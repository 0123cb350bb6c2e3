//! Servers that hand every message to the test, which answers it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use super::resp::message;
use super::MESSAGE_TIMEOUT;

/// Something that came to a stand-in, and the connection to answer on.
pub struct IncomingMessage {
    /// Its words.
    pub words: Vec<String>,
    /// Number of the connection, in the order of their coming.
    pub connection: usize,
    stream: TcpStream,
}

impl IncomingMessage {
    /// Writes a text as it stands.
    pub fn reply(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the gateway listens");
    }

    /// Answers as a backend that served, for as many units as were guessed.
    pub fn serve(&mut self, value: &str) {
        let units = self.words[3].split(',').find_map(|t| t.strip_prefix("units=")).expect("units");
        let used = format!("used=0,cost={units}");
        let (value_length, used_length) = (value.len(), used.len());
        self.reply(&format!("*3\r\n${value_length}\r\n{value}\r\n${used_length}\r\n{used}\r\n$-1\r\n"));
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Waits until the gateway closes the connection.
    pub fn wait_until_closed(&self) {
        self.stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("a time-out");
        let mut byte = [0];
        match self.stream.peek(&mut byte) {
            Ok(n) => assert_eq!(n, 0, "more came on it"),
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{e}"),
        }
    }
}

/// A server whose every message is handed to the test.
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
    arrived: Receiver<IncomingMessage>,
}

impl StandIn {
    fn start(read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        StandIn::over(listener, read)
    }

    fn over(listener: TcpListener, read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>) -> StandIn {
        let address = listener.local_addr().expect("an address");
        let (sender, arrived) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                // What is written comes at once, not with the gateway's next bytes.
                stream.set_nodelay(true).expect("a connection");
                let sender: Sender<IncomingMessage> = sender.clone();
                thread::spawn(move || {
                    let mut from = BufReader::new(stream.try_clone().expect("a handle"));
                    while let Some(words) = read(&mut from) {
                        let Ok(stream) = stream.try_clone() else { return };
                        if sender.send(IncomingMessage { words, connection, stream }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        StandIn { address, arrived }
    }

    /// A backend on a port of its own.
    pub fn backend() -> StandIn {
        StandIn::start(message)
    }

    /// A backend that begins to accept only now.
    pub fn backend_on(listener: TcpListener) -> StandIn {
        StandIn::over(listener, message)
    }

    /// A shared counter, whose messages are lines.
    pub fn counter() -> StandIn {
        StandIn::start(|from| {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            Some(line.split_whitespace().map(str::to_string).collect())
        })
    }

    /// The next message; a test fails without it.
    pub fn next(&self) -> IncomingMessage {
        self.arrived.recv_timeout(MESSAGE_TIMEOUT).expect("something comes")
    }

    /// The next message, if one comes in time.
    pub fn next_within(&self, time: Duration) -> Option<IncomingMessage> {
        self.arrived.recv_timeout(time).ok()
    }

    /// What has come by now and was not taken yet.
    pub fn try_next(&self) -> Option<IncomingMessage> {
        self.arrived.try_recv().ok()
    }

    /// Whether nothing has come that was not taken yet.
    pub fn idle(&self) -> bool {
        self.try_next().is_none()
    }
}

/// An address that refuses connections for as long as the socket is held.
pub fn refusing_address() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

/// The next message at any of some backends, with its place among them.
pub fn next_from_any(backends: &[&StandIn]) -> (usize, IncomingMessage) {
    let start = Instant::now();
    while start.elapsed() < MESSAGE_TIMEOUT {
        for (place, backend) in backends.iter().enumerate() {
            if let Ok(arrived) = backend.arrived.recv_timeout(Duration::from_millis(2)) {
                return (place, arrived);
            }
        }
    }
    panic!("nothing came");
}
