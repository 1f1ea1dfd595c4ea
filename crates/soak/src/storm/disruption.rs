//! Disruptions and planned work of a storm, and which instances were in touch.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// What a disruption affects.
#[derives::tag]
pub enum DisruptionScope {
    /// One instance.
    Daemon(usize),
    /// The store, and with it all instances.
    Store,
    /// Open connections of the fleet, and with them all instances.
    Connections,
}

/// Whether work on the fleet was planned.
#[derives::tag]
pub enum DisruptionPlan {
    /// A fault that the process survives.
    Fault,
    /// A process that is killed and started again.
    Crash,
    /// An orderly stop and the start that follows it.
    Restart,
}

/// A time in which something was disrupted.
#[derives::tag]
pub struct Disruption {
    /// What was affected.
    pub scope: DisruptionScope,
    /// Whether it was planned.
    pub plan: DisruptionPlan,
    /// Begin.
    pub from: Instant,
    /// End; `None` while it lasts.
    pub until: Option<Instant>,
}

impl Disruption {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }

    fn affects(&self, daemon: usize) -> bool {
        match self.scope {
            DisruptionScope::Daemon(index) => index == daemon,
            DisruptionScope::Store | DisruptionScope::Connections => true,
        }
    }
}

/// All disruptions of a storm.
#[derive(Debug, Default)]
pub struct DisruptionLog {
    disruptions: RefCell<Vec<Disruption>>,
    /// When instances were told to reload their settings.
    reloads: RefCell<Vec<(usize, Instant)>>,
}

impl DisruptionLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the begin of a disruption. Returns its index, for [`DisruptionLog::end`].
    pub fn begin(&self, scope: DisruptionScope, plan: DisruptionPlan, from: Instant) -> usize {
        let mut disruptions = self.disruptions.borrow_mut();
        disruptions.push(Disruption {
            scope,
            plan,
            from,
            until: None,
        });
        disruptions.len() - 1
    }

    /// Records the end of a disruption.
    pub fn end(&self, index: usize, until: Instant) {
        self.disruptions.borrow_mut()[index].until = Some(until);
    }

    /// Number of disruptions and planned stops.
    #[must_use]
    pub fn count(&self) -> usize {
        self.disruptions.borrow().len()
    }

    /// Records that an instance was told to reload its settings.
    pub fn reload(&self, daemon: usize, at: Instant) {
        self.reloads.borrow_mut().push((daemon, at));
    }

    /// Whether nothing disrupted the instance or the store from `stable_time` before `from` to
    /// `until`.
    #[must_use]
    pub fn in_touch(
        &self,
        daemon: usize,
        from: Instant,
        until: Instant,
        stable_time: Duration,
    ) -> bool {
        let from = before(from, stable_time);
        let disrupts = |disruption: &Disruption| {
            disruption.affects(daemon) && disruption.overlaps(from, until)
        };
        !self.disruptions.borrow().iter().any(disrupts)
    }

    /// Whether nothing but planned work went on anywhere from `stable_time` before `from` to
    /// `until`.
    #[must_use]
    pub fn is_planned_only(&self, from: Instant, until: Instant, stable_time: Duration) -> bool {
        let from = before(from, stable_time);
        let disrupts = |disruption: &Disruption| {
            disruption.plan != DisruptionPlan::Restart && disruption.overlaps(from, until)
        };
        !self.disruptions.borrow().iter().any(disrupts)
    }

    /// When the orderly stop began during which, or up to `slack` after whose grace period, the
    /// instance ended a request at `ended`.
    #[must_use]
    pub fn stop_around(&self, daemon: usize, ended: Instant, slack: Duration) -> Option<Instant> {
        let disruptions = self.disruptions.borrow();
        let is_stop = |disruption: &&Disruption| {
            disruption.plan == DisruptionPlan::Restart
                && disruption.affects(daemon)
                && disruption.from <= ended
                && ended <= disruption.from + slack
        };
        let stop = disruptions.iter().rfind(is_stop);
        stop.map(|stop| stop.from)
    }

    /// Whether the instance reloaded its settings up to `slack` before the request was sent, and
    /// before it ended.
    #[must_use]
    pub fn reloaded_around(
        &self,
        daemon: usize,
        sent: Instant,
        ended: Instant,
        slack: Duration,
    ) -> bool {
        let reloads = self.reloads.borrow();
        let is_near = |(index, at): &(usize, Instant)| {
            *index == daemon && sent <= *at + slack && *at <= ended
        };
        reloads.iter().any(is_near)
    }

    /// Number of the instance's starts that were over at `at`; it tells its processes apart.
    #[must_use]
    pub fn incarnation(&self, daemon: usize, at: Instant) -> usize {
        let disruptions = self.disruptions.borrow();
        let is_over = |disruption: &&Disruption| {
            disruption.scope == DisruptionScope::Daemon(daemon)
                && disruption.plan != DisruptionPlan::Fault
                && disruption.until.is_some_and(|until| until <= at)
        };
        disruptions.iter().filter(is_over).count()
    }
}

fn before(at: Instant, time: Duration) -> Instant {
    at.checked_sub(time).unwrap_or(at)
}
