//! Cold endpoints: which of them have a limit now, and since when.

use std::collections::BTreeMap;

use policy::cold_limit::ColdLimit;
use policy::ids::{EndpointId, Millis};

use super::RelayCore;
use crate::endpoint_view::{ColdTime, ViewChange};

/// Change of the end of a cold time from which it is logged, in milliseconds. Each answer may state
/// the time that is left, which differs by the time that answers take.
const LOGGED_CHANGE: Millis = 500;

/// Limits of cold endpoints, as they were last given to the dispatcher.
pub(super) type ColdLimits = BTreeMap<EndpointId, ColdLimit>;

impl RelayCore {
    /// Gives the dispatcher the limits of the endpoints that are cold now.
    pub(super) fn refresh_cold(&self) {
        let Some(catalog) = self.catalog() else {
            return;
        };
        let now = self.now();
        let bounds = self.dependencies.cold_bounds;
        let mut known = self.cold.borrow_mut();
        let mut current = ColdLimits::new();
        for service in catalog.services() {
            let Some(rate) = service.cold.rate else {
                continue;
            };
            let view = self.gate().view().borrow();
            let pace = bounds.pace(rate);
            for (endpoint, time) in view.cold_in_pool(&service.service, service.cold.time, now) {
                let limit = ColdLimit {
                    rate: pace,
                    until: time.until,
                };
                self.set_cold(known.get(&endpoint), &endpoint, limit, time);
                current.insert(endpoint, limit);
            }
        }
        for (endpoint, limit) in known.iter() {
            if current.contains_key(endpoint) {
                continue;
            }
            if now < limit.until && self.endpoint_target(endpoint).is_none() {
                // It may come back in the same start.
                current.insert(endpoint.clone(), *limit);
                continue;
            }
            self.dependencies.driver.set_cold(endpoint, None);
            spdlog::info!("endpoint is warm", kv: { endpoint = endpoint.as_str() });
        }
        *known = current;
        let count = i64::try_from(known.len()).unwrap_or(i64::MAX);
        self.counters.cold_endpoints.set(count);
    }

    fn set_cold(
        &self,
        known: Option<&ColdLimit>,
        endpoint: &EndpointId,
        limit: ColdLimit,
        time: ColdTime,
    ) {
        if known == Some(&limit) {
            return;
        }
        self.dependencies.driver.set_cold(endpoint, Some(limit));
        let is_logged = known.is_none_or(|known| {
            known.rate != limit.rate || known.until.abs_diff(limit.until) >= LOGGED_CHANGE
        });
        if is_logged {
            spdlog::info!("endpoint is cold", kv: {
                endpoint = endpoint.as_str(),
                left = limit.until.saturating_sub(self.now()),
                per_second = limit.rate.per_second(),
                source:? = time.source,
            });
        }
    }

    /// Whether the endpoint is cold and has a limit.
    pub(super) fn is_cold(&self, endpoint: &EndpointId) -> bool {
        let cold = self.cold.borrow();
        cold.get(endpoint)
            .is_some_and(|limit| self.now() < limit.until)
    }

    /// Records how much longer an endpoint stays cold, if it says so in an answer.
    pub(crate) fn heard_cold(&self, endpoint: &EndpointId, left: Option<Millis>) {
        let Some(left) = left else {
            return;
        };
        let now = self.now();
        let changed = self
            .gate()
            .view()
            .borrow_mut()
            .hear_cold(endpoint, left, now);
        if changed == ViewChange::Changed {
            self.refresh_cold();
        }
    }
}
