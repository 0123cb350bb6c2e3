//! Links between a client and a server, and each fault that they can have.

use std::time::{Duration, Instant};

use testbed::harness::{Condition, Direction, Link};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Maximum wait for expected data.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a stream must stay silent.
const SILENCE: Duration = Duration::from_millis(300);

/// Returns a link, the client's connection over it, and the server's.
async fn connected() -> (Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let link = Link::to(listener.local_addr().expect("an address"), 7).await.expect("start the link");
    let client = TcpStream::connect(link.address).await.expect("the relay accepts");
    let (server, _) = timeout(TIMEOUT, listener.accept()).await.expect("no timeout").expect("no I/O error");
    (link, client, server)
}

/// Sends bytes over the link and returns the time until all have arrived.
async fn transfer(from: &mut TcpStream, to: &mut TcpStream, bytes: usize) -> Duration {
    let (started, sent) = (Instant::now(), vec![7; bytes]);
    let mut received = vec![0; bytes];
    let (wrote, read) = tokio::join!(from.write_all(&sent), timeout(TIMEOUT, to.read_exact(&mut received)));
    wrote.expect("the bytes are written");
    read.expect("no timeout").expect("no I/O error");
    assert_eq!(received, sent);
    started.elapsed()
}

async fn assert_silent(stream: &mut TcpStream) {
    assert!(timeout(SILENCE, stream.read(&mut [0])).await.is_err(), "data arrived");
}

#[tokio::test]
async fn cut_direction_delivers_written_bytes_when_it_ends() {
    let (link, mut client, mut server) = connected().await;
    link.set(Direction::ToClient, Condition::CUT);
    transfer(&mut client, &mut server, 100).await;
    server.write_all(b"later").await.expect("the bytes are written");
    assert_silent(&mut client).await;
    link.set_both(Condition::HEALTHY);
    let mut received = [0; 5];
    timeout(TIMEOUT, client.read_exact(&mut received)).await.expect("no timeout").expect("no I/O error");
    assert_eq!(&received, b"later");
}

#[tokio::test]
async fn delay_loss_and_throttling_delay_delivery() {
    let (link, mut client, mut server) = connected().await;
    let delay = Duration::from_millis(200);
    link.set_both(Condition { delay, ..Condition::HEALTHY });
    assert!(transfer(&mut client, &mut server, 10).await >= delay);
    link.set_both(Condition { loss: 1.0, ..Condition::HEALTHY });
    assert!(transfer(&mut server, &mut client, 10).await >= Duration::from_millis(200));
    link.set_both(Condition { bytes_per_s: Some(10_000), ..Condition::HEALTHY });
    transfer(&mut client, &mut server, 4_000).await;
    // The first chunk uses up 0.4 s at this rate, and the next one waits for that.
    assert!(transfer(&mut client, &mut server, 10).await >= Duration::from_millis(300));
}

#[tokio::test]
async fn reset_reaches_both_ends_and_new_connections_work() {
    let (link, mut client, mut server) = connected().await;
    link.reset();
    for stream in [&mut client, &mut server] {
        let end = timeout(TIMEOUT, stream.read(&mut [0])).await.expect("in time");
        assert_eq!(end.expect_err("a reset").kind(), std::io::ErrorKind::ConnectionReset);
    }
    TcpStream::connect(link.address).await.expect("the relay accepts");
}

#[tokio::test]
async fn half_open_link_withholds_the_end_of_stream() {
    let (link, client, mut server) = connected().await;
    link.set_both(Condition { half_open: true, ..Condition::HEALTHY });
    drop(client);
    assert_silent(&mut server).await;
    link.set_both(Condition::HEALTHY);
    assert_eq!(timeout(TIMEOUT, server.read(&mut [0])).await.expect("in time").expect("end of stream"), 0);
}
