//! Blame of prompt parts for crashes of endpoints.

use jackdawpoint_policy::ids::{EndpointId, Millis};
use jackdawpoint_policy::part_blame::PartTable;
use jackdawpoint_policy::prompt_part::PromptPart;

const QUARANTINE_TIME: Millis = 30_000;

/// Interval of the crashes.
const INTERVAL: Millis = 400;

const TEMPLATE: PromptPart = PromptPart(1);
const CRASHING: PromptPart = PromptPart(2);
const SOUND: PromptPart = PromptPart(3);
const OTHER: PromptPart = PromptPart(4);

/// A step of a history.
enum Step<'a> {
    /// An endpoint crashes under runs with these parts.
    Crash(Vec<&'a [PromptPart]>),
    /// Endpoints crash at the same moment, each under one run with these parts.
    CommonCrash(usize, &'a [PromptPart]),
    /// A run with these parts writes.
    Write(&'a [PromptPart]),
}

struct Case<'a> {
    name: &'a str,
    history: Vec<Step<'a>>,
    /// Parts that must be quarantined, and parts that must not be.
    quarantined: &'a [PromptPart],
    admitted: &'a [PromptPart],
}

/// Plays a history, a step each interval, and returns the table and the time at its end.
fn play(history: &[Step<'_>]) -> (PartTable, Millis) {
    let mut table = PartTable::new(QUARANTINE_TIME);
    let mut now = 0;
    let mut number = 0;
    for step in history {
        now += INTERVAL;
        match step {
            Step::Crash(runs) => {
                number += 1;
                let endpoint = EndpointId::new(format!("endpoint-{number}"));
                for (index, parts) in runs.iter().copied().enumerate() {
                    table.record_crash(&endpoint, &format!("{number}/{index}"), parts, 0, now);
                }
            }
            Step::CommonCrash(endpoints, parts) => {
                for _ in 0..*endpoints {
                    number += 1;
                    let endpoint = EndpointId::new(format!("endpoint-{number}"));
                    table.record_crash(&endpoint, &format!("{number}/0"), parts, 0, now);
                }
            }
            Step::Write(parts) => {
                table.record_written(parts, now);
            }
        }
    }
    (table, now)
}

fn check(cases: &[Case<'_>]) {
    for case in cases {
        let (table, now) = play(&case.history);
        for part in case.quarantined {
            assert_eq!(
                table.quarantined(&[*part], now),
                Some(*part),
                "{}",
                case.name
            );
        }
        for part in case.admitted {
            assert_eq!(table.quarantined(&[*part], now), None, "{}", case.name);
        }
    }
}

/// Three crashes under runs with these parts.
fn three_crashes<'a>(runs: &[&'a [PromptPart]]) -> Vec<Step<'a>> {
    (0..3).map(|_| Step::Crash(runs.to_vec())).collect()
}

#[test]
fn crashing_part_is_blamed_and_sound_ones_beside_it_are_not() {
    let crashing: &[PromptPart] = &[TEMPLATE, CRASHING];
    let sound: &[PromptPart] = &[TEMPLATE, SOUND];
    let mut after_writes = vec![Step::Write(sound)];
    after_writes.extend(three_crashes(&[crashing, sound]));
    let mut later_cause = three_crashes(&[crashing]);
    later_cause.push(Step::Crash(vec![sound]));
    let mut two_causes = vec![Step::Write(sound)];
    for _ in 0..3 {
        two_causes.push(Step::Crash(vec![crashing]));
        two_causes.push(Step::Crash(vec![&[TEMPLATE, OTHER]]));
    }
    check(&[
        Case {
            name: "only requests with the part",
            history: three_crashes(&[crashing]),
            quarantined: &[CRASHING],
            admitted: &[TEMPLATE],
        },
        Case {
            name: "sound runs on the same endpoints",
            history: after_writes,
            quarantined: &[CRASHING],
            admitted: &[TEMPLATE, SOUND],
        },
        Case {
            name: "a crash for another reason",
            history: std::iter::once(Step::Write(sound))
                .chain(later_cause)
                .collect(),
            quarantined: &[CRASHING],
            admitted: &[TEMPLATE, SOUND],
        },
        Case {
            name: "two crashing parts",
            history: two_causes,
            quarantined: &[CRASHING, OTHER],
            admitted: &[TEMPLATE, SOUND],
        },
    ]);
}

#[test]
fn first_part_is_blamed_whatever_follows_it() {
    let history = vec![
        Step::Crash(vec![&[CRASHING, SOUND]]),
        Step::Crash(vec![&[CRASHING, OTHER]]),
        Step::Crash(vec![&[CRASHING, TEMPLATE]]),
    ];
    let mut two_companions = three_crashes(&[&[CRASHING, SOUND]]);
    two_companions.extend(three_crashes(&[&[CRASHING, OTHER]]));
    check(&[
        Case {
            name: "another companion each time",
            history,
            quarantined: &[CRASHING],
            admitted: &[SOUND, OTHER, TEMPLATE],
        },
        Case {
            name: "one companion, then another",
            history: two_companions,
            quarantined: &[CRASHING],
            admitted: &[SOUND, OTHER],
        },
    ]);
}

