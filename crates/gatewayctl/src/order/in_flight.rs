//! `--wait`: waits until no request is in flight at the subject of an order.

use std::io::IsTerminal;
use std::time::{Duration, Instant};

use fleet::wire::{InstanceOutcome, InstanceReport, ToolRequest, ToolResponse};
use fleet::Subject;
use tokio::time::sleep;

use super::DEADLINE_MARGIN;
use crate::agent_client::{AgentClient, AgentClientError};
use crate::cli::{OrderOptions, Output};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Terminal sequence that returns to the start of the line and clears it.
const CLEAR_LINE: &str = "\r\x1b[K";

/// Polls until no reachable gateway has requests in flight at the subject, or the wait times out. Returns the
/// last report of each gateway.
pub async fn wait_until_idle(
    agent: &mut AgentClient,
    subject: &Subject,
    options: &OrderOptions,
    output: Output,
) -> Result<Vec<InstanceReport>, AgentClientError> {
    let wait_deadline = Instant::now() + options.wait_timeout;
    let mut progress = (output == Output::Table).then(Progress::new);
    loop {
        let reports = poll(agent, subject, options.deadline).await?;
        if let Some(progress) = &mut progress {
            progress.show(&reports);
        }
        if reports.iter().all(is_idle) || Instant::now() >= wait_deadline {
            if let Some(progress) = progress {
                progress.end();
            }
            return Ok(reports);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether a gateway reports nothing in flight or is unreachable.
pub fn is_idle(report: &InstanceReport) -> bool {
    matches!(report.outcome, InstanceOutcome::InFlight { in_flight: 0 } | InstanceOutcome::Unreachable { .. })
}

async fn poll(
    agent: &mut AgentClient,
    subject: &Subject,
    deadline: Duration,
) -> Result<Vec<InstanceReport>, AgentClientError> {
    let deadline_ms = deadline.as_millis() as u64;
    agent.send(ToolRequest::Inflight { subject: subject.clone(), deadline_ms }).await?;
    match agent.receive(deadline + DEADLINE_MARGIN).await? {
        ToolResponse::Inflight(reports) => Ok(reports),
        _ => Err(AgentClientError::UnexpectedResponse),
    }
}

/// Progress on standard error: one line that is overwritten on a terminal, otherwise a line per change.
struct Progress {
    is_terminal: bool,
    last_line: String,
}

impl Progress {
    fn new() -> Progress {
        Progress { is_terminal: std::io::stderr().is_terminal(), last_line: String::new() }
    }

    fn show(&mut self, reports: &[InstanceReport]) {
        let gateways: Vec<String> = reports.iter().map(describe).collect();
        let line = format!("in flight: {}", gateways.join(", "));
        if line == self.last_line {
            return;
        }
        if self.is_terminal {
            eprint!("{CLEAR_LINE}{line}");
        } else {
            eprintln!("{line}");
        }
        self.last_line = line;
    }

    fn end(self) {
        if self.is_terminal {
            eprintln!();
        }
    }
}

fn describe(report: &InstanceReport) -> String {
    let gateway = &report.gateway;
    match &report.outcome {
        InstanceOutcome::InFlight { in_flight } => format!("{gateway} {in_flight}"),
        InstanceOutcome::Unreachable { .. } => format!("{gateway} unreachable"),
        _ => format!("{gateway} no answer"),
    }
}
