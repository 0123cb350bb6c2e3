//! New processes at the addresses of backends that have gone, before the endpoint list tells of it.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use gateway_rig::*;
use serde_json::json;

/// How long a test waits for a message that must not arrive.
const NO_MESSAGE_WAIT: Duration = Duration::from_millis(500);

/// A backend process that can end, after which another one can listen at its address.
struct EndingBackend {
    listener: TcpListener,
    address: SocketAddr,
    connections: Vec<TcpStream>,
}

impl EndingBackend {
    fn start() -> EndingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let address = listener.local_addr().expect("an address");
        EndingBackend { listener, address, connections: Vec::new() }
    }

    /// Accepts a connection and reads a request from it.
    fn read_request(&mut self) {
        let (mut connection, _) = self.listener.accept().expect("accept a connection");
        connection.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
        let mut received = Vec::new();
        while !received.ends_with(b"the body\r\n") {
            let mut buffer = [0; 1024];
            let n = connection.read(&mut buffer).expect("read the request");
            assert!(n > 0, "the connection ended");
            received.extend_from_slice(&buffer[..n]);
        }
        self.connections.push(connection);
    }

    /// Ends the process, which resets its connections, and starts another one at its address.
    fn replace(self) -> StandIn {
        let EndingBackend { listener, address, connections } = self;
        for connection in &connections {
            socket2::SockRef::from(connection).set_linger(Some(Duration::ZERO)).expect("set linger");
        }
        drop(listener);
        let next = TcpListener::bind(address).expect("bind the same address");
        drop(connections);
        StandIn::backend_on(next)
    }
}

/// Guards against running a keyed request twice: the process that may have run it has gone, and another one,
/// which does not know that, has its address.
#[test]
fn keyed_request_is_not_repeated_at_address_of_process_that_has_gone() {
    let mut gone = EndingBackend::start();
    let rig = Rig::with_config(1, |config| {
        config["known"]["endpoints"] = json!([endpoint("s-0", gone.address, 1, "SERVING", 0.0)]);
    });
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "keyed", "free", 1, 8000)));
    gone.read_request();
    let new = gone.replace();
    assert!(new.next_within(NO_MESSAGE_WAIT).is_none(), "repeated at the new process");
    assert!(client.read().starts_with("-ERR"));
}

/// Guards against the same where the list has changed meanwhile: the address belongs to another cell.
#[test]
fn keyed_request_is_not_repeated_at_address_that_has_moved_to_another_cell() {
    let mut gone = EndingBackend::start();
    let rig = Rig::with_config(1, |config| {
        config["known"]["endpoints"] = json!([endpoint("s-0", gone.address, 1, "SERVING", 0.0)]);
    });
    rig.send_snapshot(&[endpoint("s-0", gone.address, 1, "SERVING", 0.0)]);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "keyed", "free", 1, 8000)));
    gone.read_request();
    let at = gone.address;
    rig.agent.deliver(&list(42, true, &[endpoint("s-9", at, 2, "SERVING", 1000.0)]));
    let new = gone.replace();
    assert!(new.next_within(NO_MESSAGE_WAIT).is_none(), "repeated at the new process");
    assert!(client.read().starts_with("-ERR"));
}

/// A keyed request is still repeated at another backend of its cell.
#[test]
fn keyed_request_is_repeated_at_another_backend_of_the_cell() {
    let mut gone = EndingBackend::start();
    let rig = Rig::with_config(1, |config| {
        config["known"]["endpoints"] = json!([endpoint("s-0", gone.address, 1, "SERVING", 0.0)]);
    });
    rig.send_snapshot(&[endpoint("s-0", gone.address, 1, "SERVING", 0.0)]);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "keyed", "free", 1, 8000)));
    gone.read_request();
    let other = StandIn::backend();
    let both =
        [endpoint("s-0", gone.address, 1, "SERVING", 0.0), endpoint("s-1", other.address, 1, "SERVING", 0.0)];
    rig.agent.deliver(&list(42, true, &both));
    let _new = gone.replace();
    other.next().serve("fine");
    assert_eq!(client.read(), "fine");
}

/// A keyed request is repeated at the same backend over a connection from before: its process goes on.
#[test]
fn keyed_request_is_repeated_at_the_same_process() {
    let rig = Rig::with_config(1, |_| {});
    let mut clients = [rig.gateway.client(), rig.gateway.client()];
    for (id, client) in (1..).zip(&mut clients) {
        client.send(&as_strs(&request_args(id, "safe", "free", 1, 8000)));
    }
    let mut arrived = [rig.next_request().1, rig.next_request().1];
    // The two requests may arrive in either order.
    for request in &mut arrived {
        request.serve("fine");
    }
    for client in &mut clients {
        assert_eq!(client.read(), "fine");
    }
    clients[0].send(&as_strs(&request_args(3, "keyed", "free", 1, 8000)));
    let (_, first) = rig.next_request();
    first.close();
    let (_, mut second) = rig.next_request();
    assert_ne!(second.connection, first.connection);
    assert!(second.connection < 2, "a new connection");
    second.serve("fine");
    assert_eq!(clients[0].read(), "fine");
}
