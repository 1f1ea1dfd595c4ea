//! The control thread, which runs everything that an instance does besides serving callers.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use tokio::sync::{mpsc, oneshot};

use crate::claims::ClaimQueues;
use crate::ports::ControlPorts;
use crate::tables::EntryTables;

/// State shared by the tasks of the control thread.
pub(crate) struct Control {
    pub(crate) tables: Arc<EntryTables>,
    pub(crate) ports: ControlPorts,
    pub(crate) claims: ClaimQueues,
}

impl Control {
    pub(crate) fn new(tables: Arc<EntryTables>, ports: ControlPorts) -> Self {
        Self {
            claims: ClaimQueues::new(),
            ports,
            tables,
        }
    }

    /// Spawns a task on the control thread.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ports.spawner.spawn(Box::pin(task));
    }
}

type ControlTask = Box<dyn FnOnce(Rc<Control>) -> LocalBoxFuture<'static, ()> + Send>;

/// Sends tasks to the control thread from any thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    sender: mpsc::UnboundedSender<ControlTask>,
}

/// Receives the tasks that [`ControlHandle`]s send.
pub(crate) struct ControlInbox {
    receiver: mpsc::UnboundedReceiver<ControlTask>,
}

/// Creates a connected handle and inbox.
pub(crate) fn control_channel() -> (ControlHandle, ControlInbox) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (ControlHandle { sender }, ControlInbox { receiver })
}

impl ControlHandle {
    /// Runs `task` on the control thread and returns its result; dropping the future cancels the
    /// task.
    ///
    /// Returns `None` if the control thread has ended.
    pub(crate) async fn run<T, F>(
        &self,
        task: impl FnOnce(Rc<Control>) -> F + Send + 'static,
    ) -> Option<T>
    where
        T: Send + 'static,
        F: Future<Output = T> + 'static,
    {
        let (mut reply, answer) = oneshot::channel();
        let boxed: ControlTask = Box::new(move |control| {
            async move {
                let future = task(control);
                tokio::select! {
                    biased;
                    value = future => {
                        // The receiver may have been dropped in the meantime.
                        let _ = reply.send(value);
                    }
                    () = reply.closed() => {}
                }
            }
            .boxed_local()
        });
        self.sender.send(boxed).ok()?;
        answer.await.ok()
    }

    /// Runs `task` on the control thread to completion, independently of the caller.
    pub(crate) fn post<F>(&self, task: impl FnOnce(Rc<Control>) -> F + Send + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        // Sending fails only at process exit, when the control thread has ended.
        let _ = self
            .sender
            .send(Box::new(move |control| task(control).boxed_local()));
    }
}

impl ControlInbox {
    /// Spawns each received task on the control thread.
    pub(crate) async fn run(mut self, control: Rc<Control>) {
        while let Some(task) = self.receiver.recv().await {
            let future = task(control.clone());
            control.spawn(future);
        }
    }
}
