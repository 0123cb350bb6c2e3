use super::*;

#[test]
fn reserves_permits_as_they_become_free_and_returns_them() {
    let resource = Arc::new(Semaphore::new(10));
    let mut partition = Partition::new(Arc::clone(&resource), 10);
    let used = Arc::clone(&resource).try_acquire_many_owned(8).expect("free");
    partition.set_process_count(2);
    assert_eq!(resource.available_permits(), 0, "two are reserved, three are still missing");
    drop(used);
    partition.reserve();
    assert_eq!(resource.available_permits(), 5);
    partition.reserve();
    assert_eq!(resource.available_permits(), 5);
    partition.set_process_count(3);
    assert_eq!(resource.available_permits(), 3);
    partition.set_process_count(1);
    assert_eq!(resource.available_permits(), 10);
}
