//! A backend is drained by order, and the tool waits for its work, while one gateway can't be reached any more.

use crate::base::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;

/// What a backend takes for the costly request.
const COSTLY_MS: u64 = 6_000;

/// The line between the agent and a gateway: passes all bytes on until it is cut, and nothing from then on.
fn line(from: PathBuf, to: PathBuf, cut: Arc<AtomicBool>) {
    let listener =
        UnixListener::bind(&from).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", from.display())));
    thread::spawn(move || {
        let mut held = Vec::new();
        for near in listener.incoming().flatten() {
            if cut.load(Ordering::Relaxed) {
                held.push(near);
                continue;
            }
            let Ok(far) = UnixStream::connect(&to) else { continue };
            for (mut from, mut to) in [(near.try_clone().unwrap(), far.try_clone().unwrap()), (far, near)] {
                let cut = Arc::clone(&cut);
                thread::spawn(move || {
                    let mut bytes = [0; 16 * 1024];
                    loop {
                        let Ok(n) = from.read(&mut bytes) else { return };
                        while cut.load(Ordering::Relaxed) {
                            thread::sleep(ms(100));
                        }
                        if n == 0 || to.write_all(&bytes[..n]).is_err() {
                            let _ = to.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        }
    });
}

pub fn run(case: &Case) -> ! {
    let running: Arc<Mutex<Option<(usize, String)>>> = Arc::default();
    let restarted = Arc::new(AtomicBool::new(false));
    let list: Vec<Listed> = (0..4)
        .map(|number| {
            let (record, running) = (Arc::clone(&case.record), Arc::clone(&running));
            let restarted = Arc::clone(&restarted);
            let address = backend(move |request, out| {
                record.line(&format!("s-{number}: begins {}", request.id));
                *running.lock().unwrap() = Some((number, request.id.clone()));
                for _ in 0..COSTLY_MS / 10 {
                    thread::sleep(ms(10));
                    if restarted.load(Ordering::SeqCst) {
                        record.line(&format!("s-{number}: ends in the middle of {}", request.id));
                        return Err(std::io::Error::other("restarted"));
                    }
                }
                record.line(&format!("s-{number}: has run {}", request.id));
                out.write_all(&served(request.id.as_bytes(), 1.0))
            });
            Listed::new(&format!("s-{number}"), address, number as u32 / 2)
        })
        .collect();
    let known = list_json(&list);
    let (discovery, counter) = (Discovery::start(list), Counter::start());
    let folder = case.folder.display().to_string();
    let operator = case.folder.join("operator.toml");
    let text = format!(
        "[admin]\nlisten = \"unix:{folder}/{{name}}.sock\"\n[agent]\nlisten = \"unix:{folder}/agent.sock\"\n\
         log = \"{folder}/orders.redb\"\n[[gateway]]\nname = \"n0\"\nadmin = \"unix:{folder}/n0-line.sock\"\n\
         [[gateway]]\nname = \"n1\"\nadmin = \"unix:{folder}/n1.sock\"\n"
    );
    std::fs::write(&operator, text).unwrap();
    let arguments = format!("--operator {}", operator.display());
    let cut = Arc::new(AtomicBool::new(false));
    line(case.folder.join("n0-line.sock"), case.folder.join("n0.sock"), Arc::clone(&cut));
    let mut fleet = Vec::new();
    for me in 0..2 {
        let (name, listen) = (format!("n{me}"), free_address());
        let config = Config {
            name: name.clone(),
            listen,
            discovery: discovery.address,
            counter: counter.address,
            memory_mb: 128,
            sockets: 1024,
            me,
            gateways: 2,
            deadlines_ms: [8_000; 3],
            chain: [11.0, 32.0, 25.0, 70.0, 8.0],
            known: known.clone(),
            lists: "push",
        };
        let path = case.folder.join(format!("{name}.json"));
        config.write(&path);
        fleet.push((case.gateway(&name, &path, &arguments), listen));
        case.wait_ready(listen);
    }
    let ctl = case.root.join("target/release/gatewayctl");
    let mut agent = Command::new(&ctl);
    agent.args(["agent", "--operator"]).arg(&operator);
    let mut agent = spawn(agent.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()))
        .unwrap_or_else(|e| cannot_run(&format!("gatewayctl: {e}")));
    let address = format!("unix:{folder}/agent.sock");
    let mut known = false;
    for _ in 0..100 {
        let status = Command::new(&ctl).args(["status", "--agent", &address]).output();
        known = status.is_ok_and(|status| status.status.success());
        if known {
            break;
        }
        thread::sleep(ms(100));
    }
    if !known {
        cannot_run("the agent doesn't reach both gateways");
    }

    let (record, listen) = (Arc::clone(&case.record), fleet[0].1);
    let (answered, answer) = mpsc::channel();
    thread::spawn(move || {
        let id = Ids::new().next();
        let terms = "c=card-charge,t=standard,d=8000,units=1,spread=2,first=0";
        record.line(&format!("client: sends {id} to n0"));
        let got = Client::open(listen).and_then(|mut client| {
            client.stream.set_read_timeout(Some(ms(9_000)))?;
            client.send(&command(&[
                b"API.WRITE",
                b"0000000000008000",
                id.as_bytes(),
                terms.as_bytes(),
                b"body",
            ]))?;
            client.read()
        });
        let text = match &got {
            Ok(Answer::Value(value)) => format!("a value of {} bytes", value.len()),
            Ok(Answer::Line(line)) => line.clone(),
            Err(e) => format!("no answer: {e}"),
        };
        record.line(&format!("client: {id} gets {text}"));
        let _ = answered.send(matches!(got, Ok(Answer::Value(_))));
    });
    let backend = loop {
        if let Some((number, _)) = running.lock().unwrap().clone() {
            break format!("s-{number}");
        }
        thread::sleep(ms(10));
    };

    case.record.line(&format!("operator: gatewayctl drain {backend} --wait"));
    let mut tool = Command::new(&ctl);
    tool.args(["drain", &backend, "--wait", "--agent", &address]).stdin(Stdio::null());
    let mut tool = spawn(tool.stdout(Stdio::piped()).stderr(Stdio::piped()))
        .unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut lines = BufReader::new(tool.stderr.take().unwrap()).lines();
    let first = lines.next().and_then(Result::ok).unwrap_or_default();
    case.record.line(&format!("tool: {first}"));
    if case.trouble {
        cut.store(true, Ordering::SeqCst);
        case.record.line("line: nothing passes between the agent and n0 from now on");
    }
    for text in lines.map_while(Result::ok) {
        case.record.line(&format!("tool: {text}"));
    }
    let mut table = String::new();
    let _ = tool.stdout.take().unwrap().read_to_string(&mut table);
    let status = tool.wait().unwrap_or_else(|e| cannot_run(&e.to_string()));
    for text in table.lines() {
        case.record.line(&format!("tool: {text}"));
    }
    case.record.line(&format!("tool: ends with {status}"));
    if status.success() {
        case.record.line(&format!("operator: restarts {backend}, which has no work left by the tool's word"));
        restarted.store(true, Ordering::SeqCst);
    }
    let served = answer.recv_timeout(ms(9_500)).unwrap_or(false);
    end_process(&mut agent);
    drop(fleet);
    case.end(
        status.success() && !served,
        &format!("the tool ended with {status}; the request that {backend} ran got its value: {served}"),
    )
}
