//! Asks the steward of the fleet for places, the steward of the failure domain while none has been
//! found, and this instance's own board while neither can be reached; and serves other instances that
//! take this one for a steward.
//!
//! The stewards are the first in rank that can be reached. A member that was lost, or refused a
//! session, is passed over for a while whatever the membership says: the platform, from which the membership
//! comes, may be away just then.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use peer::{RunUpdate, StewardHandler, StewardLink};
use policy::dispatch::placement::{
    InFlightEndpoint, InFlightRun, PlacementDecision, PlacementGrant, PlacementRequest,
    PlacementScope, RunKey, RunOutcome, RunPhase, RunReport,
};
use policy::fleet::{FleetMember, FleetMembership};
use policy::ids::{DomainId, InstanceId, Millis};
use tokio::sync::Notify;

use crate::clock::BootClock;
use crate::desk::{BoardKeeper, DispatchDesk, OWN_SESSION, VerdictFuture};

/// Longest time for a session to begin: a few round trips between failure domains.
const JOIN_TIME: Duration = Duration::from_millis(300);

/// Time without an answer after which a steward counts as gone. A tenth of a second may pass
/// while a machine has used up its share of the processor.
const PING_TIME: Duration = Duration::from_millis(500);

/// Members passed over at once at most. More than a lost steward, its successor and one that starts
/// anew mean that this instance is cut off: its failure domain's steward decides then.
const MOST_PASSED_OVER: usize = 3;

/// Time after the store's return in which members whose entries lapsed may still come back, in
/// milliseconds: they register again within about two seconds.
const MEMBER_RETURN_TIME: Millis = 2_500;

/// How often sessions are looked after.
const CARE_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a steward that was lost or could not be reached is passed over, in milliseconds:
/// about what a restart takes, so that most are tried again once they serve.
const PASSED_OVER_TIME: Millis = 2_000;

/// How often a session without runs is pinged, in milliseconds.
const IDLE_PING_PERIOD: Millis = 1_000;

/// Time without a sign of an instance after which its session ends, in milliseconds; its runs are
/// forgotten then. Three idle pings.
const SESSION_TIME: Millis = 3_000;

/// Sessions in which an ask is tried before the own board decides.
const MOST_SESSIONS: usize = 2;

/// Who decides on an ask.
#[derives::value]
enum RunHome {
    /// This instance's own board.
    Own,
    /// The steward of this session.
    Session(u64),
    /// The steward has been lost; nobody counts the run.
    Nobody,
}

/// An ask that has not been finished.
struct DeskRun {
    work: PlacementRequest,
    home: RunHome,
    /// Its engines once it has a place, the host first.
    places: Vec<InFlightEndpoint>,
    phase: RunPhase,
}

/// A session with a steward.
struct OpenSession {
    number: u64,
    steward: InstanceId,
    address: SocketAddr,
    link: StewardLink,
    pinged_at: Cell<Millis>,
    is_pinging: Cell<bool>,
}

/// Which steward a session is with.
#[derives::tag]
enum StewardRank {
    Fleet,
    Domain,
}

/// Sessions with the two stewards.
#[derive(Default)]
struct DeskSessions {
    fleet: Option<Rc<OpenSession>>,
    domain: Option<Rc<OpenSession>>,
}

impl DeskSessions {
    fn slot(&mut self, rank: StewardRank) -> &mut Option<Rc<OpenSession>> {
        match rank {
            StewardRank::Fleet => &mut self.fleet,
            StewardRank::Domain => &mut self.domain,
        }
    }
}

/// An instance that this one is steward for.
struct HostedSession {
    instance: InstanceId,
    heard_at: Millis,
}

