//! The endpoints that this instance may use, and what they say of themselves in answers.

use std::collections::BTreeSet;

use policy::balance::CallBalancer;
use policy::dispatch::placement::{EndpointState, EndpointTarget, PlacementGrant, StartPhase};
use policy::ids::{DomainId, EndpointId, Millis, PoolId};
use policy::rate_limit::{RateNotice, RequestRate};
use rand::seq::IteratorRandom;

use super::RelayCore;
use crate::endpoint_gate::LeavingListener;
use crate::endpoint_view::{EndpointView, ViewChange};
use crate::placement_router::EndpointListener;

impl EndpointListener for RelayCore {
    fn endpoint_leaves(&self, endpoint: &EndpointId) {
        self.mark_leaving(endpoint, "member");
    }
}

impl LeavingListener for RelayCore {
    /// Tells the stewards what an endpoint has said to this instance.
    fn endpoint_leaves(&self, endpoint: &EndpointId, heard_from: &str) {
        if self.mark_leaving(endpoint, heard_from) == ViewChange::Changed {
            self.placement().report_leaving(endpoint);
        }
    }
}

impl RelayCore {
    /// Applies `change` to the view of the endpoints and distributes the endpoints if the view
    /// changed.
    pub fn update_endpoints(&self, change: impl FnOnce(&mut EndpointView, Millis) -> ViewChange) {
        let now = self.now();
        let changed = change(&mut self.gate().view().borrow_mut(), now);
        if changed == ViewChange::Changed {
            self.distribute_endpoints();
            self.attribute_losses(now);
        }
    }

    /// Passes the current endpoints to the dispatcher and to the balancers of plain services.
    pub(super) fn distribute_endpoints(&self) {
        let Some(catalog) = self.catalog() else {
            return;
        };
        // The dispatcher places requests as soon as it has the endpoints.
        self.refresh_cold();
        let endpoint_view = self.gate().view().borrow();
        let connector = self.connections().connector();
        // Nothing is connected to evacuated endpoints, so they show nothing of this instance's paths.
        let is_contacted = |endpoint: &EndpointId| {
            endpoint_view.target(endpoint).is_some() && !endpoint_view.is_evacuated(endpoint)
        };
        let targets = endpoint_view.targets();
        let contacted = targets.filter(|target| is_contacted(&target.endpoint));
        connector.set_endpoints(contacted.count(), is_contacted);
        let count = i64::try_from(endpoint_view.len()).unwrap_or(i64::MAX);
        self.counters.endpoints.set(count);
        for service in catalog.services() {
            let mut list = endpoint_view.in_pool(&service.service);
            if service.cold.time.is_none() {
                for info in &mut list {
                    info.started = StartPhase::Settled;
                }
            }
            if service.engine.is_some() {
                self.dependencies
                    .driver
                    .set_endpoints(&service.service, &list);
                continue;
            }
            let mut balancers = self.balancers.borrow_mut();
            let balancer = balancers.entry(service.service.clone()).or_insert_with(|| {
                CallBalancer::new(self.dependencies.domain.clone())
                    .with_learned_capacity(self.dependencies.learned_capacity)
            });
            balancer.set_endpoints(&list);
        }
    }

