//! The rules about configurations, lost requests and denied requests, checked against what callers
//! and endpoints have seen.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::disruption::DisruptionLog;
use super::site::StormSite;
use super::version::{LASTING_KEY, MAIN_ROUTE, RequestHandling, SentVersion, versions_in_force};
use crate::check::Violation;

/// Time after a route's timeout within which a request must have a final answer.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Time after the grace period, and after the time in which a version takes effect, that still
/// belongs to the planned work.
const WORK_SLACK: Duration = Duration::from_secs(1);

/// Time after SIGTERM until which a request that outlives the grace period may be cut off.
const LATE_STOP_TIME: Duration = Duration::from_secs(3);

/// Proper requests that may be denied: a fixed number, and one of so many.
const DENIALS: (usize, usize) = (5, 500);

/// Requests that every version allows and that instances out of touch may deny.
const DENIALS_OUT_OF_TOUCH: usize = 10;

/// Requests on added routes from which their share is judged.
const MIN_ADDED_REQUESTS: usize = 20;

/// Requests beyond their timeout that may lack an answer.
const MAX_OVERDUE: usize = 7;

/// Requests passed on from a kept connection that an instance in touch may leave unanswered.
const MAX_UNANSWERED: usize = 3;

/// Share of its time after which a request that is cut beside a new version is not counted.
const NEARLY_OVER_SHARE: f64 = 0.7;

/// What a caller saw.
#[derives::value]
pub enum StormOutcome {
    /// A whole answer with this status.
    Answered(u16),
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The connection ended without a whole answer.
    Lost,
    /// No answer came while the caller waited.
    Silent,
}

/// A run of a request at an endpoint.
#[derives::value]
pub struct StormRun {
    /// Service of the endpoint.
    pub service: &'static str,
    /// When the endpoint began to run the request.
    pub started_at: Instant,
    /// Time that the endpoint needs for it.
    pub work_time: Duration,
}

/// A request as its caller saw it, with its runs.
#[derives::value]
pub struct StormCall {
    /// Request id.
    pub id: String,
    /// Index of the instance that it was sent to.
    pub daemon: usize,
    /// Name of the route that it was sent to.
    pub route: String,
    /// API key that it carried.
    pub key: String,
    /// Time that the caller gave it.
    pub deadline: Duration,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer was whole, its connection ended or its caller stopped waiting.
    pub ended: Instant,
    /// What its caller saw.
    pub outcome: StormOutcome,
    /// Its runs at endpoints.
    pub runs: Vec<StormRun>,
}

impl StormCall {
    /// Whether `version` explains what became of the request.
    fn fits(&self, version: &SentVersion) -> bool {
        let handling = version.handling(&self.route, &self.key);
        if let Some(run) = self.runs.first() {
            return matches!(handling, RequestHandling::RunBy(services) if services.contains(&run.service));
        }
        match self.outcome {
            StormOutcome::Answered(401 | 403) => handling == RequestHandling::UnknownKey,
            StormOutcome::Answered(404) => handling == RequestHandling::NoRoute,
            _ => true,
        }
    }

    /// Whether the request shows which version it was handled under.
    fn shows_version(&self) -> bool {
        !self.runs.is_empty() || matches!(self.outcome, StormOutcome::Answered(401 | 403 | 404))
    }

    fn is_allowed(&self, version: &SentVersion) -> bool {
        let handling = version.handling(&self.route, &self.key);
        matches!(handling, RequestHandling::RunBy(_))
    }

    fn is_denied(&self) -> bool {
        matches!(self.outcome, StormOutcome::Answered(status)
            if (300..500).contains(&status) && ![408, 421, 429].contains(&status))
    }

    fn is_unanswered(&self) -> bool {
        matches!(self.outcome, StormOutcome::Lost | StormOutcome::Silent)
    }
}

/// What the rules are checked against.
#[derive(Debug)]
pub struct StormRecord<'a> {
    /// The deployment.
    pub site: &'a StormSite,
    /// All versions, in the order in which they were sent.
    pub versions: &'a [SentVersion],
    /// Disruptions and planned work.
    pub disruptions: &'a DisruptionLog,
    /// All requests.
    pub calls: &'a [StormCall],
}

