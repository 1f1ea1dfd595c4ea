//! The waits in which an instance notices a silent store, or its return, add up to less than the time
//! that the platform states.

use jackdawpoint_policy::notice_times::{
    IMMEDIATE_WATCH_MARGIN, LEASE_TIME, NoticeTimes, READER_ROUND_PAUSE, READER_WATCH_WAIT,
    WATCH_MARGIN, WATCH_PAUSE,
};

struct Case {
    /// Stated time, in milliseconds.
    bound: u64,
    is_kept: bool,
}

#[test]
fn waits_on_every_way_add_up_to_less_than_the_stated_time() {
    let case = |bound, is_kept| Case { bound, is_kept };
    let cases = [
        case(3_000, true),
        case(3_333, true),
        case(4_000, true),
        case(5_000, true),
        case(60_000, true),
        // Too short for the waits that do not depend on it.
        case(1, false),
        case(1_500, false),
    ];
    for case in cases {
        let times = NoticeTimes::new(case.bound);
        assert!(times.watch_wait() > 0, "{}", case.bound);
        assert_eq!(times.keeps_bound(), case.is_kept, "{}", case.bound);
        for way in times.ways() {
            let total = way.total();
            assert_eq!(total, way.steps.iter().sum::<u64>(), "{}", way.name);
            assert!(
                !case.is_kept || total < case.bound,
                "{}: {total} of {} ms: {:?}",
                way.name,
                case.bound,
                way.steps
            );
        }
    }
}

/// Shortest time on the platform's pages in which a change must take effect, in milliseconds.
const CHANGE_TIME: u64 = 2_000;

#[test]
fn follower_whose_readers_are_turned_away_learns_of_a_change_in_time() {
    let way = NoticeTimes::readers_turned_away();
    assert!(way.total() < CHANGE_TIME, "{:?}", way.steps);
}

#[test]
fn lease_outlives_the_renewal_that_is_lost_on_a_silent_connection() {
    let way = NoticeTimes::lease_renewal();
    assert!(way.total() < LEASE_TIME, "{:?}", way.steps);
}

#[test]
fn watches_wait_longer_where_more_time_is_stated() {
    let wait = |bound| NoticeTimes::new(bound).watch_wait();
    assert!(wait(3_000) < wait(4_000) && wait(4_000) < wait(5_000));
}

/// Time in which a calm store answers on a new connection, in milliseconds.
const ANSWER_TIME: u64 = 300;

/// A silence, and then a backlog that is not read whole within the margin of a watch: each is allowed for
/// alone.
#[test]
fn silence_followed_by_a_backlog_is_over_within_the_stated_time() {
    for bound in [3_000, 4_000] {
        let watch_wait = NoticeTimes::new(bound).watch_wait();
        // The first watch is lost, the second one takes its whole time, then all entries are read.
        let direct = [
            WATCH_PAUSE,
            watch_wait,
            WATCH_MARGIN,
            IMMEDIATE_WATCH_MARGIN,
            ANSWER_TIME,
        ];
        // The follower learns that its history is lost, and reads all entries too.
        let by_a_reader = [
            WATCH_PAUSE,
            READER_WATCH_WAIT,
            WATCH_MARGIN,
            IMMEDIATE_WATCH_MARGIN,
            ANSWER_TIME,
            READER_ROUND_PAUSE,
            ANSWER_TIME,
            ANSWER_TIME,
        ];
        let totals = [direct.iter().sum::<u64>(), by_a_reader.iter().sum()];
        assert!(
            totals.iter().all(|total| *total < bound),
            "{totals:?} of {bound} ms"
        );
    }
}
