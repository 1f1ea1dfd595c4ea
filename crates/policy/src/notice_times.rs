//! How the time is spent in which an instance notices that a connection to the platform's store has
//! fallen silent, or that the store is back.
//!
//! The platform states how long an instance may take until it counts as in touch with the store again.
//! The waits on each way add up, so they are set here together.

use crate::ids::Millis;
use crate::retry_delay::DelayRange;

/// Pause between two watches, so that one call returns many changes when changes are frequent: less
/// than a quarter of the two seconds within which a change must take effect.
pub const WATCH_PAUSE: Millis = 450;

/// Time added to the length of a watch, within which its whole answer must have arrived. A slow store
/// answers in about 240 ms.
pub const WATCH_MARGIN: Millis = 500;

/// The same for a watch that is not to wait. Longer answers than fit into this time are replaced by a read
/// of all entries.
pub const IMMEDIATE_WATCH_MARGIN: Millis = 350;

/// Time after which a read of entries whose answer has not begun counts as lost, connecting included.
pub const READ_LIMIT: Millis = 1_000;

/// Longest wait of a reader's own watch for a change.
pub const READER_WATCH_WAIT: Millis = 450;

/// Longest wait of a reader for a change when a follower asks.
pub const READER_WAIT: Millis = 800;

/// Time added to that for the transfer of the reader's answer.
pub const READER_MARGIN: Millis = 400;

/// Pause between two rounds of requests to readers that decline.
pub const READER_ROUND_PAUSE: Millis = 300;

/// Interval between renewals of a lease.
pub const RENEWAL_PERIOD: Millis = 1_500;

/// Time to live of a lease, where the store grants one that short: three renewal periods.
pub const LEASE_TIME: Millis = 3 * RENEWAL_PERIOD;

/// Time after which a renewal counts as lost, connecting included.
pub const RENEWAL_LIMIT: Millis = 1_000;

/// Longest wait before a lost renewal is repeated for the first time.
pub const RENEWAL_REPEAT_WAIT: Millis = 900;

/// Delays of a part that looks for the end of an outage for others.
pub const PROBER_DELAY: DelayRange = DelayRange {
    shortest: 150,
    longest: 300,
};

/// Delay of a follower's first own call after its readers have begun to decline: the store may turn
/// just the readers away.
pub const FOLLOWER_DELAY: DelayRange = DelayRange {
    shortest: 300,
    longest: 600,
};

/// Time in which a calm store answers on a new connection, and a reader on an open one; with room for
/// an instance that has used up its CPU quota.
const ANSWER_TIME: Millis = 300;

/// Share of the stated time that is left over, in percent, since timers fire late.
const RESERVE_PERCENT: Millis = 5;

/// Shortest wait of a watch.
const SHORTEST_WATCH: Millis = 100;

/// The longest that one way of noticing may take, step by step, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoticeWay {
    /// What is noticed, and by whom.
    pub name: &'static str,
    /// The waits that follow each other.
    pub steps: Vec<Millis>,
}

impl NoticeWay {
    fn new(name: &'static str, steps: &[Millis]) -> Self {
        Self {
            name,
            steps: steps.to_vec(),
        }
    }

    /// The longest that the way takes.
    #[must_use]
    pub fn total(&self) -> Millis {
        self.steps.iter().sum()
    }
}

/// The waits of an instance that must notice a silence, or a return, within a stated time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoticeTimes {
    bound: Millis,
    watch_wait: Millis,
}

impl NoticeTimes {
    /// Divides `bound` milliseconds: watches wait as long as the other steps leave.
    #[must_use]
    pub fn new(bound: Millis) -> Self {
        let reserve = bound * RESERVE_PERCENT / 100;
        let other_steps = Self::direct_silence(0).total() + reserve;
        Self {
            bound,
            watch_wait: bound.saturating_sub(other_steps).max(SHORTEST_WATCH),
        }
    }

    /// Longest wait of a watch for a change.
    #[must_use]
    pub fn watch_wait(&self) -> Millis {
        self.watch_wait
    }

    /// The way on which a follower learns of a change while the store turns its readers away. They count
    /// as in touch all the while, so that it has the time in which a change must take effect.
    #[must_use]
    pub fn readers_turned_away() -> NoticeWay {
        NoticeWay::new(
            "change, readers turned away",
            &[
                WATCH_PAUSE,
                FOLLOWER_DELAY.longest,
                READER_ROUND_PAUSE,
                ANSWER_TIME,
            ],
        )
    }

    /// The way on which the renewal of a lease is lost on a silent connection and repeated on a new one.
    /// The lease must outlive it.
    #[must_use]
    pub fn lease_renewal() -> NoticeWay {
        NoticeWay::new(
            "silence, lease renewal",
            &[
                RENEWAL_PERIOD,
                RENEWAL_LIMIT,
                RENEWAL_REPEAT_WAIT,
                ANSWER_TIME,
            ],
        )
    }

    /// Whether the longest way takes less than the stated time.
    #[must_use]
    pub fn keeps_bound(&self) -> bool {
        self.ways().iter().all(|way| way.total() < self.bound)
    }

    /// All ways on which an instance notices a silence or a return, until it has read the changes.
    #[must_use]
    pub fn ways(&self) -> Vec<NoticeWay> {
        let reader_silence = Self::direct_silence(READER_WATCH_WAIT).total();
        let direct_return = NoticeWay::new(
            "return, direct",
            &[
                READ_LIMIT,
                PROBER_DELAY.longest,
                // The changes may be too many for one answer, so that all entries are read.
                IMMEDIATE_WATCH_MARGIN,
                ANSWER_TIME,
            ],
        );
        let follower_return = NoticeWay::new(
            "return, by a reader",
            &[
                direct_return.total(),
                READER_ROUND_PAUSE,
                ANSWER_TIME,
                // The follower reads all entries.
                ANSWER_TIME,
            ],
        );
        vec![
            Self::direct_silence(self.watch_wait),
            NoticeWay::new(
                "silence of the reader's connection",
                &[
                    reader_silence,
                    READER_ROUND_PAUSE,
                    ANSWER_TIME,
                    // The follower reads all entries.
                    ANSWER_TIME,
                ],
            ),
            NoticeWay::new(
                "silence of the connection to the reader",
                &[
                    WATCH_PAUSE,
                    READER_WAIT,
                    READER_MARGIN,
                    ANSWER_TIME,
                    WATCH_MARGIN,
                    ANSWER_TIME,
                ],
            ),
            direct_return,
            follower_return,
        ]
    }

    /// The watch is lost, and repeated at once on a new connection; its history may be lost, or too long
    /// for one answer.
    fn direct_silence(watch_wait: Millis) -> NoticeWay {
        NoticeWay::new(
            "silence, direct",
            &[
                WATCH_PAUSE,
                watch_wait,
                WATCH_MARGIN,
                IMMEDIATE_WATCH_MARGIN,
                ANSWER_TIME,
            ],
        )
    }
}
