//! The shipped file, defaults, and errors of invalid files.

use std::path::Path;

use operator_config::OperatorConfig;

fn parse(text: &str) -> Result<OperatorConfig, String> {
    OperatorConfig::parse(Path::new("operator.toml"), text).map_err(|e| e.to_string())
}

#[test]
fn shipped_file_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/operator.toml");
    let file = OperatorConfig::read(&path).expect("valid file");
    assert!(file.admin.is_some() && file.agent.is_some());
}

#[test]
fn fills_in_defaults_and_enables_nothing_without_sections() {
    assert_eq!(parse(""), Ok(OperatorConfig::default()));
    let file = parse("[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"").expect("valid file");
    assert_eq!(file.agent.expect("an agent").heartbeat_ms, 1_000);
}

#[test]
fn errors_name_line_and_key() {
    let cases = [
        ("[admin]\nlisten = \"tcp:127.0.0.1:7\"", "admin.listen: TCP needs [admin.tls]"),
        ("[admin]\nlisten = \"/a\"", "line 2"),
        ("[admin]\nlisen = \"unix:/a\"", "unknown field `lisen`"),
        ("[admin]\n", "missing field `listen`"),
        ("[agent]\nlisten = \"unix:/a\"\nlog = 7", "line 3"),
        ("[agent]\nlisten = \"tcp:127.0.0.1:7\"\nlog = \"/b\"", "agent.listen: a Unix socket"),
        ("[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\nleast_ready = 2.0", "agent.least_ready: 0 to 1"),
        ("[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\nfan_out = 0", "agent.fan_out: 1 to 4096"),
        ("[[gateway]]\nname = \"a\"\nadmin = \"tcp:127.0.0.1:7\"", "gateway[0].admin: TCP needs"),
        ("[admin]\nlisten = \"unix:/a\"\nagent = \"tcp:127.0.0.1:7\"", "admin.agent: TCP needs [admin.tls]"),
        (
            "[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\nregister = \"tcp:127.0.0.1:7\"",
            "agent.register: TCP needs [agent.tls]",
        ),
        ("[start]\nlist_calls_per_s = 0", "start.list_calls_per_s: 0.1 to 10000"),
        ("[start]\nlist_calls_per_s = nan", "start.list_calls_per_s: 0.1 to 10000"),
        ("[start]\n", "missing field `list_calls_per_s`"),
        (
            "[start]\nlist_calls_per_s = 1\ncounter_calls_per_s = 0",
            "start.counter_calls_per_s: 0.1 to 1000000",
        ),
        (
            "[start]\nlist_calls_per_s = 1\nbackend_connections_per_s = 0",
            "start.backend_connections_per_s: 0.1 to 10000",
        ),
        (
            "[admin]\nlisten = \"unix:/a\"\n[start]\nlist_calls_per_s = 1\nordered_by_agent = true",
            "start.ordered_by_agent: [admin] with agent",
        ),
        ("[start]\nlist_calls_per_s = 1\nordered_by_agent = true", "start.ordered_by_agent: [admin]"),
        ("[routing]\nsubset = 0", "routing.subset: 1 to 100000"),
        ("[routing]\nchoices = 65\nwhole = 2000", "routing.choices: 1 to 64"),
        ("[routing]\nsubsets = 64", "unknown field `subsets`"),
        ("[routing]\ncoverage = -1", "line 2"),
        ("[sources]\nlisten = \"127.0.0.1:1\"\nservices = []\nresolvers = []", "sources.resolvers: 1"),
        (
            "[sources]\nlisten = \"127.0.0.1:1\"\nservices = [\"till.org\"]\nresolvers = []",
            "sources.services[0]: a service is wanted",
        ),
        ("[sources]\nlisten = \"here\"", "line 2"),
        ("[adm", "line 1"),
    ];
    for (text, expected) in cases {
        let error = parse(text).expect_err(text);
        assert!(error.contains(expected) && error.starts_with("operator.toml"), "{text}: {error}");
    }
    let gateway = "[[gateway]]\nname = \"a\"\nadmin = \"unix:/a\"\n";
    assert!(parse(&gateway.repeat(2)).expect_err("duplicate name").contains("gateway[1].name"));
}
