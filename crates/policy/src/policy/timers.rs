//! Timer tokens. A token holds the request ID above two bits that identify the kind of timer.

const KIND_BITS: u32 = 2;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub(crate) enum TimerKind {
    /// The client's deadline is about to expire.
    Deadline = 0,
    /// An attempt may be overdue.
    Hedge = 1,
    /// The maximum time that a request may wait for a counter call has passed.
    CounterWait = 2,
    /// The endpoint list is due for a poll. Belongs to no request.
    PollEndpoints = 3,
}

impl TimerKind {
    /// Returns the token of a request's timer.
    pub(crate) fn token(self, request: u64) -> u64 {
        request << KIND_BITS | self as u64
    }

    /// Token of the endpoint poll timer, which belongs to no request.
    pub(crate) const POLL_TOKEN: u64 = TimerKind::PollEndpoints as u64;

    /// Returns the kind and the request of a token.
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
