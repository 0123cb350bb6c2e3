//! What nobody should send: a clear error, nothing changed, nothing secret in a log.

mod support;

use std::fs;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::Command;

use operator_config::Address;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use serde_json::json;
use support::{wait_until, Fleet, Process, PROGRAM};

#[test]
fn rejects_unknown_and_malformed_subjects() {
    let fleet = Fleet::start(1, 4);
    fleet.wait_until_healthy();
    let unknown = [
        ("nobody", 4, "no gateway lists such a backend"),
        ("group/77", 4, "no gateway lists such a backend"),
        ("type/none", 4, "no gateway lists such a backend"),
        ("gateway/n9", 4, "no gateway of that name is overseen"),
        ("zone/a", 2, "a subject is NAME"),
        ("group/x", 2, "a group is a whole number"),
        ("", 2, "is empty"),
    ];
    for (subject, code, said) in unknown {
        let ran = fleet.cli(&["drain", subject]);
        assert_eq!(ran.code, code, "{subject}: {}", ran.err);
        assert!(ran.err.contains(said), "{subject}: {}", ran.err);
    }
    assert_eq!(fleet.cli(&["drain", "till-0", "--id", "a b"]).code, 2);
    assert_eq!(fleet.cli(&["drain", "till-0", "--deadline", "soon"]).code, 2);
    assert_eq!(fleet.cli(&["drain"]).code, 2);
    assert_eq!(fleet.json(&["orders"]).out, "", "something was written down");
    assert!(!fleet.drained(0, "till-0"));
}

