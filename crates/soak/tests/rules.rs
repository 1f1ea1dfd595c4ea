//! Each rule of a storm finds what breaks it, and passes what is allowed.

use std::time::{Duration, Instant};

use jackdawpoint_soak::{
    DisruptionLog, DisruptionPlan, DisruptionScope, SentVersion, StormCall, StormContent,
    StormOutcome, StormRecord, StormRoute, StormRun, StormSite,
};

/// Time of the first version; the events of the cases come after it.
const START: Duration = Duration::from_secs(20);

const MAIN: &str = "main";
const SLOW: &str = "slow";
const LASTING: &str = "lasting";

/// What a version holds besides the lasting key and the two routes.
struct VersionCase {
    sent_ms: u64,
    service: &'static str,
    added_route: Option<&'static str>,
    added_key: Option<&'static str>,
}

const FIRST: VersionCase = VersionCase {
    sent_ms: 0,
    service: "blue",
    added_route: None,
    added_key: None,
};

/// Requests, all alike but for the time at which they are sent.
struct CallCase {
    sent_ms: &'static [u64],
    took_ms: u64,
    route: &'static str,
    key: &'static str,
    outcome: StormOutcome,
    /// Service that runs them.
    run: Option<&'static str>,
    work_ms: u64,
}

const SERVED: CallCase = CallCase {
    sent_ms: &[10_000],
    took_ms: 20,
    route: MAIN,
    key: LASTING,
    outcome: StormOutcome::Answered(200),
    run: Some("blue"),
    work_ms: 10,
};

/// A disruption of the only instance.
struct DisruptionCase {
    plan: DisruptionPlan,
    from_ms: u64,
    until_ms: u64,
}

struct RuleCase {
    name: &'static str,
    versions: Vec<VersionCase>,
    calls: Vec<CallCase>,
    disruptions: Vec<DisruptionCase>,
    reload_ms: Option<u64>,
    /// The invariants that are violated, with how often.
    violated: &'static [(&'static str, usize)],
}

impl RuleCase {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            versions: vec![FIRST],
            calls: Vec::new(),
            disruptions: Vec::new(),
            reload_ms: None,
            violated: &[],
        }
    }

    fn check(&self) {
        let start = Instant::now() + START;
        let at = |ms: u64| start + Duration::from_millis(ms);
        let versions = self.versions.iter().enumerate().map(|(index, case)| {
            let mut content = StormContent::first(0);
            let route = |service| StormRoute {
                services: vec![service],
                timeout_ms: 3_000,
            };
            content.routes.insert(MAIN.to_owned(), route(case.service));
            if let Some(name) = case.added_route {
                content.routes.insert(name.to_owned(), route("blue"));
            }
            content.keys.extend(case.added_key.map(str::to_owned));
            SentVersion {
                version: u64::try_from(index).expect("few versions") + 1,
                content,
                sent_at: at(case.sent_ms),
                acknowledged_at: at(case.sent_ms),
            }
        });
        let log = DisruptionLog::new();
        for case in &self.disruptions {
            let scope = DisruptionScope::Daemon(0);
            let disruption = log.begin(scope, case.plan, at(case.from_ms));
            log.end(disruption, at(case.until_ms));
        }
        if let Some(ms) = self.reload_ms {
            log.reload(0, at(ms));
        }
        let calls = self.calls.iter().flat_map(|case| {
            case.sent_ms.iter().map(|sent_ms| StormCall {
                id: format!("call-{sent_ms}"),
                daemon: 0,
                route: case.route.to_owned(),
                key: case.key.to_owned(),
                deadline: Duration::from_secs(10),
                sent: at(*sent_ms),
                ended: at(sent_ms + case.took_ms),
                outcome: case.outcome.clone(),
                runs: Vec::from_iter(case.run.map(|service| StormRun {
                    service,
                    started_at: at(sent_ms + 5),
                    work_time: Duration::from_millis(case.work_ms),
                })),
            })
        });
        let site = StormSite::find("pappalieve-prod").expect("a known deployment");
        let record = StormRecord {
            site: &site,
            versions: &versions.collect::<Vec<_>>(),
            disruptions: &log,
            calls: &calls.collect::<Vec<_>>(),
        };
        let mut counts: Vec<(&str, usize)> = Vec::new();
        for violation in record.violations() {
            match counts
                .iter_mut()
                .find(|(name, _)| *name == violation.invariant)
            {
                Some((_, count)) => *count += 1,
                None => counts.push((violation.invariant, 1)),
            }
        }
        assert_eq!(counts, self.violated, "{}", self.name);
    }
}

