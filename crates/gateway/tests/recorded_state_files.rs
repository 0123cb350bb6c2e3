//! The folder that the processes of one gateway share: names of its files, and their bytes, as an earlier
//! program wrote them (`tests/data/state`).

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

/// The folder of a gateway that listens at `127.0.0.1:0`.
const FOLDER: &str = "slatelock-127.0.0.1_0";
/// Bytes of the magic and the version that a file begins with, and of the checksum behind them.
const MAGIC_AND_VERSION: usize = 6;
const CHECKSUM: usize = 32;
/// A customer of the plan with a quota, as requests name it.
const CUSTOMER: &str = "00000000b4d65521";

/// A gateway of three backends over a folder, with a second address.
struct Managed {
    rig: Rig,
    at: SocketAddr,
}

impl Managed {
    fn start(under: &Path) -> Managed {
        Managed::start_with(under, |_| {})
    }

    fn start_with(under: &Path, change: impl FnOnce(&mut Value)) -> Managed {
        let at = unused_loopback_address();
        let change = |config: &mut Value| {
            config["management"] = json!(at.to_string());
            change(config);
        };
        let rig = Rig::with_command(3, change, |command: &mut Command| {
            command.env("TMPDIR", under);
        });
        Managed { rig, at }
    }

    fn say(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.at).expect("connect to the gateway");
        stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
        stream.write_all(format!("{line}\n").as_bytes()).expect("write to the socket");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("read the response");
        answer
    }

    fn yes(&self, line: &str) {
        let answer = self.say(line);
        assert!(answer.starts_with("SUCCESS"), "{line}: {answer}");
    }
}

/// Names in a folder, the numbers of processes replaced by `N`, without doubles.
fn names(folder: &Path) -> Vec<String> {
    let name = |entry: fs::DirEntry| entry.file_name().to_string_lossy().into_owned();
    let plain = |name: String| match name.rsplit_once('-') {
        Some((kind, number)) if number.parse::<u64>().is_ok() => format!("{kind}-N"),
        _ => name,
    };
    let mut all: Vec<String> = fs::read_dir(folder)
        .expect("state directory or file exists")
        .flatten()
        .map(name)
        .map(plain)
        .collect();
    all.sort();
    all.dedup();
    all
}

/// Reads the body of a state: whole numbers as varints, texts with their lengths, numbers of 8 bytes.
struct Body<'a>(&'a [u8]);

impl Body<'_> {
    fn byte(&mut self) -> u8 {
        let (first, rest) = self.0.split_first().expect("a byte more");
        self.0 = rest;
        *first
    }

    fn whole(&mut self) -> u64 {
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
        let length = self.whole();
        String::from_utf8((0..length).map(|_| self.byte()).collect()).expect("UTF-8 text")
    }

    fn number(&mut self) -> f64 {
        f64::from_le_bytes(std::array::from_fn(|_| self.byte()))
    }

    fn names_and_times(&mut self) -> Vec<(String, f64)> {
        let length = self.whole();
        (0..length).map(|_| (self.text(), self.number())).collect()
    }
}

/// A book field by field, without the times themselves.
#[derive(Debug, PartialEq)]
struct BookFields {
    head: Vec<u8>,
    length: usize,
    revision: u64,
    bans: Vec<String>,
    returns: Vec<String>,
    drained: bool,
}

fn book_fields(bytes: &[u8]) -> BookFields {
    let mut body = Body(&bytes[MAGIC_AND_VERSION + CHECKSUM..]);
    let revision = body.whole();
    let bans = body.names_and_times();
    let returns = body.names_and_times();
    let drained = body.byte() == 1;
    let times = bans.iter().chain(&returns).map(|(_, at)| *at);
    let times: Vec<f64> = times.chain(drained.then(|| body.number())).collect();
    assert!(times.iter().all(|at| *at > 1.0e12), "Unix times in ms: {times:?}");
    assert!(body.0.is_empty(), "more than the fields");
    let names = |all: Vec<(String, f64)>| all.into_iter().map(|(name, _)| name).collect();
    let head = bytes[..MAGIC_AND_VERSION].to_vec();
    BookFields { head, length: bytes.len(), revision, bans: names(bans), returns: names(returns), drained }
}