/// Writes bytes to a socket and gives what comes back until the end.
fn raw(at: &Path, bytes: &[u8]) -> String {
    let mut stream = UnixStream::connect(at).expect("it listens");
    stream.set_read_timeout(Some(support::TIMEOUT)).expect("a time-out");
    for part in bytes.chunks(64 * 1024) {
        // It may close before it has read all.
        if stream.write_all(part).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut said = Vec::new();
    let _ = stream.read_to_end(&mut said);
    String::from_utf8_lossy(&said).into_owned()
}

#[test]
fn answers_malformed_lines_and_closes_on_long_ones() {
    let fleet = Fleet::start(1, 4);
    fleet.wait_until_healthy();
    let agent = fleet.dir.path().join("agent.sock");
    let Address::Unix(gateway) = fleet.gateways[0].admin.clone() else { panic!("a Unix socket") };
    let secret = "hunter2-hunter2-hunter2";
    let bad =
        format!("{{\"n\":1,\"op\":\"drain\",\"password\":\"{secret}\"\n[1,2\n{{\"n\":2,\"op\":\"none\"}}\n");
    for at in [&agent, &gateway] {
        let said = raw(at, bad.as_bytes());
        assert_eq!(said.matches("bad-request").count(), 3, "{said}");
        assert!(!said.contains(secret), "{said}");
    }
    let long = "n".repeat(10 << 20);
    let order = |name: &str| {
        let order = json!({"n": 1, "op": "order", "id": "a", "subject": {"backend": name}, "change": "drain",
                           "deadline_ms": 1});
        format!("{order}\n")
    };
    for at in [&agent, &gateway] {
        let said = raw(at, order(&long).as_bytes());
        // Where it closes on what it has not read, the system may drop its last word.
        assert!(said.is_empty() || said.contains("too-long"), "{}", &said[..said.len().min(200)]);
    }
    // A name that fits the line, and is too long for a name.
    let said = raw(&agent, order(&long[..300]).as_bytes());
    assert!(said.contains("name has 300 bytes; 253 at most") && said.len() < 300, "{said}");
    for process in [&fleet.agent.as_ref().expect("it runs").log_text(), &fleet.gateways[0].process.log_text()]
    {
        assert!(!process.contains(secret) && process.len() < 10_000, "{process}");
    }
    fleet.wait_until_healthy();
    assert_eq!(fleet.json(&["drain", "till-0"]).code, 0);
}

/// Writes an authority and certificates that it signed, one for each name; gives the section that names them.
fn certificates(dir: &Path, authority: &str, names: &[&str]) {
    let key = KeyPair::generate().expect("a key");
    let mut params = CertificateParams::new(Vec::new()).expect("parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    fs::write(dir.join(format!("{authority}.pem")), params.self_signed(&key).expect("signed").pem())
        .expect("room");
    let issuer = Issuer::new(params, key);
    for name in names {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec!["127.0.0.1".to_string()]).expect("parameters");
        let own = params.signed_by(&key, &issuer).expect("signed");
        fs::write(dir.join(format!("{name}.pem")), own.pem()).expect("room");
        fs::write(dir.join(format!("{name}.key")), key.serialize_pem()).expect("room");
    }
}

fn tls(dir: &Path, section: &str, name: &str, authority: &str) -> String {
    let at = dir.display();
    format!(
        "[{section}.tls]\ncertificate = \"{at}/{name}.pem\"\nkey = \"{at}/{name}.key\"\nauthorities = \
         \"{at}/{authority}.pem\"\n"
    )
}

#[test]
fn tcp_requires_trusted_certificates_on_both_sides() {
    // Its own gateways are on Unix sockets; one more is on TCP.
    let fleet = Fleet::start(1, 4);
    let dir = fleet.dir.path();
    certificates(dir, "ca", &["gateway", "agent"]);
    certificates(dir, "other-ca", &["stranger"]);
    let file = dir.join("tcp.toml");
    let text = format!("[admin]\nlisten = \"tcp:127.0.0.1:0\"\n{}", tls(dir, "admin", "gateway", "ca"));
    fs::write(&file, text).expect("room");
    let config = fs::read_to_string(dir.join("n0.json")).expect("there");
    let mut config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    (config["listen"], config["name"]) = ("127.0.0.1:0".into(), "t0".into());
    let config_file = dir.join("t0.json");
    fs::write(&config_file, config.to_string()).expect("room");
    let words = ["gateway", "--operator", &file.display().to_string()];
    let log = dir.join("t0.log");
    let (gateway, said) = Process::start(&words, Some(&config_file), &log, &["admin on ", "listening on "]);
    let admin = said[0].clone();
    assert!(admin.starts_with("tcp:127.0.0.1:"), "{admin}");

    let agent = |name: &str, certificate: &str, authority: &str| {
        let (file, at) = (dir.join(format!("{name}.toml")), dir.display());
        let mut text = format!("[agent]\nlisten = \"unix:{at}/{name}.sock\"\nlog = \"{at}/{name}.redb\"\n");
        text += "heartbeat_ms = 200\nanswer_ms = 1000\n";
        text += &tls(dir, "agent", certificate, authority);
        text += &format!("\n[[gateway]]\nname = \"t0\"\nadmin = \"{admin}\"\n");
        fs::write(&file, text).expect("room");
        let words = ["agent", "--operator", &file.display().to_string()];
        let log = dir.join(format!("{name}.log"));
        Process::start(&words, None, &log, &["overseeing "]).0
    };
    let ask = |name: &str, words: &[&str]| {
        let socket = format!("unix:{}/{name}.sock", dir.display());
        let output = Command::new(PROGRAM).args(["--agent", &socket, "-o", "json"]).args(words).output();
        support::Ran::from(output.expect("it runs"))
    };
    let good = agent("good", "agent", "ca");
    wait_until("the right one is heard", || ask("good", &["status"]).json()["gateways"][0]["health"] == "ok");
    assert_eq!(ask("good", &["drain", "till-0"]).code, 0);

    let stranger = agent("stranger-agent", "stranger", "ca");
    let why = |name: &str| {
        let why = ask(name, &["status"]).json()["gateways"][0]["health"]["unreachable"]["why"].clone();
        why.as_str().unwrap_or_default().to_string()
    };
    wait_until("the wrong one is turned away", || !why("stranger-agent").is_empty());
    wait_until("that is said", || gateway.log_text().contains("turned away: invalid peer certificate"));
    let forced = ask("stranger-agent", &["undrain", "till-0", "--force"]);
    assert_eq!(forced.code, 3, "{}", forced.err);
    // Its gateway is signed by none that this one trusts.
    let wary = agent("wary", "agent", "other-ca");
    wait_until("the gateway is not believed", || why("wary").contains("invalid peer certificate"));
    let status = ask("good", &["status", "--backends"]).json();
    let all = status["gateways"][0]["state"]["backends"].as_array().expect("a list").clone();
    let till = all.iter().find(|b| b["name"] == "till-0").expect("listed");
    assert!(till["drained_by"].is_string(), "a stranger undrained it: {till}");
    let key = fs::read_to_string(dir.join("stranger.key")).expect("there");
    for process in [&gateway, &good, &stranger, &wary] {
        assert!(!process.log_text().contains(&key[40..80]));
    }
}

#[test]
fn no_admin_listener_without_a_valid_operator_config() {
    let fleet = Fleet::start(1, 2);
    let dir = fleet.dir.path();
    let file = dir.join("bad.toml");
    fs::write(&file, "[admin]\nlisten = \"tcp:127.0.0.1:0\"\n").expect("room");
    let config = dir.join("n0.json");
    let run = |words: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command.args(words).env("GW_CONFIG", &config);
        support::ended(command)
    };
    let name = file.display().to_string();
    let ran = run(&["gateway", "--operator", &name]);
    assert_eq!(ran.code, 1);
    assert!(ran.err.contains(&format!("{name}: admin.listen: TCP needs [admin.tls]")), "{}", ran.err);
    let checked = run(&["check", &name, &config.display().to_string()]);
    assert_eq!(checked.code, 1);
    assert!(checked.out.contains("bad.toml:2: admin.listen"), "{}", checked.out);
    assert!(checked.out.contains("n0.json: good"), "{}", checked.out);
    assert_eq!(run(&["check", "none.json"]).code, 1);
    assert_eq!(run(&["check", &dir.join("n0.log").display().to_string()]).code, 2);
    // A second listener under a socket that is in use.
    let taken = fleet.dir.path().join("operator.toml").display().to_string();
    let ran = run(&["gateway", "--operator", &taken]);
    assert_eq!(ran.code, 1, "{}", ran.err);
    assert!(!ran.out.contains("admin on"), "{}", ran.out);
}
