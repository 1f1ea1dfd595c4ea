//! Rollout status of a configuration change.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{DomainId, InstanceId};

/// One failure domain's report on a configuration version.
#[derive(Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum DomainReport {
    /// The live instances of the domain, by whether they confirmed the version.
    Heard {
        /// Instances that apply the version.
        confirmed: BTreeSet<InstanceId>,
        /// Live or suspected instances that do not.
        missing: BTreeSet<InstanceId>,
    },
    /// Every known instance confirmed the version, but the platform's list, which may name others,
    /// was not available.
    Unlisted,
    /// No instance of the domain could be reached.
    Unreachable,
}

/// Status that the operator who made a change receives.
#[derive(Eq)]
#[derives::wire]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RolloutStatus {
    /// Every live instance of every failure domain applies the version.
    Accepted,
    /// The change is stored and is being rolled out; some failure domains have not confirmed it.
    Pending {
        /// The failure domains that have not confirmed the version.
        domains: BTreeSet<DomainId>,
    },
}

/// Computes the rollout status from the reports of all failure domains.
///
/// Invariant: the status is `Accepted` only if each of `domains` reported confirmed instances and
/// no missing ones.
#[must_use]
pub fn rollout_status(
    domains: &BTreeSet<DomainId>,
    reports: &BTreeMap<DomainId, DomainReport>,
) -> RolloutStatus {
    let is_confirmed = |domain: &&DomainId| match reports.get(*domain) {
        Some(DomainReport::Heard { confirmed, missing }) => {
            missing.is_empty() && !confirmed.is_empty()
        }
        Some(DomainReport::Unlisted | DomainReport::Unreachable) | None => false,
    };
    let pending: BTreeSet<DomainId> = domains
        .iter()
        .filter(|domain| !is_confirmed(domain))
        .cloned()
        .collect();
    if pending.is_empty() {
        return RolloutStatus::Accepted;
    }
    RolloutStatus::Pending { domains: pending }
}