/// The desk of one instance.
///
/// Invariant: every granted run is counted by at most one board that this instance knows of, and
/// a board that begins to decide for the instance is told of all its runs first.
pub struct StewardDesk {
    instance: InstanceId,
    domain: DomainId,
    keeper: Rc<BoardKeeper>,
    clock: BootClock,
    membership: RefCell<FleetMembership>,
    /// Members that are passed over as stewards, and until when.
    passed_over: RefCell<HashMap<InstanceId, Millis>>,
    /// Members whose entries are missing since the store's return, and until when they stay.
    departing: RefCell<HashMap<InstanceId, Millis>>,
    /// When the store last came back.
    regained_at: Cell<Option<Millis>>,
    is_retired: Cell<bool>,
    sessions: RefCell<DeskSessions>,
    next_session: Cell<u64>,
    runs: RefCell<HashMap<u64, DeskRun>>,
    hosted: RefCell<HashMap<u64, HostedSession>>,
    changed: Notify,
    losses: Cell<u64>,
}

impl StewardDesk {
    /// A desk of `instance` that decides on `keeper`'s board when it must.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        domain: DomainId,
        keeper: Rc<BoardKeeper>,
        clock: BootClock,
    ) -> Self {
        Self {
            instance,
            domain,
            keeper,
            clock,
            membership: RefCell::new(FleetMembership::new()),
            passed_over: RefCell::new(HashMap::new()),
            departing: RefCell::new(HashMap::new()),
            regained_at: Cell::new(None),
            is_retired: Cell::new(false),
            sessions: RefCell::new(DeskSessions::default()),
            next_session: Cell::new(OWN_SESSION + 1),
            runs: RefCell::new(HashMap::new()),
            hosted: RefCell::new(HashMap::new()),
            changed: Notify::new(),
            losses: Cell::new(0),
        }
    }

    /// A member's entry is there or has changed.
    pub fn put_member(&self, instance: InstanceId, member: FleetMember) {
        self.departing.borrow_mut().remove(&instance);
        self.membership.borrow_mut().put(instance, member);
        self.changed.notify_one();
    }

    /// A member's entry is gone. Shortly after the store's return it is kept for a while.
    pub fn remove_member(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let regained_at = self.regained_at.get();
        let returned = regained_at.map(|at| at + MEMBER_RETURN_TIME);
        match returned.filter(|until| now < *until) {
            Some(until) => {
                let mut departing = self.departing.borrow_mut();
                departing.entry(instance.clone()).or_insert(until);
            }
            None => self.membership.borrow_mut().remove(instance),
        }
        self.changed.notify_one();
    }

    /// Only the members in `listed` have entries.
    pub fn list_members(&self, listed: &[InstanceId]) {
        let gone = self.membership.borrow().unlisted(listed);
        for instance in &gone {
            self.remove_member(instance);
        }
    }

    /// The store answers again.
    pub fn store_regained(&self) {
        self.regained_at.set(Some(self.clock.now()));
    }

    /// This instance is about to stop: it is nobody's steward any more.
    pub fn retire(&self) {
        self.is_retired.set(true);
    }

    /// Removes members whose entries have not come back in time.
    fn end_departures(&self) {
        let now = self.clock.now();
        let mut membership = self.membership.borrow_mut();
        self.departing.borrow_mut().retain(|instance, until| {
            let stays = now < *until;
            if !stays {
                membership.remove(instance);
            }
            stays
        });
    }

    /// Whether this instance reads the platform's store for its failure domain, or for itself alone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        readers.is_empty() || readers.iter().any(|(reader, _)| **reader == self.instance)
    }

    /// Whether this instance reads the platform's store for others too.
    #[must_use]
    pub fn reads_for_others(&self) -> bool {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        let is_reader = readers.iter().any(|(reader, _)| **reader == self.instance);
        is_reader && readers.len() < membership.members_of(&self.domain)
    }

    /// Where the readers of this failure domain are reached.
    #[must_use]
    pub fn readers(&self) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        readers.iter().map(|(_, member)| member.address).collect()
    }

    /// Looks after the sessions for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.end_silent_sessions();
            self.end_departures();
            self.care(StewardRank::Fleet).await;
            let is_settled = self.decides_for_fleet() || self.sessions.borrow().fleet.is_some();
            if is_settled {
                self.sessions.borrow_mut().domain = None;
            } else {
                self.care(StewardRank::Domain).await;
            }
            let waited = tokio::time::timeout(CARE_PERIOD, self.changed.notified());
            // Either way it is time to look again.
            let _ = waited.await;
        }
    }

    fn decides_for_fleet(&self) -> bool {
        if self.unlisted_steward(StewardRank::Fleet).is_some() {
            return false;
        }
        let membership = self.membership.borrow();
        membership
            .fleet_steward(|instance, _| self.is_able(instance))
            .is_none_or(|(steward, _)| *steward == self.instance)
    }

    /// The steward of an open session whose entry is gone. A lapsed entry only says that the platform
    /// does not hear of an instance; its answers say that it decides, for others too.
    fn unlisted_steward(&self, rank: StewardRank) -> Option<(InstanceId, SocketAddr)> {
        let open = self.sessions.borrow_mut().slot(rank).clone()?;
        let is_listed = self.membership.borrow().domain_of(&open.steward).is_some();
        let stays = open.link.is_open() && !is_listed;
        stays.then(|| (open.steward.clone(), open.address))
    }

    /// Whether a member may be taken for a steward.
    fn is_able(&self, instance: &InstanceId) -> bool {
        let passed_over = self.passed_over.borrow();
        let until = passed_over.get(instance).copied().unwrap_or(0);
        self.clock.now() >= until
    }

    /// Passes a member over as a steward for a while.
    fn pass_over(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, until| *until > now);
        // An instance that has read no configuration yet learns nothing from others that have not.
        if passed_over.len() < MOST_PASSED_OVER && self.keeper.has_pools() {
            passed_over.insert(instance.clone(), now + PASSED_OVER_TIME);
            self.changed.notify_one();
        }
    }

    /// The steward of a rank, unless it is this instance.
    fn steward(&self, rank: StewardRank) -> Option<(InstanceId, SocketAddr)> {
        if let Some(unlisted) = self.unlisted_steward(rank) {
            return Some(unlisted);
        }
        let membership = self.membership.borrow();
        let is_able = |instance: &InstanceId, _: &FleetMember| self.is_able(instance);
        let steward = match rank {
            StewardRank::Fleet => membership.fleet_steward(is_able),
            StewardRank::Domain => membership.domain_steward(&self.domain, is_able),
        };
        steward
            .filter(|(instance, _)| **instance != self.instance)
            .map(|(instance, member)| (instance.clone(), member.address))
    }

    /// Opens, replaces or pings the session with the steward of a rank.
    async fn care(self: &Rc<Self>, rank: StewardRank) {
        let now = self.clock.now();
        let wanted = self.steward(rank);
        let open = self.sessions.borrow_mut().slot(rank).clone();
        let Some((steward, address)) = wanted else {
            *self.sessions.borrow_mut().slot(rank) = None;
            if let Some(open) = open {
                self.disown(open.number);
            }
            self.adopt_orphans();
            return;
        };
        if let Some(open) = open {
            let is_it = open.steward == steward && open.address == address;
            if is_it && open.link.is_open() {
                self.ping(&open, now);
                return;
            }
            if !open.link.is_open() {
                self.lose(open.number, "closed");
            }
        }
        self.join(rank, steward, address).await;
    }

    async fn join(self: &Rc<Self>, rank: StewardRank, steward: InstanceId, address: SocketAddr) {
        let held = self.held();
        let joined = StewardLink::join(address, &self.instance, &held, JOIN_TIME).await;
        let now = self.clock.now();
        let link = match joined {
            Ok(link) => link,
            Err(fault) => {
                self.pass_over(&steward);
                spdlog::info!("steward not reached", kv: {
                    steward = steward.as_str(),
                    rank:? = rank,
                    fault:? = fault,
                });
                self.adopt_orphans();
                return;
            }
        };
        let number = self.next_session.get();
        self.next_session.set(number + 1);
        spdlog::info!("steward", kv: {
            steward = steward.as_str(),
            rank:? = rank,
            held = held.len(),
        });
        let session = OpenSession {
            number,
            steward,
            address,
            link,
            pinged_at: Cell::new(now),
            is_pinging: Cell::new(false),
        };
        *self.sessions.borrow_mut().slot(rank) = Some(Rc::new(session));
        self.move_runs(&held, number);
    }

    /// Runs that have a place, for a board that begins to decide for this instance.
    fn held(&self) -> Vec<InFlightRun> {
        let runs = self.runs.borrow();
        let placed = runs.iter().filter(|(_, run)| !run.places.is_empty());
        placed
            .map(|(ask, run)| InFlightRun {
                number: *ask,
                request: run.work.clone(),
                endpoints: run.places.clone(),
                phase: run.phase,
            })
            .collect()
    }

    /// Runs that a steward has been told of are its own from now on.
    fn move_runs(&self, held: &[InFlightRun], number: u64) {
        let mut moved_from_own = Vec::new();
        let mut ended = Vec::new();
        {
            let mut runs = self.runs.borrow_mut();
            for run in held {
                match runs.get_mut(&run.number) {
                    Some(known) => {
                        if known.home == RunHome::Own {
                            moved_from_own.push(run.number);
                        }
                        known.home = RunHome::Session(number);
                    }
                    None => ended.push(RunUpdate::Finished(
                        run.number,
                        RunReport::new(RunOutcome::CallerLeft),
                    )),
                }
            }
        }
        for ask in moved_from_own {
            let key = RunKey::new(OWN_SESSION, ask);
            self.keeper
                .finish(key, &RunReport::new(RunOutcome::CallerLeft));
        }
        if !ended.is_empty() {
            self.note(number, &ended);
        }
    }

    fn ping(self: &Rc<Self>, session: &Rc<OpenSession>, now: Millis) {
        let has_runs = self
            .runs
            .borrow()
            .values()
            .any(|run| run.home == RunHome::Session(session.number));
        let age = now.saturating_sub(session.pinged_at.get());
        if session.is_pinging.get() || (!has_runs && age < IDLE_PING_PERIOD) {
            return;
        }
        session.is_pinging.set(true);
        session.pinged_at.set(now);
        let ping = tokio::time::timeout(PING_TIME, session.link.ping());
        let (desk, session) = (Rc::clone(self), Rc::clone(session));
        tokio::task::spawn_local(async move {
            let answered = matches!(ping.await, Ok(Ok(())));
            session.is_pinging.set(false);
            if !answered {
                desk.lose(session.number, "silent");
            }
        });
    }

    /// A session has broken off.
    fn lose(&self, number: u64, cause: &str) {
        let lost = {
            let mut sessions = self.sessions.borrow_mut();
            let DeskSessions { fleet, domain, .. } = &mut *sessions;
            [fleet, domain].into_iter().find_map(|slot| {
                let is_it = slot.as_ref().is_some_and(|open| open.number == number);
                if is_it { slot.take() } else { None }
            })
        };
        let Some(lost) = lost else {
            return;
        };
        self.losses.set(self.losses.get() + 1);
        spdlog::warn!("steward lost", kv: { steward = lost.steward.as_str(), cause = cause });
        self.disown(number);
        self.pass_over(&lost.steward);
    }

    fn disown(&self, number: u64) {
        for run in self.runs.borrow_mut().values_mut() {
            if run.home == RunHome::Session(number) {
                run.home = RunHome::Nobody;
            }
        }
    }

    /// Counts runs that nobody counts on the own board.
    fn adopt_orphans(&self) {
        let mut orphans = Vec::new();
        for (ask, run) in self.runs.borrow_mut().iter_mut() {
            if run.home == RunHome::Nobody && !run.places.is_empty() {
                run.home = RunHome::Own;
                orphans.push(InFlightRun {
                    number: *ask,
                    request: run.work.clone(),
                    endpoints: run.places.clone(),
                    phase: run.phase,
                });
            }
        }
        for orphan in &orphans {
            self.keeper.adopt(OWN_SESSION, orphan);
        }
    }

    /// The endpoints that a board of this instance may use. One that hears of no other failure domain
    /// is cut off with its own.
    fn reach(&self) -> PlacementScope {
        let membership = self.membership.borrow();
        if membership.domains() <= 1 {
            return PlacementScope::Fleet;
        }
        let is_far = |session: &HostedSession| {
            let domain = membership.domain_of(&session.instance);
            domain.is_some_and(|domain| *domain != self.domain)
        };
        if self.hosted.borrow().values().any(is_far) {
            return PlacementScope::Fleet;
        }
        PlacementScope::Domain(self.domain.clone())
    }

    /// Who decides now, and on which endpoints.
    fn target(&self) -> (Option<Rc<OpenSession>>, PlacementScope) {
        if self.decides_for_fleet() {
            return (None, self.reach());
        }
        let sessions = self.sessions.borrow();
        let is_open = |session: &&Rc<OpenSession>| session.link.is_open();
        if let Some(fleet) = sessions.fleet.as_ref().filter(is_open) {
            return (Some(Rc::clone(fleet)), PlacementScope::Fleet);
        }
        let near = PlacementScope::Domain(self.domain.clone());
        (sessions.domain.as_ref().filter(is_open).cloned(), near)
    }

    async fn decide(self: Rc<Self>, number: u64, mut work: PlacementRequest) -> PlacementDecision {
        let began = self.clock.now();
        let (waited, time_left) = (work.waited, work.time_left);
        for _ in 0..MOST_SESSIONS {
            let (session, reach) = self.target();
            let Some(session) = session else {
                break;
            };
            work.scope = reach;
            let passed = self.clock.now().saturating_sub(began);
            work.waited = waited + passed;
            work.time_left = time_left.saturating_sub(passed);
            self.remember(number, &work, RunHome::Session(session.number));
            match session.link.ask(number, &work).await {
                Ok(verdict) => {
                    self.settle(number, &verdict);
                    return verdict;
                }
                Err(_) => self.lose(session.number, "unanswered"),
            }
        }
        work.scope = self.target().1;
        work.caller_domain = Some(self.domain.clone());
        let passed = self.clock.now().saturating_sub(began);
        work.waited = waited + passed;
        work.time_left = time_left.saturating_sub(passed);
        self.remember(number, &work, RunHome::Own);
        let key = RunKey::new(OWN_SESSION, number);
        let verdict = self.keeper.ask(key, work).await;
        self.settle(number, &verdict);
        verdict
    }

    fn remember(&self, number: u64, work: &PlacementRequest, home: RunHome) {
        let run = DeskRun {
            work: work.clone(),
            home,
            places: Vec::new(),
            phase: RunPhase::Prefill,
        };
        self.runs.borrow_mut().insert(number, run);
    }

    fn settle(&self, number: u64, verdict: &PlacementDecision) {
        let mut runs = self.runs.borrow_mut();
        match verdict {
            PlacementDecision::Refused(_) => {
                runs.remove(&number);
            }
            PlacementDecision::Granted(grant) => {
                if let Some(run) = runs.get_mut(&number) {
                    run.places = held_places(grant);
                }
            }
        }
    }

    fn note(&self, number: u64, notes: &[RunUpdate]) {
        let sessions = self.sessions.borrow();
        let open = [&sessions.fleet, &sessions.domain];
        let session = open
            .into_iter()
            .flatten()
            .find(|open| open.number == number);
        if let Some(session) = session {
            session.link.report_runs(notes);
        }
    }

    /// The failure domain of the instance at the other end of a session.
    fn home_of(&self, session: u64) -> Option<DomainId> {
        let hosted = self.hosted.borrow();
        let instance = &hosted.get(&session)?.instance;
        self.membership.borrow().domain_of(instance).cloned()
    }

    fn end_silent_sessions(&self) {
        let now = self.clock.now();
        let is_silent =
            |session: &HostedSession| now.saturating_sub(session.heard_at) > SESSION_TIME;
        let silent: Vec<u64> = {
            let hosted = self.hosted.borrow();
            let silent = hosted.iter().filter(|(_, session)| is_silent(session));
            silent.map(|(number, _)| *number).collect()
        };
        for number in silent {
            self.end_hosted(number, "silent");
        }
    }

    fn end_hosted(&self, number: u64, cause: &str) {
        let ended = self.hosted.borrow_mut().remove(&number);
        if let Some(session) = ended {
            spdlog::info!("session ended", kv: {
                instance = session.instance.as_str(),
                cause = cause,
            });
            self.keeper.drop_owner(number);
        }
    }
}

