use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

const WAIT: Duration = Duration::from_millis(20);

/// With so many calls in flight that no other is taken, nobody would ever find the connection silent.
#[tokio::test]
async fn a_connection_full_of_unanswered_calls_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (inbox, mut outcomes) = mpsc::channel::<Counted>(1_024);
    let counter = Counter::start(listener.local_addr().expect("bound"), WAIT, &inbox);
    let call = |number| Call { number, name: 0, amount: 1.0, life_ms: 100.0, at: Instant::now() };
    // More than may be out on it and wait for it; what is taken in is let go on before the next.
    let taken = async {
        for number in 1..=2 * MAX_CALLS_PER_CONNECTION as u64 {
            if !counter.call(call(number)) {
                sleep(Duration::from_millis(1)).await;
            }
            tokio::task::yield_now().await;
        }
    };
    let (silent, ()) = tokio::join!(listener.accept(), taken);
    let (_silent, _) = silent.expect("the first connection");
    sleep(WAIT * (silence::REPLACED_AFTER + 1)).await;
    let mut next = 1_000;
    let fresh = async {
        loop {
            next += 1;
            counter.call(call(next));
            if let Ok(fresh) = timeout(WAIT, listener.accept()).await {
                return fresh.expect("a fresh connection").0;
            }
        }
    };
    let mut fresh = timeout(Duration::from_secs(20), fresh).await.expect("it is replaced");
    fresh.write_all(b"ok 7\r\n").await.expect("it reads");
    while let Some(Counted { outcome, total, .. }) = outcomes.recv().await {
        if outcome == Outcome::Ok {
            assert!((total - 7.0).abs() < f64::EPSILON);
            return;
        }
    }
}

/// A call that was never written was not counted; and one on a connection that is silent alone is no sign
/// that the counter is crowded.
#[tokio::test]
async fn an_unanswered_call_is_judged_by_its_write_and_by_other_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (inbox, mut outcomes) = mpsc::channel::<Counted>(16);
    let counter = Counter::start(listener.local_addr().expect("bound"), WAIT * 100, &inbox);
    let made = Instant::now();
    let call = |number, name| Call { number, name, amount: 1.0, life_ms: 100.0, at: Instant::now() };
    assert!(counter.call(call(1, 0)));
    let (mut silent, _) = listener.accept().await.expect("the first line");
    silent.readable().await.expect("it is written");
    assert!(silent.read_u8().await.is_ok());
    // The line notes what it wrote before it does anything else.
    let mut counter = counter;
    counter.timeout = WAIT;
    sleep(WAIT * 2).await;
    assert_eq!(counter.overdue(1, 0, made), Outcome::Timeout);
    assert_eq!(counter.overdue(2, 0, made), Outcome::ConnectFailed);
    assert!(counter.call(call(3, 1)));
    let (mut heard, _) = listener.accept().await.expect("another line");
    heard.write_all(b"ok 1\r\n").await.expect("it reads");
    assert_eq!(outcomes.recv().await.map(|c| (c.number, c.outcome)), Some((3, Outcome::Ok)));
    assert_eq!(counter.overdue(1, 0, made), Outcome::Reset);
    assert_eq!(counter.overdue(2, 0, made), Outcome::NotSent);
}
