//! Sessions of this instance with its stewards.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use peer::{RunUpdate, StewardLink};
use policy::ids::{InstanceId, Millis};
use tokio::sync::Notify;

use super::tracked_run::RunDispatcher;
use super::{PING_TIMEOUT, PlacementRouter};

/// Limit for opening a session: a few round trips between failure domains.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval of the pings in a session without runs, in milliseconds.
const IDLE_PING_PERIOD: Millis = 1_000;

/// Session with a steward of this instance.
pub(super) struct StewardSession {
    pub(super) number: u64,
    pub(super) steward: InstanceId,
    pub(super) address: SocketAddr,
    pub(super) link: StewardLink,
    pub(super) pinged_at: Cell<Millis>,
    pub(super) is_pinging: Cell<bool>,
    pub(super) is_lost: Cell<bool>,
    pub(super) lost: Notify,
}

impl StewardSession {
    /// Ends the wait for decisions of a steward that counts as lost.
    pub(super) fn mark_lost(&self) {
        self.is_lost.set(true);
        self.lost.notify_waiters();
    }

    /// Returns once the steward counts as lost.
    pub(super) async fn wait_until_lost(&self) {
        if !self.is_lost.get() {
            self.lost.notified().await;
        }
    }
}

/// Instances that a steward decides for.
#[derives::tag]
pub(super) enum StewardScope {
    Fleet,
    Domain,
}

/// Sessions with the fleet steward and with the domain steward.
#[derive(Default)]
pub(super) struct StewardSessions {
    pub(super) fleet: Option<Rc<StewardSession>>,
    pub(super) domain: Option<Rc<StewardSession>>,
}

impl StewardSessions {
    pub(super) fn slot(&mut self, scope: StewardScope) -> &mut Option<Rc<StewardSession>> {
        match scope {
            StewardScope::Fleet => &mut self.fleet,
            StewardScope::Domain => &mut self.domain,
        }
    }
}

impl PlacementRouter {
    /// Opens, replaces or pings the session with the steward of a scope.
    pub(super) async fn maintain_session(self: &Rc<Self>, scope: StewardScope) {
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

    pub(super) async fn join(
        self: &Rc<Self>,
        scope: StewardScope,
        steward: InstanceId,
        address: SocketAddr,
    ) {
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

    /// The open sessions with stewards.
    pub(super) fn open_sessions(&self) -> Vec<Rc<StewardSession>> {
        let sessions = self.sessions.borrow();
        let slots = [&sessions.fleet, &sessions.domain];
        let open = slots.into_iter().flatten();
        open.filter(|session| session.link.is_open())
            .cloned()
            .collect()
    }

    pub(super) fn ping(self: &Rc<Self>, session: &Rc<StewardSession>, now: Millis) {
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
    pub(super) fn end_steward_session(&self, number: u64, cause: &str) {
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

    pub(super) fn notify(&self, number: u64, updates: &[RunUpdate]) {
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
}
