//! Metrics and log lines of the learned capacity of endpoints.

use policy::ids::{EndpointId, PoolId};
use policy::learned_capacity::CapacityLevel;

use super::RelayCore;

fn message(level: CapacityLevel) -> &'static str {
    match level {
        CapacityLevel::Low => "endpoint slows down below half of its load",
        CapacityLevel::Ample => "endpoint takes half of its load again",
    }
}

impl RelayCore {
    /// Logs the endpoints whose learned capacity has crossed half since the last call: of their
    /// slots for engines, of their share for endpoints of plain services.
    pub(super) fn log_capacity_changes(&self) {
        for change in self.dependencies.driver.take_capacity_changes() {
            spdlog::info!("{}", message(change.level), kv: {
                pool = change.pool.as_str(),
                endpoint = change.endpoint.as_str(),
                capacity = change.capacity,
                hosted = change.hosted,
            });
        }
        for (pool, balancer) in self.balancers.borrow_mut().iter_mut() {
            for (endpoint, level) in balancer.take_capacity_changes(self.now()) {
                log_call_change(pool, &endpoint, level);
            }
        }
    }

    /// Sets the metric of the endpoints whose learned capacity is below full.
    pub(super) fn count_reduced_endpoints(&self) {
        for (pool, count) in self.dependencies.driver.reduced_endpoints() {
            self.counters.set_reduced_endpoints(pool.as_str(), count);
        }
        for (pool, balancer) in self.balancers.borrow().iter() {
            let count = balancer.reduced_endpoints(self.now());
            self.counters.set_reduced_endpoints(pool.as_str(), count);
        }
    }
}

fn log_call_change(pool: &PoolId, endpoint: &EndpointId, level: CapacityLevel) {
    spdlog::info!("{}", message(level), kv: {
        pool = pool.as_str(),
        endpoint = endpoint.as_str(),
    });
}
