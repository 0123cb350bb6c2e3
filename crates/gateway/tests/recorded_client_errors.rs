//! The bytes that clients get for what is no request of the service, as an earlier program sent them
//! (`tests/data/bad_commands.txt`).

#[path = "support/gateway_rig.rs"]
mod gateway_rig;
#[path = "support/recorded.rs"]
mod recorded;

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use gateway_rig::*;

/// The longest part of a command that is shown in the record.
const SHOWN_MOST: usize = 120;

/// All that comes for some bytes and a `PING` behind them, to the answer of that or the connection's end.
fn answered(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).expect("connect to the gateway");
    stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
    stream.write_all(&[bytes, &command(&["PING"])].concat()).expect("write to the socket");
    let (mut all, mut piece) = (Vec::new(), [0; 1024]);
    loop {
        match stream.read(&mut piece).expect("read the response") {
            0 => return format!("{}(end)", all.escape_ascii()),
            n => all.extend_from_slice(&piece[..n]),
        }
        if all.ends_with(b"+PONG\r\n") {
            return all.escape_ascii().to_string();
        }
    }
}

/// Bytes that are no RESP, or no message of the service.
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

/// Messages that are whole, and none of the service.
fn unknown() -> Vec<Vec<u8>> {
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
    let good = call(1, "safe", "free", 1, 8000);
    let with = |place: usize, from: &str, to: &str| {
        let mut changed = good.clone();
        assert!(changed[place].contains(from), "{from} is there to be changed");
        changed[place] = changed[place].replace(from, to);
        changed
    };
    let mut keyless = call(1, "keyed", "free", 1, 8000);
    keyless[3] = keyless[3].replace(",k=5c0f6e1a2b3d4c59", "");
    let mut more = call(1, "unsafe", "free", 1, 8000);
    more.push("more".to_string());
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
        more,
    ];
    let calls = calls.iter().map(|each| command(&words(each)));
    let no_text =
        b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000001\r\n$2\r\n\xff\xfe\r\n";
    plain.iter().map(|text| text.as_bytes().to_vec()).chain(calls).chain([no_text.to_vec()]).collect()
}

#[test]
fn what_is_no_request_is_answered_with_the_recorded_bytes() {
    let rig = Rig::with_config(1, |_| {});
    let mut seen = String::new();
    for bytes in malformed().into_iter().chain(unknown()) {
        let shown = bytes[..bytes.len().min(SHOWN_MOST)].escape_ascii().to_string();
        let answer = answered(rig.gateway.address, &bytes);
        writeln!(seen, "{shown} ({} bytes)\n  -> {answer}", bytes.len()).expect("write to a string");
    }
    assert!(rig.backends_idle(), "something was sent on");
    recorded::assert_recorded("bad_commands.txt", &seen);
}
