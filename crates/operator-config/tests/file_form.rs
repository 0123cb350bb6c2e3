//! Pins the format of the operator's file: where each key is read to, the defaults, and the error texts of
//! invalid files.

use std::path::{Path, PathBuf};
use std::time::Duration;

use operator_config::{Address, OperatorConfig, StartConfig, TlsConfig};

/// Cases separated by lines of `=====`: the text of the file, a line of `-----`, and the error text.
const INVALID_FILES: &str = include_str!("data/wrong-files.txt");

fn parse(text: &str) -> Result<OperatorConfig, String> {
    OperatorConfig::parse(Path::new("operator.toml"), text).map_err(|e| e.to_string())
}

fn tls(certificate: &str, key: &str, authorities: &str) -> Option<TlsConfig> {
    Some(TlsConfig { certificate: certificate.into(), key: key.into(), authorities: authorities.into() })
}

fn address(text: &str) -> Address {
    text.parse().expect("valid address")
}

#[test]
fn reads_every_key_into_its_field() {
    let file = parse(include_str!("data/full.toml")).expect("valid file");

    let admin = file.admin.expect("admin");
    assert_eq!(admin.listen, Address::Unix(PathBuf::from("/run/{name}.sock")));
    assert_eq!(admin.agent, Some(address("tcp:127.0.0.1:7100")));
    assert_eq!(admin.tls, tls("/etc/gateway.pem", "/etc/gateway.key", "/etc/agents-ca.pem"));

    let routing = file.routing;
    assert_eq!((routing.whole, routing.choices, routing.subset, routing.coverage), (17, 9, 6, 4));

    let start = file.start.expect("start");
    assert_eq!(start.list_calls_per_s, 50.5);
    assert_eq!(start.backend_connections_per_s, Some(51.5));
    assert_eq!(start.counter_calls_per_s, Some(252.5));
    assert!(start.ordered_by_agent);

    let agent = file.agent.expect("agent");
    assert_eq!(agent.listen, Address::Unix(PathBuf::from("/run/agent.sock")));
    assert_eq!(agent.register, Some(address("tcp:127.0.0.1:7101")));
    assert_eq!(agent.log, PathBuf::from("/var/lib/orders.redb"));
    assert_eq!(agent.least_ready, 0.75);
    assert_eq!((agent.heartbeat_ms, agent.answer_ms, agent.fan_out), (1_001, 1_002, 257));
    assert_eq!(agent.heartbeat_interval(), Duration::from_millis(1_001));
    assert_eq!(agent.response_timeout(), Duration::from_millis(1_002));
    assert_eq!(agent.tls, tls("/etc/agent.pem", "/etc/agent.key", "/etc/gateways-ca.pem"));

    let sources = file.sources.expect("sources");
    assert_eq!(sources.listen.to_string(), "127.0.0.1:8600");
    assert_eq!(sources.services, ["_till._tcp.ub-room.example.org", "_desk._tcp.example.org."]);
    let resolvers: Vec<String> = sources.resolvers.iter().map(ToString::to_string).collect();
    assert_eq!(resolvers, ["127.0.0.1:53", "[::1]:5353"]);
    assert_eq!((sources.answer_ms, sources.shrink_most), (1_003, 0.25));
    assert_eq!((sources.ttl_least_s, sources.ttl_most_s, sources.stale_most_s), (2, 3_601, 86_401));
    assert_eq!(sources.questions, 65);

    let gateways: Vec<(String, String)> =
        file.gateways.iter().map(|gateway| (gateway.name.clone(), gateway.admin.to_string())).collect();
    let gateway = |name: &str, admin: &str| (name.to_string(), admin.to_string());
    assert_eq!(gateways, [gateway("n0", "unix:/run/n0.sock"), gateway("n1", "tcp:127.0.0.1:7102")]);
}

#[test]
fn fills_in_the_recorded_defaults() {
    let text = "[start]\nlist_calls_per_s = 1\n[routing]\n[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\n\
                [sources]\nlisten = \"127.0.0.1:1\"\nservices = [\"_a._tcp.b\"]\n\
                resolvers = [\"127.0.0.1:53\"]";
    let file = parse(text).expect("valid file");
    let routing = file.routing;
    assert_eq!((routing.whole, routing.choices, routing.subset, routing.coverage), (16, 8, 5, 3));
    let start = StartConfig {
        list_calls_per_s: 1.0,
        backend_connections_per_s: None,
        counter_calls_per_s: None,
        ordered_by_agent: false,
    };
    assert_eq!(file.start, Some(start));
    let agent = file.agent.expect("agent");
    assert_eq!((agent.register, agent.tls, agent.least_ready), (None, None, 0.5));
    assert_eq!((agent.heartbeat_ms, agent.answer_ms, agent.fan_out), (1_000, 1_000, 256));
    let sources = file.sources.expect("sources");
    assert_eq!((sources.answer_ms, sources.shrink_most, sources.questions), (1_000, 0.5, 64));
    assert_eq!((sources.ttl_least_s, sources.ttl_most_s, sources.stale_most_s), (1, 3_600, 86_400));
    assert!(file.admin.is_none() && file.gateways.is_empty());
}

#[test]
fn invalid_files_have_recorded_errors() {
    let cases: Vec<&str> = INVALID_FILES.split("=====\n").filter(|case| !case.is_empty()).collect();
    assert_eq!(cases.len(), 71);
    for case in cases {
        let (text, error) = case.split_once("-----\n").expect("a text and its error");
        assert_eq!(parse(text).expect_err(text), error.trim_end_matches('\n'), "{text}");
    }
}

#[test]
fn error_names_an_unreadable_file() {
    let error =
        OperatorConfig::read(Path::new("/nonexistent/operator.toml")).expect_err("no such file").to_string();
    assert_eq!(error, "/nonexistent/operator.toml: No such file or directory (os error 2)");
}

#[test]
fn inserts_the_gateway_name_into_addresses() {
    let with_placeholder = address("unix:/run/{name}/{name}.sock");
    assert_eq!(with_placeholder.for_gateway("n1").to_string(), "unix:/run/n1/n1.sock");
    assert_eq!(with_placeholder.for_gateway("a/b\0c").to_string(), "unix:/run/a_b_c/a_b_c.sock");
    assert_eq!(address("tcp:[::1]:7").for_gateway("n1").to_string(), "tcp:[::1]:7");
    for text in ["", "unix:", "/a", "tcp:localhost:1", "udp:127.0.0.1:1"] {
        let error = text.parse::<Address>().expect_err(text).to_string();
        assert_eq!(error, "unix:PATH or tcp:ADDRESS:PORT is wanted");
    }
}

#[test]
fn rejects_too_many_gateways() {
    let gateways: String =
        (0..10_001).map(|i| format!("[[gateway]]\nname = \"n{i}\"\nadmin = \"unix:/a\"\n")).collect();
    let error = parse(&gateways).expect_err("too many");
    assert_eq!(error, "operator.toml: gateway: too many; 10000 at most");
}
