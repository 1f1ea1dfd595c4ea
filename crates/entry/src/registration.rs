//! Registrations: an instance registers itself before it reads its configuration from the platform.
//!
//! The platform's instance list lags behind. Until a new instance appears in it, the instance's
//! registration, a key under a lease, makes configuration rollouts include the instance.

use platform::{CasOutcome, WatchEvent};
use policy::ids::{Millis, OwnerId};
use policy::store_position::StorePosition;

use crate::configuration::FetchOutcome;
use crate::control::Control;

/// Lease time of a registration, in milliseconds; longer than the lag of the platform's list.
const REGISTRATION_TIME: Millis = 120_000;

/// Key prefix of registrations in the key-value service.
const REGISTRATION_PREFIX: &str = "registrations/";

/// Stored value of a registration.
#[derives::wire]
struct Registration {
    owner: OwnerId,
    address: String,
}

impl Control {
    /// Registers the current incarnation of this instance.
    pub(crate) async fn register(&self) -> FetchOutcome {
        if self.try_register().await.is_some() {
            return FetchOutcome::Fetched;
        }
        self.tables.metrics.platform_faults.inc();
        FetchOutcome::NoAnswer
    }

    async fn try_register(&self) -> Option<()> {
        let platform = &self.ports.platform;
        let owner = self.tables.local_owner();
        let key = format!("{}{}", self.domain_prefix(), owner.instance);
        let registration = Registration {
            owner,
            address: self.tables.settings.listen.peers.to_string(),
        };
        let value = serde_json::to_string(&registration).ok()?;
        self.tables.metrics.platform_calls.inc_by(3);
        let lease = platform.grant_lease(REGISTRATION_TIME).await.ok()?;
        let present = platform.get(&key).await.ok()?;
        let revision = present.map_or(0, |stored| stored.revision);
        let swap = platform.compare_and_swap(&key, &value, revision, Some(lease));
        match swap.await.ok()? {
            CasOutcome::Written(_) => Some(()),
            CasOutcome::Conflict(_) => None,
        }
    }

    /// Returns the registrations of this failure domain, or `None` if they cannot be read.
    pub(crate) async fn registrations(&self) -> Option<Vec<(OwnerId, String)>> {
        self.tables.metrics.platform_calls.inc();
        let prefix = self.domain_prefix();
        let report = self
            .ports
            .platform
            .watch(&prefix, StorePosition::START, 0)
            .await
            .ok()?;
        let registrations = report.events.into_iter().filter_map(|event| match event {
            WatchEvent::Put { stored, .. } => {
                let registration: Registration = serde_json::from_str(&stored.value).ok()?;
                Some((registration.owner, registration.address))
            }
            WatchEvent::Deleted { .. } => None,
        });
        Some(registrations.collect())
    }

    fn domain_prefix(&self) -> String {
        let domain = &self.tables.settings.failure_domain;
        format!("{REGISTRATION_PREFIX}{domain}/")
    }
}