fn moved(sent_ms: u64) -> VersionCase {
    VersionCase {
        sent_ms,
        service: "green",
        ..FIRST
    }
}

/// Guards the checks of versions against missing a version that comes late or is undone.
#[test]
fn versions_must_take_effect_in_time_and_stay() {
    let cases = [
        RuleCase {
            versions: vec![FIRST, moved(5_000)],
            calls: vec![CallCase {
                sent_ms: &[6_900, 7_100],
                ..SERVED
            }],
            violated: &[("a version takes effect in time", 1)],
            ..RuleCase::new("the old service runs a request after the bound")
        },
        RuleCase {
            versions: vec![FIRST, moved(5_000)],
            calls: vec![CallCase {
                sent_ms: &[7_100],
                ..SERVED
            }],
            disruptions: vec![DisruptionCase {
                plan: DisruptionPlan::Fault,
                from_ms: 4_000,
                until_ms: 4_200,
            }],
            ..RuleCase::new("the instance is not in touch")
        },
        RuleCase {
            versions: vec![
                VersionCase {
                    added_key: Some("key"),
                    ..FIRST
                },
                VersionCase {
                    sent_ms: 5_000,
                    ..FIRST
                },
            ],
            calls: vec![CallCase {
                sent_ms: &[6_000, 8_000],
                key: "key",
                ..SERVED
            }],
            violated: &[("a version takes effect in time", 1)],
            ..RuleCase::new("a removed key is accepted")
        },
        RuleCase {
            versions: vec![
                FIRST,
                VersionCase {
                    sent_ms: 5_000,
                    added_route: Some("added-2"),
                    ..FIRST
                },
            ],
            calls: vec![CallCase {
                sent_ms: &[6_000, 8_000],
                route: "added-2",
                outcome: StormOutcome::Answered(404),
                run: None,
                ..SERVED
            }],
            violated: &[("a version takes effect in time", 1)],
            ..RuleCase::new("an added route is unknown")
        },
        RuleCase {
            versions: vec![FIRST, moved(5_000)],
            calls: vec![
                CallCase {
                    sent_ms: &[5_100],
                    run: Some("green"),
                    ..SERVED
                },
                CallCase {
                    sent_ms: &[5_200, 5_400],
                    ..SERVED
                },
            ],
            violated: &[("an instance never returns to an older version", 1)],
            ..RuleCase::new("the old service runs a request after the new one")
        },
        RuleCase {
            versions: vec![FIRST, moved(5_000)],
            calls: vec![
                CallCase {
                    sent_ms: &[5_100],
                    run: Some("green"),
                    ..SERVED
                },
                CallCase {
                    sent_ms: &[5_900],
                    ..SERVED
                },
            ],
            disruptions: vec![DisruptionCase {
                plan: DisruptionPlan::Crash,
                from_ms: 5_300,
                until_ms: 5_500,
            }],
            ..RuleCase::new("the process is another one")
        },
    ];
    cases.iter().for_each(RuleCase::check);
}

const THIRTY: [u64; 30] = {
    let mut times = [0; 30];
    let mut index = 0;
    while index < times.len() {
        times[index] = 10_000 + 100 * index as u64;
        index += 1;
    }
    times
};

/// Guards the checks of added routes, timeouts and denials against counting the wrong requests.
#[test]
fn shares_are_judged_as_a_whole() {
    let cases = [
        RuleCase {
            versions: vec![VersionCase {
                added_route: Some("added-1"),
                ..FIRST
            }],
            calls: vec![
                CallCase {
                    sent_ms: &THIRTY,
                    ..SERVED
                },
                CallCase {
                    sent_ms: &THIRTY,
                    route: "added-1",
                    outcome: StormOutcome::Answered(503),
                    run: None,
                    ..SERVED
                },
            ],
            violated: &[("added routes are served", 1)],
            ..RuleCase::new("an added route is refused")
        },
        RuleCase {
            calls: vec![CallCase {
                sent_ms: &THIRTY,
                took_ms: 3_600,
                outcome: StormOutcome::Answered(504),
                ..SERVED
            }],
            violated: &[("requests are answered half a second after their timeout", 1)],
            ..RuleCase::new("answers come long after the timeout")
        },
        RuleCase {
            calls: vec![CallCase {
                sent_ms: &THIRTY,
                took_ms: 3_400,
                outcome: StormOutcome::Answered(504),
                ..SERVED
            }],
            ..RuleCase::new("answers come soon after the timeout")
        },
        RuleCase {
            calls: vec![CallCase {
                sent_ms: &THIRTY,
                outcome: StormOutcome::Answered(400),
                run: None,
                ..SERVED
            }],
            violated: &[("proper requests are not denied", 1)],
            ..RuleCase::new("proper requests are denied")
        },
        RuleCase {
            calls: vec![CallCase {
                sent_ms: &[10_000, 10_100, 10_200, 10_300, 10_400],
                outcome: StormOutcome::Answered(400),
                run: None,
                ..SERVED
            }],
            ..RuleCase::new("five are denied")
        },
    ];
    cases.iter().for_each(RuleCase::check);
}

