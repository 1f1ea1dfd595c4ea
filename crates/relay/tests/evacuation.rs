//! Evacuated failure domains in the view of the endpoints.

use std::net::{Ipv4Addr, SocketAddr};

use jackdawpoint_relay::{EndpointView, ViewChange};
use policy::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget};
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

/// Steps after which two endpoints are known, `a` in the domain `near` and `b` in `far`, and the states
/// of the known endpoints after further ones.
struct Case {
    name: &'static str,
    steps: &'static [Step],
    states: &'static [(&'static str, EndpointState)],
}

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
    use EndpointState::{Evacuated, Leaving, Ready};
    use Step::{Evacuate, Expire, Listed, Put, Remove, SaysLeaving, Withdraw};
    let case = |name, steps, states| Case {
        name,
        steps,
        states,
    };
    vec![
        case("none", &[], &[("a", Ready), ("b", Ready)]),
        case(
            "one domain",
            &[Evacuate("near")],
            &[("a", Evacuated), ("b", Ready)],
        ),
        case(
            "unknown domain",
            &[Evacuate("elsewhere"), Evacuate("")],
            &[("a", Ready), ("b", Ready)],
        ),
        case(
            "all domains",
            &[Evacuate("near"), Evacuate("far")],
            &[("a", Evacuated), ("b", Evacuated)],
        ),
        case(
            "withdrawn",
            &[Evacuate("near"), Withdraw("near")],
            &[("a", Ready), ("b", Ready)],
        ),
        case(
            "one of two is withdrawn",
            &[Evacuate("near"), Evacuate("far"), Withdraw("far")],
            &[("a", Evacuated), ("b", Ready)],
        ),
        case(
            "written twice, withdrawn once",
            &[Evacuate("near"), Evacuate("near"), Withdraw("near")],
            &[("a", Ready), ("b", Ready)],
        ),
        case(
            "listed",
            &[Evacuate("near"), Listed(10, &["near"])],
            &[("a", Evacuated), ("b", Ready)],
        ),
        case(
            "not listed",
            &[Evacuate("near"), Evacuate("far"), Listed(10, &["far"])],
            &[("a", Ready), ("b", Evacuated)],
        ),
        case(
            "endpoint that appears later",
            &[Evacuate("new"), Put("c", "new", 1, Ready)],
            &[("a", Ready), ("b", Ready), ("c", Evacuated)],
        ),
        case(
            "restart",
            &[Evacuate("near"), Put("a", "near", 2, Ready)],
            &[("a", Evacuated), ("b", Ready)],
        ),
        case(
            "entry that comes back",
            &[Evacuate("near"), Remove("a"), Put("a", "near", 1, Ready)],
            &[("a", Evacuated), ("b", Ready)],
        ),
        case(
            "entry that comes back after the withdrawal",
            &[
                Evacuate("near"),
                Remove("a"),
                Withdraw("near"),
                Put("a", "near", 1, Ready),
            ],
            &[("a", Ready), ("b", Ready)],
        ),
        case(
            "endpoint that drains",
            &[Evacuate("near"), Put("a", "near", 1, Leaving)],
            &[("a", Evacuated), ("b", Ready)],
        ),
        case(
            "endpoint that drains, withdrawn",
            &[
                Evacuate("near"),
                Put("a", "near", 1, Leaving),
                Withdraw("near"),
                Put("a", "near", 1, Ready),
            ],
            &[("a", Leaving), ("b", Ready)],
        ),
        case(
            "endpoint that says that it leaves, withdrawn",
            &[Evacuate("near"), SaysLeaving("a"), Withdraw("near")],
            &[("a", Leaving), ("b", Ready)],
        ),
        case(
            "endpoint whose entry names another domain",
            &[Evacuate("near"), Put("a", "far", 1, Ready)],
            &[("a", Ready), ("b", Ready)],
        ),
        case(
            "no time ends it",
            &[Evacuate("near"), Expire(Millis::MAX / 2)],
            &[("a", Evacuated), ("b", Ready)],
        ),
    ]
}

fn store_cases() -> Vec<Case> {
    use EndpointState::{Evacuated, Ready};
    use Step::{Evacuate, Expire, Listed, StoreLost, StoreRecovered, StoreRestored, Withdraw};
    let held: &[(&str, EndpointState)] = &[("a", Evacuated), ("b", Ready)];
    let withdrawn: &[(&str, EndpointState)] = &[("a", Ready), ("b", Ready)];
    let case = |name, steps, states| Case {
        name,
        steps,
        states,
    };
    vec![
        case(
            "store away",
            &[Evacuate("near"), StoreLost, Expire(600_000)],
            held,
        ),
        case(
            "store back with the key",
            &[
                Evacuate("near"),
                StoreLost,
                StoreRecovered(5_000),
                Listed(5_000, &["near"]),
                Expire(10_000),
            ],
            held,
        ),
        case(
            "store back without the key",
            &[
                Evacuate("near"),
                StoreLost,
                StoreRecovered(5_000),
                Listed(5_000, &[]),
            ],
            withdrawn,
        ),
        case(
            "missing from the copy",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Expire(REWRITTEN_AT - 1),
            ],
            held,
        ),
        case(
            "missing from the copy, not written again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Expire(REWRITTEN_AT),
            ],
            withdrawn,
        ),
        case(
            "missing from the copy, written again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Evacuate("near"),
                Expire(REWRITTEN_AT),
            ],
            held,
        ),
        case(
            "missing from the copy, written again, all entries read again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Listed(RESTORED_AT + 500, &["near"]),
                Expire(REWRITTEN_AT),
            ],
            held,
        ),
        case(
            "missing from the copy, then withdrawn in the new era",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Withdraw("near"),
            ],
            withdrawn,
        ),
        case(
            "missing from the copy, read twice",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                Listed(RESTORED_AT + 1_500, &[]),
                Expire(REWRITTEN_AT - 1),
            ],
            held,
        ),
        case(
            "read after those that live have written again",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(REWRITTEN_AT, &[]),
            ],
            withdrawn,
        ),
        case(
            "missing from a second copy",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                StoreRestored(RESTORED_AT + 1_000),
                Listed(RESTORED_AT + 1_000, &[]),
                Expire(REWRITTEN_AT + 999),
            ],
            held,
        ),
        case(
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
            held,
        ),
        case(
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
            held,
        ),
        case(
            "missing from the copy, store away and back",
            &[
                Evacuate("near"),
                StoreRestored(RESTORED_AT),
                Listed(RESTORED_AT, &[]),
                StoreLost,
                StoreRecovered(60_000),
                Expire(62_000),
            ],
            withdrawn,
        ),
        case(
            "withdrawn before, and in the copy",
            &[
                Evacuate("near"),
                Withdraw("near"),
                StoreRestored(RESTORED_AT),
                Evacuate("near"),
                Listed(RESTORED_AT, &["near"]),
                Expire(60_000),
            ],
            held,
        ),
    ]
}

/// Guards against endpoints that are used although their domain is evacuated, or not used although the
/// evacuation is withdrawn.
#[test]
fn evacuation_holds_until_its_key_is_gone() {
    for case in evacuation_cases().into_iter().chain(store_cases()) {
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
