//! Compatibility of the log's file format: a recorded log can be read, and new logs hold the same rows.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use agent::{Contents, Log, RegisteredGateway};
use fleet::wire::LoggedOrder;
use fleet::{Change, GuardCounts, Order, Revision, Snapshot, Subject, Value};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};

/// Creation time of the recorded log in Unix seconds, which is the term of its orders.
const TERM: u64 = 1_700_000_000;
/// Rows of the recorded log, one per line: table, key and value, separated by tabs.
const ROWS: &str = include_str!("data/log-form-1.txt");

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const SETTLED: TableDefinition<&str, &[u8]> = TableDefinition::new("settled");
const ORDERS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("orders");
const MEMBERS: TableDefinition<&str, &str> = TableDefinition::new("members");

fn logged_order(seq: u64, subject: Subject, change: Change, forced: bool) -> LoggedOrder {
    let order = Order {
        id: format!("o-{seq}").parse().expect("an id"),
        revision: Revision { term: TERM, seq },
        subject,
        change,
    };
    let counts = GuardCounts { covered: 1, serving: 8, ready: 7, ready_after: 6 };
    LoggedOrder { order, forced, at_ms: TERM * 1_000 + seq, counts }
}

/// The settled orders of the recorded log, and those after them.
fn orders() -> (Vec<LoggedOrder>, Vec<LoggedOrder>) {
    let backend = |name: &str| Subject::Backend(name.parse().expect("a name"));
    let settled = vec![
        logged_order(1, backend("s-1"), Change::Drain, false),
        logged_order(2, Subject::Group(3), Change::Drain, true),
        logged_order(3, Subject::Group(3), Change::Undrain, false),
        logged_order(4, backend("s-2"), Change::Weight(0.25), false),
    ];
    let later = vec![
        logged_order(5, Subject::Type("m2".parse().expect("a name")), Change::Drain, true),
        logged_order(6, Subject::Gateway("n1".parse().expect("a name")), Change::Drain, false),
        logged_order(7, backend("s-1"), Change::Undrain, false),
    ];
    (settled, later)
}

/// Snapshot of the state after the settled orders.
fn snapshot() -> Snapshot {
    let mut desired = fleet::DesiredState::since(Revision { term: TERM, seq: 0 });
    for logged in orders().0 {
        desired.apply(&logged.order);
    }
    desired.compact();
    desired.snapshot()
}

fn write_sample(path: &Path) {
    let (log, _) = Log::open(path).expect("new log");
    let (settled, later) = orders();
    log.append(&settled, Some(&snapshot())).expect("successful write");
    log.append(&later, None).expect("successful write");
    log.add_member("n1", "unix:/run/n1.sock").expect("successful write");
    log.add_member("n2", "tcp:127.0.0.1:7001").expect("successful write");
    log.add_member("n3", "unix:/run/n3.sock").expect("successful write");
    log.remove_member("n3").expect("successful write");
}

/// The names of all tables of a log, and its rows in the form of [`ROWS`].
fn rows(path: &Path) -> (Vec<String>, Vec<String>) {
    let database = Database::open(path).expect("a database");
    let read = database.begin_read().expect("a transaction");
    let mut tables: Vec<String> =
        read.list_tables().expect("tables").map(|table| table.name().to_string()).collect();
    tables.sort();
    let mut rows = Vec::new();
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("a text");
    for row in read.open_table(MEMBERS).expect("a table").iter().expect("rows") {
        let (key, value) = row.expect("a row");
        rows.push(format!("members\t{}\t{}", key.value(), value.value()));
    }
    for row in read.open_table(META).expect("a table").iter().expect("rows") {
        let (key, value) = row.expect("a row");
        rows.push(format!("meta\t{}\t{}", key.value(), value.value()));
    }
    for row in read.open_table(ORDERS).expect("a table").iter().expect("rows") {
        let (key, value) = row.expect("a row");
        rows.push(format!("orders\t{}.{}\t{}", key.value().0, key.value().1, text(value.value())));
    }
    for row in read.open_table(SETTLED).expect("a table").iter().expect("rows") {
        let (key, value) = row.expect("a row");
        rows.push(format!("settled\t{}\t{}", key.value(), text(value.value())));
    }
    (tables, rows)
}

fn recorded_copy(directory: &Path) -> PathBuf {
    let path = directory.join("log");
    let recorded = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/log-form-1.redb");
    fs::copy(recorded, &path).expect("the recorded log");
    path
}

