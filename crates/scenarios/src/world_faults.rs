//! The faults that a scenario can bring about in its world.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::engines::EngineState;
use crate::node::NodeEnd;
use crate::world::{World, WorldState};

/// How long the platform's list shows an instance that has died.
const LIST_LAG: Duration = Duration::from_secs(10);

impl World {
    /// Kills an instance's process; those it is connected to notice.
    pub fn kill(&self, name: &str) {
        self.end_node(name, NodeEnd::Killed);
    }

    /// Takes an instance's host away; nobody it is connected to notices.
    pub fn vanish(&self, name: &str) {
        self.end_node(name, NodeEnd::Vanished);
    }

    pub(crate) fn end_node(&self, name: &str, end: NodeEnd) {
        self.enter(|| end_node(&self.state, name, end));
    }

    /// Freezes an instance's process.
    pub fn freeze(&self, name: &str) {
        self.enter(|| {
            self.state.with_node(name, |slot| {
                slot.gate.freeze();
                slot.disturbed = Instant::now();
            });
        });
    }

    /// Lets a frozen instance go on.
    pub fn wake(&self, name: &str) {
        self.enter(|| {
            self.state.with_node(name, |slot| {
                slot.gate.wake();
                slot.disturbed = Instant::now();
            });
        });
    }

    /// Cuts two sites off from each other.
    pub fn cut(&self, one: &str, other: &str) {
        self.state.network.cut(one, other);
        self.disturb_all();
    }

    /// Loses this many of a hundred messages.
    pub fn set_loss(&self, percent: u32) {
        self.state.network.set_loss(percent);
    }

    /// Removes all cuts and losses.
    pub fn heal(&self) {
        self.state.network.heal();
        self.disturb_all();
    }

    pub(crate) fn disturb_all(&self) {
        self.enter(|| {
            for slot in self.state.nodes.borrow_mut().values_mut() {
                slot.disturbed = Instant::now();
            }
        });
    }

    /// Takes the platform away or brings it back.
    pub fn set_platform_down(&self, is_down: bool) {
        self.state.platform.borrow_mut().is_down = is_down;
    }

    /// Lets the next writes take effect and lose their answers.
    pub fn lose_platform_answers(&self, count: u32) {
        self.state.platform.borrow_mut().lose_answers = count;
    }

    /// Kills an engine's process; it is back after `down` milliseconds.
    pub fn kill_engine(&self, name: &str, down: u64) {
        let down = Duration::from_millis(down);
        self.enter(|| {
            self.state
                .with_named_engine(name, |engine| engine.die(down));
        });
    }

    /// Stops a service endpoint's process; it is back after `down` milliseconds.
    pub fn stop_service(&self, name: &str, down: u64) {
        let down = Duration::from_millis(down);
        self.enter(|| {
            let back = Instant::now() + down;
            self.state
                .with_named_service(name, |service| service.up_since = back);
        });
    }

    /// Freezes an engine's process.
    pub fn freeze_engine(&self, name: &str) {
        self.state
            .with_named_engine(name, |engine| engine.is_frozen = true);
    }

    /// Lets a frozen engine go on.
    pub fn wake_engine(&self, name: &str) {
        self.state
            .with_named_engine(name, |engine| engine.is_frozen = false);
    }

    /// Has a failure domain's next orders, this many, arrive late: their senders get no answer.
    pub fn delay_orders(&self, domain: &str, count: u32) {
        let mut engines = self.state.engines.borrow_mut();
        let inside = |engine: &&mut EngineState| engine.name.starts_with(&format!("{domain}-"));
        for engine in engines.values_mut().filter(inside) {
            engine.late_orders = count;
        }
    }

    /// Silences the connections that are open to an engine; new ones work.
    pub fn silence_engine(&self, name: &str) {
        self.state
            .with_named_engine(name, EngineState::silence_open_connections);
    }

    /// Has an engine's next frame echo another attempt.
    pub fn cross_frame(&self, name: &str) {
        self.state
            .with_named_engine(name, |engine| engine.cross_frames = 1);
    }

    /// Has an engine's next streams, this many, close without their end mark.
    pub fn truncate_streams(&self, name: &str, count: u32) {
        self.state
            .with_named_engine(name, |engine| engine.truncate_streams = count);
    }

    /// Has a service endpoint's next call run and get no answer.
    pub fn lose_call_answer(&self, name: &str) {
        self.state
            .with_named_service(name, |service| service.lose_answers = 1);
    }
}

/// Ends a node's process and has the list forget it later.
pub(crate) fn end_node(state: &Rc<WorldState>, name: &str, end: NodeEnd) {
    let ended = state.with_node(name, |slot| {
        slot.disturbed = Instant::now();
        slot.end(end)
    });
    if ended.is_none() {
        return;
    }
    drop(ended);
    let (state, name) = (state.clone(), name.to_owned());
    tokio::task::spawn_local(async move {
        sleep(LIST_LAG).await;
        let is_stopped = state.with_node(&name, |slot| slot.running.is_none());
        if is_stopped {
            state.platform.borrow_mut().unlist(&name);
        }
    });
}
