//! Which model each endpoint of a pool serves, and what its models are asked for.

use super::ask::GrantAsk;
use super::table::PoolTable;
use crate::demand::PoolDemand;
use crate::ids::{EndpointId, Millis};

/// How long an endpoint that is to change its model is given nothing new unless that is said
/// again, in milliseconds; longer than an order takes.
pub const CHANGING_TIME: Millis = 5_000;

/// What an endpoint serves.
#[derives::value]
pub(super) enum ServedModels {
    /// Every model of the pool.
    All,
    /// The loaded model; none where it is empty.
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
    /// Takes an endpoint's word on the model that it has loaded; empty for none.
    pub fn endpoint_model(&mut self, endpoint: &EndpointId, model: &str) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.served = ServedModels::Loaded(model.to_owned());
        }
    }

    /// Gives nothing new to endpoints that are to change their model, for [`CHANGING_TIME`].
    pub fn change_models(&mut self, endpoints: &[EndpointId], now: Millis) {
        for endpoint in endpoints {
            if let Some(state) = self.endpoints.get_mut(endpoint) {
                state.changing_until = now + CHANGING_TIME;
            }
        }
    }

    /// What the pool's models are asked for.
    pub fn demand(&mut self, now: Millis) -> PoolDemand {
        let (percents, span) = self.meter.percents(now);
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

    /// Whether endpoints serve the model that they have loaded, rather than all of the pool's.
    pub(super) fn has_loaded_models(&self) -> bool {
        let mut states = self.endpoints.values();
        states.any(|state| state.served != ServedModels::All)
    }

    /// Counts an ask's prompt as work for its model.
    pub(super) fn count_demand(&mut self, ask: &GrantAsk, now: Millis) {
        let states = self.endpoints.values();
        let rate = states.map(|state| state.spec.prefill_rate).max();
        let work = ask.prompt_tokens * 1_000 / rate.unwrap_or(1).max(1);
        self.meter.asked(&ask.model, work, now);
    }
}