#[test]
fn recorded_log_is_read() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = recorded_copy(directory.path());
    let (log, contents) = Log::open(&path).expect("valid log");
    drop(log);
    let Contents { desired, newest, orders: read, members } = contents;
    let (mut expected, later) = orders();
    expected.extend(later);
    assert_eq!(read, expected);
    assert_eq!(newest, Revision { term: TERM, seq: 7 });
    let member = |name: &str, address: &str| RegisteredGateway {
        name: name.to_string(),
        address: address.to_string(),
    };
    assert_eq!(members, [member("n1", "unix:/run/n1.sock"), member("n2", "tcp:127.0.0.1:7001")]);
    let state = desired.snapshot();
    assert_eq!(state.since, Revision { term: TERM, seq: 0 });
    assert_eq!(state.floor, Revision { term: TERM, seq: 4 });
    let held: BTreeMap<String, (u64, Value)> = state
        .registers
        .iter()
        .map(|register| (register.subject.to_string(), (register.revision.seq, register.value)))
        .collect();
    let expected = [
        ("backend/s-1", (7, Value::Drained(false))),
        ("backend/s-2", (4, Value::Weight(0.25))),
        ("gateway/n1", (6, Value::Drained(true))),
        ("type/m2", (5, Value::Drained(true))),
    ];
    assert_eq!(held, expected.into_iter().map(|(subject, value)| (subject.to_string(), value)).collect());
    // Reading must not change any row.
    assert_eq!(rows(&path).1, ROWS.lines().collect::<Vec<_>>());
}

#[test]
fn new_log_holds_the_recorded_rows() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = directory.path().join("log");
    write_sample(&path);
    let (tables, written) = rows(&path);
    assert_eq!(tables, ["members", "meta", "orders", "settled"]);
    let is_term = |row: &&str| row.starts_with("meta\tterm\t");
    let written: Vec<&str> = written.iter().map(String::as_str).collect();
    // Only the term, which is the log's creation time, differs from the recorded rows.
    let terms: Vec<&&str> = written.iter().filter(|row| is_term(row)).collect();
    let term: u64 = terms[0].rsplit('\t').next().and_then(|text| text.parse().ok()).expect("a number");
    assert!(terms.len() == 1 && term > TERM, "{terms:?}");
    let written: Vec<&str> = written.iter().copied().filter(|row| !is_term(row)).collect();
    assert_eq!(written, ROWS.lines().filter(|row| !is_term(row)).collect::<Vec<_>>());
}

#[test]
fn orders_are_appended_to_a_recorded_log() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = recorded_copy(directory.path());
    let (log, _) = Log::open(&path).expect("valid log");
    log.append(&[logged_order(8, Subject::Group(4), Change::Drain, false)], None).expect("successful write");
    log.remove_member("n2").expect("successful write");
    drop(log);
    let (_, contents) = Log::open(&path).expect("valid log");
    assert_eq!(contents.newest, Revision { term: TERM, seq: 8 });
    assert_eq!(contents.orders.len(), 8);
    assert_eq!(contents.members.len(), 1);
}

#[test]
fn open_errors_match_recorded_messages() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let path = recorded_copy(directory.path());
    {
        let database = Database::open(&path).expect("a database");
        let write = database.begin_write().expect("a transaction");
        write.open_table(META).expect("a table").insert("form", 2).expect("successful write");
        write.commit().expect("successful write");
    }
    let message = Log::open(&path).expect_err("unsupported format").to_string();
    assert_eq!(message, format!("{}: form 2 of the log; this program reads form 1", path.display()));

    let path = recorded_copy(directory.path());
    let (open_log, _) = Log::open(&path).expect("valid log");
    let message = Log::open(&path).expect_err("in use").to_string();
    assert_eq!(message, format!("{}: another agent has it open", path.display()));
    drop(open_log);

    {
        let database = Database::open(&path).expect("a database");
        let write = database.begin_write().expect("a transaction");
        let misplaced =
            serde_json::to_vec(&logged_order(9, Subject::Group(4), Change::Drain, false)).expect("JSON");
        write
            .open_table(ORDERS)
            .expect("a table")
            .insert((TERM, 8), misplaced.as_slice())
            .expect("successful write");
        write.commit().expect("successful write");
    }
    let message = Log::open(&path).expect_err("damaged").to_string();
    assert_eq!(
        message,
        format!(
            "{}: the log is damaged: order {TERM}.8 stands in another's place; put a copy in its place, or \
             move it away and order anew: gateways keep what they hold until then",
            path.display()
        )
    );
}
