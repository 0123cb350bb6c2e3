//! Gateways that start together before a list service that bears ten calls a second, as real processes.

mod many;

use std::time::Duration;

use many::{most_in, Many, Shape, EACH};
use testbed::backend::{Backend, Spec};
use testbed::discovery::Called;
use testbed::harness::{Condition, Direction};
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);

/// Calls in any second are those of the slots, with room for a machine that is late with some; the pauses of
/// the usual law make thirty in the first quarter of it.
fn spread(calls: &[Called]) {
    let most = most_in(calls, SECOND);
    assert!(most <= 18, "{most} calls in a second where ten are borne");
}

/// A round of thirty gateways at nine tenths of ten calls a second.
fn round() -> Duration {
    EACH.mul_f64(30.0 / 0.9)
}

/// Calls of each gateway since a moment.
fn by_door(many: &Many, since: Duration) -> Vec<usize> {
    let mut calls = vec![0; many.nodes.len()];
    many.service.calls().iter().filter(|c| c.at >= since).for_each(|c| calls[c.door] += 1);
    calls
}

#[test]
fn all_killed_and_started_at_once_under_load_with_backends_replaced_and_the_counter_down() {
    let mut many = Many::new(Shape { seed: 0x41_01, ..Shape::default() });
    many.start(many.all());
    many.ready(many.all());
    many.all_told(many.all(), Duration::ZERO);
    let loading = many.load(150.0);
    many.served(&loading, 50);
    many.kill(many.all());
    // Half of the backends go, cold ones come, and the counter is down.
    for gone in many.backends.drain(..4) {
        many.service.delete(&gone);
    }
    for i in 8..12 {
        let spec = Spec { cold: Some((4.0, Duration::from_secs(4))), ..Spec::plain(i) };
        let new = many.runtime.block_on(Backend::start(spec, many.journal.clone())).expect("it starts");
        many.service.list(&new, "SERVING");
        many.backends.push(new);
    }
    many.counter.switch.set(Fault::Refusing);
    let since = many.service.now();
    many.start(many.all());
    many.ready(many.all());
    many.served(&loading, 50);
    let last = many.all_told(many.all(), since);
    let calls: Vec<Called> =
        many.service.calls().into_iter().filter(|c| c.at >= since && c.at <= last).collect();
    spread(&calls);
    assert!(calls.len() as f64 <= 1.3 * 30.0, "{} calls until all were told", calls.len());
    assert_eq!(calls.iter().filter(|c| c.turned_away || c.after.is_none()).count(), 0, "{calls:?}");
    many.served(&loading, 100);
    let tally = many.finish(loading);
    assert!(tally.served > 200, "{tally:?}");
    many.judge();
}

#[test]
fn no_list_known_all_are_told_by_one_call_each_and_are_ready_with_it() {
    let mut many = Many::new(Shape { known: false, seed: 0x41_02, ..Shape::default() });
    many.start(many.all());
    many.ready(many.all());
    // Whoever is ready has somebody to send to.
    let told = many.told(Duration::ZERO);
    assert_eq!(told.len(), 30, "ready without a list: {told:?}");
    let calls = many.service.calls();
    spread(&calls);
    let loading = many.load(100.0);
    many.served(&loading, 100);
    let tally = many.finish(loading);
    assert_eq!((tally.lost, tally.refused), (0, 0), "{tally:?}");
    many.judge();
}

/// Away for two rounds in some way, then back: all are told in one more.
fn away(fault: Fault, seed: u64) {
    let mut many = Many::new(Shape { seed, ..Shape::default() });
    many.service.switch.set(fault);
    many.start(many.all());
    many.ready(many.all());
    let loading = many.load(100.0);
    many.served(&loading, 50);
    many.pass(round() * 2);
    let back = many.service.now();
    many.timeline.note("the service is back");
    many.service.switch.set(Fault::Well);
    many.all_told(many.all(), Duration::ZERO);
    spread(&many.service.calls());
    // Once a round, while it is away and until it has answered.
    let by_door = by_door(&many, Duration::ZERO);
    let rounds = (many.service.now().as_secs_f64() / round().as_secs_f64()).ceil() as usize;
    assert!(by_door.iter().all(|n| *n <= rounds + 1), "{by_door:?} in {rounds} rounds, back after {back:?}");
    let tally = many.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    many.judge();
}

