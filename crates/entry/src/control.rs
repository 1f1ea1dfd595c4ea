//! The control thread: everything that an instance does besides serving callers.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use tokio::sync::{mpsc, oneshot};

use crate::claims::ClaimDesk;
use crate::ports::ControlPorts;
use crate::tables::EntryTables;

/// What the tasks of the control thread share.
pub(crate) struct Control {
    pub(crate) tables: Arc<EntryTables>,
    pub(crate) ports: ControlPorts,
    pub(crate) claims: ClaimDesk,
}

impl Control {
    pub(crate) fn new(tables: Arc<EntryTables>, ports: ControlPorts) -> Self {
        Self {
            claims: ClaimDesk::new(),
            ports,
            tables,
        }
    }

    /// Runs a task of the control thread beside the caller.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ports.spawner.spawn(Box::pin(task));
    }
}

type ControlTask = Box<dyn FnOnce(Rc<Control>) -> LocalBoxFuture<'static, ()> + Send>;

/// Hands work to the control thread from any other.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    sender: mpsc::UnboundedSender<ControlTask>,
}

/// The control thread's end.
pub(crate) struct ControlInbox {
    receiver: mpsc::UnboundedReceiver<ControlTask>,
}

/// A handle and its inbox.
pub(crate) fn control_channel() -> (ControlHandle, ControlInbox) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (ControlHandle { sender }, ControlInbox { receiver })
}

impl ControlHandle {
    /// Runs `task` on the control thread; dropping the future cancels the task.
    ///
    /// Gives `None` once the control thread has ended.
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
                let work = task(control);
                tokio::select! {
                    biased;
                    value = work => {
                        // The asker may have gone in the meantime.
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

    /// Runs `task` on the control thread to its end, whatever becomes of the caller.
    pub(crate) fn post<F>(&self, task: impl FnOnce(Rc<Control>) -> F + Send + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        // At the end of the process there is nobody left to do it.
        let _ = self
            .sender
            .send(Box::new(move |control| task(control).boxed_local()));
    }
}

impl ControlInbox {
    /// Runs what other threads hand over.
    pub(crate) async fn run(mut self, control: Rc<Control>) {
        while let Some(task) = self.receiver.recv().await {
            let work = task(control.clone());
            control.spawn(work);
        }
    }
}
