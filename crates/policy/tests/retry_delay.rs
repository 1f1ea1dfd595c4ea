//! Delays between attempts to reach a service that a large fleet shares.

use jackdawpoint_policy::ids::Millis;
use jackdawpoint_policy::retry_delay::{DelayRange, RetryDelay};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Delays of a caller that tries the service only in case nobody tells it of the return.
const RANGE: DelayRange = DelayRange {
    shortest: 300,
    longest: 4_000,
};

/// Times of the attempts of one caller from the start of an outage until `until`.
fn attempts(seed: u64, until: Millis) -> Vec<Millis> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut delays = RetryDelay::new(RANGE);
    let mut at = 0;
    let mut attempts = Vec::new();
    while at < until {
        attempts.push(at);
        at += delays.next(rng.random());
    }
    attempts
}

struct OutageCase {
    name: &'static str,
    callers: u64,
    /// Length of the outage, in milliseconds.
    length: Millis,
    /// Most attempts of all callers together for each second of the outage.
    most_per_second: usize,
}

#[test]
fn attempts_of_a_fleet_are_few_during_a_long_outage() {
    let cases = [
        OutageCase {
            name: "a small fleet",
            callers: 9,
            length: 8_000,
            most_per_second: 9,
        },
        OutageCase {
            name: "two hundred instances",
            callers: 195,
            length: 8_000,
            most_per_second: 195,
        },
        OutageCase {
            name: "two hundred instances, a long outage",
            callers: 195,
            length: 60_000,
            most_per_second: 130,
        },
    ];
    for case in cases {
        let attempts: usize = (0..case.callers)
            .map(|seed| attempts(seed, case.length).len())
            .sum();
        let seconds = usize::try_from(case.length / 1_000).expect("a short outage");
        let allowed = case.most_per_second * seconds;
        assert!(
            attempts <= allowed,
            "{}: {attempts} attempts, at most {allowed} allowed",
            case.name
        );
    }
}

#[test]
fn attempts_after_an_outage_are_spread() {
    let returned_at = 8_000;
    let mut first_attempts: Vec<Millis> = (0..195)
        .filter_map(|seed| {
            let attempts = attempts(seed, 20_000);
            attempts.into_iter().find(|at| *at >= returned_at)
        })
        .collect();
    first_attempts.sort_unstable();
    assert_eq!(first_attempts.len(), 195);
    let latest = first_attempts[194] - returned_at;
    assert!(
        latest <= RANGE.longest,
        "the last caller is back after {latest} ms"
    );
    let busiest = first_attempts
        .iter()
        .map(|start| {
            let window = *start..*start + 100;
            first_attempts
                .iter()
                .filter(|at| window.contains(at))
                .count()
        })
        .max();
    assert!(busiest <= Some(195 / 5), "{busiest:?} attempts in 100 ms");
}

#[test]
fn delays_grow_within_their_range_and_start_anew_after_a_success() {
    let mut delays = RetryDelay::new(RANGE);
    for draw in [0.0, 1.0, 1.0, 1.0, 1.0] {
        let delay = delays.next(draw);
        assert!((RANGE.shortest..=RANGE.longest).contains(&delay), "{delay}");
    }
    assert_eq!(delays.next(1.0), RANGE.longest);
    delays.reset();
    assert!(delays.next(1.0) <= 3 * RANGE.shortest);
}
