//! Executes commands one after another, stores the maintenance state before a command is answered, and
//! applies what other processes of this gateway have stored.

use std::fs::File;
use std::path::PathBuf;
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

/// Kinds of the states in the state directory, which are also their file names.
const STATE_FILE: &str = "book";
const UNREPORTED_FILE: &str = "untold";
/// Interval of checking for other processes of this gateway and reading the stored state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time until a change is in force in another running process: two polls and some reserve.
pub const MAX_PROPAGATION: Duration = Duration::from_millis(250);
/// Number of attempts to lock the state, and the delay between them, before a command is rejected.
const LOCK_ATTEMPTS: u32 = 40;
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Stored form of an unreported charge: customer, plan, fan-out and units.
type StoredCharge = (u64, u64, f64, f64);

fn to_stored(charge: UnreportedCharge) -> StoredCharge {
    (charge.customer, charge.plan as u64, charge.fan_out, charge.units)
}

fn from_stored((customer, plan, fan_out, units): StoredCharge) -> UnreportedCharge {
    // The policy ignores plans that do not exist in its settings.
    UnreportedCharge { customer, plan: usize::try_from(plan).unwrap_or(usize::MAX), fan_out, units }
}

/// Executes commands and keeps the maintenance state synchronised with the other processes of this gateway.
pub struct Controller {
    directory: Option<StateDirectory>,
    state: MaintenanceState,
    clock: Clock,
    /// Time for which a backend warms up after the end of a ban, ms.
    warm_up_ms: f64,
    status: ProcessStatus,
    event_loop: mpsc::Sender<ControlRequest>,
    /// The last error of reading the stored state, kept to log it only once.
    read_problem: String,
}

impl Controller {
    /// Creates a controller that starts from the stored state, if there is a readable one.
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

    /// Returns the current number of other running processes of this gateway.
    pub fn other_processes(&self) -> usize {
        let others = self.directory.as_ref().and_then(|directory| directory.other_processes().ok());
        let count = others.map_or(0, |others| others.len());
        self.status.set_other_processes(count);
        count
    }

    /// Returns the path of the file through which processes share the ids of requests that were sent, if
    /// there is a state directory.
    pub fn sent_requests_file(&self) -> Option<PathBuf> {
        self.directory.as_ref().map(StateDirectory::sent_requests_file)
    }

    /// Returns the current maintenance state.
    pub fn state(&self) -> MaintenanceState {
        self.state.clone()
    }

    /// Executes commands until all senders are dropped. The shutdown sends a request on `handover_requests`,
    /// which is answered when the unreported charges have been handed over.
    pub async fn run(
        mut self,
        mut commands: mpsc::Receiver<PendingCommand>,
        mut handover_requests: mpsc::Receiver<oneshot::Sender<()>>,
    ) {
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.execute(command).await,
                    None => return,
                },
                Some(done) = handover_requests.recv() => {
                    self.hand_over_unreported().await;
                    // Fails only if the requester no longer waits.
                    let _ = done.send(());
                }
                _ = poll.tick(), if self.directory.is_some() => self.poll().await,
            }
        }
    }

    /// Applies what other processes have stored since the last poll.
    async fn poll(&mut self) {
        if self.read_state() {
            self.adopt().await;
        }
        self.update_process_count().await;
        self.claim_unreported().await;
    }

    /// Counts the other processes of this gateway and adjusts the shares of the resources. If the
    /// directory can't be read, the last count stays, so that this process does not take the others'
    /// shares.
    async fn update_process_count(&self) {
        let Some(Ok(others)) = self.directory.as_ref().map(StateDirectory::other_processes) else { return };
        if !self.status.set_other_processes(others.len()) {
            return;
        }
        tracing::info!("{} other processes of this gateway are running", others.len());
        let other_processes = others.len();
        self.request(|reply| ControlRequest::SetOtherProcesses { other_processes, reply }).await;
    }

    /// Takes over unreported charges from processes that have ended.
    async fn claim_unreported(&self) {
        let Some(directory) = &self.directory else { return };
        for charges in directory.claim::<Vec<StoredCharge>>(UNREPORTED_FILE) {
            let unreported: Vec<UnreportedCharge> = charges.into_iter().map(from_stored).collect();
            tracing::info!("{} customers' unreported charges taken over", unreported.len());
            self.request(|reply| ControlRequest::AddUnreported { unreported, reply }).await;
        }
    }

    /// Stores the unreported charges for the processes that keep running.
    async fn hand_over_unreported(&self) {
        let Some(directory) = self.directory.as_ref().filter(|_| self.status.other_processes() > 0) else {
            return;
        };
        let unreported = self.request(|reply| ControlRequest::TakeUnreported { reply }).await;
        let charges: Vec<StoredCharge> = unreported.unwrap_or_default().into_iter().map(to_stored).collect();
        if charges.is_empty() {
            return;
        }
        if let Err(e) = directory.hand_over(UNREPORTED_FILE, &charges) {
            tracing::warn!("{} customers' unreported charges are lost: {e}", charges.len());
        }
    }

    /// Adopts the stored state if it is newer; returns whether it was. An unreadable state changes
    /// nothing, so that no ban is lost because of it.
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
                    tracing::warn!("stored state unreadable: {problem}; the current one stays in force");
                    self.read_problem = problem;
                }
                false
            }
        }
    }

    /// Sends a request to the event loop and waits for the reply; `None` if the event loop has ended.
    async fn request<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest) -> Option<T> {
        let (reply, done) = oneshot::channel();
        self.event_loop.send(request(reply)).await.ok()?;
        done.await.ok()
    }

    /// Makes the event loop adopt the state, and waits for it; returns `false` if the event loop has ended.
    async fn adopt(&self) -> bool {
        let state = self.state.clone();
        self.request(|reply| ControlRequest::AdoptState { state, reply }).await.is_some()
    }

    async fn is_listed(&self, id: &str) -> bool {
        let id = id.to_string();
        self.request(|reply| ControlRequest::IsListed { id, reply }).await.unwrap_or(false)
    }

    async fn execute(&mut self, PendingCommand { command, reply }: PendingCommand) {
        let result = match &command {
            Command::Ready => self.ready().await,
            command => self.change(command).await,
        };
        let changed = command != Command::Ready && result.is_ok();
        if self.has_other_processes() && changed {
            // Success is reported only when the other running processes have applied the change as well.
            tokio::spawn(async move {
                sleep(MAX_PROPAGATION).await;
                let _ = reply.send(result);
            });
            return;
        }
        // Fails only if the caller no longer waits for the result.
        let _ = reply.send(result);
    }

    fn has_other_processes(&self) -> bool {
        let others = self.directory.as_ref().map_or(Ok(Vec::new()), StateDirectory::other_processes);
        others.is_ok_and(|others| !others.is_empty())
    }

    /// Executes READY: the process is ready if it accepts clients, its event loop responds and it is not
    /// drained.
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

    /// Executes a command that changes the state: stores the state first, then puts it in force, then
    /// returns the response.
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
                directory.write(STATE_FILE, &state).map_err(CommandFailure::WriteFailed)?;
            }
            self.state = state;
        }
        drop(lock);
        if !self.adopt().await {
            return Err(CommandFailure::ShuttingDown);
        }
        Ok(success_text(command, &done))
    }

    /// Locks the stored state. A process that is suspended while it holds the lock must not block this
    /// one forever, so the command is rejected after [`LOCK_ATTEMPTS`].
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

/// Returns the response text for a command that succeeded.
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
