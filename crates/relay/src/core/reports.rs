//! Reports of engines on their load.

use policy::dispatch::placement::EndpointTarget;
use policy::first_event_wait::WaitDecision;

use super::RelayCore;
use crate::connections::GateRule;
use crate::endpoint_gate::GateRefusal;
use crate::engine_reports::HeardReport;

impl RelayCore {
    /// What `engine` says of its load; `None` if it does not answer in time, or may not be asked.
    pub(crate) async fn engine_report(&self, engine: &EndpointTarget) -> Option<HeardReport> {
        let gate = self.report_gate(engine)?;
        self.engine_reports.report(engine, gate).await
    }

    /// How a report of `engine` is requested; `None` if it may not be requested. A report counts among
    /// the requests that a limit allows, and its permit would cost a request its own.
    fn report_gate(&self, engine: &EndpointTarget) -> Option<GateRule> {
        let endpoint = &engine.endpoint;
        if self.is_limited(endpoint) {
            return None;
        }
        match self.gate().refusal(endpoint) {
            None => Some(GateRule::Observed),
            // A leaving engine finishes its runs; one that was removed is not known any more.
            Some(GateRefusal::Departed) => {
                let is_known = self.endpoint_target(endpoint).is_some();
                is_known.then_some(GateRule::Ignored)
            }
            Some(GateRefusal::Held | GateRefusal::Doubted | GateRefusal::Evacuated) => None,
        }
    }

    /// Counts a decision on a run whose first event is overdue.
    pub(crate) fn count_engine_report(&self, decision: WaitDecision) {
        self.counters.engine_report(decision);
    }
}
