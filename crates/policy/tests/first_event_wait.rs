//! Waits for first events of engines that say that they are busy.

use jackdawpoint_policy::first_event_wait::{
    EngineReport, FirstEventWait, RepeatOption, WaitDecision,
};
use jackdawpoint_policy::ids::Millis;

fn report(queued: u64, running: u64, pace: f64) -> EngineReport {
    EngineReport {
        queued: Some(queued),
        running: Some(running),
        kv_used: None,
        pace: Some(pace),
    }
}

/// A run whose engine gives the same report each time, or none.
struct WaitCase {
    name: &'static str,
    expected: Millis,
    time_left: Millis,
    repeat: RepeatOption,
    report: Option<EngineReport>,
    /// The last decision, and the shortest and longest wait, in milliseconds.
    ends: (WaitDecision, Millis, Millis),
    /// Most reports that are requested.
    most_reports: usize,
}

impl WaitCase {
    /// A short stream of which the first event was expected after 100 ms.
    fn short(
        name: &'static str,
        report: Option<EngineReport>,
        ends: (WaitDecision, Millis, Millis),
    ) -> Self {
        Self {
            name,
            expected: 100,
            time_left: 10_000,
            repeat: RepeatOption::Repeatable,
            report,
            ends,
            most_reports: 5,
        }
    }

    fn violation(&self) -> Option<String> {
        let mut wait = FirstEventWait::new(self.expected, self.time_left, self.repeat);
        let mut limits = Vec::new();
        let decision = loop {
            limits.push(wait.limit());
            match wait.decide(self.report.as_ref()) {
                WaitDecision::Continue => {}
                decision => break decision,
            }
        };
        let (expected, shortest, longest) = self.ends;
        let is_kept = decision == expected
            && (shortest..=longest).contains(&wait.limit())
            && limits.len() <= self.most_reports;
        (!is_kept).then(|| format!("{}: {decision:?} after {limits:?}", self.name))
    }
}

/// Guards against work that is thrown away at a busy engine, and against waiting for a lost
/// connection until the caller's time ends.
#[test]
fn a_run_is_awaited_for_as_long_as_its_engine_explains() {
    use WaitDecision::{ContinueToEnd, Idle, Unanswered, Unexplained};
    let says_nothing = Some(EngineReport::default());
    let queue_only = Some(EngineReport {
        queued: Some(3),
        ..EngineReport::default()
    });
    let cases = [
        WaitCase::short("no report", None, (Unanswered, 1_300, 1_300)),
        WaitCase::short("no runs", Some(report(0, 0, 4.0)), (Idle, 1_300, 1_300)),
        WaitCase::short("nothing said", says_nothing, (Idle, 1_300, 1_300)),
        WaitCase::short(
            "one run, which may be another one",
            Some(report(0, 1, 1.0)),
            (Unexplained, 2_300, 2_300),
        ),
        WaitCase::short(
            "slots full, nothing queued",
            Some(report(0, 12, 1.0)),
            (Unexplained, 4_000, 5_000),
        ),
        WaitCase::short(
            "four times slower",
            Some(report(0, 4, 4.0)),
            (Unexplained, 8_000, 9_300),
        ),
        WaitCase::short(
            "slots and queue full",
            Some(report(24, 12, 1.0)),
            (ContinueToEnd, 10_000, 10_000),
        ),
        WaitCase::short(
            "a queue, and nothing said of running work",
            queue_only,
            (Unexplained, 6_300, 7_300),
        ),
        WaitCase::short(
            "a pace below the usual one does not shorten the wait",
            Some(report(0, 12, 0.1)),
            (Unexplained, 4_000, 5_000),
        ),
        WaitCase::short(
            "an absurd pace",
            Some(report(u64::MAX, u64::MAX, f64::MAX)),
            (ContinueToEnd, 10_000, 10_000),
        ),
        WaitCase {
            name: "a long prompt on a slow engine",
            expected: 2_000,
            time_left: 15_000,
            repeat: RepeatOption::Repeatable,
            report: Some(report(0, 6, 4.0)),
            ends: (ContinueToEnd, 15_000, 15_000),
            most_reports: 5,
        },
        WaitCase {
            repeat: RepeatOption::LastRun,
            most_reports: 1,
            ..WaitCase::short(
                "last run, full engine",
                Some(report(24, 12, 1.0)),
                (ContinueToEnd, 10_000, 10_000),
            )
        },
        WaitCase {
            repeat: RepeatOption::LastRun,
            most_reports: 1,
            ..WaitCase::short(
                "last run, silent for longer than its engine explains",
                Some(report(0, 2, 1.0)),
                (Unexplained, 10_000, 10_000),
            )
        },
    ];
    let violations: Vec<String> = cases.iter().filter_map(WaitCase::violation).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a report that delays the end of the wait for engines without reports, and against
/// one that is requested before it can contain the run.
#[test]
fn reports_are_requested_shortly_before_the_limit() {
    let cases = [
        (100, 10_000, Some(800)),
        (100, 1_000, Some(500)),
        (100, 900, None),
    ];
    for (expected, time_left, due) in cases {
        let wait = FirstEventWait::new(expected, time_left, RepeatOption::Repeatable);
        assert_eq!(wait.report_due(), due, "{time_left} ms left");
    }
}
