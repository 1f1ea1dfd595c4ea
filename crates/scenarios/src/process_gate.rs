//! Freezes, resumes and kills all tasks of one instance, in place of process signals.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use entry::{ControlFuture, TaskSpawner};
use tokio::task::AbortHandle;

/// State of an instance's process.
#[derives::tag]
pub(crate) enum ProcessPhase {
    /// The tasks are polled.
    Running,
    /// The tasks are not polled, as after `SIGSTOP`.
    Frozen,
    /// The tasks are aborted, as after `SIGKILL`.
    Killed,
}

/// Controls whether the tasks of one instance are polled.
#[derive(Debug)]
pub(crate) struct ProcessGate {
    phase: Cell<ProcessPhase>,
    wakers: RefCell<Vec<Waker>>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl ProcessGate {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(ProcessPhase::Running),
            wakers: RefCell::new(Vec::new()),
            tasks: RefCell::new(Vec::new()),
        })
    }

    pub(crate) fn phase(&self) -> ProcessPhase {
        self.phase.get()
    }

    pub(crate) fn freeze(&self) {
        if self.phase.get() == ProcessPhase::Running {
            self.phase.set(ProcessPhase::Frozen);
        }
    }

    pub(crate) fn resume(&self) {
        if self.phase.get() == ProcessPhase::Frozen {
            self.phase.set(ProcessPhase::Running);
            self.wake_tasks();
        }
    }

    pub(crate) fn kill(&self) {
        self.phase.set(ProcessPhase::Killed);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.wake_tasks();
    }

    /// Registers a waker to be woken when the phase changes.
    fn register_waker(&self, waker: &Waker) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|known| known.will_wake(waker)) {
            wakers.push(waker.clone());
        }
    }

    fn wake_tasks(&self) {
        for waker in self.wakers.borrow_mut().drain(..) {
            waker.wake();
        }
    }

    /// Waits while the process is frozen; returns `Running` or `Killed`.
    pub(crate) async fn until_running(self: &Rc<Self>) -> ProcessPhase {
        std::future::poll_fn(|context| match self.phase.get() {
            ProcessPhase::Frozen => {
                self.register_waker(context.waker());
                Poll::Pending
            }
            phase => Poll::Ready(phase),
        })
        .await
    }
}

/// A future that belongs to an instance: it is not polled while the process is frozen and
/// resolves to `None` once the process is killed.
pub(crate) struct Gated<F> {
    gate: Rc<ProcessGate>,
    inner: Pin<Box<F>>,
}

impl<F: Future> Gated<F> {
    pub(crate) fn new(gate: &Rc<ProcessGate>, inner: F) -> Self {
        Self {
            gate: gate.clone(),
            inner: Box::pin(inner),
        }
    }
}

impl<F: Future> Future for Gated<F> {
    type Output = Option<F::Output>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        if self.gate.phase() == ProcessPhase::Killed {
            return Poll::Ready(None);
        }
        // Registered even while the process runs, so that a kill wakes the task at once.
        self.gate.register_waker(context.waker());
        if self.gate.phase() == ProcessPhase::Frozen {
            return Poll::Pending;
        }
        self.inner.as_mut().poll(context).map(Some)
    }
}

/// Spawns an instance's tasks so that they follow its [`ProcessGate`].
pub(crate) struct GatedSpawner {
    gate: Rc<ProcessGate>,
}

impl GatedSpawner {
    pub(crate) fn new(gate: Rc<ProcessGate>) -> Self {
        Self { gate }
    }
}

struct GatedTask {
    gate: Rc<ProcessGate>,
    inner: ControlFuture,
}

impl Future for GatedTask {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        match self.gate.phase() {
            ProcessPhase::Killed => Poll::Ready(()),
            ProcessPhase::Frozen => {
                self.gate.register_waker(context.waker());
                Poll::Pending
            }
            ProcessPhase::Running => self.inner.as_mut().poll(context),
        }
    }
}

impl TaskSpawner for GatedSpawner {
    fn spawn(&self, task: ControlFuture) {
        let gated = GatedTask {
            gate: self.gate.clone(),
            inner: task,
        };
        let handle = tokio::task::spawn_local(gated).abort_handle();
        let mut tasks = self.gate.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(handle);
    }
}
