//! Quarantine of requests that crash endpoints.

use jackdawpoint_policy::ids::{EndpointId, Millis};
use jackdawpoint_policy::poison::{
    CrashReport, Fingerprint, PoisonStatus, PoisonTable, RunCrash, ServedRun,
};

const QUARANTINE_TIME: Millis = 30_000;

const THRESHOLD: usize = 3;

const FINGERPRINT: Fingerprint = Fingerprint(7);

fn table() -> PoisonTable {
    PoisonTable::with_threshold(QUARANTINE_TIME, THRESHOLD)
}

fn report(endpoint: &str) -> CrashReport {
    CrashReport {
        fingerprint: FINGERPRINT,
        endpoint: EndpointId::new(endpoint),
    }
}

#[test]
fn quarantine_is_renewed_by_one_crash_and_for_longer() {
    let mut table = table();
    for endpoint in ["one", "two", "three"] {
        table.record(&report(endpoint), 0);
    }
    let tried_at = QUARANTINE_TIME + 10_000;
    assert_ne!(
        table.status(FINGERPRINT, tried_at),
        PoisonStatus::Quarantined
    );
    table.record(&report("four"), tried_at);
    for age in [0, QUARANTINE_TIME, 2 * QUARANTINE_TIME] {
        let status = table.status(FINGERPRINT, tried_at + age);
        assert_eq!(status, PoisonStatus::Quarantined, "{age} ms later");
    }
}

#[test]
fn crashes_far_apart_add_up() {
    let mut table = table();
    for (number, endpoint) in (0..).zip(["one", "two", "three"]) {
        table.record(&report(endpoint), number * 2 * QUARANTINE_TIME);
    }
    let now = 4 * QUARANTINE_TIME;
    assert_eq!(table.status(FINGERPRINT, now), PoisonStatus::Quarantined);
}

fn quarantined_at(now: Millis) -> PoisonTable {
    let mut table = table();
    for endpoint in ["one", "two", "three"] {
        table.record(&report(endpoint), now);
    }
    table
}

#[test]
fn one_instance_tries_one_run_on_probation() {
    struct Case {
        name: &'static str,
        may_try: bool,
        at: Millis,
        status: PoisonStatus,
    }
    let cases = [
        Case {
            name: "quarantine lasts",
            may_try: true,
            at: QUARANTINE_TIME - 1,
            status: PoisonStatus::Quarantined,
        },
        Case {
            name: "another instance tries",
            may_try: false,
            at: QUARANTINE_TIME,
            status: PoisonStatus::Quarantined,
        },
        Case {
            name: "first run on probation",
            may_try: true,
            at: QUARANTINE_TIME,
            status: PoisonStatus::Probation,
        },
        Case {
            name: "second run while the first may last",
            may_try: true,
            at: QUARANTINE_TIME + 1,
            status: PoisonStatus::Quarantined,
        },
        Case {
            name: "run after one without a result",
            may_try: true,
            at: 2 * QUARANTINE_TIME,
            status: PoisonStatus::Probation,
        },
    ];
    let mut table = quarantined_at(0);
    for case in cases {
        let status = table.admit(FINGERPRINT, case.may_try, case.at);
        assert_eq!(status, case.status, "{}", case.name);
    }
}

#[test]
fn late_reports_of_known_runs_count_once() {
    let mut table = table();
    let crash = |run: &str| RunCrash {
        report: report("one"),
        family: FINGERPRINT,
        run: run.to_owned(),
        parts: Vec::new(),
        age: 0,
    };
    for (run, at) in [("a", 0), ("a", 60_000), ("b", 120_000), ("b", 180_000)] {
        table.record_run(&crash(run), at);
    }
    assert_eq!(table.crashes(FINGERPRINT), 2);
}

/// Runs of one request in the order in which reports on them arrive, each with its age.
struct EvidenceCase {
    name: &'static str,
    /// `Some` names the endpoint that crashed, `None` stands for a complete answer.
    runs: &'static [(Option<&'static str>, Millis)],
    status: PoisonStatus,
}

