//! Routes placement requests across the fleet. Requests go to the fleet steward; while no fleet
//! steward can be reached, to the steward of this failure domain; and while neither can be reached,
//! to this instance's own dispatcher. The router also serves the instances that take this one for
//! their steward.
//!
//! A steward is the instance whose dispatcher places the requests of other instances. It is the
//! first eligible member by rank; nothing is elected. A member that was lost or that refused a
//! session is ineligible for some time, even if it is still listed: the member list comes from the
//! platform's store, which may be unavailable at that time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use peer::{RunUpdate, StewardHandler, StewardLink};
use policy::dispatch::placement::{
    InFlightEndpoint, InFlightRun, PlacementDecision, PlacementGrant, PlacementRequest,
    PlacementScope, RunKey, RunOutcome, RunPhase, RunReport,
};
use policy::fleet::{FleetMember, FleetMembership};
use policy::ids::{DomainId, EndpointId, InstanceId, Millis};
use policy::poison::Fingerprint;
use policy::rate_limit::{PermitDecision, RateNotice, RequestRate};
use tokio::sync::Notify;

use crate::clock::BootClock;
use crate::placement::{DecisionFuture, DispatcherDriver, LOCAL_OWNER, PlacementClient};

/// Limit for opening a session: a few round trips between failure domains.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without an answer after which a steward counts as lost. A machine that has used up its CPU
/// quota may stall for 100 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of members that are ineligible at the same time. Three cover a lost steward, its
/// successor and a member that is restarting; if more fail, this instance itself is cut off, and
/// the steward of its failure domain decides.
const MAX_INELIGIBLE: usize = 3;

/// Time after the store recovers in which members with expired entries may register again, in
/// milliseconds. Registration takes about two seconds.
const MEMBER_REJOIN_TIME: Millis = 2_500;

/// How often the sessions are checked.
const SESSION_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a steward that was lost or could not be reached is ineligible, in milliseconds:
/// about the duration of a restart, so that most are tried again when they serve.
const INELIGIBLE_TIME: Millis = 2_000;

/// Interval of the pings in a session without runs, in milliseconds.
const IDLE_PING_PERIOD: Millis = 1_000;

/// Time without a message from a member after which its session ends and its runs are dropped, in
/// milliseconds: three idle pings.
const SESSION_TIMEOUT: Millis = 3_000;

/// Number of steward sessions in which a placement request is tried before the local dispatcher
/// decides.
const MAX_SESSION_TRIES: usize = 2;

/// Dispatcher that counts a run.
#[derives::value]
enum RunDispatcher {
    /// The dispatcher of this instance.
    Local,
    /// The steward of the session with this number.
    Session(u64),
    /// The steward was lost, so that no dispatcher counts the run.
    Lost,
}

/// A placement request, or the run that it became, until it is finished.
struct TrackedRun {
    request: PlacementRequest,
    dispatcher: RunDispatcher,
    /// Engines of the run, the host first; empty until the request is granted.
    engines: Vec<InFlightEndpoint>,
    phase: RunPhase,
}

/// Session with a steward of this instance.
struct StewardSession {
    number: u64,
    steward: InstanceId,
    address: SocketAddr,
    link: StewardLink,
    pinged_at: Cell<Millis>,
    is_pinging: Cell<bool>,
    is_lost: Cell<bool>,
    lost: Notify,
}

impl StewardSession {
    /// Ends the wait for decisions of a steward that counts as lost.
    fn mark_lost(&self) {
        self.is_lost.set(true);
        self.lost.notify_waiters();
    }

    /// Returns once the steward counts as lost.
    async fn wait_until_lost(&self) {
        if !self.is_lost.get() {
            self.lost.notified().await;
        }
    }
}

/// Instances that a steward decides for.
#[derives::tag]
enum StewardScope {
    Fleet,
    Domain,
}

/// Sessions with the fleet steward and with the domain steward.
#[derive(Default)]
struct StewardSessions {
    fleet: Option<Rc<StewardSession>>,
    domain: Option<Rc<StewardSession>>,
}

