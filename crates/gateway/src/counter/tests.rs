use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

const CALL_TIMEOUT: Duration = Duration::from_millis(20);

/// Silence is checked when a call arrives: with so many unanswered calls that the queue stays full, a silent
/// connection would never be replaced.
#[tokio::test]
async fn connection_full_of_unanswered_calls_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (inbox, mut outcomes) = mpsc::channel::<CounterReply>(1_024);
    let counter = Counter::start(listener.local_addr().expect("bound"), CALL_TIMEOUT, &inbox);
    let call = |number| Call { number, key: 0, amount: 1.0, ttl_ms: 100.0, made_at: Instant::now() };
    // More calls than may be in flight and queued. The connection task runs between two calls.
    let flood = async {
        for number in 1..=2 * MAX_CALLS_PER_CONNECTION as u64 {
            if !counter.call(call(number)) {
                sleep(Duration::from_millis(1)).await;
            }
            tokio::task::yield_now().await;
        }
    };
    let (silent, ()) = tokio::join!(listener.accept(), flood);
    let (_silent, _) = silent.expect("the first connection is accepted");
    sleep(CALL_TIMEOUT * (silence::REPLACE_AFTER_TIMEOUTS + 1)).await;
    let mut next = 1_000;
    let replacement = async {
        loop {
            next += 1;
            counter.call(call(next));
            if let Ok(replacement) = timeout(CALL_TIMEOUT, listener.accept()).await {
                return replacement.expect("the replacement is accepted").0;
            }
        }
    };
    let mut replacement =
        timeout(Duration::from_secs(20), replacement).await.expect("the connection is replaced");
    replacement.write_all(b"ok 7\r\n").await.expect("the gateway reads");
    while let Some(CounterReply { outcome, total, .. }) = outcomes.recv().await {
        if outcome == Outcome::Ok {
            assert!((total - 7.0).abs() < f64::EPSILON);
            return;
        }
    }
}

/// A call that was never written was not counted, and a timeout on the only silent connection does not
/// indicate an overloaded counter.
#[tokio::test]
async fn timeout_outcome_depends_on_the_write_and_on_other_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (inbox, mut outcomes) = mpsc::channel::<CounterReply>(16);
    let counter = Counter::start(listener.local_addr().expect("bound"), CALL_TIMEOUT * 100, &inbox);
    let made_at = Instant::now();
    let call = |number, key| Call { number, key, amount: 1.0, ttl_ms: 100.0, made_at: Instant::now() };
    assert!(counter.call(call(1, 0)));
    let (mut silent, _) = listener.accept().await.expect("the first connection");
    silent.readable().await.expect("the call is written");
    assert!(silent.read_u8().await.is_ok());
    // The connection records the written call before it does anything else.
    let mut counter = counter;
    counter.timeout = CALL_TIMEOUT;
    sleep(CALL_TIMEOUT * 2).await;
    assert_eq!(counter.timeout_outcome(1, 0, made_at), Outcome::Timeout);
    assert_eq!(counter.timeout_outcome(2, 0, made_at), Outcome::ConnectFailed);
    assert!(counter.call(call(3, 1)));
    let (mut responding, _) = listener.accept().await.expect("another connection");
    responding.write_all(b"ok 1\r\n").await.expect("the gateway reads");
    assert_eq!(outcomes.recv().await.map(|c| (c.number, c.outcome)), Some((3, Outcome::Ok)));
    assert_eq!(counter.timeout_outcome(1, 0, made_at), Outcome::Reset);
    assert_eq!(counter.timeout_outcome(2, 0, made_at), Outcome::NotSent);
}