#[test]
fn complete_answers_excuse_crashes_that_came_before_them() {
    const ONE: Option<&str> = Some("one");
    const TWO: Option<&str> = Some("two");
    const THREE: Option<&str> = Some("three");
    const FOUR: Option<&str> = Some("four");
    let case = |name, runs, status| EvidenceCase { name, runs, status };
    let cases = [
        case(
            "one good run among bad ones",
            &[(ONE, 50), (None, 40), (TWO, 30), (THREE, 20), (FOUR, 10)],
            PoisonStatus::Quarantined,
        ),
        case(
            "one good run after the third crash",
            &[(ONE, 50), (TWO, 40), (THREE, 30), (None, 20)],
            PoisonStatus::Suspect,
        ),
        case(
            "report of a good run that came before all crashes",
            &[(ONE, 30), (TWO, 20), (THREE, 10), (None, 40)],
            PoisonStatus::Quarantined,
        ),
        case(
            "good runs outweigh a crash",
            &[(ONE, 50), (None, 40), (None, 30), (None, 20)],
            PoisonStatus::Clear,
        ),
        case(
            "good runs do not excuse later crashes",
            &[
                (None, 60),
                (None, 50),
                (None, 40),
                (ONE, 30),
                (TWO, 20),
                (THREE, 10),
            ],
            PoisonStatus::Quarantined,
        ),
    ];
    let now = 1_000;
    for case in cases {
        let mut table = table();
        for (number, (endpoint, age)) in case.runs.iter().enumerate() {
            let run = format!("run-{number}");
            match endpoint {
                Some(endpoint) => {
                    table.record_run(
                        &RunCrash {
                            report: report(endpoint),
                            family: FINGERPRINT,
                            run,
                            parts: Vec::new(),
                            age: *age,
                        },
                        now,
                    );
                }
                None => {
                    table.record_served(
                        &ServedRun {
                            fingerprint: FINGERPRINT,
                            family: FINGERPRINT,
                            run,
                            age: *age,
                        },
                        now,
                    );
                }
            }
        }
        assert_eq!(table.status(FINGERPRINT, now), case.status, "{}", case.name);
    }
}

#[test]
fn answers_end_a_quarantine_and_count_once() {
    let mut table = quarantined_at(0);
    let served = |run: &str| ServedRun {
        fingerprint: FINGERPRINT,
        family: FINGERPRINT,
        run: run.to_owned(),
        age: 0,
    };
    assert!(table.record_served(&served("a"), 10));
    assert!(!table.record_served(&served("a"), 10));
    assert_eq!(table.status(FINGERPRINT, 10), PoisonStatus::Suspect);
    let answers = 3 * THRESHOLD;
    for number in 1..answers {
        assert!(table.record_served(&served(&number.to_string()), 10));
    }
    assert_eq!(table.status(FINGERPRINT, 10), PoisonStatus::Clear);
    assert!(!table.record_served(&served("last"), 10));
}

#[test]
fn family_is_blamed_for_crashes_that_none_of_its_requests_explains() {
    struct Case {
        name: &'static str,
        /// Endpoints that crashed, with the requests of the family that they ran.
        crashes: &'static [(&'static str, &'static [u64])],
        status: PoisonStatus,
    }
    let cases = [
        Case {
            name: "each time another request",
            crashes: &[("one", &[1]), ("two", &[2]), ("three", &[3])],
            status: PoisonStatus::Quarantined,
        },
        Case {
            name: "two requests in turn",
            crashes: &[("one", &[1]), ("two", &[2]), ("three", &[1])],
            status: PoisonStatus::Quarantined,
        },
        Case {
            name: "one request, alone",
            crashes: &[("one", &[1]), ("two", &[1]), ("three", &[1])],
            status: PoisonStatus::Clear,
        },
        Case {
            name: "one request, with others beside it",
            crashes: &[("one", &[2, 1]), ("two", &[1, 3]), ("three", &[4, 1])],
            status: PoisonStatus::Clear,
        },
        Case {
            name: "one request, and a crash that it does not explain",
            crashes: &[
                ("one", &[1]),
                ("two", &[1]),
                ("three", &[1]),
                ("four", &[2]),
            ],
            status: PoisonStatus::Suspect,
        },
    ];
    let now = 1_000;
    for case in cases {
        let mut table = table();
        for (endpoint, requests) in case.crashes {
            for request in *requests {
                let report = CrashReport {
                    fingerprint: Fingerprint(100 + request),
                    endpoint: EndpointId::new(*endpoint),
                };
                let crash = RunCrash {
                    report,
                    family: FINGERPRINT,
                    run: format!("{endpoint}-{request}"),
                    parts: Vec::new(),
                    age: 0,
                };
                table.record_family_crash(&crash, now);
            }
        }
        assert_eq!(table.status(FINGERPRINT, now), case.status, "{}", case.name);
    }
}

#[test]
fn oldest_records_make_room() {
    let mut table = table();
    let count = 20_000;
    for number in 0..count {
        let crash = CrashReport {
            fingerprint: Fingerprint(number),
            endpoint: EndpointId::new("one"),
        };
        table.record(&crash, 0);
    }
    let newest = Fingerprint(count - 1);
    assert_eq!(table.status(newest, 0), PoisonStatus::Suspect);
    let known = (0..count).filter(|number| table.crashes(Fingerprint(*number)) > 0);
    assert!(known.count() <= 10_000);
}
