use super::*;

/// The list may have been stored at the agent while discovery already sent a newer one.
#[test]
fn adopts_a_list_from_the_agent_only_if_it_is_newer() {
    let mut state = ListState::new(None);
    let list = |version| EndpointList { version, ..EndpointList::empty() };
    assert!(state.adopt(list(5)).is_some());
    assert!(state.adopt(list(5)).is_none() && state.adopt(list(4)).is_none());
    assert_eq!(state.version, Some(5));
    assert!(state.adopt(list(6)).is_some_and(|update| update.scope == UpdateScope::Cached));
}
