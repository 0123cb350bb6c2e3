use super::*;
use fleet::{Change, Order, Revision};
use serde_json::json;

fn endpoint(name: &str, status: Status) -> Endpoint {
    endpoint_with(name, status, &serde_json::json!({}))
}

/// Returns an endpoint as parsed from a list, with these fields replaced.
fn endpoint_with(name: &str, status: Status, fields: &serde_json::Value) -> Endpoint {
    let mut entry = serde_json::json!({
        "name": name, "address": "127.0.0.1:1", "zone": "zone-a", "type": "type-a", "group": 3,
        "status": status, "weight": 1.0, "since_ms": 0.0
    });
    for (field, value) in fields.as_object().expect("an object") {
        entry[field] = value.clone();
    }
    serde_json::from_value(entry).expect("a valid entry")
}

fn order(desired: &mut DesiredState, seq: u64, subject: &str, change: Change) {
    let (id, revision) = (format!("o{seq}").parse().expect("an id"), Revision { term: 1, seq });
    desired.apply(&Order { id, revision, subject: subject.parse().expect("a subject"), change });
}

fn orders_only(desired: &DesiredState) -> Overrides<'_> {
    static NONE: std::sync::OnceLock<MaintenanceState> = std::sync::OnceLock::new();
    Overrides { desired, maintenance: NONE.get_or_init(MaintenanceState::default) }
}

fn state(table: &BackendTable, name: &str) -> EndpointState {
    table.policy_endpoint(&table.rows[name], &[]).state
}

#[test]
fn discovery_draining_overrides_undrain_and_drain_order_overrides_serving() {
    let (mut table, mut desired) = (BackendTable::new(), DesiredState::default());
    order(&mut desired, 1, "a", Change::Drain);
    order(&mut desired, 2, "b", Change::Undrain);
    table.update(endpoint("a", Status::Serving), orders_only(&desired), &[]);
    table.update(endpoint("b", Status::Draining), orders_only(&desired), &[]);
    assert_eq!((state(&table, "a"), state(&table, "b")), (EndpointState::Draining, EndpointState::Draining));
    order(&mut desired, 3, "a", Change::Undrain);
    let changed = table.apply_overrides(orders_only(&desired), &[]);
    assert_eq!(changed.len(), 1);
    assert_eq!(state(&table, "a"), EndpointState::Ready);
    // A backend added after a drain order for its cell is drained from the start.
    order(&mut desired, 4, "group/3", Change::Drain);
    table.update(endpoint("c", Status::Serving), orders_only(&desired), &[]);
    assert_eq!(state(&table, "c"), EndpointState::Draining);
    table.update(endpoint("c", Status::Deleted), orders_only(&desired), &[]);
    assert_eq!(state(&table, "c"), EndpointState::Removed);
}

#[test]
fn weight_shares_are_relative_to_the_greatest_weight() {
    let (mut table, mut desired) = (BackendTable::new(), DesiredState::default());
    for name in ["a", "b", "c"] {
        table.update(endpoint(name, Status::Serving), orders_only(&desired), &[]);
    }
    order(&mut desired, 1, "a", Change::Weight(0.5));
    assert_eq!(table.apply_overrides(orders_only(&desired), &[]).len(), 1);
    let share = |table: &BackendTable, name: &str| table.policy_endpoint(&table.rows[name], &[]).weight_share;
    assert_eq!((share(&table, "a"), share(&table, "b")), (0.5, 1.0));
    order(&mut desired, 2, "b", Change::Weight(4.0));
    let changed = table.apply_overrides(orders_only(&desired), &[]);
    assert_eq!(changed.iter().map(|(e, _)| e.id).collect::<Vec<_>>(), [1, 2, 3]);
    let shares = ["a", "b", "c"].map(|n| share(&table, n));
    assert_eq!(shares, [0.125, 1.0, 0.25]);
}

#[test]
fn numbers_of_removed_backends_are_never_reused() {
    let (mut table, desired) = (BackendTable::new(), DesiredState::default());
    let first = table.update(endpoint("a", Status::Serving), orders_only(&desired), &[]).map(|e| e.id);
    table.retain(|_| false);
    assert!(table.update(endpoint("a", Status::Deleted), orders_only(&desired), &[]).is_none());
    let second = table.update(endpoint("a", Status::Serving), orders_only(&desired), &[]).map(|e| e.id);
    assert_ne!(first, second);
}

