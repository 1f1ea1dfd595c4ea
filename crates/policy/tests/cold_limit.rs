//! The bound on the requests that cold endpoints get.

use jackdawpoint_policy::cold_limit::{ColdBounds, ColdLimit};
use jackdawpoint_policy::ids::{EndpointId, Millis};
use jackdawpoint_policy::rate_limit::{PermitDecision, RateNotice, RateTable, RequestRate};

/// Requests a second that the endpoint tolerates, and the time for which it is cold.
const TOLERATED: f64 = 23.0;
const COLD_TIME: Millis = 3_000;

/// Window of the bound, in milliseconds.
const WINDOW: Millis = 1_000;

/// Interval of placement rounds, in milliseconds.
const ROUND: usize = 15;

fn endpoint() -> EndpointId {
    EndpointId::new("one")
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("the rate is valid")
}

/// Requests that may arrive in one second.
fn allowed(bounds: ColdBounds) -> f64 {
    TOLERATED * bounds.over + bounds.slack
}

fn limit(until: Millis) -> ColdLimit {
    ColdLimit {
        rate: ColdBounds::default().pace(rate(TOLERATED)),
        until,
    }
}

fn table(decided_for: usize, instances: usize) -> RateTable {
    let mut table = RateTable::new();
    table.set_share(decided_for, instances);
    table
}

/// Times of the grants to a dispatcher that always has requests.
fn grants(table: &mut RateTable, from: Millis, until: Millis) -> Vec<Millis> {
    let times = (from..until).step_by(ROUND);
    times
        .filter(|now| table.request_permit(&endpoint(), *now) == PermitDecision::Granted)
        .collect()
}

#[allow(clippy::cast_precision_loss)]
fn busiest_window(grants: &[Millis]) -> f64 {
    let count = |first: &Millis| {
        let in_window = |at: &&Millis| **at >= *first && **at < *first + WINDOW;
        grants.iter().filter(in_window).count()
    };
    grants.iter().map(count).max().unwrap_or(0) as f64
}

/// Guards against paces with which several dispatchers exceed the bound, or which waste the rate of one.
#[test]
fn pace_is_the_tolerated_rate_unless_the_bound_is_too_tight_for_two_dispatchers() {
    struct Case {
        name: &'static str,
        bounds: ColdBounds,
        pace: f64,
    }
    let cases = [
        Case {
            name: "bounds of the platform",
            bounds: ColdBounds::default(),
            pace: 21.3,
        },
        Case {
            name: "wide bounds",
            bounds: ColdBounds {
                over: 2.0,
                slack: 5.0,
            },
            pace: TOLERATED,
        },
        Case {
            name: "no allowance",
            bounds: ColdBounds {
                over: 0.0,
                slack: 0.0,
            },
            pace: TOLERATED / 4.0,
        },
    ];
    for case in cases {
        let pace = case.bounds.pace(rate(TOLERATED)).per_second();
        assert!((pace - case.pace).abs() < 0.01, "{}: {pace}", case.name);
    }
}

/// Guards against rounds that lose a part of the rate, and against limits that outlast their time.
#[test]
fn cold_endpoint_gets_its_pace_until_it_is_warm() {
    let mut table = table(9, 9);
    table.set_cold(&endpoint(), Some(limit(COLD_TIME)), 0);
    let cold = grants(&mut table, 0, COLD_TIME);
    assert!(busiest_window(&cold) <= 23.0, "{cold:?}");
    assert!(cold.len() >= 61, "{}", cold.len());
    assert!(table.rate(&endpoint(), COLD_TIME - 1).is_some());
    assert_eq!(table.rate(&endpoint(), COLD_TIME), None);
    let warm = grants(&mut table, COLD_TIME, COLD_TIME + 300);
    assert_eq!(warm.len(), 20);
}

struct SumCase {
    name: &'static str,
    /// Shares of the dispatchers, in ninths, before and after a change after a second.
    before: &'static [usize],
    after: &'static [usize],
}

/// Guards against sums of dispatchers beyond the bound: after a partition, and when a successor begins.
#[test]
fn dispatchers_that_decide_at_once_keep_the_bound_together() {
    let cases = [
        SumCase {
            name: "each decides for a failure domain",
            before: &[3, 3, 3],
            after: &[3, 3, 3],
        },
        SumCase {
            name: "sessions across a new cut have not expired",
            before: &[9],
            after: &[9, 6],
        },
        SumCase {
            name: "shares change as instances move to a successor",
            before: &[9, 1],
            after: &[1, 9],
        },
        SumCase {
            name: "instances alone",
            before: &[1; 9],
            after: &[1; 9],
        },
    ];
    check_sums(&cases);
}

/// Guards against first grants of many instances, each alone, at the same moment.
#[test]
fn many_instances_alone_do_not_grant_in_step() {
    let instances = 60;
    let mut all = Vec::new();
    for index in 0..instances {
        let mut table = table(1, instances);
        table.set_phase(f64::from(u32::try_from(index).unwrap_or(0)) / 60.0);
        table.set_cold(&endpoint(), Some(limit(20_000)), 0);
        all.extend(grants(&mut table, 0, 20_000));
    }
    all.sort_unstable();
    let busiest = busiest_window(&all);
    assert!((20.0..=24.0).contains(&busiest), "{busiest}");
}

