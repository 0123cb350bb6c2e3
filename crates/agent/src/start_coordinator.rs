//! Gateways that start: their turns for the first call to the list service, and the endpoint list.

use std::sync::Arc;

use cold_start::{PollOutcome, StartBatches, StartTurn};
use fleet::wire::{FirstCall, FirstCallOutcome, StartInstructions, MAX_START_LIST_BYTES};
use fleet::Name;

/// A gateway without any list asks again so soon, ms, while there is none to hand out.
const RETRY_WITHOUT_LIST_MS: f64 = 500.0;

/// A gateway that starts asks what to do.
pub struct StartRequest {
    /// Its name.
    pub name: Name,
    /// Its process.
    pub incarnation: u64,
    /// Gateways in its fleet.
    pub gateways: u32,
    /// The version of the list that it holds, if it holds one.
    pub held_version: Option<u64>,
}

/// An endpoint list that a gateway has fetched.
struct FetchedList {
    version: u64,
    text: Arc<str>,
}

/// Gives turns to gateways that start, and hands out the list that one of them has fetched.
pub struct StartCoordinator {
    batches: StartBatches,
    list: Option<FetchedList>,
}

impl StartCoordinator {
    /// For a list service that takes so many calls a second from all gateways.
    pub fn new(list_calls_per_s: f64) -> StartCoordinator {
        StartCoordinator { batches: StartBatches::new(list_calls_per_s), list: None }
    }

    /// What a gateway that starts, or asks again, is to do.
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
            // Without a list it can't serve, so it has to learn soon of one that another has fetched.
            StartTurn::AskAgain { after_ms } if held_version.is_none() && self.list.is_none() => {
                instructions.ask_in_ms = Some(after_ms.min(RETRY_WITHOUT_LIST_MS));
            }
            StartTurn::AskAgain { after_ms } => instructions.ask_in_ms = Some(after_ms),
            StartTurn::UseSlots => {}
        }
        instructions
    }

    /// Takes in the outcome of a gateway's first call. Returns the version of the list that it has fetched,
    /// if it has.
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
