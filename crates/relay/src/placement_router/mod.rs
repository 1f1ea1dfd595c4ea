//! Routes placement requests across the fleet. Requests go to the fleet steward; while no fleet
//! steward can be reached, to the steward of this failure domain; and while neither can be reached,
//! to this instance's own dispatcher. The router also serves the instances that take this one for
//! their steward.
//!
//! A steward is the instance whose dispatcher places the requests of other instances. It is the
//! first eligible member by rank; nothing is elected. A member that was lost or that refused a
//! session is ineligible for some time, even if it is still listed: the member list comes from the
//! platform's store, which may be unavailable at that time.

mod member_session;
mod members;
mod steward_session;
mod tracked_run;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use peer::RunUpdate;
use policy::dispatch::placement::{
    PlacementDecision, PlacementRequest, PlacementScope, RunKey, RunPhase, RunReport,
};
use policy::fleet::FleetMembership;
use policy::ids::{DomainId, EndpointId, InstanceId, Millis};
use policy::poison::Fingerprint;
use policy::rate_limit::{PermitDecision, RateNotice};
use tokio::sync::Notify;

use self::member_session::MemberSession;
use self::steward_session::{StewardScope, StewardSession, StewardSessions};
use self::tracked_run::{RunDispatcher, TrackedRun};
use crate::clock::BootClock;
use crate::placement::{DecisionFuture, DispatcherDriver, LOCAL_OWNER, PlacementClient};

/// Time without an answer after which a steward counts as lost. A machine that has used up its CPU
/// quota may stall for 100 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// How often the sessions are checked.
const SESSION_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Number of steward sessions in which a placement request is tried before the local dispatcher
/// decides.
const MAX_SESSION_TRIES: usize = 2;

/// Learns what the members of a steward report of endpoints.
pub trait EndpointListener {
    /// An endpoint says in its answers that it leaves.
    fn endpoint_leaves(&self, endpoint: &EndpointId);
}

/// Placement router of one instance.
///
/// Invariant: at most one dispatcher known to this instance counts a granted run, and a dispatcher
/// that starts to decide for this instance first learns of all its runs.
pub struct PlacementRouter {
    instance: InstanceId,
    domain: DomainId,
    driver: Rc<DispatcherDriver>,
    clock: BootClock,
    membership: RefCell<FleetMembership>,
    /// Members that cannot be taken for a steward, and until when.
    ineligible: RefCell<HashMap<InstanceId, Millis>>,
    /// Members whose entries have been missing since the store recovered, and when they are
    /// removed.
    missing_members: RefCell<HashMap<InstanceId, Millis>>,
    /// When the store last recovered from an outage.
    store_recovered_at: Cell<Option<Millis>>,
    has_resigned: Cell<bool>,
    sessions: RefCell<StewardSessions>,
    next_session: Cell<u64>,
    runs: RefCell<HashMap<u64, TrackedRun>>,
    member_sessions: RefCell<HashMap<u64, MemberSession>>,
    changed: Notify,
    steward_losses: Cell<u64>,
    listener: RefCell<Option<Weak<dyn EndpointListener>>>,
}

