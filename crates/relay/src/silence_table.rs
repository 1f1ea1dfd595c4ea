//! Which kept connections to endpoints are in doubt once one of them has fallen silent.
//!
//! Connections may fall silent for good without being closed, many at the same moment. A request
//! without an answer does not tell that from a slow endpoint, so it puts only the connections to its
//! endpoint in doubt. Such requests to several endpoints at about the same time put all in doubt.

use std::collections::BTreeMap;

use policy::ids::{EndpointId, Millis};

/// Number of silent endpoints that put the connections to all endpoints in doubt.
const SILENT_ENDPOINTS: usize = 2;

/// Time for which a silence counts together with those at other endpoints, in milliseconds.
const EVIDENCE_TIME: Millis = 2_000;

/// The connections that a silence puts in doubt.
#[derives::tag]
pub enum DoubtScope {
    /// Those to the silent endpoint.
    OneEndpoint,
    /// Those to all endpoints.
    AllEndpoints,
}

/// Silences that one instance has noticed lately on its connections to endpoints.
#[derive(Debug, Default)]
pub struct SilenceTable {
    noticed_at: BTreeMap<EndpointId, Millis>,
}

impl SilenceTable {
    /// Creates a table without silences.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a connection to `endpoint` was found silent, and says which others are in doubt.
    pub fn silence_noticed(&mut self, endpoint: &EndpointId, now: Millis) -> DoubtScope {
        self.noticed_at
            .retain(|_, noticed_at| now.saturating_sub(*noticed_at) < EVIDENCE_TIME);
        self.noticed_at.insert(endpoint.clone(), now);
        if self.noticed_at.len() < SILENT_ENDPOINTS {
            DoubtScope::OneEndpoint
        } else {
            DoubtScope::AllEndpoints
        }
    }
}
