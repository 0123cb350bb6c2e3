//! Coordinates starting gateways: assigns turns for their first call to the list service, and distributes the
//! endpoint list that one of them has fetched.

use std::sync::Arc;

use cold_start::{PollOutcome, StartBatches, StartTurn};
use fleet::wire::{FirstCall, FirstCallOutcome, StartInstructions, MAX_START_LIST_BYTES};
use fleet::Name;

/// Maximum time until a gateway without a list asks again while the agent has no list either, ms.
const RETRY_WITHOUT_LIST_MS: f64 = 500.0;

/// Request of a starting gateway for instructions.
pub struct StartRequest {
    /// Name of the gateway.
    pub name: Name,
    /// Identifies the gateway's process: a number that differs after each start.
    pub incarnation: u64,
    /// Number of gateways in its fleet.
    pub gateways: u32,
    /// Version of the list that it has, if any.
    pub held_version: Option<u64>,
}

/// An endpoint list fetched by a gateway.
struct FetchedList {
    version: u64,
    text: Arc<str>,
}

/// Assigns turns to starting gateways, and distributes the list that one of them has fetched.
pub struct StartCoordinator {
    batches: StartBatches,
    list: Option<FetchedList>,
}

impl StartCoordinator {
    /// Creates a coordinator for a list service that accepts `list_calls_per_s` calls per second in total.
    pub fn new(list_calls_per_s: f64) -> StartCoordinator {
        StartCoordinator { batches: StartBatches::new(list_calls_per_s), list: None }
    }

    /// Returns the instructions for a starting gateway. It may request them repeatedly.
    pub fn instruct(&mut self, now_ms: f64, request: &StartRequest) -> StartInstructions {
        let StartRequest { name, incarnation, gateways, held_version } = request;
        let turn = self.batches.request_turn(now_ms, name.as_str(), *incarnation, *gateways);
        let is_newer = |list: &&FetchedList| held_version.is_none_or(|held| list.version > held);
        let newer_list = self.list.as_ref().filter(is_newer);
        let mut instructions = StartInstructions {
            list: newer_list.map(|list| list.text.to_string()),
            ..StartInstructions::default()
        };
        match turn {
            StartTurn::Call { at_ms, fetch } => {
                instructions.call_in_ms = Some((at_ms - now_ms).max(0.0));
                instructions.fetch = fetch;
            }
            // Without a list the gateway can't serve, so it has to get one soon after another has fetched it.
            StartTurn::AskAgain { after_ms } if held_version.is_none() && self.list.is_none() => {
                instructions.ask_in_ms = Some(after_ms.min(RETRY_WITHOUT_LIST_MS));
            }
            StartTurn::AskAgain { after_ms } => instructions.ask_in_ms = Some(after_ms),
            StartTurn::UseSlots => {}
        }
        instructions
    }

    /// Records the first call of a gateway. Returns the version of the list that it has fetched, if any.
    pub fn first_call_ended(
        &mut self,
        now_ms: f64,
        name: &Name,
        incarnation: u64,
        call: FirstCall,
    ) -> Option<u64> {
        let outcome = match call.outcome {
            FirstCallOutcome::Answered => PollOutcome::Unchanged,
            FirstCallOutcome::Rejected => PollOutcome::Rejected(None),
            FirstCallOutcome::TimedOut => PollOutcome::TimedOut,
            FirstCallOutcome::Failed => PollOutcome::Failed,
        };
        let list = call.list.filter(|(_, text)| text.len() <= MAX_START_LIST_BYTES);
        let has_list = list.is_some();
        self.batches.call_ended(now_ms, name.as_str(), incarnation, outcome, call.took_ms, has_list);
        let (version, text) = list?;
        self.list = Some(FetchedList { version, text: text.into() });
        Some(version)
    }
}
