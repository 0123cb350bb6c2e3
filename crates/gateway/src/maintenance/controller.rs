//! Carries out commands one after another, writes the maintenance state before a command is answered, and
//! takes in what other processes of this gateway wrote.

use std::fs::File;
use std::time::Duration;

use gateway_policy::interface::UnreportedCharge;
use maintenance::{Command, CommandOutcome, MaintenanceState};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, sleep, MissedTickBehavior};

use super::command::{CommandFailure, CommandResult, PendingCommand};
use super::control::ControlRequest;
use super::process::{ProcessStatus, Stage};
use super::state_directory::StateDirectory;
use crate::clock::Clock;

/// File names of the states in the state directory.
const STATE_FILE: &str = "book";
const UNREPORTED_FILE: &str = "untold";
/// How often other processes of this gateway are looked for, and their state read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a change takes at most to be in force in another process that runs: two polls and some.
pub const MAX_PROPAGATION: Duration = Duration::from_millis(250);
/// How often, and how far apart, the lock on the state is tried before a command is rejected.
const LOCK_ATTEMPTS: u32 = 40;
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);

/// An unreported charge as it is stored: customer, plan, fan-out and units.
type StoredCharge = (u64, u64, f64, f64);

fn stored(charge: UnreportedCharge) -> StoredCharge {
    (charge.customer, charge.plan as u64, charge.fan_out, charge.units)
}

fn restored((customer, plan, fan_out, units): StoredCharge) -> UnreportedCharge {
    // A plan that no settings have is passed over by the policy.
    UnreportedCharge { customer, plan: usize::try_from(plan).unwrap_or(usize::MAX), fan_out, units }
}

/// Carries out commands, and keeps the maintenance state in step with the other processes of this gateway.
pub struct Controller {
    directory: Option<StateDirectory>,
    state: MaintenanceState,
    clock: Clock,
    /// For so long after a return a backend may be cold, ms.
    warm_up_ms: f64,
    status: ProcessStatus,
    event_loop: mpsc::Sender<ControlRequest>,
    /// Why the stored state could not be read the last time; logged once.
    read_problem: String,
}

impl Controller {
    /// A controller that goes on with the state of the directory, if there is one that can be read.
    pub fn new(
        directory: Option<StateDirectory>,
        clock: Clock,
        warm_up_ms: f64,
        status: ProcessStatus,
        event_loop: mpsc::Sender<ControlRequest>,
    ) -> Controller {
        let (state, read_problem) = (MaintenanceState::default(), String::new());
        let mut controller =
            Controller { directory, state, clock, warm_up_ms, status, event_loop, read_problem };
        controller.read_state();
        controller
    }

    /// Other processes of this gateway that live now.
    pub fn other_processes(&self) -> usize {
        let others = self.directory.as_ref().and_then(|directory| directory.other_processes().ok());
        let count = others.map_or(0, |others| others.len());
        self.status.set_other_processes(count);
        count
    }

    /// What is in force now.
    pub fn state(&self) -> MaintenanceState {
        self.state.clone()
    }

