//! Graceful shutdown of an instance: lame duck phase, then draining of requests in flight.

use std::sync::Arc;

use policy::ids::Millis;
use policy::leaving::{LeavingKind, LeavingSubject};

use crate::control::Control;
use crate::tables::{EntryTables, LifecyclePhase};

/// Interval between checks for requests in flight while draining, in milliseconds.
const DRAIN_CHECK_PERIOD: Millis = 20;

/// Takes an instance out of service. In the lame duck phase the instance reports not ready but
/// still admits requests; after `lame_duck_ms` it admits no more and waits until no request is in
/// flight.
///
/// Invariant: a drain never cuts an admitted request short.
pub(crate) async fn drain_instance(tables: Arc<EntryTables>) {
    tables.enter_phase(LifecyclePhase::LameDuck);
    let lame_duck = tables.settings.limits.lame_duck_ms;
    tables.timer.after(lame_duck).wait().await;
    tables.enter_phase(LifecyclePhase::Draining);
    while tables.metrics.in_flight.get() > 0 {
        tables.timer.after(DRAIN_CHECK_PERIOD).wait().await;
    }
}

impl Control {
    /// Resolves when a `Stop` announcement covers this process.
    pub(crate) async fn wait_until_stopped(&self) {
        while !self.is_stop_announced() {
            self.tables.timer.after(STOP_CHECK_PERIOD).wait().await;
        }
    }

    fn is_stop_announced(&self) -> bool {
        let local = self.tables.local_owner();
        let subject = LeavingSubject::Instance(local.instance);
        let leaving = self.tables.leaving.lock();
        leaving.iter().any(|announcement| {
            announcement.subject == subject
                && announcement.kind == LeavingKind::Stop
                && announcement.incarnation >= self.tables.first_incarnation
        })
    }
}

/// Interval between checks for a `Stop` announcement, in milliseconds.
const STOP_CHECK_PERIOD: Millis = 200;
