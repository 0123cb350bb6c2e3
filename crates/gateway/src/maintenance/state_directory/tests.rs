use super::*;

fn open(under: &Path, incarnation: u64) -> StateDirectory {
    StateDirectory::open(under, "127.0.0.1:6379".parse().expect("an address"), incarnation).expect("a folder")
}

#[test]
fn counts_only_processes_that_live() {
    let under = tempfile::tempdir().expect("a folder");
    let (one, two) = (open(under.path(), 1), open(under.path(), 2));
    assert_eq!(
        (one.other_processes().expect("read"), two.other_processes().expect("read")),
        (vec![2], vec![1])
    );
    drop(two);
    assert!(one.other_processes().expect("read").is_empty());
    assert!(!one.path.join("life-2").exists(), "its file is removed");
    // Another gateway's folder is another one.
    let other = StateDirectory::open(under.path(), "127.0.0.1:6380".parse().expect("an address"), 3);
    assert!(other.expect("a folder").other_processes().expect("read").is_empty());
}

#[test]
fn a_left_state_is_claimed_once_and_lost_if_garbled() {
    let under = tempfile::tempdir().expect("a folder");
    let (one, two) = (open(under.path(), 1), open(under.path(), 2));
    one.leave("untold", &vec![(7u64, 1.5f64)]).expect("room");
    assert_eq!(two.claim::<Vec<(u64, f64)>>("untold"), [vec![(7, 1.5)]]);
    assert!(two.claim::<Vec<(u64, f64)>>("untold").is_empty());
    one.leave("untold", &vec![(7u64, 1.5f64)]).expect("room");
    let file = one.path.join("untold-1");
    let mut bytes = fs::read(&file).expect("it is there");
    bytes[10] ^= 1;
    fs::write(&file, bytes).expect("room");
    assert!(two.claim::<Vec<(u64, f64)>>("untold").is_empty());
    assert!(!file.exists());
}

#[test]
fn a_state_is_read_complete_or_rejected_and_the_lock_has_one_holder() {
    let under = tempfile::tempdir().expect("a folder");
    let (one, two) = (open(under.path(), 1), open(under.path(), 2));
    assert_eq!(one.read::<u64>("book").expect("readable"), None);
    one.write("book", &7u64).expect("room");
    assert_eq!(two.read::<u64>("book").expect("readable"), Some(7));
    let bytes = fs::read(one.path.join("book")).expect("it is there");
    fs::write(one.path.join("book"), &bytes[..bytes.len() - 1]).expect("room");
    assert!(two.read::<u64>("book").expect_err("cut").to_string().contains("cut short"));
    let held = one.try_lock().expect("a file").expect("nobody has it");
    assert!(two.try_lock().expect("a file").is_none());
    drop(held);
    assert!(two.try_lock().expect("a file").is_some());
}
