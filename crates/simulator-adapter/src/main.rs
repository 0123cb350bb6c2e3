//! Hosts gateways on the bench's wire: batches on standard input, replies on standard output.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use gateway_policy::interface::{Action, BackendEndpoint};
use gateway_policy::{settings, Policy};
use wire::{Frame, Malformed, Record, Reply};

const LISTS: usize = 16;

#[derive(Default)]
struct Host {
    gateways: BTreeMap<u16, Policy>,
    lists: Vec<Vec<BackendEndpoint>>,
}

impl Host {
    /// Plays one batch and gives the reply.
    fn play(&mut self, frame: &Frame) -> Result<Reply, Malformed> {
        let mut reply = Reply::new(frame.number);
        let mut current: Option<u16> = None;
        let mut actions = Vec::new();
        for record in frame.records() {
            let (code, mut fields) = record?;
            match wire::record(code, &mut fields)? {
                Record::Context(instance) => current = Some(instance),
                Record::Directory(bank, entries) => self.lists[bank] = entries,
                Record::Create { seed, settings } => {
                    let gateway = settings::parse(settings)
                        .and_then(|s| Policy::new(s, seed, frame.now))
                        .map_err(|e| Malformed::new(e.to_string()))?;
                    self.gateways.insert(instance(current)?, gateway);
                }
                Record::PowerOff => {
                    self.gateways.remove(&instance(current)?);
                }
                Record::Event(event) => {
                    let instance = instance(current)?;
                    let event = event.resolve(&self.lists)?;
                    let Some(gateway) = self.gateways.get_mut(&instance) else {
                        return Err(Malformed::new(format!("event for instance {instance}, never created")));
                    };
                    actions.clear();
                    let run = || gateway.handle(frame.now, event, &mut actions);
                    if let Err(panic) = catch_unwind(AssertUnwindSafe(run)) {
                        reply.bug(instance, &panic_text(&*panic));
                        return Ok(reply);
                    }
                    actions.iter().for_each(|action: &Action| reply.action(instance, action));
                }
            }
        }
        Ok(reply)
    }
}

fn instance(current: Option<u16>) -> Result<u16, Malformed> {
    current.ok_or_else(|| Malformed::new("a record before any Context"))
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_string()
}

fn run(input: &mut dyn Read, output: &mut dyn Write) -> Result<(), String> {
    let mut host = Host { lists: vec![Vec::new(); LISTS], ..Host::default() };
    while let Some(frame) = Frame::read(input).map_err(|e| e.to_string())? {
        let reply = host.play(&frame).map_err(|e| format!("batch {}: {e}", frame.number))?;
        output.write_all(&reply.finish()).and_then(|()| output.flush()).map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match run(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
