//! Invalid subjects, malformed lines, untrusted certificates and invalid configurations: each gets a clear
//! error, changes nothing and leaves no secret in a log.

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
    let invalid = [
        ("nobody", 4, "no gateway lists such a backend"),
        ("group/77", 4, "no gateway lists such a backend"),
        ("type/none", 4, "no gateway lists such a backend"),
        ("gateway/n9", 4, "no gateway of that name is overseen"),
        ("zone/a", 2, "a subject is NAME"),
        ("group/x", 2, "a group is a whole number"),
        ("", 2, "is empty"),
    ];
    for (subject, code, message) in invalid {
        let output = fleet.cli(&["drain", subject]);
        assert_eq!(output.code, code, "{subject}: {}", output.stderr);
        assert!(output.stderr.contains(message), "{subject}: {}", output.stderr);
    }
    assert_eq!(fleet.cli(&["drain", "till-0", "--id", "a b"]).code, 2);
    assert_eq!(fleet.cli(&["drain", "till-0", "--deadline", "soon"]).code, 2);
    assert_eq!(fleet.cli(&["drain"]).code, 2);
    assert_eq!(fleet.cli_json(&["orders"]).stdout, "", "an order was logged");
    assert!(!fleet.is_drained(0, "till-0"));
}

/// Writes bytes to a socket and returns everything that the peer sends until it closes the connection.
fn exchange_raw(socket: &Path, bytes: &[u8]) -> String {
    let mut stream = UnixStream::connect(socket).expect("the peer is reachable");
    stream.set_read_timeout(Some(support::TIMEOUT)).expect("the timeout is set");
    for part in bytes.chunks(64 * 1024) {
        // The peer may close the connection before it has read everything.
        if stream.write_all(part).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn malformed_lines_get_errors_and_long_ones_close_the_connection() {
    let fleet = Fleet::start(1, 4);
    fleet.wait_until_healthy();
    let agent = fleet.dir.path().join("agent.sock");
    let Address::Unix(gateway) = fleet.gateways[0].admin.clone() else {
        panic!("the admin address is not a Unix socket")
    };
    let secret = "hunter2-hunter2-hunter2";
    let malformed =
        format!("{{\"n\":1,\"op\":\"drain\",\"password\":\"{secret}\"\n[1,2\n{{\"n\":2,\"op\":\"none\"}}\n");
    for socket in [&agent, &gateway] {
        let response = exchange_raw(socket, malformed.as_bytes());
        assert_eq!(response.matches("bad-request").count(), 3, "{response}");
        assert!(!response.contains(secret), "{response}");
    }
    let long_name = "n".repeat(10 << 20);
    let order = |name: &str| {
        let order = json!({"n": 1, "op": "order", "id": "a", "subject": {"backend": name}, "change": "drain",
                           "deadline_ms": 1});
        format!("{order}\n")
    };
    for socket in [&agent, &gateway] {
        let response = exchange_raw(socket, order(&long_name).as_bytes());
        // If the connection is closed with unread data, the system may discard the error response.
        assert!(
            response.is_empty() || response.contains("too-long"),
            "{}",
            &response[..response.len().min(200)]
        );
    }
    // The line is short enough, but the name is too long.
    let response = exchange_raw(&agent, order(&long_name[..300]).as_bytes());
    assert!(response.contains("name has 300 bytes; 253 at most") && response.len() < 300, "{response}");
    for log in [
        &fleet.agent.as_ref().expect("the agent was started").log_text(),
        &fleet.gateways[0].process.log_text(),
    ] {
        assert!(!log.contains(secret) && log.len() < 10_000, "{log}");
    }
    fleet.wait_until_healthy();
    assert_eq!(fleet.cli_json(&["drain", "till-0"]).code, 0);
}

/// Writes the certificate of an authority, and for each name a key and a certificate that the authority
/// signed.
fn write_certificates(dir: &Path, authority: &str, names: &[&str]) {
    let key = KeyPair::generate().expect("a key pair");
    let mut params = CertificateParams::new(Vec::new()).expect("valid parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    fs::write(
        dir.join(format!("{authority}.pem")),
        params.self_signed(&key).expect("the certificate is signed").pem(),
    )
    .expect("the file is written");
    let issuer = Issuer::new(params, key);
    for name in names {
        let key = KeyPair::generate().expect("a key pair");
        let params = CertificateParams::new(vec!["127.0.0.1".to_string()]).expect("valid parameters");
        let certificate = params.signed_by(&key, &issuer).expect("the certificate is signed");
        fs::write(dir.join(format!("{name}.pem")), certificate.pem()).expect("the file is written");
        fs::write(dir.join(format!("{name}.key")), key.serialize_pem()).expect("the file is written");
    }
}

/// Returns the TLS settings for a section of the operators' file.
fn tls_section(dir: &Path, section: &str, name: &str, authority: &str) -> String {
    let dir = dir.display();
    format!(
        "[{section}.tls]\ncertificate = \"{dir}/{name}.pem\"\nkey = \"{dir}/{name}.key\"\nauthorities = \
         \"{dir}/{authority}.pem\"\n"
    )
}

#[test]
fn tcp_requires_trusted_certificates_on_both_sides() {
    // The fleet's own gateway listens on a Unix socket; a second gateway listens on TCP.
    let fleet = Fleet::start(1, 4);
    let dir = fleet.dir.path();
    write_certificates(dir, "ca", &["gateway", "agent"]);
    write_certificates(dir, "other-ca", &["untrusted"]);
    let file = dir.join("tcp.toml");
    let text =
        format!("[admin]\nlisten = \"tcp:127.0.0.1:0\"\n{}", tls_section(dir, "admin", "gateway", "ca"));
    fs::write(&file, text).expect("the file is written");
    let config = fs::read_to_string(dir.join("n0.json")).expect("the file is readable");
    let mut config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    (config["listen"], config["name"]) = ("127.0.0.1:0".into(), "t0".into());
    let config_file = dir.join("t0.json");
    fs::write(&config_file, config.to_string()).expect("the file is written");
    let args = ["gateway", "--operator", &file.display().to_string()];
    let log = dir.join("t0.log");
    let (gateway, lines) = Process::start(&args, Some(&config_file), &log, &["admin on ", "listening on "]);
    let admin = lines[0].clone();
    assert!(admin.starts_with("tcp:127.0.0.1:"), "{admin}");

    let start_agent = |name: &str, certificate: &str, authority: &str| {
        let (file, directory) = (dir.join(format!("{name}.toml")), dir.display());
        let mut text = format!(
            "[agent]\nlisten = \"unix:{directory}/{name}.sock\"\nlog = \"{directory}/{name}.redb\"\n"
        );
        text += "heartbeat_ms = 200\nanswer_ms = 1000\n";
        text += &tls_section(dir, "agent", certificate, authority);
        text += &format!("\n[[gateway]]\nname = \"t0\"\nadmin = \"{admin}\"\n");
        fs::write(&file, text).expect("the file is written");
        let args = ["agent", "--operator", &file.display().to_string()];
        let log = dir.join(format!("{name}.log"));
        Process::start(&args, None, &log, &["overseeing "]).0
    };
    let run_with = |name: &str, args: &[&str]| {
        let socket = format!("unix:{}/{name}.sock", dir.display());
        let output = Command::new(PROGRAM).args(["--agent", &socket, "-o", "json"]).args(args).output();
        support::CommandOutput::from(output.expect("the program runs"))
    };
    let trusted = start_agent("trusted", "agent", "ca");
    wait_until("the trusted agent reaches the gateway", || {
        run_with("trusted", &["status"]).json()["gateways"][0]["health"] == "ok"
    });
    assert_eq!(run_with("trusted", &["drain", "till-0"]).code, 0);

    let untrusted = start_agent("untrusted-agent", "untrusted", "ca");
    let unreachable_reason = |name: &str| {
        let reason =
            run_with(name, &["status"]).json()["gateways"][0]["health"]["unreachable"]["why"].clone();
        reason.as_str().unwrap_or_default().to_string()
    };
    wait_until("the untrusted agent is rejected", || !unreachable_reason("untrusted-agent").is_empty());
    wait_until("the gateway logs the rejection", || {
        gateway.log_text().contains("turned away: invalid peer certificate")
    });
    let forced = run_with("untrusted-agent", &["undrain", "till-0", "--force"]);
    assert_eq!(forced.code, 3, "{}", forced.stderr);
    // This agent does not trust the authority that signed the gateway's certificate.
    let distrusting = start_agent("distrusting", "agent", "other-ca");
    wait_until("the agent rejects the gateway's certificate", || {
        unreachable_reason("distrusting").contains("invalid peer certificate")
    });
    let status = run_with("trusted", &["status", "--backends"]).json();
    let backends = status["gateways"][0]["state"]["backends"].as_array().expect("a list").clone();
    let till = backends.iter().find(|b| b["name"] == "till-0").expect("the backend is listed");
    assert!(till["drained_by"].is_string(), "an untrusted agent undrained the backend: {till}");
    let key = fs::read_to_string(dir.join("untrusted.key")).expect("the file is readable");
    for process in [&gateway, &trusted, &untrusted, &distrusting] {
        assert!(!process.log_text().contains(&key[40..80]));
    }
}

#[test]
fn no_admin_listener_without_a_valid_operator_config() {
    let fleet = Fleet::start(1, 2);
    let dir = fleet.dir.path();
    let file = dir.join("bad.toml");
    fs::write(&file, "[admin]\nlisten = \"tcp:127.0.0.1:0\"\n").expect("the file is written");
    let config = dir.join("n0.json");
    let run = |args: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command.args(args).env("GW_CONFIG", &config);
        support::run_to_exit(command)
    };
    let name = file.display().to_string();
    let output = run(&["gateway", "--operator", &name]);
    assert_eq!(output.code, 1);
    assert!(
        output.stderr.contains(&format!("{name}: admin.listen: TCP needs [admin.tls]")),
        "{}",
        output.stderr
    );
    let check = run(&["check", &name, &config.display().to_string()]);
    assert_eq!(check.code, 1);
    assert!(check.stdout.contains("bad.toml:2: admin.listen"), "{}", check.stdout);
    assert!(check.stdout.contains("n0.json: good"), "{}", check.stdout);
    assert_eq!(run(&["check", "none.json"]).code, 1);
    assert_eq!(run(&["check", &dir.join("n0.log").display().to_string()]).code, 2);
    // The socket of the admin listener is in use by the fleet's own gateway.
    let in_use = fleet.dir.path().join("operator.toml").display().to_string();
    let output = run(&["gateway", "--operator", &in_use]);
    assert_eq!(output.code, 1, "{}", output.stderr);
    assert!(!output.stdout.contains("admin on"), "{}", output.stdout);
}
