use super::*;
use tokio::net::TcpListener;

#[tokio::test]
async fn closes_only_the_longest_idle_connection_when_permits_run_out() {
    let connect_timeout = Duration::from_secs(20);
    let mut pool = ConnectionPool::new(3, 60_000.0, connect_timeout);
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
            panic!("expected a new connection")
        };
        open.push((id, pending.open(connect_timeout).await.expect("the backend accepts")));
    }
    for (id, connection) in open.into_iter() {
        pool.check_in(id, connection);
    }
    assert_eq!(pool.idle_connections(), 3);
    let checkout = pool.check_out(3, Instant::now());
    assert!(matches!(checkout, Checkout::Open(_)), "{checkout:?}");
    assert_eq!(pool.idle_connections(), 2);
    // The connection to backend 2 that became idle first is closed; backends 1 and 2 have one left each.
    let (first, second) = (pool.check_out(1, Instant::now()), pool.check_out(2, Instant::now()));
    assert!(matches!((&first, &second), (Checkout::Idle(_), Checkout::Idle(_))), "{first:?} {second:?}");
    assert_eq!(pool.idle_connections(), 0);
    // No connection is idle, and no permit is free.
    let exhausted = pool.check_out(3, Instant::now());
    assert!(matches!(exhausted, Checkout::Exhausted), "{exhausted:?}");
}

#[tokio::test]
async fn idle_connections_of_a_removed_backend_hold_no_permits() {
    let connect_timeout = Duration::from_secs(20);
    let mut pool = ConnectionPool::new(1, 60_000.0, connect_timeout);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("bound");
    let entry = |id, state| BackendEndpoint { id, state, ..BackendEndpoint::default() };
    pool.update(&entry(1, EndpointState::Ready), address);
    let Checkout::Open(pending) = pool.check_out(1, Instant::now()) else {
        panic!("expected a new connection")
    };
    let connection = pending.open(connect_timeout).await.expect("the backend accepts");
    pool.check_in(1, connection);
    pool.update(&entry(1, EndpointState::Removed), address);
    assert_eq!(pool.idle_connections(), 0);
    pool.update(&entry(2, EndpointState::Ready), address);
    assert!(matches!(pool.check_out(2, Instant::now()), Checkout::Open(_)));
}
