//! Checks after the faults of a run have ended.

use std::time::{Duration, Instant};

use adapter_standin::{ProxyMode, StoreFault};
use futures::future::join_all;
use ntex::http::StatusCode;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{AWAY_TIME, CRASH_INTERVAL, EVENT_INTERVAL, SoakEnvironment};
use crate::caller::{CallKind, CallOutcome, SoakCaller};
use crate::check::{DRAIN_TIME, Violation};
use crate::schedule::{CutScope, draw_cut};

/// Changes that a copy of the store lacks, and time between two changes after its return.
const LOST_CHANGES: usize = 12;
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time from a version to its effect, after the store came back: three seconds until the instances
/// count as in touch again, and two for the version.
const RESTORE_EFFECT_TIME: Duration = Duration::from_secs(5);

/// Time within which every daemon must apply a configuration change, including the time that
/// querying all daemons takes.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_200);

/// Time after the last call within which all reserved memory must be released.
const MEMORY_RELEASE_TIME: Duration = Duration::from_secs(4);

/// Number of crashes after which a call must not be sent on.
const CALL_CRASH_THRESHOLD: usize = 3;

/// Number of crashes after which calls with a part in common must not be sent on.
const PART_CRASH_THRESHOLD: usize = 5;

/// Time after the last of these crashes from which sends count.
const CRASH_SETTLING_TIME: Duration = Duration::from_secs(3);

/// Largest number of sends that count.
const MAX_SENDS_AFTER_CRASHES: usize = 3;

/// Number of crashing calls to each daemon in the final check.
const FINAL_CRASHING_CALLS: usize = 3;

/// Number of calls of each kind to each daemon in the final check.
const FINAL_CALLS_PER_KIND: usize = 5;

/// Limit that two endpoints name in the final check, in requests a second.
const FINAL_LIMIT: f64 = 1.5;

/// Time after an endpoint first named its limit from which requests count.
const LIMIT_SETTLING_TIME: Duration = Duration::from_secs(3);

/// Window in which requests count.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Largest number of requests in a window: one and a half times the limit, and five.
const MAX_REQUESTS_IN_WINDOW: usize = 14;

/// Retry-after that two endpoints state in the final check.
const FINAL_BACKOFF: Duration = Duration::from_secs(4);

/// Requests of one daemon that may reach an endpoint before its retry-after has ended: the one that
/// is refused, and two that are under way.
const MAX_REQUESTS_IN_BACKOFF: usize = 3;

/// Time after its first refusal in which requests may be on their way to an endpoint.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests of one daemon that may reach an endpoint after that, before its retry-after has ended.
const LATE_REQUESTS_IN_BACKOFF: usize = 2;

/// Time that refusals take while daemons are cut off, and time after which callers leave meanwhile.
const REFUSAL_TIME: Duration = Duration::from_millis(40);
const CALLER_PATIENCE: Duration = Duration::from_millis(20);

/// Engine that says in its answers that it leaves.
const SAYS_LEAVING: usize = 1;

/// Time that a caller waits between two calls while endpoints limit or refuse them.
const PRESSING_INTERVAL: Duration = Duration::from_millis(80);

/// Time after the begin of a cut from all endpoints from which calls count.
const CUT_SETTLING_TIME: Duration = Duration::from_secs(3);

/// Number of rounds of calls that count, each with every kind of call to each daemon.
const CUT_ROUNDS: usize = 8;

/// Calls that may fail at the daemons that are cut off: this many, and one in so many of all.
const CUT_FAILURES: (usize, usize) = (10, 50);

/// Calls at some daemons.
#[derive(Debug, Default)]
struct ServedShare {
    sent: usize,
    served: usize,
}

