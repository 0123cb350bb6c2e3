use super::*;
use proptest::prelude::*;

const CALL_TIMEOUT: Duration = Duration::from_millis(80);

/// Creates a silence from times in ms.
fn silence(in_flight: u64, received: Option<u64>, others: Option<u64>) -> Silence {
    let millis = Duration::from_millis;
    Silence {
        in_flight: millis(in_flight),
        received: received.map(millis),
        others_received: others.map(millis),
    }
}

#[test]
fn distinguishes_silent_connection_from_slow_or_lost_counter() {
    // Others received replies since: only this connection is silent, and it is replaced when its first call
    // times out.
    assert!(
        silence(80, None, Some(10)).is_connection_fault(CALL_TIMEOUT)
            && silence(80, Some(500), Some(10)).needs_replacement(CALL_TIMEOUT)
    );
    // Its timeout has not passed yet.
    assert!(!silence(79, None, Some(1)).needs_replacement(CALL_TIMEOUT));
    // A slow counter: replies are late, but arrive on this connection, too.
    assert!(!silence(400, Some(5), Some(1)).needs_replacement(CALL_TIMEOUT));
    // A reply to an earlier call arrived while this one was in flight: the silence begins with it.
    assert!(
        !silence(81, Some(79), Some(1)).needs_replacement(CALL_TIMEOUT)
            && silence(101, Some(99), Some(1)).is_connection_fault(CALL_TIMEOUT)
    );
    // The counter stopped responding: the other connections are silent, too, apart from a reply that arrived
    // as the call was made.
    assert!(
        !silence(100, None, None).needs_replacement(CALL_TIMEOUT)
            && !silence(100, Some(900), Some(95)).needs_replacement(CALL_TIMEOUT)
    );
    assert!(
        silence(240, None, None).needs_replacement(CALL_TIMEOUT)
            && !silence(240, None, None).is_connection_fault(CALL_TIMEOUT)
    );
}

proptest! {
    #[test]
    fn replacement_requires_silence_and_persists_while_silent(
        in_flight in 0u64..2_000, received in proptest::option::of(0u64..2_000),
        others in proptest::option::of(0u64..2_000), more in 0u64..500,
    ) {
        let now = silence(in_flight, received, others);
        if in_flight < 80 || received.is_some_and(|ago| ago < 80) {
            prop_assert!(!now.needs_replacement(CALL_TIMEOUT) && !now.is_connection_fault(CALL_TIMEOUT));
        }
        prop_assert!(!now.is_connection_fault(CALL_TIMEOUT) || now.needs_replacement(CALL_TIMEOUT));
        // The same connection later, while the others keep receiving replies.
        let later = silence(in_flight + more, received.map(|ago| ago + more), others);
        prop_assert!(!now.needs_replacement(CALL_TIMEOUT) || later.needs_replacement(CALL_TIMEOUT));
    }
}
