//! Entries that are read again after the store came back from a copy: some are older than what was
//! known.

use std::net::{Ipv4Addr, SocketAddr};

use jackdawpoint_relay::EndpointView;
use policy::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget, StartPhase};
use policy::ids::{DomainId, EndpointId, PoolId};

/// When the store came back, and a time at which those that live have written again, in milliseconds.
const RESTORED_AT: u64 = 1_000;
const REWRITTEN_AT: u64 = RESTORED_AT + 2_000;

/// What was known of the endpoint before.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    Ready,
    Draining,
    Removed,
}

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

struct Case {
    name: &'static str,
    known: Known,
    /// Start in the entry before, and in the one that is read.
    starts: (Option<u64>, Option<u64>),
    is_restored: bool,
    /// States at the return and when those that live have written again.
    states: [EndpointState; 2],
    is_doubted: bool,
}

fn cases() -> Vec<Case> {
    use EndpointState::{Leaving, Ready};
    use Known::{Draining, Removed};
    let case = |name, known, starts, is_restored, states| Case {
        name,
        known,
        starts,
        is_restored,
        states,
        is_doubted: states == [Leaving, Ready],
    };
    let same = (Some(1), Some(1));
    let other = (Some(1), Some(2));
    let none = (None, None);
    vec![
        case("ready", Known::Ready, same, true, [Ready, Ready]),
        case("draining", Draining, same, true, [Leaving, Leaving]),
        case("no return", Draining, same, false, [Leaving, Leaving]),
        case("another start", Draining, other, true, [Ready, Ready]),
        case("no start", Draining, none, true, [Leaving, Ready]),
        case("no start, no return", Draining, none, false, [Ready, Ready]),
        case("removed", Removed, same, true, [Leaving, Ready]),
        case("removed, no return", Removed, same, false, [Ready, Ready]),
        case(
            "removed, another start",
            Removed,
            other,
            true,
            [Ready, Ready],
        ),
    ]
}

#[test]
fn entries_of_a_copy_do_not_bring_departed_endpoints_back() {
    use EndpointState::{Leaving, Ready};
    let pool = PoolId::new("pool");
    let endpoint = EndpointId::new("a");
    for case in cases() {
        let mut view = EndpointView::new();
        let (before, after) = case.starts;
        view.put_started(pool.clone(), info(Ready), before, 0);
        match case.known {
            Known::Ready => {}
            Known::Draining => {
                view.put_started(pool.clone(), info(Leaving), before, 0);
            }
            Known::Removed => {
                view.remove(&endpoint, 0);
            }
        }
        if case.is_restored {
            view.store_restored(RESTORED_AT);
        }
        view.put_started(pool.clone(), info(Ready), after, RESTORED_AT);
        let state = |view: &EndpointView| view.in_pool(&pool).first().map(|info| info.state);
        assert_eq!(state(&view), Some(case.states[0]), "{}", case.name);
        assert_eq!(view.is_doubted(&endpoint), case.is_doubted, "{}", case.name);
        view.expire(REWRITTEN_AT);
        assert_eq!(state(&view), Some(case.states[1]), "{}, later", case.name);
        assert!(!view.is_doubted(&endpoint), "{}, later", case.name);
    }
}

#[test]
fn endpoint_that_the_copy_lacks_is_kept_until_it_can_be_back() {
    let pool = PoolId::new("pool");
    let endpoint = EndpointId::new("a");
    let mut view = EndpointView::new();
    view.put_started(pool, info(EndpointState::Ready), Some(1), 0);
    view.store_restored(RESTORED_AT);
    view.remove(&endpoint, RESTORED_AT);
    assert!(!view.is_departed(&endpoint));
    view.expire(REWRITTEN_AT - 1);
    assert!(!view.is_departed(&endpoint));
    view.expire(REWRITTEN_AT);
    assert!(view.is_departed(&endpoint));
}
