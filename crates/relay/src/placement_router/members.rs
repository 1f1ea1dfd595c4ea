//! Members of the fleet, and which of them are stewards and readers.

use std::net::SocketAddr;

use policy::fleet::FleetMember;
use policy::ids::{InstanceId, Millis};
use policy::tunnel::TunnelHost;

use super::PlacementRouter;
use super::steward_session::StewardScope;
use crate::endpoint_connector::TunnelDirectory;

/// Largest number of members that are ineligible at the same time. Three cover a lost steward, its
/// successor and a member that is restarting; if more fail, this instance itself is cut off, and
/// the steward of its failure domain decides.
const MAX_INELIGIBLE: usize = 3;

/// Time after the store recovers in which members with expired entries may register again, in
/// milliseconds. Registration takes about two seconds.
const MEMBER_REJOIN_TIME: Millis = 2_500;

/// Time for which a steward that was lost or could not be reached is ineligible, in milliseconds:
/// about the duration of a restart, so that most are tried again when they serve.
const INELIGIBLE_TIME: Millis = 2_000;

impl TunnelDirectory for PlacementRouter {
    fn tunnel_hosts(&self) -> Vec<TunnelHost> {
        let mut hosts = self.membership.borrow().tunnel_hosts();
        hosts.retain(|host| host.instance != self.instance);
        hosts
    }
}

impl PlacementRouter {
    /// Adds a member or replaces its entry.
    pub fn put_member(&self, instance: InstanceId, member: FleetMember) {
        self.missing_members.borrow_mut().remove(&instance);
        self.membership.borrow_mut().put(instance, member);
        self.changed.notify_one();
    }

    /// Handles the removal of a member's entry. Within `MEMBER_REJOIN_TIME` of the store's
    /// recovery, the member is kept until that time has passed, since its entry may only have
    /// expired.
    pub fn remove_member(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let store_recovered_at = self.store_recovered_at.get();
        let rejoin_deadline = store_recovered_at.map(|at| at + MEMBER_REJOIN_TIME);
        match rejoin_deadline.filter(|until| now < *until) {
            Some(until) => {
                let mut missing_members = self.missing_members.borrow_mut();
                missing_members.entry(instance.clone()).or_insert(until);
            }
            None => self.membership.borrow_mut().remove(instance),
        }
        self.changed.notify_one();
    }

    /// Removes the members that are not in `listed`, as [`Self::remove_member`] does.
    pub fn retain_members(&self, listed: &[InstanceId]) {
        let gone = self.membership.borrow().unlisted(listed);
        for instance in &gone {
            self.remove_member(instance);
        }
    }

    /// Records that the store answers again after an outage.
    pub fn store_recovered(&self) {
        self.store_recovered_at.set(Some(self.clock.now()));
    }

    /// Removes the members whose entries have not come back in time.
    pub(super) fn remove_expired_members(&self) {
        let now = self.clock.now();
        let mut membership = self.membership.borrow_mut();
        self.missing_members.borrow_mut().retain(|instance, until| {
            let is_kept = now < *until;
            if !is_kept {
                membership.remove(instance);
            }
            is_kept
        });
    }

    /// Whether this instance reads the platform's store directly, either for its failure domain or
    /// for itself alone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        readers.is_empty() || readers.iter().any(|(reader, _)| **reader == self.instance)
    }

    /// Whether this instance forwards the store's changes to other members of its failure domain.
    #[must_use]
    pub fn reads_for_others(&self) -> bool {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        let is_reader = readers.iter().any(|(reader, _)| **reader == self.instance);
        is_reader && readers.len() < membership.members_of(&self.domain)
    }

    /// Addresses of the members that read the store for this failure domain.
    #[must_use]
    pub fn readers(&self) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let readers = membership.readers(&self.domain);
        readers.iter().map(|(_, member)| member.address).collect()
    }

    pub(super) fn is_fleet_steward(&self) -> bool {
        if self.unlisted_steward(StewardScope::Fleet).is_some() {
            return false;
        }
        let membership = self.membership.borrow();
        membership
            .fleet_steward(|instance, _| self.is_eligible(instance))
            .is_none_or(|(steward, _)| *steward == self.instance)
    }

    /// The steward of an open session whose entry is gone. An expired entry only means that the
    /// platform does not hear from the instance; while the instance answers pings, it still
    /// decides, for other instances too.
    pub(super) fn unlisted_steward(&self, scope: StewardScope) -> Option<(InstanceId, SocketAddr)> {
        let open = self.sessions.borrow_mut().slot(scope).clone()?;
        let is_listed = self.membership.borrow().domain_of(&open.steward).is_some();
        let is_kept = open.link.is_open() && !is_listed;
        is_kept.then(|| (open.steward.clone(), open.address))
    }

    /// Whether a member may be taken for a steward now.
    pub(super) fn is_eligible(&self, instance: &InstanceId) -> bool {
        let ineligible = self.ineligible.borrow();
        let until = ineligible.get(instance).copied().unwrap_or(0);
        self.clock.now() >= until
    }

    /// Makes a member ineligible as a steward for [`INELIGIBLE_TIME`].
    pub(super) fn mark_ineligible(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let mut ineligible = self.ineligible.borrow_mut();
        ineligible.retain(|_, until| *until > now);
        // Before this instance has read a configuration, a failure says nothing about a member:
        // members that have not read one either refuse all sessions.
        if ineligible.len() < MAX_INELIGIBLE && self.driver.has_pools() {
            ineligible.insert(instance.clone(), now + INELIGIBLE_TIME);
            self.changed.notify_one();
        }
    }

    /// The steward of a scope; `None` if it is this instance or if no member is eligible.
    pub(super) fn steward(&self, scope: StewardScope) -> Option<(InstanceId, SocketAddr)> {
        if let Some(unlisted) = self.unlisted_steward(scope) {
            return Some(unlisted);
        }
        let membership = self.membership.borrow();
        let is_eligible = |instance: &InstanceId, _: &FleetMember| self.is_eligible(instance);
        let steward = match scope {
            StewardScope::Fleet => membership.fleet_steward(is_eligible),
            StewardScope::Domain => membership.domain_steward(&self.domain, is_eligible),
        };
        steward
            .filter(|(instance, _)| **instance != self.instance)
            .map(|(instance, member)| (instance.clone(), member.address))
    }
}
