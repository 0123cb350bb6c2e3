//! `gateway ready`, `disable`, `enable`, `drain` and `undrain`: commands sent to the management addresses of
//! gateways.

use std::net::SocketAddr;
use std::time::Duration;

use maintenance::Command;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::cli::{GatewayCommand, GatewayTargets, Output};
use crate::error::{CommandError, UsageError};
use crate::output::{print_json, print_table};

/// Maximum length of a response, bytes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024;
const HEADER: [&str; 3] = ["GATEWAY", "OUTCOME", "SAYS"];

/// Outcome of a command at one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum Outcome {
    Done,
    #[serde(rename = "refused")]
    Rejected,
    /// There was no valid response, so it is unknown whether the command took effect.
    Unreachable,
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Rejected => "refused",
            Outcome::Unreachable => "unreachable",
        }
    }
}

/// Report on a command at one gateway.
#[derive(Debug, Serialize)]
struct Report {
    #[serde(rename = "at")]
    address: SocketAddr,
    #[serde(rename = "call")]
    command: String,
    outcome: Outcome,
    /// The gateway's message, or the reason why there is no response.
    #[serde(rename = "why")]
    reason: String,
}

impl GatewayCommand {
    fn into_parts(self) -> (Command, GatewayTargets) {
        match self {
            GatewayCommand::Ready(targets) => (Command::Ready, targets),
            GatewayCommand::Disable { id, targets } => (Command::Disable(id), targets),
            GatewayCommand::Enable { id, targets } => (Command::Enable(id), targets),
            GatewayCommand::Drain(targets) => (Command::Drain, targets),
            GatewayCommand::Undrain(targets) => (Command::Undrain, targets),
        }
    }
}

/// Sends a command to all addresses concurrently and prints each response. Succeeds only if every gateway
/// carried it out.
pub async fn run(command: GatewayCommand, output: Output) -> Result<(), CommandError> {
    let (command, targets) = command.into_parts();
    let line = command.to_string();
    // An id that contains a space or a line end would change the meaning of the line.
    if Command::parse(line.as_bytes()).as_ref() != Ok(&command) {
        return Err(UsageError::InvalidBackendId.into());
    }
    let reports = send_to_all(&line, targets).await;
    match output {
        Output::Json => reports.iter().try_for_each(print_json)?,
        Output::Table => print_table(&HEADER, &reports.iter().map(row).collect::<Vec<_>>()),
    }
    summarize(&reports)
}

/// Sends a line to all gateways concurrently. Returns the reports in the order of the addresses.
async fn send_to_all(line: &str, targets: GatewayTargets) -> Vec<Report> {
    let GatewayTargets { addresses, deadline } = targets;
    let mut sending = JoinSet::new();
    for (index, address) in addresses.into_iter().enumerate() {
        let line = line.to_string();
        sending.spawn(async move { (index, send_to(address, line, deadline).await) });
    }
    let mut reports = sending.join_all().await;
    reports.sort_by_key(|(index, _)| *index);
    reports.into_iter().map(|(_, report)| report).collect()
}

async fn send_to(address: SocketAddr, command: String, deadline: Duration) -> Report {
    let (outcome, reason) = match timeout(deadline, exchange(address, &command)).await {
        Ok(Ok(response)) => parse_response(&response),
        Ok(Err(e)) => (Outcome::Unreachable, e.to_string()),
        Err(_) => (Outcome::Unreachable, format!("no answer in {} ms", deadline.as_millis())),
    };
    Report { address, command, outcome, reason }
}

fn parse_response(response: &str) -> (Outcome, String) {
    match response.split_once(' ').unwrap_or((response, "")) {
        ("SUCCESS", reason) => (Outcome::Done, reason.to_string()),
        ("FAILURE", reason) => (Outcome::Rejected, reason.to_string()),
        _ => (Outcome::Unreachable, "no gateway: its answer is none of this protocol".to_string()),
    }
}

/// Sends one line and reads the response. Control characters are removed, because they could act on the
/// terminal.
async fn exchange(address: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(format!("{line}\n").as_bytes()).await?;
    let mut response = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response).await?;
    let text = String::from_utf8_lossy(&response);
    Ok(text.trim_end().chars().filter(|c| !c.is_control()).collect())
}

fn row(report: &Report) -> Vec<String> {
    vec![report.address.to_string(), report.outcome.name().to_string(), report.reason.clone()]
}

/// Derives the result of the command from the reports of all gateways.
fn summarize(reports: &[Report]) -> Result<(), CommandError> {
    let count = |outcome| reports.iter().filter(|report| report.outcome == outcome).count();
    let (done, unreachable) = (count(Outcome::Done), count(Outcome::Unreachable));
    if done == reports.len() {
        Ok(())
    } else if done == 0 && unreachable == 0 {
        Err(CommandError::RejectedByGateways)
    } else if unreachable == reports.len() {
        Err(CommandError::NoGatewayAnswered)
    } else {
        Err(CommandError::Partial)
    }
}
