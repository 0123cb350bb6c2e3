//! Probes: signs of life that backends are asked for, for the policy and for first connections.

use std::sync::Arc;

use bytes::Bytes;
use gateway_policy::interface::{Event, Outcome};
use tokio::time::Instant;

use crate::input::{Input, ProbePurpose};
use crate::upstream::{self, BackendReport, Checkout, Connection, Deadlines, Reply};

use super::EventLoop;

/// A probe of backends that do not report their load.
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// A probe of backends that report their load.
const INFO_LOAD: &[u8] = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";

impl EventLoop {
    /// Asks a backend for a sign of life, or, where it may not be asked, for no more than a connection.
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
            Checkout::Exhausted | Checkout::NotReady => self.probe_unsent(backend, purpose),
        }
    }

    /// Goes on with a probe when its connection is up, or not in time.
    pub(super) fn probe_connected(
        &mut self,
        backend: u32,
        connection: Option<Connection>,
        purpose: ProbePurpose,
    ) {
        match connection {
            // Not to a backend that drains by now, as the connection came up late.
            Some(c) if self.pool.is_current(backend, &c) => self.write_probe(backend, c, purpose),
            _ => self.probe_unsent(backend, purpose),
        }
    }

    fn probe_unsent(&mut self, backend: u32, purpose: ProbePurpose) {
        let reply = Reply::failed(Outcome::ConnectFailed);
        self.follow_ups.push_back(Input::Probed { backend, reply, connection: None, purpose });
    }

    fn write_probe(&mut self, backend: u32, connection: Connection, purpose: ProbePurpose) {
        if !self.service_settings.borrow().settings.limits.probes {
            let (reply, connection) =
                (Reply::Served(Bytes::new(), BackendReport::default()), Some(connection));
            self.follow_ups.push_back(Input::Probed { backend, reply, connection, purpose });
            return;
        }
        let (inbox, fields) = (self.inbox.clone(), Arc::clone(&self.load_fields));
        let until = Instant::now() + self.pool.connect_timeout;
        let deadlines = Deadlines { write: until, answer: until };
        let probe = Bytes::from_static(if fields.is_empty() { PING } else { INFO_LOAD });
        tokio::spawn(async move {
            let decode = |frame| upstream::decode_probe(frame, &fields);
            let (reply, connection) = connection.exchange(probe, deadlines, |_| async { None }, decode).await;
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
                self.handle(Event::ProbeEnded { backend, outcome, load: &report.load });
            }
            ProbePurpose::FirstConnection { started_ms } => self.ramp_tried(backend, started_ms, &reply),
        }
    }
}
