//! What operators' tools and the agent read: the lines of the second address and of the admin listener, word
//! for word as an earlier program said them (`tests/data`).

#[path = "support/gateway_rig.rs"]
mod gateway_rig;
#[path = "support/recorded.rs"]
mod recorded;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

use gateway_rig::loopback_address::unused_loopback_address;
use gateway_rig::*;
use serde_json::json;

/// Values that differ from run to run: of the process, of its build and of the machine.
const VOLATILE: [&str; 5] = ["boot", "version", "address", "client_connections", "warmth"];

/// What is said to some bytes, after which the caller ends its sending if it `cuts` them short.
fn said(at: SocketAddr, bytes: &[u8], cuts: bool) -> String {
    let mut stream = TcpStream::connect(at).expect("connect to the gateway");
    stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
    stream.write_all(bytes).expect("write to the socket");
    if cuts {
        stream.shutdown(Shutdown::Write).expect("socket is open");
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("read the response");
    answer.escape_ascii().to_string()
}

#[test]
fn calls_at_the_second_address_are_answered_with_the_recorded_lines() {
    let at = unused_loopback_address();
    let mut rig = Rig::with_config(2, |config| config["management"] = json!(at.to_string()));
    let long_id = format!("DISABLE {}", "x".repeat(254));
    let long_line = "x".repeat(16 * 1024 + 1);
    let calls = [
        "READY",
        "ready",
        "\tREADY \r",
        "DISABLE s-0",
        "DISABLE s-0",
        "disable s-1",
        "ENABLE s-0",
        "ENABLE s-0",
        "ENABLE  s-1",
        "DISABLE nobody",
        "ENABLE nobody",
        "DRAIN",
        "DRAIN",
        "READY",
        "UNDRAIN",
        "UNDRAIN",
        "READY",
        "",
        " ",
        "REBOOT",
        "DISABLE",
        "ENABLE",
        "READY now",
        "DRAIN now",
        "DISABLE s-0 s-1",
        "READY\u{7}",
        "DISABLE \u{fc}",
        &long_id,
        &long_line,
    ];
    let mut seen = String::new();
    for call in calls {
        let shown: String = call.chars().take(24).collect();
        let answer = said(at, format!("{call}\n").as_bytes(), false);
        writeln!(seen, "{shown:?} -> {answer}").expect("write to a string");
    }
    for (bytes, cuts) in [(&b"DISABLE \xff\xfe\n"[..], false), (b"DRA", true), (b"", true)] {
        writeln!(seen, "{} -> {}", bytes.escape_ascii(), said(at, bytes, cuts)).expect("write to a string");
    }
    // One that was told to end, with a request that keeps it.
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    rig.gateway.terminate();
    let mut last = said(at, b"READY\n", false);
    while last == "SUCCESS ready\\r\\n" {
        last = said(at, b"READY\n", false);
    }
    writeln!(seen, "READY after SIGTERM -> {last}").expect("write to a string");
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert!(rig.gateway.wait_for_exit().success());
    recorded::assert_recorded("second_address.txt", &seen);
}

/// An operator's file whose admin listener is a socket in a folder, and the socket.
fn operator_file(folder: &tempfile::TempDir) -> (PathBuf, PathBuf) {
    let (file, socket) = (folder.path().join("operator.toml"), folder.path().join("admin.sock"));
    std::fs::write(&file, format!("[admin]\nlisten = \"unix:{}\"\n", socket.display()))
        .expect("write the file");
    (file, socket)
}

#[test]
fn an_old_agents_lines_are_answered_with_the_recorded_ones() {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let (file, socket) = operator_file(&folder);
    let rig = Rig::with_command(
        2,
        |_| {},
        |command| {
            command.arg("--operator").arg(&file);
        },
    );
    // One request is in flight, at the backend that was alone on the list when it came.
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let mut arrived = rig.backends[0].next();
    rig.agent.tell(&list(42, true, &[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]));
    let mut stream = UnixStream::connect(&socket).expect("connect to the gateway");
    stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
    let mut answers = BufReader::new(stream.try_clone().expect("duplicate the handle"));
    let mut seen = String::new();
    for ask in recorded::text("admin_asks.jsonl").lines() {
        stream.write_all(format!("{ask}\n").as_bytes()).expect("write to the socket");
        let mut answer = String::new();
        answers.read_line(&mut answer).expect("read the response");
        seen += &recorded::mask(&answer, &VOLATILE);
    }
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    recorded::assert_recorded("admin_answers.jsonl", &seen);
}

#[test]
fn a_line_that_is_too_long_is_told_so_and_ends_the_connection() {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let (file, socket) = operator_file(&folder);
    let _rig = Rig::with_command(
        1,
        |_| {},
        |command| {
            command.arg("--operator").arg(&file);
        },
    );
    let stream = UnixStream::connect(&socket).expect("connect to the gateway");
    stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
    let mut writes = stream.try_clone().expect("duplicate the handle");
    // It may stop reading before all of it is written.
    let writer = std::thread::spawn(move || drop(writes.write_all(&vec![b'x'; (4 << 20) + 1])));
    let mut answers = BufReader::new(stream).lines();
    let answer = answers.next().expect("read the response").expect("read a line");
    assert!(answers.next().is_none_or(|end| end.is_err()), "it goes on");
    writer.join().expect("it wrote");
    recorded::assert_recorded("admin_long_line.jsonl", &format!("{answer}\n"));
}

#[test]
fn a_start_at_a_second_address_that_is_taken_says_so() {
    let at = unused_loopback_address();
    let _taken = std::net::TcpListener::bind(at).expect("nobody has it");
    let mut config = config(unused_loopback_address(), unused_loopback_address(), &[]);
    config["management"] = json!(at.to_string());
    let (process, _file) = spawn_gateway(&config.to_string());
    let output = process.wait_with_output().expect("child process");
    assert!(!output.status.success() && output.stdout.is_empty());
    let text = String::from_utf8(output.stderr).expect("UTF-8 text");
    let text = text.replace(&at.to_string(), "ADDRESS");
    assert_eq!(text, "admission-gateway: management: ADDRESS: Address already in use (os error 98)\n");
}
