//! An open-loop load generator over all gateways, which records the final answer to each request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use hdrhistogram::Histogram;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

use crate::journal::{Answer, Class, Event, Journal};
use crate::platform::{CLASSES, DEADLINE_MS, PLANS};
use crate::resp;
use crate::switch::{Fault, Switch};
use crate::Rng;

/// Time after its deadline at which an unanswered request counts as lost.
const GRACE: Duration = Duration::from_millis(1_500);
/// Time after which a client that abandons its request disconnects.
const DISCONNECT_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of requests in flight per load; further ones are not sent, only counted.
const MAX_IN_FLIGHT: usize = 512;
/// Maximum number of idle connections kept per gateway.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Rate and mix of a load's requests.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Requests per second over all gateways; values below 0.1 count as 0.1.
    pub rate: f64,
    /// Number of customers that send the requests.
    pub customers: u64,
    /// Fraction of the requests, 0 to 1, on the plan with a quota.
    pub paid: f64,
    /// Weights of the classes `safe`, `keyed` and `unsafe`.
    pub classes: [u64; 3],
    /// Seed for the choice of customers, classes and plans.
    pub seed: u64,
}

impl Default for LoadProfile {
    fn default() -> Self {
        LoadProfile { rate: 100.0, customers: 200, paid: 0.2, classes: [5, 2, 3], seed: 1 }
    }
}

/// Numbers of requests by their final answers so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Requests that clients began to send.
    pub sent: u64,
    /// Served with a value.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed, or not accepted by any gateway.
    pub failed: u64,
    /// Without a complete answer, or with a malformed one.
    pub lost: u64,
    /// Abandoned by their client because of its fault.
    pub abandoned: u64,
    /// Not sent, as 512 requests of the load were in flight.
    pub not_sent: u64,
}

#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    abandoned: AtomicU64,
    not_sent: AtomicU64,
    in_flight: AtomicUsize,
}

/// A load on several gateways. Clones share its counts and idle connections.
#[derive(Clone, Debug)]
pub struct Load {
    /// Sets the clients' fault: slow clients write a command in two halves, silent ones write half of it and
    /// then disconnect, resetting ones disconnect once it is written. Other faults have no effect.
    pub switch: Switch,
    gateways: Arc<Vec<SocketAddr>>,
    idle: Arc<Vec<Mutex<Vec<TcpStream>>>>,
    counts: Arc<Counts>,
    latencies: Arc<Mutex<Histogram<u64>>>,
    journal: Journal,
    /// Id of the first request; the others follow in sequence.
    first_id: u64,
}

impl Load {
    /// Creates a load on the gateways at these addresses. Request ids count up from `first_id`; the ids of
    /// two loads must not overlap.
    #[must_use]
    pub fn new(gateways: Vec<SocketAddr>, first_id: u64, journal: Journal) -> Load {
        let idle = gateways.iter().map(|_| Mutex::default()).collect();
        let (gateways, idle) = (Arc::new(gateways), Arc::new(idle));
        // Microseconds up to one minute, with three significant digits.
        let latencies =
            Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are valid"));
        let latencies = Arc::new(Mutex::new(latencies));
        let (switch, counts) = (Switch::default(), Arc::default());
        Load { switch, gateways, idle, counts, latencies, journal, first_id }
    }

    /// Returns the numbers of requests by their answers so far.
    #[must_use]
    pub fn counts(&self) -> LoadCounts {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let c = &self.counts;
        LoadCounts {
            sent: get(&c.sent),
            served: get(&c.served),
            rejected: get(&c.rejected),
            failed: get(&c.failed),
            lost: get(&c.lost),
            abandoned: get(&c.abandoned),
            not_sent: get(&c.not_sent),
        }
    }

