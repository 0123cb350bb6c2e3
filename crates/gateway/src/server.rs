//! The lifecycle of a gateway process: building its components, becoming ready, serving, reloading the
//! configuration on SIGHUP, and shutting down on SIGTERM.

mod builder;
mod capacity;
mod clients_socket;
mod fleet_start;
mod readiness;
mod reload;
mod shutdown;

use std::path::PathBuf;

use operator_config::{AdminConfig, OperatorConfig};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use transport::Connector;

use crate::admin;
use crate::config::Config;
use crate::error::StartError;
use crate::input::Input;
use crate::maintenance;
use builder::{ClientSide, Components};
use readiness::WaitResult;

pub use clients_socket::SocketError;

/// Runs a gateway until the shutdown after SIGTERM is complete.
///
/// # Errors
/// Returns a [`StartError`] if the gateway can't start. There are no errors once it accepts clients.
pub async fn serve(config: Config, config_path: PathBuf, operator: OperatorConfig) -> Result<(), StartError> {
    let mut terminate = signal_stream(SignalKind::terminate(), "SIGTERM")?;
    let hangup = signal_stream(SignalKind::hangup(), "SIGHUP")?;
    let Components { mut event_loop, mut inputs, control, readiness, reload, client_side, shutdown } =
        builder::build(config, operator).await?;
    tokio::spawn(reload.run(config_path, hangup));
    if readiness.wait_for_list(&mut event_loop, &mut inputs, &mut terminate).await == WaitResult::Terminated {
        return Ok(());
    }
    tokio::spawn(event_loop.run(inputs, control));
    if readiness.wait_for_backend(&mut terminate).await == WaitResult::Terminated {
        return Ok(());
    }
    let accepting = open_listeners(client_side, shutdown.clients.inbox.clone()).await?;
    shutdown.status.set_serving();
    terminate.recv().await;
    shutdown.status.set_shutting_down();
    shutdown.run(accepting).await;
    Ok(())
}

fn signal_stream(kind: SignalKind, name: &'static str) -> Result<Signal, StartError> {
    signal(kind).map_err(|source| StartError::Signal { name, source })
}

/// Opens the admin listener, then begins to accept clients. Returns the task that accepts them.
async fn open_listeners(
    client_side: ClientSide,
    inbox: mpsc::Sender<Input>,
) -> Result<JoinHandle<()>, StartError> {
    let ClientSide { name, admin, clients, listener, permits, connections, other_processes } = client_side;
    if let Some(admin) = admin {
        open_admin(admin, &name, inbox).await?;
    }
    println!("listening on {}", local_address(&listener)?);
    if other_processes > 0 {
        sleep(maintenance::MAX_PROPAGATION).await;
    }
    Ok(tokio::spawn(clients.accept(listener, permits, connections)))
}

fn local_address(listener: &TcpListener) -> Result<std::net::SocketAddr, StartError> {
    listener.local_addr().map_err(StartError::Listen)
}

/// Opens the admin listener, and starts registering with the agent if one is configured.
async fn open_admin(admin: AdminConfig, name: &str, inbox: mpsc::Sender<Input>) -> Result<(), StartError> {
    let listener = admin::listen(&admin, name).await.map_err(StartError::AdminBind)?;
    let address = listener.address().map_err(StartError::AdminAddress)?;
    println!("admin on {address}");
    if let Some(agent) = admin.agent {
        let purpose = "to register with the agent";
        let name = name.parse().map_err(|source| StartError::Name { purpose, source })?;
        let connector = Connector::new(admin.tls.as_ref()).map_err(StartError::AdminTls)?;
        tokio::spawn(admin::register(agent, name, address, connector));
    }
    tokio::spawn(admin::serve(listener, inbox));
    Ok(())
}
