use serde_json::json;

use super::*;

fn lines_and_keys(faults: &[Fault]) -> Vec<(Option<usize>, &str)> {
    faults.iter().map(|fault| (fault.line, fault.key.as_str())).collect()
}

#[test]
fn names_line_and_key_of_each_fault_in_a_gateway_config() {
    let address = "127.0.0.1:9".parse().expect("an address");
    let known = json!({"index": 0, "snapshot": true, "endpoints": []});
    let mut config = testbed::platform::config(0, 2, address, address, &known, None);
    let pretty = |config: &serde_json::Value| serde_json::to_string_pretty(config).expect("JSON");
    assert_eq!(lines_and_keys(&check_gateway_config(&pretty(&config))), []);
    config["listen"] = json!("here");
    config["seed"] = json!(7);
    config["settings"]["profiles"][1]["aim-ms"] = json!("long");
    config["settings"]["profiles"][2]["effect"] = json!("odd");
    config["settings"]["contract"].as_object_mut().expect("a section").remove("warm-up-ms");
    config.as_object_mut().expect("a section").remove("counter");
    let text = pretty(&config);
    let line = |pattern: &str| text.lines().position(|l| l.contains(pattern)).map(|n| n + 1);
    let mut found = check_gateway_config(&text);
    found.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(
        lines_and_keys(&found),
        [
            (Some(1), "counter"),
            (line("\"here\""), "listen"),
            (line("\"seed\""), "seed"),
            // A missing key is reported on the line on which its section begins.
            (line("\"contract\""), "settings.contract.warm-up-ms"),
            (line("\"long\""), "settings.profiles[1].aim-ms"),
            (line("\"odd\""), "settings.profiles[2].effect"),
        ]
    );
    assert_eq!(lines_and_keys(&check_gateway_config("{\n\"a\": }")), [(Some(2), "not JSON")]);
}

#[test]
fn names_line_and_key_of_each_fault_in_an_operator_config() {
    let check = |text: &str| check_operator_config(Path::new("a.toml"), text);
    assert!(check("").is_empty());
    let out_of_range = "[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\nleast_ready = 3.0\nfan_out = 0\n";
    assert_eq!(
        lines_and_keys(&check(out_of_range)),
        [(Some(4), "agent.least_ready"), (Some(5), "agent.fan_out")]
    );
    assert_eq!(lines_and_keys(&check("[agent]\nlisen = \"unix:/a\"\n")), [(Some(2), "lisen")]);
    let section = "[[gateway]]\nname = \"a\"\nadmin = \"unix:/a\"\n\n";
    assert_eq!(lines_and_keys(&check(&section.repeat(2))), [(Some(6), "gateway[1].name")]);
}
