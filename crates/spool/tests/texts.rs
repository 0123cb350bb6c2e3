//! What is logged of faults on the disk, and how units are written.

use std::path::PathBuf;

use spool::Fault;
use usage::Units;

#[test]
fn each_fault_has_its_text() {
    let path = || PathBuf::from("spool/00000000000000000007.use");
    for (fault, text) in [
        (Fault::Cut(path(), 3), "cut off after 3 records; it goes on there"),
        (Fault::Spoilt(path(), 0), "spoilt after 0 records"),
        (Fault::Chain(path()), "does not follow on the segment before"),
        (Fault::Unreadable(path()), "no header that can be read; renamed to .spoilt"),
    ] {
        assert_eq!(fault.to_string(), format!("spool/00000000000000000007.use: {text}"));
    }
}

#[test]
fn units_are_written_to_the_thousandth() {
    for (units, text) in [(0.0, "0.000"), (-0.0005, "-0.001"), (2.5, "2.500"), (-12.0404, "-12.040")] {
        assert_eq!(Units::of(units).expect("fits").to_string(), text);
    }
    assert_eq!(Units::of(9e12), None);
    assert_eq!(Units::of(f64::NAN), None);
}
