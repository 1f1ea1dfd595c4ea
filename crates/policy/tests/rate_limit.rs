//! Limits on the requests that endpoints take from all instances together.

use jackdawpoint_policy::ids::{EndpointId, Millis};
use jackdawpoint_policy::rate_limit::{PermitDecision, RateNotice, RateTable, RequestRate};

/// Window in which grants are counted, in milliseconds.
const WINDOW: Millis = 4_000;

/// Interval of the attempts to get a grant, in milliseconds.
const STEP: Millis = 10;

fn endpoint() -> EndpointId {
    EndpointId::new("one")
}

fn rate(per_second: f64) -> Option<RequestRate> {
    RequestRate::new(per_second)
}

fn notice(per_second: Option<f64>, age: Millis) -> RateNotice {
    RateNotice {
        endpoint: endpoint(),
        rate: per_second.and_then(RequestRate::new),
        age,
    }
}

fn limited_table(per_second: f64, now: Millis) -> RateTable {
    let mut table = RateTable::new();
    assert!(table.apply(&notice(Some(per_second), 0), now));
    table
}

/// Times of the grants to a dispatcher that always has requests.
fn grants(table: &mut RateTable, from: Millis, until: Millis) -> Vec<Millis> {
    let times = (from..until).step_by(usize::try_from(STEP).unwrap_or(1));
    times
        .filter(|now| table.request_permit(&endpoint(), *now) == PermitDecision::Granted)
        .collect()
}

fn busiest_window(grants: &[Millis]) -> usize {
    let count = |first: &Millis| {
        let in_window = |at: &&Millis| **at >= *first && **at < *first + WINDOW;
        grants.iter().filter(in_window).count()
    };
    grants.iter().map(count).max().unwrap_or(0)
}

#[test]
fn rates_are_finite_and_not_negative() {
    struct Case {
        per_second: f64,
        is_valid: bool,
    }
    let cases = [
        Case {
            per_second: 1.2,
            is_valid: true,
        },
        Case {
            per_second: 0.0,
            is_valid: true,
        },
        Case {
            per_second: -1.0,
            is_valid: false,
        },
        Case {
            per_second: f64::NAN,
            is_valid: false,
        },
        Case {
            per_second: f64::INFINITY,
            is_valid: false,
        },
    ];
    for case in cases {
        let rate = rate(case.per_second);
        assert_eq!(rate.is_some(), case.is_valid, "{}", case.per_second);
    }
}

#[test]
fn grants_keep_the_pace() {
    struct Case {
        name: &'static str,
        per_second: f64,
        max_grants: usize,
        min_grants: usize,
    }
    let cases = [
        Case {
            name: "fraction",
            per_second: 1.2,
            max_grants: 5,
            min_grants: 4,
        },
        Case {
            name: "many",
            per_second: 50.0,
            max_grants: 201,
            min_grants: 190,
        },
        Case {
            name: "zero still gets a request in two seconds",
            per_second: 0.0,
            max_grants: 3,
            min_grants: 2,
        },
    ];
    for case in cases {
        let mut table = limited_table(case.per_second, 0);
        let grants = grants(&mut table, 0, 30_000);
        let busiest = busiest_window(&grants);
        let expected = case.min_grants..=case.max_grants;
        assert!(expected.contains(&busiest), "{}: {busiest}", case.name);
    }
}

#[test]
fn dispatchers_that_decide_at_once_keep_the_limit_together() {
    let mut all = Vec::new();
    for decided_for in [3, 2, 4] {
        let mut table = RateTable::new();
        table.set_share(decided_for, 9);
        table.apply(&notice(Some(2.0), 0), 0);
        all.extend(grants(&mut table, 0, 20_000));
    }
    all.sort_unstable();
    let busiest = busiest_window(&all);
    // Each dispatcher may have one grant at the edge of a window.
    assert!((7..=11).contains(&busiest), "{busiest}");
}

#[test]
fn successor_starts_without_a_saved_grant() {
    let mut first = limited_table(1.0, 0);
    let mut all = grants(&mut first, 0, 10_000);
    let mut successor = RateTable::new();
    for known in first.notices(10_000) {
        successor.apply(&known, 10_000);
    }
    all.extend(grants(&mut successor, 10_000, 20_000));
    assert!(busiest_window(&all) <= 5, "{all:?}");
}

#[test]
fn idle_endpoint_saves_up_no_grants() {
    let mut table = limited_table(2.0, 0);
    let late = grants(&mut table, 60_000, 64_000);
    assert!(late.len() <= 8, "{late:?}");
}

#[test]
fn changing_limit_is_followed() {
    let mut table = limited_table(4.0, 0);
    let mut all = grants(&mut table, 0, 4_000);
    assert!((15..=16).contains(&all.len()), "{all:?}");
    for step in 0..40_u32 {
        let now = 4_000 + Millis::from(step) * 100;
        table.apply(&notice(Some(4.0 - f64::from(step) * 0.09), 0), now);
        all.extend(grants(&mut table, now, now + 100));
    }
    assert!(busiest_window(&all) <= 17, "{all:?}");
    let slow = grants(&mut table, 8_000, 12_000);
    assert!((1..=3).contains(&slow.len()), "{slow:?}");
}

#[test]
fn newest_notice_counts() {
    struct Case {
        name: &'static str,
        notice: RateNotice,
        rate: Option<RequestRate>,
    }
    let cases = [
        Case {
            name: "older limit",
            notice: notice(Some(9.0), 6_000),
            rate: rate(2.0),
        },
        Case {
            name: "older end",
            notice: notice(None, 6_000),
            rate: rate(2.0),
        },
        Case {
            name: "newer limit",
            notice: notice(Some(3.0), 0),
            rate: rate(3.0),
        },
        Case {
            name: "newer end",
            notice: notice(None, 0),
            rate: None,
        },
        Case {
            name: "late report of the limit before the end",
            notice: notice(Some(3.0), 1_000),
            rate: None,
        },
    ];
    let mut table = limited_table(2.0, 5_000);
    for case in cases {
        table.apply(&case.notice, 10_000);
        assert_eq!(table.rate(&endpoint(), 10_000), case.rate, "{}", case.name);
    }
    assert_eq!(table.wait_ms(&endpoint(), 10_000), 0);
}
