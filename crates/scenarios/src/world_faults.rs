//! Faults that scenarios inject into a world.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::engines::EngineState;
use crate::instance::ExitReason;
use crate::world::{World, WorldState};

/// Time for which the platform's list still shows an instance that has ended.
const UNLIST_DELAY: Duration = Duration::from_secs(10);

impl World {
    /// Kills an instance's process; the other ends of its connections see them close.
    pub fn kill(&self, name: &str) {
        self.end_instance(name, ExitReason::Killed);
    }

    /// Removes an instance's machine; the other ends of its connections get no signal.
    pub fn lose_machine(&self, name: &str) {
        self.end_instance(name, ExitReason::MachineLost);
    }

    pub(crate) fn end_instance(&self, name: &str, exit_reason: ExitReason) {
        self.enter(|| end_instance(&self.state, name, exit_reason));
    }

    /// Freezes an instance's process, as `SIGSTOP` does.
    pub fn freeze(&self, name: &str) {
        self.enter(|| {
            self.state.with_instance(name, |slot| {
                slot.gate.freeze();
                slot.last_disruption = Instant::now();
            });
        });
    }

    /// Resumes a frozen instance, as `SIGCONT` does.
    pub fn resume(&self, name: &str) {
        self.enter(|| {
            self.state.with_instance(name, |slot| {
                slot.gate.resume();
                slot.last_disruption = Instant::now();
            });
        });
    }

    /// Partitions two sites from each other in both directions.
    pub fn partition(&self, one: &str, other: &str) {
        self.state.network.partition(one, other);
        self.mark_all_disrupted();
    }

    /// Drops this percentage of all messages at random.
    pub fn set_loss(&self, percent: u32) {
        self.state.network.set_loss(percent);
    }

    /// Removes all partitions and stops message loss.
    pub fn heal(&self) {
        self.state.network.heal();
        self.mark_all_disrupted();
    }

    pub(crate) fn mark_all_disrupted(&self) {
        self.enter(|| {
            for slot in self.state.instances.borrow_mut().values_mut() {
                slot.last_disruption = Instant::now();
            }
        });
    }

    /// Makes the platform unavailable or available.
    pub fn set_platform_down(&self, is_down: bool) {
        self.state.platform.borrow_mut().is_down = is_down;
    }

    /// Lets the next `count` writes to the platform take effect while their answers are lost.
    pub fn lose_platform_answers(&self, count: u32) {
        self.state.platform.borrow_mut().lose_answers = count;
    }

    /// Kills an engine's process; the engine is up again after `down` milliseconds.
    pub fn kill_engine(&self, name: &str, down: u64) {
        let down = Duration::from_millis(down);
        self.enter(|| {
            self.state
                .with_named_engine(name, |engine| engine.crash(down));
        });
    }

    /// Stops a service endpoint; the endpoint is up again after `down` milliseconds.
    pub fn stop_service(&self, name: &str, down: u64) {
        let down = Duration::from_millis(down);
        self.enter(|| {
            let up_again_at = Instant::now() + down;
            self.state
                .with_named_service(name, |service| service.up_since = up_again_at);
        });
    }

    /// Freezes an engine's process.
    pub fn freeze_engine(&self, name: &str) {
        self.state
            .with_named_engine(name, |engine| engine.is_frozen = true);
    }

    /// Resumes a frozen engine.
    pub fn resume_engine(&self, name: &str) {
        self.state
            .with_named_engine(name, |engine| engine.is_frozen = false);
    }

    /// Delays the next `count` orders to each engine of a failure domain; their senders get no
    /// answer.
    pub fn delay_orders(&self, domain: &str, count: u32) {
        let mut engines = self.state.engines.borrow_mut();
        let in_domain = |engine: &&mut EngineState| engine.name.starts_with(&format!("{domain}-"));
        for engine in engines.values_mut().filter(in_domain) {
            engine.late_orders = count;
        }
    }

    /// Stops all data on the connections that are open to an engine without closing them; new
    /// connections work.
    pub fn silence_engine(&self, name: &str) {
        self.state
            .with_named_engine(name, EngineState::silence_open_connections);
    }

    /// Makes an engine's next frame carry the id of another attempt.
    pub fn cross_frame(&self, name: &str) {
        self.state
            .with_named_engine(name, |engine| engine.cross_frames = 1);
    }

    /// Makes an engine close its next `count` streams without an end frame.
    pub fn truncate_streams(&self, name: &str, count: u32) {
        self.state
            .with_named_engine(name, |engine| engine.truncate_streams = count);
    }

    /// Makes a service endpoint execute its next call and lose the answer.
    pub fn lose_call_answer(&self, name: &str) {
        self.state
            .with_named_service(name, |service| service.lose_answers = 1);
    }
}

/// Ends an instance's process and removes the instance from the platform's list after
/// [`UNLIST_DELAY`] if it has not been started again.
pub(crate) fn end_instance(state: &Rc<WorldState>, name: &str, exit_reason: ExitReason) {
    let ended = state.with_instance(name, |slot| {
        slot.last_disruption = Instant::now();
        slot.terminate(exit_reason)
    });
    if ended.is_none() {
        return;
    }
    drop(ended);
    let (state, name) = (state.clone(), name.to_owned());
    tokio::task::spawn_local(async move {
        sleep(UNLIST_DELAY).await;
        let is_stopped = state.with_instance(&name, |slot| slot.running.is_none());
        if is_stopped {
            state.platform.borrow_mut().unlist(&name);
        }
    });
}