    /// Carries out commands until nobody can send any more. `leave_requests` come when this process is about
    /// to end, and are answered when it may.
    pub async fn run(
        mut self,
        mut commands: mpsc::Receiver<PendingCommand>,
        mut leave_requests: mpsc::Receiver<oneshot::Sender<()>>,
    ) {
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command).await,
                    None => return,
                },
                Some(done) = leave_requests.recv() => {
                    self.leave_unreported().await;
                    // Fails only when nobody waits for it any more.
                    let _ = done.send(());
                }
                _ = poll.tick(), if self.directory.is_some() => self.poll().await,
            }
        }
    }

    /// Takes in what other processes did since the last look.
    async fn poll(&mut self) {
        if self.read_state() {
            self.adopt().await;
        }
        self.look_for_processes().await;
        self.take_over_unreported().await;
    }

    /// Looks for other processes of this gateway, and has them left their shares. If it can't look, what was
    /// seen last holds, so that it does not take everything for itself.
    async fn look_for_processes(&self) {
        let Some(Ok(others)) = self.directory.as_ref().map(StateDirectory::other_processes) else { return };
        if !self.status.set_other_processes(others.len()) {
            return;
        }
        tracing::info!("{} other processes of this gateway live", others.len());
        let other_processes = others.len();
        self.request(|reply| ControlRequest::ShareWith { other_processes, reply }).await;
    }

    /// Takes over the charges that processes that ended had not reported.
    async fn take_over_unreported(&self) {
        let Some(directory) = &self.directory else { return };
        for charges in directory.claim::<Vec<StoredCharge>>(UNREPORTED_FILE) {
            let unreported: Vec<UnreportedCharge> = charges.into_iter().map(restored).collect();
            tracing::info!("{} customers' charges taken over from a process that ended", unreported.len());
            self.request(|reply| ControlRequest::AddUnreported { unreported, reply }).await;
        }
    }

    /// Writes down the unreported charges for the processes that go on.
    async fn leave_unreported(&self) {
        let Some(directory) = self.directory.as_ref().filter(|_| self.status.other_processes() > 0) else {
            return;
        };
        let unreported = self.request(|reply| ControlRequest::TakeUnreported { reply }).await;
        let charges: Vec<StoredCharge> = unreported.unwrap_or_default().into_iter().map(stored).collect();
        if charges.is_empty() {
            return;
        }
        if let Err(e) = directory.leave(UNREPORTED_FILE, &charges) {
            tracing::warn!("{} customers' charges are told to nobody: {e}", charges.len());
        }
    }

    /// Takes in the stored state if it is newer; tells whether it was. One that can't be read changes nothing,
    /// so that no ban is forgotten for it.
    fn read_state(&mut self) -> bool {
        let Some(directory) = &self.directory else { return false };
        match directory.read::<MaintenanceState>(STATE_FILE) {
            Ok(Some(state)) if state.newer_than(self.state.revision()) => {
                self.state = state;
                self.read_problem.clear();
                true
            }
            Ok(_) => false,
            Err(e) => {
                let problem = e.to_string();
                if self.read_problem != problem {
                    tracing::warn!("the book can't be read: {problem}; what is known stays in force");
                    self.read_problem = problem;
                }
                false
            }
        }
    }

    /// Requests something of the event loop, and waits until it is done; `None` when that ends.
    async fn request<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest) -> Option<T> {
        let (reply, done) = oneshot::channel();
        self.event_loop.send(request(reply)).await.ok()?;
        done.await.ok()
    }

    /// Has the state put in force, and waits until it is.
    async fn adopt(&self) -> bool {
        let state = self.state.clone();
        self.request(|reply| ControlRequest::Adopt { state, reply }).await.is_some()
    }

    async fn is_listed(&self, id: &str) -> bool {
        let id = id.to_string();
        self.request(|reply| ControlRequest::IsListed { id, reply }).await.unwrap_or(false)
    }

    async fn handle(&mut self, PendingCommand { command, reply }: PendingCommand) {
        let result = match &command {
            Command::Ready => self.ready().await,
            command => self.change(command).await,
        };
        let changed = command != Command::Ready && result.is_ok();
        if self.others_may_live() && changed {
            // A success is told only when the other processes act by it as well.
            tokio::spawn(async move {
                sleep(MAX_PROPAGATION).await;
                let _ = reply.send(result);
            });
            return;
        }
        // Fails only when the caller is gone.
        let _ = reply.send(result);
    }

    fn others_may_live(&self) -> bool {
        let others = self.directory.as_ref().map_or(Ok(Vec::new()), StateDirectory::other_processes);
        others.is_ok_and(|others| !others.is_empty())
    }

    /// Whether this process serves: it accepts, its event loop answers, and nobody has drained it.
    async fn ready(&self) -> CommandResult {
        match self.status.stage() {
            Stage::Serving => {}
            Stage::ShuttingDown => return Err(CommandFailure::ShuttingDown),
            Stage::Starting => return Err(CommandFailure::Starting),
        }
        if !self.adopt().await {
            return Err(CommandFailure::ShuttingDown);
        }
        match self.state.drained_ms() {
            Some(_) => Err(CommandFailure::Drained),
            None => Ok("ready".to_string()),
        }
    }

    /// Changes the state: written first, then put in force, then answered.
    async fn change(&mut self, command: &Command) -> CommandResult {
        let listed = match command {
            Command::Disable(id) | Command::Enable(id) => self.is_listed(id).await,
            _ => true,
        };
        let lock = self.lock().await?;
        self.read_state();
        let now_ms = self.clock.now_ms();
        let mut state = self.state.clone();
        let done = state.execute(command, listed, now_ms).map_err(CommandFailure::Rejected)?;
        state.forget_reenabled(now_ms - self.warm_up_ms);
        if done == CommandOutcome::Changed {
            if let Some(directory) = &self.directory {
                directory.write(STATE_FILE, &state).map_err(CommandFailure::NotWritten)?;
            }
            self.state = state;
        }
        drop(lock);
        if !self.adopt().await {
            return Err(CommandFailure::ShuttingDown);
        }
        Ok(success_text(command, &done))
    }

    /// Locks the state. A process that is stopped while it holds the lock must not hold up this one for good:
    /// the command is rejected instead.
    async fn lock(&self) -> Result<Option<File>, CommandFailure> {
        let Some(directory) = &self.directory else { return Ok(None) };
        for _ in 0..LOCK_ATTEMPTS {
            match directory.try_lock() {
                Ok(Some(lock)) => return Ok(Some(lock)),
                Ok(None) => sleep(LOCK_RETRY_DELAY).await,
                Err(e) => return Err(CommandFailure::LockFailed(e)),
            }
        }
        Err(CommandFailure::Locked)
    }
}

/// What the caller of a command reads when it was carried out.
fn success_text(command: &Command, done: &CommandOutcome) -> String {
    match (command, done) {
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
    }
}
