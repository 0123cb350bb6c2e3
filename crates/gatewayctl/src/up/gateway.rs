//! `gateway`: a gateway as a process of this program.

use std::io::Read;

/// Ends the process when standard input ends, if that is wanted. Danger: gateways that outlive whoever
/// started them.
pub fn until_closed(wanted: bool) {
    if !wanted {
        return;
    }
    std::thread::spawn(|| {
        let mut unread = [0; 64];
        while matches!(std::io::stdin().read(&mut unread), Ok(n) if n > 0) {}
        std::process::exit(0);
    });
}
