use super::*;
use proptest::prelude::*;

const WAIT: Duration = Duration::from_millis(80);

fn line(out: u64, heard: Option<u64>, others: Option<u64>) -> Silence {
    let span = Duration::from_millis;
    Silence { in_flight: span(out), heard: heard.map(span), others_heard: others.map(span) }
}

#[test]
fn distinguishes_a_silent_connection_from_a_slow_or_lost_counter() {
    // Others were answered since; it alone is silent, and is replaced with the time-out of its first
    // call.
    assert!(line(80, None, Some(10)).is_alone(WAIT) && line(80, Some(500), Some(10)).is_lost(WAIT));
    // It may yet answer in time.
    assert!(!line(79, None, Some(1)).is_lost(WAIT));
    // Slow: answers come late on this one as well.
    assert!(!line(400, Some(5), Some(1)).is_lost(WAIT));
    // The call before was answered when this one was out already; since then nothing.
    assert!(!line(81, Some(79), Some(1)).is_lost(WAIT) && line(101, Some(99), Some(1)).is_alone(WAIT));
    // Gone: no other was heard either, but for an answer that came as the call was made.
    assert!(!line(100, None, None).is_lost(WAIT) && !line(100, Some(900), Some(95)).is_lost(WAIT));
    assert!(line(240, None, None).is_lost(WAIT) && !line(240, None, None).is_alone(WAIT));
}

proptest! {
    #[test]
    fn keeps_a_connection_heard_in_time_and_no_longer_silence_clears_it(
        out in 0u64..2_000, heard in proptest::option::of(0u64..2_000),
        others in proptest::option::of(0u64..2_000), more in 0u64..500,
    ) {
        let now = line(out, heard, others);
        if out < 80 || heard.is_some_and(|ago| ago < 80) {
            prop_assert!(!now.is_lost(WAIT) && !now.is_alone(WAIT));
        }
        prop_assert!(!now.is_alone(WAIT) || now.is_lost(WAIT));
        // So much later, the others answering on.
        let later = line(out + more, heard.map(|h| h + more), others);
        prop_assert!(!now.is_lost(WAIT) || later.is_lost(WAIT));
    }
}
