//! What a timer is for, as its token tells: the request's number above two bits for the kind.

const KIND_BITS: u32 = 2;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;

/// What to look at when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub(crate) enum TimerKind {
    /// The client's time is nearly up.
    Deadline = 0,
    /// An attempt is overdue.
    Hedge = 1,
    /// A counter call took as long as a request may wait for it.
    CounterWait = 2,
    /// The endpoint list is to be polled. It belongs to no request.
    PollEndpoints = 3,
}

impl TimerKind {
    /// The token of a request's timer.
    pub(crate) fn token(self, request: u64) -> u64 {
        request << KIND_BITS | self as u64
    }

    /// The token of the timer that belongs to no request.
    pub(crate) const POLL_TOKEN: u64 = TimerKind::PollEndpoints as u64;

    /// The kind and the request of a token.
    pub(crate) fn from_token(token: u64) -> (TimerKind, u64) {
        let kind = match token & KIND_MASK {
            0 => TimerKind::Deadline,
            1 => TimerKind::Hedge,
            2 => TimerKind::CounterWait,
            _ => TimerKind::PollEndpoints,
        };
        (kind, token >> KIND_BITS)
    }
}
