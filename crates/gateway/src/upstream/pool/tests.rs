use super::*;
use tokio::net::TcpListener;

#[tokio::test]
async fn closes_only_the_longest_idle_connection_when_permits_run_out() {
    let limit = Duration::from_secs(20);
    let mut pool = ConnectionPool::new(3, 60_000.0, limit);
    let mut listeners = Vec::new();
    for id in 1..=3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let address = listener.local_addr().expect("bound");
        pool.update(&BackendEndpoint { id, ..BackendEndpoint::default() }, address);
        listeners.push(listener);
    }
    let mut open = Vec::new();
    for id in [2, 1, 2] {
        let Checkout::Open(pending) = pool.check_out(id, Instant::now()) else {
            panic!("a new one is wanted")
        };
        open.push((id, pending.open(limit).await.expect("it listens")));
    }
    for (id, connection) in open.into_iter() {
        pool.check_in(id, connection);
    }
    assert_eq!(pool.idle_connections(), 3);
    let checkout = pool.check_out(3, Instant::now());
    assert!(matches!(checkout, Checkout::Open(_)), "{checkout:?}");
    assert_eq!(pool.idle_connections(), 2);
    // That of 2 which fell idle first is closed; of each one is left.
    let (first, second) = (pool.check_out(1, Instant::now()), pool.check_out(2, Instant::now()));
    assert!(matches!((&first, &second), (Checkout::Idle(_), Checkout::Idle(_))), "{first:?} {second:?}");
    assert_eq!(pool.idle_connections(), 0);
    // Nothing is idle, and all places are taken.
    let none = pool.check_out(3, Instant::now());
    assert!(matches!(none, Checkout::Exhausted), "{none:?}");
}

#[tokio::test]
async fn idle_connections_of_a_removed_backend_hold_no_permits() {
    let limit = Duration::from_secs(20);
    let mut pool = ConnectionPool::new(1, 60_000.0, limit);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("bound");
    let entry = |id, state| BackendEndpoint { id, state, ..BackendEndpoint::default() };
    pool.update(&entry(1, EndpointState::Ready), address);
    let Checkout::Open(pending) = pool.check_out(1, Instant::now()) else { panic!("a new one is wanted") };
    let connection = pending.open(limit).await.expect("it listens");
    pool.check_in(1, connection);
    pool.update(&entry(1, EndpointState::Removed), address);
    assert_eq!(pool.idle_connections(), 0);
    pool.update(&entry(2, EndpointState::Ready), address);
    assert!(matches!(pool.check_out(2, Instant::now()), Checkout::Open(_)));
}
