//! `gateway ready`, `disable`, `enable`, `drain`, `undrain`: calls at the second address of gateways.

use std::net::SocketAddr;
use std::time::Duration;

use maintenance::Command;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::agent::print;
use crate::cli::{At, GatewayCall, Output};
use crate::exit::Failure;
use crate::table::{out, table};

/// The longest answer, bytes.
const MAX_ANSWER_BYTES: u64 = 4 * 1024;

/// What became of a call at one address.
#[derive(Debug, Serialize)]
struct Said {
    at: SocketAddr,
    call: String,
    /// `done`, `refused`, or `unreachable` where no answer came: whether it is in force is not known then.
    outcome: &'static str,
    /// What the gateway says, or why there is no answer.
    why: String,
}

impl GatewayCall {
    fn parts(self) -> (Command, At) {
        match self {
            GatewayCall::Ready(at) => (Command::Ready, at),
            GatewayCall::Disable { id, at } => (Command::Disable(id), at),
            GatewayCall::Enable { id, at } => (Command::Enable(id), at),
            GatewayCall::Drain(at) => (Command::Drain, at),
            GatewayCall::Undrain(at) => (Command::Undrain, at),
        }
    }
}

/// Calls all addresses at once and says what each answered. Ends well only if all said yes.
pub async fn run(call: GatewayCall, output: Output) -> Result<(), Failure> {
    let (call, At { at, deadline }) = call.parts();
    // Danger: an id that is read as two words, or ends the line.
    let line = call.to_string();
    if Command::read(line.as_bytes()).as_ref() != Ok(&call) {
        return Err(Failure::Usage("an id holds no spaces and no line ends".to_string()));
    }
    let mut asked = JoinSet::new();
    for (place, address) in at.into_iter().enumerate() {
        let line = line.clone();
        asked.spawn(async move { (place, one(address, line, deadline).await) });
    }
    let mut all = asked.join_all().await;
    all.sort_by_key(|(place, _)| *place);
    let all: Vec<Said> = all.into_iter().map(|(_, said)| said).collect();
    if output == Output::Json {
        for said in &all {
            print(said)?;
        }
    } else {
        let row = |s: &Said| vec![s.at.to_string(), s.outcome.to_string(), s.why.clone()];
        out(&table(&["GATEWAY", "OUTCOME", "SAYS"], &all.iter().map(row).collect::<Vec<_>>()));
    }
    let count = |outcome| all.iter().filter(|s| s.outcome == outcome).count();
    match (count("done"), count("unreachable")) {
        (done, _) if done == all.len() => Ok(()),
        (0, 0) => Err(Failure::Turned),
        (0, n) if n == all.len() => Err(Failure::Agent("no gateway answered".to_string())),
        _ => Err(Failure::Partly),
    }
}

async fn one(at: SocketAddr, call: String, deadline: Duration) -> Said {
    let (outcome, why) = match timeout(deadline, talk(at, &call)).await {
        Ok(Ok(answer)) => match answer.split_once(' ').unwrap_or((answer.as_str(), "")) {
            ("SUCCESS", why) => ("done", why.to_string()),
            ("FAILURE", why) => ("refused", why.to_string()),
            _ => ("unreachable", "no gateway: its answer is none of this protocol".to_string()),
        },
        Ok(Err(e)) => ("unreachable", e.to_string()),
        Err(_) => ("unreachable", format!("no answer in {} ms", deadline.as_millis())),
    };
    Said { at, call, outcome, why }
}

async fn talk(at: SocketAddr, call: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(format!("{call}\n").as_bytes()).await?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut answer).await?;
    // Danger: bytes that write to a terminal.
    let text = String::from_utf8_lossy(&answer);
    Ok(text.trim_end().chars().filter(|c| !c.is_control()).collect())
}
