//! SIGHUP: the gateway goes over to what the configuration file names by then, in whole or not at all.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot};
use tokio_util::task::AbortOnDropHandle;

use crate::config::{Config, ConfigError, Peers};
use crate::counter::Counter;
use crate::discovery::{self, CoordinatedStart, FollowOptions};
use crate::input::Input;
use crate::maintenance::ControlRequest;

/// Follows discovery, and replaces it, the counter and the settings at each SIGHUP.
pub(super) struct Reload {
    /// The configuration in force.
    pub config: Config,
    /// How long a call to the counter may take.
    pub counter_timeout: Duration,
    /// What is known of the list at the start.
    pub known: FollowOptions,
    /// Whom the start is ordered by, once.
    pub coordinated_start: Option<CoordinatedStart>,
    pub inbox: mpsc::Sender<Input>,
    pub control: mpsc::Sender<ControlRequest>,
}

impl Reload {
    /// Runs until the gateway ends.
    pub async fn run(mut self, path: PathBuf, mut hangup: Signal) {
        let mut peers = self.config.peers;
        let mut watch = self.watch(peers.discovery, self.known);
        // Another discovery has versions of its own.
        let unknown = FollowOptions { known_version: None, ..self.known };
        while hangup.recv().await.is_some() {
            let config = match read(&path, &self.config) {
                Ok(config) => config,
                Err(e) => {
                    tracing::warn!("SIGHUP: {e}; the old configuration stays");
                    continue;
                }
            };
            match self.change_settings(&config).await {
                Ok(()) => {}
                Err(Rejected::ShuttingDown) => return,
                Err(Rejected::Settings(e)) => {
                    tracing::warn!("SIGHUP: {e}; the old configuration stays");
                    continue;
                }
            }
            self.accept(config);
            let new = self.config.peers;
            if new.discovery != peers.discovery {
                watch.abort();
                watch = self.watch(new.discovery, unknown);
            }
            peers = Peers { discovery: new.discovery, counter: self.move_counter(peers.counter).await };
        }
    }

    /// Follows the list at an address, until the handle is dropped.
    fn watch(&mut self, discovery: SocketAddr, known: FollowOptions) -> AbortOnDropHandle<()> {
        let following =
            discovery::follow::<Input>(discovery, known, self.coordinated_start.take(), self.inbox.clone());
        AbortOnDropHandle::new(tokio::spawn(following))
    }

    /// Has the settings changed that may change in service.
    async fn change_settings(&self, config: &Config) -> Result<(), Rejected> {
        let (reply, changed) = oneshot::channel();
        let change = ControlRequest::ChangeSettings {
            service_settings: Box::new(config.service_settings.clone()),
            reply,
        };
        self.control.send(change).await.map_err(|_| Rejected::ShuttingDown)?;
        match changed.await {
            Ok(Err(e)) => Err(Rejected::Settings(e)),
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }

    fn accept(&mut self, config: Config) {
        let restart = self.config.service_settings.sections_needing_restart(&config.service_settings);
        tracing::info!("SIGHUP: the new configuration is in force");
        if !restart.is_empty() {
            tracing::warn!("SIGHUP: {} differ and need a restart", restart.join("; "));
        }
        self.config = config;
    }

    /// Goes over to the counter that the configuration names, if there was one before and it names another.
    /// Returns the address of the one in use.
    async fn move_counter(&self, before: Option<SocketAddr>) -> Option<SocketAddr> {
        let named = self.config.peers.counter;
        let moved = named.filter(|_| before.is_some() && named != before);
        if let Some(address) = moved {
            let counter = Counter::start(address, self.counter_timeout, &self.inbox);
            // Fails only when the gateway ends.
            let _ = self.inbox.send(Input::CounterMoved(counter)).await;
        }
        moved.or(before)
    }
}

/// Why new settings are not in force.
enum Rejected {
    ShuttingDown,
    Settings(gateway_policy::interface::SettingsError),
}

/// Reads a configuration that has all that the one in force has: a file that is half written lacks some.
fn read(path: &Path, in_force: &Config) -> Result<Config, ConfigError> {
    let config = Config::read(path)?;
    config.has_all_of(in_force)?;
    Ok(config)
}
