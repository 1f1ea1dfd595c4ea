//! When a configuration change may be called accepted.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{DomainId, InstanceId};

/// What one failure domain said of a version.
#[derive(Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum DomainReport {
    /// These live instances have confirmed the version, these have not.
    Heard {
        /// Instances with the version in force.
        confirmed: BTreeSet<InstanceId>,
        /// Live or suspected instances without it.
        missing: BTreeSet<InstanceId>,
    },
    /// Every instance that was known confirmed, but the platform could not be asked whether there
    /// are others.
    Unlisted,
    /// No instance of the domain could be reached.
    Unreachable,
}

/// The answer to the operator who made a change.
#[derive(Eq)]
#[derives::wire]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RolloutVerdict {
    /// Every live instance of every failure domain has the version in force.
    Accepted,
    /// Written, and rolling forward; these failure domains have not confirmed it.
    Pending {
        /// The failure domains.
        domains: BTreeSet<DomainId>,
    },
}

/// Weighs the reports of all failure domains.
///
/// Invariant: `Accepted` only where each of `domains` was heard and none of its instances is
/// missing.
#[must_use]
pub fn weigh_rollout(
    domains: &BTreeSet<DomainId>,
    reports: &BTreeMap<DomainId, DomainReport>,
) -> RolloutVerdict {
    let is_settled = |domain: &&DomainId| match reports.get(*domain) {
        Some(DomainReport::Heard { confirmed, missing }) => {
            missing.is_empty() && !confirmed.is_empty()
        }
        Some(DomainReport::Unlisted | DomainReport::Unreachable) | None => false,
    };
    let pending: BTreeSet<DomainId> = domains
        .iter()
        .filter(|domain| !is_settled(domain))
        .cloned()
        .collect();
    if pending.is_empty() {
        return RolloutVerdict::Accepted;
    }
    RolloutVerdict::Pending { domains: pending }
}