impl SoakEnvironment {
    /// Checks that daemons that are cut off from all endpoints serve at least two thirds as often as
    /// the others, or fail few calls. All daemons being cut off, there is nothing to check.
    pub(super) async fn check_cut(&self, violations: &mut Vec<Violation>) {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let (scope, mode) = draw_cut(&mut random, &self.size);
        self.set_cut(scope, mode);
        self.press(CUT_SETTLING_TIME).await;
        let mut callers = Vec::new();
        for (daemon, address) in self.caller_addresses().into_iter().enumerate() {
            callers.push((daemon, SoakCaller::new(daemon, address).await));
        }
        let (mut cut, mut others) = (ServedShare::default(), ServedShare::default());
        let kinds = CallKind::ALL.into_iter().cycle();
        for kind in kinds.take(CUT_ROUNDS * CallKind::ALL.len()) {
            for (daemon, caller) in &callers {
                let share = if scope.covers(*daemon) {
                    &mut cut
                } else {
                    &mut others
                };
                let outcome = self.call(caller, kind, "key-0").await;
                share.sent += 1;
                if matches!(outcome, CallOutcome::Response(StatusCode::OK, _)) {
                    share.served += 1;
                }
            }
        }
        self.set_cut(scope, ProxyMode::Pass);
        let failed = cut.sent - cut.served;
        let allowed = CUT_FAILURES.0 + (cut.sent + others.sent) / CUT_FAILURES.1;
        let is_worse = cut.served * others.sent * 3 < others.served * cut.sent * 2;
        if others.sent > 0 && is_worse && failed > allowed {
            let observed = format!("{scope:?} {mode:?}: cut {cut:?}, others {others:?}");
            violations.push(Violation::new(
                "daemons that are cut off from all endpoints serve like the others",
                observed,
            ));
        }
    }

    /// Checks that a call that has crashed several endpoints, or calls with a part that has, are not
    /// sent on.
    pub(super) async fn check_crashing_calls(&self, violations: &mut Vec<Violation>) {
        let threshold = match self.crashing_kind {
            CallKind::CrashingPart => PART_CRASH_THRESHOLD,
            _ => CALL_CRASH_THRESHOLD,
        };
        let addresses = self.caller_addresses();
        let mut callers = Vec::new();
        for (daemon, address) in addresses.into_iter().enumerate() {
            callers.push(SoakCaller::new(daemon, address).await);
        }
        for caller in callers.iter().cycle().take(2 * threshold) {
            if self.crashes() >= threshold {
                break;
            }
            self.call(caller, self.crashing_kind, "key-0").await;
            tokio::time::sleep(2 * CRASH_INTERVAL).await;
        }
        tokio::time::sleep(CRASH_SETTLING_TIME).await;
        let before = self.crashes();
        for caller in callers
            .iter()
            .cycle()
            .take(callers.len() * FINAL_CRASHING_CALLS)
        {
            self.call(caller, self.crashing_kind, "key-0").await;
        }
        // The silent calls of this check are attributed, and their endpoints back, before others.
        tokio::time::sleep(2 * CRASH_INTERVAL).await;
        let sends = self.crashes() - before;
        let uncounted = threshold.saturating_sub(before);
        if sends > uncounted + MAX_SENDS_AFTER_CRASHES {
            let kind = self.crashing_kind;
            let observed = format!("{kind:?}: sent {sends} times after {before} crashes");
            violations.push(Violation::new(
                "what has crashed several endpoints is not sent on",
                observed,
            ));
        }
    }

    /// Calls engines and plain endpoints through all daemons for `time`.
    async fn press(&self, time: Duration) {
        let started_at = Instant::now();
        let addresses = self.caller_addresses().into_iter().enumerate();
        let callers = addresses.map(|(daemon, address)| async move {
            let caller = SoakCaller::new(daemon, address).await;
            let kinds = [CallKind::Question, CallKind::Status];
            for kind in kinds.into_iter().cycle() {
                if started_at.elapsed() >= time {
                    return;
                }
                self.call(&caller, kind, "key-0").await;
                tokio::time::sleep(PRESSING_INTERVAL).await;
            }
        });
        join_all(callers).await;
    }

    /// Checks that an engine which says in its answers that it leaves, while its entry says that it
    /// is ready, gets no more requests.
    pub(super) async fn check_leaving(&self, violations: &mut Vec<Violation>) {
        let leaving = &self.endpoints[SAYS_LEAVING];
        leaving.set_leaving(true);
        let said_at = Instant::now();
        self.press(3 * DRAIN_TIME).await;
        let mut arrivals = leaving.arrivals();
        arrivals.retain(|at| *at >= said_at);
        // The daemons learn it from the answer to the first of these.
        let learned_at = arrivals.first().copied().unwrap_or(said_at);
        let is_late = |at: &&Instant| **at >= learned_at + EVENT_INTERVAL + DRAIN_TIME;
        let late = arrivals.iter().filter(is_late).count();
        if late > 0 {
            let observed = format!("endpoint {SAYS_LEAVING}: {late} requests");
            violations.push(Violation::new(
                "an endpoint that says that it leaves gets no more requests",
                observed,
            ));
        }
    }