#[test]
fn ban_outlasts_restart_and_reenabled_backend_warms_up() {
    let (mut table, desired, mut maintenance) =
        (BackendTable::new(), DesiredState::default(), MaintenanceState::default());
    let command = |line: &str| maintenance::Command::parse(line.as_bytes()).expect("a command");
    table.update(endpoint("a", Status::Serving), orders_only(&desired), &[]);
    maintenance.execute(&command("DISABLE a"), true, 5.0).expect("the backend is listed");
    assert_eq!(
        table.apply_overrides(Overrides { desired: &desired, maintenance: &maintenance }, &[]).len(),
        1
    );
    assert_eq!(state(&table, "a"), EndpointState::Draining);
    let restarted = endpoint_with("a", Status::Serving, &json!({"since_ms": 7.0}));
    table.update(restarted, Overrides { desired: &desired, maintenance: &maintenance }, &[]);
    assert_eq!(state(&table, "a"), EndpointState::Draining);
    maintenance.execute(&command("ENABLE a"), true, 9.0).expect("the backend is banned");
    let changed = table.apply_overrides(Overrides { desired: &desired, maintenance: &maintenance }, &[]);
    assert_eq!(changed[0].0.state, EndpointState::Ready);
    assert_eq!((changed[0].0.started_ms, changed[0].0.slow_start_from_ms()), (7.0, 9.0));
}

/// Guards against a drain or a warm-up that ends because the record no longer states the value behind it: by
/// an order on the cell or type, by the status, or by the start time.
#[test]
fn restrictions_outlast_the_values_behind_them() {
    let (mut table, mut desired) = (BackendTable::new(), DesiredState::default());
    order(&mut desired, 1, "group/3", Change::Drain);
    order(&mut desired, 2, "type/old", Change::Drain);
    let listed = |table: &mut BackendTable, name: &str, status, fields| {
        let entry = table.update(endpoint_with(name, status, &fields), orders_only(&desired), &[]);
        let entry = entry.expect("listed");
        (entry.state, entry.cell, entry.started_ms)
    };
    let (serving, draining) = (Status::Serving, Status::Draining);
    listed(&mut table, "by-group", serving, json!({"since_ms": 5.0}));
    listed(&mut table, "by-type", serving, json!({"group": 4, "type": "old"}));
    listed(&mut table, "by-status", draining, json!({"group": 4}));
    // As an agent lists them that has restarted, and so does not know the earlier values.
    let all = json!({"group": 0, "zone": "", "type": "", "since_ms": 0.0,
                     "unknown": ["group", "zone", "type", "status", "since"]});
    for _ in 0..2 {
        let drained = |since_ms| (EndpointState::Draining, None, since_ms);
        assert_eq!(listed(&mut table, "by-group", serving, all.clone()), drained(5.0));
        assert_eq!(listed(&mut table, "by-type", serving, all.clone()), drained(0.0));
        assert_eq!(listed(&mut table, "by-status", serving, all.clone()), drained(0.0));
    }
    // Known again, the values count as listed.
    let known = (EndpointState::Ready, Some(5), 0.0);
    assert_eq!(listed(&mut table, "by-group", serving, json!({"group": 5})), known);
    assert_eq!(listed(&mut table, "by-status", serving, json!({"group": 5})), known);
    // An agent that withholds requests from an instance lists it as draining, which ends with that.
    let withheld = json!({"group": 5, "unknown": ["status"]});
    assert_eq!(listed(&mut table, "by-status", draining, withheld.clone()).0, EndpointState::Draining);
    assert_eq!(listed(&mut table, "by-status", serving, withheld).0, EndpointState::Ready);
}

/// Guards against a zone or cell that permits repeats although it is unknown, or its entry was unreadable.
#[test]
fn unknown_zones_and_cells_have_no_number() {
    let (mut table, desired) = (BackendTable::new(), DesiredState::default());
    let zones = ["zone-a".to_string(), String::new()];
    let mut listed = |fields| {
        let entry = table.update(endpoint_with("a", Status::Serving, &fields), orders_only(&desired), &zones);
        entry.map(|entry| (entry.zone, entry.cell))
    };
    assert_eq!(listed(json!({})), Some((Some(0), Some(3))));
    assert_eq!(listed(json!({"zone": "zone-b"})), Some((None, Some(3))), "a zone that the settings lack");
    assert_eq!(listed(json!({"unknown": ["zone"]})), Some((None, Some(3))));
    assert_eq!(listed(json!({"unknown": ["group", "a later one"]})), Some((Some(0), None)));
    assert_eq!(listed(json!({})), Some((Some(0), Some(3))));
    table.mark_unreadable("a");
    let (entry, _) = table.policy_endpoint_named("a", &zones).expect("listed");
    assert_eq!((entry.zone, entry.cell, entry.state), (None, None, EndpointState::Ready));
}
