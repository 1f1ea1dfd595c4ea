//! Freezes and kills one node's tasks.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use entry::{ControlFuture, TaskSpawner};
use tokio::task::AbortHandle;

/// What becomes of a node's tasks.
#[derives::tag]
pub(crate) enum NodePhase {
    /// They run.
    Running,
    /// They stand still, as after `SIGSTOP`.
    Frozen,
    /// They are gone.
    Killed,
}

/// Holds one node's tasks.
#[derive(Debug)]
pub(crate) struct NodeGate {
    phase: Cell<NodePhase>,
    waiting: RefCell<Vec<Waker>>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl NodeGate {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(NodePhase::Running),
            waiting: RefCell::new(Vec::new()),
            tasks: RefCell::new(Vec::new()),
        })
    }

    pub(crate) fn phase(&self) -> NodePhase {
        self.phase.get()
    }

    pub(crate) fn freeze(&self) {
        if self.phase.get() == NodePhase::Running {
            self.phase.set(NodePhase::Frozen);
        }
    }

    pub(crate) fn wake(&self) {
        if self.phase.get() == NodePhase::Frozen {
            self.phase.set(NodePhase::Running);
            self.wake_all();
        }
    }

    pub(crate) fn kill(&self) {
        self.phase.set(NodePhase::Killed);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.wake_all();
    }

    /// Remembers who is to be woken when the phase changes.
    fn remember(&self, waker: &Waker) {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|known| known.will_wake(waker)) {
            waiting.push(waker.clone());
        }
    }

    fn wake_all(&self) {
        for waker in self.waiting.borrow_mut().drain(..) {
            waker.wake();
        }
    }

    /// Waits until the node runs; `Killed` when it never will.
    pub(crate) async fn until_running(self: &Rc<Self>) -> NodePhase {
        std::future::poll_fn(|context| match self.phase.get() {
            NodePhase::Frozen => {
                self.remember(context.waker());
                Poll::Pending
            }
            phase => Poll::Ready(phase),
        })
        .await
    }
}

/// A future of a node; it stands still while the node does and gives `None` once it is killed.
pub(crate) struct Gated<F> {
    gate: Rc<NodeGate>,
    inner: Pin<Box<F>>,
}

impl<F: Future> Gated<F> {
    pub(crate) fn new(gate: &Rc<NodeGate>, inner: F) -> Self {
        Self {
            gate: gate.clone(),
            inner: Box::pin(inner),
        }
    }
}

impl<F: Future> Future for Gated<F> {
    type Output = Option<F::Output>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        if self.gate.phase() == NodePhase::Killed {
            return Poll::Ready(None);
        }
        // The waker is left even while the node runs, so that a kill is noticed at once.
        self.gate.remember(context.waker());
        if self.gate.phase() == NodePhase::Frozen {
            return Poll::Pending;
        }
        self.inner.as_mut().poll(context).map(Some)
    }
}

/// Starts a node's tasks behind its gate.
pub(crate) struct GateSpawner {
    gate: Rc<NodeGate>,
}

impl GateSpawner {
    pub(crate) fn new(gate: Rc<NodeGate>) -> Self {
        Self { gate }
    }
}

struct GatedTask {
    gate: Rc<NodeGate>,
    inner: ControlFuture,
}

impl Future for GatedTask {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        match self.gate.phase() {
            NodePhase::Killed => Poll::Ready(()),
            NodePhase::Frozen => {
                self.gate.remember(context.waker());
                Poll::Pending
            }
            NodePhase::Running => self.inner.as_mut().poll(context),
        }
    }
}

impl TaskSpawner for GateSpawner {
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