    /// Checks that an engine and an endpoint of the plain service that refuse requests with a
    /// retry-after get no more of them from each daemon until then.
    pub(super) async fn check_backoffs(&self, violations: &mut Vec<Violation>) {
        let refusing = [0, self.endpoints.len() - 1];
        let said_at = Instant::now();
        for index in refusing {
            self.endpoints[index].set_retry_after(Some(FINAL_BACKOFF.as_secs_f64()));
        }
        self.press(FINAL_BACKOFF).await;
        let allowed = self.size.daemons * MAX_REQUESTS_IN_BACKOFF;
        for index in refusing {
            let mut arrivals = self.endpoints[index].arrivals();
            arrivals.retain(|at| (said_at..said_at + FINAL_BACKOFF).contains(at));
            if arrivals.len() > allowed {
                let observed = format!("endpoint {index}: {} requests", arrivals.len());
                violations.push(Violation::new(
                    "an endpoint gets no more requests until its retry-after has ended",
                    observed,
                ));
            }
            self.endpoints[index].set_retry_after(None);
        }
        tokio::time::sleep(FINAL_BACKOFF).await;
    }

    /// Checks the same while a failure domain is cut off from all endpoints, so that its requests reach
    /// them through the other daemons, and while all callers leave before they are refused.
    pub(super) async fn check_backoffs_in_cut(&self, violations: &mut Vec<Violation>) {
        let scope = CutScope::Domain(usize::from(self.seed.is_multiple_of(2)));
        let hosts = (0..self.size.daemons).filter(|daemon| !scope.covers(*daemon));
        let allowed = hosts.count() * LATE_REQUESTS_IN_BACKOFF;
        self.set_cut(scope, ProxyMode::Disconnect);
        self.press(CUT_SETTLING_TIME).await;
        let refusing = [0, self.endpoints.len() - 1];
        let said_at = Instant::now();
        for index in refusing {
            self.endpoints[index].set_refusal_time(REFUSAL_TIME);
            self.endpoints[index].set_retry_after(Some(FINAL_BACKOFF.as_secs_f64()));
        }
        self.press_impatiently(FINAL_BACKOFF).await;
        for index in refusing {
            let mut arrivals = self.endpoints[index].arrivals();
            arrivals.retain(|at| *at >= said_at);
            let first = arrivals.first().copied().unwrap_or(said_at) + REFUSAL_TIME;
            arrivals.retain(|at| (first + UNDER_WAY..first + FINAL_BACKOFF).contains(at));
            if arrivals.len() > allowed {
                let observed = format!("endpoint {index}: {} late requests", arrivals.len());
                violations.push(Violation::new(
                    "an endpoint gets no more requests through other daemons until its retry-after \
                     has ended",
                    observed,
                ));
            }
            self.endpoints[index].set_retry_after(None);
            self.endpoints[index].set_refusal_time(Duration::ZERO);
        }
        self.set_cut(scope, ProxyMode::Pass);
        tokio::time::sleep(FINAL_BACKOFF).await;
    }

    /// Calls engines and plain endpoints through all daemons for `time` and leaves before the answers.
    async fn press_impatiently(&self, time: Duration) {
        let started_at = Instant::now();
        let addresses = self.caller_addresses().into_iter().enumerate();
        let callers = addresses.map(|(daemon, address)| async move {
            let kinds = [CallKind::Question, CallKind::Status];
            for kind in kinds.into_iter().cycle() {
                if started_at.elapsed() >= time {
                    return;
                }
                let caller = SoakCaller::new(daemon, address).await;
                let id = self.next_call_id();
                let call = caller.call_and_leave(&id, kind, "key-0", CALLER_PATIENCE);
                let record = call.await;
                self.calls.borrow_mut().push(record);
                tokio::time::sleep(PRESSING_INTERVAL).await;
            }
        });
        join_all(callers).await;
    }

