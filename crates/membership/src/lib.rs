//! What the gateways of a fleet may use of its common bounds while they know each other. No I/O, no clock.
//!
//! - [`detect::Detector`]: which members are alive
//! - [`wire`]: datagrams between members
//! - [`lease::LeaseTerms`]: size of the fleet, length of a lease, tolerated clock drift
//! - [`lease::LeaseGrantor`]: grants slots, by majority with a slot's other grantors
//! - [`lease::LeaseHolder`]: the units that a member has leased, lent and borrowed
//! - [`lease::LeaseCoordinator`]: both over time; which requests a member sends, and when
//!
//! All times are ms of the member's own clock, which goes on while its machine sleeps and has any origin.
//! `docs/design/membership.md` has the invariant, the rules and the proof.

pub mod detect;
pub mod lease;
pub mod wire;
