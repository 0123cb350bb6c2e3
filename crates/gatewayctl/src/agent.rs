//! The line to the agent.

use std::time::Duration;

use fleet::wire::{Envelope, ToolRequest, ToolResponse, MAX_LINE_BYTES};
use operator_config::Address;
use tokio::time::timeout;
use transport::{connect, JsonLines};

use crate::exit::Failure;
use crate::table::out;

/// How long a connection to the agent may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A line to the agent, on which one thing is asked after the other.
pub struct Agent {
    lines: JsonLines,
    last: u64,
}

impl Agent {
    /// Connects.
    pub async fn connect(address: &Address) -> Result<Agent, Failure> {
        let lines = connect(address, CONNECT_TIMEOUT, MAX_LINE_BYTES).await;
        let lines = lines.map_err(|e| Failure::Agent(format!("no agent: {e}")))?;
        Ok(Agent { lines, last: 0 })
    }

    /// Asks something.
    pub async fn ask(&mut self, ask: ToolRequest) -> Result<(), Failure> {
        self.last += 1;
        let asked = self.lines.send(&Envelope { request_id: self.last, body: ask }).await;
        asked.map_err(|e| Failure::Agent(format!("the agent left: {e}")))
    }

    /// The next that is said to it, at the latest after so long.
    pub async fn hear(&mut self, most: Duration) -> Result<ToolResponse, Failure> {
        match timeout(most, self.lines.next::<Envelope<ToolResponse>>()).await {
            Err(_) => Err(Failure::Agent(format!("the agent said nothing for {} s", most.as_secs()))),
            Ok(Ok(None)) => Err(Failure::Agent("the agent left before it had said all".to_string())),
            Ok(Err(e)) => Err(Failure::Agent(format!("the agent: {e}"))),
            Ok(Ok(Some(Envelope { body: ToolResponse::Error(fault), .. }))) => Err(Failure::Refused(fault)),
            Ok(Ok(Some(said))) => Ok(said.body),
        }
    }
}

/// It said what was not asked for.
pub fn odd(said: &ToolResponse) -> Failure {
    Failure::Agent(format!("the agent said something else: {}", std::any::type_name_of_val(said)))
}

/// Prints JSON as a line.
pub fn print<T: serde::Serialize>(value: &T) -> Result<(), Failure> {
    let text = serde_json::to_string(value).map_err(|e| Failure::Broken(e.to_string()))?;
    out(&format!("{text}\n"));
    Ok(())
}
