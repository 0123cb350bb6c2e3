//! Probes of backends: health checks for the policy, and first connections of the connection ramp.

use std::sync::Arc;

use bytes::Bytes;
use gateway_policy::interface::{Event, Outcome};
use tokio::time::Instant;

use crate::input::{Input, ProbePurpose};
use crate::upstream::{self, BackendReport, Checkout, Connection, Deadlines, Reply};

use super::EventLoop;

/// Probe for backends that do not report their load.
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// Probe for backends that report their load.
const INFO_LOAD: &[u8] = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";

impl EventLoop {
    /// Probes a backend; where the settings do not allow probes, only opens a connection to it.
    pub(super) fn probe(&mut self, backend: u32, purpose: ProbePurpose) {
        match self.pool.check_out(backend, Instant::now()) {
            Checkout::Idle(connection) => self.write_probe(backend, connection, purpose),
            Checkout::CoolingDown(connection) => {
                let inbox = self.inbox.clone();
                tokio::spawn(async move {
                    let connection = Some(connection.cool_down().await);
                    let _ = inbox.send(Input::ProbeConnected { backend, connection, purpose }).await;
                });
            }
            Checkout::Open(pending) => {
                let (inbox, limit) = (self.inbox.clone(), self.pool.connect_timeout);
                tokio::spawn(async move {
                    let connection = pending.open(limit).await;
                    let _ = inbox.send(Input::ProbeConnected { backend, connection, purpose }).await;
                });
            }
            Checkout::Exhausted | Checkout::NotReady => self.fail_probe(backend, purpose),
        }
    }

    /// Continues a probe when its connection is up, or fails it if the connection did not come up in time.
    pub(super) fn probe_connected(
        &mut self,
        backend: u32,
        connection: Option<Connection>,
        purpose: ProbePurpose,
    ) {
        match connection {
            // The backend may have begun to drain while the connection was opened; it is not probed then.
            Some(c) if self.pool.is_current(backend, &c) => self.write_probe(backend, c, purpose),
            _ => self.fail_probe(backend, purpose),
        }
    }

    fn fail_probe(&mut self, backend: u32, purpose: ProbePurpose) {
        let reply = Reply::failed(Outcome::ConnectFailed);
        self.follow_ups.push_back(Input::Probed { backend, reply, connection: None, purpose });
    }

    fn write_probe(&mut self, backend: u32, connection: Connection, purpose: ProbePurpose) {
        if !self.service_settings.borrow().settings.limits.probes {
            let (reply, connection) = (Reply::without_value(BackendReport::default()), Some(connection));
            self.follow_ups.push_back(Input::Probed { backend, reply, connection, purpose });
            return;
        }
        let (inbox, fields) = (self.inbox.clone(), Arc::clone(&self.load_fields));
        let until = Instant::now() + self.pool.connect_timeout;
        let deadlines = Deadlines { write: until, answer: until };
        let probe = Bytes::from_static(if fields.is_empty() { PING } else { INFO_LOAD });
        let memory = self.memory.clone();
        tokio::spawn(async move {
            let decode = |frame, _| upstream::decode_probe(frame, &fields);
            let exchange = connection.exchange(probe, deadlines, &memory, |_| async { None }, decode);
            let (reply, connection) = exchange.await;
            let _ = inbox.send(Input::Probed { backend, reply, connection, purpose }).await;
        });
    }

    /// Handles the outcome of a probe.
    pub(super) fn probed(&mut self, backend: u32, reply: Reply, purpose: ProbePurpose) {
        match purpose {
            ProbePurpose::Health => {
                let (outcome, report) = match reply {
                    Reply::Served(_, report) => (Outcome::Ok, report),
                    Reply::Failed(outcome, report) => (outcome, report),
                };
                self.handle_event(Event::ProbeEnded { backend, outcome, load: &report.load });
            }
            ProbePurpose::FirstConnection { started_ms } => {
                self.first_connection_ended(backend, started_ms, &reply);
            }
        }
    }
}
