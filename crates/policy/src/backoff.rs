//! Endpoints that refused a request of this instance and said when it may send again.

use std::collections::BTreeMap;

use crate::cast::{f64_to_u64, u64_to_f64};
use crate::ids::{EndpointId, Millis};

/// Longest time for which an endpoint's retry-after is kept, in milliseconds.
const LONGEST_BACKOFF: Millis = 600_000;

/// Share of an endpoint's retry-after over which the instances spread their return.
const RETURN_SPREAD: f64 = 0.25;

/// Longest time over which they spread it, in milliseconds.
const LONGEST_RETURN_SPREAD: f64 = 2_000.0;

/// Until when each endpoint wants no requests from this instance.
#[derive(Debug, Default)]
pub struct BackoffTable {
    until: BTreeMap<EndpointId, Millis>,
}

impl BackoffTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `endpoint` refused a request with this retry-after. The later of two ends
    /// counts. `draw`, a random number between zero and one, spreads the return of instances that
    /// were refused at the same time. Returns the time for which the endpoint is left alone from now
    /// on.
    pub fn record(
        &mut self,
        endpoint: &EndpointId,
        retry_after: Millis,
        draw: f64,
        now: Millis,
    ) -> Millis {
        self.until.retain(|_, until| *until > now);
        let retry_after = retry_after.min(LONGEST_BACKOFF);
        let spread = (u64_to_f64(retry_after) * RETURN_SPREAD).min(LONGEST_RETURN_SPREAD);
        let ends_at = now + retry_after + f64_to_u64(spread * draw);
        let until = self.until.entry(endpoint.clone()).or_insert(ends_at);
        *until = (*until).max(ends_at);
        *until - now
    }

    /// Whether nothing may be sent to `endpoint` now.
    #[must_use]
    pub fn holds(&self, endpoint: &EndpointId, now: Millis) -> bool {
        self.until.get(endpoint).is_some_and(|until| *until > now)
    }

    /// The endpoints to which nothing may be sent now.
    #[must_use]
    pub fn held(&self, now: Millis) -> Vec<EndpointId> {
        let held = self.until.iter().filter(|(_, until)| **until > now);
        held.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Time until the first endpoint for which `is_usable` holds may be sent to again; `None` if
    /// there is none that is held.
    #[must_use]
    pub fn shortest_wait(
        &self,
        is_usable: impl Fn(&EndpointId) -> bool,
        now: Millis,
    ) -> Option<Millis> {
        let held = self
            .until
            .iter()
            .filter(|(endpoint, until)| **until > now && is_usable(endpoint));
        held.map(|(_, until)| until - now).min()
    }
}
