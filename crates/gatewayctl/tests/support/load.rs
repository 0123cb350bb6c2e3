//! Load that runs in the background of a test.

use testbed::client::{Load, LoadCounts, LoadProfile};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Load that runs until [`RunningLoad::finish`] is called.
pub struct RunningLoad {
    pub load: Load,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl RunningLoad {
    /// Starts a load as its profile describes.
    pub fn start(runtime: &Runtime, load: Load, profile: LoadProfile) -> RunningLoad {
        let (stop, stopped) = oneshot::channel::<()>();
        let generator = load.clone();
        let task = runtime.spawn(async move {
            generator.run(&profile, async { drop(stopped.await) }).await;
        });
        RunningLoad { load, stop, task }
    }

    /// Returns the counts of answers so far.
    pub fn counts(&self) -> LoadCounts {
        self.load.counts()
    }

    /// Stops sending requests, waits for the outstanding answers and returns the counts.
    pub fn finish(self, runtime: &Runtime) -> LoadCounts {
        let _ = self.stop.send(());
        runtime.block_on(self.task).expect("the wait succeeds");
        self.load.counts()
    }
}
