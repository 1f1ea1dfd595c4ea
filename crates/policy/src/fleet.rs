//! The instances of the fleet, as the platform lists them, and the ranking that selects stewards.
//!
//! The fleet steward places all requests, based on exact counts. While the steward of a failure
//! domain reaches no member of higher rank, it places the requests of the domain's instances on the
//! domain's endpoints. An instance that reaches neither steward places its own requests. Stewards
//! are found by rank, without an election: two stewards at once cost only efficiency, because
//! engines enforce their own limits.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{DomainId, Incarnation, InstanceId};
use crate::tunnel::TunnelHost;

/// Members per failure domain that read the platform's store on behalf of the others.
const DOMAIN_READERS: usize = 2;

/// Largest failure domain, in members, in which every member reads the store itself.
const SMALL_DOMAIN: usize = 4;

/// An instance, as it registered itself with the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetMember {
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address of its listener for other instances.
    pub address: SocketAddr,
    /// Address of its listener for tunnels; `None` if it serves none.
    pub tunnel_address: Option<SocketAddr>,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Processor capacity, in cores of ordinary speed.
    pub capacity: f64,
}

/// The known instances of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetMembership {
    members: BTreeMap<InstanceId, FleetMember>,
}

impl FleetMembership {
    /// Creates an empty membership.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates a member.
    pub fn put(&mut self, instance: InstanceId, member: FleetMember) {
        self.members.insert(instance, member);
    }

    /// Removes a member.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.members.remove(instance);
    }

    /// The members that are not in `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &[InstanceId]) -> Vec<InstanceId> {
        let is_unlisted = |known: &&InstanceId| !listed.contains(known);
        self.members.keys().filter(is_unlisted).cloned().collect()
    }

    /// Number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The members that serve tunnels.
    #[must_use]
    pub fn tunnel_hosts(&self) -> Vec<TunnelHost> {
        let host = |(instance, member): (&InstanceId, &FleetMember)| {
            Some(TunnelHost {
                instance: instance.clone(),
                address: member.tunnel_address?,
                domain: member.domain.clone(),
                capacity: member.capacity,
            })
        };
        self.members.iter().filter_map(host).collect()
    }

    /// Number of members in a failure domain.
    #[must_use]
    pub fn members_of(&self, domain: &DomainId) -> usize {
        let is_in_domain = |member: &&FleetMember| member.domain == *domain;
        self.members.values().filter(is_in_domain).count()
    }

    /// Number of failure domains that have members.
    #[must_use]
    pub fn domains(&self) -> usize {
        let mut domains: Vec<&DomainId> =
            self.members.values().map(|member| &member.domain).collect();
        domains.sort();
        domains.dedup();
        domains.len()
    }

    /// The fleet steward: the highest-ranked member for which `is_eligible` holds.
    #[must_use]
    pub fn fleet_steward(
        &self,
        is_eligible: impl Fn(&InstanceId, &FleetMember) -> bool,
    ) -> Option<(&InstanceId, &FleetMember)> {
        let eligible = self
            .members
            .iter()
            .filter(|(instance, member)| is_eligible(instance, member));
        Self::highest_ranked(eligible)
    }

    /// The steward of a failure domain: its highest-ranked member for which `is_eligible` holds.
    #[must_use]
    pub fn domain_steward(
        &self,
        domain: &DomainId,
        is_eligible: impl Fn(&InstanceId, &FleetMember) -> bool,
    ) -> Option<(&InstanceId, &FleetMember)> {
        self.fleet_steward(|instance, member| {
            member.domain == *domain && is_eligible(instance, member)
        })
    }

    /// The failure domain of a member, if the member is known.
    #[must_use]
    pub fn domain_of(&self, instance: &InstanceId) -> Option<&DomainId> {
        self.members.get(instance).map(|member| &member.domain)
    }

    /// The member that acts alone on the matter with this hash; `None` if there are no members.
    ///
    /// Rendezvous hashing as in [`crate::steward`]: when a member goes, only its own matters move.
    #[must_use]
    pub fn owner_of(&self, hash: u64) -> Option<&InstanceId> {
        let weight = |member: &&InstanceId| xxh3_64_with_seed(member.as_str().as_bytes(), hash);
        self.members.keys().max_by_key(weight)
    }

    /// The members of a failure domain that read the platform's store on behalf of the others, so
    /// that the store's load does not grow with the fleet. In a small domain every member reads.
    #[must_use]
    pub fn readers(&self, domain: &DomainId) -> Vec<(&InstanceId, &FleetMember)> {
        let is_in_domain = |entry: &(&InstanceId, &FleetMember)| entry.1.domain == *domain;
        let mut members: Vec<_> = self.members.iter().filter(is_in_domain).collect();
        if members.len() > SMALL_DOMAIN {
            members.sort_by(|left, right| Self::compare_rank(*left, *right));
            members.truncate(DOMAIN_READERS);
        }
        members
    }

    /// The highest-ranked member: the one with the most capacity. Ties go to the oldest
    /// incarnation, so that stewardship does not return to a restarted instance, and then to the
    /// first name.
    fn highest_ranked<'a>(
        members: impl Iterator<Item = (&'a InstanceId, &'a FleetMember)>,
    ) -> Option<(&'a InstanceId, &'a FleetMember)> {
        members.min_by(|left, right| Self::compare_rank(*left, *right))
    }

    fn compare_rank(
        left: (&InstanceId, &FleetMember),
        right: (&InstanceId, &FleetMember),
    ) -> Ordering {
        let capacity = right.1.capacity.total_cmp(&left.1.capacity);
        capacity
            .then(left.1.incarnation.cmp(&right.1.incarnation))
            .then(left.0.cmp(right.0))
    }
}
