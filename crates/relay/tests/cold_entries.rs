//! How long endpoints stay cold, and which of them have just started, as the view learns it.

use std::net::{Ipv4Addr, SocketAddr};

use jackdawpoint_relay::{ColdSource, ColdTime, EndpointView, StartStatement};
use policy::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget, StartPhase};
use policy::ids::{DomainId, EndpointId, Millis, PoolId};

/// Time for which endpoints of the service are cold after their start.
const COLD_TIME: Millis = 3_000;

/// When the first snapshot has been read.
const READ_AT: Millis = 1_000;

fn info(state: EndpointState) -> EndpointInfo {
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new("a"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        },
        domain: DomainId::new("near"),
        state,
        started: StartPhase::Settled,
    }
}

fn pool() -> PoolId {
    PoolId::new("pool")
}

#[derive(Clone, Copy)]
enum Step {
    /// An entry with this start and cold time; the last number stands for the rest of the entry.
    Entry(Option<u64>, Option<Millis>, u64),
    Removed,
    /// An answer that says how much longer the endpoint stays cold.
    Answer(Millis),
    Leaving,
}

struct Case {
    name: &'static str,
    /// Before the first snapshot has been read.
    before: &'static [Step],
    /// At 10,000 ms, 11,000 ms and so on.
    later: &'static [Step],
    cold_time: Option<Millis>,
    until: Option<(Millis, ColdSource)>,
    started: StartPhase,
}

fn apply(view: &mut EndpointView, step: Step, now: Millis) {
    let endpoint = EndpointId::new("a");
    let put = |view: &mut EndpointView, state, statement| {
        view.put_entry(pool(), info(state), statement, now)
    };
    let _ = match step {
        Step::Entry(started_at, cold_left, entry_hash) => {
            let statement = StartStatement {
                started_at,
                cold_left,
                entry_hash,
            };
            put(view, EndpointState::Ready, statement)
        }
        Step::Removed => view.remove(&endpoint, now),
        Step::Answer(left) => view.hear_cold(&endpoint, left, now),
        Step::Leaving => view.mark_leaving(&endpoint),
    };
}

const CASES: &[Case] = &[
    Case {
        name: "entry of the first snapshot says so",
        before: &[Step::Entry(Some(1), Some(30_000), 1)],
        later: &[],
        cold_time: Some(COLD_TIME),
        until: Some((30_000, ColdSource::Entry)),
        started: StartPhase::Settled,
    },
    Case {
        name: "entry of the first snapshot says nothing",
        before: &[Step::Entry(Some(1), None, 1)],
        later: &[],
        cold_time: Some(COLD_TIME),
        until: None,
        started: StartPhase::Settled,
    },
    Case {
        name: "read again unchanged",
        before: &[Step::Entry(Some(1), Some(30_000), 1)],
        later: &[Step::Entry(Some(1), Some(30_000), 1)],
        cold_time: Some(COLD_TIME),
        until: Some((30_000, ColdSource::Entry)),
        started: StartPhase::Settled,
    },
    Case {
        name: "written again with the same time",
        before: &[Step::Entry(Some(1), Some(3_000), 1)],
        later: &[Step::Entry(Some(1), Some(3_000), 2)],
        cold_time: Some(COLD_TIME),
        until: Some((13_000, ColdSource::Entry)),
        started: StartPhase::Settled,
    },
    Case {
        name: "a later entry does not shorten it",
        before: &[],
        later: &[
            Step::Entry(Some(1), Some(9_000), 1),
            Step::Entry(Some(1), Some(100), 2),
        ],
        cold_time: Some(COLD_TIME),
        until: Some((19_000, ColdSource::Entry)),
        started: StartPhase::StartedAt(10_000),
    },
    Case {
        name: "appears without a statement",
        before: &[],
        later: &[Step::Entry(Some(1), None, 1)],
        cold_time: Some(COLD_TIME),
        until: Some((13_000, ColdSource::Start)),
        started: StartPhase::StartedAt(10_000),
    },
    Case {
        name: "appears and says that it is warm",
        before: &[],
        later: &[Step::Entry(Some(1), Some(0), 1)],
        cold_time: Some(COLD_TIME),
        until: None,
        started: StartPhase::StartedAt(10_000),
    },
    Case {
        name: "starts again under its id, without a statement",
        before: &[Step::Entry(Some(1), Some(0), 1)],
        later: &[Step::Entry(Some(2), None, 2)],
        cold_time: Some(COLD_TIME),
        until: Some((13_000, ColdSource::Start)),
        started: StartPhase::StartedAt(10_000),
    },
    Case {
        name: "comes back in the same start",
        before: &[Step::Entry(Some(1), Some(30_000), 1)],
        later: &[Step::Removed, Step::Entry(Some(1), Some(30_000), 1)],
        cold_time: Some(COLD_TIME),
        until: Some((30_000, ColdSource::Entry)),
        started: StartPhase::Settled,
    },
    Case {
        name: "comes back without a start",
        before: &[Step::Entry(None, None, 1)],
        later: &[Step::Removed, Step::Entry(None, None, 1)],
        cold_time: Some(COLD_TIME),
        until: Some((14_000, ColdSource::Start)),
        started: StartPhase::StartedAt(11_000),
    },
    Case {
        name: "no time configured and none stated",
        before: &[],
        later: &[Step::Entry(Some(1), None, 1)],
        cold_time: None,
        until: None,
        started: StartPhase::StartedAt(10_000),
    },
    Case {
        name: "answers prolong it and do not end it",
        before: &[Step::Entry(Some(1), Some(0), 1)],
        later: &[Step::Answer(5_000), Step::Answer(0)],
        cold_time: Some(COLD_TIME),
        until: Some((15_000, ColdSource::Answer)),
        started: StartPhase::Settled,
    },
    Case {
        name: "turns cold while nothing may be sent to it",
        before: &[Step::Entry(Some(1), Some(0), 1)],
        later: &[Step::Leaving, Step::Entry(Some(1), Some(5_000), 2)],
        cold_time: Some(COLD_TIME),
        until: Some((16_000, ColdSource::Entry)),
        started: StartPhase::Settled,
    },
];

/// Guards against times that begin anew with an unchanged entry, starts that are not noticed, and
/// endpoints of the first snapshot that are taken for starting ones.
#[test]
fn cold_time_counts_from_the_first_reading_of_a_changed_entry() {
    for case in CASES {
        let mut view = EndpointView::new();
        for step in case.before {
            apply(&mut view, *step, 0);
        }
        view.all_read();
        let mut now = READ_AT;
        for (step, at) in case.later.iter().zip((10_000..).step_by(1_000)) {
            now = at;
            apply(&mut view, *step, now);
        }
        let expected: Vec<(EndpointId, ColdTime)> = case
            .until
            .map(|(until, source)| (EndpointId::new("a"), ColdTime { until, source }))
            .into_iter()
            .collect();
        let cold = view.cold_in_pool(&pool(), case.cold_time, now);
        assert_eq!(cold, expected, "{}", case.name);
        let started = view.in_pool(&pool()).first().map(|info| info.started);
        assert_eq!(started, Some(case.started), "{}", case.name);
    }
}
