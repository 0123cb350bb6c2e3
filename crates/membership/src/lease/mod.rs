//! Leases on the slots of a fleet's bound.
//!
//! The bound is divided into slots, one for each member number. The member with that number owns the slot;
//! the slot's grantors decide by majority whether another member may use a part of it. Members exchange
//! [`Message`]s.

mod coordinator;
mod grantor;
mod holder;
mod slot_lease;
mod terms;

use serde::{Deserialize, Serialize};

pub use coordinator::{LeaseCoordinator, MembershipView, Output};
pub use grantor::LeaseGrantor;
pub use holder::{Allocation, BorrowedUnits, GrantedLoan, LeaseHolder};
pub use slot_lease::MAX_PENDING_REQUESTS;
pub use terms::{LeaseTerms, KEPT_UNITS, LENT_UNITS, MAX_GRANTORS, SLOT_UNITS};

/// One incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Number of the member in the fleet, from 0; also the number of its slot.
    pub number: u32,
    /// Increases with each start of the member's process.
    pub incarnation: u64,
}

/// A lease message. Every request carries an id that its sender chose, and the response repeats it.
///
/// The order of the variants and of their fields defines the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// From an owner to a grantor of its slot: the owner is alive.
    Renew {
        /// Id of the request.
        request_id: u64,
    },
    /// Response of a grantor to [`Message::Renew`].
    Renewed {
        /// Id of the request.
        request_id: u64,
        /// What the grantor has granted of the slot to a member other than the owner.
        granted: Grant,
    },
    /// Request to a grantor for a slot that another member owns.
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
        /// What this grantor grants the claimant of the slot.
        grant: Grant,
    },
    /// Request for a loan, to a member that may have more units than it needs.
    Borrow {
        /// Id of the request.
        request_id: u64,
        /// Maximum number of units requested.
        units: u64,
    },
    /// Response to [`Message::Borrow`]. The loan starts when the request was sent.
    Loan {
        /// Id of the request.
        request_id: u64,
        /// Units lent.
        units: u64,
        /// Length of the loan, ms; as with a lease, the borrower subtracts the tolerated clock drift.
        duration_ms: u64,
    },
}

/// How much of a slot is granted to a member other than its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Grant {
    /// No units.
    Nothing,
    /// [`LENT_UNITS`]: the owner may be alive.
    Lent,
    /// [`SLOT_UNITS`]: the owner's process has ended.
    Whole,
}
