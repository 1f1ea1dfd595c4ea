//! Evacuated failure domains in the view of the endpoints.

use std::net::{Ipv4Addr, SocketAddr};

use jackdawpoint_relay::{EndpointView, ViewChange};
use policy::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget, StartPhase};
use policy::ids::{DomainId, EndpointId, Millis, PoolId};

/// When the store comes back from a copy, and until when evacuations that the copy lacks hold, in
/// milliseconds.
const RESTORED_AT: Millis = 1_000;
const REWRITTEN_AT: Millis = RESTORED_AT + 2_000;

/// A change of the view.
#[derive(Debug, Clone, Copy)]
enum Step {
    Evacuate(&'static str),
    Withdraw(&'static str),
    /// All entries were read at this time, with these evacuations.
    Listed(Millis, &'static [&'static str]),
    /// An endpoint's entry with its domain, its start and its state.
    Put(&'static str, &'static str, u64, EndpointState),
    Remove(&'static str),
    SaysLeaving(&'static str),
    StoreLost,
    StoreRecovered(Millis),
    StoreRestored(Millis),
    Expire(Millis),
}

/// Changes of a view that knows the endpoints `a` in the domain `near` and `b` in `far`, and the states of
/// all known endpoints after them.
struct Case {
    name: &'static str,
    steps: &'static [Step],
    states: &'static [(&'static str, EndpointState)],
}

impl Case {
    fn new(
        name: &'static str,
        steps: &'static [Step],
        states: &'static [(&'static str, EndpointState)],
    ) -> Self {
        Self {
            name,
            steps,
            states,
        }
    }
}

/// States of the two endpoints while `near` is evacuated, and while no domain is.
const HELD: &[(&str, EndpointState)] =
    &[("a", EndpointState::Evacuated), ("b", EndpointState::Ready)];
const WITHDRAWN: &[(&str, EndpointState)] =
    &[("a", EndpointState::Ready), ("b", EndpointState::Ready)];

fn apply(view: &mut EndpointView, step: Step) -> ViewChange {
    let domain = |name: &str| DomainId::new(name);
    match step {
        Step::Evacuate(name) => view.evacuate(&domain(name)),
        Step::Withdraw(name) => view.withdraw_evacuation(&domain(name)),
        Step::Listed(now, names) => {
            let listed: Vec<DomainId> = names.iter().map(|name| domain(name)).collect();
            view.retain_evacuations(&listed, now)
        }
        Step::Put(name, in_domain, start, state) => {
            let info = EndpointInfo {
                target: EndpointTarget {
                    endpoint: EndpointId::new(name),
                    address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                },
                domain: domain(in_domain),
                state,
                started: StartPhase::Settled,
            };
            view.put_started(PoolId::new("pool"), info, Some(start), 0)
        }
        Step::Remove(name) => view.remove(&EndpointId::new(name), 0),
        Step::SaysLeaving(name) => view.mark_leaving(&EndpointId::new(name)),
        Step::StoreLost => {
            view.store_lost();
            ViewChange::Same
        }
        Step::StoreRecovered(now) => {
            view.store_recovered(now);
            ViewChange::Same
        }
        Step::StoreRestored(now) => {
            view.store_restored(now);
            ViewChange::Same
        }
        Step::Expire(now) => view.expire(now),
    }
}

fn view_with(steps: &[Step]) -> EndpointView {
    use EndpointState::Ready;
    let known = [
        Step::Put("a", "near", 1, Ready),
        Step::Put("b", "far", 1, Ready),
    ];
    let mut view = EndpointView::new();
    for step in known.iter().chain(steps) {
        apply(&mut view, *step);
    }
    view
}

fn evacuation_cases() -> Vec<Case> {
    use EndpointState::{Evacuated, Ready};
    use Step::{Evacuate, Listed, Withdraw};
    vec![
        Case::new("none", &[], WITHDRAWN),
        Case::new("one domain", &[Evacuate("near")], HELD),
        Case::new(
            "unknown domain",
            &[Evacuate("elsewhere"), Evacuate("")],
            WITHDRAWN,
        ),
        Case::new(
            "all domains",
            &[Evacuate("near"), Evacuate("far")],
            &[("a", Evacuated), ("b", Evacuated)],
        ),
        Case::new(
            "withdrawn",
            &[Evacuate("near"), Withdraw("near")],
            WITHDRAWN,
        ),
        Case::new(
            "one of two is withdrawn",
            &[Evacuate("near"), Evacuate("far"), Withdraw("far")],
            HELD,
        ),
        Case::new(
            "written twice, withdrawn once",
            &[Evacuate("near"), Evacuate("near"), Withdraw("near")],
            WITHDRAWN,
        ),
        Case::new("listed", &[Evacuate("near"), Listed(10, &["near"])], HELD),
        Case::new(
            "not listed",
            &[Evacuate("near"), Evacuate("far"), Listed(10, &["far"])],
            &[("a", Ready), ("b", Evacuated)],
        ),
    ]
}

