//! The gateways that an adapter hosts.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use gateway_policy::interface::{Action, BackendEndpoint};
use gateway_policy::{settings, Policy};

use crate::wire::{DecodedEvent, Frame, Malformed, Record, Reply, LISTS};

/// Gateways by instance number, and the endpoint lists that events refer to.
pub struct Host {
    gateways: BTreeMap<u16, Policy>,
    lists: Vec<Vec<BackendEndpoint>>,
    /// Actions of the current event; kept to reuse the allocation.
    actions: Vec<Action>,
}

/// Why an event could not be handled.
enum Failure {
    Malformed(Malformed),
    /// The gateway panicked, with this text.
    Panic(String),
}

impl From<Malformed> for Failure {
    fn from(error: Malformed) -> Failure {
        Failure::Malformed(error)
    }
}

impl Host {
    /// Creates a host without gateways and with empty lists.
    pub fn new() -> Host {
        Host { gateways: BTreeMap::new(), lists: vec![Vec::new(); LISTS], actions: Vec::new() }
    }

    /// Handles a batch and returns the reply. If a gateway panics, the rest of the batch is skipped.
    pub fn handle_batch(&mut self, frame: &Frame) -> Result<Reply, Malformed> {
        let mut reply = Reply::new(frame.number);
        let mut current: Option<u16> = None;
        for record in frame.records() {
            let (code, mut fields) = record?;
            match Record::decode(code, &mut fields)? {
                Record::Context(instance) => current = Some(instance),
                Record::EndpointList(list, endpoints) => self.lists[list] = endpoints,
                Record::Create { seed, settings } => {
                    let gateway = create(seed, settings, frame.now)?;
                    self.gateways.insert(instance(current)?, gateway);
                }
                Record::Kill => {
                    self.gateways.remove(&instance(current)?);
                }
                Record::Event(event) => {
                    let instance = instance(current)?;
                    match self.handle(frame.now, instance, &event, &mut reply) {
                        Ok(()) => {}
                        Err(Failure::Malformed(error)) => return Err(error),
                        Err(Failure::Panic(text)) => {
                            reply.panic(instance, &text);
                            return Ok(reply);
                        }
                    }
                }
            }
        }
        Ok(reply)
    }

    /// Passes an event to its gateway and writes the resulting actions to the reply.
    fn handle(
        &mut self,
        now: f64,
        instance: u16,
        event: &DecodedEvent<'_>,
        reply: &mut Reply,
    ) -> Result<(), Failure> {
        let event = event.resolve(&self.lists)?;
        let Some(gateway) = self.gateways.get_mut(&instance) else {
            return Err(Malformed::new(format!("event for instance {instance}, never created")).into());
        };
        let actions = &mut self.actions;
        actions.clear();
        let handle = || gateway.handle(now, event, actions);
        if let Err(panic) = catch_unwind(AssertUnwindSafe(handle)) {
            return Err(Failure::Panic(panic_text(&*panic)));
        }
        for action in &self.actions {
            reply.action(instance, action);
        }
        Ok(())
    }
}

fn create(seed: u64, settings: &[u8], now: f64) -> Result<Policy, Malformed> {
    let gateway = settings::parse(settings).and_then(|settings| Policy::new(settings, seed, now));
    gateway.map_err(|e| Malformed::new(e.to_string()))
}

fn instance(current: Option<u16>) -> Result<u16, Malformed> {
    current.ok_or_else(|| Malformed::new("a record before any Context"))
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_string()
}