fn check_sums(cases: &[SumCase]) {
    for case in cases {
        let change_at = 1_000;
        let mut tables: Vec<RateTable> = Vec::new();
        let mut all = Vec::new();
        for share in case.before {
            let mut table = table(*share, 9);
            table.set_cold(&endpoint(), Some(limit(COLD_TIME)), 0);
            all.extend(grants(&mut table, 0, change_at));
            tables.push(table);
        }
        for (index, share) in case.after.iter().enumerate() {
            if index == tables.len() {
                let mut successor = RateTable::new();
                successor.set_cold(&endpoint(), Some(limit(COLD_TIME)), change_at);
                tables.push(successor);
            }
            tables[index].set_share(*share, 9);
            all.extend(grants(&mut tables[index], change_at, COLD_TIME));
        }
        all.sort_unstable();
        let busiest = busiest_window(&all);
        let most = allowed(ColdBounds::default());
        assert!(busiest <= most, "{}: {busiest} of {most}", case.name);
        assert!(busiest >= 17.0, "{}: {busiest}", case.name);
    }
}

/// Guards against a burst on an endpoint that turns cold with requests already on their way.
#[test]
fn endpoint_that_turns_cold_while_loaded_gets_no_burst() {
    struct Case {
        name: &'static str,
        /// Grants before the endpoint turns cold at 5,000 ms.
        loaded: Vec<Millis>,
        /// Least grants in the three seconds after that.
        least: usize,
    }
    let cases = [
        Case {
            name: "idle before",
            loaded: vec![1_000],
            least: 61,
        },
        Case {
            name: "all slots filled at once",
            loaded: vec![4_900; 12],
            least: 50,
        },
        Case {
            name: "forty a second",
            loaded: (0..5_000).step_by(25).collect(),
            least: 40,
        },
    ];
    for case in cases {
        let mut table = table(9, 9);
        for at in &case.loaded {
            table.take(&endpoint(), *at);
        }
        table.set_cold(&endpoint(), Some(limit(5_000 + COLD_TIME)), 5_000);
        let cold = grants(&mut table, 5_000, 5_000 + COLD_TIME);
        // Up to 100 ms before, requests may still be on their way.
        let under_way = case.loaded.iter().filter(|at| **at >= 4_900);
        let mut all: Vec<Millis> = under_way.copied().chain(cold.iter().copied()).collect();
        all.sort_unstable();
        let busiest = busiest_window(&all);
        assert!(busiest <= 24.0, "{}: {busiest}", case.name);
        assert!(cold.len() >= case.least, "{}: {}", case.name, cold.len());
    }
}

/// Guards against a cold limit that ends like a named one, and against the larger one deciding.
#[test]
fn smaller_of_two_limits_decides_and_answers_end_the_named_one_only() {
    let mut table = table(9, 9);
    table.set_cold(&endpoint(), Some(limit(COLD_TIME)), 0);
    let notice = RateNotice {
        endpoint: endpoint(),
        rate: RequestRate::new(2.0),
        age: 0,
    };
    table.apply(&notice, 0);
    assert_eq!(table.rate(&endpoint(), 0), RequestRate::new(2.0));
    assert_eq!(grants(&mut table, 0, 1_200).len(), 2);
    let ids = [endpoint()];
    assert!(table.expected_wait_ms(ids.iter(), 1, 1_200) > 300.0);
    assert!(table.answered(&endpoint(), 1_100, 1_200));
    let pace = limit(0).rate;
    assert_eq!(table.rate(&endpoint(), 1_200), Some(pace));
    let paced = grants(&mut table, 1_200, 2_200).len();
    assert!((20..=23).contains(&paced), "{paced}");
    assert!(table.notices(2_200).is_empty());
}

/// Guards against a limit that begins anew, with a free grant, whenever an entry prolongs it.
#[test]
fn prolonged_limit_keeps_its_pace() {
    let mut table = table(9, 9);
    let mut all = Vec::new();
    for step in 0..100 {
        let now = step * 30;
        table.set_cold(&endpoint(), Some(limit(now + COLD_TIME)), now);
        all.extend(grants(&mut table, now, now + 30));
    }
    assert!(busiest_window(&all) <= 23.0, "{all:?}");
    table.set_cold(&endpoint(), None, 3_000);
    assert_eq!(table.wait_ms(&endpoint(), 3_000), 0);
}

/// Guards against waits that reach beyond the time at which the endpoints are warm.
#[test]
fn expected_wait_ends_when_the_first_endpoint_is_warm() {
    let mut table = table(1, 9);
    let ids = [endpoint(), EndpointId::new("two")];
    for id in &ids {
        table.set_cold(id, Some(limit(1_000)), 0);
    }
    let near = table.expected_wait_ms(ids.iter(), 0, 0);
    assert!((420.0..=424.0).contains(&near), "{near}");
    let behind_many = table.expected_wait_ms(ids.iter(), 500, 100);
    assert!((behind_many - 900.0).abs() < 1.0, "{behind_many}");
    let warm = EndpointId::new("warm");
    assert!(table.expected_wait_ms(ids.iter().chain([&warm]), 500, 100) < 1.0);
}
