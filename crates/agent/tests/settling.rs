//! The agent counts orders from its start. With every 256th, it settles all orders up to that one.

use std::path::Path;
use std::time::Duration;

use agent::{run, Log};
use operator_config::OperatorConfig;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test]
async fn every_256th_order_settles_all_orders() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let base = directory.path().display();
    let text = format!("[agent]\nlisten = \"unix:{base}/agent.sock\"\nlog = \"{base}/log\"");
    let config = OperatorConfig::parse(Path::new("operator.toml"), &text)
        .expect("valid configuration")
        .agent
        .expect("[agent] section");
    let log = config.log.clone();
    for (orders, expected_floor) in [(255_u64, 0), (256, 511), (257, 767)] {
        let (shutdown, receiver) = oneshot::channel::<()>();
        let (ready, is_ready) = oneshot::channel();
        let config = config.clone();
        let agent = tokio::spawn(async move {
            let ready = move |_| ready.send(()).expect("receiver exists");
            run(&config, &[], None, None, ready, async { drop(receiver.await) })
                .await
                .expect("agent runs without errors");
        });
        timeout(TIMEOUT, is_ready).await.expect("before the timeout").expect("agent is ready");
        let stream =
            UnixStream::connect(directory.path().join("agent.sock")).await.expect("agent is listening");
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let error = Log::open(&log).expect_err("in use").to_string();
        assert!(error.ends_with("another agent has it open"), "{error}");
        for n in 1..=orders {
            // Each order is on another backend, so that only settling removes registers.
            let id = format!("o-{orders}-{n}");
            let order = json!({"n": n, "op": "order", "id": id, "subject": {"backend": format!("s-{n}")},
                "change": if n % 2 == 0 { "drain" } else { "undrain" }, "forced": true, "deadline_ms": 1000});
            write.write_all(format!("{order}\n").as_bytes()).await.expect("writable connection");
            for _ in 0..2 {
                let line =
                    timeout(TIMEOUT, lines.next_line()).await.expect("before the timeout").expect("a line");
                let response: Value = serde_json::from_str(&line.expect("a line")).expect("JSON");
                assert!(response.get("fault").is_none(), "{response}");
            }
        }
        shutdown.send(()).expect("agent is running");
        timeout(TIMEOUT, agent).await.expect("before the timeout").expect("agent task did not panic");
        let (_, contents) = Log::open(&log).expect("valid log");
        let floor = contents.desired.snapshot().floor;
        assert_eq!(floor.seq, expected_floor, "after {orders} more orders");
    }
}
