//! The operator configuration and the decision code have the same routing defaults.

#[test]
fn operator_configuration_defaults_match_routing_defaults() {
    let configured = operator_config::OperatorConfig::default().routing;
    let built_in = gateway_policy::interface::Routing::default();
    assert_eq!(
        (configured.whole, configured.choices, configured.subset, configured.coverage),
        (built_in.scan_all_up_to, built_in.choices, built_in.subset_size, built_in.coverage)
    );
}
