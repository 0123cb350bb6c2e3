//! A gateway started as the platform's `run` does: nothing of what is switched on elsewhere is on.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::json;

/// What `run` says behind the program's name.
fn words_of_run() -> Vec<String> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).expect("it is there");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"exec ")).expect("run execs");
    let command = line.split('"').next().expect("a text");
    let mut words = command.split(' ').map(str::to_string);
    assert_eq!(words.next().as_deref(), Some("target/release/admission-gateway"));
    words.collect()
}

/// Sockets of a process in a table of the system's, by the column that tells their state.
fn sockets(pid: u32, table: &str, state: Option<&str>) -> usize {
    let link = |entry: std::fs::DirEntry| std::fs::read_link(entry.path()).ok();
    let folder = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("read procfs of the gateway process");
    let held: HashSet<PathBuf> = folder.flatten().filter_map(link).collect();
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
    let of = |line: &&str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let inode = columns.get(9).copied().unwrap_or_default();
        state.is_none_or(|state| columns.get(3) == Some(&state))
            && held.contains(&PathBuf::from(format!("socket:[{inode}]")))
    };
    text.lines().skip(1).filter(of).count()
}

/// Guards against a pause of seconds in which a discovery that is back can tell it nothing.
#[test]
fn a_call_that_discovery_left_unanswered_is_followed_by_the_next_at_once_in_any_fleet() {
    let rig = Rig::with_config(1, |config| config["settings"]["group-size"] = json!(300));
    rig.agent.asked(1);
    let first = Instant::now();
    rig.agent.asked(2);
    // Given up after 5 s; a pause of a fleet of 300 after a failure is a second at least.
    let next = first.elapsed();
    assert!(next < Duration::from_millis(5_950), "{next:?}");
}

#[test]
fn nothing_new_is_on() {
    // `Rig` starts the program without a word, and without a variable but that of the configuration.
    assert!(words_of_run().is_empty(), "`run` names no operators' file");
    let begun = Instant::now();
    let rig = Rig::with_config(2, |config| {
        config["settings"]["group-size"] = json!(300);
        config["settings"]["me"] = json!(299);
    });
    // The list: by chance within half of the drain's grace, as a watch, and again within 0.2 s; no slot.
    rig.agent.asked(1);
    let first = begun.elapsed();
    assert!(first < Duration::from_secs(3), "its slot of 6.6 s was waited for: {first:?}");
    let asked = &rig.agent.calls()[0];
    assert!(asked.contains("after=1&wait_ms=4000"), "{asked}");
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    // Backends: with no turn waited for, and as many connections at once as requests want.
    let mut clients: Vec<Client> = (0..6).map(|_| rig.gateway.client()).collect();
    for (id, client) in (1..).zip(&mut clients) {
        client.send(&words(&call(id, "safe", "free", 1, 8000)));
    }
    let mut arrived: Vec<Arrived> = clients.iter().map(|_| rig.next_request().1).collect();
    for a in &mut arrived {
        a.serve("fine");
    }
    assert!(clients.iter_mut().all(|c| c.read() == "fine"));
    // The counter: a call for each customer with a quota, none left out.
    for id in 11..15 {
        let mut asked = call(id, "safe", "paid", 1, 8000);
        asked[1] = format!("{:016x}", 0x1_0000 + id);
        clients[0].send(&words(&asked));
        let mut bump = rig.counter.next();
        assert_eq!((bump.words[0].as_str(), bump.words[2].as_str()), ("bump", "1"));
        bump.say("ok 1\r\n");
        rig.next_request().1.serve("fine");
        assert_eq!(clients[0].read(), "fine");
    }
    // One socket that clients come to, and no datagram could be sent.
    let pid = rig.gateway.pid();
    assert_eq!(sockets(pid, "tcp", Some("0A")) + sockets(pid, "tcp6", Some("0A")), 1);
    assert_eq!(sockets(pid, "udp", None) + sockets(pid, "udp6", None), 0);
}