#[test]
fn a_service_that_turns_all_away_is_asked_once_a_round_until_it_answers() {
    away(Fault::Busy, 0x41_03);
}

#[test]
fn a_service_that_is_silent_is_asked_once_a_round_until_it_answers() {
    away(Fault::Silent, 0x41_04);
}

#[test]
fn a_service_that_answers_garbage_is_asked_once_a_round_until_it_answers() {
    away(Fault::Garbled, 0x41_05);
}

#[test]
fn a_service_that_turns_half_away_tells_all_in_the_end_and_is_called_no_more_often() {
    let mut many = Many::new(Shape { seed: 0x41_0c, ..Shape::default() });
    many.service.switch.set(Fault::EverySecond);
    many.start(many.all());
    many.ready(many.all());
    many.all_told(many.all(), Duration::ZERO);
    let calls = many.service.calls();
    spread(&calls);
    // The first of each, and its second is answered.
    let turned_away = calls.iter().filter(|c| c.turned_away).count();
    assert!(turned_away >= 30, "{turned_away} of {} were turned away", calls.len());
}

#[test]
fn a_service_that_takes_two_seconds_for_an_answer_is_waited_for_and_not_asked_again() {
    let mut many = Many::new(Shape { seed: 0x41_0d, ..Shape::default() });
    many.service.switch.set(Fault::Slow(2 * SECOND));
    many.start(many.all());
    many.ready(many.all());
    let last = many.all_told(many.all(), Duration::ZERO);
    let calls: Vec<Called> = many.service.calls().into_iter().filter(|c| c.at <= last).collect();
    spread(&calls);
    // A call that was given up would be made again before its answer.
    let first_again = |door| calls.iter().filter(|c| c.door == door).nth(1).map(|c| c.at);
    let told = many.told(Duration::ZERO);
    assert!(many.all().all(|door| first_again(door).is_none_or(|at| at >= told[&door])), "{calls:?}");
    assert_eq!(calls.iter().filter(|c| c.after.is_none()).count(), 0);
}

#[test]
fn gateways_that_crash_in_a_loop_do_not_starve_the_others() {
    let mut many = Many::new(Shape { seed: 0x41_06, ..Shape::default() });
    let since = many.service.now();
    many.start(many.all());
    let (loops, others) = (0..10, 10..30);
    for _ in 0..6 {
        many.pass(Duration::from_millis(600));
        many.kill(loops.clone());
        many.start(loops.clone());
    }
    many.all_told(others.clone(), since);
    spread(&many.service.calls());
    let by_door = by_door(&many, since);
    let rounds = (many.service.now().as_secs_f64() / round().as_secs_f64()).ceil() as usize;
    // A start that falls into another moment of the same slot may call again in it.
    assert!(by_door[loops.clone()].iter().all(|n| *n <= rounds + 2), "{by_door:?} in {rounds} rounds");
    many.ready(many.all());
    many.all_told(loops, since);
}

#[test]
fn gateways_behind_a_slow_link_are_told_too_and_the_others_no_later() {
    let mut many = Many::new(Shape { seed: 0x41_07, ..Shape::default() });
    for link in &many.links[..3] {
        let slow = Condition { delay: Duration::from_millis(900), lost: 0.2, ..Condition::WELL };
        link.both(slow);
    }
    many.timeline.note("0, 1, 2 behind slow links");
    let since = many.service.now();
    many.start(many.all());
    many.ready(many.all());
    many.all_told(3..30, since);
    many.all_told(0..3, since);
    spread(&many.service.calls());
    // What comes late is taken, not asked for again.
    let early: Vec<Called> = many.service.calls().into_iter().filter(|c| c.door < 3).collect();
    assert!(early.iter().all(|c| c.after.is_some()), "a whole list: {early:?}");
}

