//! Gateways that start together before backends that take ten first connections a second, as real processes.

mod many;

use std::time::Duration;

use many::{Many, Shape, PATIENCE};
use testbed::backend::{Backend, Spec};
use testbed::journal::Event;
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);
/// A round of thirty gateways at nine tenths of ten first connections a second.
const ROUND: Duration = Duration::from_millis(3_334);
/// Requests a second: each gateway has ten, so that it wants all it may have at once.
const RATE: f64 = 300.0;

fn shape(seed: u64) -> Shape {
    with(seed, 10)
}

/// With so many first connections a second.
fn with(seed: u64, per_s: u32) -> Shape {
    let operator = format!("[start]\nlist_calls_per_s = 10\nbackend_connections_per_s = {per_s}\n");
    Shape { seed, operator, ..Shape::default() }
}

/// When connections came to a backend from a moment on, for so long.
fn came(backend: &Backend, since: Duration, time: Duration) -> Vec<Duration> {
    backend.accepted().into_iter().filter(|at| (since..since + time).contains(at)).collect()
}

/// Nine slots a second, with room for a machine that is late with some. For the first round each connection
/// is a first one.
fn spread(backend: &Backend, since: Duration, time: Duration) {
    let at = came(backend, since, time);
    let within = |i: usize| at[i..].iter().take_while(|t| **t < at[i] + SECOND).count();
    let most = (0..at.len()).map(within).max().unwrap_or(0);
    assert!(most <= 14, "{most} connections in a second at {}: {at:?}", backend.spec.name);
}

/// Requests that came to some backends since a moment.
fn requests(many: &Many, names: &[String], since: Duration) -> usize {
    let events = many.journal.events();
    let of = |e: &&(Duration, Event)| match &e.1 {
        Event::Arrived { backend, .. } => e.0 >= since && names.contains(backend),
        _ => false,
    };
    events.iter().filter(of).count()
}

#[test]
fn all_start_again_while_half_of_the_backends_are_gone_and_the_list_service_is_silent() {
    let mut many = Many::new(shape(0x41_21));
    many.start(many.all());
    many.ready(many.all());
    let loading = many.load(RATE);
    many.served(&loading, 300);
    many.kill(many.all());
    many.timeline.note("4 of 8 backends and the list service silent");
    many.backends[..4].iter().for_each(|b| b.switch.set(Fault::Silent));
    many.service.switch.set(Fault::Silent);
    // What was written before the kill has come by then.
    many.pass(Duration::from_millis(300));
    let since = many.journal.now();
    many.start(many.all());
    many.ready(many.all());
    many.served(&loading, 600);
    let gone: Vec<String> = many.backends[..4].iter().map(|b| b.spec.name.clone()).collect();
    assert_eq!(requests(&many, &gone, since), 0, "requests found out who is gone");
    many.backends.iter().for_each(|b| spread(b, since, ROUND));
    // They come back, and get work.
    many.timeline.note("all back");
    many.service.switch.set(Fault::Well);
    many.backends[..4].iter().for_each(|b| b.switch.set(Fault::Well));
    many.until("those that were gone get work", |many| {
        let of = |name: &String| requests(many, std::slice::from_ref(name), since);
        gone.iter().all(|name| of(name) > 10)
    });
    let tally = many.finish(loading);
    assert!(tally.served > 900, "{tally:?}");
    many.judge();
}

#[test]
fn a_backend_that_starts_anew_under_load_is_opened_by_one_gateway_after_another() {
    let mut many = Many::new(shape(0x41_22));
    many.start(many.all());
    many.ready(many.all());
    many.all_told(many.all(), Duration::ZERO);
    let loading = many.load(RATE);
    many.served(&loading, 600);
    // A machine dies, and another is on the list in its place at once, cold; all hear of it in one moment.
    many.timeline.note("till-0 dies, till-8 is there");
    let spec = Spec { cold: Some((4.0, Duration::from_secs(4))), ..Spec::plain(8) };
    let new = many.runtime.block_on(Backend::start(spec, many.journal.clone())).expect("it starts");
    let (since, died) = (many.journal.now(), many.backends.remove(0));
    many.service.list_for(&new, &died);
    drop(died);
    let name = [new.spec.name.clone()];
    many.until("it has work", |many| requests(many, &name, since) > 50);
    // Who does not watch at that moment hears of it up to a round of the list later.
    many.until("its gateways open it", |_| came(&new, since, PATIENCE).len() >= 10);
    many.pass(ROUND);
    // Pools that stand for a round grow by what they need.
    let first = came(&new, since, PATIENCE)[0];
    spread(&new, since, first - since + ROUND);
    many.backends.push(new);
    let tally = many.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    many.judge();
}

#[test]
fn gateways_that_crash_in_a_loop_open_no_more_than_their_slots() {
    let mut many = Many::new(shape(0x41_23));
    many.start(many.all());
    many.ready(many.all());
    let loading = many.load(RATE);
    for _ in 0..4 {
        many.pass(Duration::from_millis(700));
        many.kill(0..20);
        many.start(0..20);
    }
    many.ready(0..20);
    many.served(&loading, 300);
    let tally = many.finish(loading);
    // Twenty of thirty start five times, and each time want all that is there.
    for backend in &many.backends {
        let at = backend.accepted();
        let lasted = (many.journal.now() - at[0]).as_secs_f64();
        let most = 9.0 * lasted + 2.0;
        // Pools of the others grow by what they need once they stand for a round.
        assert!((at.len() as f64) <= 1.5 * most, "{} in {lasted:.1} s at {}", at.len(), backend.spec.name);
    }
    assert!(tally.served > 300, "{tally:?}");
    many.judge();
}

#[test]
fn gateways_that_were_stopped_before_their_turns_do_not_open_together() {
    let mut many = Many::new(shape(0x41_24));
    // Nobody answers yet, so all wait for turns and for the first that is open.
    many.backends.iter().for_each(|b| b.switch.set(Fault::Silent));
    many.start(many.all());
    many.pass(ROUND / 4);
    many.timeline.note("all stopped for two rounds, and the backends are well");
    many.nodes.iter_mut().for_each(|n| n.stop());
    many.pass(ROUND * 2);
    many.backends.iter().for_each(|b| b.switch.set(Fault::Well));
    let since = many.journal.now();
    many.nodes.iter_mut().for_each(|n| n.go_on());
    many.ready(many.all());
    let loading = many.load(RATE);
    many.served(&loading, 300);
    many.pass(ROUND.saturating_sub(many.journal.now() - since));
    many.backends.iter().for_each(|b| spread(b, since, ROUND));
    let tally = many.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    many.judge();
}

#[test]
fn no_backend_answers_and_all_are_ready_in_two_rounds_refuse_at_once_and_serve_when_one_is_back() {
    // A round of 1.1 s.
    let mut many = Many::new(with(0x41_25, 30));
    many.backends.iter().for_each(|b| b.switch.set(Fault::Refusing));
    let since = many.journal.now();
    many.start(many.all());
    many.ready(many.all());
    assert!(many.journal.now() - since >= ROUND * 2 / 3, "ready with nobody to send to");
    let loading = many.load(100.0);
    many.until("requests are refused", |_| loading.tally().refused > 50);
    assert_eq!(loading.tally().served, 0);
    many.timeline.note("two are back");
    many.backends[..2].iter().for_each(|b| b.switch.set(Fault::Well));
    many.served(&loading, 200);
    let tally = many.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    many.judge();
}
