//! The accept loop, with a limit on concurrent connections.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::{JsonLines, Listener};

/// Delay after a failed accept, e.g. while the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the task is cancelled, and handles each in a task of its own. Connections beyond
/// `max_connections` wait in the listener's backlog. `rejected` is called for each unauthorized peer.
pub async fn serve<H, F, R>(listener: Listener, max_connections: usize, handle: H, rejected: R)
where
    H: Fn(JsonLines) -> F + Clone + Send + 'static,
    F: Future<Output = ()> + Send,
    R: Fn(&io::Error) + Clone + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok(incoming) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (handle, rejected) = (handle.clone(), rejected.clone());
        tokio::spawn(async move {
            match incoming.open().await {
                Ok(connection) => handle(connection).await,
                Err(error) => rejected(&error),
            }
            drop(permit);
        });
    }
}
