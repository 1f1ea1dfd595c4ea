//! Sessions of the members that take this instance for their steward.

use std::rc::Weak;

use futures::future::LocalBoxFuture;
use peer::{RunUpdate, StewardHandler};
use policy::dispatch::placement::{
    InFlightRun, PlacementDecision, PlacementRequest, PlacementScope, RunKey, RunOutcome, RunReport,
};
use policy::ids::{DomainId, EndpointId, InstanceId, Millis};
use policy::rate_limit::{PermitDecision, RequestRate};

use super::PlacementRouter;

/// Time without a message from a member after which its session ends and its runs are dropped, in
/// milliseconds: three idle pings.
const SESSION_TIMEOUT: Millis = 3_000;

/// Session of a member that takes this instance for its steward.
pub(super) struct MemberSession {
    pub(super) instance: InstanceId,
    pub(super) last_heard_at: Millis,
}

impl PlacementRouter {
    /// Tells the local dispatcher how many of the fleet's instances it decides for: this one and
    /// those with a session.
    pub(super) fn update_limit_share(&self) {
        let decided_for = 1 + self.member_sessions.borrow().len();
        let instances = self.membership.borrow().len();
        self.driver.set_limit_share(decided_for, instances);
    }

    /// Failure domain of the member in a session.
    pub(super) fn domain_of_session(&self, session: u64) -> Option<DomainId> {
        let member_sessions = self.member_sessions.borrow();
        let instance = &member_sessions.get(&session)?.instance;
        self.membership.borrow().domain_of(instance).cloned()
    }

    pub(super) fn expire_sessions(&self) {
        let now = self.clock.now();
        let is_expired =
            |session: &MemberSession| now.saturating_sub(session.last_heard_at) > SESSION_TIMEOUT;
        let expired: Vec<u64> = {
            let member_sessions = self.member_sessions.borrow();
            let expired = member_sessions
                .iter()
                .filter(|(_, session)| is_expired(session));
            expired.map(|(number, _)| *number).collect()
        };
        for number in expired {
            self.end_member_session(number, "silent");
        }
    }

    fn sessions_of(&self, instance: &InstanceId) -> Vec<u64> {
        let member_sessions = self.member_sessions.borrow();
        let known = member_sessions
            .iter()
            .filter(|(_, session)| session.instance == *instance);
        known.map(|(number, _)| *number).collect()
    }

    /// Drops the runs that a member has reported in a new session from its former ones, which last for
    /// a while after their connections have fallen silent.
    fn release_moved_runs(&self, former: &[u64], in_flight: &[InFlightRun]) {
        let report = RunReport::new(RunOutcome::CallerLeft);
        for session in former {
            for run in in_flight {
                let key = RunKey::new(*session, run.number);
                self.driver.finish(key, &report);
            }
        }
    }

    pub(super) fn end_member_session(&self, number: u64, cause: &str) {
        let ended = self.member_sessions.borrow_mut().remove(&number);
        if let Some(session) = ended {
            spdlog::info!("member session ended", kv: {
                instance = session.instance.as_str(),
                cause = cause,
            });
            self.driver.drop_owner(number);
            self.update_limit_share();
        }
    }
}

impl StewardHandler for PlacementRouter {
    fn join(&self, instance: InstanceId, in_flight: Vec<InFlightRun>) -> Option<u64> {
        // During a store outage, an instance that was restarted and has no pools yet still appears
        // in the member lists.
        if !self.driver.has_pools() || self.has_resigned.get() {
            spdlog::info!("member session refused", kv: { instance = instance.as_str() });
            return None;
        }
        let number = self.next_session.get();
        self.next_session.set(number + 1);
        spdlog::info!("member session opened", kv: {
            instance = instance.as_str(),
            number = number,
            held = in_flight.len(),
        });
        let former = self.sessions_of(&instance);
        let session = MemberSession {
            instance,
            last_heard_at: self.clock.now(),
        };
        self.member_sessions.borrow_mut().insert(number, session);
        self.update_limit_share();
        for run in &in_flight {
            self.driver.adopt(number, run);
        }
        self.release_moved_runs(&former, &in_flight);
        Some(number)
    }

    fn request_placement(
        &self,
        session: u64,
        number: u64,
        mut request: PlacementRequest,
    ) -> LocalBoxFuture<'static, PlacementDecision> {
        if request.scope == PlacementScope::Fleet {
            request.scope = self.scope();
        }
        request.caller_domain = self.domain_of_session(session);
        self.driver
            .request_placement(RunKey::new(session, number), request)
    }

    fn request_permit(&self, endpoint: &EndpointId) -> PermitDecision {
        self.driver.request_permit(endpoint)
    }

    fn report_runs(&self, session: u64, updates: Vec<RunUpdate>) {
        for update in updates {
            match update {
                RunUpdate::FirstEvent(number) => {
                    self.driver.first_event(RunKey::new(session, number));
                }
                RunUpdate::Finished(number, report) => {
                    self.driver.finish(RunKey::new(session, number), &report);
                }
                RunUpdate::Leaving(endpoint) => {
                    let listener = self.listener.borrow().as_ref().and_then(Weak::upgrade);
                    if let Some(listener) = listener {
                        listener.endpoint_leaves(&endpoint);
                    }
                }
                RunUpdate::Limit(notice) => {
                    if self.driver.apply_limit(&notice) {
                        spdlog::info!("limit learned from a member", kv: {
                            endpoint = notice.endpoint.as_str(),
                            per_second = notice.rate.map_or(-1.0, RequestRate::per_second),
                            age = notice.age,
                            session = session,
                        });
                    }
                }
            }
        }
    }

    fn is_current(&self, session: u64) -> bool {
        if self.has_resigned.get() {
            return false;
        }
        let now = self.clock.now();
        let mut member_sessions = self.member_sessions.borrow_mut();
        let Some(known) = member_sessions.get_mut(&session) else {
            return false;
        };
        known.last_heard_at = now;
        true
    }

    fn leave(&self, session: u64) {
        self.end_member_session(session, "closed");
    }
}
