//! When an agent settles its orders, as recorded: with the 256th since its start or the last time.

use std::path::Path;
use std::time::Duration;

use agent::{run, Log};
use operator_config::OperatorConfig;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(60);

#[tokio::test]
async fn settles_orders_with_every_256th() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = folder.path().display();
    let text = format!("[agent]\nlisten = \"unix:{at}/agent.sock\"\nlog = \"{at}/log\"");
    let config =
        OperatorConfig::parse(Path::new("operator.toml"), &text).expect("good").agent.expect("an agent");
    let log = config.log.clone();
    for (orders, settled) in [(255_u64, 0), (256, 511), (257, 767)] {
        let (end, ended) = oneshot::channel::<()>();
        let (ready, is_ready) = oneshot::channel();
        let config = config.clone();
        let agent = tokio::spawn(async move {
            let ready = move |_| ready.send(()).expect("somebody waits");
            run(&config, &[], None, None, ready, async { drop(ended.await) }).await.expect("it runs");
        });
        timeout(PATIENCE, is_ready).await.expect("in time").expect("it runs");
        let stream = UnixStream::connect(folder.path().join("agent.sock")).await.expect("it listens");
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let held = Log::open(&log).expect_err("in use").to_string();
        assert!(held.ends_with("another agent has it open"), "{held}");
        for n in 1..=orders {
            // Each drains a backend anew, so that nothing but settling lets go of a register.
            let id = format!("o-{orders}-{n}");
            let order = json!({"n": n, "op": "order", "id": id, "subject": {"backend": format!("s-{n}")},
                "change": if n % 2 == 0 { "drain" } else { "undrain" }, "forced": true, "deadline_ms": 1000});
            write.write_all(format!("{order}\n").as_bytes()).await.expect("it reads");
            for _ in 0..2 {
                let line = timeout(PATIENCE, lines.next_line()).await.expect("in time").expect("a line");
                let said: Value = serde_json::from_str(&line.expect("a line")).expect("JSON");
                assert!(said.get("fault").is_none(), "{said}");
            }
        }
        end.send(()).expect("it runs");
        timeout(PATIENCE, agent).await.expect("in time").expect("it ended well");
        let (_, contents) = Log::open(&log).expect("a good log");
        let floor = contents.desired.snapshot().floor;
        assert_eq!(floor.seq, settled, "after {orders} more orders");
    }
}
