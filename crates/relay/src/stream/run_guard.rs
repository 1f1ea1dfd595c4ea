//! Reports of a run to its dispatcher.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::dispatch::placement::{RunOutcome, RunReport};
use policy::ids::{EndpointId, Millis};
use policy::part_blame::RunProgress;

use crate::core::RelayCore;
use crate::request::RelayRequest;

/// Finishes a placement request on drop.
pub(super) struct RunGuard {
    core: Rc<RelayCore>,
    pub(super) number: u64,
    report: RefCell<RunReport>,
    sent_run: RefCell<Option<SentRun>>,
    progress: Cell<RunProgress>,
}

/// A run that was sent to its host.
struct SentRun {
    request: Rc<RelayRequest>,
    endpoint: EndpointId,
    /// When the run was sent or its last event arrived.
    heard_at: Millis,
}

impl RunGuard {
    pub(super) fn new(core: &Rc<RelayCore>) -> Self {
        Self {
            core: Rc::clone(core),
            number: core.next_request_number(),
            report: RefCell::new(RunReport::new(RunOutcome::CallerLeft)),
            sent_run: RefCell::new(None),
            progress: Cell::default(),
        }
    }

    /// Records that the run is sent to `endpoint`.
    pub(super) fn sent(&self, request: &Rc<RelayRequest>, endpoint: &EndpointId) {
        *self.sent_run.borrow_mut() = Some(SentRun {
            request: Rc::clone(request),
            endpoint: endpoint.clone(),
            heard_at: self.core.now(),
        });
    }

    /// Records that the run has sent something, with this number of whole events.
    pub(super) fn heard(&self, events: usize) {
        let now = self.core.now();
        let mut progress = self.progress.get();
        progress.events_arrived(events, now);
        let is_report_due = progress.is_report_due(now);
        self.progress.set(progress);
        if let Some(sent_run) = self.sent_run.borrow_mut().as_mut() {
            sent_run.heard_at = now;
            if is_report_due {
                self.core.run_written(&sent_run.request);
            }
        }
    }

    /// What the run has written so far.
    pub(super) fn progress(&self) -> RunProgress {
        self.progress.get()
    }

    pub(super) fn report(&self, report: RunReport) {
        *self.report.borrow_mut() = report;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let report = self.report.borrow().clone();
        if let Some(sent_run) = self.sent_run.borrow().as_ref()
            && report.outcome == RunOutcome::CallerLeft
        {
            let SentRun {
                request,
                endpoint,
                heard_at,
            } = sent_run;
            self.core
                .run_abandoned(request, endpoint, *heard_at, self.progress.get());
        }
        self.core.placement().finish(self.number, report);
    }
}
