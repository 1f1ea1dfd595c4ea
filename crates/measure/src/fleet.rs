//! Costs of configuration changes, claims and orders in a simulated fleet on virtual time.

use scenarios::{ModelLoading, World, WorldPlan};
use serde::Serialize;

/// Cost of configuration changes in a fleet of one size.
#[derive(Debug, Serialize)]
pub(crate) struct ChangeRow {
    domains: usize,
    nodes_per_domain: usize,
    changes: usize,
    /// Milliseconds from a change's request to its acceptance: median and maximum.
    accepted_ms: [u64; 2],
    platform_calls_per_change: u64,
    /// Platform calls that the idle fleet makes in ten seconds.
    idle_calls_in_10_s: u64,
}

/// Cost of concurrent claims.
#[derive(Debug, Serialize)]
pub(crate) struct ClaimRow {
    calls: usize,
    /// Calls that arrive per millisecond.
    per_ms: usize,
    platform_calls_per_call: f64,
}

/// Cost of orders to engines in one failure domain.
#[derive(Debug, Serialize)]
pub(crate) struct OrderRow {
    nodes: usize,
    engines: usize,
    /// Platform calls of the domain per minute, with and without orders.
    platform_calls_a_minute: [u64; 2],
    /// Milliseconds from startup until both models are loaded.
    loaded_ms: u64,
    /// Milliseconds from the death of the lease holder until another instance holds the lease.
    takeover_ms: u64,
}

const CHANGE_COUNT: usize = 20;
/// Interval at which the accepted version is polled, in milliseconds.
const POLL_STEP_MS: u64 = 2;
/// Longest wait for a change to be accepted, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;

pub(crate) fn changes() -> Vec<ChangeRow> {
    [(3, 3), (2, 9), (8, 9), (8, 49)]
        .into_iter()
        .map(|(domains, nodes)| change_row(domains, nodes))
        .collect()
}

fn change_row(domains: usize, nodes: usize) -> ChangeRow {
    let names: Vec<String> = (0..domains).map(|number| format!("d{number}")).collect();
    let plan = WorldPlan {
        domains: names,
        nodes,
        engines: 1,
        services: 1,
        ..WorldPlan::default()
    };
    let mut world = World::new(&plan);
    world.advance(8_000);
    let before = world.platform_calls();
    world.advance(10_000);
    let idle = world.platform_calls() - before;
    let mut times = Vec::new();
    let before = world.platform_calls();
    let mut elapsed = 0;
    for number in 0..CHANGE_COUNT {
        let instance = format!("d{}-{}", number % domains, number % nodes);
        let current = world.accepted_version();
        world.set_template(&instance, number as u64 + 1);
        let mut waited = 0;
        while world.accepted_version() == current && waited < MAX_WAIT_MS {
            world.advance(POLL_STEP_MS);
            waited += POLL_STEP_MS;
        }
        elapsed += waited;
        times.push(waited);
    }
    let calls = world.platform_calls() - before;
    let background = idle * elapsed / 10_000;
    times.sort_unstable();
    ChangeRow {
        domains,
        nodes_per_domain: nodes,
        changes: CHANGE_COUNT,
        accepted_ms: [times[times.len() / 2], times[times.len() - 1]],
        platform_calls_per_change: calls.saturating_sub(background) / CHANGE_COUNT as u64,
        idle_calls_in_10_s: idle,
    }
}

pub(crate) fn claims() -> Vec<ClaimRow> {
    [1, 4, 16].into_iter().map(claim_row).collect()
}

fn claim_row(per_ms: usize) -> ClaimRow {
    let plan = WorldPlan {
        domains: vec!["a".to_owned()],
        nodes: 3,
        ..WorldPlan::default()
    };
    let mut world = World::new(&plan);
    world.advance(5_000);
    let before = world.platform_calls();
    let calls = 100 * per_ms;
    for number in 0..calls {
        let key = world.fresh_key();
        world.call(&format!("a-{}", number % 3), &key, 5_000);
        if number % per_ms == per_ms - 1 {
            world.advance(1);
        }
    }
    world.advance(3_000);
    let platform_calls = world.platform_calls() - before;
    let per_call =
        crate::workload::u64_to_f64(platform_calls) / crate::workload::u64_to_f64(calls as u64);
    ClaimRow {
        calls,
        per_ms,
        platform_calls_per_call: per_call,
    }
}

/// Interval at which the lease holder and the loaded models are polled, in milliseconds.
const ORDER_POLL_STEP_MS: u64 = 50;

pub(crate) fn orders() -> Vec<OrderRow> {
    [(3, 8), (9, 24), (49, 190)]
        .into_iter()
        .map(|(nodes, engines)| order_row(nodes, engines))
        .collect()
}

fn order_row(nodes: usize, engines: usize) -> OrderRow {
    let mut managed = order_world(nodes, engines, ModelLoading::Checked);
    let loaded_ms = wait_until(&mut managed, |world| are_loaded(world, engines));
    managed.advance(60_000);
    let mut fixed = order_world(nodes, engines, ModelLoading::Fixed);
    fixed.advance(60_000);
    let calls = [&mut managed, &mut fixed].map(|world| {
        let before = world.platform_calls();
        world.advance(60_000);
        world.platform_calls() - before
    });
    let holder = managed.order_holder("a");
    managed.kill(&holder);
    let takeover_ms = wait_until(&mut managed, |world| {
        let current = world.order_holder("a");
        !current.is_empty() && current != holder
    });
    OrderRow {
        nodes,
        engines,
        platform_calls_a_minute: calls,
        loaded_ms,
        takeover_ms,
    }
}

fn order_world(nodes: usize, engines: usize, loading: ModelLoading) -> World {
    World::new(&WorldPlan {
        domains: vec!["a".to_owned()],
        nodes,
        engines,
        loading,
        ..WorldPlan::default()
    })
}

fn are_loaded(world: &World, engines: usize) -> bool {
    let models = (0..engines).map(|engine| world.loaded(&format!("a-engine-{engine}")));
    let loaded: std::collections::BTreeSet<String> = models.collect();
    loaded.iter().filter(|model| !model.is_empty()).count() == 2
}

/// Runs the world until a condition holds. Returns the milliseconds that passed, at most a minute.
fn wait_until(world: &mut World, condition: impl Fn(&World) -> bool) -> u64 {
    let mut waited = 0;
    while !condition(world) && waited < 60_000 {
        world.advance(ORDER_POLL_STEP_MS);
        waited += ORDER_POLL_STEP_MS;
    }
    waited
}
