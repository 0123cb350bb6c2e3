//! Errors of agents that can't start, as recorded.

use std::path::Path;

use agent::run;
use operator_config::OperatorConfig;

/// What is said of an agent that can't start with this file; `{at}` stands for the folder.
async fn refusal(at: &str, text: &str) -> String {
    let text = text.replace("{at}", at);
    let file = OperatorConfig::parse(Path::new("operator.toml"), &text).expect("a good file");
    let agent = file.agent.expect("an agent");
    let ready = |_| panic!("it started");
    let never = std::future::pending();
    let ended = run(&agent, &file.gateways, file.sources.as_ref(), file.start.as_ref(), ready, never).await;
    ended.expect_err("it can't start").to_string().replace(at, "{at}")
}

#[tokio::test]
async fn start_errors_are_as_recorded() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = folder.path().display().to_string();
    std::fs::write(folder.path().join("file"), "no socket, and no log").expect("room");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = taken.local_addr().expect("an address").port();
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
    for (text, said) in cases {
        assert_eq!(refusal(&at, &text).await, said);
    }
}
