//! Leases on the slots of a fleet's bound.
//!
//! A bound is divided into slots, one for each number of the fleet. The gateway with that number owns the
//! slot; the slot's grantors decide by majority whether another member may use some of it. Members exchange
//! [`Message`]s.

mod coordinator;
mod grantor;
mod holder;
mod terms;

use serde::{Deserialize, Serialize};

pub use coordinator::{LeaseCoordinator, MembershipView, Output};
pub use grantor::LeaseGrantor;
pub use holder::{Allocation, BorrowedUnits, GrantedLoan, LeaseHolder, MAX_PENDING_REQUESTS};
pub use terms::{LeaseTerms, KEPT_UNITS, LENT_UNITS, MAX_GRANTORS, SLOT_UNITS};

/// One incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its number in the fleet, from 0, which is also the number of its slot.
    pub number: u32,
    /// Grows with each start of its process.
    pub incarnation: u64,
}

/// A lease message. Every request carries an id of its sender's choice, which the response repeats.
///
/// The order of the variants and of their fields is the wire form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// From an owner to a grantor of its slot: it is alive.
    Renew {
        /// Id of the request.
        request_id: u64,
    },
    /// Response of a grantor to [`Message::Renew`].
    Renewed {
        /// Id of the request.
        request_id: u64,
        /// What the grantor has granted of the slot to a member other than its owner.
        granted: Grant,
    },
    /// To a grantor: the sender asks for a slot that is not its own.
    Claim {
        /// Id of the request.
        request_id: u64,
        /// Number of the slot.
        slot: u32,
    },
    /// Response of a grantor to [`Message::Claim`].
    Claimed {
        /// Id of the request.
        request_id: u64,
        /// Number of the slot.
        slot: u32,
        /// What the claimant has of the slot by this grantor.
        grant: Grant,
    },
    /// To a member that may have more units than it needs.
    Borrow {
        /// Id of the request.
        request_id: u64,
        /// The most units that are asked for.
        units: u64,
    },
    /// Response to [`Message::Borrow`]. The loan runs from the request on.
    Loan {
        /// Id of the request.
        request_id: u64,
        /// Units lent.
        units: u64,
        /// Length of the loan, ms; clock drift is taken off by the borrower, as with a lease.
        duration_ms: u64,
    },
}

/// How much of a slot a member other than its owner is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Grant {
    /// Nothing.
    Nothing,
    /// [`LENT_UNITS`]: the owner may be alive.
    Lent,
    /// [`SLOT_UNITS`]: the owner's process has ended.
    Whole,
}
