use super::*;
use fleet::{Change, Order, Revision};

fn endpoint(name: &str, status: Status) -> Endpoint {
    let address = "127.0.0.1:1".parse().expect("an address");
    let (zone, instance_type) = ("zone-a".to_string(), "type-a".to_string());
    let name = name.to_string();
    Endpoint { name, address, zone, instance_type, group: 3, status, weight: 1.0, since_ms: 0.0 }
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
    let restarted = Endpoint { since_ms: 7.0, ..endpoint("a", Status::Serving) };
    table.update(restarted, Overrides { desired: &desired, maintenance: &maintenance }, &[]);
    assert_eq!(state(&table, "a"), EndpointState::Draining);
    maintenance.execute(&command("ENABLE a"), true, 9.0).expect("the backend is banned");
    let changed = table.apply_overrides(Overrides { desired: &desired, maintenance: &maintenance }, &[]);
    assert_eq!(changed[0].0.state, EndpointState::Ready);
    assert_eq!((changed[0].0.started_ms, changed[0].0.slow_start_from_ms()), (7.0, 9.0));
}
