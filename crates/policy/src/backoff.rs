//! Endpoints that refused a request of this instance and said when it may send again.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, Millis};

/// Longest time for which an endpoint's retry-after is kept, in milliseconds.
const LONGEST_BACKOFF: Millis = 600_000;

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
    /// counts. Returns the time for which the endpoint is left alone from now on.
    pub fn record(&mut self, endpoint: &EndpointId, retry_after: Millis, now: Millis) -> Millis {
        self.until.retain(|_, until| *until > now);
        let until = self.until.entry(endpoint.clone()).or_insert(0);
        *until = (*until).max(now + retry_after.min(LONGEST_BACKOFF));
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
