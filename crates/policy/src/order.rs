//! Orders to engines: who may give them, and which are due.
//!
//! One holder per failure domain has a platform lease; the lease's version is the fencing number
//! of its orders. Orders state the desired model, so that giving one twice does no harm.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, Millis};

/// Bounds of an order holder, in milliseconds.
#[derives::value]
pub struct OrderLimits {
    /// The lease's time to live.
    pub lease: Millis,
    /// The longest time from giving an order until its engine has taken or refused it.
    pub longest_order: Millis,
    /// Kept free at the end of the lease, for clocks that run at unequal rates.
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

/// Whether an engine refuses an order with an old fencing number.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// It does.
    Checked,
    /// It takes any order.
    Ignored,
}

/// A lease that the platform granted.
#[derives::value]
pub struct HeldLease {
    /// Fencing number: the lease's version, higher for each new holder.
    pub fencing: u64,
    /// When the last renewal that succeeded was asked for; the lease runs from there.
    pub renewed: Millis,
    /// When this instance first held it.
    pub since: Millis,
}

/// Whether an order may be given now.
#[derives::tag]
pub enum OrderVerdict {
    /// It may.
    Allowed,
    /// The lease is too near its end, or has lapsed.
    LeaseEnding,
    /// A former holder's last order may still be on its way.
    Settling,
}

/// Decides whether a holder may give an order to an engine.
///
/// Invariant: an engine that does not check fencing numbers gets orders only while no other
/// holder's order can be on its way: well inside this lease, and not before the longest order of
/// a former holder is over.
#[must_use]
pub fn may_order(
    lease: &HeldLease,
    check: FencingCheck,
    limits: &OrderLimits,
    now: Millis,
) -> OrderVerdict {
    let end = lease.renewed + limits.lease;
    if now + limits.longest_order + limits.margin >= end {
        return OrderVerdict::LeaseEnding;
    }
    if check == FencingCheck::Checked {
        return OrderVerdict::Allowed;
    }
    let settled = lease.since + limits.longest_order + limits.margin;
    if now < settled {
        return OrderVerdict::Settling;
    }
    OrderVerdict::Allowed
}

/// A model that a pool may be asked to serve, with its present demand.
#[derives::value]
pub struct ModelDemand {
    /// The model.
    pub model: String,
    /// Endpoints that its demand needs.
    pub endpoints: usize,
}

/// What an engine has loaded and runs.
#[derives::value]
pub struct EngineState {
    /// The loaded model; empty for none.
    pub model: String,
    /// Streams that run on it.
    pub running: usize,
}

/// An order to one engine.
#[derives::value]
pub struct EngineOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// The model that it is to serve.
    pub model: String,
}

/// What becomes of engines that no model needs.
#[derives::tag]
pub enum SurplusRule {
    /// They keep what they have loaded.
    Keep,
    /// They unload it.
    Unload,
}

/// Which model each engine should serve: what is loaded stays where demand allows, on the engines
/// that run most, and demand that shrinks frees engines rather than spreading thinner. An empty
/// model is an engine to be unloaded; engines that are not named stay as they are.
#[must_use]
pub fn desired_models(
    engines: &BTreeMap<EndpointId, EngineState>,
    demands: &[ModelDemand],
    surplus: SurplusRule,
) -> BTreeMap<EndpointId, String> {
    let mut wanted: BTreeMap<&str, usize> = demands
        .iter()
        .map(|demand| (demand.model.as_str(), demand.endpoints))
        .collect();
    let mut desired = BTreeMap::new();
    let mut free: Vec<&EndpointId> = Vec::new();
    let mut busiest: Vec<(&EndpointId, &EngineState)> = engines.iter().collect();
    busiest.sort_by_key(|(_, state)| std::cmp::Reverse(state.running));
    for (endpoint, state) in busiest {
        match wanted.get_mut(state.model.as_str()) {
            Some(count) if *count > 0 => {
                *count -= 1;
                desired.insert(endpoint.clone(), state.model.clone());
            }
            _ => free.push(endpoint),
        }
    }
    free.sort_by_key(|endpoint| engines[*endpoint].running);
    let mut free = free.into_iter();
    for model in missing_models(wanted) {
        if let Some(endpoint) = free.next() {
            desired.insert(endpoint.clone(), model.to_owned());
        }
    }
    if surplus == SurplusRule::Unload {
        desired.extend(free.map(|endpoint| (endpoint.clone(), String::new())));
    }
    desired
}

/// The models that lack engines, in turns, so that each has one before another has its second.
fn missing_models(mut wanted: BTreeMap<&str, usize>) -> Vec<&str> {
    let mut missing = Vec::new();
    loop {
        wanted.retain(|_, count| *count > 0);
        if wanted.is_empty() {
            return missing;
        }
        let mut turn: Vec<(&str, usize)> =
            wanted.iter().map(|(one, count)| (*one, *count)).collect();
        turn.sort_by_key(|(model, count)| (std::cmp::Reverse(*count), *model));
        missing.extend(turn.into_iter().map(|(model, _)| model));
        for count in wanted.values_mut() {
            *count -= 1;
        }
    }
}

/// The orders that are due: engines in the wrong state on which nothing is granted and nothing
/// runs, the most demanded model first, at most `limit`.
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
