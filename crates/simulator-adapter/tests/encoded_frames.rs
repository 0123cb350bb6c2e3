//! Runs the adapter binary with frames that the tests encode.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"clients": {"marks-retry": false}, "unknown": [1, {"x": null}],
 "contract": {"answer-slack-ms": 16.0, "ask-within-ms": 10000.0, "overload-for-ms": 3000.0,
  "start-capacity": 0.2, "stop-sending-within-ms": 500.0, "tip-multiple": 3.0, "warm-up-ms": 16000.0},
 "family-info": {"count-fee": 0.0, "count-wait-ms": 30.0, "meter-period-ms": 0.0, "peer-intake": 0.0,
  "settles": false, "shared-counter": false, "units-top": 8},
 "feedback": {"fields": [], "source": "none"}, "granularity-ms": 4.0, "group-size": 2, "me": 0,
 "policy-limits": {"cancel": true, "connect-timeout-ms": 250.0, "max-attempts": 5,
  "max-retry-after-ms": 2000.0, "may-tell": false, "probing": true, "retry-after": false,
  "second-copies": true},
 "prices": {"cross-zone": 0.0},
 "profiles": [{"aim-ms": 2000.0, "credit": 3.0, "deadline-ms": 8000.0, "effect": "read_like",
  "group": "all", "late-worth": 0.2, "streaming": false, "window-ms": 5000.0}],
 "registry-mode": "push",
 "tariffs": [{"cap-depth": 0.0, "concurrency": 0, "hard-rate": 0.0, "quota-rate": 0.0,
  "store-size": 0.0, "value-factor": 1.0}],
 "zone": 0}"#;

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn batch(number: u32, now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = number.to_be_bytes().to_vec();
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(now.to_be_bytes());
    frame.extend(body);
    frame
}

fn context(instance: u16) -> Vec<u8> {
    record(6, &[&instance.to_be_bytes()])
}

fn create(settings: &str) -> Vec<u8> {
    record(3, &[&7u64.to_be_bytes(), &(settings.len() as u32).to_be_bytes(), settings.as_bytes()])
}

/// An endpoint list with one ready backend.
fn endpoint_list(list: u8, backend: u32) -> Vec<u8> {
    let entry = [&[1u8][..], &backend.to_be_bytes(), &[0, 0, 0], &[0; 8], &1f32.to_be_bytes(), &[0]].concat();
    record(7, &[&[list], &1u32.to_be_bytes(), &entry])
}

fn endpoints_updated(scope: u8, list: u8) -> Vec<u8> {
    record(1, &[&[scope], &1u32.to_be_bytes(), &[list]])
}

fn request(id: u64, deadline_ms: f64, trailing: &[u8]) -> Vec<u8> {
    let (two, unused) = (2f32.to_be_bytes(), 0f32.to_be_bytes());
    let id = id.to_be_bytes();
    let (plan, class) = ([0u8; 2], [0u8]);
    let customer = 5u64.to_be_bytes();
    record(
        10,
        &[&id, &two, &unused, &[0], &plan, &two, &deadline_ms.to_be_bytes(), &class, &customer, trailing],
    )
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter closes its input early on malformed frames, so the write can fail.
    let _ = child.stdin.take().expect("input").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn reply(number: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    [&number.to_be_bytes()[..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn reply_context(instance: u16) -> Vec<u8> {
    record(4, &[&instance.to_be_bytes()])
}

#[test]
fn empty_batches_are_answered_until_the_end_of_input() {
    let output = run(&[batch(1, 0.0, &[]), batch(2, 1.0, &[])].concat());
    assert!(output.status.success());
    assert_eq!(output.stdout, [reply(1, &[]), reply(2, &[])].concat());
    assert!(run(&[]).status.success());
}

#[test]
fn request_gives_the_exact_reply() {
    let records = [
        context(3),
        create(SETTINGS),
        endpoint_list(0, 77),
        endpoints_updated(2, 0),
        request(9, 5_000.0, b"later fields"),
    ];
    let output = run(&batch(12, 1_000.0, &records));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let deadline = record(2, &[&(9u64 << 2).to_be_bytes(), &4_996f64.to_be_bytes()]);
    let sent = record(6, &[&9u64.to_be_bytes(), &77u32.to_be_bytes(), &0f64.to_be_bytes()]);
    let expected = reply(12, &[reply_context(3), deadline, sent]);
    assert_eq!(output.stdout[..expected.len() - 4][8..], expected[8..expected.len() - 4]);
}

#[test]
fn lists_resolve_in_order_and_killed_gateways_restart() {
    let records = [
        context(0),
        create(SETTINGS),
        endpoint_list(0, 1),
        endpoints_updated(2, 0),
        endpoint_list(0, 2),
        endpoints_updated(1, 0),
        request(1, 5_000.0, &[]),
        record(5, &[]),
        create(SETTINGS),
        endpoints_updated(2, 0),
        request(1, 5_000.0, &[]),
    ];
    let output = run(&batch(0, 1_000.0, &records));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let sent = [1u64.to_be_bytes().as_slice(), &2u32.to_be_bytes()].concat();
    let count = output.stdout.windows(sent.len()).filter(|w| *w == sent).count();
    assert_eq!(count, 2, "before and after the restart, requests go to the backend of the later list");
}

#[test]
fn malformed_input_is_reported_and_ends_the_adapter() {
    let missing_key = SETTINGS.replace("\"group-size\": 2,", "");
    let invalid_index = SETTINGS.replace("\"me\": 0", "\"me\": 9");
    let cases: [(Vec<u8>, &str); 10] = [
        (vec![0; 7], "batch header"),
        (batch(1, f64::NAN, &[]), "clock"),
        (batch(1, 0.0, &[context(0)])[..24].to_vec(), "ends after"),
        (batch(1, 0.0, &[context(0), record(99, &[])]), "unknown event code 99"),
        (batch(1, 0.0, &[context(0), record(10, &[&[0; 8]])]), "NewRequest"),
        (batch(1, 0.0, &[create(SETTINGS)]), "before any Context"),
        (batch(1, 0.0, &[context(0), create("{")]), "not JSON"),
        (batch(1, 0.0, &[context(0), create(&missing_key)]), "group-size: missing"),
        (batch(1, 0.0, &[context(0), create(&invalid_index)]), "setting gateways"),
        (batch(1, 0.0, &[context(4), request(1, 9.0, &[])]), "instance 4"),
    ];
    for (input, message) in cases {
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{message}");
        assert!(stderr.contains(message), "{message}: {stderr}");
        assert!(output.stdout.is_empty(), "{message}");
    }
}
