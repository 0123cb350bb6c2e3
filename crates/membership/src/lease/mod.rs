//! Parts of a bound as leases.
//!
//! A bound is cut into slots, one for each number of the fleet. Each slot has its own gateway, the owner, and
//! keepers that give their word on who has it. What passes between members is [`Message`].

mod desk;
mod holder;
mod keeper;
mod terms;

use serde::{Deserialize, Serialize};

pub use desk::{Believed, Desk, Out};
pub use holder::{Holder, Part, MAX_PENDING_REQUESTS};
pub use keeper::Keeper;
pub use terms::{Terms, KEPT_UNITS, LENT_UNITS, MAX_GRANTORS, SLOT_UNITS};

/// A member in one life of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its number in the fleet, from 0: its slot's.
    pub number: u32,
    /// New with each start of its process, and greater than those before.
    pub life: u64,
}

/// What passes between members. Each question bears a number of whoever asks, given back with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The owner, to a keeper of its slot: it is there.
    Renew {
        /// The question.
        n: u64,
    },
    /// A keeper, to the owner: it has noted that.
    Renewed {
        /// The question.
        n: u64,
        /// What another has of the slot by this keeper's word.
        out: Given,
    },
    /// To a keeper: it would have a slot that is not its own.
    Claim {
        /// The question.
        n: u64,
        /// The slot.
        slot: u32,
    },
    /// A keeper: what it has of the slot from now on.
    Claimed {
        /// The question.
        n: u64,
        /// The slot.
        slot: u32,
        /// What.
        given: Given,
    },
    /// To one that has more than it needs.
    Borrow {
        /// The question.
        n: u64,
        /// Units, at most.
        units: u64,
    },
    /// What is lent, from the question on.
    Loan {
        /// The question.
        n: u64,
        /// Units.
        units: u64,
        /// For so long, ms, as a lease is counted.
        lasts_ms: u64,
    },
}

/// What of a slot is another's than its owner's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Given {
    /// Nothing.
    Nothing,
    /// The lent part, [`LENT_UNITS`].
    Lent,
    /// All of it, [`SLOT_UNITS`].
    Whole,
}
