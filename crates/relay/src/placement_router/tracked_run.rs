//! Placement requests of this instance and the runs that they became.

use peer::RunUpdate;
use policy::dispatch::placement::{
    InFlightEndpoint, InFlightRun, PlacementDecision, PlacementGrant, PlacementRequest, RunKey,
    RunOutcome, RunPhase, RunReport,
};

use super::PlacementRouter;
use crate::placement::LOCAL_OWNER;

/// Dispatcher that counts a run.
#[derives::value]
pub(super) enum RunDispatcher {
    /// The dispatcher of this instance.
    Local,
    /// The steward of the session with this number.
    Session(u64),
    /// The steward was lost, so that no dispatcher counts the run.
    Lost,
}

/// A placement request, or the run that it became, until it is finished.
pub(super) struct TrackedRun {
    pub(super) request: PlacementRequest,
    pub(super) dispatcher: RunDispatcher,
    /// Engines of the run, the host first; empty until the request is granted.
    pub(super) engines: Vec<InFlightEndpoint>,
    pub(super) phase: RunPhase,
}

impl PlacementRouter {
    /// Granted runs, for a dispatcher that starts to decide for this instance.
    pub(super) fn in_flight(&self) -> Vec<InFlightRun> {
        let runs = self.runs.borrow();
        let placed = runs.iter().filter(|(_, run)| !run.engines.is_empty());
        placed
            .map(|(number, run)| InFlightRun {
                number: *number,
                request: run.request.clone(),
                endpoints: run.engines.clone(),
                phase: run.phase,
            })
            .collect()
    }

    /// Assigns the runs that were reported to a steward to its session, and reports those that have
    /// ended in the meantime.
    pub(super) fn reassign_runs(&self, in_flight: &[InFlightRun], number: u64) {
        let mut moved_from_local = Vec::new();
        let mut ended = Vec::new();
        {
            let mut runs = self.runs.borrow_mut();
            for run in in_flight {
                match runs.get_mut(&run.number) {
                    Some(known) => {
                        if known.dispatcher == RunDispatcher::Local {
                            moved_from_local.push(run.number);
                        }
                        known.dispatcher = RunDispatcher::Session(number);
                    }
                    None => ended.push(RunUpdate::Finished(
                        run.number,
                        RunReport::new(RunOutcome::CallerLeft),
                    )),
                }
            }
        }
        for request_number in moved_from_local {
            let key = RunKey::new(LOCAL_OWNER, request_number);
            self.driver
                .finish(key, &RunReport::new(RunOutcome::CallerLeft));
        }
        if !ended.is_empty() {
            self.notify(number, &ended);
        }
    }

    pub(super) fn mark_runs_lost(&self, number: u64) {
        for run in self.runs.borrow_mut().values_mut() {
            if run.dispatcher == RunDispatcher::Session(number) {
                run.dispatcher = RunDispatcher::Lost;
            }
        }
    }

    /// Adds runs that no dispatcher counts to the local dispatcher.
    pub(super) fn adopt_lost_runs(&self) {
        let mut lost_runs = Vec::new();
        for (number, run) in self.runs.borrow_mut().iter_mut() {
            if run.dispatcher == RunDispatcher::Lost && !run.engines.is_empty() {
                run.dispatcher = RunDispatcher::Local;
                lost_runs.push(InFlightRun {
                    number: *number,
                    request: run.request.clone(),
                    endpoints: run.engines.clone(),
                    phase: run.phase,
                });
            }
        }
        for lost_run in &lost_runs {
            self.driver.adopt(LOCAL_OWNER, lost_run);
        }
    }

    pub(super) fn track_run(
        &self,
        number: u64,
        request: &PlacementRequest,
        dispatcher: RunDispatcher,
    ) {
        let run = TrackedRun {
            request: request.clone(),
            dispatcher,
            engines: Vec::new(),
            phase: RunPhase::Prefill,
        };
        self.runs.borrow_mut().insert(number, run);
    }

    pub(super) fn record_decision(&self, number: u64, decision: &PlacementDecision) {
        let mut runs = self.runs.borrow_mut();
        match decision {
            PlacementDecision::Refused(_) => {
                runs.remove(&number);
            }
            PlacementDecision::Granted(grant) => {
                if let Some(run) = runs.get_mut(&number) {
                    run.engines = in_flight_engines(grant);
                }
            }
        }
    }
}

fn in_flight_engines(grant: &PlacementGrant) -> Vec<InFlightEndpoint> {
    let host = InFlightEndpoint {
        endpoint: grant.host.endpoint.clone(),
        reserved_tokens: 0,
    };
    let helpers = grant.helpers.iter().map(|helper| InFlightEndpoint {
        endpoint: helper.target.endpoint.clone(),
        reserved_tokens: helper.reserved_tokens,
    });
    std::iter::once(host).chain(helpers).collect()
}