/// Guards the check of planned work against passing over a lost request, and against counting one
/// that the platform excuses.
#[test]
fn requests_are_answered_around_planned_work() {
    let lost = || CallCase {
        outcome: StormOutcome::Lost,
        took_ms: 1_000,
        work_ms: 2_000,
        route: SLOW,
        run: Some("slow"),
        ..SERVED
    };
    let stop = || DisruptionCase {
        plan: DisruptionPlan::Restart,
        from_ms: 9_000,
        until_ms: 17_000,
    };
    let cases = [
        RuleCase {
            calls: vec![lost()],
            disruptions: vec![stop()],
            violated: &[("requests are answered around a planned stop", 1)],
            ..RuleCase::new("a request is cut during a stop")
        },
        RuleCase {
            calls: vec![CallCase {
                sent_ms: &[11_000],
                took_ms: 5_400,
                work_ms: 6_000,
                ..lost()
            }],
            disruptions: vec![stop()],
            ..RuleCase::new("a request sent soon after the signal outlives the grace period")
        },
        RuleCase {
            calls: vec![CallCase {
                sent_ms: &[13_000],
                took_ms: 3_400,
                work_ms: 6_000,
                ..lost()
            }],
            disruptions: vec![stop()],
            violated: &[("requests are answered around a planned stop", 1)],
            ..RuleCase::new("a request sent late outlives the grace period")
        },
        RuleCase {
            calls: vec![CallCase {
                run: None,
                took_ms: 100,
                ..lost()
            }],
            disruptions: vec![stop()],
            ..RuleCase::new("a request crosses the close of its connection")
        },
        RuleCase {
            calls: vec![lost()],
            reload_ms: Some(9_500),
            violated: &[("requests are answered around a reload", 1)],
            ..RuleCase::new("a request is cut after a reload")
        },
        RuleCase {
            versions: vec![FIRST, moved(10_500)],
            calls: vec![lost()],
            violated: &[(
                "requests are answered around a change of the configuration",
                1,
            )],
            ..RuleCase::new("a request is cut beside a new version")
        },
        RuleCase {
            calls: vec![CallCase {
                sent_ms: &[10_000, 10_100, 10_200, 10_300],
                ..lost()
            }],
            violated: &[("requests on kept connections are answered", 1)],
            ..RuleCase::new("requests are cut in calm")
        },
    ];
    cases.iter().for_each(RuleCase::check);
}

/// A request around a silence of open connections.
struct TouchCase {
    name: &'static str,
    sent_ms: u64,
    is_in_touch: bool,
}

#[test]
fn silence_takes_all_instances_out_of_touch_for_the_stable_time() {
    let case = |name, sent_ms, is_in_touch| TouchCase {
        name,
        sent_ms,
        is_in_touch,
    };
    let cases = [
        case("over before it", 9_500, true),
        case("under way", 9_900, false),
        case("within the stable time", 12_900, false),
        case("after the stable time", 13_100, true),
    ];
    let now = Instant::now() + START;
    let at = |ms| now + Duration::from_millis(ms);
    let log = DisruptionLog::new();
    let scope = DisruptionScope::Connections;
    let silence = log.begin(scope, DisruptionPlan::Fault, at(10_000));
    log.end(silence, at(10_000));
    for case in cases {
        let ended = at(case.sent_ms + 300);
        for daemon in [0, 7] {
            let is_in_touch = log.in_touch(daemon, at(case.sent_ms), ended, Duration::from_secs(3));
            assert_eq!(is_in_touch, case.is_in_touch, "{}, {daemon}", case.name);
        }
    }
}
