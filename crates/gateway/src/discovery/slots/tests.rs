use super::*;

/// A list may have waited with the agent while the service told a newer one.
#[test]
fn a_list_that_is_handed_out_is_taken_only_if_it_is_newer_than_what_is_held() {
    let agent = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut state = ListState { agent, index: None, connection: None, unreadable: false };
    let list = |index| EndpointList { index, ..EndpointList::empty() };
    assert!(state.adopt(list(5)).is_some());
    assert!(state.adopt(list(5)).is_none() && state.adopt(list(4)).is_none());
    assert_eq!(state.index, Some(5));
    assert!(state.adopt(list(6)).is_some_and(|update| update.scope == ListScope::Cached));
}
