//! The operator's file and the decisions agree on what is looked at where nobody says so.

#[test]
fn without_a_section_the_decisions_defaults_hold() {
    let told = operator_config::OperatorConfig::default().routing;
    let own = gateway_policy::interface::Routing::default();
    assert_eq!(
        (told.whole, told.choices, told.subset, told.coverage),
        (own.scan_all_up_to, own.choices, own.subset_size, own.coverage)
    );
}
