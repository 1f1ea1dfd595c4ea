//! Endpoints that state a retry-after.

use jackdawpoint_policy::backoff::BackoffTable;
use jackdawpoint_policy::ids::{EndpointId, Millis};

#[test]
fn endpoint_is_held_until_the_latest_stated_time() {
    let mut table = BackoffTable::new();
    let endpoint = EndpointId::new("one");
    table.record(&endpoint, 2_000, 0.0, 0);
    table.record(&endpoint, 500, 0.0, 100);
    assert!(table.holds(&endpoint, 1_999));
    assert!(!table.holds(&endpoint, 2_000));
    assert!(!table.holds(&EndpointId::new("two"), 1));
}

#[test]
fn shortest_wait_is_that_of_a_usable_endpoint() {
    let mut table = BackoffTable::new();
    let [one, two] = ["one", "two"].map(EndpointId::new);
    table.record(&one, 2_000, 0.0, 0);
    table.record(&two, 3_000, 0.0, 0);
    assert_eq!(table.shortest_wait(|_| true, 500), Some(1_500));
    assert_eq!(
        table.shortest_wait(|endpoint| *endpoint == two, 500),
        Some(2_500)
    );
    assert_eq!(table.shortest_wait(|_| true, 3_000), None);
    assert_eq!(table.held(2_500), [two]);
}

#[test]
fn absurd_time_is_bounded() {
    let mut table = BackoffTable::new();
    let endpoint = EndpointId::new("one");
    assert_eq!(table.record(&endpoint, u64::MAX, 0.0, 0), 600_000);
    assert!(!table.holds(&endpoint, 600_000));
}

#[test]
fn instances_that_were_refused_together_return_apart() {
    struct Case {
        retry_after: Millis,
        draw: f64,
        held: Millis,
    }
    let cases = [
        Case {
            retry_after: 3_000,
            draw: 0.0,
            held: 3_000,
        },
        Case {
            retry_after: 3_000,
            draw: 0.5,
            held: 3_375,
        },
        Case {
            retry_after: 3_000,
            draw: 1.0,
            held: 3_750,
        },
        Case {
            retry_after: 60_000,
            draw: 1.0,
            held: 62_000,
        },
        Case {
            retry_after: 0,
            draw: 1.0,
            held: 0,
        },
    ];
    for case in cases {
        let mut table = BackoffTable::new();
        let endpoint = EndpointId::new("one");
        let held = table.record(&endpoint, case.retry_after, case.draw, 100);
        assert_eq!(held, case.held, "{} ms, {}", case.retry_after, case.draw);
    }
}
