//! An agent in the test process, and connections to it that carry one JSON value per line.

use std::path::{Path, PathBuf};
use std::time::Duration;

use operator_config::{AgentConfig, OperatorConfig};
use serde_json::{json, Value};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

pub const TIMEOUT: Duration = Duration::from_secs(20);

/// One side of a connection with one JSON value per line.
pub struct Connection {
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

impl Connection {
    pub fn new(stream: UnixStream) -> Connection {
        let (read, write) = stream.into_split();
        Connection { read: BufReader::new(read), write }
    }

    pub async fn connect(path: &Path) -> Connection {
        Connection::new(UnixStream::connect(path).await.expect("agent is listening"))
    }

    pub async fn send(&mut self, value: Value) {
        self.send_text(&value.to_string()).await;
    }

    pub async fn send_text(&mut self, text: &str) {
        self.write.write_all(format!("{text}\n").as_bytes()).await.expect("writable connection");
    }

    pub async fn receive(&mut self) -> Value {
        let mut line = String::new();
        timeout(TIMEOUT, self.read.read_line(&mut line)).await.expect("before the timeout").expect("a line");
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"))
    }

    /// Shuts down this side of the connection; the other side can still write.
    pub async fn shut_down(&mut self) {
        self.write.shutdown().await.expect("open connection");
    }

    /// Receives an event, and returns its text.
    pub async fn receive_event(&mut self) -> String {
        let line = self.receive().await;
        line["event"].as_str().expect("an event").to_string()
    }
}

/// A running agent and the directory of its sockets and log.
pub struct AgentFixture {
    directory: TempDir,
    shutdown: oneshot::Sender<()>,
    agent: tokio::task::JoinHandle<()>,
}

impl AgentFixture {
    /// Starts an agent with a heartbeat of a minute and this response timeout.
    pub async fn start(answer_ms: u64) -> AgentFixture {
        let directory = tempfile::tempdir().expect("temporary directory");
        let base = directory.path().display();
        let text = format!(
            "[agent]\nlisten = \"unix:{base}/agent.sock\"\nregister = \"unix:{base}/register.sock\"\n\
             log = \"{base}/log\"\nheartbeat_ms = 60000\nanswer_ms = {answer_ms}"
        );
        let file = OperatorConfig::parse(Path::new("operator.toml"), &text).expect("valid configuration");
        let config: AgentConfig = file.agent.expect("[agent] section");
        let (shutdown, receiver) = oneshot::channel();
        let (ready, is_ready) = oneshot::channel();
        let agent = tokio::spawn(async move {
            let ready = move |list| ready.send(list).expect("receiver exists");
            let shutdown = async { drop(receiver.await) };
            agent::run(&config, &[], None, None, ready, shutdown).await.expect("agent runs without errors");
        });
        assert_eq!(timeout(TIMEOUT, is_ready).await.expect("before the timeout"), Ok(None));
        AgentFixture { directory, shutdown, agent }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    pub async fn shut_down(self) {
        self.shutdown.send(()).expect("agent is running");
        timeout(TIMEOUT, self.agent).await.expect("before the timeout").expect("agent task did not panic");
    }
}

/// Listens for the agent as a gateway. Returns the listener and its address.
pub fn listen_as_gateway(agent: &AgentFixture, name: &str) -> (UnixListener, String) {
    let socket = agent.path(&format!("{name}.sock"));
    let listener = UnixListener::bind(&socket).expect("path is free");
    (listener, format!("unix:{}", socket.display()))
}

/// Accepts the next connection of the agent to a gateway.
pub async fn accept(listener: &UnixListener) -> Connection {
    let (stream, _) =
        timeout(TIMEOUT, listener.accept()).await.expect("before the timeout").expect("a connection");
    Connection::new(stream)
}

/// The state that gateway n1 reports.
pub fn gateway_state(boot: u64, seq: u64, term: u64, backends: bool) -> Value {
    let mut state = json!({
        "name": "n1", "version": "0.1.0", "boot": boot, "holds": {"term": term, "seq": seq},
        "last_order": null, "drained_by": null, "list": 1,
        "figures": {"listed": 4, "serving": 4, "drained": 0, "ejected": 0, "cold": 0, "waiting": 0,
            "requests": 1, "in_flight": 2, "idle_connections": 3, "client_connections": 4, "customers": 5,
            "forgotten": 6, "forgotten_units": 7},
    });
    if backends {
        let backend = |i: u32| {
            json!({"name": format!("s-{i}"), "address": "10.0.0.1:7", "group": i % 2, "type": "m2",
                "zone": "z", "serving": true, "drained_by": null, "weight": 1.0, "ejected": false,
                "warmth": 1.0, "in_flight": 0})
        };
        state["backends"] = (0..4).map(backend).collect();
    }
    state
}

/// Sends a request, and returns the first response.
pub async fn request(tool: &mut Connection, request: Value) -> Value {
    tool.send(request).await;
    tool.receive().await
}
