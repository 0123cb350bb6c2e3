use super::*;

#[test]
fn reserves_permits_as_they_fall_free_and_gives_them_back() {
    let of = Arc::new(Semaphore::new(10));
    let mut partition = Partition::new(Arc::clone(&of), 10);
    let used = Arc::clone(&of).try_acquire_many_owned(8).expect("free");
    partition.share(2);
    assert_eq!(of.available_permits(), 0, "two are left, three are owed");
    drop(used);
    partition.settle();
    assert_eq!(of.available_permits(), 5);
    partition.settle();
    assert_eq!(of.available_permits(), 5);
    partition.share(3);
    assert_eq!(of.available_permits(), 3);
    partition.share(1);
    assert_eq!(of.available_permits(), 10);
}
