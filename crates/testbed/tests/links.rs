//! Links between two parties: each way that they can fail.

use std::time::{Duration, Instant};

use testbed::harness::{Condition, Direction, Link};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// How long anything that must come may take.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long nothing is waited for.
const NOTHING: Duration = Duration::from_millis(300);

/// A link, the connection of who connects over it, and that of who listens.
async fn connected() -> (Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = Link::to(listener.local_addr().expect("an address"), 7).await.expect("it starts");
    let near = TcpStream::connect(link.address).await.expect("it comes up");
    let (far, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("it comes");
    (link, near, far)
}

async fn says(from: &mut TcpStream, to: &mut TcpStream, bytes: usize) -> Duration {
    let (begun, sent) = (Instant::now(), vec![7; bytes]);
    let mut came = vec![0; bytes];
    let (wrote, read) = tokio::join!(from.write_all(&sent), timeout(PATIENCE, to.read_exact(&mut came)));
    wrote.expect("it is taken in");
    read.expect("in time").expect("it comes");
    assert_eq!(came, sent);
    begun.elapsed()
}

async fn silent(stream: &mut TcpStream) {
    assert!(timeout(NOTHING, stream.read(&mut [0])).await.is_err(), "something came");
}

#[tokio::test]
async fn one_way_is_cut_and_the_other_not_and_what_was_written_comes_when_it_heals() {
    let (link, mut near, mut far) = connected().await;
    link.set(Direction::ToClient, Condition::CUT);
    says(&mut near, &mut far, 100).await;
    far.write_all(b"later").await.expect("it is taken in");
    silent(&mut near).await;
    link.set_both(Condition::HEALTHY);
    let mut came = [0; 5];
    timeout(PATIENCE, near.read_exact(&mut came)).await.expect("in time").expect("it comes");
    assert_eq!(&came, b"later");
}

#[tokio::test]
async fn delay_loss_and_a_bound_on_bytes_make_it_later() {
    let (link, mut near, mut far) = connected().await;
    let delay = Duration::from_millis(200);
    link.set_both(Condition { delay, ..Condition::HEALTHY });
    assert!(says(&mut near, &mut far, 10).await >= delay);
    link.set_both(Condition { loss: 1.0, ..Condition::HEALTHY });
    assert!(says(&mut far, &mut near, 10).await >= Duration::from_millis(200));
    link.set_both(Condition { bytes_per_s: Some(10_000), ..Condition::HEALTHY });
    says(&mut near, &mut far, 4_000).await;
    // The first piece took 0.4 s of the bound, which the next waits for.
    assert!(says(&mut near, &mut far, 10).await >= Duration::from_millis(300));
}

#[tokio::test]
async fn a_reset_is_one_at_both_ends_and_new_connections_come_up() {
    let (link, mut near, mut far) = connected().await;
    link.reset();
    for stream in [&mut near, &mut far] {
        let end = timeout(PATIENCE, stream.read(&mut [0])).await.expect("in time");
        assert_eq!(end.expect_err("a reset").kind(), std::io::ErrorKind::ConnectionReset);
    }
    TcpStream::connect(link.address).await.expect("it comes up");
}

#[tokio::test]
async fn a_half_open_link_keeps_the_end_of_one_side_from_the_other() {
    let (link, near, mut far) = connected().await;
    link.set_both(Condition { half_open: true, ..Condition::HEALTHY });
    drop(near);
    silent(&mut far).await;
    link.set_both(Condition::HEALTHY);
    assert_eq!(timeout(PATIENCE, far.read(&mut [0])).await.expect("in time").expect("an end"), 0);
}