    /// Checks that an engine and an endpoint of the plain service that name a limit get no more
    /// requests than that, from all daemons together.
    pub(super) async fn check_limits(&self, violations: &mut Vec<Violation>) {
        let limited = [0, self.endpoints.len() - 1];
        for index in limited {
            self.endpoints[index].set_rate_limit(Some(FINAL_LIMIT));
        }
        let named_at = Instant::now();
        self.press(LIMIT_SETTLING_TIME + LIMIT_WINDOW).await;
        for index in limited {
            let mut arrivals = self.endpoints[index].arrivals();
            let from = named_at + LIMIT_SETTLING_TIME;
            arrivals.retain(|at| (from..from + LIMIT_WINDOW).contains(at));
            if arrivals.len() > MAX_REQUESTS_IN_WINDOW {
                let observed = format!(
                    "endpoint {index}, limit {FINAL_LIMIT}: {} requests",
                    arrivals.len()
                );
                violations.push(Violation::new(
                    "an endpoint gets no more requests than its limit",
                    observed,
                ));
            }
            self.endpoints[index].set_rate_limit(None);
        }
        // The next answer of each endpoint ends its limit.
        tokio::time::sleep(Duration::from_secs(1)).await;
    }

    /// Checks that a version takes effect that is published right after the store came back from a
    /// copy, although the new era soon reaches the revision that the daemons have read.
    pub(super) async fn check_restore(&self, violations: &mut Vec<Violation>) {
        let copy = self.store.copy();
        let change = |number: usize| {
            let key = format!("jackdawpoint/other/{number}");
            self.store.put(&key, "changed");
        };
        (0..LOST_CHANGES).for_each(change);
        tokio::time::sleep(CONFIG_APPLY_TIME).await;
        self.store.set_fault(StoreFault::Silent);
        self.store.write_again(self.store.restore(&copy));
        tokio::time::sleep(AWAY_TIME).await;
        self.store.set_fault(StoreFault::None);
        self.publish_config();
        let published = Instant::now();
        for number in 0..2 * LOST_CHANGES {
            tokio::time::sleep(CHANGE_INTERVAL).await;
            change(number);
        }
        let settled = RESTORE_EFFECT_TIME.saturating_sub(published.elapsed());
        tokio::time::sleep(settled).await;
        let key = format!("key-{}", self.version.get());
        for (daemon, address) in self.caller_addresses().into_iter().enumerate() {
            let caller = SoakCaller::new(daemon, address).await;
            let outcome = self.call(&caller, CallKind::Status, &key).await;
            if !matches!(outcome, CallOutcome::Response(StatusCode::OK, _)) {
                violations.push(Violation::new(
                    "a version takes effect after the store came back from a copy",
                    format!("daemon {daemon}: {outcome:?}"),
                ));
            }
        }
    }

    /// Checks the invariants that must hold once no fault has been injected for `RECOVERY_TIME`:
    /// all calls are served, with the newest configuration; draining endpoints get no new runs; and
    /// no memory stays reserved.
    pub(super) async fn check_after_recovery(&self, violations: &mut Vec<Violation>) {
        self.publish_config();
        let draining_endpoint = 0;
        self.register(draining_endpoint, "draining");
        tokio::time::sleep(CONFIG_APPLY_TIME.max(DRAIN_TIME)).await;
        let before = self.endpoints[draining_endpoint].runs().len();
        let key = format!("key-{}", self.version.get());
        let addresses = self.caller_addresses();
        for (daemon, address) in addresses.into_iter().enumerate() {
            let caller = SoakCaller::new(daemon, address).await;
            for kind in CallKind::ALL {
                for _ in 0..FINAL_CALLS_PER_KIND {
                    let outcome = self.call(&caller, kind, &key).await;
                    if !matches!(outcome, CallOutcome::Response(StatusCode::OK, _)) {
                        let observed = format!("call {kind:?} to daemon {daemon}: {outcome:?}");
                        violations.push(Violation::new(
                            "all calls are served after the faults have ended",
                            observed,
                        ));
                    }
                }
            }
        }
        let after = self.endpoints[draining_endpoint].runs().len();
        if after > before {
            let observed = format!("{} new runs", after - before);
            violations.push(Violation::new(
                "a draining endpoint gets no new runs",
                observed,
            ));
        }
        tokio::time::sleep(MEMORY_RELEASE_TIME).await;
        for endpoint in &self.endpoints {
            for id in endpoint.reserved() {
                violations.push(Violation::new("engine memory is released", id));
            }
        }
    }
}
