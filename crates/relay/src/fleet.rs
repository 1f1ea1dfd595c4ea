//! What is believed of the endpoints, and how the belief ages.

use std::collections::BTreeMap;

use policy::dispatch::placement::{EndpointInfo, EndpointState};
use policy::ids::{EndpointId, Millis, PoolId};

/// Time after the store's return in which an endpoint whose entry is missing may still come back;
/// the platform states about two seconds.
const RETURN_TIME: Millis = 2_000;

/// Time for which a dropped endpoint is remembered, in milliseconds: longer than any instance's
/// belief may lag.
const DEPARTED_TIME: Millis = 60_000;

/// An endpoint and how sure it is.
#[derive(Debug, Clone)]
struct BelievedEndpoint {
    pool: PoolId,
    facts: EndpointInfo,
    /// When it will be dropped, if its entry is missing.
    missing_until: Option<Millis>,
}

/// The endpoints of all pools, as the platform lists them.
///
/// Invariant: an endpoint whose entry is missing is used no longer than two seconds after the
/// list is current again; one that has been seen leaving is not used again in the same life.
#[derive(Debug, Default)]
pub struct FleetBelief {
    endpoints: BTreeMap<EndpointId, BelievedEndpoint>,
    /// Endpoints that were dropped, and when.
    departed: BTreeMap<EndpointId, Millis>,
    /// When the list became current again after it was lost.
    regained_at: Option<Millis>,
    lost: bool,
}

/// Whether a change matters to where work goes.
#[derives::tag]
pub enum BeliefChange {
    /// Endpoints were added, dropped or changed.
    Changed,
    /// Nothing that matters has changed.
    Same,
}

impl FleetBelief {
    /// Nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// An entry was read.
    pub fn put(&mut self, pool: PoolId, facts: EndpointInfo) -> BeliefChange {
        let endpoint = facts.target.endpoint.clone();
        self.departed.remove(&endpoint);
        let believed = BelievedEndpoint {
            pool,
            facts,
            missing_until: None,
        };
        match self.endpoints.get_mut(&endpoint) {
            Some(known) if known.facts == believed.facts && known.pool == believed.pool => {
                known.missing_until = None;
                BeliefChange::Same
            }
            Some(known) => {
                *known = believed;
                BeliefChange::Changed
            }
            None => {
                self.endpoints.insert(endpoint, believed);
                BeliefChange::Changed
            }
        }
    }

    /// An entry is missing.
    pub fn remove(&mut self, endpoint: &EndpointId, now: Millis) -> BeliefChange {
        let returned = self.regained_at.map(|at| at + RETURN_TIME);
        let may_return = self.lost || returned.is_some_and(|until| now < until);
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return BeliefChange::Same;
        };
        let is_leaving = known.facts.state == EndpointState::Leaving;
        if may_return && !is_leaving {
            let until = returned.unwrap_or(Millis::MAX).max(now);
            known.missing_until.get_or_insert(until);
            return BeliefChange::Same;
        }
        self.endpoints.remove(endpoint);
        self.departed.insert(endpoint.clone(), now);
        BeliefChange::Changed
    }

    /// Endpoints that are believed in but are not in `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        let known = self.endpoints.keys();
        known
            .filter(|endpoint| !listed.contains(endpoint))
            .cloned()
            .collect()
    }

    /// The list cannot be read any more.
    pub fn lost(&mut self) {
        self.lost = true;
    }

    /// The list is current again.
    pub fn regained(&mut self, now: Millis) {
        if self.lost {
            self.lost = false;
            self.regained_at = Some(now);
            for known in self.endpoints.values_mut() {
                if known.missing_until.is_some() {
                    known.missing_until = Some(now + RETURN_TIME);
                }
            }
        }
    }

    /// Drops endpoints that have been missing for too long.
    pub fn expire(&mut self, now: Millis) -> BeliefChange {
        self.departed
            .retain(|_, dropped| now.saturating_sub(*dropped) < DEPARTED_TIME);
        let before = self.endpoints.len();
        let is_kept =
            |known: &BelievedEndpoint| known.missing_until.is_none_or(|until| now < until);
        let missing = self.endpoints.iter().filter(|(_, known)| !is_kept(known));
        let missing: Vec<EndpointId> = missing.map(|(id, _)| id.clone()).collect();
        for endpoint in missing {
            self.endpoints.remove(&endpoint);
            self.departed.insert(endpoint, now);
        }
        if self.endpoints.len() == before {
            BeliefChange::Same
        } else {
            BeliefChange::Changed
        }
    }

    /// Whether an endpoint is leaving or was dropped a short while ago.
    #[must_use]
    pub fn is_departed(&self, endpoint: &EndpointId) -> bool {
        let known = self.endpoints.get(endpoint);
        let is_leaving = known.is_some_and(|known| known.facts.state == EndpointState::Leaving);
        is_leaving || self.departed.contains_key(endpoint)
    }

    /// The endpoints of one pool.
    #[must_use]
    pub fn of_pool(&self, pool: &PoolId) -> Vec<EndpointInfo> {
        let is_of = |known: &&BelievedEndpoint| known.pool == *pool;
        let known = self.endpoints.values().filter(is_of);
        known.map(|known| known.facts.clone()).collect()
    }

    /// How many endpoints are believed in.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
