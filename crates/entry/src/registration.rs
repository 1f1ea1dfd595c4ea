//! Registrations: an instance that reads its configuration from the platform says so first.
//!
//! The platform's list lags. Until it shows a new instance, the instance's registration, under a
//! lease, tells those who roll a change out to ask it too.

use platform::{CasVerdict, WatchEvent};
use policy::ids::{Millis, OwnerId};

use crate::configuration::FetchVerdict;
use crate::control::Control;

/// How long a registration stands; the platform's list lags less. In milliseconds.
const REGISTRATION_TIME: Millis = 120_000;

/// Key prefix of all registrations.
const REGISTRATION_PREFIX: &str = "registrations/";

/// The value of a registration.
#[derives::wire]
struct Registration {
    owner: OwnerId,
    address: String,
}

impl Control {
    /// Registers this life of the instance.
    pub(crate) async fn register(&self) -> FetchVerdict {
        if self.try_register().await.is_some() {
            return FetchVerdict::Fetched;
        }
        self.tables.metrics.platform_faults.inc();
        FetchVerdict::NoAnswer
    }

    async fn try_register(&self) -> Option<()> {
        let platform = &self.ports.platform;
        let owner = self.tables.me();
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
            CasVerdict::Written(_) => Some(()),
            CasVerdict::Conflict(_) => None,
        }
    }

    /// The registrations that stand in this failure domain; none where they cannot be read.
    pub(crate) async fn registrations(&self) -> Option<Vec<(OwnerId, String)>> {
        self.tables.metrics.platform_calls.inc();
        let prefix = self.domain_prefix();
        let report = self.ports.platform.watch(&prefix, 0, 0).await.ok()?;
        let rows = report.events.into_iter().filter_map(|event| match event {
            WatchEvent::Put { stored, .. } => {
                let row: Registration = serde_json::from_str(&stored.value).ok()?;
                Some((row.owner, row.address))
            }
            WatchEvent::Deleted { .. } => None,
        });
        Some(rows.collect())
    }

    fn domain_prefix(&self) -> String {
        let domain = &self.tables.settings.failure_domain;
        format!("{REGISTRATION_PREFIX}{domain}/")
    }
}
