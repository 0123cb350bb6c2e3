use super::*;

#[test]
fn keeps_ids_for_a_while_and_a_bounded_number() {
    let mut sent = SentRequests::default();
    sent.add(7, 0.0);
    assert!(sent.contains(7, RETENTION_MS - 1.0));
    assert!(!sent.contains(7, RETENTION_MS));
    sent.add(8, 0.0);
    sent.remove(8);
    assert!(!sent.contains(8, 1.0));
    for id in 100..200_000 {
        sent.add(id, 1.0);
    }
    assert!(sent.contains(199_999, 1.0) && !sent.contains(100, 1.0));
    assert!(sent.kept_until.len() <= MAX_IDS && sent.order.len() <= MAX_IDS);
}

#[test]
fn processes_share_ids_while_both_are_running() {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let path = folder.path().join("sent");
    let mut old = SentRequests::new(Some(path.clone()));
    old.add(1, 0.0);
    assert!(!path.exists(), "shared with nobody");
    let mut new = SentRequests::new(Some(path.clone()));
    new.set_sharing(true, 0.0);
    old.set_sharing(true, 0.0);
    assert!(new.contains(1, 1.0));
    new.add(2, 1.0);
    old.add(3, 1.0);
    old.remove(1);
    assert!(old.contains(2, 2.0) && new.contains(3, 2.0) && !new.contains(1, 2.0));
    // The last ids of a process that has ended.
    old.add(4, 2.0);
    drop(old);
    new.set_sharing(false, 3.0);
    assert!(new.contains(4, 3.0) && !path.exists());
}

#[test]
fn damaged_file_is_ignored() {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let path = folder.path().join("sent");
    std::fs::write(&path, [0xff; RECORD_BYTES + 3]).expect("write the file");
    let mut sent = SentRequests::new(Some(path));
    sent.set_sharing(true, 0.0);
    assert!(!sent.contains(5, 0.0));
    sent.add(5, 0.0);
    assert!(sent.contains(5, 0.0));
}