fn held_places(grant: &PlacementGrant) -> Vec<InFlightEndpoint> {
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

impl DispatchDesk for Rc<StewardDesk> {
    fn ask(&self, number: u64, work: PlacementRequest) -> VerdictFuture {
        Rc::clone(self).decide(number, work).boxed_local()
    }

    fn first_event(&self, number: u64) {
        let home = {
            let mut runs = self.runs.borrow_mut();
            let Some(run) = runs.get_mut(&number) else {
                return;
            };
            run.phase = RunPhase::Decode;
            run.home.clone()
        };
        match home {
            RunHome::Own => self.keeper.first_event(RunKey::new(OWN_SESSION, number)),
            RunHome::Session(session) => self.note(session, &[RunUpdate::FirstEvent(number)]),
            RunHome::Nobody => {}
        }
    }

    fn finish(&self, number: u64, report: RunReport) {
        let ended = self.runs.borrow_mut().remove(&number);
        match ended.map(|run| run.home) {
            Some(RunHome::Own) => self
                .keeper
                .finish(RunKey::new(OWN_SESSION, number), &report),
            Some(RunHome::Session(session)) => {
                self.note(session, &[RunUpdate::Finished(number, report)]);
            }
            Some(RunHome::Nobody) | None => {}
        }
    }

    fn losses(&self) -> u64 {
        self.losses.get()
    }
}

impl StewardHandler for StewardDesk {
    fn join(&self, instance: InstanceId, held: Vec<InFlightRun>) -> Option<u64> {
        // A process that was started anew while the store is away still stands in the rosters.
        if !self.keeper.has_pools() || self.is_retired.get() {
            spdlog::info!("session refused", kv: { instance = instance.as_str() });
            return None;
        }
        let number = self.next_session.get();
        self.next_session.set(number + 1);
        spdlog::info!("session", kv: {
            instance = instance.as_str(),
            number = number,
            held = held.len(),
        });
        let session = HostedSession {
            instance,
            heard_at: self.clock.now(),
        };
        self.hosted.borrow_mut().insert(number, session);
        for run in &held {
            self.keeper.adopt(number, run);
        }
        Some(number)
    }

    fn ask(
        &self,
        session: u64,
        number: u64,
        mut work: PlacementRequest,
    ) -> LocalBoxFuture<'static, PlacementDecision> {
        if work.scope == PlacementScope::Fleet {
            work.scope = self.reach();
        }
        work.caller_domain = self.home_of(session);
        self.keeper.ask(RunKey::new(session, number), work)
    }

    fn report_runs(&self, session: u64, notes: Vec<RunUpdate>) {
        for note in notes {
            match note {
                RunUpdate::FirstEvent(ask) => self.keeper.first_event(RunKey::new(session, ask)),
                RunUpdate::Finished(ask, report) => {
                    self.keeper.finish(RunKey::new(session, ask), &report);
                }
            }
        }
    }

    fn is_current(&self, session: u64) -> bool {
        if self.is_retired.get() {
            return false;
        }
        let now = self.clock.now();
        let mut hosted = self.hosted.borrow_mut();
        let Some(known) = hosted.get_mut(&session) else {
            return false;
        };
        known.heard_at = now;
        true
    }

    fn leave(&self, session: u64) {
        self.end_hosted(session, "closed");
    }
}
