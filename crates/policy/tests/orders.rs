//! Orders to engines: who may give them, and which are due.

use std::collections::BTreeMap;

use jackdawpoint_policy::ids::EndpointId;
use jackdawpoint_policy::order::{
    EngineState, FencingCheck, HeldLease, ModelDemand, OrderLimits, OrderVerdict, SurplusRule,
    desired_models, due_orders, may_order,
};

struct LeaseCase {
    name: &'static str,
    since: u64,
    renewed: u64,
    now: u64,
    check: FencingCheck,
    verdict: OrderVerdict,
}

const LEASES: [LeaseCase; 6] = [
    LeaseCase {
        name: "a fresh lease, engines that check",
        since: 0,
        renewed: 0,
        now: 10,
        check: FencingCheck::Checked,
        verdict: OrderVerdict::Allowed,
    },
    LeaseCase {
        name: "a fresh lease, engines that do not",
        since: 0,
        renewed: 0,
        now: 2_999,
        check: FencingCheck::Ignored,
        verdict: OrderVerdict::Settling,
    },
    LeaseCase {
        name: "the former holder's last order is over",
        since: 0,
        renewed: 0,
        now: 3_000,
        check: FencingCheck::Ignored,
        verdict: OrderVerdict::Allowed,
    },
    LeaseCase {
        name: "an order could outlast the lease",
        since: 0,
        renewed: 0,
        now: 7_000,
        check: FencingCheck::Checked,
        verdict: OrderVerdict::LeaseEnding,
    },
    LeaseCase {
        name: "a holder that was frozen past its lease",
        since: 0,
        renewed: 1_000,
        now: 60_000,
        check: FencingCheck::Ignored,
        verdict: OrderVerdict::LeaseEnding,
    },
    LeaseCase {
        name: "renewed in time",
        since: 0,
        renewed: 6_000,
        now: 7_000,
        check: FencingCheck::Ignored,
        verdict: OrderVerdict::Allowed,
    },
];

#[test]
fn orders_are_given_well_inside_the_lease() {
    for case in &LEASES {
        let lease = HeldLease {
            fencing: 1,
            renewed: case.renewed,
            since: case.since,
        };
        let verdict = may_order(&lease, case.check, &OrderLimits::default(), case.now);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

fn engines(states: &[(&str, &str, usize)]) -> BTreeMap<EndpointId, EngineState> {
    let states = states.iter().map(|(name, model, running)| {
        let state = EngineState {
            model: (*model).to_owned(),
            running: *running,
        };
        (EndpointId::new(*name), state)
    });
    states.collect()
}

fn all(engines: &BTreeMap<EndpointId, EngineState>) -> Vec<EndpointId> {
    engines.keys().cloned().collect()
}

fn demand(demands: &[(&str, usize)]) -> Vec<ModelDemand> {
    let demands = demands.iter().map(|(model, endpoints)| ModelDemand {
        model: (*model).to_owned(),
        endpoints: *endpoints,
    });
    demands.collect()
}

#[test]
fn what_is_loaded_stays_and_the_most_demanded_model_is_loaded_first() {
    let engines = engines(&[
        ("e0", "a", 3),
        ("e1", "a", 0),
        ("e2", "", 0),
        ("e3", "", 0),
        ("e4", "", 0),
    ]);
    let desired = desired_models(
        &engines,
        &demand(&[("a", 1), ("b", 1), ("c", 2)]),
        SurplusRule::Keep,
    );
    assert_eq!(desired[&EndpointId::new("e0")], "a", "it stays");
    let orders = due_orders(&engines, &desired, &all(&engines), 2);
    let models: Vec<&str> = orders.iter().map(|order| order.model.as_str()).collect();
    assert_eq!(models, ["c", "c"], "two at once, the most demanded first");
}

#[test]
fn running_streams_put_off_a_change_and_shrinking_demand_frees_engines() {
    let engines = engines(&[("e0", "a", 2), ("e1", "a", 0), ("e2", "a", 0)]);
    let desired = desired_models(&engines, &demand(&[("a", 1)]), SurplusRule::Keep);
    assert_eq!(desired.len(), 1, "two engines are free");
    let unloaded = desired_models(&engines, &demand(&[("a", 1)]), SurplusRule::Unload);
    let models: Vec<&str> = unloaded.values().map(String::as_str).collect();
    assert_eq!(
        models,
        ["a", "", ""],
        "the busiest stays, the others unload"
    );
    let moved: BTreeMap<EndpointId, String> = [(EndpointId::new("e0"), "b".to_owned())].into();
    let orders = due_orders(&engines, &moved, &all(&engines), 8);
    assert!(orders.is_empty(), "streams run on e0");
}

struct IdleCase {
    name: &'static str,
    idle: &'static [&'static str],
    orders: usize,
}

const IDLE_CASES: [IdleCase; 3] = [
    IdleCase {
        name: "the steward still grants on both",
        idle: &[],
        orders: 0,
    },
    IdleCase {
        name: "nothing is granted on one, nothing runs there",
        idle: &["e1"],
        orders: 1,
    },
    IdleCase {
        name: "nothing is granted on the other, but a stream runs there",
        idle: &["e0"],
        orders: 0,
    },
];

#[test]
fn only_engines_on_which_nothing_is_granted_or_runs_are_ordered() {
    let engines = engines(&[("e0", "a", 1), ("e1", "a", 0)]);
    let wanted = all(&engines).into_iter();
    let desired: BTreeMap<EndpointId, String> =
        wanted.map(|engine| (engine, "b".to_owned())).collect();
    for case in &IDLE_CASES {
        let idle: Vec<EndpointId> = case
            .idle
            .iter()
            .map(|name| EndpointId::new(*name))
            .collect();
        let orders = due_orders(&engines, &desired, &idle, 8);
        assert_eq!(orders.len(), case.orders, "{}", case.name);
    }
}