    /// Known endpoints that are not in `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        self.gate().view().borrow().unlisted(listed)
    }

    /// Id and address of a known endpoint.
    pub(crate) fn endpoint_target(&self, endpoint: &EndpointId) -> Option<EndpointTarget> {
        self.gate().view().borrow().target(endpoint)
    }

    /// Up to `count` known endpoints other than `endpoint` that are not evacuated, chosen at random.
    pub(crate) fn other_targets(&self, endpoint: &EndpointId, count: usize) -> Vec<EndpointTarget> {
        let endpoint_view = self.gate().view().borrow();
        let mut random = self.random.borrow_mut();
        let others = endpoint_view.targets().filter(|other| {
            other.endpoint != *endpoint && !endpoint_view.is_evacuated(&other.endpoint)
        });
        others.cloned().choose_multiple(&mut *random, count)
    }

    /// The grant with the addresses in this instance's own entries of the endpoints, which may be
    /// newer than those of the dispatcher.
    pub(crate) fn with_own_addresses(&self, mut grant: PlacementGrant) -> PlacementGrant {
        let helpers = grant.helpers.iter_mut().map(|helper| &mut helper.target);
        for target in std::iter::once(&mut grant.host).chain(helpers) {
            if let Some(known) = self.endpoint_target(&target.endpoint) {
                target.address = known.address;
            }
        }
        grant
    }

    /// Whether the endpoint was removed recently without having been seen leaving.
    pub(crate) fn is_lost(&self, target: &EndpointTarget) -> bool {
        self.gate().view().borrow().is_gone(&target.endpoint)
    }

    /// Whether the endpoint's failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, endpoint: &EndpointId) -> bool {
        self.gate().is_evacuated(endpoint)
    }

    /// The endpoints of a pool whose failure domains are evacuated.
    pub(crate) fn evacuated_endpoints(&self, pool: &PoolId) -> Vec<EndpointId> {
        let endpoint_view = self.gate().view().borrow();
        if endpoint_view.evacuated_domains().next().is_none() {
            return Vec::new();
        }
        let listed = endpoint_view.in_pool(pool).into_iter();
        let evacuated = listed.filter(|info| info.state == EndpointState::Evacuated);
        evacuated.map(|info| info.target.endpoint).collect()
    }

    /// Logs the failure domains that were evacuated, and the evacuations that were withdrawn, since
    /// the last call. Called once a batch of entries has been applied, so that the endpoints are
    /// counted as they are known after it.
    pub fn log_evacuations(&self) {
        let endpoint_view = self.gate().view().borrow();
        let mut logged = self.logged_evacuations.borrow_mut();
        let evacuated: BTreeSet<DomainId> = endpoint_view.evacuated_domains().cloned().collect();
        if *logged == evacuated {
            return;
        }
        for domain in evacuated.difference(&logged) {
            spdlog::warn!("failure domain evacuated", kv: {
                domain = domain.as_str(),
                endpoints = endpoint_view.count_in_domain(domain),
                known = endpoint_view.len(),
                evacuated = evacuated.len(),
                age = self.config_age(),
            });
        }
        for domain in logged.difference(&evacuated) {
            spdlog::warn!("evacuation withdrawn", kv: {
                domain = domain.as_str(),
                endpoints = endpoint_view.count_in_domain(domain),
                known = endpoint_view.len(),
                evacuated = evacuated.len(),
                age = self.config_age(),
            });
        }
        *logged = evacuated;
    }

    /// Whether the endpoint is leaving or was removed recently.
    pub(crate) fn is_departed(&self, endpoint: &EndpointId) -> bool {
        self.gate().view().borrow().is_departed(endpoint)
    }

    pub(super) fn mark_leaving(&self, endpoint: &EndpointId, heard_from: &str) -> ViewChange {
        let mut change = ViewChange::Same;
        self.update_endpoints(|view, _| {
            change = view.mark_leaving(endpoint);
            change
        });
        if change == ViewChange::Changed {
            spdlog::info!("endpoint says that it leaves", kv: {
                endpoint = endpoint.as_str(),
                heard_from = heard_from,
            });
        }
        change
    }

    /// Whether the endpoint has named a limit in an answer to this instance, or is cold.
    pub(crate) fn is_limited(&self, endpoint: &EndpointId) -> bool {
        let is_named = self.heard_limits.borrow().named_rate(endpoint).is_some();
        is_named || self.is_cold(endpoint)
    }

    /// Records the limit that an endpoint names, or does not name, in its answer to a request that
    /// was sent at `sent_at`. Only the answer to a request that was sent after the limit was last
    /// heard of can end it.
    pub(crate) fn heard_limit(
        &self,
        endpoint: &EndpointId,
        rate: Option<RequestRate>,
        sent_at: Millis,
    ) {
        let known = self.heard_limits.borrow().heard_at(endpoint);
        let is_news = match (rate, known) {
            (Some(_), _) => true,
            (None, Some(heard_at)) => sent_at > heard_at,
            (None, None) => false,
        };
        if !is_news {
            return;
        }
        let notice = RateNotice {
            endpoint: endpoint.clone(),
            rate,
            age: 0,
        };
        self.placement().report_limit(&notice);
        if self.heard_limits.borrow_mut().apply(&notice, self.now()) {
            spdlog::info!("endpoint changed its limit", kv: {
                endpoint = endpoint.as_str(),
                per_second = rate.map_or(-1.0, RequestRate::per_second),
            });
        }
    }

    /// Time until the first endpoint of `pool` takes requests again, if all that are left are held.
    pub(crate) fn backoff_wait(&self, pool: &PoolId) -> Option<Millis> {
        let listed = self.gate().view().borrow().in_pool(pool);
        let is_usable = |endpoint: &EndpointId| {
            let info = listed.iter().find(|info| info.target.endpoint == *endpoint);
            info.is_some_and(|info| info.state == EndpointState::Ready)
        };
        self.gate().backoffs().shortest_wait(is_usable)
    }
}