#[test]
fn parts_are_not_blamed_for_crashes_with_another_cause() {
    let parts: &[PromptPart] = &[TEMPLATE, SOUND];
    let mut written_between = Vec::new();
    for _ in 0..6 {
        written_between.push(Step::Crash(vec![parts]));
        written_between.push(Step::Write(parts));
    }
    check(&[
        Case {
            name: "many endpoints at once",
            history: vec![Step::CommonCrash(6, parts), Step::CommonCrash(6, parts)],
            quarantined: &[],
            admitted: parts,
        },
        Case {
            name: "runs write between the crashes",
            history: written_between,
            quarantined: &[],
            admitted: parts,
        },
    ]);
}

#[test]
fn write_lifts_a_quarantine() {
    let mut history = three_crashes(&[&[TEMPLATE, SOUND]]);
    history.push(Step::Write(&[TEMPLATE, SOUND]));
    check(&[Case {
        name: "a run in flight writes",
        history,
        quarantined: &[],
        admitted: &[TEMPLATE, SOUND],
    }]);
}

#[test]
fn writes_are_shared_when_the_next_crash_may_blame() {
    let (mut table, now) = play(&[Step::Crash(vec![&[SOUND]])]);
    assert_eq!(table.record_written(&[SOUND], now + 1), []);
    let (mut table, now) = play(&[Step::Crash(vec![&[SOUND]]), Step::Crash(vec![&[SOUND]])]);
    assert_eq!(table.record_written(&[SOUND], now + 1), [SOUND]);
    assert_eq!(table.record_written(&[SOUND], now + 2), []);
}

#[test]
fn notice_that_arrives_twice_counts_once() {
    let mut table = PartTable::new(QUARANTINE_TIME);
    let endpoint = EndpointId::new("endpoint-1");
    for number in 0..6 {
        let now = number * 5_000;
        table.record_crash(&endpoint, "run", &[CRASHING], 0, now);
    }
    assert_eq!(table.crash_count(CRASHING, 30_000).0, 1);
}

#[test]
fn one_instance_tries_one_run_on_probation_and_a_crash_prolongs_the_quarantine() {
    let (mut table, now) = play(&three_crashes(&[&[TEMPLATE, CRASHING]]));
    let parts = &[TEMPLATE, CRASHING];
    let ends_at = now + QUARANTINE_TIME;
    assert_eq!(table.admit(parts, |_| true, ends_at - 1), Some(CRASHING));
    assert_eq!(table.admit(parts, |_| false, ends_at), Some(CRASHING));
    assert_eq!(table.admit(parts, |_| true, ends_at), None);
    assert_eq!(table.admit(parts, |_| true, ends_at + 1), Some(CRASHING));
    let at = ends_at + 10;
    table.record_crash(&EndpointId::new("trial"), "trial", parts, 0, at);
    let later = ends_at + 10 + 4 * QUARANTINE_TIME;
    assert_eq!(table.admit(parts, |_| true, later - 1), Some(CRASHING));
    assert_eq!(table.admit(parts, |_| true, later), None);
}

#[test]
fn crashes_that_are_read_at_once_count_by_their_ages() {
    let read_at = 10;
    let of_ages = |ages: [Millis; 3]| {
        let mut table = PartTable::new(QUARANTINE_TIME);
        for (number, age) in ages.into_iter().enumerate() {
            let endpoint = EndpointId::new(format!("endpoint-{number}"));
            table.record_crash(&endpoint, &number.to_string(), &[CRASHING], age, read_at);
        }
        table.quarantined(&[CRASHING], read_at)
    };
    assert_eq!(of_ages([1_000, 3_000, 2_000]), Some(CRASHING));
    assert_eq!(of_ages([1_000, 900, 950]), None);
}

#[test]
fn part_is_not_blamed_for_one_crash_beyond_those_of_a_blamed_one() {
    let crashing: &[PromptPart] = &[TEMPLATE, CRASHING];
    let mut history = three_crashes(&[crashing]);
    history.push(Step::Crash(vec![&[TEMPLATE, SOUND]]));
    check(&[Case {
        name: "no write is known",
        history,
        quarantined: &[CRASHING],
        admitted: &[TEMPLATE, SOUND],
    }]);
}

#[test]
fn part_that_another_instance_blames_is_blamed_at_its_first_crash() {
    let crashing: &[PromptPart] = &[TEMPLATE, CRASHING];
    let (mut table, now) = play(&[Step::Crash(vec![crashing])]);
    assert_eq!(table.quarantined(crashing, now), None);
    assert!(table.record_verdict(CRASHING, now));
    assert_eq!(table.quarantined(crashing, now), Some(CRASHING));
    assert_eq!(table.quarantined(&[TEMPLATE, SOUND], now), None);
}

#[test]
fn verdict_on_a_part_that_runs_write_on_is_contradicted() {
    let (mut table, now) = play(&[Step::Crash(vec![&[TEMPLATE]]), Step::Write(&[TEMPLATE])]);
    assert!(!table.record_verdict(TEMPLATE, now + 1));
    assert!(!table.has_verdict(TEMPLATE));
}
