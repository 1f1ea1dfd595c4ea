//! Reports of a run to its dispatcher.

use std::cell::RefCell;
use std::rc::Rc;

use policy::dispatch::placement::{RunOutcome, RunReport};
use policy::ids::{EndpointId, Millis};

use crate::core::RelayCore;
use crate::request::RelayRequest;

/// Finishes a placement request on drop.
pub(super) struct RunGuard {
    core: Rc<RelayCore>,
    pub(super) number: u64,
    report: RefCell<RunReport>,
    sent_run: RefCell<Option<SentRun>>,
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

    /// Records that an event of the run has arrived.
    pub(super) fn heard(&self) {
        if let Some(sent_run) = self.sent_run.borrow_mut().as_mut() {
            sent_run.heard_at = self.core.now();
        }
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
            self.core.run_abandoned(request, endpoint, *heard_at);
        }
        self.core.placement().finish(self.number, report);
    }
}
