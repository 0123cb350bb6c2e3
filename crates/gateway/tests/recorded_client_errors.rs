//! Responses to bytes and commands that are not valid requests, compared byte by byte with those of an
//! earlier version of the program (`tests/data/bad_commands.txt`).

#[path = "support/gateway_rig.rs"]
mod gateway_rig;
#[path = "support/recorded.rs"]
mod recorded;

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use gateway_rig::*;

/// Bytes of a command that the recorded file shows at most.
const MAX_SHOWN_BYTES: usize = 120;

/// Sends some bytes and then a `PING`. Returns everything received up to the response to the `PING` or the
/// end of the connection.
fn response_to(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).expect("connect to the gateway");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    stream.write_all(&[bytes, &command(&["PING"])].concat()).expect("write to the socket");
    let (mut received, mut buffer) = (Vec::new(), [0; 1024]);
    loop {
        match stream.read(&mut buffer).expect("read the response") {
            0 => return format!("{}(end)", received.escape_ascii()),
            n => received.extend_from_slice(&buffer[..n]),
        }
        if received.ends_with(b"+PONG\r\n") {
            return received.escape_ascii().to_string();
        }
    }
}

/// Byte sequences that are not RESP or exceed the limits of the service.
fn malformed() -> Vec<Vec<u8>> {
    let long = "x".repeat(65_537);
    let texts = [
        "GET / HTTP/1.1\r\n\r\n".to_string(),
        "\r\n".to_string(),
        "*1\r\n\r\n".to_string(),
        "*1\r\n$-5\r\nPING\r\n".to_string(),
        "*1\r\n$x\r\nPING\r\n".to_string(),
        "*x\r\n".to_string(),
        "*-2\r\n".to_string(),
        "*1\r\n$3\r\nPING\r\n".to_string(),
        "*17\r\n".to_string(),
        "*99999999\r\n".to_string(),
        "*1\r\n*1\r\n$4\r\nPING\r\n".to_string(),
        "*1\r\n$65537\r\n".to_string(),
        format!("*5\r\n$9\r\nAPI.WRITE\r\n$65537\r\n{long}\r\n"),
        format!("*3\r\n$60000\r\n{0}\r\n$60000\r\n{0}\r\n", &long[..60_000]),
        format!("+{}\r\n", &long[..5_000]),
        "(1\r\n".to_string(),
        "#t\r\n".to_string(),
        "%1\r\n".to_string(),
    ];
    texts.into_iter().map(String::into_bytes).chain([b"\x00\x01\x02\r\n".to_vec()]).collect()
}

/// Complete RESP messages that are not valid requests of the service.
fn invalid() -> Vec<Vec<u8>> {
    let plain = [
        "*0\r\n",
        "*-1\r\n",
        "$-1\r\n",
        "$4\r\nPING\r\n",
        "+PING\r\n",
        "-ERR\r\n",
        ":1\r\n",
        "*1\r\n$-1\r\n",
        "*1\r\n+PING\r\n",
        "*1\r\n:1\r\n",
        "*1\r\n$0\r\n\r\n",
    ];
    let good = request_args(1, "safe", "free", 1, 8000);
    let with = |index: usize, from: &str, to: &str| {
        let mut changed = good.clone();
        assert!(changed[index].contains(from), "{from} does not occur in the command");
        changed[index] = changed[index].replace(from, to);
        changed
    };
    let mut keyless = request_args(1, "keyed", "free", 1, 8000);
    keyless[3] = keyless[3].replace(",k=5c0f6e1a2b3d4c59", "");
    let mut extra_argument = request_args(1, "unsafe", "free", 1, 8000);
    extra_argument.push("more".to_string());
    let calls = [
        with(0, "API.READ", "API.DELETE"),
        with(0, "API.READ", "API.WRITE"),
        with(0, "API.READ", "api.write"),
        with(0, "API.READ", "PING"),
        with(1, "00000000", "ffffffff"),
        with(1, "b4d65521", "nonsense"),
        with(1, "00000000b4d65521", ""),
        with(2, "0001", "1"),
        with(2, "0001", "000g"),
        with(3, "c=safe", "c=other"),
        with(3, "c=safe", "c="),
        with(3, "c=safe", "c=unsafe"),
        with(3, "t=free", "t=other"),
        with(3, "t=free", "t"),
        with(3, "d=8000", "d=soon"),
        with(3, "d=8000", "d=0"),
        with(3, "d=8000", "d=-1"),
        with(3, "d=8000", "d=1e3"),
        with(3, "d=8000", "d=86400001"),
        with(3, "d=8000,", ""),
        with(3, "units=1", "units=NaN"),
        with(3, "units=1", "units=inf"),
        with(3, "units=1", "units=-1"),
        with(3, "units=1", "units=0"),
        with(3, "units=1", "units=9"),
        with(3, "spread=2", "spread=0"),
        with(3, "spread=2", "spread=3"),
        with(3, "spread=2", "spread=1.5"),
        with(3, "spread=2", "spread="),
        with(3, "first=0", "first=2"),
        with(3, ",first=0", ""),
        with(3, ",", ";"),
        good[..1].to_vec(),
        good[..3].to_vec(),
        vec![good[0].clone(); 4],
        vec!["SUBSCRIBE".to_string()],
        vec!["PING".to_string(), "hello".to_string()],
        vec!["QUIT".to_string()],
        vec!["INFO".to_string()],
        keyless,
        extra_argument,
    ];
    let calls = calls.iter().map(|words| command(&as_strs(words)));
    let invalid_utf8 =
        b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000001\r\n$2\r\n\xff\xfe\r\n";
    plain.iter().map(|text| text.as_bytes().to_vec()).chain(calls).chain([invalid_utf8.to_vec()]).collect()
}

#[test]
fn invalid_commands_get_recorded_responses() {
    let rig = Rig::with_config(1, |_| {});
    let mut actual = String::new();
    for bytes in malformed().into_iter().chain(invalid()) {
        let shown = bytes[..bytes.len().min(MAX_SHOWN_BYTES)].escape_ascii().to_string();
        let answer = response_to(rig.gateway.address, &bytes);
        writeln!(actual, "{shown} ({} bytes)\n  -> {answer}", bytes.len()).expect("write to a string");
    }
    assert!(rig.backends_idle(), "a command was forwarded");
    recorded::assert_recorded("bad_commands.txt", &actual);
}
