//! Changes of settings with SIGHUP while the built gateway serves requests, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::time::Instant;

use gateway_rig::*;
use serde_json::{json, Value};

/// Returns the configuration with one more class, `new`, which is a copy of the class `safe`.
fn with_new_class(config: &Value) -> Value {
    let mut config = config.clone();
    let mut class = config["settings"]["profiles"][0].clone();
    class["name"] = json!("new");
    config["settings"]["profiles"].as_array_mut().expect("JSON array").push(class);
    config
}

/// Reloads the configuration and returns the log line with the result.
fn reload(rig: &mut Rig, text: &str) -> String {
    rig.gateway.reload(text);
    loop {
        let line = rig.gateway.next_log_line();
        if line.contains("SIGHUP") {
            return line;
        }
    }
}

/// Sends a request and returns the response. If the request reaches a backend, the backend serves it.
fn send_request(rig: &Rig, client: &mut Client, id: u64, class: &str) -> String {
    let mut request = request_args(id, "safe", "free", 1, 8000);
    request[3] = request[3].replace("c=safe", &format!("c={class}"));
    client.send(&as_strs(&request));
    let start = Instant::now();
    loop {
        assert!(start.elapsed() < MESSAGE_TIMEOUT, "no answer");
        for backend in &rig.backends {
            if let Some(mut arrived) = backend.try_next() {
                arrived.serve("fine");
                return client.read();
            }
        }
        if let Some(answer) = client.try_read() {
            return answer;
        }
    }
}

#[test]
fn removed_class_still_applies_to_open_requests() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    assert!(send_request(&rig, &mut client, 1, "new").starts_with("-ERR unknown class"));
    let (with, without) = (with_new_class(&rig.config), rig.config.clone());
    assert!(reload(&mut rig, &with.to_string()).contains("in force"));
    assert_eq!(send_request(&rig, &mut client, 2, "new"), "fine");
    // A request is open while its class is removed.
    let mut open = rig.gateway.client();
    let mut request = request_args(3, "safe", "free", 1, 8000);
    request[3] = request[3].replace("c=safe", "c=new");
    open.send(&as_strs(&request));
    let (_, mut arrived) = rig.next_request();
    assert!(reload(&mut rig, &without.to_string()).contains("in force"));
    assert!(send_request(&rig, &mut client, 4, "new").starts_with("-ERR unknown class"));
    arrived.reply("-ERR failed\r\n");
    // The request is still safe to retry, as it was on arrival: there is another attempt.
    let (_, mut retry) = rig.next_request();
    retry.serve("fine");
    assert_eq!(open.read(), "fine");
}

#[test]
fn changed_attempt_limit_applies_to_later_requests_only() {
    let mut rig = Rig::with_config(2, |_| {});
    let (mut before, mut after) = (rig.gateway.client(), rig.gateway.client());
    before.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut first) = rig.next_request();
    let mut single_attempt = rig.config.clone();
    single_attempt["settings"]["policy-limits"]["max-attempts"] = json!(1);
    assert!(reload(&mut rig, &single_attempt.to_string()).contains("in force"));
    first.reply("-ERR failed\r\n");
    let (_, mut second) = rig.next_request();
    second.serve("fine");
    assert_eq!(before.read(), "fine");
    after.send(&as_strs(&request_args(2, "safe", "free", 1, 8000)));
    let (_, mut only) = rig.next_request();
    only.reply("-ERR failed\r\n");
    assert!(after.read().starts_with('-'), "there must be no second attempt");
    assert!(rig.backends_idle());
}

#[test]
fn changed_class_effect_applies_to_later_requests() {
    let mut rig = Rig::with_config(2, |_| {});
    let mut client = rig.gateway.client();
    let mut other = rig.config.clone();
    other["settings"]["profiles"][2]["effect"] = json!("idempotency_key");
    other["settings"]["profiles"][2]["group"] = json!("all");
    assert!(reload(&mut rig, &other.to_string()).contains("in force"));
    let mut request = request_args(1, "unsafe", "free", 1, 8000);
    request[3] += ",k=5c0f6e1a2b3d4c59";
    client.send(&as_strs(&request));
    let (_, mut first) = rig.next_request();
    first.reply("-ERR failed\r\n");
    let (_, mut second) = rig.next_request();
    second.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn invalid_configuration_is_rejected_as_a_whole() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let good = with_new_class(&rig.config);
    let mut wrong: Vec<(String, &str)> = vec![(String::new(), "not JSON"), ("{}".to_string(), "missing")];
    let text = good.to_string();
    for part in 1..12 {
        wrong.push((text[..text.len() * part / 12].to_string(), "not JSON"));
    }
    let mut change = |pointer: &str, value: Value, reason: &'static str| {
        let mut file = good.clone();
        *file.pointer_mut(pointer).expect("key exists") = value;
        wrong.push((file.to_string(), reason));
    };
    change("/settings/profiles/1/deadline-ms", json!(0), "classes[1]");
    change("/settings/profiles/1/deadline-ms", json!(-5), "classes[1]");
    change("/settings/profiles/1/deadline-ms", json!("soon"), "profiles[1].deadline-ms");
    change("/settings/policy-limits/max-attempts", json!(0), "max_attempts");
    change("/settings/policy-limits/max-attempts", json!(-1), "max-attempts");
    change("/settings/profiles/3/name", json!("safe"), "one name");
    for (section, key) in [("/settings/profiles/3", "aim-ms"), ("/settings", "prices"), ("/limits", "cores")]
    {
        let mut file = good.clone();
        file.pointer_mut(section).and_then(Value::as_object_mut).expect("JSON object").remove(key);
        wrong.push((file.to_string(), key));
    }
    let nan = text.replacen("4000.0", "NaN", 1);
    let huge = text.replacen("4000.0", "1e400", 1);
    wrong.extend([(nan, "not JSON"), (huge, "not JSON")]);
    for (id, (file, reason)) in (1..).zip(wrong) {
        let line = reload(&mut rig, &file);
        assert!(line.contains(reason) && line.contains("stays"), "{reason}: {line}");
        assert!(send_request(&rig, &mut client, id, "new").starts_with("-ERR unknown class"));
    }
    assert!(reload(&mut rig, &text).contains("in force"));
    assert_eq!(send_request(&rig, &mut client, 900, "new"), "fine");
}