impl StewardSessions {
    fn slot(&mut self, scope: StewardScope) -> &mut Option<Rc<StewardSession>> {
        match scope {
            StewardScope::Fleet => &mut self.fleet,
            StewardScope::Domain => &mut self.domain,
        }
    }
}

/// Session of a member that takes this instance for its steward.
struct MemberSession {
    instance: InstanceId,
    last_heard_at: Millis,
}

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

    /// Adds a member or replaces its entry.
    pub fn put_member(&self, instance: InstanceId, member: FleetMember) {
        self.missing_members.borrow_mut().remove(&instance);
        self.membership.borrow_mut().put(instance, member);
        self.changed.notify_one();
    }

    /// Handles the removal of a member's entry. Within `MEMBER_REJOIN_TIME` of the store's
    /// recovery, the member is kept until that time has passed, since its entry may only have
    /// expired.
    pub fn remove_member(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let store_recovered_at = self.store_recovered_at.get();
        let rejoin_deadline = store_recovered_at.map(|at| at + MEMBER_REJOIN_TIME);
        match rejoin_deadline.filter(|until| now < *until) {
            Some(until) => {
                let mut missing_members = self.missing_members.borrow_mut();
                missing_members.entry(instance.clone()).or_insert(until);
            }
            None => self.membership.borrow_mut().remove(instance),
        }
        self.changed.notify_one();
    }

    /// Removes the members that are not in `listed`, as [`Self::remove_member`] does.
    pub fn retain_members(&self, listed: &[InstanceId]) {
        let gone = self.membership.borrow().unlisted(listed);
        for instance in &gone {
            self.remove_member(instance);
        }
    }

    /// Records that the store answers again after an outage.
    pub fn store_recovered(&self) {
        self.store_recovered_at.set(Some(self.clock.now()));
    }

    /// Stops serving as a steward: refuses new sessions, and members learn at their next ping that
    /// theirs have ended. Called before this instance stops.
    pub fn resign(&self) {
        self.has_resigned.set(true);
    }

    /// Removes the members whose entries have not come back in time.
    fn remove_expired_members(&self) {
        let now = self.clock.now();
        let mut membership = self.membership.borrow_mut();
        self.missing_members.borrow_mut().retain(|instance, until| {
            let is_kept = now < *until;
            if !is_kept {
                membership.remove(instance);
            }
            is_kept
        });
    }

    /// Whether this instance reads the platform's store directly, either for its failure domain or
    /// for itself alone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        readers.is_empty() || readers.iter().any(|(reader, _)| **reader == self.instance)
    }

    /// Whether this instance forwards the store's changes to other members of its failure domain.
    #[must_use]
    pub fn reads_for_others(&self) -> bool {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        let is_reader = readers.iter().any(|(reader, _)| **reader == self.instance);
        is_reader && readers.len() < membership.members_of(&self.domain)
    }

    /// Addresses of the members that read the store for this failure domain.
    #[must_use]
    pub fn readers(&self) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        readers.iter().map(|(_, member)| member.address).collect()
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

    fn is_fleet_steward(&self) -> bool {
        if self.unlisted_steward(StewardScope::Fleet).is_some() {
            return false;
        }
        let membership = self.membership.borrow();
        membership
            .fleet_steward(|instance, _| self.is_eligible(instance))
            .is_none_or(|(steward, _)| *steward == self.instance)
    }

    /// The steward of an open session whose entry is gone. An expired entry only means that the
    /// platform does not hear from the instance; while the instance answers pings, it still
    /// decides, for other instances too.
    fn unlisted_steward(&self, scope: StewardScope) -> Option<(InstanceId, SocketAddr)> {
        let open = self.sessions.borrow_mut().slot(scope).clone()?;
        let is_listed = self.membership.borrow().domain_of(&open.steward).is_some();
        let is_kept = open.link.is_open() && !is_listed;
        is_kept.then(|| (open.steward.clone(), open.address))
    }

    /// Whether a member may be taken for a steward now.
    fn is_eligible(&self, instance: &InstanceId) -> bool {
        let ineligible = self.ineligible.borrow();
        let until = ineligible.get(instance).copied().unwrap_or(0);
        self.clock.now() >= until
    }

    /// Makes a member ineligible as a steward for [`INELIGIBLE_TIME`].
    fn mark_ineligible(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let mut ineligible = self.ineligible.borrow_mut();
        ineligible.retain(|_, until| *until > now);
        // Before this instance has read a configuration, a failure says nothing about a member:
        // members that have not read one either refuse all sessions.
        if ineligible.len() < MAX_INELIGIBLE && self.driver.has_pools() {
            ineligible.insert(instance.clone(), now + INELIGIBLE_TIME);
            self.changed.notify_one();
        }
    }

    /// The steward of a scope; `None` if it is this instance or if no member is eligible.
    fn steward(&self, scope: StewardScope) -> Option<(InstanceId, SocketAddr)> {
        if let Some(unlisted) = self.unlisted_steward(scope) {
            return Some(unlisted);
        }
        let membership = self.membership.borrow();
        let is_eligible = |instance: &InstanceId, _: &FleetMember| self.is_eligible(instance);
        let steward = match scope {
            StewardScope::Fleet => membership.fleet_steward(is_eligible),
            StewardScope::Domain => membership.domain_steward(&self.domain, is_eligible),
        };
        steward
            .filter(|(instance, _)| **instance != self.instance)
            .map(|(instance, member)| (instance.clone(), member.address))
    }

    /// Opens, replaces or pings the session with the steward of a scope.
    async fn maintain_session(self: &Rc<Self>, scope: StewardScope) {
        let now = self.clock.now();
        let wanted = self.steward(scope);
        let open = self.sessions.borrow_mut().slot(scope).clone();
        let Some((steward, address)) = wanted else {
            *self.sessions.borrow_mut().slot(scope) = None;
            if let Some(open) = open {
                self.mark_runs_lost(open.number);
            }
            self.adopt_lost_runs();
            return;
        };
        if let Some(open) = open {
            let is_same = open.steward == steward && open.address == address;
            if is_same && open.link.is_open() {
                self.ping(&open, now);
                return;
            }
            if !open.link.is_open() {
                self.end_steward_session(open.number, "closed");
            }
        }
        self.join(scope, steward, address).await;
    }

    async fn join(self: &Rc<Self>, scope: StewardScope, steward: InstanceId, address: SocketAddr) {
        let in_flight = self.in_flight();
        let joined = StewardLink::join(address, &self.instance, &in_flight, JOIN_TIMEOUT).await;
        let now = self.clock.now();
        let link = match joined {
            Ok(link) => link,
            Err(error) => {
                self.mark_ineligible(&steward);
                spdlog::info!("steward not reached", kv: {
                    steward = steward.as_str(),
                    rank:? = scope,
                    fault:? = error,
                });
                self.adopt_lost_runs();
                return;
            }
        };
        let number = self.next_session.get();
        self.next_session.set(number + 1);
        spdlog::info!("steward session opened", kv: {
            steward = steward.as_str(),
            rank:? = scope,
            held = in_flight.len(),
        });
        let session = StewardSession {
            number,
            steward,
            address,
            link,
            pinged_at: Cell::new(now),
            is_pinging: Cell::new(false),
            is_lost: Cell::new(false),
            lost: Notify::new(),
        };
        *self.sessions.borrow_mut().slot(scope) = Some(Rc::new(session));
        self.reassign_runs(&in_flight, number);
        let limits = self.driver.limit_notices().into_iter();
        let updates: Vec<RunUpdate> = limits.map(RunUpdate::Limit).collect();
        if !updates.is_empty() {
            self.notify(number, &updates);
        }
    }

    /// Tells the local dispatcher how many of the fleet's instances it decides for: this one and
    /// those with a session.
    fn update_limit_share(&self) {
        let decided_for = 1 + self.member_sessions.borrow().len();
        let instances = self.membership.borrow().len();
        self.driver.set_limit_share(decided_for, instances);
    }

    /// The open sessions with stewards.
    fn open_sessions(&self) -> Vec<Rc<StewardSession>> {
        let sessions = self.sessions.borrow();
        let slots = [&sessions.fleet, &sessions.domain];
        let open = slots.into_iter().flatten();
        open.filter(|session| session.link.is_open())
            .cloned()
            .collect()
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

    /// Granted runs, for a dispatcher that starts to decide for this instance.
    fn in_flight(&self) -> Vec<InFlightRun> {
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
    fn reassign_runs(&self, in_flight: &[InFlightRun], number: u64) {
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

    fn ping(self: &Rc<Self>, session: &Rc<StewardSession>, now: Millis) {
        let has_runs = self
            .runs
            .borrow()
            .values()
            .any(|run| run.dispatcher == RunDispatcher::Session(session.number));
        let age = now.saturating_sub(session.pinged_at.get());
        if session.is_pinging.get() || (!has_runs && age < IDLE_PING_PERIOD) {
            return;
        }
        session.is_pinging.set(true);
        session.pinged_at.set(now);
        let ping = tokio::time::timeout(PING_TIMEOUT, session.link.ping());
        let (router, session) = (Rc::clone(self), Rc::clone(session));
        tokio::task::spawn_local(async move {
            let answered = matches!(ping.await, Ok(Ok(())));
            session.is_pinging.set(false);
            if !answered {
                router.end_steward_session(session.number, "silent");
            }
        });
    }

    /// Ends the session with a steward that failed, and marks the steward ineligible.
    fn end_steward_session(&self, number: u64, cause: &str) {
        let lost = {
            let mut sessions = self.sessions.borrow_mut();
            let StewardSessions { fleet, domain, .. } = &mut *sessions;
            [fleet, domain].into_iter().find_map(|slot| {
                let is_same = slot.as_ref().is_some_and(|open| open.number == number);
                if is_same { slot.take() } else { None }
            })
        };
        let Some(lost) = lost else {
            return;
        };
        self.steward_losses.set(self.steward_losses.get() + 1);
        spdlog::warn!("steward lost", kv: { steward = lost.steward.as_str(), cause = cause });
        lost.mark_lost();
        self.mark_runs_lost(number);
        self.mark_ineligible(&lost.steward);
    }

    fn mark_runs_lost(&self, number: u64) {
        for run in self.runs.borrow_mut().values_mut() {
            if run.dispatcher == RunDispatcher::Session(number) {
                run.dispatcher = RunDispatcher::Lost;
            }
        }
    }

    /// Adds runs that no dispatcher counts to the local dispatcher.
    fn adopt_lost_runs(&self) {
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

    fn track_run(&self, number: u64, request: &PlacementRequest, dispatcher: RunDispatcher) {
        let run = TrackedRun {
            request: request.clone(),
            dispatcher,
            engines: Vec::new(),
            phase: RunPhase::Prefill,
        };
        self.runs.borrow_mut().insert(number, run);
    }

    fn record_decision(&self, number: u64, decision: &PlacementDecision) {
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

    fn notify(&self, number: u64, updates: &[RunUpdate]) {
        let sessions = self.sessions.borrow();
        let open = [&sessions.fleet, &sessions.domain];
        let session = open
            .into_iter()
            .flatten()
            .find(|open| open.number == number);
        if let Some(session) = session {
            session.link.report_runs(updates);
        }
    }

    /// Failure domain of the member in a session.
    fn domain_of_session(&self, session: u64) -> Option<DomainId> {
        let member_sessions = self.member_sessions.borrow();
        let instance = &member_sessions.get(&session)?.instance;
        self.membership.borrow().domain_of(instance).cloned()
    }

    fn expire_sessions(&self) {
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

    fn end_member_session(&self, number: u64, cause: &str) {
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
        let session = MemberSession {
            instance,
            last_heard_at: self.clock.now(),
        };
        self.member_sessions.borrow_mut().insert(number, session);
        self.update_limit_share();
        for run in &in_flight {
            self.driver.adopt(number, run);
        }
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
