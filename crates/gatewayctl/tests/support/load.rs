//! A load in the background of a test.

use testbed::client::{Load, LoadCounts, LoadProfile};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A load that runs until it is finished.
pub struct RunningLoad {
    pub load: Load,
    end: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl RunningLoad {
    /// Begins a load by a plan.
    pub fn start(runtime: &Runtime, load: Load, plan: LoadProfile) -> RunningLoad {
        let (end, ended) = oneshot::channel::<()>();
        let running = load.clone();
        let task = runtime.spawn(async move {
            running.run(&plan, async { drop(ended.await) }).await;
        });
        RunningLoad { load, end, task }
    }

    /// Answers so far.
    pub fn tally(&self) -> LoadCounts {
        self.load.counts()
    }

    /// Ends it, and waits for its last answers.
    pub fn finish(self, runtime: &Runtime) -> LoadCounts {
        let _ = self.end.send(());
        runtime.block_on(self.task).expect("it ends");
        self.load.counts()
    }
}
