//! The state directory that the processes of one gateway share: its file names and file contents, compared
//! with those written by an earlier version of the program (`tests/data/state`).

#[path = "support/gateway_rig.rs"]
mod gateway_rig;
#[path = "support/recorded.rs"]
mod recorded;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

use gateway_rig::loopback_address::unused_loopback_address;
use gateway_rig::*;
use serde_json::{json, Value};

/// Name of the state directory of a gateway that listens on `127.0.0.1:0`.
const STATE_DIRECTORY: &str = "slatelock-127.0.0.1_0";
/// Length of the magic number and the version at the start of a file, in bytes.
const MAGIC_AND_VERSION: usize = 6;
/// Length of the checksum that follows, in bytes.
const CHECKSUM: usize = 32;
/// A customer of the plan with a quota, in the form used in requests.
const CUSTOMER: &str = "00000000b4d65521";

/// A gateway with three backends, a state directory and a management address.
struct ManagedGateway {
    rig: Rig,
    management: SocketAddr,
}

impl ManagedGateway {
    fn start(parent: &Path) -> ManagedGateway {
        ManagedGateway::start_with(parent, |_| {})
    }

    fn start_with(parent: &Path, change: impl FnOnce(&mut Value)) -> ManagedGateway {
        let management = unused_loopback_address();
        let change = |config: &mut Value| {
            config["management"] = json!(management.to_string());
            change(config);
        };
        let rig = Rig::with_command(3, change, |command: &mut Command| {
            command.env("TMPDIR", parent);
        });
        ManagedGateway { rig, management }
    }

    /// Sends a management command and returns the response.
    fn send_command(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.management).expect("connect to the gateway");
        stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
        stream.write_all(format!("{line}\n").as_bytes()).expect("write to the socket");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("read the response");
        answer
    }

    /// Sends a management command that must succeed.
    fn expect_success(&self, line: &str) {
        let answer = self.send_command(line);
        assert!(answer.starts_with("SUCCESS"), "{line}: {answer}");
    }
}

/// Returns the sorted file names in a directory, with process numbers replaced by `N` and without duplicates.
fn file_names(directory: &Path) -> Vec<String> {
    let name = |entry: fs::DirEntry| entry.file_name().to_string_lossy().into_owned();
    let without_number = |name: String| match name.rsplit_once('-') {
        Some((kind, number)) if number.parse::<u64>().is_ok() => format!("{kind}-N"),
        _ => name,
    };
    let mut all: Vec<String> = fs::read_dir(directory)
        .expect("read the state directory")
        .flatten()
        .map(name)
        .map(without_number)
        .collect();
    all.sort();
    all.dedup();
    all
}

/// Reader of a state file's body: integers are varints, strings have a length prefix, floats are 8 bytes in
/// little-endian order.
struct BodyReader<'a>(&'a [u8]);

impl BodyReader<'_> {
    fn byte(&mut self) -> u8 {
        let (first, rest) = self.0.split_first().expect("another byte");
        self.0 = rest;
        *first
    }

    fn varint(&mut self) -> u64 {
        let (mut value, mut shift) = (0, 0);
        loop {
            let byte = self.byte();
            value |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return value;
            }
            shift += 7;
        }
    }

    fn text(&mut self) -> String {
        let length = self.varint();
        String::from_utf8((0..length).map(|_| self.byte()).collect()).expect("UTF-8 text")
    }

    fn float(&mut self) -> f64 {
        f64::from_le_bytes(std::array::from_fn(|_| self.byte()))
    }

    fn names_and_times(&mut self) -> Vec<(String, f64)> {
        let length = self.varint();
        (0..length).map(|_| (self.text(), self.float())).collect()
    }
}

/// Fields of a `book` file, without the values of the times.
#[derive(Debug, PartialEq)]
struct BookFields {
    header: Vec<u8>,
    length: usize,
    revision: u64,
    bans: Vec<String>,
    returns: Vec<String>,
    drained: bool,
}

fn book_fields(bytes: &[u8]) -> BookFields {
    let mut body = BodyReader(&bytes[MAGIC_AND_VERSION + CHECKSUM..]);
    let revision = body.varint();
    let bans = body.names_and_times();
    let returns = body.names_and_times();
    let drained = body.byte() == 1;
    let times = bans.iter().chain(&returns).map(|(_, at)| *at);
    let times: Vec<f64> = times.chain(drained.then(|| body.float())).collect();
    assert!(times.iter().all(|at| *at > 1.0e12), "Unix times in ms: {times:?}");
    assert!(body.0.is_empty(), "bytes after the last field");
    let names = |all: Vec<(String, f64)>| all.into_iter().map(|(name, _)| name).collect();
    let header = bytes[..MAGIC_AND_VERSION].to_vec();
    BookFields { header, length: bytes.len(), revision, bans: names(bans), returns: names(returns), drained }
}

