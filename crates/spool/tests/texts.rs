//! Texts in logs: faults on the disk, and units.

use std::path::PathBuf;

use spool::SpoolFault;
use usage::Units;

#[test]
fn faults_have_recorded_texts() {
    let path = || PathBuf::from("spool/00000000000000000007.use");
    for (fault, text) in [
        (SpoolFault::Truncated { path: path(), records: 3 }, "cut off after 3 records; it goes on there"),
        (SpoolFault::Corrupt { path: path(), records: 0 }, "spoilt after 0 records"),
        (SpoolFault::BrokenChain { path: path() }, "does not follow on the segment before"),
        (SpoolFault::Unreadable { path: path() }, "no header that can be read; renamed to .spoilt"),
    ] {
        assert_eq!(fault.to_string(), format!("spool/00000000000000000007.use: {text}"));
    }
}

#[test]
fn units_are_displayed_in_thousandths() {
    for (units, text) in [(0.0, "0.000"), (-0.0005, "-0.001"), (2.5, "2.500"), (-12.0404, "-12.040")] {
        assert_eq!(Units::from_f64(units).expect("fits").to_string(), text);
    }
    assert_eq!(Units::from_f64(9e12), None);
    assert_eq!(Units::from_f64(f64::NAN), None);
}
