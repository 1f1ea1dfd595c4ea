//! An orderly stop: which requests are still admitted, and how those that are left end.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use policy::catalog::{RepeatRule, ServiceCatalog, ServiceRoute};
use policy::duration_estimate::DurationEstimate;
use policy::ids::Millis;
use policy::outcome::{RefusalReason, UnfinishedReason};
use tokio::sync::Notify;

use super::{RelayCore, RelayPhase};
use crate::answer::RelayFailure;
use crate::request::RelayRequest;

/// Retry-after of a request that this instance does not take and others do, in milliseconds.
pub(crate) const NOT_READY_RETRY_AFTER: Millis = 500;

/// State of an orderly stop, and how long requests of each route take.
#[derive(Debug, Default)]
pub(super) struct StopState {
    /// When the requests that are left are answered; `None` until a stop begins.
    answers_at: Cell<Option<Millis>>,
    is_over: Cell<bool>,
    over: Notify,
    /// Durations of served requests by the name of their route.
    durations: RefCell<HashMap<String, DurationEstimate>>,
    /// Names of the routes on which a trial is in hand.
    trials: Rc<RefCell<HashSet<String>>>,
}

/// Whether a request is admitted while its instance stops.
#[derive(Debug)]
pub(crate) enum StopAdmission {
    /// It is expected to end in time.
    Expected,
    /// Nothing is known of its route. It is the only such request in hand, and shows how long the others
    /// would take.
    Trial(RouteTrial),
    /// It is expected to be cut off, or a trial of its route is in hand.
    Refused,
}

/// A trial of a route, over when it is dropped.
#[derive(Debug)]
pub struct RouteTrial {
    trials: Rc<RefCell<HashSet<String>>>,
    name: String,
}

impl Drop for RouteTrial {
    fn drop(&mut self) {
        self.trials.borrow_mut().remove(&self.name);
    }
}

impl RelayCore {
    /// Begins an orderly stop, in [`RelayPhase::Draining`]: `time_left` milliseconds later the
    /// requests that are left will be answered.
    pub fn begin_stop(&self, time_left: Millis) {
        self.stop.answers_at.set(Some(self.now() + time_left));
        self.enter(RelayPhase::Draining);
    }

    /// Ends all requests that are left: each is answered at once, and a stream that has begun breaks
    /// off.
    pub fn end_requests(&self) {
        self.stop.is_over.set(true);
        self.stop.over.notify_waiters();
    }

    /// Resolves when the requests that are left must end.
    pub(crate) async fn requests_ended(&self) {
        let over = self.stop.over.notified();
        if !self.stop.is_over.get() {
            over.await;
        }
    }

    /// Whether a request on the route `name` that may last until `ends_at` is admitted: it is if it is
    /// expected to end before a stop cuts it off. A route without served requests is expected to take
    /// its aim, which most requests take much less than: one that does not fit is tried, one
    /// request at a time. A trial may be cut off, so a request that may run only once is refused.
    pub(crate) fn stop_admission(&self, route: &ServiceRoute, ends_at: Millis) -> StopAdmission {
        let name = route.name.as_str();
        let Some(answers_at) = self.stop.answers_at.get() else {
            return StopAdmission::Expected;
        };
        let durations = self.stop.durations.borrow();
        let known = durations.get(name).map(DurationEstimate::upper);
        let expected = known.unwrap_or(route.aim);
        if ends_at <= answers_at || self.now() + expected <= answers_at {
            return StopAdmission::Expected;
        }
        let trials = &self.stop.trials;
        let may_be_tried = known.is_none() && route.repeat == RepeatRule::Repeatable;
        if !may_be_tried || !trials.borrow_mut().insert(name.to_owned()) {
            return StopAdmission::Refused;
        }
        StopAdmission::Trial(RouteTrial {
            trials: Rc::clone(trials),
            name: name.to_owned(),
        })
    }

    /// Records how long a request was served.
    pub(crate) fn record_duration(&self, request: &RelayRequest) {
        let took = self.now().saturating_sub(request.arrived);
        let name = &request.admitted.route.name;
        let mut durations = self.stop.durations.borrow_mut();
        match durations.get_mut(name) {
            Some(known) => known.record(took),
            None => {
                durations.insert(name.clone(), DurationEstimate::new(took));
            }
        }
    }

    /// Forgets the routes that `catalog` does not have.
    pub(super) fn retain_durations(&self, catalog: &ServiceCatalog) {
        let mut durations = self.stop.durations.borrow_mut();
        durations.retain(|name, _| catalog.routes().any(|route| route.name == *name));
    }
}

impl RelayRequest {
    /// How the request ends if a stop cuts it off.
    pub(crate) fn cut_off(&self) -> RelayFailure {
        if self.trace.may_have_run.get() {
            return RelayFailure::Unfinished(UnfinishedReason::InstanceStopped);
        }
        RelayFailure::not_run(RefusalReason::NotReady, NOT_READY_RETRY_AFTER)
    }
}
