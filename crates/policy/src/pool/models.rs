//! Which model each endpoint of a pool serves, and the demand for the pool's models.

use super::grant::GrantRequest;
use super::table::PoolTable;
use crate::demand::PoolDemand;
use crate::ids::{EndpointId, Millis};

/// How long an endpoint that is to change its model gets no new work unless the announcement is
/// repeated, in milliseconds. Longer than an order takes.
pub const MODEL_CHANGE_HOLD: Millis = 5_000;

/// Models that an endpoint serves.
#[derives::value]
pub(super) enum ServedModels {
    /// Every model of the pool.
    All,
    /// The loaded model; an empty name stands for none.
    Loaded(String),
}

impl ServedModels {
    pub(super) fn serves(&self, model: &str) -> bool {
        match self {
            Self::All => true,
            Self::Loaded(loaded) => !loaded.is_empty() && loaded == model,
        }
    }
}

impl PoolTable {
    /// Records the model that an endpoint reports as loaded; an empty name stands for none.
    pub fn endpoint_model(&mut self, endpoint: &EndpointId, model: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.served = ServedModels::Loaded(model.to_owned());
        }
    }

    /// Stops grants on endpoints that are to change their model, for [`MODEL_CHANGE_HOLD`].
    pub fn change_models(&mut self, endpoints: &[EndpointId], now: Millis) {
        for endpoint in endpoints {
            if let Some(state) = self.endpoints.get_mut(endpoint) {
                state.changing_until = now + MODEL_CHANGE_HOLD;
            }
        }
    }

    /// The demand for the pool's models, and the endpoints that are idle and ready to change
    /// theirs.
    pub fn demand(&mut self, now: Millis) -> PoolDemand {
        let (percents, span) = self.demand_meter.percents(now);
        let idle = self
            .endpoints
            .values()
            .filter(|state| state.changing_until > now && state.running() == 0)
            .map(|state| state.spec.id.clone());
        PoolDemand {
            percents,
            span,
            idle: idle.collect(),
        }
    }

    /// Whether any endpoint serves only a loaded model, rather than all of the pool's models.
    pub(super) fn has_loaded_models(&self) -> bool {
        let mut states = self.endpoints.values();
        states.any(|state| state.served != ServedModels::All)
    }

    /// Counts the prefill of a request's prompt as demand for its model.
    pub(super) fn count_demand(&mut self, request: &GrantRequest, now: Millis) {
        let states = self.endpoints.values();
        let rate = states.map(|state| state.spec.prefill_rate).max();
        let work = request.prompt_tokens * 1_000 / rate.unwrap_or(1).max(1);
        self.demand_meter.record_work(&request.model, work, now);
    }
}
