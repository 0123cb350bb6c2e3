//! Keeps the book of operators' calls: carries calls out one after another, writes the book down before a
//! call is answered, and takes in what other processes of this gateway wrote.

use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use gateway_policy::interface::UnreportedCharge;
use maintenance::{Command, CommandOutcome, MaintenanceState};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, sleep, MissedTickBehavior};

use crate::clock::Clock;
use crate::folder::Folder;
use crate::order::Order;

/// Charges of a customer that the counter was not told: whose, its plan and width, units.
type Charge = (u64, u64, f64, f64);
/// What they are called in the folder.
const UNTOLD: &str = "untold";
/// What the book is called in the folder.
const BOOK: &str = "book";
/// How often other processes of this gateway are looked for, and their book read.
const POLL: Duration = Duration::from_millis(100);
/// How long a change takes at most to be in force at another process that runs: two looks and some.
pub const SPREAD: Duration = Duration::from_millis(250);
/// Looks at the lock on the book, 5 ms apart, before a call is turned down.
const LOCK_TRIES: u32 = 40;
const LOCK_PAUSE: Duration = Duration::from_millis(5);

fn written(u: UnreportedCharge) -> Charge {
    (u.customer, u.plan as u64, u.fan_out, u.units)
}

fn read((customer, plan, width, units): Charge) -> UnreportedCharge {
    // A plan that no settings have is passed over by the decisions.
    UnreportedCharge { customer, plan: usize::try_from(plan).unwrap_or(usize::MAX), fan_out: width, units }
}

/// How far this process is.
#[derive(Clone, Debug, Default)]
pub struct Stage(Arc<AtomicU8>, Arc<AtomicUsize>);

impl Stage {
    const SERVING: u8 = 1;
    const ENDING: u8 = 2;

    /// It accepts clients.
    pub fn serves(&self) {
        self.0.store(Stage::SERVING, Ordering::Relaxed);
    }

    /// Other processes of this gateway that live, as far as is known.
    pub fn others(&self) -> usize {
        self.1.load(Ordering::Relaxed)
    }

    /// It was told to end.
    pub fn ends(&self) {
        self.0.store(Stage::ENDING, Ordering::Relaxed);
    }
}

/// A call, and where its answer goes.
pub struct Told {
    pub call: Command,
    pub say: oneshot::Sender<Answer>,
}

/// What is said to a caller: yes or no, and why.
pub type Answer = Result<String, String>;

/// Carries calls out.
pub struct Keeper {
    folder: Option<Folder>,
    book: MaintenanceState,
    clock: Clock,
    /// For so long after a return a backend may be cold, ms.
    warm_up_ms: f64,
    stage: Stage,
    driver: mpsc::Sender<Order>,
    /// What was last wrong with the book of the folder; told once.
    wrong: String,
}

impl Keeper {
    /// A keeper that goes on with the book of the folder, if there is one that can be read.
    pub fn new(
        folder: Option<Folder>,
        clock: Clock,
        warm_up_ms: f64,
        stage: Stage,
        driver: mpsc::Sender<Order>,
    ) -> Keeper {
        let (book, wrong) = (MaintenanceState::default(), String::new());
        let mut keeper = Keeper { folder, book, clock, warm_up_ms, stage, driver, wrong };
        keeper.reread();
        keeper
    }

    /// Other processes of this gateway that live now.
    pub fn others(&self) -> usize {
        let others = self.folder.as_ref().and_then(|folder| folder.others().ok()).map_or(0, |o| o.len());
        self.stage.1.store(others, Ordering::Relaxed);
        others
    }

    /// What is in force now.
    pub fn book(&self) -> MaintenanceState {
        self.book.clone()
    }

