//! A gateway started as by the `run` command of `deploy/balancer.toml`: every optional feature is off.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::json;

/// Returns the arguments that the `run` command passes to the program.
fn run_arguments() -> Vec<String> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).expect("read deploy/balancer.toml");
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"exec ")).expect("`run` starts with exec");
    let command = line.split('"').next().expect("quoted command");
    let mut arguments = command.split(' ').map(str::to_string);
    assert_eq!(arguments.next().as_deref(), Some("target/release/admission-gateway"));
    arguments.collect()
}

/// Counts the sockets of a process in a table of `/proc/net`, optionally only those in one state (`0A` is
/// listening).
fn count_sockets(pid: u32, table: &str, state: Option<&str>) -> usize {
    let link = |entry: std::fs::DirEntry| std::fs::read_link(entry.path()).ok();
    let entries = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("read procfs of the gateway process");
    let open: HashSet<PathBuf> = entries.flatten().filter_map(link).collect();
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
    let matches = |line: &&str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let inode = columns.get(9).copied().unwrap_or_default();
        state.is_none_or(|state| columns.get(3) == Some(&state))
            && open.contains(&PathBuf::from(format!("socket:[{inode}]")))
    };
    text.lines().skip(1).filter(matches).count()
}

/// Guards against a pause of seconds after an unanswered call, in which a discovery agent that is reachable
/// again cannot send the gateway any update.
#[test]
fn unanswered_discovery_call_is_repeated_without_pause() {
    let rig = Rig::with_config(1, |config| config["settings"]["group-size"] = json!(300));
    rig.agent.wait_for_calls(1);
    let first = Instant::now();
    rig.agent.wait_for_calls(2);
    // The call times out after 5 s. The pause after a failure would be at least 1 s in a fleet of 300.
    let next = first.elapsed();
    assert!(next < Duration::from_millis(5_950), "{next:?}");
}

#[test]
fn run_command_enables_no_optional_features() {
    // `Rig` starts the program without arguments and only with the environment variable of the configuration.
    assert!(run_arguments().is_empty(), "`run` must not pass an operator configuration");
    let begun = Instant::now();
    let rig = Rig::with_config(2, |config| {
        config["settings"]["group-size"] = json!(300);
        config["settings"]["me"] = json!(299);
    });
    // Endpoint list: the first call is a watch at a random time within half of the drain grace period, the
    // next follows within 0.2 s, and neither waits for a slot.
    rig.agent.wait_for_calls(1);
    let first = begun.elapsed();
    assert!(first < Duration::from_secs(3), "waited for the slot at 6.6 s: {first:?}");
    let first_call = &rig.agent.calls()[0];
    assert!(first_call.contains("after=1&wait_ms=4000"), "{first_call}");
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    // Backends: connections are not ramped; as many are opened at once as there are requests.
    let mut clients: Vec<Client> = (0..6).map(|_| rig.gateway.client()).collect();
    for (id, client) in (1..).zip(&mut clients) {
        client.send(&as_strs(&request_args(id, "safe", "free", 1, 8000)));
    }
    let mut arrived: Vec<IncomingMessage> = clients.iter().map(|_| rig.next_request().1).collect();
    for a in &mut arrived {
        a.serve("fine");
    }
    assert!(clients.iter_mut().all(|c| c.read() == "fine"));
    // Shared counter: a call for each customer with a quota; none is skipped.
    for id in 11..15 {
        let mut request = request_args(id, "safe", "paid", 1, 8000);
        request[1] = format!("{:016x}", 0x1_0000 + id);
        clients[0].send(&as_strs(&request));
        let mut counter_call = rig.counter.next();
        assert_eq!((counter_call.words[0].as_str(), counter_call.words[2].as_str()), ("bump", "1"));
        counter_call.reply("ok 1\r\n");
        rig.next_request().1.serve("fine");
        assert_eq!(clients[0].read(), "fine");
    }
    // One listening socket for clients, and no UDP socket.
    let pid = rig.gateway.pid();
    assert_eq!(count_sockets(pid, "tcp", Some("0A")) + count_sockets(pid, "tcp6", Some("0A")), 1);
    assert_eq!(count_sockets(pid, "udp", None) + count_sockets(pid, "udp6", None), 0);
}
