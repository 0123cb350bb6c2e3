//! Clients that leave with requests open, and come again.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use gateway_rig::*;

/// How long a test waits for a message that must not arrive.
const NO_MESSAGE_WAIT: Duration = Duration::from_millis(300);

/// Guards against forwarding the requests of a client that has left: the end of its stream is behind more
/// unread commands than the receive buffer of the gateway's system holds.
#[test]
fn requests_of_departed_client_behind_much_unread_input_are_not_forwarded() {
    for (commands, body) in [(200, 100), (200, 4_000), (64, 60_000)] {
        let rig = Rig::with_config(1, |_| {});
        let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
        let all: Vec<u8> = (1..=commands)
            .flat_map(|id| {
                let mut words = request_args(id, "unsafe", "free", 1, 8000);
                words[4] = "x".repeat(body);
                command(&as_strs(&words))
            })
            .collect();
        // The write blocks if the buffers of both systems are full.
        stream.set_nonblocking(true).expect("set the socket non-blocking");
        let mut written = 0;
        for _ in 0..50 {
            match stream.write(&all[written..]) {
                Ok(n) => written += n,
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
        let (_, mut first) = rig.next_request();
        thread::sleep(Duration::from_millis(50));
        drop(stream);
        thread::sleep(Duration::from_millis(100));
        while rig.backends[0].try_next().is_some() {}
        // Fails if the attempt was given up.
        let answered = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| first.serve("fine")));
        let mut forwarded = 0;
        while let Some(mut arrived) = rig.backends[0].next_within(NO_MESSAGE_WAIT) {
            forwarded += 1;
            arrived.serve("fine");
        }
        println!(
            "{commands} commands with {body} bytes, {written} bytes written; {forwarded} forwarded after the \
             end; first answer written: {}",
            answered.is_ok()
        );
        assert_eq!(forwarded, 0);
    }
}

/// Guards against running a request twice that comes again after its client has left.
#[test]
fn request_that_comes_again_after_its_client_has_left_is_not_forwarded_twice() {
    for class in ["unsafe", "keyed"] {
        let rig = Rig::with_config(2, |_| {});
        let request = command(&as_strs(&request_args(1, class, "free", 1, 8000)));
        let mut first = rig.gateway.client();
        first.write(&request);
        let (_, arrived) = rig.next_request();
        drop(first);
        arrived.wait_until_closed();
        let mut second = rig.gateway.client();
        second.write(&request);
        thread::sleep(NO_MESSAGE_WAIT);
        assert!(rig.backends_idle(), "{class}: forwarded twice");
        assert!(second.read().starts_with("-ERR"), "{class}");
    }
}
