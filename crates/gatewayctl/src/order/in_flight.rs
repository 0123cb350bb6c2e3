//! `--wait`: what is still in flight at the subject of an order.

use std::io::IsTerminal;
use std::time::{Duration, Instant};

use fleet::wire::{InstanceOutcome, InstanceReport, ToolRequest, ToolResponse};
use fleet::Subject;
use tokio::time::sleep;

use super::DEADLINE_MARGIN;
use crate::agent_client::{AgentClient, AgentClientError};
use crate::cli::{OrderOptions, Output};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Goes back to the line's start and clears it, on a terminal.
const CLEAR_LINE: &str = "\r\x1b[K";

/// Polls until nothing is in flight at the subject on any gateway that can be reached, or the time is over.
/// Gives the last report of each gateway.
pub async fn wait_until_idle(
    agent: &mut AgentClient,
    subject: &Subject,
    options: &OrderOptions,
    output: Output,
) -> Result<Vec<InstanceReport>, AgentClientError> {
    let give_up_at = Instant::now() + options.wait_timeout;
    let mut progress = (output == Output::Table).then(Progress::new);
    loop {
        let reports = poll(agent, subject, options.deadline).await?;
        if let Some(progress) = &mut progress {
            progress.show(&reports);
        }
        if reports.iter().all(is_idle) || Instant::now() >= give_up_at {
            if let Some(progress) = progress {
                progress.end();
            }
            return Ok(reports);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether a gateway is known to have nothing in flight, or can't be reached.
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

/// A line on standard error: over itself on a terminal, else one for each change.
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
