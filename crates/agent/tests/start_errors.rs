//! Exact error messages of agents that can't start.

use std::path::Path;

use agent::run;
use operator_config::OperatorConfig;

/// The error of an agent that can't start with this configuration. `{at}` stands for the directory in both.
async fn start_error(at: &str, text: &str) -> String {
    let text = text.replace("{at}", at);
    let file = OperatorConfig::parse(Path::new("operator.toml"), &text).expect("valid configuration");
    let agent = file.agent.expect("[agent] section");
    let ready = |_| panic!("agent started");
    let never = std::future::pending();
    let result = run(&agent, &file.gateways, file.sources.as_ref(), file.start.as_ref(), ready, never).await;
    result.expect_err("start error").to_string().replace(at, "{at}")
}

#[tokio::test]
async fn start_errors_match_recorded_messages() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let at = directory.path().display().to_string();
    std::fs::write(directory.path().join("file"), "neither a socket nor a log").expect("successful write");
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = occupied.local_addr().expect("an address").port();
    let agent = "[agent]\nlisten = \"unix:{at}/agent.sock\"\nlog = \"{at}/log\"\n";
    let sources = |listen: &str, service: &str| {
        format!(
            "{agent}[sources]\nlisten = \"{listen}\"\nservices = [\"{service}\"]\n\
             resolvers = [\"127.0.0.1:1\"]"
        )
    };
    let cases = [
        (
            format!("{agent}[[gateway]]\nname = \"a b\"\nadmin = \"unix:/a\""),
            "gateway: name holds ' ', which no name holds".to_string(),
        ),
        (
            "[agent]\nlisten = \"unix:{at}/file\"\nlog = \"{at}/log\"".to_string(),
            "unix:{at}/file: is there and no socket".to_string(),
        ),
        (
            "[agent]\nlisten = \"unix:{at}/none/agent.sock\"\nlog = \"{at}/log\"".to_string(),
            "unix:{at}/none/agent.sock: No such file or directory (os error 2)".to_string(),
        ),
        (
            "[agent]\nlisten = \"unix:{at}/agent.sock\"\nlog = \"{at}/none/log\"".to_string(),
            "{at}/none/log: No such file or directory (os error 2)".to_string(),
        ),
        (
            format!("{agent}[agent.tls]\ncertificate = \"{{at}}/file\"\nkey = \"/k\"\nauthorities = \"/a\""),
            "{at}/file: holds no PEM certificate".to_string(),
        ),
        (
            sources(&format!("127.0.0.1:{port}"), "_a._tcp.b"),
            format!("sources: 127.0.0.1:{port}: Address already in use (os error 98)"),
        ),
        (
            sources("127.0.0.1:0", "_a._tcp.b\u{e9}"),
            "sources: _a._tcp.b\u{e9}: Malformed label: b\u{e9}".to_string(),
        ),
    ];
    for (text, message) in cases {
        assert_eq!(start_error(&at, &text).await, message);
    }
}