    /// Returns a quantile, from 0 to 1, of the latency of served requests, ms; 0 before any was served.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Sends requests by the profile until `end`, then waits for the remaining answers. Dropping the future
    /// aborts the requests in flight: their answers are neither counted nor recorded in the journal.
    pub async fn run(&self, profile: &LoadProfile, end: impl std::future::Future<Output = ()>) {
        let mut rng = Rng::new(profile.seed);
        let mut tick = interval(Duration::from_secs_f64(1.0 / profile.rate.max(0.1)));
        tick.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut tasks = tokio::task::JoinSet::new();
        tokio::pin!(end);
        let mut next_gateway = 0;
        loop {
            tokio::select! {
                () = &mut end => break,
                _ = tick.tick() => {}
                Some(_) = tasks.join_next(), if !tasks.is_empty() => continue,
            }
            if self.counts.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
                self.counts.not_sent.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let total_weight: u64 = profile.classes.iter().sum();
            let mut draw = rng.below(total_weight);
            let class = profile.classes.iter().position(|w| {
                let chosen = draw < *w;
                draw = draw.saturating_sub(*w);
                chosen
            });
            let customer = rng.below(profile.customers.max(1));
            let paid = rng.next_f64() < profile.paid;
            let id = self.first_id + self.counts.sent.fetch_add(1, Ordering::Relaxed);
            let (gateway, class) = (next_gateway % self.gateways.len().max(1), class.unwrap_or(0));
            next_gateway += 1;
            let load = self.clone();
            tasks.spawn(
                async move { load.send_request(gateway, id, customer, class, usize::from(paid)).await },
            );
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Sends one request to the gateway with this index and returns its answer. `class` and
    /// `plan` index [`CLASSES`] and [`PLANS`].
    pub async fn send_request(
        &self,
        gateway: usize,
        id: u64,
        customer: u64,
        class: usize,
        plan: usize,
    ) -> Answer {
        self.counts.in_flight.fetch_add(1, Ordering::Relaxed);
        let customer = customer + 1 + ((plan as u64) << 24);
        let class_kind = [Class::Safe, Class::Keyed, Class::Unsafe][class.min(2)];
        let key = if class_kind == Class::Keyed { format!(",k={id:016x}") } else { String::new() };
        let (class_name, plan_name, gateways) =
            (CLASSES[class.min(2)], PLANS[plan.min(1)], self.gateways.len());
        let terms =
            format!("c={class_name},t={plan_name},d={DEADLINE_MS}{key},units=1,spread={gateways},first=0");
        let verb = if class_kind == Class::Safe { "API.READ" } else { "API.WRITE" };
        let (customer_word, id_word) = (format!("{customer:016x}"), format!("{id:016x}"));
        let mut words = vec![verb, &customer_word, &id_word, &terms];
        if class_kind != Class::Safe {
            words.push("body");
        }
        let command = resp::command(&words);
        self.journal.note(Event::RequestSent { id, customer, class: class_kind, units: 1.0, gateway });
        let started = Instant::now();
        let limit = Duration::from_secs_f64(DEADLINE_MS / 1000.0) + GRACE;
        let answer = match self.switch.now() {
            Fault::Resetting => self.send_and_disconnect(gateway, &command).await,
            Fault::Silent => self.send_and_disconnect(gateway, &command[..command.len() / 2]).await,
            _ => timeout(limit, self.exchange(gateway, &command, id)).await.unwrap_or(Answer::Missing),
        };
        let count = match answer {
            Answer::Served => &self.counts.served,
            Answer::Rejected(_) => &self.counts.rejected,
            Answer::Failed | Answer::NotAccepted => &self.counts.failed,
            Answer::Missing | Answer::Malformed => &self.counts.lost,
            Answer::Abandoned => &self.counts.abandoned,
        };
        count.fetch_add(1, Ordering::Relaxed);
        if answer == Answer::Served {
            let micros = started.elapsed().as_micros() as u64;
            self.latencies.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(micros);
        }
        self.journal.note(Event::AnswerReceived { id, answer: answer.clone() });
        self.counts.in_flight.fetch_sub(1, Ordering::Relaxed);
        answer
    }

    /// Writes these bytes of a command and resets the connection after [`DISCONNECT_DELAY`].
    async fn send_and_disconnect(&self, gateway: usize, bytes: &[u8]) -> Answer {
        if let Ok(mut stream) = TcpStream::connect(self.gateways[gateway]).await {
            let _ = stream.write_all(bytes).await;
            sleep(DISCONNECT_DELAY).await;
            let _ = stream.set_zero_linger();
        }
        Answer::Abandoned
    }

    /// Sends a command on an idle or new connection, trying the other gateways if the chosen one does not
    /// accept it, and returns the answer.
    async fn exchange(&self, gateway: usize, command: &[u8], id: u64) -> Answer {
        let idle = self.idle[gateway].lock().unwrap_or_else(PoisonError::into_inner).pop();
        // A gateway that closes an idle connection while the request is on its way has not read the request,
        // so the request is sent again on a new connection.
        if let Some(stream) = idle {
            if let Some(answer) = self.send_and_read(gateway, stream, command, id).await {
                return answer;
            }
        }
        // Acts as a front proxy: a gateway that is down refuses the connection and a drained one answers PING
        // with an error; either way the next gateway is tried.
        for offset in 0..self.gateways.len() {
            let index = (gateway + offset) % self.gateways.len();
            if let Ok(mut stream) = TcpStream::connect(self.gateways[index]).await {
                let _ = stream.set_nodelay(true);
                if !accepts_clients(&mut stream).await {
                    continue;
                }
                return self.send_and_read(index, stream, command, id).await.unwrap_or(Answer::Missing);
            }
        }
        // No gateway accepted the request, so it does not count as lost.
        Answer::NotAccepted
    }

    /// Sends a command and reads its answer; `None` if the connection ended before any byte of an answer.
    async fn send_and_read(
        &self,
        gateway: usize,
        mut stream: TcpStream,
        command: &[u8],
        id: u64,
    ) -> Option<Answer> {
        let (first, second) = command.split_at(command.len() / 2);
        if let Fault::Slow(by) = self.switch.now() {
            stream.write_all(first).await.ok()?;
            sleep(by).await;
            stream.write_all(second).await.ok()?;
        } else {
            stream.write_all(command).await.ok()?;
        }
        let mut buffer = BytesMut::new();
        let Some(message) = resp::read(&mut stream, &mut buffer).await else {
            return if buffer.is_empty() { None } else { Some(Answer::Malformed) };
        };
        let answer = match message.frame {
            BytesFrame::BulkString(value) if value[..] == *format!("{id:016x}").as_bytes() => Answer::Served,
            BytesFrame::Error(line) => match line.split_once(' ') {
                None if &*line == "BUSY" => Answer::Rejected(None),
                Some(("BUSY", ms)) => ms.parse().map_or(Answer::Malformed, |ms| Answer::Rejected(Some(ms))),
                Some(("ERR", _)) => Answer::Failed,
                _ => Answer::Malformed,
            },
            _ => Answer::Malformed,
        };
        let mut idle = self.idle[gateway].lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.is_empty() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream);
        }
        Some(answer)
    }
}

/// Returns whether a gateway answers `PING` with `PONG`, as one that accepts clients does.
async fn accepts_clients(stream: &mut TcpStream) -> bool {
    if stream.write_all(&resp::command(&["PING"])).await.is_err() {
        return false;
    }
    let message = resp::read(stream, &mut BytesMut::new()).await;
    message.is_some_and(|m| matches!(m.frame, BytesFrame::SimpleString(pong) if &pong[..] == b"PONG"))
}
