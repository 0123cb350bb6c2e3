//! Gateways that start with turns and a list from the agent, before a list service of ten calls a second, as
//! real processes.

mod many;

use std::time::Duration;

use many::{most_in, Many, Shape};
use testbed::discovery::Called;
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);

/// Thirty gateways, of which nobody knows the list unless that is said.
fn shape(seed: u64) -> Shape {
    let register = "unix:{folder}/register.sock";
    let operator = format!(
        "[admin]\nlisten = \"unix:{{folder}}/{{name}}.sock\"\nagent = \"{register}\"\n\
         [start]\nlist_calls_per_s = 10\nordered_by_agent = true\n\
         [agent]\nlisten = \"unix:{{folder}}/agent.sock\"\nregister = \"{register}\"\n\
         log = \"{{folder}}/orders.redb\"\nheartbeat_ms = 5000\n"
    );
    Shape { seed, operator, known: false, ..Shape::default() }
}

/// Every fifth gateway: six that start anew while the others are at rest.
fn sixth(many: &Many) -> Vec<usize> {
    many.all().step_by(5).collect()
}

fn since(many: &Many, since: Duration) -> Vec<Called> {
    many.service.calls().into_iter().filter(|c| c.at >= since).collect()
}

/// Slots and turns: no more than 1.35 of what the service bears, with room for a machine that is late.
fn spread(calls: &[Called]) {
    let most = most_in(calls, SECOND);
    assert!(most <= 22, "{most} calls in a second where ten are borne");
}

/// All run, and were told.
fn at_rest(seed: u64) -> Many {
    let mut many = Many::new(shape(seed));
    many.start_agent();
    many.start(many.all());
    many.ready(many.all());
    many.all_told(many.all(), Duration::ZERO);
    many
}

#[test]
fn one_fetches_the_list_and_all_others_get_it_from_the_agent() {
    let mut many = at_rest(0x41f1);
    let calls = many.service.calls();
    spread(&calls);
    // Who had its slot before the agent had the list asked for itself. Ready is who knows somebody.
    let whole = |calls: &[Called]| calls.iter().filter(|c| c.after.is_none()).count();
    assert!(whole(&calls) <= 14, "{} whole lists for thirty", whole(&calls));
    // Six start anew, none of which knows a list, while the service is silent: they serve by the agent's.
    let anew = sixth(&many);
    many.kill(anew.clone());
    many.timeline.note("the list service falls silent");
    many.service.switch.set(Fault::Silent);
    let moment = many.service.now();
    many.start(anew.clone());
    many.ready(anew.clone());
    let loading = many.load(100.0);
    many.served(&loading, 100);
    many.timeline.note("it is back");
    many.service.switch.set(Fault::Well);
    many.all_told(anew, moment);
    let tally = many.finish(loading);
    assert_eq!((tally.lost, tally.refused), (0, 0), "{tally:?}");
    many.judge();
}

#[test]
fn the_agent_is_killed_in_the_middle_of_a_start_and_all_are_told_in_their_slots() {
    let mut many = Many::new(shape(0x41f2));
    many.start_agent();
    many.start(many.all());
    many.until("some are told", |many| many.told(Duration::ZERO).len() >= 5);
    many.timeline.note("the agent is killed");
    many.agent.kill();
    many.all_told(many.all(), Duration::ZERO);
    many.ready(many.all());
    spread(&many.service.calls());
    // It is back, and those that start anew have turns again.
    many.start_agent();
    let (anew, moment) = (sixth(&many), many.service.now());
    many.start(anew.clone());
    many.ready(anew.clone());
    many.all_told(anew, moment);
}

#[test]
fn an_agent_that_is_stopped_holds_nobody_up() {
    let mut many = Many::new(shape(0x41f3));
    many.start_agent();
    many.timeline.note("the agent is stopped");
    many.agent.stop();
    many.start(many.all());
    many.all_told(many.all(), Duration::ZERO);
    many.ready(many.all());
    let calls = many.service.calls();
    assert_eq!(calls.iter().filter(|c| c.turned_away).count(), 0);
    // Slots alone.
    let most = most_in(&calls, SECOND);
    assert!(most <= 18, "{most} calls in a second where nine have slots");
    many.timeline.note("it goes on");
    many.agent.go_on();
    let (anew, moment) = (sixth(&many), many.service.now());
    many.start(anew.clone());
    many.ready(anew.clone());
    many.all_told(anew, moment);
}

#[test]
fn gateways_that_crash_in_a_loop_get_no_more_turns_than_others() {
    let mut many = at_rest(0x41f4);
    let (loops, moment) = (sixth(&many), many.service.now());
    for _ in 0..6 {
        many.kill(loops.clone());
        many.start(loops.clone());
        many.pass(Duration::from_millis(500));
    }
    let others: Vec<usize> = many.all().filter(|i| i % 5 == 1).collect();
    many.start(others.clone());
    many.ready(others.clone());
    many.all_told(others, moment);
    many.ready(loops.clone());
    many.all_told(loops.clone(), moment);
    let calls = since(&many, moment);
    spread(&calls);
    // A turn and a slot in a round each, and one more where a start falls into another moment of its slot.
    let rounds = ((many.service.now() - moment).as_secs_f64() / (30.0 / 9.0)).ceil() as usize;
    for place in loops {
        let by_it = calls.iter().filter(|c| c.door == place).count();
        assert!(by_it <= 2 * (rounds + 1) + 1, "{by_it} calls of {place} in {rounds} rounds");
    }
}
