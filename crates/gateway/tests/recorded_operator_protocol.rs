//! Responses of the management address and the admin listener, which operators' tools and the agent parse,
//! compared byte by byte with those of an earlier version of the program (`tests/data`).

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

/// Keys whose values differ between runs, as they depend on the process, its build or the machine.
const VOLATILE: [&str; 5] = ["boot", "version", "address", "client_connections", "warmth"];

/// Sends bytes to a management address, then shuts down sending if `shut_down` is set, and returns the
/// response.
fn response_to(management: SocketAddr, bytes: &[u8], shut_down: bool) -> String {
    let mut stream = TcpStream::connect(management).expect("connect to the gateway");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    stream.write_all(bytes).expect("write to the socket");
    if shut_down {
        stream.shutdown(Shutdown::Write).expect("socket is open");
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("read the response");
    answer.escape_ascii().to_string()
}

#[test]
fn management_commands_get_recorded_responses() {
    let management = unused_loopback_address();
    let mut rig = Rig::with_config(2, |config| config["management"] = json!(management.to_string()));
    let long_id = format!("DISABLE {}", "x".repeat(254));
    let long_line = "x".repeat(16 * 1024 + 1);
    let commands = [
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
    let mut actual = String::new();
    for line in commands {
        let shown: String = line.chars().take(24).collect();
        let answer = response_to(management, format!("{line}\n").as_bytes(), false);
        writeln!(actual, "{shown:?} -> {answer}").expect("write to a string");
    }
    for (bytes, shut_down) in [(&b"DISABLE \xff\xfe\n"[..], false), (b"DRA", true), (b"", true)] {
        writeln!(actual, "{} -> {}", bytes.escape_ascii(), response_to(management, bytes, shut_down))
            .expect("write to a string");
    }
    // After SIGTERM, with an open request that keeps the process running.
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    rig.gateway.terminate();
    let mut last = response_to(management, b"READY\n", false);
    while last == "SUCCESS ready\\r\\n" {
        last = response_to(management, b"READY\n", false);
    }
    writeln!(actual, "READY after SIGTERM -> {last}").expect("write to a string");
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert!(rig.gateway.wait_for_exit().success());
    recorded::assert_recorded("second_address.txt", &actual);
}

/// Writes an operator configuration whose admin listener is a Unix socket in a directory. Returns the paths
/// of the file and the socket.
fn operator_file(directory: &tempfile::TempDir) -> (PathBuf, PathBuf) {
    let (file, socket) = (directory.path().join("operator.toml"), directory.path().join("admin.sock"));
    std::fs::write(&file, format!("[admin]\nlisten = \"unix:{}\"\n", socket.display()))
        .expect("write the file");
    (file, socket)
}

#[test]
fn admin_messages_of_earlier_agent_get_recorded_answers() {
    let directory = tempfile::tempdir().expect("create a temporary directory");
    let (file, socket) = operator_file(&directory);
    let rig = Rig::with_command(
        2,
        |_| {},
        |command| {
            command.arg("--operator").arg(&file);
        },
    );
    // One request is in flight, at the only backend that was on the list when it arrived.
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let mut arrived = rig.backends[0].next();
    rig.agent.deliver(&list(42, true, &[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]));
    let mut stream = UnixStream::connect(&socket).expect("connect to the gateway");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    let mut answers = BufReader::new(stream.try_clone().expect("duplicate the handle"));
    let mut actual = String::new();
    for message in recorded::text("admin_asks.jsonl").lines() {
        stream.write_all(format!("{message}\n").as_bytes()).expect("write to the socket");
        let mut answer = String::new();
        answers.read_line(&mut answer).expect("read the response");
        actual += &recorded::mask(&answer, &VOLATILE);
    }
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    recorded::assert_recorded("admin_answers.jsonl", &actual);
}

#[test]
fn overlong_admin_line_gets_error_and_closes_connection() {
    let directory = tempfile::tempdir().expect("create a temporary directory");
    let (file, socket) = operator_file(&directory);
    let _rig = Rig::with_command(
        1,
        |_| {},
        |command| {
            command.arg("--operator").arg(&file);
        },
    );
    let stream = UnixStream::connect(&socket).expect("connect to the gateway");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    let mut writes = stream.try_clone().expect("duplicate the handle");
    // The gateway may stop reading before the whole line is written.
    let writer = std::thread::spawn(move || drop(writes.write_all(&vec![b'x'; (4 << 20) + 1])));
    let mut answers = BufReader::new(stream).lines();
    let answer = answers.next().expect("read the response").expect("read a line");
    assert!(answers.next().is_none_or(|end| end.is_err()), "the connection stays open");
    writer.join().expect("writer thread");
    recorded::assert_recorded("admin_long_line.jsonl", &format!("{answer}\n"));
}

#[test]
fn management_address_in_use_is_reported_at_start() {
    let management = unused_loopback_address();
    let _taken = std::net::TcpListener::bind(management).expect("bind the address");
    let mut config = config(unused_loopback_address(), unused_loopback_address(), &[]);
    config["management"] = json!(management.to_string());
    let (process, _file) = spawn_gateway(&config.to_string());
    let output = process.wait_with_output().expect("child process");
    assert!(!output.status.success() && output.stdout.is_empty());
    let text = String::from_utf8(output.stderr).expect("UTF-8 text");
    let text = text.replace(&management.to_string(), "ADDRESS");
    assert_eq!(text, "admission-gateway: management: ADDRESS: Address already in use (os error 98)\n");
}
