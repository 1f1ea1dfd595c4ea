//! Which instances open tunnels to endpoints for one that is cut off.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::cast::usize_to_f64;
use crate::ids::{DomainId, InstanceId, Millis};

/// Largest number of instances that are asked for one tunnel.
const MAX_HOSTS: usize = 3;

/// Time for which an instance is not asked again that did not open a tunnel, in milliseconds.
const FAILED_HOST_TIME: Millis = 2_000;

/// Cost of a tunnel through another failure domain, relative to one in the own domain.
const CROSS_DOMAIN_COST: f64 = 1.5;

/// An instance that may open tunnels.
#[derive(Debug, Clone, PartialEq)]
pub struct TunnelHost {
    /// The instance.
    pub instance: InstanceId,
    /// Address of its listener for tunnels.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its processor capacity, in cores of ordinary speed; above 0.
    pub capacity: f64,
}

#[derive(Debug, Default)]
struct HostState {
    open_tunnels: usize,
    failed_at: Option<Millis>,
}

/// Tunnels of one instance through others.
#[derive(Debug)]
pub struct TunnelTable {
    domain: DomainId,
    hosts: BTreeMap<InstanceId, HostState>,
    /// Number of the last choice, which breaks ties in turn.
    last_choice: u64,
}

impl TunnelTable {
    /// Creates a table for an instance in `domain`.
    #[must_use]
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            hosts: BTreeMap::new(),
            last_choice: 0,
        }
    }

    /// The instances to ask for a tunnel, in this order: the least loaded first, and the second in
    /// another failure domain than the first, since a domain is often cut off as a whole. Instances
    /// that failed lately are asked only if there is no other.
    pub fn choose(&mut self, hosts: &[TunnelHost], now: Millis) -> Vec<TunnelHost> {
        self.last_choice += 1;
        let mut ranked: Vec<&TunnelHost> = hosts.iter().collect();
        ranked.sort_by(|left, right| {
            let (left, right) = (self.rank(left, now), self.rank(right, now));
            left.0
                .cmp(&right.0)
                .then(left.1.total_cmp(&right.1))
                .then(left.2.cmp(&right.2))
        });
        let usable = ranked.iter().filter(|host| !self.has_failed(host, now));
        let count = usable.count().max(1);
        ranked.truncate(count);
        let other_domain = ranked
            .iter()
            .position(|host| host.domain != ranked[0].domain);
        if let Some(index) = other_domain {
            let second = ranked.remove(index);
            ranked.insert(1, second);
        }
        ranked.into_iter().take(MAX_HOSTS).cloned().collect()
    }

    fn rank(&self, host: &TunnelHost, now: Millis) -> (bool, f64, u64) {
        let open = self.hosts.get(&host.instance);
        let open = usize_to_f64(open.map_or(0, |state| state.open_tunnels) + 1);
        let distance = if host.domain == self.domain {
            1.0
        } else {
            CROSS_DOMAIN_COST
        };
        let turn = xxh3_64_with_seed(host.instance.as_str().as_bytes(), self.last_choice);
        let cost = open * distance / host.capacity;
        (self.has_failed(host, now), cost, turn)
    }

    fn has_failed(&self, host: &TunnelHost, now: Millis) -> bool {
        let failed_at = self
            .hosts
            .get(&host.instance)
            .and_then(|state| state.failed_at);
        failed_at.is_some_and(|at| now.saturating_sub(at) < FAILED_HOST_TIME)
    }

    /// Records that a tunnel through `instance` is open.
    pub fn opened(&mut self, instance: &InstanceId) {
        let state = self.hosts.entry(instance.clone()).or_default();
        state.open_tunnels += 1;
        state.failed_at = None;
    }

    /// Records that a tunnel through `instance` is closed.
    pub fn closed(&mut self, instance: &InstanceId) {
        if let Some(state) = self.hosts.get_mut(instance) {
            state.open_tunnels = state.open_tunnels.saturating_sub(1);
        }
    }

    /// Records that `instance` opened no tunnel, for a reason of its own.
    pub fn failed(&mut self, instance: &InstanceId, now: Millis) {
        self.hosts.entry(instance.clone()).or_default().failed_at = Some(now);
    }
}