impl PlacementRouter {
    /// Creates a router for `instance`; `driver` runs the local dispatcher that decides when no
    /// steward can be reached.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        domain: DomainId,
        driver: Rc<DispatcherDriver>,
        clock: BootClock,
    ) -> Self {
        Self {
            instance,
            domain,
            driver,
            clock,
            membership: RefCell::new(FleetMembership::new()),
            ineligible: RefCell::new(HashMap::new()),
            missing_members: RefCell::new(HashMap::new()),
            store_recovered_at: Cell::new(None),
            has_resigned: Cell::new(false),
            sessions: RefCell::new(StewardSessions::default()),
            next_session: Cell::new(LOCAL_OWNER + 1),
            runs: RefCell::new(HashMap::new()),
            member_sessions: RefCell::new(HashMap::new()),
            changed: Notify::new(),
            steward_losses: Cell::new(0),
            listener: RefCell::new(None),
        }
    }

    /// Sets who learns what members report of endpoints.
    pub fn set_listener(&self, listener: Weak<dyn EndpointListener>) {
        *self.listener.borrow_mut() = Some(listener);
    }

    /// Stops serving as a steward: refuses new sessions, and members learn at their next ping that
    /// theirs have ended. Called before this instance stops.
    pub fn resign(&self) {
        self.has_resigned.set(true);
    }

    /// Maintains the sessions with stewards and with members. Never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.expire_sessions();
            self.remove_expired_members();
            self.update_limit_share();
            self.maintain_session(StewardScope::Fleet).await;
            let has_fleet_steward =
                self.is_fleet_steward() || self.sessions.borrow().fleet.is_some();
            if has_fleet_steward {
                self.sessions.borrow_mut().domain = None;
            } else {
                self.maintain_session(StewardScope::Domain).await;
            }
            let waited = tokio::time::timeout(SESSION_CHECK_PERIOD, self.changed.notified());
            // The sessions are checked after a timeout as well as after a change.
            let _ = waited.await;
        }
    }

    async fn permit(self: Rc<Self>, endpoint: EndpointId) -> PermitDecision {
        if let (Some(session), _) = self.current_dispatcher() {
            let asked = session.link.request_permit(&endpoint);
            if let Ok(Ok(decision)) = tokio::time::timeout(PING_TIMEOUT, asked).await {
                return decision;
            }
        }
        self.driver.request_permit(&endpoint)
    }

    /// Endpoints that the dispatcher of this instance may use. Without a session from another
    /// failure domain, this failure domain is taken to be cut off and only its own endpoints are
    /// used.
    fn scope(&self) -> PlacementScope {
        let membership = self.membership.borrow();
        if membership.domains() <= 1 {
            return PlacementScope::Fleet;
        }
        let is_other_domain = |session: &MemberSession| {
            let domain = membership.domain_of(&session.instance);
            domain.is_some_and(|domain| *domain != self.domain)
        };
        if self.member_sessions.borrow().values().any(is_other_domain) {
            return PlacementScope::Fleet;
        }
        PlacementScope::Domain(self.domain.clone())
    }

    /// The session of the steward that decides now, `None` for the local dispatcher, and the
    /// endpoints in scope.
    fn current_dispatcher(&self) -> (Option<Rc<StewardSession>>, PlacementScope) {
        if self.is_fleet_steward() {
            return (None, self.scope());
        }
        let sessions = self.sessions.borrow();
        let is_open = |session: &&Rc<StewardSession>| session.link.is_open();
        if let Some(fleet) = sessions.fleet.as_ref().filter(is_open) {
            return (Some(Rc::clone(fleet)), PlacementScope::Fleet);
        }
        let own_domain = PlacementScope::Domain(self.domain.clone());
        (
            sessions.domain.as_ref().filter(is_open).cloned(),
            own_domain,
        )
    }

    async fn place(
        self: Rc<Self>,
        number: u64,
        mut request: PlacementRequest,
    ) -> PlacementDecision {
        let started_at = self.clock.now();
        let (waited, time_left) = (request.waited, request.time_left);
        for _ in 0..MAX_SESSION_TRIES {
            let (session, scope) = self.current_dispatcher();
            let Some(session) = session else {
                break;
            };
            request.scope = scope;
            let elapsed = self.clock.now().saturating_sub(started_at);
            request.waited = waited + elapsed;
            request.time_left = time_left.saturating_sub(elapsed);
            self.track_run(number, &request, RunDispatcher::Session(session.number));
            let decided = tokio::select! {
                decided = session.link.request_placement(number, &request) => decided.ok(),
                // A connection to a silent steward stays open, so that no answer ends the wait.
                () = session.wait_until_lost() => None,
            };
            match decided {
                Some(decision) => {
                    self.record_decision(number, &decision);
                    return decision;
                }
                None => self.end_steward_session(session.number, "unanswered"),
            }
        }
        request.scope = self.current_dispatcher().1;
        request.caller_domain = Some(self.domain.clone());
        let elapsed = self.clock.now().saturating_sub(started_at);
        request.waited = waited + elapsed;
        request.time_left = time_left.saturating_sub(elapsed);
        self.track_run(number, &request, RunDispatcher::Local);
        let key = RunKey::new(LOCAL_OWNER, number);
        let decision = self.driver.request_placement(key, request).await;
        self.record_decision(number, &decision);
        decision
    }
}

impl PlacementClient for Rc<PlacementRouter> {
    fn request_placement(&self, number: u64, request: PlacementRequest) -> DecisionFuture {
        Rc::clone(self).place(number, request).boxed_local()
    }

    fn first_event(&self, number: u64) {
        let dispatcher = {
            let mut runs = self.runs.borrow_mut();
            let Some(run) = runs.get_mut(&number) else {
                return;
            };
            run.phase = RunPhase::Decode;
            run.dispatcher.clone()
        };
        match dispatcher {
            RunDispatcher::Local => self.driver.first_event(RunKey::new(LOCAL_OWNER, number)),
            RunDispatcher::Session(session) => {
                self.notify(session, &[RunUpdate::FirstEvent(number)]);
            }
            RunDispatcher::Lost => {}
        }
    }

    fn finish(&self, number: u64, report: RunReport) {
        let ended = self.runs.borrow_mut().remove(&number);
        match ended.map(|run| run.dispatcher) {
            Some(RunDispatcher::Local) => self
                .driver
                .finish(RunKey::new(LOCAL_OWNER, number), &report),
            Some(RunDispatcher::Session(session)) => {
                self.notify(session, &[RunUpdate::Finished(number, report)]);
            }
            Some(RunDispatcher::Lost) | None => {}
        }
    }

    fn report_limit(&self, notice: &RateNotice) {
        self.driver.apply_limit(notice);
        let update = RunUpdate::Limit(notice.clone());
        for session in self.open_sessions() {
            session.link.report_runs(std::slice::from_ref(&update));
        }
    }

    fn report_leaving(&self, endpoint: &EndpointId) {
        let update = RunUpdate::Leaving(endpoint.clone());
        for session in self.open_sessions() {
            session.link.report_runs(std::slice::from_ref(&update));
        }
    }

    fn request_permit(&self, endpoint: &EndpointId) -> LocalBoxFuture<'static, PermitDecision> {
        Rc::clone(self).permit(endpoint.clone()).boxed_local()
    }

    fn may_try(&self, fingerprint: Fingerprint) -> bool {
        let membership = self.membership.borrow();
        let owner = membership.owner_of(fingerprint.0);
        owner.is_none_or(|owner| *owner == self.instance)
    }

    fn steward_losses(&self) -> u64 {
        self.steward_losses.get()
    }

    fn fleet_size(&self) -> usize {
        self.membership.borrow().len()
    }
}
