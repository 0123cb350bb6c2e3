//! The life of a gateway process: its parts are built, it becomes ready, serves, reloads its configuration at
//! SIGHUP, and shuts down at SIGTERM.

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
use builder::{ClientSide, Parts};
use readiness::Wait;

pub use clients_socket::SocketError;

/// Serves until SIGTERM has been carried out.
///
/// # Errors
/// A [`StartError`]; once it listens for clients there is none.
pub async fn serve(config: Config, config_path: PathBuf, operator: OperatorConfig) -> Result<(), StartError> {
    let mut terminate = listen_for(SignalKind::terminate(), "SIGTERM")?;
    let hangup = listen_for(SignalKind::hangup(), "SIGHUP")?;
    let Parts { mut event_loop, mut inputs, control, readiness, reload, client_side, shutdown } =
        builder::build(config, operator).await?;
    tokio::spawn(reload.run(config_path, hangup));
    if readiness.wait_for_list(&mut event_loop, &mut inputs, &mut terminate).await == Wait::Terminated {
        return Ok(());
    }
    tokio::spawn(event_loop.run(inputs, control));
    if readiness.wait_for_backend(&mut terminate).await == Wait::Terminated {
        return Ok(());
    }
    let accepting = open(client_side, shutdown.clients.inbox.clone()).await?;
    shutdown.status.set_serving();
    terminate.recv().await;
    shutdown.status.set_shutting_down();
    shutdown.run(accepting).await;
    Ok(())
}

fn listen_for(kind: SignalKind, name: &'static str) -> Result<Signal, StartError> {
    signal(kind).map_err(|source| StartError::Signal { name, source })
}

/// Opens the admin listener and begins to accept clients, in this order.
async fn open(client_side: ClientSide, inbox: mpsc::Sender<Input>) -> Result<JoinHandle<()>, StartError> {
    let ClientSide { name, admin, clients, listener, permits, connections, other_processes } = client_side;
    if let Some(admin) = admin {
        open_admin(admin, &name, inbox).await?;
    }
    println!("listening on {}", address_of(&listener)?);
    if other_processes > 0 {
        sleep(maintenance::MAX_PROPAGATION).await;
    }
    Ok(tokio::spawn(clients.accept(listener, permits, connections)))
}

fn address_of(listener: &TcpListener) -> Result<std::net::SocketAddr, StartError> {
    listener.local_addr().map_err(StartError::Listen)
}

/// Opens the admin listener, and registers the gateway with the agent if one is named.
async fn open_admin(admin: AdminConfig, name: &str, inbox: mpsc::Sender<Input>) -> Result<(), StartError> {
    let listener = admin::listen(&admin, name).await.map_err(StartError::AdminBind)?;
    let address = listener.address().map_err(StartError::AdminAddress)?;
    println!("admin on {address}");
    if let Some(agent) = admin.agent {
        let name = name.parse().map_err(|source| StartError::Name { purpose: "to register", source })?;
        let dialer = Connector::new(admin.tls.as_ref()).map_err(StartError::AdminTls)?;
        tokio::spawn(admin::register(agent, name, address, dialer));
    }
    tokio::spawn(admin::serve(listener, inbox));
    Ok(())
}
