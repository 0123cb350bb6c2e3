//! Membership of a fleet of gateways, and leases by which its members divide the fleet's bound, a limit that
//! they share. No I/O, no clock.
//!
//! - [`detect::Detector`]: which members are alive
//! - [`wire`]: datagrams between members
//! - [`lease::LeaseTerms`]: size of the fleet, length of a lease, tolerated clock drift
//! - [`lease::LeaseGrantor`]: grants slots; a grant takes effect once a majority of the slot's grantors
//!   agrees
//! - [`lease::LeaseHolder`]: the units that a member has leased, lent and borrowed
//! - [`lease::LeaseCoordinator`]: combines a grantor and a holder, and decides which requests are sent when
//!
//! All times are ms of the member's own clock, which has an arbitrary origin and keeps running while its
//! machine sleeps. `docs/design/membership.md` has the invariant, the rules and the proof.

pub mod detect;
pub mod lease;
pub mod wire;
