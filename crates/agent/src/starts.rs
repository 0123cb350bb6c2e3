//! Gateways that start: their turns for the first call to the list service, and the list.

use std::sync::Arc;

use cold_start::{PollOutcome, StartBatches, StartTurn};
use fleet::wire::{FirstCallOutcome, FirstCallReport, StartInstructions, ToolResponse, MAX_START_LIST_BYTES};
use fleet::Name;

/// One that knows no list asks again so soon, ms, while there is none to hand out.
const EMPTY_ASK_MS: f64 = 500.0;

/// Those that start, and the list that the last of them fetched whole.
pub struct Starts {
    waves: StartBatches,
    list: Option<(u64, Arc<str>)>,
}

impl Starts {
    /// For a list service that bears so many calls a second from all gateways.
    pub fn new(calls_per_s: f64) -> Starts {
        Starts { waves: StartBatches::new(calls_per_s), list: None }
    }

    /// A gateway starts, or asks again; `held` is the version that it holds.
    pub fn ask(
        &mut self,
        now_ms: f64,
        name: &Name,
        boot: u64,
        gateways: u32,
        held: Option<u64>,
    ) -> ToolResponse {
        let turn = self.waves.request_turn(now_ms, name.as_str(), boot, gateways);
        let newer = self.list.as_ref().filter(|(index, _)| held.is_none_or(|held| *index > held));
        let mut starting = StartInstructions {
            list: newer.map(|(_, text)| text.to_string()),
            ..StartInstructions::default()
        };
        match turn {
            StartTurn::Call { at_ms, fetch } => {
                (starting.call_in_ms, starting.fetch) = (Some((at_ms - now_ms).max(0.0)), fetch);
            }
            // Danger: those in line that can't serve, and hear of the list when they ask in two seconds.
            StartTurn::AskAgain { after_ms } if held.is_none() && self.list.is_none() => {
                starting.ask_in_ms = Some(after_ms.min(EMPTY_ASK_MS));
            }
            StartTurn::AskAgain { after_ms } => starting.ask_in_ms = Some(after_ms),
            StartTurn::UseSlots => {}
        }
        ToolResponse::Starting(starting)
    }

    /// What the first call of a gateway came to. Gives what is to be told of it.
    pub fn came(&mut self, now_ms: f64, name: &Name, boot: u64, call: FirstCallReport) -> Option<String> {
        let came = match call.outcome {
            FirstCallOutcome::Answered => PollOutcome::Unchanged,
            FirstCallOutcome::Rejected => PollOutcome::Rejected(None),
            FirstCallOutcome::TimedOut => PollOutcome::TimedOut,
            FirstCallOutcome::Failed => PollOutcome::Failed,
        };
        let list = call.list.filter(|(_, text)| text.len() <= MAX_START_LIST_BYTES);
        self.waves.call_ended(now_ms, name.as_str(), boot, came, call.took_ms, list.is_some());
        let (index, text) = list?;
        self.list = Some((index, text.into()));
        Some(format!("gateway {name} has fetched the list, version {index}, for those that start"))
    }
}
