//! An agent that is killed anywhere, and a log that is damaged.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agent::{Contents, Log, LogError};
use fleet::wire::{Envelope, LoggedOrder, ToolRequest, ToolResponse, MAX_LINE_BYTES};
use fleet::{Change, Subject};
use operator_config::Address;
use support::{wait_until, Fleet, TIMEOUT};
use testbed::gateway_stand_in::GatewayStandIn;
use testbed::switch::Fault;
use testbed::Rng;
use transport::Connector;

/// Kills of one run.
const KILLS: u64 = 24;

/// Orders on the connections of one tool until it ends: notes what was tried and what was acknowledged.
async fn order_on(address: Address, tool: u64, round: u64, seen: Arc<Mutex<Seen>>) {
    let mut dice = Rng::new(tool << 32 | round);
    let Ok(mut lines) = Connector::default().connect(&address, TIMEOUT, MAX_LINE_BYTES).await else {
        return;
    };
    for n in 0.. {
        let id = format!("r{round}-t{tool}-{n}");
        let subject: Subject = format!("till-{}", dice.below(4)).parse().expect("one");
        let change = match dice.below(4) {
            0 => Change::Drain,
            1 => Change::Undrain,
            _ => Change::Weight(0.25 + dice.below(8) as f64 / 4.0),
        };
        seen.lock().expect("unpoisoned").tried.insert(id.clone(), (subject.clone(), change));
        let (id_word, forced) = (id.parse().expect("an id"), true);
        let body = ToolRequest::Order { id: id_word, subject, change, forced, deadline_ms: 5_000 };
        if lines.send(&Envelope { request_id: n, body }).await.is_err() {
            return;
        }
        loop {
            match lines.next::<Envelope<ToolResponse>>().await {
                Ok(Some(Envelope { body: ToolResponse::Accepted(_), .. })) => {
                    seen.lock().expect("unpoisoned").acknowledged.insert(id.clone());
                }
                Ok(Some(Envelope { body: ToolResponse::Done(_), .. })) => break,
                Ok(Some(Envelope { body: ToolResponse::Error(fault), .. })) => panic!("{}", fault.message),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
    }
}

#[derive(Default)]
struct Seen {
    tried: BTreeMap<String, (Subject, Change)>,
    acknowledged: BTreeSet<String>,
}

/// What the log has, oldest first.
fn logged(fleet: &Fleet) -> Vec<LoggedOrder> {
    let ran = fleet.json(&["orders", "-n", "1000"]);
    assert_eq!(ran.code, 0, "{}", ran.err);
    let mut all: Vec<LoggedOrder> =
        ran.out.lines().map(|line| serde_json::from_str(line).expect("an order")).collect();
    all.reverse();
    all
}

/// What the orders of a log make of a backend, worked out without the code under test.
fn made(log: &[LoggedOrder], backend: &str) -> (bool, f64) {
    log.iter().filter(|l| l.order.subject.covers(backend, u32::MAX, "")).fold((false, 1.0), |made, l| match l
        .order
        .change
    {
        Change::Drain => (true, made.1),
        Change::Undrain => (false, made.1),
        Change::Weight(weight) => (made.0, weight),
    })
}

#[test]
fn killed_agent_keeps_every_acknowledged_order() {
    let seed = 0xbeec_0010;
    println!("seed {seed:#x}");
    let mut dice = Rng::new(seed);
    let mut fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    let loading = fleet.load(2, 60.0);
    let seen = Arc::new(Mutex::new(Seen::default()));
    for round in 0..KILLS {
        let address = fleet.agent_address();
        let tools: Vec<_> = (0..3)
            .map(|tool| fleet.runtime.spawn(order_on(address.clone(), tool, round, Arc::clone(&seen))))
            .collect();
        // Some rounds end in the first write, some in the fan-out of a later one.
        std::thread::sleep(Duration::from_micros(dice.below(60_000)));
        fleet.kill_agent();
        for tool in tools {
            fleet.runtime.block_on(tool).expect("it ends");
        }
        // What gateways were told last is in the log, whatever the agent was doing.
        let told: Vec<String> =
            (0..2).filter_map(|place| fleet.state(place).last_order).map(|id| id.to_string()).collect();
        fleet.start_agent();
        let log = logged(&fleet);
        let ids: BTreeSet<String> = log.iter().map(|l| l.order.id.to_string()).collect();
        let seen = seen.lock().expect("unpoisoned");
        let lost: Vec<_> = seen.acknowledged.difference(&ids).collect();
        assert!(lost.is_empty(), "seed {seed:#x}, round {round}: acknowledged and lost: {lost:?}");
        assert!(
            told.iter().all(|id| ids.contains(id)),
            "seed {seed:#x}, round {round}: applied unlogged {told:?}"
        );
        for l in &log {
            let tried = &seen.tried[l.order.id.as_str()];
            assert_eq!((&l.order.subject, l.order.change), (&tried.0, tried.1));
        }
    }
    assert!(seen.lock().expect("unpoisoned").acknowledged.len() > 50, "the kills left nothing to test");
    fleet.wait_until_healthy();
    let log = logged(&fleet);
    for place in 0..2 {
        for b in fleet.state(place).backends.expect("asked for") {
            assert_eq!(
                (b.drained_by.is_some(), b.weight),
                made(&log, &b.name),
                "gateway {place}, {}",
                b.name
            );
        }
    }
    let tally = fleet.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn rejects_damaged_log() {
    let mut fleet = Fleet::start(1, 4);
    fleet.wait_until_healthy();
    for i in 0..40 {
        let ran = fleet.json(&["weight", "till-0", &format!("{}", 1 + i), "--id", &format!("w{i}")]);
        assert_eq!(ran.code, 0, "{}", ran.err);
    }
    fleet.kill_agent();
    let good = fs::read(fleet.log()).expect("the log");
    let name = fleet.log().display().to_string();
    let refuses = |what: &str| {
        let ran = fleet.failing_agent();
        assert_eq!(ran.code, 1, "{what}: {} {}", ran.out, ran.err);
        assert!(ran.err.contains(&name) && ran.err.contains("damaged"), "{what}: {}", ran.err);
        assert!(!ran.out.contains("overseeing"), "{what}");
    };
    // Wherever it is cut: it is found damaged, unless nothing stood beyond, and then nothing is missing.
    let mut refused = 0;
    for part in 1..16 {
        fs::write(fleet.log(), &good[..good.len() * part / 16]).expect("room");
        match Log::open(&fleet.log()) {
            Err(LogError::Damaged(path, _)) if path == fleet.log() => refused += 1,
            Err(other) => panic!("{part}/16: {other}"),
            Ok((_, contents)) => assert_eq!(contents.orders.len(), 40, "{part}/16: some are missing, unsaid"),
        }
    }
    assert!(refused > 4, "{refused}");
    fs::write(fleet.log(), &good[..good.len() / 4]).expect("room");
    refuses("cut");
    // A byte of the text of an order, wherever one stands in a page that counts.
    let needle = b"\"id\":\"w39\"";
    let places: Vec<usize> =
        (0..good.len() - needle.len()).filter(|at| &good[*at..*at + needle.len()] == needle).collect();
    assert!(!places.is_empty(), "the order is in the log");
    let mut flipped = good.clone();
    for at in &places {
        flipped[at + 7] ^= 1;
    }
    fs::write(fleet.log(), &flipped).expect("room");
    refuses("flipped");
    // Any byte, by a seed: found, or of no weight, but never an order less or another one.
    let seed = 0xbeec_0011;
    let (mut dice, mut found) = (Rng::new(seed), 0);
    let whole = |contents: &Contents| contents.orders.iter().map(|l| l.order.clone()).collect::<Vec<_>>();
    fs::write(fleet.log(), &good).expect("room");
    let truth = whole(&Log::open(&fleet.log()).expect("good").1);
    for _ in 0..300 {
        let (mut flipped, at) = (good.clone(), dice.below(good.len() as u64) as usize);
        flipped[at] ^= 1 << dice.below(8);
        fs::write(fleet.log(), &flipped).expect("room");
        match Log::open(&fleet.log()) {
            Err(_) => found += 1,
            Ok((_, contents)) => assert_eq!(whole(&contents), truth, "seed {seed:#x}: byte {at}"),
        }
    }
    println!("seed {seed:#x}: {found} of 300 flips found, the others of no weight");
    fs::write(fleet.log(), b"not a log at all").expect("room");
    refuses("another file");
    // The copy put back does.
    fs::write(fleet.log(), &good).expect("room");
    fleet.start_agent();
    assert_eq!(logged(&fleet).len(), 40);
    fleet.wait_until_healthy();
}

#[test]
fn next_agent_carries_out_unsent_order() {
    let mut fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    assert_eq!(fleet.json(&["drain", "till-1", "--id", "before"]).code, 0);
    fleet.kill_agent();
    // What an agent leaves that is killed right after its write: the order in the log, and told to nobody.
    {
        let (log, contents) = Log::open(&fleet.log()).expect("good");
        let first = contents.orders.last().expect("one");
        let mut written = first.clone();
        written.order.revision = contents.newest.next();
        written.order.id = "written".parse().expect("an id");
        written.order.subject = "till-0".parse().expect("one");
        log.append(&[written], None).expect("written");
    }
    assert!(!fleet.drained(0, "till-0") && !fleet.drained(1, "till-0"));
    fleet.start_agent();
    fleet.wait_until_healthy();
    assert!(fleet.drained(0, "till-0") && fleet.drained(1, "till-0"));
    // Whoever gave it asks again with its id, and hears the first result.
    let again = fleet.json(&["drain", "till-0", "--id", "written"]);
    assert_eq!((again.code, &again.json()["accepted"]["repeated"]), (0, &true.into()));
}

#[test]
fn next_agent_finishes_interrupted_fan_out() {
    let mut fleet = Fleet::with(1, 4, &["slow"], "answer_ms = 20000");
    let at = Address::Unix(fleet.dir.path().join("slow.sock"));
    let slow = fleet.runtime.block_on(GatewayStandIn::start("slow", 7, &at, 4)).expect("it starts");
    fleet.wait_until_healthy();
    slow.switch.set(Fault::Silent);
    let ran = fleet.json(&["drain", "till-0", "--deadline", "1s"]);
    assert_eq!(ran.code, 3, "{}", ran.out);
    assert_eq!((&ran.did("n0")["outcome"], &ran.did("slow")["did"]), (&"applied".into(), &"late".into()));
    fleet.kill_agent();
    assert!(fleet.drained(0, "till-0") && !slow.drained("till-0"));
    slow.switch.set(Fault::None);
    fleet.start_agent();
    fleet.wait_until_healthy();
    wait_until("it has caught up", || slow.drained("till-0"));
}

#[test]
fn log_belongs_to_one_agent() {
    let fleet = Fleet::start(1, 2);
    let second = fleet.failing_agent();
    assert_eq!(second.code, 1);
    assert!(second.err.contains("another agent has it open"), "{}", second.err);
    fleet.wait_until_healthy();
}

#[test]
fn lost_log_undoes_no_drain() {
    let mut fleet = Fleet::start(1, 4);
    fleet.wait_until_healthy();
    assert_eq!(fleet.json(&["drain", "till-0"]).code, 0);
    fleet.kill_agent();
    fs::remove_file(fleet.log()).expect("it is there");
    // Its term is the second in which it begins.
    std::thread::sleep(Duration::from_millis(1_100));
    fleet.start_agent();
    fleet.wait_until_healthy();
    assert!(fleet.drained(0, "till-0"));
    assert_eq!(fleet.json(&["undrain", "till-0"]).code, 0);
    wait_until("it is back", || !fleet.drained(0, "till-0"));
}