fn endpoint_cases() -> Vec<Case> {
    use EndpointState::{Evacuated, Leaving, Ready};
    use Step::{Evacuate, Expire, Put, Remove, SaysLeaving, Withdraw};
    vec![
        Case::new(
            "endpoint that appears later",
            &[Evacuate("new"), Put("c", "new", 1, Ready)],
            &[("a", Ready), ("b", Ready), ("c", Evacuated)],
        ),
        Case::new(
            "restart",
            &[Evacuate("near"), Put("a", "near", 2, Ready)],
            HELD,
        ),
        Case::new(
            "entry that comes back",
            &[Evacuate("near"), Remove("a"), Put("a", "near", 1, Ready)],
            HELD,
        ),
        Case::new(
            "entry that comes back after the withdrawal",
            &[
                Evacuate("near"),
                Remove("a"),
                Withdraw("near"),
                Put("a", "near", 1, Ready),
            ],
            WITHDRAWN,
        ),
        Case::new(
            "endpoint that drains",
            &[Evacuate("near"), Put("a", "near", 1, Leaving)],
            HELD,
        ),
        Case::new(
            "endpoint that drains, withdrawn",
            &[
                Evacuate("near"),
                Put("a", "near", 1, Leaving),
                Withdraw("near"),
                Put("a", "near", 1, Ready),
            ],
            &[("a", Leaving), ("b", Ready)],
        ),
        Case::new(
            "endpoint that says that it leaves, withdrawn",
            &[Evacuate("near"), SaysLeaving("a"), Withdraw("near")],
            &[("a", Leaving), ("b", Ready)],
        ),
        Case::new(
            "endpoint whose entry names another domain",
            &[Evacuate("near"), Put("a", "far", 1, Ready)],
            WITHDRAWN,
        ),
        Case::new(
            "no time ends it",
            &[Evacuate("near"), Expire(Millis::MAX / 2)],
            HELD,
        ),
    ]
}

fn store_cases() -> Vec<Case> {
    use Step::{Evacuate, Expire, Listed, StoreLost, StoreRecovered, StoreRestored};
    vec![
        Case::new(
            "store away",
            &[Evacuate("near"), StoreLost, Expire(600_000)],
            HELD,
        ),
        Case::new(
            "store back with the key",
            &[
                Evacuate("near"),
                StoreLost,
                StoreRecovered(5_000),
                Listed(5_000, &["near"]),
                Expire(10_000),
            ],
            HELD,
        ),
        Case::new(
            "store back without the key",
            &[
                Evacuate("near"),
                StoreLost,
                StoreRecovered(5_000),
                Listed(5_000, &[]),
            ],
            WITHDRAWN,
        ),
        Case::new(
            "missing from the copy",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Expire(REWRITTEN_AT - 1),
            ],
            HELD,
        ),
        Case::new(
            "missing from the copy, not written again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Expire(REWRITTEN_AT),
            ],
            WITHDRAWN,
        ),
        Case::new(
            "missing from the copy, written again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Evacuate("near"),
                Expire(REWRITTEN_AT),
            ],
            HELD,
        ),
        Case::new(
            "missing from the copy, written again, all entries read again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Listed(RESTORED_AT + 500, &["near"]),
                Expire(REWRITTEN_AT),
            ],
            HELD,
        ),
    ]
}

