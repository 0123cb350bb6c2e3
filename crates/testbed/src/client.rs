//! Clients: a steady load over all gateways, open loop, with the final answer of each request noted.

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

/// How long past its deadline a request may stay without an answer before it counts as lost.
const GRACE: Duration = Duration::from_millis(1_500);
/// How long a client that leaves stays.
const LEAVE_AFTER: Duration = Duration::from_millis(5);
/// Requests of one load that may be open; more are not begun, and counted as held back.
const MAX_OPEN: usize = 512;
/// Connections to one gateway that are kept while nothing is open on them.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// What a load asks.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Requests a second, over all gateways.
    pub rate: f64,
    /// Customers that they belong to.
    pub customers: u64,
    /// Part of the requests that belong to the plan with a quota.
    pub paid: f64,
    /// Weights of the classes safe, keyed and unsafe.
    pub classes: [u64; 3],
    /// The seed of customers and classes.
    pub seed: u64,
}

impl Default for LoadProfile {
    fn default() -> Self {
        LoadProfile { rate: 100.0, customers: 200, paid: 0.2, classes: [5, 2, 3], seed: 1 }
    }
}

/// Answers so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Requests that were begun.
    pub asked: u64,
    /// Served with a value.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, or no gateway took it.
    pub failed: u64,
    /// Without a whole answer, or with an odd one.
    pub lost: u64,
    /// Left by their client, as its switch said.
    pub left: u64,
    /// Not begun, as too many were open.
    pub held_back: u64,
}

#[derive(Debug, Default)]
struct Counts {
    asked: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    left: AtomicU64,
    held_back: AtomicU64,
    open: AtomicUsize,
}

/// A load over some gateways.
#[derive(Clone, Debug)]
pub struct Load {
    /// What is wrong with the clients: slow ones write a command in two halves, silent ones write half of it
    /// and no more, resetting ones leave once it is written. All else is as well.
    pub switch: Switch,
    gateways: Arc<Vec<SocketAddr>>,
    idle: Arc<Vec<Mutex<Vec<TcpStream>>>>,
    counts: Arc<Counts>,
    latencies: Arc<Mutex<Histogram<u64>>>,
    journal: Journal,
    /// Requests of all loads are numbered from here.
    first_id: u64,
}