#[test]
fn book_after_same_commands_has_recorded_fields_and_length() {
    let parent = tempfile::tempdir().expect("create a temporary directory");
    let managed = ManagedGateway::start(parent.path());
    for command in ["DISABLE s-0", "DISABLE s-1", "ENABLE s-1", "DRAIN"] {
        managed.expect_success(command);
    }
    let directory = parent.path().join(STATE_DIRECTORY);
    assert_eq!(file_names(&directory), ["book", "book.lock", "life-N"]);
    let drained = fs::read(directory.join("book")).expect("read the state file");
    assert!(book_fields(&drained).drained);
    managed.expect_success("UNDRAIN");
    let written = fs::read(directory.join("book")).expect("read the state file");
    let _ = fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join("book"), &written);
    let recorded = fs::read(recorded::path("state/book")).expect("recorded file");
    assert_eq!(book_fields(&written), book_fields(&recorded));
    assert_eq!(drained.len(), written.len() + size_of::<f64>());
}

/// Returns the files with unreported charges that terminated processes left in a state directory.
fn unreported_files(directory: &Path) -> Vec<PathBuf> {
    let files =
        fs::read_dir(directory).expect("read the state directory").flatten().map(|entry| entry.path());
    files
        .filter(|path| path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("untold-")))
        .collect()
}

#[test]
fn unreported_charges_file_has_recorded_bytes() {
    let parent = tempfile::tempdir().expect("create a temporary directory");
    let directory = parent.path().join(STATE_DIRECTORY);
    // This process is alive but stopped, so it takes no charges over.
    let other = ManagedGateway::start(parent.path());
    let stopped = other.rig.gateway.pid().to_string();
    assert!(Command::new("kill").args(["-STOP", &stopped]).status().expect("run kill").success());
    // The counter is unreachable, so the charge stays unreported.
    let unreachable = unused_loopback_address();
    let mut leaving = ManagedGateway::start_with(parent.path(), |config| {
        config["counter"] = json!(unreachable.to_string());
    });
    let mut client = leaving.rig.gateway.client();
    let mut request = request_args(1, "safe", "paid", 3, 8000);
    request[1] = CUSTOMER.to_string();
    client.send(&as_strs(&request));
    leaving.rig.next_request().1.serve("fine");
    assert_eq!(client.read(), "fine");
    leaving.rig.gateway.terminate();
    assert!(leaving.rig.gateway.wait_for_exit().success());
    let unreported = unreported_files(&directory);
    assert_eq!(unreported.len(), 1, "{:?}", file_names(&directory));
    let written = fs::read(&unreported[0]).expect("read the state file");
    let _ = fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join("untold-1"), &written);
    assert_eq!(written, fs::read(recorded::path("state/untold-1")).expect("recorded file"));
    assert_eq!(file_names(&directory), ["life-N", "untold-N"]);
}

#[test]
fn state_directory_of_earlier_version_is_applied() {
    let parent = tempfile::tempdir().expect("create a temporary directory");
    let directory = parent.path().join(STATE_DIRECTORY);
    fs::create_dir_all(&directory).expect("create the directory");
    for name in ["book", "untold-1"] {
        fs::copy(recorded::path("state").join(name), directory.join(name)).expect("recorded file");
    }
    // File of a process that no longer runs.
    fs::write(directory.join("life-1"), "").expect("write the file");
    let managed = ManagedGateway::start(parent.path());
    let mut client = managed.rig.gateway.client();
    for id in 1..9 {
        assert_ne!(managed.rig.serve_one(&mut client, id).0, 0, "the ban was not restored");
    }
    assert_eq!(managed.send_command("DISABLE s-0"), "SUCCESS s-0 was banned already\r\n");
    assert_eq!(managed.send_command("ENABLE s-1"), "SUCCESS s-1 was not banned\r\n");
    assert_eq!(managed.send_command("UNDRAIN"), "SUCCESS was not drained\r\n");
    let begun = Instant::now();
    while file_names(&directory) != ["book", "book.lock", "life-N"] {
        assert!(begun.elapsed() < MESSAGE_TIMEOUT, "{:?}", file_names(&directory));
        sleep(Duration::from_millis(5));
    }
    assert!(!directory.join("life-1").exists());
    // The customer's next counter call reports the three units of the charge left behind and its own one
    // unit; a little less, as the token bucket has refilled in between.
    let mut request = request_args(100, "safe", "paid", 1, 8000);
    request[1] = CUSTOMER.to_string();
    client.send(&as_strs(&request));
    let mut counter_call = managed.rig.counter.next();
    assert_eq!(counter_call.words[0], "bump");
    let reported: f64 = counter_call.words[2].parse().expect("number");
    assert!(reported > 3.5 && reported <= 4.0, "{:?}", counter_call.words);
    counter_call.reply("ok 4\r\n");
    managed.rig.next_request().1.serve("fine");
    assert_eq!(client.read(), "fine");
}