impl StormRecord<'_> {
    /// All violations of the rules.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_versions(&mut violations);
        self.check_regressions(&mut violations);
        self.check_added_routes(&mut violations);
        self.check_timeouts(&mut violations);
        self.check_denials(&mut violations);
        self.check_losses(&mut violations);
        self.check_kept_connections(&mut violations);
        violations
    }

    /// Number of requests that the rule about late versions is checked for.
    #[must_use]
    pub fn judged(&self) -> usize {
        let is_judged = |call: &&StormCall| call.shows_version() && self.in_touch(call);
        self.calls.iter().filter(is_judged).count()
    }

    fn in_touch(&self, call: &StormCall) -> bool {
        let stable_time = self.site.stable_time;
        let log = self.disruptions;
        log.in_touch(call.daemon, call.sent, call.ended, stable_time)
    }

    fn in_force(&self, call: &StormCall) -> &[SentVersion] {
        let apply_time = self.site.apply_time;
        versions_in_force(self.versions, call.sent, call.ended, apply_time)
    }

    fn describe(call: &StormCall, problem: &str) -> String {
        format!(
            "request {} to daemon {}, route {}, key {}: {problem}; {:?}, {} runs",
            call.id,
            call.daemon,
            call.route,
            call.key,
            call.outcome,
            call.runs.len()
        )
    }

    /// "A request sent later than `configMs` after the acknowledgement of a version is handled as
    /// only an older version allows, by machines in touch."
    fn check_versions(&self, violations: &mut Vec<Violation>) {
        let shown = self.calls.iter().filter(|call| call.shows_version());
        for call in shown.filter(|call| self.in_touch(call)) {
            let in_force = self.in_force(call);
            if in_force.iter().any(|version| call.fits(version)) {
                continue;
            }
            let oldest = in_force.first().map_or(0, |version| version.version);
            let problem = format!("handled as only a version before {oldest} allows");
            violations.push(Violation::new(
                "a version takes effect in time",
                Self::describe(call, &problem),
            ));
        }
    }

    /// "In one incarnation of its processes, a request sent more than `rollbackSlackMs` after a
    /// worker saw the effect of a version is handled as only an older version allows."
    fn check_regressions(&self, violations: &mut Vec<Violation>) {
        let mut effects: HashMap<(usize, usize), Vec<(Instant, usize)>> = HashMap::new();
        let fitting = |call: &StormCall| {
            let begun = self
                .versions
                .partition_point(|version| version.sent_at <= call.ended);
            let indices = (0..begun).filter(|index| call.fits(&self.versions[*index]));
            indices.collect::<Vec<usize>>()
        };
        let incarnation = |call: &StormCall| {
            let begun = self.disruptions.incarnation(call.daemon, call.sent);
            let ended = self.disruptions.incarnation(call.daemon, call.ended);
            (begun == ended).then_some((call.daemon, begun))
        };
        for call in self.calls {
            let (Some(run), Some(process)) = (call.runs.first(), incarnation(call)) else {
                continue;
            };
            if let Some(oldest) = fitting(call).first() {
                let seen = effects.entry(process).or_default();
                seen.push((run.started_at, *oldest));
            }
        }
        for call in self.calls.iter().filter(|call| call.shows_version()) {
            let Some(seen) = incarnation(call).and_then(|process| effects.get(&process)) else {
                continue;
            };
            let is_before =
                |(at, _): &&(Instant, usize)| call.sent > *at + self.site.regression_slack;
            let known = seen.iter().filter(is_before).map(|(_, index)| *index).max();
            let newest = fitting(call).last().copied();
            if let (Some(known), Some(newest)) = (known, newest)
                && newest < known
            {
                let problem = format!(
                    "handled under version {} at the newest, after {} had taken effect",
                    self.versions[newest].version, self.versions[known].version
                );
                violations.push(Violation::new(
                    "an instance never returns to an older version",
                    Self::describe(call, &problem),
                ));
            }
        }
    }

    /// "In steady state, machines in touch get 20 or more requests on routes that were added later,
    /// and serve them less than a quarter as often as those on the first routes."
    fn check_added_routes(&self, violations: &mut Vec<Violation>) {
        let share = |is_group: &dyn Fn(&StormCall) -> bool| {
            let steady = |call: &&StormCall| {
                let in_force = self.in_force(call);
                is_group(call)
                    && call.key == LASTING_KEY
                    && self.in_touch(call)
                    && in_force.iter().all(|version| call.is_allowed(version))
            };
            let calls: Vec<&StormCall> = self.calls.iter().filter(steady).collect();
            let is_served = |call: &&&StormCall| call.outcome == StormOutcome::Answered(200);
            (calls.len(), calls.iter().filter(is_served).count())
        };
        let (added, added_served) = share(&|call| call.route.starts_with("added-"));
        let (first, first_served) = share(&|call| call.route == MAIN_ROUTE);
        if added >= MIN_ADDED_REQUESTS && 4 * added_served * first < first_served * added {
            let observed = format!(
                "{added_served} of {added} served; on the first route {first_served} of {first}"
            );
            violations.push(Violation::new("added routes are served", observed));
        }
    }

    /// "Of the requests that are still unanswered at their route's `timeoutMs`, more than half have
    /// no answer half a second later, at machines in touch", and "some requests last longer than
    /// their route's `timeoutMs`. Eight or more of them, and over a quarter, have no final answer
    /// from machines in touch 0.5 s after it."
    fn check_timeouts(&self, violations: &mut Vec<Violation>) {
        let (mut reached, mut overdue) = (0, 0);
        for call in self.calls.iter().filter(|call| self.in_touch(call)) {
            let timeouts = self.in_force(call).iter();
            let Some(timeout) = timeouts
                .filter_map(|version| version.timeout(&call.route))
                .max()
            else {
                continue;
            };
            let took = call.ended.duration_since(call.sent);
            reached += usize::from(took >= timeout);
            overdue += usize::from(took > timeout + TIMEOUT_SLACK);
        }
        if (reached > 1 && 2 * overdue > reached)
            || (overdue > MAX_OVERDUE && 4 * overdue > reached)
        {
            let observed = format!("{overdue} of {reached} requests that reached their timeout");
            violations.push(Violation::new(
                "requests are answered half a second after their timeout",
                observed,
            ));
        }
    }

    /// "More than 5 + one in 500 of all requests are ended with a 3xx or 4xx of your own though they
    /// are proper and every configuration that may be in force allows them, by machines in touch.
    /// A 401, 403 or 404 for what all configurations of the day allow counts from any machine, and
    /// more than ten from machines out of touch break the rule."
    fn check_denials(&self, violations: &mut Vec<Violation>) {
        let is_denied = |call: &&StormCall| call.is_denied() && call.runs.is_empty();
        let (mut denied, mut out_of_touch) = (Vec::new(), Vec::new());
        for call in self.calls.iter().filter(is_denied) {
            let in_touch = self.in_touch(call);
            let allowed =
                |versions: &[SentVersion]| versions.iter().all(|version| call.is_allowed(version));
            if allowed(self.versions) || (in_touch && allowed(self.in_force(call))) {
                denied.push(call);
            }
            if !in_touch && allowed(self.versions) {
                out_of_touch.push(call);
            }
        }
        let bound = DENIALS.0 + self.calls.len() / DENIALS.1;
        for (calls, bound) in [(&denied, bound), (&out_of_touch, DENIALS_OUT_OF_TOUCH)] {
            if calls.len() > bound {
                let example = Self::describe(calls[0], "denied");
                violations.push(Violation::new(
                    "proper requests are not denied",
                    format!(
                        "{} requests of {bound} allowed, such as {example}",
                        calls.len()
                    ),
                ));
            }
        }
    }

    /// "Around planned work, with no unplanned disruption from `stableMs` before the request to its
    /// end, a process has read a whole request and the connection ends without a complete answer,
    /// either once it has been passed on to a worker, or later than `lossSlackMs` after its last byte
    /// was sent."
    fn check_losses(&self, violations: &mut Vec<Violation>) {
        let apply_time = self.site.apply_time;
        let near_version = |call: &StormCall| {
            let is_near = |version: &&SentVersion| {
                version.sent_at <= call.ended
                    && call.ended <= version.acknowledged_at + apply_time + WORK_SLACK
            };
            self.versions.iter().find(is_near).is_some()
        };
        let planned = |call: &&StormCall| {
            let log = self.disruptions;
            log.is_planned_only(call.sent, call.ended, self.site.stable_time)
        };
        let mut beside_versions = ((0, 0), (0, 0));
        let mut cut_beside_versions = Vec::new();
        for call in self.calls.iter().filter(planned) {
            let is_lost = self.is_lost(call);
            let stopped = self.stop_excuses(call);
            let reloaded =
                self.disruptions
                    .reloaded_around(call.daemon, call.sent, call.ended, apply_time);
            match stopped {
                Some(LossExcuse::Allowed) => continue,
                Some(LossExcuse::Owed) if is_lost => {
                    violations.push(Violation::new(
                        "requests are answered around a planned stop",
                        Self::describe(call, "its connection ended without an answer"),
                    ));
                    continue;
                }
                _ => {}
            }
            if is_lost && reloaded {
                violations.push(Violation::new(
                    "requests are answered around a reload",
                    Self::describe(call, "its connection ended without an answer"),
                ));
                continue;
            }
            let (beside, elsewhere) = &mut beside_versions;
            let count = if near_version(call) {
                beside
            } else {
                elsewhere
            };
            count.1 += 1;
            if is_lost {
                count.0 += 1;
                cut_beside_versions.push(call);
            }
        }
        let ((cut, all), (cut_elsewhere, elsewhere)) = beside_versions;
        cut_beside_versions.retain(|call| near_version(call) && !Self::is_nearly_over(call));
        if cut * elsewhere.max(1) > 3 * cut_elsewhere * all {
            for call in cut_beside_versions {
                violations.push(Violation::new(
                    "requests are answered around a change of the configuration",
                    Self::describe(call, "its connection ended without an answer"),
                ));
            }
        }
    }

    /// Whether a request that an instance had read ended without an answer, before its deadline and
    /// its route's timeout.
    fn is_lost(&self, call: &StormCall) -> bool {
        let took = call.ended.duration_since(call.sent);
        let timeouts = self.in_force(call).iter();
        let timeout = timeouts
            .filter_map(|version| version.timeout(&call.route))
            .min();
        let limit = timeout.map_or(call.deadline, |timeout| timeout.min(call.deadline));
        let was_read = !call.runs.is_empty() || took > self.site.loss_slack;
        call.outcome == StormOutcome::Lost && was_read && took < limit
    }

    fn is_nearly_over(call: &StormCall) -> bool {
        let took = call.ended.duration_since(call.sent);
        took >= call.deadline.mul_f64(NEARLY_OVER_SHARE)
    }

    /// Whether a stop of the request's instance was under way, and whether the request may be cut:
    /// "the worker was still at work in the last sixth of `graceS` on a request that was sent no
    /// later than 3 s after the SIGTERM".
    fn stop_excuses(&self, call: &StormCall) -> Option<LossExcuse> {
        let grace_period = self.site.grace_period;
        let slack = grace_period + WORK_SLACK;
        let stop = self
            .disruptions
            .stop_around(call.daemon, call.ended, slack)?;
        let last_sixth = stop + grace_period.mul_f64(5.0 / 6.0);
        let is_at_work = |run: &StormRun| run.started_at + run.work_time > last_sixth;
        let is_excused = call.sent <= stop + LATE_STOP_TIME
            && call.ended >= last_sixth
            && call.runs.iter().any(is_at_work);
        Some(if is_excused {
            LossExcuse::Allowed
        } else {
            LossExcuse::Owed
        })
    }

    /// "At any time, a machine in touch passes a request from a kept connection on to a sound worker
    /// and closes that connection without an answer, more than three times."
    fn check_kept_connections(&self, violations: &mut Vec<Violation>) {
        let is_cut = |call: &&StormCall| {
            call.is_unanswered()
                && !call.runs.is_empty()
                && self.is_lost(call)
                && self.in_touch(call)
        };
        let mut cut: HashMap<usize, Vec<&StormCall>> = HashMap::new();
        for call in self.calls.iter().filter(is_cut) {
            cut.entry(call.daemon).or_default().push(call);
        }
        for calls in cut.values().filter(|calls| calls.len() > MAX_UNANSWERED) {
            violations.push(Violation::new(
                "requests on kept connections are answered",
                Self::describe(calls[0], &format!("one of {}", calls.len())),
            ));
        }
    }
}

/// Whether a request that is cut by a planned stop is owed an answer.
#[derives::tag]
enum LossExcuse {
    Allowed,
    Owed,
}