#[test]
fn a_book_written_for_the_same_calls_has_the_recorded_fields_and_length() {
    let under = tempfile::tempdir().expect("create a temporary directory");
    let managed = Managed::start(under.path());
    for call in ["DISABLE s-0", "DISABLE s-1", "ENABLE s-1", "DRAIN"] {
        managed.yes(call);
    }
    let folder = under.path().join(FOLDER);
    assert_eq!(names(&folder), ["book", "book.lock", "life-N"]);
    let drained = fs::read(folder.join("book")).expect("state directory or file exists");
    assert!(book_fields(&drained).drained);
    managed.yes("UNDRAIN");
    let written = fs::read(folder.join("book")).expect("state directory or file exists");
    let _ = fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join("book"), &written);
    let recorded = fs::read(recorded::path("state/book")).expect("recorded file");
    assert_eq!(book_fields(&written), book_fields(&recorded));
    assert_eq!(drained.len(), written.len() + size_of::<f64>());
}

/// The files in a folder that a process that ended left for others.
fn left(folder: &Path) -> Vec<PathBuf> {
    let files =
        fs::read_dir(folder).expect("state directory or file exists").flatten().map(|entry| entry.path());
    files
        .filter(|path| path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("untold-")))
        .collect()
}

#[test]
fn charges_that_a_process_leaves_have_the_recorded_bytes() {
    let under = tempfile::tempdir().expect("create a temporary directory");
    let folder = under.path().join(FOLDER);
    // It lives, but takes nothing over.
    let other = Managed::start(under.path());
    let stopped = other.rig.gateway.pid().to_string();
    assert!(Command::new("kill").args(["-STOP", &stopped]).status().expect("run kill").success());
    // A counter that can't be reached: the charge is told to nobody.
    let nobody = unused_loopback_address();
    let mut ends = Managed::start_with(under.path(), |config| config["counter"] = json!(nobody.to_string()));
    let mut client = ends.rig.gateway.client();
    let mut asked = call(1, "safe", "paid", 3, 8000);
    asked[1] = CUSTOMER.to_string();
    client.send(&words(&asked));
    ends.rig.next_request().1.serve("fine");
    assert_eq!(client.read(), "fine");
    ends.rig.gateway.terminate();
    assert!(ends.rig.gateway.wait_for_exit().success());
    let left = left(&folder);
    assert_eq!(left.len(), 1, "{:?}", names(&folder));
    let written = fs::read(&left[0]).expect("state directory or file exists");
    let _ = fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join("untold-1"), &written);
    assert_eq!(written, fs::read(recorded::path("state/untold-1")).expect("recorded file"));
    assert_eq!(names(&folder), ["life-N", "untold-N"]);
}

#[test]
fn a_folder_that_an_earlier_program_left_is_in_force() {
    let under = tempfile::tempdir().expect("create a temporary directory");
    let folder = under.path().join(FOLDER);
    fs::create_dir_all(&folder).expect("create the directory");
    for name in ["book", "untold-1"] {
        fs::copy(recorded::path("state").join(name), folder.join(name)).expect("recorded file");
    }
    // A process that ended, however it did.
    fs::write(folder.join("life-1"), "").expect("write the file");
    let managed = Managed::start(under.path());
    let mut client = managed.rig.gateway.client();
    for id in 1..9 {
        assert_ne!(managed.rig.serve_one(&mut client, id).0, 0, "the ban is forgotten");
    }
    assert_eq!(managed.say("DISABLE s-0"), "SUCCESS s-0 was banned already\r\n");
    assert_eq!(managed.say("ENABLE s-1"), "SUCCESS s-1 was not banned\r\n");
    assert_eq!(managed.say("UNDRAIN"), "SUCCESS was not drained\r\n");
    let begun = Instant::now();
    while names(&folder) != ["book", "book.lock", "life-N"] {
        assert!(begun.elapsed() < PATIENCE, "{:?}", names(&folder));
        sleep(Duration::from_millis(5));
    }
    assert!(!folder.join("life-1").exists());
    // The customer's next call tells the three units of the charge that was left, and its own; a little less,
    // as the store has filled in between.
    let mut asked = call(100, "safe", "paid", 1, 8000);
    asked[1] = CUSTOMER.to_string();
    client.send(&words(&asked));
    let mut bump = managed.rig.counter.next();
    assert_eq!(bump.words[0], "bump");
    let told: f64 = bump.words[2].parse().expect("number");
    assert!(told > 3.5 && told <= 4.0, "{:?}", bump.words);
    bump.say("ok 4\r\n");
    managed.rig.next_request().1.serve("fine");
    assert_eq!(client.read(), "fine");
}
