//! Versions, deltas and tombstones of the endpoint list.

use super::*;

fn listed(name: &str, port: u16) -> (String, ListedEndpoint) {
    let endpoint = ListedEndpoint {
        name: name.to_string(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: String::new(),
        instance_type: String::new(),
        group: 0,
        status: ListedStatus::Serving,
        weight: 1.0,
        priority: 0,
        since_ms: 0.0,
        unknown: Vec::new(),
    };
    (name.to_string(), endpoint)
}

fn status_name(status: ListedStatus) -> &'static str {
    match status {
        ListedStatus::Serving => "SERVING",
        ListedStatus::Draining => "DRAINING",
        ListedStatus::Deleted => "DELETED",
    }
}

/// Returns whether the update is a snapshot, and its endpoints as `NAME:STATUS`.
fn update_after(table: &EndpointTable, after: Option<u64>) -> (bool, Vec<String>) {
    let update = table.updates_after(after);
    (
        update.snapshot,
        update.endpoints.iter().map(|e| format!("{}:{}", e.name, status_name(e.status))).collect(),
    )
}

#[test]
fn readers_get_the_delta_since_their_version() {
    let mut table = EndpointTable::new(100);
    assert!(!table.is_known());
    assert!(table.replace([listed("a", 1), listed("b", 2)].into()));
    let first = table.index();
    assert!(!table.differs(&[listed("a", 1), listed("b", 2)].into()));
    assert!(!table.replace([listed("a", 1), listed("b", 2)].into()));
    assert!(
        table.differs(&[listed("a", 1)].into()) && table.differs(&[listed("a", 1), listed("b", 3)].into())
    );
    assert!(table.is_current(first));
    assert!(table.replace([listed("b", 3), listed("c", 4)].into()));
    let delta = |endpoints: &[&str]| (false, endpoints.iter().map(ToString::to_string).collect::<Vec<_>>());
    assert_eq!(update_after(&table, Some(first)), delta(&["a:DELETED", "b:SERVING", "c:SERVING"]));
    assert_eq!(update_after(&table, Some(table.index())), delta(&[]));
    assert_eq!(update_after(&table, None), (true, vec!["b:SERVING".to_string(), "c:SERVING".to_string()]));
    // Versions of another start of the agent, older or newer.
    assert!(update_after(&table, Some(7)).0 && update_after(&table, Some(table.index() + 1)).0);
    assert!(table.replace([listed("a", 1), listed("b", 3), listed("c", 4)].into()));
    assert_eq!(update_after(&table, Some(table.index() - 1)), delta(&["a:SERVING"]));
}

#[test]
fn empty_list_is_known_once_replaced() {
    let mut table = EndpointTable::new(0);
    assert!(table.replace(BTreeMap::new()) && table.is_known());
    assert!(!table.replace(BTreeMap::new()));
}

#[test]
fn tombstones_are_bounded_and_older_readers_get_a_snapshot() {
    let mut table = EndpointTable::new(0);
    for i in 0..(MAX_TOMBSTONES / 50 + 3) as u64 {
        table.replace((0..50).map(|n| listed(&format!("x{i}-{n}"), 1)).collect());
    }
    assert!(table.entries.len() <= MAX_TOMBSTONES + 50, "{}", table.entries.len());
    assert!(table.updates_after(Some(1)).snapshot);
    assert!(!table.updates_after(Some(table.index() - 1)).snapshot);
}
