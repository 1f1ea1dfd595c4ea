//! Orders to engines: lease and fencing checks, and the choice of the orders that are due.

use std::collections::BTreeMap;

use jackdawpoint_policy::ids::EndpointId;
use jackdawpoint_policy::order::{
    EngineState, FencingCheck, HeldLease, ModelDemand, OrderDecision, OrderLimits, SurplusRule,
    desired_models, due_orders, may_send_order,
};

/// A held lease and the decision on an order at `now`; all times are in milliseconds.
struct LeaseCase {
    name: &'static str,
    since: u64,
    renewed: u64,
    now: u64,
    check: FencingCheck,
    decision: OrderDecision,
}

const LEASES: [LeaseCase; 6] = [
    LeaseCase {
        name: "new lease, engine checks fencing tokens",
        since: 0,
        renewed: 0,
        now: 10,
        check: FencingCheck::Checked,
        decision: OrderDecision::Allowed,
    },
    LeaseCase {
        name: "new lease, engine ignores fencing tokens",
        since: 0,
        renewed: 0,
        now: 2_999,
        check: FencingCheck::Ignored,
        decision: OrderDecision::Settling,
    },
    LeaseCase {
        name: "the previous holder's last order is over",
        since: 0,
        renewed: 0,
        now: 3_000,
        check: FencingCheck::Ignored,
        decision: OrderDecision::Allowed,
    },
    LeaseCase {
        name: "an order could outlast the lease",
        since: 0,
        renewed: 0,
        now: 7_000,
        check: FencingCheck::Checked,
        decision: OrderDecision::LeaseEnding,
    },
    LeaseCase {
        name: "the holder was paused beyond its lease",
        since: 0,
        renewed: 1_000,
        now: 60_000,
        check: FencingCheck::Ignored,
        decision: OrderDecision::LeaseEnding,
    },
    LeaseCase {
        name: "lease renewed in time",
        since: 0,
        renewed: 6_000,
        now: 7_000,
        check: FencingCheck::Ignored,
        decision: OrderDecision::Allowed,
    },
];

#[test]
fn orders_are_allowed_only_well_inside_the_lease() {
    for case in &LEASES {
        let lease = HeldLease {
            fencing: 1,
            renewed: case.renewed,
            since: case.since,
        };
        let decision = may_send_order(&lease, case.check, &OrderLimits::default(), case.now);
        assert_eq!(decision, case.decision, "{}", case.name);
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
fn loaded_models_stay_and_the_most_demanded_missing_model_comes_first() {
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
    assert_eq!(
        desired[&EndpointId::new("e0")],
        "a",
        "the loaded model stays"
    );
    let orders = due_orders(&engines, &desired, &all(&engines), 2);
    let models: Vec<&str> = orders.iter().map(|order| order.model.as_str()).collect();
    assert_eq!(
        models,
        ["c", "c"],
        "at most two orders, the most demanded model first"
    );
}

#[test]
fn running_streams_defer_orders_and_shrinking_demand_frees_engines() {
    let engines = engines(&[("e0", "a", 2), ("e1", "a", 0), ("e2", "a", 0)]);
    let desired = desired_models(&engines, &demand(&[("a", 1)]), SurplusRule::Keep);
    assert_eq!(desired.len(), 1, "two engines have no desired model");
    let unloaded = desired_models(&engines, &demand(&[("a", 1)]), SurplusRule::Unload);
    let models: Vec<&str> = unloaded.values().map(String::as_str).collect();
    assert_eq!(
        models,
        ["a", "", ""],
        "the busiest engine keeps its model, the others unload"
    );
    let moved: BTreeMap<EndpointId, String> = [(EndpointId::new("e0"), "b".to_owned())].into();
    let orders = due_orders(&engines, &moved, &all(&engines), 8);
    assert!(orders.is_empty(), "e0 runs streams");
}

struct IdleCase {
    name: &'static str,
    idle: &'static [&'static str],
    orders: usize,
}

const IDLE_CASES: [IdleCase; 3] = [
    IdleCase {
        name: "the steward still has grants on both engines",
        idle: &[],
        orders: 0,
    },
    IdleCase {
        name: "an engine without grants and streams",
        idle: &["e1"],
        orders: 1,
    },
    IdleCase {
        name: "an engine without grants that runs a stream",
        idle: &["e0"],
        orders: 0,
    },
];

#[test]
fn only_engines_without_grants_and_streams_get_orders() {
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
