//! Updates and removals of the backend lists of gateways.

use super::*;

fn state(name: &str, serving: bool) -> BackendState {
    BackendState {
        name: name.to_string(),
        address: String::new(),
        group: 1,
        kind: "m".to_string(),
        zone: String::new(),
        serving,
        drained_by: None,
        banned_ms: None,
        weight: 1.0,
        ejected: false,
        capacity_fraction: 1.0,
        in_flight: 0,
    }
}

/// Names of all backends and whether they are serving, sorted.
fn listed(catalog: &BackendCatalog) -> Vec<(String, bool)> {
    let mut all: Vec<_> = catalog.backends().map(|b| (b.name.clone(), b.serving)).collect();
    all.sort();
    all
}

#[test]
fn backend_state_combines_the_lists_of_all_gateways() {
    let mut catalog = BackendCatalog::default();
    assert!(catalog.is_empty());
    catalog.update("n0", &[state("a", true), state("b", true)]);
    catalog.update("n1", &[state("a", false), state("c", true)]);
    let expected = |all: &[(&str, bool)]| -> Vec<(String, bool)> {
        all.iter().map(|(n, s)| (n.to_string(), *s)).collect()
    };
    assert_eq!(listed(&catalog), expected(&[("a", true), ("b", true), ("c", true)]));
    catalog.update("n0", &[state("b", true)]);
    assert_eq!(listed(&catalog), expected(&[("a", false), ("b", true), ("c", true)]));
    catalog.remove("n1");
    assert_eq!(listed(&catalog), expected(&[("b", true)]));
    // Indices are reused, so backends that come and go do not let the catalog grow.
    for i in 0..1_000 {
        catalog.update("n1", &[state(&format!("x{i}"), true)]);
    }
    assert!(catalog.entries.len() <= 5, "{}", catalog.entries.len());
    assert_eq!(listed(&catalog), expected(&[("b", true), ("x999", true)]));
}
