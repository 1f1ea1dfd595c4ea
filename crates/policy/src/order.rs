//! Orders to engines: who may give them, and which are due.
//!
//! One holder per failure domain has a platform lease; the lease's version is the fencing number
//! of its orders. Orders state the desired model, so that giving one twice does no harm.

use std::collections::{BTreeMap, BTreeSet};

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

/// Which model each engine should serve: what is loaded stays where demand allows, and demand
/// that shrinks frees engines rather than spreading thinner.
#[must_use]
pub fn desired_models(
    engines: &BTreeMap<EndpointId, EngineState>,
    demands: &[ModelDemand],
) -> BTreeMap<EndpointId, String> {
    let mut wanted: BTreeMap<&str, usize> = demands
        .iter()
        .map(|demand| (demand.model.as_str(), demand.endpoints))
        .collect();
    let mut desired = BTreeMap::new();
    let mut free: Vec<&EndpointId> = Vec::new();
    for (endpoint, state) in engines {
        match wanted.get_mut(state.model.as_str()) {
            Some(count) if *count > 0 => {
                *count -= 1;
                desired.insert(endpoint.clone(), state.model.clone());
            }
            _ => free.push(endpoint),
        }
    }
    free.sort_by_key(|endpoint| engines[*endpoint].running);
    let mut missing: Vec<(&str, usize)> = wanted.into_iter().collect();
    missing.sort_by_key(|(model, count)| (std::cmp::Reverse(*count), *model));
    let mut free = free.into_iter();
    for (model, count) in missing {
        for endpoint in free.by_ref().take(count) {
            desired.insert(endpoint.clone(), model.to_owned());
        }
    }
    desired
}

/// The orders that are due: engines in the wrong state that run nothing, the most demanded model
/// first, at most `loads` at once so that the weight store's rate is kept.
#[must_use]
pub fn due_orders(
    engines: &BTreeMap<EndpointId, EngineState>,
    desired: &BTreeMap<EndpointId, String>,
    loading: &BTreeSet<EndpointId>,
    loads: usize,
) -> Vec<EngineOrder> {
    let mut demand: BTreeMap<&str, usize> = BTreeMap::new();
    for model in desired.values() {
        *demand.entry(model).or_default() += 1;
    }
    let mut due: Vec<EngineOrder> = desired
        .iter()
        .filter(|(endpoint, _)| !loading.contains(*endpoint))
        .filter(|(endpoint, model)| {
            engines
                .get(*endpoint)
                .is_some_and(|state| state.running == 0 && state.model != **model)
        })
        .map(|(endpoint, model)| EngineOrder {
            endpoint: endpoint.clone(),
            model: model.clone(),
        })
        .collect();
    due.sort_by_key(|order| std::cmp::Reverse(demand[order.model.as_str()]));
    due.truncate(loads.saturating_sub(loading.len()));
    due
}
