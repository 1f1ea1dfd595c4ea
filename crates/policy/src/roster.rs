//! The instances of the fleet, as the platform lists them, and who decides for them.
//!
//! The fleet's steward places all requests on exact counts. While no member can be reached that
//! comes before it in rank, the steward of the failure domain does so for its instances, on the
//! domain's endpoints. An instance that reaches neither decides alone. All are found by rank, without an election: two stewards at
//! once cost efficiency only, since engines keep their own limits.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::{DomainId, Incarnation, InstanceId};

/// Members of a failure domain that read the platform's store for the others.
const DOMAIN_READERS: usize = 2;

/// Members up to which every member of a failure domain reads for itself.
const SMALL_DOMAIN: usize = 4;

/// An instance as it describes itself.
#[derive(Debug, Clone, PartialEq)]
pub struct RosterMember {
    /// Its failure domain.
    pub domain: DomainId,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// Processor capacity, in ordinary cores.
    pub capacity: f64,
}

/// The instances of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetRoster {
    members: BTreeMap<InstanceId, RosterMember>,
}

impl FleetRoster {
    /// Nobody is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a member or changes what is known of it.
    pub fn put(&mut self, instance: InstanceId, member: RosterMember) {
        self.members.insert(instance, member);
    }

    /// Removes a member.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.members.remove(instance);
    }

    /// Members that are not in `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &[InstanceId]) -> Vec<InstanceId> {
        let is_unlisted = |known: &&InstanceId| !listed.contains(known);
        self.members.keys().filter(is_unlisted).cloned().collect()
    }

    /// How many members there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether nobody is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// How many members a failure domain has.
    #[must_use]
    pub fn members_of(&self, domain: &DomainId) -> usize {
        let is_in = |member: &&RosterMember| member.domain == *domain;
        self.members.values().filter(is_in).count()
    }

    /// Failure domains that have members.
    #[must_use]
    pub fn domains(&self) -> usize {
        let mut domains: Vec<&DomainId> =
            self.members.values().map(|member| &member.domain).collect();
        domains.sort();
        domains.dedup();
        domains.len()
    }

    /// The steward of the fleet: the first in rank that `is_able`.
    #[must_use]
    pub fn fleet_steward(
        &self,
        is_able: impl Fn(&InstanceId, &RosterMember) -> bool,
    ) -> Option<(&InstanceId, &RosterMember)> {
        let able = self
            .members
            .iter()
            .filter(|(instance, member)| is_able(instance, member));
        Self::first(able)
    }

    /// The steward of a failure domain: the first in rank that `is_able`.
    #[must_use]
    pub fn domain_steward(
        &self,
        domain: &DomainId,
        is_able: impl Fn(&InstanceId, &RosterMember) -> bool,
    ) -> Option<(&InstanceId, &RosterMember)> {
        self.fleet_steward(|instance, member| member.domain == *domain && is_able(instance, member))
    }

    /// The failure domain of a member.
    #[must_use]
    pub fn domain_of(&self, instance: &InstanceId) -> Option<&DomainId> {
        self.members.get(instance).map(|member| &member.domain)
    }

    /// The members of a failure domain that read the platform's store for the others, so that its
    /// load does not grow with the fleet. In a small domain every member reads.
    #[must_use]
    pub fn readers(&self, domain: &DomainId) -> Vec<(&InstanceId, &RosterMember)> {
        let is_in = |entry: &(&InstanceId, &RosterMember)| entry.1.domain == *domain;
        let mut members: Vec<_> = self.members.iter().filter(is_in).collect();
        if members.len() > SMALL_DOMAIN {
            members.sort_by(|left, right| Self::order(*left, *right));
            members.truncate(DOMAIN_READERS);
        }
        members
    }

    /// The member with the most capacity; of equals the one that has run longest, so that a
    /// restart does not bring the stewardship back, then the one whose name comes first.
    fn first<'a>(
        members: impl Iterator<Item = (&'a InstanceId, &'a RosterMember)>,
    ) -> Option<(&'a InstanceId, &'a RosterMember)> {
        members.min_by(|left, right| Self::order(*left, *right))
    }

    fn order(left: (&InstanceId, &RosterMember), right: (&InstanceId, &RosterMember)) -> Ordering {
        let capacity = right.1.capacity.total_cmp(&left.1.capacity);
        capacity
            .then(left.1.incarnation.cmp(&right.1.incarnation))
            .then(left.0.cmp(right.0))
    }
}