impl Load {
    /// A load over gateways at these addresses. Ids of requests begin at `first_id`: those of two loads must
    /// not meet.
    #[must_use]
    pub fn new(gateways: Vec<SocketAddr>, first_id: u64, journal: Journal) -> Load {
        let idle = gateways.iter().map(|_| Mutex::default()).collect();
        let (gateways, idle) = (Arc::new(gateways), Arc::new(idle));
        // Microseconds, up to a minute, to three digits.
        let latencies =
            Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| unreachable!("good bounds"));
        let latencies = Arc::new(Mutex::new(latencies));
        let (switch, counts) = (Switch::default(), Arc::default());
        Load { switch, gateways, idle, counts, latencies, journal, first_id }
    }

    /// Answers so far.
    #[must_use]
    pub fn counts(&self) -> LoadCounts {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let c = &self.counts;
        LoadCounts {
            asked: get(&c.asked),
            served: get(&c.served),
            refused: get(&c.refused),
            failed: get(&c.failed),
            lost: get(&c.lost),
            left: get(&c.left),
            held_back: get(&c.held_back),
        }
    }

    /// Latency of what was served, ms, at a quantile from 0 to 1; 0 before any was.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Asks by the plan until `end`, then waits for the last answers. Cancelling begins nothing more, and
    /// what is open goes on.
    pub async fn run(&self, plan: &LoadProfile, end: impl std::future::Future<Output = ()>) {
        let mut rng = Rng::new(plan.seed);
        let mut tick = interval(Duration::from_secs_f64(1.0 / plan.rate.max(0.1)));
        tick.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut tasks = tokio::task::JoinSet::new();
        tokio::pin!(end);
        let mut at = 0;
        loop {
            tokio::select! {
                () = &mut end => break,
                _ = tick.tick() => {}
                Some(_) = tasks.join_next(), if !tasks.is_empty() => continue,
            }
            if self.counts.open.load(Ordering::Relaxed) >= MAX_OPEN {
                self.counts.held_back.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let all: u64 = plan.classes.iter().sum();
            let mut draw = rng.below(all);
            let class = plan.classes.iter().position(|w| {
                let here = draw < *w;
                draw = draw.saturating_sub(*w);
                here
            });
            let customer = rng.below(plan.customers.max(1));
            let paid = rng.next_f64() < plan.paid;
            let id = self.first_id + self.counts.asked.fetch_add(1, Ordering::Relaxed);
            let (gateway, class) = (at % self.gateways.len().max(1), class.unwrap_or(0));
            at += 1;
            let load = self.clone();
            tasks.spawn(
                async move { load.send_request(gateway, id, customer, class, usize::from(paid)).await },
            );
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Asks one request and gives its answer.
    pub async fn send_request(
        &self,
        gateway: usize,
        id: u64,
        customer: u64,
        class: usize,
        plan: usize,
    ) -> Answer {
        self.counts.open.fetch_add(1, Ordering::Relaxed);
        let customer = customer + 1 + ((plan as u64) << 24);
        let kind = [Class::Safe, Class::Keyed, Class::Unsafe][class.min(2)];
        let key = if kind == Class::Keyed { format!(",k={id:016x}") } else { String::new() };
        let (name, tariff, all) = (CLASSES[class.min(2)], PLANS[plan.min(1)], self.gateways.len());
        let terms = format!("c={name},t={tariff},d={DEADLINE_MS}{key},units=1,spread={all},first=0");
        let verb = if kind == Class::Safe { "API.READ" } else { "API.WRITE" };
        let (customer_word, id_word) = (format!("{customer:016x}"), format!("{id:016x}"));
        let mut words = vec![verb, &customer_word, &id_word, &terms];
        if kind != Class::Safe {
            words.push("body");
        }
        let command = resp::command(&words);
        self.journal.note(Event::RequestSent { id, customer, class: kind, units: 1.0, gateway });
        let began = Instant::now();
        let most = Duration::from_secs_f64(DEADLINE_MS / 1000.0) + GRACE;
        let answer = match self.switch.now() {
            Fault::Resetting => self.leave(gateway, &command).await,
            Fault::Silent => self.leave(gateway, &command[..command.len() / 2]).await,
            _ => timeout(most, self.exchange(gateway, &command, id)).await.unwrap_or(Answer::Missing),
        };
        let count = match answer {
            Answer::Served => &self.counts.served,
            Answer::Rejected(_) => &self.counts.refused,
            Answer::Failed | Answer::NotAccepted => &self.counts.failed,
            Answer::Missing | Answer::Malformed => &self.counts.lost,
            Answer::Abandoned => &self.counts.left,
        };
        count.fetch_add(1, Ordering::Relaxed);
        if answer == Answer::Served {
            let micros = began.elapsed().as_micros() as u64;
            self.latencies.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(micros);
        }
        self.journal.note(Event::AnswerReceived { id, answer: answer.clone() });
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
        answer
    }

    /// Writes some bytes of a command and closes with a reset, after a while in which nothing more comes.
    async fn leave(&self, gateway: usize, bytes: &[u8]) -> Answer {
        if let Ok(mut stream) = TcpStream::connect(self.gateways[gateway]).await {
            let _ = stream.write_all(bytes).await;
            sleep(LEAVE_AFTER).await;
            let _ = stream.set_zero_linger();
        }
        Answer::Abandoned
    }

    async fn exchange(&self, gateway: usize, command: &[u8], id: u64) -> Answer {
        let idle = self.idle[gateway].lock().unwrap_or_else(PoisonError::into_inner).pop();
        // A kept connection that the gateway closes as the request crosses has not read it: once more, on a
        // new one.
        if let Some(stream) = idle {
            if let Some(answer) = self.talk(gateway, stream, command, id).await {
                return answer;
            }
        }
        // One that is down refuses the connection, and one that is drained says no: the front goes on to the
        // next.
        for next in 0..self.gateways.len() {
            let place = (gateway + next) % self.gateways.len();
            if let Ok(mut stream) = TcpStream::connect(self.gateways[place]).await {
                let _ = stream.set_nodelay(true);
                if !takes_clients(&mut stream).await {
                    continue;
                }
                return self.talk(place, stream, command, id).await.unwrap_or(Answer::Missing);
            }
        }
        // Nobody took it, so there is nothing that could be lost.
        Answer::NotAccepted
    }

    /// `None` if the connection ended with no byte of an answer.
    async fn talk(&self, gateway: usize, mut stream: TcpStream, command: &[u8], id: u64) -> Option<Answer> {
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

/// Whether a gateway says yes to `PING`.
async fn takes_clients(stream: &mut TcpStream) -> bool {
    if stream.write_all(&resp::command(&["PING"])).await.is_err() {
        return false;
    }
    let message = resp::read(stream, &mut BytesMut::new()).await;
    message.is_some_and(|m| matches!(m.frame, BytesFrame::SimpleString(pong) if &pong[..] == b"PONG"))
}
