//! Orders to engines to load or unload models: who may send them and which ones are due.
//!
//! One instance per failure domain holds a platform lease for orders; the lease's version is the
//! fencing token of its orders. An order states the desired model and is idempotent.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, Millis};

/// Time limits of the order lease's holder, in milliseconds.
#[derives::value]
pub struct OrderLimits {
    /// Time to live of the lease.
    pub lease: Millis,
    /// Longest time from sending an order until the engine accepts or refuses it.
    pub longest_order: Millis,
    /// Safety margin at the end of the lease, for clocks that run at different rates.
    pub margin: Millis,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            lease: 10_000,
            longest_order: 2_000,
            margin: 1_000,
        }
    }
}

/// Whether an engine refuses orders with an outdated fencing token.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// The engine refuses them.
    Checked,
    /// The engine accepts any order.
    Ignored,
}

/// A lease that this instance holds.
#[derives::value]
pub struct HeldLease {
    /// Fencing token: the lease's version, which increases with each new holder.
    pub fencing: u64,
    /// When the last successful renewal was requested; the lease's time to live counts from there.
    pub renewed: Millis,
    /// When this instance acquired the lease.
    pub since: Millis,
}

/// Whether an order may be sent now.
#[derives::tag]
pub enum OrderDecision {
    /// The order may be sent.
    Allowed,
    /// The lease is about to expire or has expired.
    LeaseEnding,
    /// The previous holder's last order may still be in flight.
    Settling,
}

/// Decides whether the holder of `lease` may send an order to an engine.
///
/// Invariant: an engine that does not check fencing tokens gets orders only while no other holder's
/// order can be in flight. Orders therefore end `margin` before the lease does, and start only when
/// the longest order of the previous holder is over.
#[must_use]
pub fn may_send_order(
    lease: &HeldLease,
    check: FencingCheck,
    limits: &OrderLimits,
    now: Millis,
) -> OrderDecision {
    let end = lease.renewed + limits.lease;
    if now + limits.longest_order + limits.margin >= end {
        return OrderDecision::LeaseEnding;
    }
    if check == FencingCheck::Checked {
        return OrderDecision::Allowed;
    }
    let settled_at = lease.since + limits.longest_order + limits.margin;
    if now < settled_at {
        return OrderDecision::Settling;
    }
    OrderDecision::Allowed
}

/// Current demand for a model of a pool.
#[derives::value]
pub struct ModelDemand {
    /// The model.
    pub model: String,
    /// Number of endpoints that the demand needs.
    pub endpoints: usize,
}

/// Loaded model and running streams of an engine.
#[derives::value]
pub struct EngineState {
    /// The loaded model; empty if there is none.
    pub model: String,
    /// Number of running streams.
    pub running: usize,
}

/// An order to one engine to serve a model.
#[derives::value]
pub struct EngineOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// The model to load; empty to unload.
    pub model: String,
}

/// Treatment of engines that no model needs.
#[derives::tag]
pub enum SurplusRule {
    /// Surplus engines keep their model.
    Keep,
    /// Surplus engines unload their model.
    Unload,
}

/// Assigns a model to each engine.
///
/// Engines keep their model while demand needs them, the engines with the most streams first.
/// When demand for a model shrinks, engines are freed instead of sharing the remaining demand. An
/// empty model means that the engine is to be unloaded; engines that are not in the result stay as
/// they are.
#[must_use]
pub fn desired_models(
    engines: &BTreeMap<EndpointId, EngineState>,
    demands: &[ModelDemand],
    surplus: SurplusRule,
) -> BTreeMap<EndpointId, String> {
    let mut needed: BTreeMap<&str, usize> = demands
        .iter()
        .map(|demand| (demand.model.as_str(), demand.endpoints))
        .collect();
    let mut desired = BTreeMap::new();
    let mut surplus_engines: Vec<&EndpointId> = Vec::new();
    let mut by_load: Vec<(&EndpointId, &EngineState)> = engines.iter().collect();
    by_load.sort_by_key(|(_, state)| std::cmp::Reverse(state.running));
    for (endpoint, state) in by_load {
        match needed.get_mut(state.model.as_str()) {
            Some(count) if *count > 0 => {
                *count -= 1;
                desired.insert(endpoint.clone(), state.model.clone());
            }
            _ => surplus_engines.push(endpoint),
        }
    }
    surplus_engines.sort_by_key(|endpoint| engines[*endpoint].running);
    let mut surplus_engines = surplus_engines.into_iter();
    for model in missing_models(needed) {
        if let Some(endpoint) = surplus_engines.next() {
            desired.insert(endpoint.clone(), model.to_owned());
        }
    }
    if surplus == SurplusRule::Unload {
        desired.extend(surplus_engines.map(|endpoint| (endpoint.clone(), String::new())));
    }
    desired
}

/// The models that lack engines, once per missing engine, in round-robin order: each model gets its
/// first engine before another gets its second.
fn missing_models(mut needed: BTreeMap<&str, usize>) -> Vec<&str> {
    let mut missing = Vec::new();
    loop {
        needed.retain(|_, count| *count > 0);
        if needed.is_empty() {
            return missing;
        }
        let mut round: Vec<(&str, usize)> = needed
            .iter()
            .map(|(model, count)| (*model, *count))
            .collect();
        round.sort_by_key(|(model, count)| (std::cmp::Reverse(*count), *model));
        missing.extend(round.into_iter().map(|(model, _)| model));
        for count in needed.values_mut() {
            *count -= 1;
        }
    }
}

/// The orders to send now, at most `limit`: for engines that do not have their desired model, are
/// in `idle` (no grants) and run no streams. The model with the most desired engines comes first.
#[must_use]
pub fn due_orders(
    engines: &BTreeMap<EndpointId, EngineState>,
    desired: &BTreeMap<EndpointId, String>,
    idle: &[EndpointId],
    limit: usize,
) -> Vec<EngineOrder> {
    let mut demand: BTreeMap<&str, usize> = BTreeMap::new();
    for model in desired.values().filter(|model| !model.is_empty()) {
        *demand.entry(model).or_default() += 1;
    }
    let is_due = |endpoint: &EndpointId, model: &str| {
        let state = engines.get(endpoint);
        state.is_some_and(|state| state.running == 0 && state.model != model)
    };
    let mut due: Vec<EngineOrder> = desired
        .iter()
        .filter(|(endpoint, model)| idle.contains(endpoint) && is_due(endpoint, model))
        .map(|(endpoint, model)| EngineOrder {
            endpoint: endpoint.clone(),
            model: model.clone(),
        })
        .collect();
    due.sort_by_key(|order| std::cmp::Reverse(demand.get(order.model.as_str()).copied()));
    due.truncate(limit);
    due
}