fn copy_cases() -> Vec<Case> {
    use Step::{Evacuate, Expire, Listed, StoreLost, StoreRecovered, StoreRestored, Withdraw};
    vec![
        Case::new(
            "missing from the copy, then withdrawn in the new era",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Withdraw("near"),
            ],
            WITHDRAWN,
        ),
        Case::new(
            "missing from the copy, read twice",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Listed(RESTORED_AT + 1_500, &[]),
                Expire(REWRITTEN_AT - 1),
            ],
            HELD,
        ),
        Case::new(
            "read after those that live have written again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(REWRITTEN_AT, &[]),
            ],
            WITHDRAWN,
        ),
        Case::new(
            "missing from a second copy",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                StoreRestored(RESTORED_AT + 1_000),
                Listed(RESTORED_AT + 1_000, &[]),
                Expire(REWRITTEN_AT + 999),
            ],
            HELD,
        ),
        Case::new(
            "missing from the copy, store away when it would end",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                StoreLost,
                Expire(60_000),
                StoreRecovered(60_000),
                Expire(61_999),
            ],
            HELD,
        ),
        Case::new(
            "missing from the copy, store away and back, all entries read again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                StoreLost,
                StoreRecovered(60_000),
                Listed(60_000, &[]),
                Expire(61_999),
            ],
            HELD,
        ),
        Case::new(
            "missing from the copy, store away and back",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                StoreLost,
                StoreRecovered(60_000),
                Expire(62_000),
            ],
            WITHDRAWN,
        ),
        Case::new(
            "withdrawn before, and in the copy",
            &[
                Evacuate("near"),
                Withdraw("near"),
                StoreRestored(RESTORED_AT),
                Evacuate("near"),
                Listed(RESTORED_AT, &["near"]),
                Expire(60_000),
            ],
            HELD,
        ),
    ]
}

/// Guards against endpoints that are used although their domain is evacuated, or not used although the
/// evacuation is withdrawn.
#[test]
fn evacuation_holds_until_its_key_is_gone() {
    let cases = [
        evacuation_cases(),
        endpoint_cases(),
        store_cases(),
        copy_cases(),
    ];
    for case in cases.into_iter().flatten() {
        let view = view_with(case.steps);
        let listed = view.in_pool(&PoolId::new("pool"));
        let states = listed
            .iter()
            .map(|info| (info.target.endpoint.as_str(), info.state));
        let states: Vec<(&str, EndpointState)> = states.collect();
        assert_eq!(states, case.states, "{}", case.name);
        for (name, state) in states {
            let is_evacuated = view.is_evacuated(&EndpointId::new(name));
            let expected = state == EndpointState::Evacuated;
            assert_eq!(is_evacuated, expected, "{}: {name}", case.name);
        }
    }
}

/// Guards against placement rounds and log lines for a key that says nothing new.
#[test]
fn key_written_twice_changes_nothing() {
    let mut view = view_with(&[]);
    let evacuate = Step::Evacuate("near");
    assert_eq!(apply(&mut view, evacuate), ViewChange::Changed);
    assert_eq!(apply(&mut view, evacuate), ViewChange::Same);
    assert_eq!(
        apply(&mut view, Step::Listed(0, &["near"])),
        ViewChange::Same
    );
    let withdraw = Step::Withdraw("near");
    assert_eq!(apply(&mut view, withdraw), ViewChange::Changed);
    assert_eq!(apply(&mut view, withdraw), ViewChange::Same);
}

/// Guards against grants of a dispatcher that knows an endpoint before this instance does.
#[test]
fn unknown_endpoint_counts_as_evacuated_while_any_domain_is() {
    let unknown = EndpointId::new("unknown");
    let mut view = view_with(&[]);
    assert!(!view.is_evacuated(&unknown));
    apply(&mut view, Step::Evacuate("elsewhere"));
    assert!(view.is_evacuated(&unknown));
    assert!(!view.is_evacuated(&EndpointId::new("a")));
}

/// Guards against blame for endpoints that are stopped after their domain was evacuated.
#[test]
fn removal_of_an_evacuated_endpoint_is_no_loss() {
    struct RemovalCase {
        name: &'static str,
        steps: &'static [Step],
        is_lost: bool,
        is_gone: bool,
    }
    use Step::{Evacuate, Remove, SaysLeaving, Withdraw};
    let cases = [
        RemovalCase {
            name: "removed",
            steps: &[Remove("a")],
            is_lost: true,
            is_gone: true,
        },
        RemovalCase {
            name: "removed before the evacuation",
            steps: &[Remove("a"), Evacuate("near")],
            is_lost: true,
            is_gone: true,
        },
        RemovalCase {
            name: "removed during the evacuation of another domain",
            steps: &[Evacuate("far"), Remove("a")],
            is_lost: true,
            is_gone: true,
        },
        RemovalCase {
            name: "removed during the evacuation",
            steps: &[Evacuate("near"), Remove("a"), Withdraw("near")],
            is_lost: false,
            is_gone: true,
        },
        RemovalCase {
            name: "drained during the evacuation",
            steps: &[Evacuate("near"), SaysLeaving("a"), Remove("a")],
            is_lost: false,
            is_gone: false,
        },
    ];
    for case in cases {
        let view = view_with(case.steps);
        let endpoint = EndpointId::new("a");
        assert_eq!(view.is_lost(&endpoint), case.is_lost, "{}", case.name);
        assert_eq!(view.is_gone(&endpoint), case.is_gone, "{}", case.name);
    }
}
