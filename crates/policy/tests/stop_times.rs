//! Phases of a stop, and estimates of durations.

use jackdawpoint_policy::duration_estimate::DurationEstimate;
use jackdawpoint_policy::stop_times::{
    DEFAULT_ADMISSION_SHARE, LARGEST_ADMISSION_SHARE, StopTimes,
};

/// Guards against admitting requests until the process ends.
#[test]
fn admission_ends_well_before_the_answers() {
    for grace_period in [500, 3_000, 8_000, 30_000] {
        for share in [0.01, DEFAULT_ADMISSION_SHARE, LARGEST_ADMISSION_SHARE] {
            let times = StopTimes::new(grace_period, share);
            assert!(times.admission < times.answers, "{grace_period}: {times:?}");
            assert!(times.answers < times.exit, "{grace_period}: {times:?}");
            assert!(times.exit < grace_period, "{grace_period}: {times:?}");
        }
    }
    let times = StopTimes::new(8_000, DEFAULT_ADMISSION_SHARE);
    assert_eq!((times.admission, times.answers), (2_800, 7_440));
}

struct EstimateCase {
    name: &'static str,
    durations: &'static [u64],
    /// Range in which the upper estimate lies.
    upper: std::ops::RangeInclusive<u64>,
}

#[test]
fn estimates_follow_durations_and_their_spread() {
    let cases = [
        EstimateCase {
            name: "one duration",
            durations: &[1_000],
            upper: 1_000..=2_000,
        },
        EstimateCase {
            name: "steady durations",
            durations: &[1_000; 20],
            upper: 1_000..=1_050,
        },
        EstimateCase {
            name: "durations that have grown",
            durations: &[100, 100, 2_000, 2_000, 2_000, 2_000, 2_000, 2_000],
            upper: 2_000..=4_000,
        },
    ];
    for case in cases {
        let mut estimate = DurationEstimate::new(case.durations[0]);
        for took in &case.durations[1..] {
            estimate.record(*took);
        }
        let upper = estimate.upper();
        assert!(case.upper.contains(&upper), "{}: {upper}", case.name);
    }
}