#[test]
fn a_second_release_in_the_middle_of_the_first_calls_no_more_often() {
    let mut many = Many::new(Shape { seed: 0x41_08, ..Shape::default() });
    many.start(many.all());
    many.ready(many.all());
    let loading = many.load(100.0);
    many.pass(round() / 2);
    many.kill(many.all());
    let since = many.service.now();
    many.start(many.all());
    many.ready(many.all());
    many.all_told(many.all(), since);
    spread(&many.service.calls());
    many.served(&loading, 50);
    many.finish(loading);
    many.judge();
}

#[test]
fn gateways_that_were_stopped_and_go_on_together_do_not_call_together() {
    let mut many = Many::new(Shape { seed: 0x41_09, ..Shape::default() });
    many.start(many.all());
    many.ready(many.all());
    // Some are stopped before their call, some between it and the answer.
    many.pass(round() / 3);
    many.timeline.note("5 to 29 stopped");
    many.nodes[5..].iter_mut().for_each(|n| n.stop());
    many.pass(round() * 3 / 2);
    many.timeline.note("they go on");
    let since = many.service.now();
    many.nodes[5..].iter_mut().for_each(|n| n.go_on());
    many.all_told(many.all(), Duration::ZERO);
    many.pass(round());
    let calls: Vec<Called> = many.service.calls().into_iter().filter(|c| c.at >= since).collect();
    spread(&calls);
    let at_once = most_in(&calls[..calls.len().min(40)], Duration::from_millis(300));
    assert!(at_once <= 10, "{at_once} calls within 0.3 s: {calls:?}");
}

#[test]
fn another_service_with_lower_versions_is_taken_up_by_all_and_cut_links_heal() {
    let mut many = Many::new(Shape { seed: 0x41_0a, ..Shape::default() });
    many.start(many.all());
    many.ready(many.all());
    many.all_told(many.all(), Duration::ZERO);
    many.timeline.note("0 to 4 cut off on the way back; another service, versions from 3 on");
    many.links[..5].iter().for_each(|link| link.set(Direction::Back, Condition::CUT));
    many.service.replace(3);
    let since = many.service.now();
    let whole = |many: &Many, place: usize| {
        many.service
            .calls()
            .iter()
            .any(|c| c.door == place && c.at >= since && c.after.is_none() && c.answered.is_some())
    };
    many.until("all but those cut off have its list", |many| (5..30).all(|place| whole(many, place)));
    many.timeline.note("healed, and their connections reset");
    for link in &many.links[..5] {
        link.both(Condition::WELL);
        link.reset();
    }
    many.until("those have it too", |many| (0..5).all(|place| whole(many, place)));
    spread(&many.service.calls());
    let loading = many.load(100.0);
    many.served(&loading, 50);
    let tally = many.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    many.judge();
}

/// Danger: a change that thirty gateways hear in one moment, and thirty calls in the next.
#[test]
fn a_change_of_the_list_is_heard_by_all_at_once_and_is_no_storm_of_calls() {
    let mut many = Many::new(Shape { seed: 0x41_0b, ..Shape::default() });
    many.start(many.all());
    many.ready(many.all());
    many.all_told(many.all(), Duration::ZERO);
    // Until all of them watch.
    many.until("all watch", |many| {
        let calls = many.service.calls();
        (0..30).all(|door| calls.iter().any(|c| c.door == door && !c.wait.is_zero() && c.answered.is_none()))
    });
    let since = many.service.now();
    many.timeline.note("a backend drains");
    many.service.list(&many.backends[0], "DRAINING");
    many.until("all have heard", |many| {
        let calls = many.service.calls();
        let heard = |door| calls.iter().any(|c| c.door == door && c.answered.is_some_and(|at| at >= since));
        (0..30).all(heard)
    });
    many.pass(round());
    let calls: Vec<Called> = many.service.calls().into_iter().filter(|c| c.at >= since).collect();
    spread(&calls);
    assert!(calls.len() >= 20, "{} calls in a round", calls.len());
}
