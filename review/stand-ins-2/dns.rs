//! A service in DNS-SD: its zone, answers to queries, and the agent that builds the list from them.

use crate::base::*;
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;

const SERVICE: &str = "_till._tcp.ub-room.example.org";

/// The records of the zone, by name and type; all of them exist all the time.
pub fn zone(backends: &[SocketAddr]) -> HashMap<(String, u16), Vec<Vec<u8>>> {
    let mut zone: HashMap<(String, u16), Vec<Vec<u8>>> = HashMap::new();
    for (number, address) in backends.iter().enumerate() {
        let (instance, host) = (format!("s-{number}.{SERVICE}"), format!("h{number}.example.org"));
        zone.entry((SERVICE.into(), 12)).or_default().push(name_bytes(&instance));
        let mut srv = vec![0, 0, 0, 10];
        srv.extend_from_slice(&address.port().to_be_bytes());
        srv.extend_from_slice(&name_bytes(&host));
        zone.insert((instance.clone(), 33), vec![srv]);
        let mut txt = Vec::new();
        for text in [
            "zone=ub-room".to_string(),
            "type=gen2".into(),
            format!("group={}", number / 2 + 1),
            "status=serving".into(),
        ] {
            txt.push(text.len() as u8);
            txt.extend_from_slice(text.as_bytes());
        }
        zone.insert((instance, 16), vec![txt]);
        zone.insert((host, 1), vec![vec![127, 0, 0, 1]]);
    }
    zone
}

fn name_bytes(name: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in name.split('.') {
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

/// Reads the question of a query: its name, its type, and where it ends.
pub fn question(query: &[u8]) -> Option<(String, u16, usize)> {
    let (mut at, mut labels) = (12, Vec::new());
    loop {
        let length = *query.get(at)? as usize;
        at += 1;
        if length == 0 {
            break;
        }
        labels.push(String::from_utf8_lossy(query.get(at..at + length)?).to_ascii_lowercase());
        at += length;
    }
    let kind = u16::from_be_bytes([*query.get(at)?, *query.get(at + 1)?]);
    Some((labels.join("."), kind, at + 4))
}

/// Answers a query from the zone. `ttl_s` is the life of each record.
pub fn answer(query: &[u8], zone: &HashMap<(String, u16), Vec<Vec<u8>>>, ttl_s: u32) -> Option<Vec<u8>> {
    let (name, kind, end) = question(query)?;
    let records = zone.get(&(name.clone(), kind)).cloned().unwrap_or_default();
    let known = zone.keys().any(|(known, _)| *known == name);
    let mut bytes = query[..2].to_vec();
    bytes.extend_from_slice(&[0x81, if known { 0x80 } else { 0x83 }, 0, 1]);
    bytes.extend_from_slice(&(records.len() as u16).to_be_bytes());
    // An answer without records carries the zone's SOA.
    bytes.extend_from_slice(&[0, u8::from(records.is_empty()), 0, 0]);
    bytes.extend_from_slice(&query[12..end]);
    let mut add = |owner: &str, kind: u16, data: &[u8]| {
        bytes.extend_from_slice(&name_bytes(owner));
        bytes.extend_from_slice(&kind.to_be_bytes());
        bytes.extend_from_slice(&[0, 1]);
        bytes.extend_from_slice(&ttl_s.to_be_bytes());
        bytes.extend_from_slice(&(data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(data);
    };
    for record in &records {
        add(&name, kind, record);
    }
    if records.is_empty() {
        let mut soa = [name_bytes("ns.example.org"), name_bytes("admin.example.org")].concat();
        for number in [1_u32, 3_600, 600, 86_400, ttl_s] {
            soa.extend_from_slice(&number.to_be_bytes());
        }
        add("example.org", 6, &soa);
    }
    Some(bytes)
}

pub struct Agent(Child);

impl Drop for Agent {
    fn drop(&mut self) {
        end_process(&mut self.0);
    }
}

/// Writes the operators' file: an agent that builds the list from the resolver's records and serves it.
pub fn operators_file(case: &Case, list: SocketAddr, resolver: SocketAddr) -> String {
    let folder = case.folder.display();
    let operator = case.folder.join("operator.toml");
    let text = format!(
        "[admin]\nlisten = \"unix:{folder}/{{name}}.sock\"\n[agent]\nlisten = \"unix:{folder}/agent.sock\"\n\
         log = \"{folder}/orders.redb\"\n[sources]\nlisten = \"{list}\"\nservices = [\"{SERVICE}\"]\n\
         resolvers = [\"{resolver}\"]\n[[gateway]]\nname = \"n0\"\nadmin = \"unix:{folder}/n0.sock\"\n"
    );
    std::fs::write(&operator, text).unwrap();
    operator.display().to_string()
}

pub fn start_agent(case: &Case, operator: &str, list: SocketAddr, number: u32) -> Agent {
    let log = File::create(case.folder.join(format!("agent{number}.log"))).unwrap();
    let mut command = Command::new(case.root.join("target/release/gatewayctl"));
    command
        .args(["agent", "--operator", operator])
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log);
    let child = spawn(&mut command).unwrap_or_else(|e| cannot_run(&format!("gatewayctl: {e}")));
    case.record.line(&format!("operator: starts the agent, process {}", child.id()));
    for _ in 0..200 {
        if TcpStream::connect(list).is_ok() {
            return Agent(child);
        }
        thread::sleep(ms(25));
    }
    cannot_run("the agent does not serve its list")
}

/// Fetches the list as a gateway does. Returns the status and how many backends it names.
pub fn fetch(list: SocketAddr) -> Option<(u16, usize)> {
    let mut stream = TcpStream::connect(list).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    stream.write_all(b"GET /discovery/hosts HTTP/1.1\r\nhost: list\r\nconnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    let mut reader = BufReader::new(stream);
    reader.read_line(&mut text).ok()?;
    let status = text.split_whitespace().nth(1)?.parse().ok()?;
    let _ = reader.read_to_string(&mut text);
    Some((status, text.matches("\"SERVING\"").count()))
}
