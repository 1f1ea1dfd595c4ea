//! The end of an instance: not ready, lame duck, in-flight requests to the end.

use std::sync::Arc;

use policy::ids::Millis;
use policy::leaving::{LeavingKind, LeavingSubject};

use crate::control::Control;
use crate::tables::{EntryTables, LifePhase};

/// Between two looks whether anything still runs, in milliseconds.
const EMPTY_CHECK: Millis = 20;

/// Takes an instance out of service: late arrivals are still served for a short while, then
/// everything that runs is brought to its end.
///
/// Invariant: no request that was admitted is cut short.
pub(crate) async fn drain_instance(tables: Arc<EntryTables>) {
    tables.enter_phase(LifePhase::LameDuck);
    let lame_duck = tables.settings.limits.lame_duck_ms;
    tables.timer.after(lame_duck).wait().await;
    tables.enter_phase(LifePhase::Draining);
    while tables.metrics.in_flight.get() > 0 {
        tables.timer.after(EMPTY_CHECK).wait().await;
    }
}

impl Control {
    /// Resolves when an announcement has said that this life of the instance stops.
    pub(crate) async fn wait_until_stopped(&self) {
        while !self.is_stop_announced() {
            self.tables.timer.after(STOP_CHECK).wait().await;
        }
    }

    fn is_stop_announced(&self) -> bool {
        let me = self.tables.me();
        let subject = LeavingSubject::Instance(me.instance);
        let leaving = self.tables.leaving.lock();
        leaving.iter().any(|announcement| {
            announcement.subject == subject
                && announcement.kind == LeavingKind::Stop
                && announcement.incarnation >= self.tables.born
        })
    }
}

/// Between two looks whether the instance is to stop, in milliseconds.
const STOP_CHECK: Millis = 200;