    /// Carries calls out until nobody can call any more.
    /// `ending` says that this process is about to end, and wants to know when it may.
    pub async fn run(
        mut self,
        mut calls: mpsc::Receiver<Told>,
        mut ending: mpsc::Receiver<oneshot::Sender<()>>,
    ) {
        let mut poll = interval(POLL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                told = calls.recv() => match told {
                    Some(told) => self.take(told).await,
                    None => return,
                },
                Some(done) = ending.recv() => {
                    self.leave().await;
                    // Fails only when nobody waits for it any more.
                    let _ = done.send(());
                }
                _ = poll.tick(), if self.folder.is_some() => {
                    if self.reread() {
                        self.adopt().await;
                    }
                    self.look().await;
                    self.take_over().await;
                }
            }
        }
    }

    /// Looks for other processes of this gateway, and has the driver leave them their shares. Danger: one
    /// that can't look, and takes all for itself. What was seen last holds.
    pub async fn look(&self) {
        let Some(Ok(others)) = self.folder.as_ref().map(Folder::others) else { return };
        if others.len() != self.stage.1.swap(others.len(), Ordering::Relaxed) {
            tracing::info!("{} other processes of this gateway live", others.len());
            let (say, said) = oneshot::channel();
            if self.driver.send(Order::Others { others: others.len(), say }).await.is_ok() {
                let _ = said.await;
            }
        }
    }

    /// Takes over what processes that ended had not told the counter.
    async fn take_over(&self) {
        let left = self.folder.as_ref().map(|folder| folder.claim::<Vec<Charge>>(UNTOLD)).unwrap_or_default();
        for untold in left {
            let untold: Vec<UnreportedCharge> = untold.into_iter().map(read).collect();
            tracing::info!("{} customers' charges taken over from a process that ended", untold.len());
            let (say, said) = oneshot::channel();
            if self.driver.send(Order::TakeOver { untold, say }).await.is_ok() {
                let _ = said.await;
            }
        }
    }

    /// Writes down what the counter was not told, for the process that goes on.
    async fn leave(&self) {
        let Some(folder) = self.folder.as_ref().filter(|_| self.stage.others() > 0) else { return };
        let (say, said) = oneshot::channel();
        if self.driver.send(Order::Untold { say }).await.is_err() {
            return;
        }
        let untold: Vec<Charge> = said.await.unwrap_or_default().into_iter().map(written).collect();
        if untold.is_empty() {
            return;
        }
        if let Err(why) = folder.leave(UNTOLD, &untold) {
            tracing::warn!("{} customers' charges are told to nobody: {why}", untold.len());
        }
    }

    /// Takes in the book of the folder if it is newer; tells whether it was. Danger: a book that can't be
    /// read, and bans that are forgotten for it. What is held stays in force.
    fn reread(&mut self) -> bool {
        let Some(folder) = &self.folder else { return false };
        match folder.read::<MaintenanceState>(BOOK) {
            Ok(Some(book)) if book.newer_than(self.book.revision()) => {
                self.book = book;
                self.wrong.clear();
                true
            }
            Ok(_) => false,
            Err(why) => {
                if self.wrong != why {
                    tracing::warn!("the book can't be read: {why}; what is known stays in force");
                    self.wrong = why;
                }
                false
            }
        }
    }

    /// Has the driver put the book in force, and waits until it is.
    async fn adopt(&self) -> bool {
        let (say, said) = oneshot::channel();
        self.driver.send(Order::Adopt { book: self.book.clone(), say }).await.is_ok() && said.await.is_ok()
    }

    async fn lists(&self, id: &str) -> bool {
        let (say, said) = oneshot::channel();
        let asked = self.driver.send(Order::Lists { id: id.to_string(), say }).await;
        asked.is_ok() && said.await.unwrap_or(false)
    }

    async fn take(&mut self, Told { call, say }: Told) {
        let answer = match &call {
            Command::Ready => self.ready().await,
            call => self.change(call).await,
        };
        // Danger: a yes that another process of this gateway does not act by yet.
        let others = self.folder.as_ref().map_or(Ok(Vec::new()), Folder::others);
        if call != Command::Ready && answer.is_ok() && others.is_ok_and(|others| !others.is_empty()) {
            tokio::spawn(async move {
                sleep(SPREAD).await;
                let _ = say.send(answer);
            });
            return;
        }
        // Fails only when the caller is gone.
        let _ = say.send(answer);
    }

    /// Whether this process serves: it accepts, its decisions answer, and nobody has drained it.
    async fn ready(&self) -> Answer {
        match self.stage.0.load(Ordering::Relaxed) {
            Stage::SERVING => {}
            Stage::ENDING => return Err("ending".to_string()),
            _ => return Err("starting".to_string()),
        }
        if !self.adopt().await {
            return Err("ending".to_string());
        }
        match self.book.drained_ms() {
            Some(_) => Err("drained; UNDRAIN takes clients again".to_string()),
            None => Ok("ready".to_string()),
        }
    }

    async fn change(&mut self, call: &Command) -> Answer {
        let listed = match call {
            Command::Disable(id) | Command::Enable(id) => self.lists(id).await,
            _ => true,
        };
        let lock = self.lock().await?;
        self.reread();
        let now = self.clock.now_ms();
        let mut book = self.book.clone();
        let done = book.execute(call, listed, now).map_err(|e| e.to_string())?;
        book.forget_reenabled(now - self.warm_up_ms);
        if done == CommandOutcome::Changed {
            if let Some(folder) = &self.folder {
                folder
                    .write(BOOK, &book)
                    .map_err(|e| format!("not written down, nothing is changed: {e}"))?;
            }
            self.book = book;
        }
        drop(lock);
        // Danger: a yes before it is in force.
        if !self.adopt().await {
            return Err("ending".to_string());
        }
        let said = match (call, &done) {
            (Command::Disable(id), CommandOutcome::Changed) => format!("nothing more goes to {id}"),
            (Command::Disable(id), CommandOutcome::AlreadyInForce) => format!("{id} was banned already"),
            (Command::Enable(id), CommandOutcome::Changed) => {
                format!("{id} is used again, as one that has just started")
            }
            (Command::Enable(id), CommandOutcome::AlreadyInForce) => format!("{id} was not banned"),
            (Command::Drain, CommandOutcome::Changed) => "draining".to_string(),
            (Command::Drain, CommandOutcome::AlreadyInForce) => "was drained already".to_string(),
            (Command::Undrain, CommandOutcome::Changed) => "clients are taken again".to_string(),
            (Command::Undrain, CommandOutcome::AlreadyInForce) => "was not drained".to_string(),
            (Command::Ready, _) => String::new(),
        };
        Ok(said)
    }

    /// The lock on the book. Danger: a process that is stopped while it holds it. The call is turned down.
    async fn lock(&self) -> Result<Option<std::fs::File>, String> {
        let Some(folder) = &self.folder else { return Ok(None) };
        for _ in 0..LOCK_TRIES {
            match folder.try_lock() {
                Ok(Some(lock)) => return Ok(Some(lock)),
                Ok(None) => sleep(LOCK_PAUSE).await,
                Err(e) => return Err(format!("the book can't be locked: {e}")),
            }
        }
        Err("another process of this gateway holds the book; nothing is changed".to_string())
    }
}
