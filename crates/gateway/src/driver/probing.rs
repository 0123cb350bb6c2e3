//! Probes: signs of life asked of backends, for the decisions and for first connections.

use std::sync::Arc;

use bytes::Bytes;
use gateway_policy::interface::{Event, Outcome};
use tokio::time::Instant;

use crate::backends::{self, Connection, Facts, Reply, Way};
use crate::input::{Input, Purpose};

use super::Driver;

/// What a probe sends: as plain as can be where backends tell nothing of their load.
const PROBES: (&[u8], &[u8]) = (b"*1\r\n$4\r\nPING\r\n", b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");

impl Driver {
    /// Asks a backend for a sign of life, or, where it may not be asked, for no more than a connection.
    pub(super) fn probe(&mut self, backend: u32, purpose: Purpose) {
        match self.backends.way(backend, Instant::now()) {
            Way::Open(connection) => self.ask(backend, connection, purpose),
            Way::Resting(connection) => {
                let inbox = self.inbox.clone();
                tokio::spawn(async move {
                    let connection = Some(connection.rest().await);
                    let _ = inbox.send(Input::Opened { backend, connection, purpose }).await;
                });
            }
            Way::New(dial) => {
                let (inbox, limit) = (self.inbox.clone(), self.backends.connect_limit);
                tokio::spawn(async move {
                    let connection = dial.open(limit).await;
                    let _ = inbox.send(Input::Opened { backend, connection, purpose }).await;
                });
            }
            Way::Full | Way::Closed => self.unheard(backend, purpose),
        }
    }

    /// Goes on with a probe when its connection is up, or not in time.
    pub(super) fn opened(&mut self, backend: u32, connection: Option<Connection>, purpose: Purpose) {
        match connection {
            // Danger: a probe written to a backend that drains by now, as its connection came up late.
            Some(c) if self.backends.current(backend, &c) => self.ask(backend, c, purpose),
            _ => self.unheard(backend, purpose),
        }
    }

    fn unheard(&mut self, backend: u32, purpose: Purpose) {
        let reply = Reply::failed(Outcome::ConnectFailed);
        self.next.push_back(Input::Probed { backend, reply, connection: None, purpose });
    }

    fn ask(&mut self, backend: u32, connection: Connection, purpose: Purpose) {
        if !self.terms.borrow().settings.limits.probes {
            let (reply, connection) = (Reply::Served(Bytes::new(), Facts::default()), Some(connection));
            self.next.push_back(Input::Probed { backend, reply, connection, purpose });
            return;
        }
        let (inbox, fields) = (self.inbox.clone(), Arc::clone(&self.load_fields));
        let until = Instant::now() + self.backends.connect_limit;
        let probe = Bytes::from_static(if fields.is_empty() { PROBES.0 } else { PROBES.1 });
        tokio::spawn(async move {
            let read = |frame| backends::probed(frame, &fields);
            let (reply, connection) =
                connection.exchange(probe, (until, until), |_| async { None }, read).await;
            let _ = inbox.send(Input::Probed { backend, reply, connection, purpose }).await;
        });
    }

    /// Takes in what a probe came to.
    pub(super) fn probed(&mut self, backend: u32, reply: Reply, purpose: Purpose) {
        match purpose {
            Purpose::Health => {
                let (outcome, facts) = match reply {
                    Reply::Served(_, facts) => (Outcome::Ok, facts),
                    Reply::Failed(outcome, facts) => (outcome, facts),
                };
                self.handle(Event::ProbeEnded { backend, outcome, load: &facts.load });
            }
            Purpose::FirstConnection { life_ms } => self.tried(backend, life_ms, &reply),
        }
    }
}
