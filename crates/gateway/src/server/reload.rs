//! Reload on SIGHUP: the gateway reads the configuration file again. A file with an error changes nothing;
//! sections of a valid file that can't change in service are logged as needing a restart.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot};
use tokio_util::task::AbortOnDropHandle;

use crate::config::{Config, ConfigError, ServiceAddresses};
use crate::counter::Counter;
use crate::discovery::{self, CoordinatedStart, FollowOptions};
use crate::input::Input;
use crate::maintenance::ControlRequest;

/// Runs the task that follows discovery, and on each SIGHUP replaces the settings and the addresses of
/// discovery and the counter.
pub(super) struct Reload {
    /// The configuration in force.
    pub config: Config,
    /// Timeout of a counter call.
    pub counter_timeout: Duration,
    /// Options for following discovery from the endpoint list of the configuration.
    pub follow_options: FollowOptions,
    /// The agent that coordinates the start; taken by the first task that follows discovery.
    pub coordinated_start: Option<CoordinatedStart>,
    pub inbox: mpsc::Sender<Input>,
    pub control: mpsc::Sender<ControlRequest>,
}

impl Reload {
    /// Runs until the gateway shuts down.
    pub async fn run(mut self, path: PathBuf, mut hangup: Signal) {
        let mut addresses = self.config.addresses;
        let mut watch = self.follow_discovery(addresses.discovery, self.follow_options);
        // Versions of one discovery service mean nothing to another, so a change of address starts over.
        let from_scratch = FollowOptions { known_version: None, ..self.follow_options };
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
            let new = self.config.addresses;
            if new.discovery != addresses.discovery {
                watch.abort();
                watch = self.follow_discovery(new.discovery, from_scratch);
            }
            let counter = self.move_counter(addresses.counter).await;
            addresses = ServiceAddresses { discovery: new.discovery, counter };
        }
    }

    /// Starts a task that follows the endpoint list at an address, until the handle is dropped.
    fn follow_discovery(&mut self, address: SocketAddr, options: FollowOptions) -> AbortOnDropHandle<()> {
        let following =
            discovery::follow::<Input>(address, options, self.coordinated_start.take(), self.inbox.clone());
        AbortOnDropHandle::new(tokio::spawn(following))
    }

    /// Makes the event loop apply those settings that can change without a restart, and waits for it.
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

    /// Makes `config` the configuration in force, and logs the sections that differ from the previous one and
    /// take effect only after a restart.
    fn accept(&mut self, config: Config) {
        let restart = self.config.service_settings.sections_needing_restart(&config.service_settings);
        tracing::info!("SIGHUP: the new configuration is in force");
        if !restart.is_empty() {
            tracing::warn!("SIGHUP: {} differ and need a restart", restart.join("; "));
        }
        self.config = config;
    }

    /// Replaces the counter if the configuration changes its address. A counter can't be added by a reload.
    /// Returns the address of the counter in use.
    async fn move_counter(&self, current: Option<SocketAddr>) -> Option<SocketAddr> {
        let configured = self.config.addresses.counter;
        let moved = configured.filter(|_| current.is_some() && configured != current);
        if let Some(address) = moved {
            let counter = Counter::start(address, self.counter_timeout, &self.inbox);
            // Fails only after the event loop has ended.
            let _ = self.inbox.send(Input::CounterMoved(counter)).await;
        }
        moved.or(current)
    }
}

/// The reason why new settings were not applied.
enum Rejected {
    ShuttingDown,
    Settings(gateway_policy::interface::SettingsError),
}

/// Reads a configuration and checks that it has all keys of the one in force, as a partly written file may
/// not.
fn read(path: &Path, in_force: &Config) -> Result<Config, ConfigError> {
    let config = Config::read(path)?;
    config.check_keys_of(in_force)?;
    Ok(config)
}
