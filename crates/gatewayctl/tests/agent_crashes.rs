//! Agents that are killed at arbitrary times, and damaged order logs.

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

/// Number of times that the agent is killed.
const KILLS: u64 = 24;

/// Sends random orders over one connection until it closes, and records the sent and the acknowledged ones.
async fn send_orders(address: Address, tool: u64, round: u64, record: Arc<Mutex<OrderRecord>>) {
    let mut rng = Rng::new(tool << 32 | round);
    let Ok(mut lines) = Connector::default().connect(&address, TIMEOUT, MAX_LINE_BYTES).await else {
        return;
    };
    for n in 0.. {
        let id = format!("r{round}-t{tool}-{n}");
        let subject: Subject = format!("till-{}", rng.below(4)).parse().expect("a subject");
        let change = match rng.below(4) {
            0 => Change::Drain,
            1 => Change::Undrain,
            _ => Change::Weight(0.25 + rng.below(8) as f64 / 4.0),
        };
        record.lock().expect("the lock is not poisoned").sent.insert(id.clone(), (subject.clone(), change));
        let (order_id, forced) = (id.parse().expect("an id"), true);
        let body = ToolRequest::Order { id: order_id, subject, change, forced, deadline_ms: 5_000 };
        if lines.send(&Envelope { request_id: n, body }).await.is_err() {
            return;
        }
        loop {
            match lines.next::<Envelope<ToolResponse>>().await {
                Ok(Some(Envelope { body: ToolResponse::Accepted(_), .. })) => {
                    record.lock().expect("the lock is not poisoned").acknowledged.insert(id.clone());
                }
                Ok(Some(Envelope { body: ToolResponse::Done(_), .. })) => break,
                Ok(Some(Envelope { body: ToolResponse::Error(error), .. })) => panic!("{}", error.message),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
    }
}

#[derive(Default)]
struct OrderRecord {
    sent: BTreeMap<String, (Subject, Change)>,
    acknowledged: BTreeSet<String>,
}

/// Returns the orders in the agent's log, oldest first.
fn logged_orders(fleet: &Fleet) -> Vec<LoggedOrder> {
    let output = fleet.cli_json(&["orders", "-n", "1000"]);
    assert_eq!(output.code, 0, "{}", output.stderr);
    let mut orders: Vec<LoggedOrder> =
        output.stdout.lines().map(|line| serde_json::from_str(line).expect("an order")).collect();
    orders.reverse();
    orders
}

/// Computes from logged orders whether a backend is drained and its weight, independently of the code under
/// test.
fn expected_state(log: &[LoggedOrder], backend: &str) -> (bool, f64) {
    log.iter().filter(|l| l.order.subject.covers(backend, u32::MAX, "")).fold(
        (false, 1.0),
        |state, l| match l.order.change {
            Change::Drain => (true, state.1),
            Change::Undrain => (false, state.1),
            Change::Weight(weight) => (state.0, weight),
        },
    )
}

#[test]
fn killed_agent_keeps_every_acknowledged_order() {
    let seed = 0xbeec_0010;
    println!("seed {seed:#x}");
    let mut rng = Rng::new(seed);
    let mut fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    let running_load = fleet.start_load(2, 60.0);
    let record = Arc::new(Mutex::new(OrderRecord::default()));
    for round in 0..KILLS {
        let address = fleet.agent_address();
        let tools: Vec<_> = (0..3)
            .map(|tool| fleet.runtime.spawn(send_orders(address.clone(), tool, round, Arc::clone(&record))))
            .collect();
        // Some rounds end during the first write to the log, others during the fan-out of a later order.
        std::thread::sleep(Duration::from_micros(rng.below(60_000)));
        fleet.kill_agent();
        for tool in tools {
            fleet.runtime.block_on(tool).expect("the wait succeeds");
        }
        // The last order that each gateway applied must be in the log, whenever the agent was killed.
        let applied: Vec<String> =
            (0..2).filter_map(|index| fleet.state(index).last_order).map(|id| id.to_string()).collect();
        fleet.start_agent();
        let log = logged_orders(&fleet);
        let ids: BTreeSet<String> = log.iter().map(|l| l.order.id.to_string()).collect();
        let record = record.lock().expect("the lock is not poisoned");
        let lost: Vec<_> = record.acknowledged.difference(&ids).collect();
        assert!(lost.is_empty(), "seed {seed:#x}, round {round}: acknowledged but lost: {lost:?}");
        assert!(
            applied.iter().all(|id| ids.contains(id)),
            "seed {seed:#x}, round {round}: applied but not logged: {applied:?}"
        );
        for l in &log {
            let sent = &record.sent[l.order.id.as_str()];
            assert_eq!((&l.order.subject, l.order.change), (&sent.0, sent.1));
        }
    }
    assert!(
        record.lock().expect("the lock is not poisoned").acknowledged.len() > 50,
        "too few orders were acknowledged"
    );
    fleet.wait_until_healthy();
    let log = logged_orders(&fleet);
    for index in 0..2 {
        for b in fleet.state(index).backends.expect("the backends are included") {
            assert_eq!(
                (b.drained_by.is_some(), b.weight),
                expected_state(&log, &b.name),
                "gateway {index}, {}",
                b.name
            );
        }
    }
    let counts = fleet.finish_load(running_load);
    assert_eq!(counts.lost, 0, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn rejects_damaged_log() {
    let mut fleet = Fleet::start(1, 4);
    fleet.wait_until_healthy();
    for i in 0..40 {
        let output = fleet.cli_json(&["weight", "till-0", &format!("{}", 1 + i), "--id", &format!("w{i}")]);
        assert_eq!(output.code, 0, "{}", output.stderr);
    }
    fleet.kill_agent();
    let intact = fs::read(fleet.log_path()).expect("the log is readable");
    let name = fleet.log_path().display().to_string();
    let assert_rejected = |damage: &str| {
        let output = fleet.run_failing_agent();
        assert_eq!(output.code, 1, "{damage}: {} {}", output.stdout, output.stderr);
        assert!(
            output.stderr.contains(&name) && output.stderr.contains("damaged"),
            "{damage}: {}",
            output.stderr
        );
        assert!(!output.stdout.contains("overseeing"), "{damage}");
    };
    // A truncated log is rejected, unless nothing was stored beyond the cut, and then no order is missing.
    let mut rejected = 0;
    for part in 1..16 {
        fs::write(fleet.log_path(), &intact[..intact.len() * part / 16]).expect("the file is written");
        match Log::open(&fleet.log_path()) {
            Err(LogError::Damaged(path, _)) if path == fleet.log_path() => rejected += 1,
            Err(other) => panic!("{part}/16: {other}"),
            Ok((_, contents)) => assert_eq!(contents.orders.len(), 40, "{part}/16: orders are missing"),
        }
    }
    assert!(rejected > 4, "only {rejected} of 15 truncated logs were rejected");
    fs::write(fleet.log_path(), &intact[..intact.len() / 4]).expect("the file is written");
    assert_rejected("truncated");
    // Flip a bit in the text of an order, in every place where the file holds it.
    let pattern = b"\"id\":\"w39\"";
    let offsets: Vec<usize> =
        (0..intact.len() - pattern.len()).filter(|at| &intact[*at..*at + pattern.len()] == pattern).collect();
    assert!(!offsets.is_empty(), "the order is in the log");
    let mut flipped = intact.clone();
    for at in &offsets {
        flipped[at + 7] ^= 1;
    }
    fs::write(fleet.log_path(), &flipped).expect("the file is written");
    assert_rejected("bit flipped");
    // Flip random bits: the log is either rejected or has the same orders, never fewer or other ones.
    let seed = 0xbeec_0011;
    let (mut rng, mut detected) = (Rng::new(seed), 0);
    let orders = |contents: &Contents| contents.orders.iter().map(|l| l.order.clone()).collect::<Vec<_>>();
    fs::write(fleet.log_path(), &intact).expect("the file is written");
    let expected = orders(&Log::open(&fleet.log_path()).expect("the log opens").1);
    for _ in 0..300 {
        let (mut flipped, at) = (intact.clone(), rng.below(intact.len() as u64) as usize);
        flipped[at] ^= 1 << rng.below(8);
        fs::write(fleet.log_path(), &flipped).expect("the file is written");
        match Log::open(&fleet.log_path()) {
            Err(_) => detected += 1,
            Ok((_, contents)) => assert_eq!(orders(&contents), expected, "seed {seed:#x}: byte {at}"),
        }
    }
    println!("seed {seed:#x}: {detected} of 300 bit flips detected, the others without effect");
    fs::write(fleet.log_path(), b"not a log at all").expect("the file is written");
    assert_rejected("another file");
    // The intact log is accepted again.
    fs::write(fleet.log_path(), &intact).expect("the file is written");
    fleet.start_agent();
    assert_eq!(logged_orders(&fleet).len(), 40);
    fleet.wait_until_healthy();
}

#[test]
fn next_agent_applies_logged_but_unsent_order() {
    let mut fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    assert_eq!(fleet.cli_json(&["drain", "till-1", "--id", "before"]).code, 0);
    fleet.kill_agent();
    // The state after an agent is killed right after its write: the order is logged but was sent to no
    // gateway.
    {
        let (log, contents) = Log::open(&fleet.log_path()).expect("the log opens");
        let first = contents.orders.last().expect("an order");
        let mut logged = first.clone();
        logged.order.revision = contents.newest.next();
        logged.order.id = "written".parse().expect("an id");
        logged.order.subject = "till-0".parse().expect("a subject");
        log.append(&[logged], None).expect("the order is logged");
    }
    assert!(!fleet.is_drained(0, "till-0") && !fleet.is_drained(1, "till-0"));
    fleet.start_agent();
    fleet.wait_until_healthy();
    assert!(fleet.is_drained(0, "till-0") && fleet.is_drained(1, "till-0"));
    // Repeating the order with the same id returns the first result.
    let again = fleet.cli_json(&["drain", "till-0", "--id", "written"]);
    assert_eq!((again.code, &again.json()["accepted"]["repeated"]), (0, &true.into()));
}

#[test]
fn next_agent_finishes_interrupted_fan_out() {
    let mut fleet = Fleet::start_with(1, 4, &["slow"], "answer_ms = 20000");
    let address = Address::Unix(fleet.dir.path().join("slow.sock"));
    let slow =
        fleet.runtime.block_on(GatewayStandIn::start("slow", 7, &address, 4)).expect("the start succeeds");
    fleet.wait_until_healthy();
    slow.switch.set(Fault::Silent);
    let output = fleet.cli_json(&["drain", "till-0", "--deadline", "1s"]);
    assert_eq!(output.code, 3, "{}", output.stdout);
    assert_eq!(
        (&output.report_on("n0")["outcome"], &output.report_on("slow")["did"]),
        (&"applied".into(), &"late".into())
    );
    fleet.kill_agent();
    assert!(fleet.is_drained(0, "till-0") && !slow.drained("till-0"));
    slow.switch.set(Fault::None);
    fleet.start_agent();
    fleet.wait_until_healthy();
    wait_until("the slow gateway has applied the order", || slow.drained("till-0"));
}

#[test]
fn second_agent_cannot_open_the_log() {
    let fleet = Fleet::start(1, 2);
    let second = fleet.run_failing_agent();
    assert_eq!(second.code, 1);
    assert!(second.stderr.contains("another agent has it open"), "{}", second.stderr);
    fleet.wait_until_healthy();
}

#[test]
fn lost_log_cancels_no_drain() {
    let mut fleet = Fleet::start(1, 4);
    fleet.wait_until_healthy();
    assert_eq!(fleet.cli_json(&["drain", "till-0"]).code, 0);
    fleet.kill_agent();
    fs::remove_file(fleet.log_path()).expect("the log exists");
    // The term is the second in which the agent starts, so the next agent must start in a later one.
    std::thread::sleep(Duration::from_millis(1_100));
    fleet.start_agent();
    fleet.wait_until_healthy();
    assert!(fleet.is_drained(0, "till-0"));
    assert_eq!(fleet.cli_json(&["undrain", "till-0"]).code, 0);
    wait_until("the backend is undrained", || !fleet.is_drained(0, "till-0"));
}
