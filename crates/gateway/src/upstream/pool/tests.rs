use super::*;
use tokio::net::TcpListener;

#[tokio::test]
async fn when_places_run_out_the_connection_idle_for_longest_is_closed_and_no_other() {
    let limit = Duration::from_secs(20);
    let mut pool = ConnectionPool::new(3, 60_000.0, limit);
    let mut listeners = Vec::new();
    for id in 1..=3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let address = listener.local_addr().expect("bound");
        pool.update(&BackendEntry { id, ..BackendEntry::default() }, address);
        listeners.push(listener);
    }
    let mut open = Vec::new();
    for id in [2, 1, 2] {
        let Checkout::Open(pending) = pool.check_out(id, Instant::now()) else {
            panic!("a new one is wanted")
        };
        open.push((id, pending.open(limit).await.expect("it listens")));
    }
    open.into_iter().for_each(|(id, connection)| pool.check_in(id, connection));
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
async fn idle_connections_of_a_backend_that_is_gone_are_not_counted_and_hold_no_places() {
    let limit = Duration::from_secs(20);
    let mut pool = ConnectionPool::new(1, 60_000.0, limit);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("bound");
    let entry = |id, state| BackendEntry { id, state, ..BackendEntry::default() };
    pool.update(&entry(1, Readiness::Ready), address);
    let Checkout::Open(pending) = pool.check_out(1, Instant::now()) else { panic!("a new one is wanted") };
    let connection = pending.open(limit).await.expect("it listens");
    pool.check_in(1, connection);
    pool.update(&entry(1, Readiness::Gone), address);
    assert_eq!(pool.idle_connections(), 0);
    pool.update(&entry(2, Readiness::Ready), address);
    assert!(matches!(pool.check_out(2, Instant::now()), Checkout::Open(_)));
}
