use super::*;

fn open(parent: &Path, incarnation: u64) -> StateDirectory {
    StateDirectory::open(parent, "127.0.0.1:6379".parse().expect("an address"), incarnation)
        .expect("a directory")
}

#[test]
fn lists_only_running_processes() {
    let parent = tempfile::tempdir().expect("a directory");
    let (first, second) = (open(parent.path(), 1), open(parent.path(), 2));
    assert_eq!(
        (first.other_processes().expect("readable"), second.other_processes().expect("readable")),
        (vec![2], vec![1])
    );
    drop(second);
    assert!(first.other_processes().expect("readable").is_empty());
    assert!(!first.path.join("life-2").exists(), "the file of the ended process is removed");
    // A gateway with another listen address has its own directory.
    let other = StateDirectory::open(parent.path(), "127.0.0.1:6380".parse().expect("an address"), 3);
    assert!(other.expect("a directory").other_processes().expect("readable").is_empty());
}

#[test]
fn handed_over_state_is_claimed_once_and_lost_if_corrupted() {
    let parent = tempfile::tempdir().expect("a directory");
    let (first, second) = (open(parent.path(), 1), open(parent.path(), 2));
    first.hand_over("untold", &vec![(7u64, 1.5f64)]).expect("the file is written");
    assert_eq!(second.claim::<Vec<(u64, f64)>>("untold"), [vec![(7, 1.5)]]);
    assert!(second.claim::<Vec<(u64, f64)>>("untold").is_empty());
    first.hand_over("untold", &vec![(7u64, 1.5f64)]).expect("the file is written");
    let file = first.path.join("untold-1");
    let mut bytes = fs::read(&file).expect("the file exists");
    bytes[10] ^= 1;
    fs::write(&file, bytes).expect("the file is written");
    assert!(second.claim::<Vec<(u64, f64)>>("untold").is_empty());
    assert!(!file.exists());
}

#[test]
fn truncated_state_is_rejected_and_lock_has_one_holder() {
    let parent = tempfile::tempdir().expect("a directory");
    let (first, second) = (open(parent.path(), 1), open(parent.path(), 2));
    assert_eq!(first.read::<u64>("book").expect("readable"), None);
    first.write("book", &7u64).expect("the file is written");
    assert_eq!(second.read::<u64>("book").expect("readable"), Some(7));
    let bytes = fs::read(first.path.join("book")).expect("the file exists");
    fs::write(first.path.join("book"), &bytes[..bytes.len() - 1]).expect("the file is written");
    assert!(second.read::<u64>("book").expect_err("truncated").to_string().contains("cut short"));
    let held = first.try_lock().expect("a lock file").expect("the lock is free");
    assert!(second.try_lock().expect("a lock file").is_none());
    drop(held);
    assert!(second.try_lock().expect("a lock file").is_some());
}
